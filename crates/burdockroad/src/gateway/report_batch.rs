//! Several reports in one datagram.
//!
//! Load pattern: the reports of hundreds of hosts, which would otherwise arrive in as many datagrams at each of
//! them.
//!
//! Each report is preceded by its length in bytes (2 bytes, little-endian).

/// Largest batch in bytes.
const BATCH_MAX_BYTES: usize = 4000;

/// Joins reports into batches of at most 4,000 bytes that start with the byte `kind`. A report that is too long for a batch is left
/// out; the number of these is returned, too.
pub fn join_reports(kind: u8, reports: &[Vec<u8>]) -> (Vec<Vec<u8>>, usize) {
    let mut batches: Vec<Vec<u8>> = Vec::new();
    let mut left_out = 0;
    for report in reports {
        let Some(len) = u16::try_from(report.len())
            .ok()
            .filter(|len| usize::from(*len) + 3 <= BATCH_MAX_BYTES)
        else {
            left_out += 1;
            continue;
        };
        let fits = batches
            .last()
            .is_some_and(|batch| batch.len() + 2 + report.len() <= BATCH_MAX_BYTES);
        if !fits {
            batches.push(vec![kind]);
        }
        if let Some(batch) = batches.last_mut() {
            batch.extend_from_slice(&len.to_le_bytes());
            batch.extend_from_slice(report);
        }
    }
    (batches, left_out)
}

/// Returns the reports of a batch without its first byte. The rest of a damaged batch is ignored.
pub fn split_reports(mut batch: &[u8]) -> Vec<&[u8]> {
    let mut reports = Vec::new();
    while let Some((len, rest)) = batch.split_first_chunk::<2>() {
        let Some((report, rest)) = rest.split_at_checked(usize::from(u16::from_le_bytes(*len))) else {
            break;
        };
        reports.push(report);
        batch = rest;
    }
    reports
}

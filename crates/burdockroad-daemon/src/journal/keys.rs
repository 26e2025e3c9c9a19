//! Keys of journal segments in the store.

use burdockroad::SegmentNumber;

use crate::ownership::Process;

/// Common prefix of the keys of all journals.
pub(super) const JOURNALS: &str = "burdockroad/journal/";

/// Returns the common prefix of the keys of one journal.
pub(super) fn prefix(writer: &Process) -> String {
    let Process { host_id, incarnation } = writer;
    format!("{JOURNALS}{host_id}/{incarnation:016x}/")
}

/// Returns the key of one segment. The keys of a journal sort in the order of the segment numbers.
pub(super) fn segment(writer: &Process, number: SegmentNumber) -> String {
    format!("{}{number:012}", prefix(writer))
}

/// Parses the writer and the segment number from a key.
pub(super) fn parse(key: &str) -> Option<(Process, SegmentNumber)> {
    let mut parts = key.strip_prefix(JOURNALS)?.rsplitn(3, '/');
    let number = parts.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let host_id = parts.next()?.to_owned();
    Some((Process { host_id, incarnation }, number))
}

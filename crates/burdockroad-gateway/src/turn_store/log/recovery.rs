//! Reading of a log's segments after a restart.

use std::{fs, io, path::Path};

use serde::Serialize;

use super::{
    LogState,
    segment::{RecordLocation, SegmentNumber, decode_record, segment_number, segment_path},
};

/// What was read of a segment.
#[derive(Debug)]
#[derive(Serialize)]
pub struct RecoveredSegment {
    /// Number of the segment.
    pub segment: SegmentNumber,
    /// Number of complete records.
    pub turns: usize,
    /// Bytes after the last complete record, which a write that never completed left behind.
    pub torn_bytes: usize,
    /// Error of a segment that could not be read.
    pub error: Option<String>,
}

/// Reads all segments in a folder into the state.
pub(super) fn recover(folder: &Path, state: &mut LogState) -> io::Result<Vec<RecoveredSegment>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        numbers.extend(entry?.file_name().to_str().and_then(segment_number));
    }
    numbers.sort_unstable();
    let recovered = numbers
        .into_iter()
        .map(|number| recover_segment(folder, number, state));
    Ok(recovered.collect())
}

fn recover_segment(folder: &Path, number: SegmentNumber, state: &mut LogState) -> RecoveredSegment {
    let mut recovered = RecoveredSegment {
        segment: number,
        turns: 0,
        torn_bytes: 0,
        error: None,
    };
    let bytes = match fs::read(segment_path(folder, number)) {
        Ok(bytes) => bytes,
        Err(error) => {
            recovered.error = Some(error.to_string());
            state.segments.insert(number, u64::MAX);
            return recovered;
        }
    };
    let mut offset = 0;
    let mut expires_unix_ms = 0;
    while let Some((turn, len_bytes)) = decode_record(&bytes[offset..]) {
        expires_unix_ms = turn.stored_until_unix_ms.max(expires_unix_ms);
        let location = RecordLocation {
            segment: number,
            offset: offset as u64,
            len_bytes,
        };
        state.index.insert(&turn, location);
        offset += len_bytes;
        recovered.turns += 1;
    }
    recovered.torn_bytes = bytes.len() - offset;
    state.segments.insert(number, expires_unix_ms);
    recovered
}

//! Records and files of the log.
//!
//! A record is its length in bytes (4 bytes), the XXH3 hash of its contents (8 bytes), both in little-endian
//! order, and its contents: the turn in CBOR.

use std::{
    fs::File,
    io::{self, ErrorKind},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use burdockroad::gateway::Turn;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a record's length and hash.
pub(super) const RECORD_HEAD_BYTES: usize = 12;

/// Largest record. A longer length in a file is damage.
const RECORD_MAX_BYTES: usize = 64 << 20;

const FILE_PREFIX: &str = "turns-";
const FILE_SUFFIX: &str = ".log";

/// Number of a segment; later segments have higher numbers.
pub type SegmentNumber = u64;

/// Place of a record on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordLocation {
    pub(super) segment: SegmentNumber,
    /// Offset of the record in its segment.
    pub(super) offset: u64,
    /// Length of the record including its head.
    pub(super) len_bytes: usize,
}

/// Returns the path of a segment.
pub(super) fn segment_path(folder: &Path, number: SegmentNumber) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{number:010}{FILE_SUFFIX}"))
}

/// Returns the number of the segment with this file name; `None` for other files.
pub(super) fn segment_number(file_name: &str) -> Option<SegmentNumber> {
    file_name
        .strip_prefix(FILE_PREFIX)?
        .strip_suffix(FILE_SUFFIX)?
        .parse()
        .ok()
}

/// Appends the record of a turn to `buffer`. Returns the record's length.
pub(super) fn encode_record(turn: &Turn, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; RECORD_HEAD_BYTES]);
    ciborium::into_writer(turn, &mut *buffer).map_err(io::Error::other)?;
    let contents = &buffer[start + RECORD_HEAD_BYTES..];
    let len = u32::try_from(contents.len()).map_err(io::Error::other)?;
    let hash = xxh3_64(contents);
    buffer[start..start + 4].copy_from_slice(&len.to_le_bytes());
    buffer[start + 4..start + RECORD_HEAD_BYTES].copy_from_slice(&hash.to_le_bytes());
    Ok(buffer.len() - start)
}

/// Decodes the first record of `bytes`. Returns its turn and length; `None` when the record is torn or
/// damaged.
pub(super) fn decode_record(bytes: &[u8]) -> Option<(Turn, usize)> {
    let (len, rest) = bytes.split_first_chunk::<4>()?;
    let (hash, rest) = rest.split_first_chunk::<8>()?;
    let len = usize::try_from(u32::from_le_bytes(*len)).ok()?;
    if len > RECORD_MAX_BYTES {
        return None;
    }
    let contents = rest.get(..len)?;
    if xxh3_64(contents) != u64::from_le_bytes(*hash) {
        return None;
    }
    let turn = ciborium::from_reader(contents).ok()?;
    Some((turn, RECORD_HEAD_BYTES + len))
}

/// Reads the record at a location.
pub(super) fn read_record(folder: &Path, location: RecordLocation) -> io::Result<Turn> {
    let file = File::open(segment_path(folder, location.segment))?;
    let mut bytes = vec![0; location.len_bytes];
    file.read_exact_at(&mut bytes, location.offset)?;
    let damaged = || io::Error::new(ErrorKind::InvalidData, "the record is damaged");
    let (turn, _) = decode_record(&bytes).ok_or_else(damaged)?;
    Ok(turn)
}

//! Key ranges of the etcd API: a single key, a bounded range, or all keys from a start key on.

use std::collections::BTreeSet;

use crate::kv::refusal::Refusal;

/// A range of keys, as given by `key` and `range_end` in the etcd API.
#[derive(Clone, Debug)]
pub(crate) struct KeyRange {
    pub(crate) start: Vec<u8>,
    end: End,
}

#[derive(Clone, Debug)]
enum End {
    /// The range is a single key.
    Single,
    /// The range has no upper bound.
    Open,
    /// The range ends before this key, which is excluded.
    Before(Vec<u8>),
}

impl KeyRange {
    /// Parses a range; an empty `range_end` means a single key, a zero byte all keys from `key` on.
    pub(crate) fn new(key: &[u8], range_end: &[u8]) -> Result<Self, Refusal> {
        if key.is_empty() {
            return Err(Refusal::KeyMissing);
        }
        let end = match range_end {
            [] => End::Single,
            [0] => End::Open,
            bytes => End::Before(bytes.to_vec()),
        };
        Ok(Self {
            start: key.to_vec(),
            end,
        })
    }

    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            End::Single => key == self.start,
            End::Open => key >= self.start.as_slice(),
            End::Before(end) => key >= self.start.as_slice() && key < end.as_slice(),
        }
    }
}

/// Returns whether any of the keys is in any of the ranges.
pub(crate) fn overlaps(ranges: &[KeyRange], keys: &BTreeSet<Vec<u8>>) -> bool {
    ranges
        .iter()
        .any(|range| keys.iter().any(|key| range.contains(key)))
}

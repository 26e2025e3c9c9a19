//! The keys that a call names: one, a range, or all from one on.

use std::collections::BTreeSet;

use crate::kv::refusal::Refusal;

/// A range of keys, as `key` and `range_end` of the interface give it.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    pub(crate) start: Vec<u8>,
    end: End,
}

#[derive(Clone, Debug)]
enum End {
    /// The span is its start alone.
    Single,
    /// The span has no end.
    Open,
    /// The span ends before this key.
    Before(Vec<u8>),
}

impl Span {
    /// Reads a span; an empty `range_end` means one key, a zero byte all keys from `key` on.
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

/// Tells whether any of the keys is in any of the spans.
pub(crate) fn overlaps(spans: &[Span], keys: &BTreeSet<Vec<u8>>) -> bool {
    spans.iter().any(|span| keys.iter().any(|key| span.contains(key)))
}

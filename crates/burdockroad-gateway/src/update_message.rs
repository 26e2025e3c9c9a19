//! Compressed form of updates of ranges, and those that a host has encoded recently.

use std::collections::VecDeque;

use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};

use crate::{
    Change, RangeUpdate,
    peer_client::{PeerError, encode_message},
    peer_messages::PeerResponse,
};

/// Level of the compression, the fastest one: a configuration shrinks to a tenth of its size.
const COMPRESSION_LEVEL: u8 = 1;

/// Largest update that a host decompresses.
const DECOMPRESSED_MAX_BYTES: usize = 32 << 20;

/// Number of encoded updates of each size that are kept. Hosts that are behind have seen one of the last few changes.
const KEPT_MAX: usize = 4;

/// Size of the encoded updates of each size that are kept.
const KEPT_MAX_BYTES: usize = 1 << 20;

/// Size from which encoded updates are kept apart from smaller ones, which change more often.
const LARGE_MIN_BYTES: usize = 4 << 10;

/// Encodes the response that contains an update in compressed form.
pub(crate) fn compressed_response(update: &RangeUpdate) -> Result<Bytes, PeerError> {
    let compressed = compress_to_vec(&encode_message(update)?, COMPRESSION_LEVEL);
    encode_compressed(Bytes::from(compressed))
}

/// Encodes the response that contains an update which is compressed already.
pub(crate) fn encode_compressed(compressed: Bytes) -> Result<Bytes, PeerError> {
    encode_message(&PeerResponse::CompressedRangeUpdate { compressed })
}

/// Decodes an update in compressed form; `None` if it is malformed.
pub(crate) fn decompress(compressed: &[u8]) -> Option<RangeUpdate> {
    let update = decompress_to_vec_with_limit(compressed, DECOMPRESSED_MAX_BYTES).ok()?;
    ciborium::from_reader(&*update).ok()
}

/// What an update contains. Updates with the same content bring a host up to date as well as each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpdateContent {
    pub(crate) prefix: String,
    /// Revision of the first change; `None` for a snapshot.
    pub(crate) first_change: Option<Revision>,
    /// Revision of the last change.
    pub(crate) last_change: Revision,
}

impl UpdateContent {
    /// Returns the content of an update of a range whose last change has the revision `last_change`.
    pub(crate) fn of(prefix: &str, last_change: Revision, update: &RangeUpdate) -> Self {
        let first_change = match update {
            RangeUpdate::Changes { changes, .. } => changes.first().map(Change::revision),
            RangeUpdate::Snapshot(_) => None,
        };
        Self {
            prefix: prefix.to_owned(),
            first_change,
            last_change,
        }
    }
}

/// Updates that a host has encoded or received recently.
#[derive(Debug, Default)]
pub(crate) struct EncodedUpdates {
    small: KeptUpdates,
    large: KeptUpdates,
}

impl EncodedUpdates {
    pub(crate) fn get(&self, content: &UpdateContent) -> Option<Bytes> {
        self.small.get(content).or_else(|| self.large.get(content))
    }

    pub(crate) fn insert(&mut self, content: UpdateContent, bytes: Bytes) {
        if bytes.len() > KEPT_MAX_BYTES || self.get(&content).is_some() {
            return;
        }
        if bytes.len() < LARGE_MIN_BYTES {
            self.small.push(content, bytes);
        } else {
            self.large.push(content, bytes);
        }
    }
}

#[derive(Debug, Default)]
struct KeptUpdates {
    /// Oldest first.
    kept: VecDeque<(UpdateContent, Bytes)>,
}

impl KeptUpdates {
    fn get(&self, content: &UpdateContent) -> Option<Bytes> {
        let mut kept = self.kept.iter();
        let (_, bytes) = kept.find(|(known, _)| known == content)?;
        Some(bytes.clone())
    }

    fn push(&mut self, content: UpdateContent, bytes: Bytes) {
        self.kept.push_back((content, bytes));
        while self.kept.len() > KEPT_MAX || self.size_bytes() > KEPT_MAX_BYTES {
            self.kept.pop_front();
        }
    }

    fn size_bytes(&self) -> usize {
        self.kept.iter().map(|(_, bytes)| bytes.len()).sum()
    }
}

//! What one key of a journal holds, and its binary form.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    journal::{Position, WriterId},
    ownership::Process,
};

/// First byte of every stored segment.
const FORMAT: u8 = 1;

/// What stands under one number of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoredSegment {
    /// Records of the journal's writer.
    Group(Segment),
    /// The end of the journal, put there by a successor.
    Seal(Seal),
}

/// Records that were written together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// Marks the writer's own segments, when a reply was lost.
    pub writer_id: WriterId,
    /// The peer that holds copies of what is not stored yet, from this segment on.
    pub tail_peer: Option<Process>,
    /// Position of the record that the first piece belongs to.
    pub first_position: Position,
    /// Whether the first piece goes on with a record of the segment before.
    pub continues: bool,
    /// The records, or pieces of records.
    pub pieces: Vec<Piece>,
}

/// A record, or a part of one that is too large for a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Piece {
    /// Bytes of the encoded record.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether the record ends with this piece.
    pub last: bool,
}

/// The end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Seal {
    /// The process that put it there.
    pub successor: Process,
}

impl StoredSegment {
    /// Encodes the segment as one byte of format and CBOR.
    ///
    /// # Errors
    ///
    /// Fails when the encoder does, which plain data gives no cause for.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = vec![FORMAT];
        ciborium::into_writer(self, &mut bytes)
            .map_err(|cause| Error::new("a segment could not be encoded").with_cause(cause))?;
        Ok(bytes)
    }

    /// Decodes a segment that [`encode`](Self::encode) wrote.
    ///
    /// # Errors
    ///
    /// Fails when the format is unknown, or the bytes are not one whole segment.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (&format, content) = bytes
            .split_first()
            .ok_or_else(|| Error::new("a segment is empty"))?;
        if format != FORMAT {
            return Err(Error::new(format!("a segment has the unknown format {format}")));
        }
        ciborium::from_reader(content)
            .map_err(|cause| Error::new("a segment could not be decoded").with_cause(cause))
    }
}

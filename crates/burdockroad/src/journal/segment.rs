//! Values stored under the keys of a journal, and their binary encoding.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    journal::{Position, WriterId},
    ownership::Process,
};

/// Format version, the first byte of every stored segment.
const FORMAT: u8 = 1;

/// Value stored under one segment number of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoredSegment {
    /// A group of records from the journal's writer.
    Group(Segment),
    /// The end of the journal, created by a successor.
    Seal(Seal),
}

/// A group of records that are written together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// Identifies the writer, so that it recognizes its own segment after a lost reply.
    pub writer_id: WriterId,
    /// The peer that keeps copies of the records that are not yet stored, from this segment on.
    pub tail_peer: Option<Process>,
    /// Position of the record that the first piece belongs to.
    pub first_position: Position,
    /// Whether the first piece continues a record of the previous segment.
    pub continues: bool,
    /// The records, or pieces of them.
    pub pieces: Vec<Piece>,
}

/// A whole record, or a part of a record that does not fit into one segment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Piece {
    /// Bytes of the encoded record.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether this is the last piece of the record.
    pub last: bool,
}

/// The end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Seal {
    /// The process that created the seal.
    pub successor: Process,
}

impl StoredSegment {
    /// Encodes the segment as a format byte followed by CBOR.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails, which does not happen for plain data.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = vec![FORMAT];
        ciborium::into_writer(self, &mut bytes)
            .map_err(|cause| Error::new("a segment could not be encoded").with_cause(cause))?;
        Ok(bytes)
    }

    /// Decodes a segment written by [`encode`](Self::encode).
    ///
    /// # Errors
    ///
    /// Fails if the format is unknown, or if the bytes are not exactly one complete segment.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (&format, content) = bytes
            .split_first()
            .ok_or_else(|| Error::new("a stored segment is empty"))?;
        if format != FORMAT {
            return Err(Error::new(format!(
                "a stored segment has unknown format {format}"
            )));
        }
        ciborium::from_reader(content)
            .map_err(|cause| Error::new("a segment could not be decoded").with_cause(cause))
    }
}

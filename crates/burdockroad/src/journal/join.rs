//! Recovery of the records of a sealed journal from its segments and the copies kept by peers.

use crate::{
    error::{Error, Result},
    journal::{Position, Segment},
    program::Record,
};

/// Copies of records that one peer kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailCopy {
    /// Position of the first record.
    pub position: Position,
    /// Encoded records, at consecutive positions.
    pub records: Vec<Vec<u8>>,
}

/// All recovered records of a sealed journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Joined {
    /// The records, in order of position.
    pub records: Vec<Record>,
    /// Number of records that were recovered from copies. These are the last ones.
    pub tail_count: usize,
}

/// Joins consecutive segments with the copies of later records.
///
/// A record that was only partly stored counts as not stored, and is taken from the copies if they
/// contain it. If the removal of old segments removed the start of a record, the rest of that
/// record is skipped.
///
/// # Errors
///
/// Fails if the segments come from different writers or are not consecutive, or if a record cannot be
/// decoded.
pub fn join(segments: &[Segment], copies: &[TailCopy]) -> Result<Joined> {
    let mut joiner = Joiner::default();
    for segment in segments {
        joiner.add_segment(segment)?;
    }
    let stored_count = joiner.records.len();
    joiner.add_copies(copies)?;
    Ok(Joined {
        tail_count: joiner.records.len() - stored_count,
        records: joiner.records,
    })
}

#[derive(Debug, Default)]
struct Joiner {
    records: Vec<Record>,
    /// Position of the next record; none before the first segment.
    next: Option<Position>,
    /// Bytes of the next record that were read so far.
    partial: Vec<u8>,
    /// Whether the partial record started before the first segment.
    starts_mid_record: bool,
    writer_id: Option<u128>,
}

impl Joiner {
    fn add_segment(&mut self, segment: &Segment) -> Result<()> {
        let next = *self.next.get_or_insert(segment.first_position);
        let first = self.writer_id.is_none();
        if *self.writer_id.get_or_insert(segment.writer_id) != segment.writer_id {
            return Err(Error::new("the journal contains segments of two writers"));
        }
        if segment.first_position != next {
            let found = segment.first_position;
            return Err(Error::new(format!(
                "a segment starts at position {found}, expected {next}"
            )));
        }
        if first {
            self.starts_mid_record = segment.continues;
        }
        for piece in &segment.pieces {
            self.partial.extend_from_slice(&piece.bytes);
            if piece.last {
                self.end_record()?;
            }
        }
        Ok(())
    }

    fn end_record(&mut self) -> Result<()> {
        let bytes = std::mem::take(&mut self.partial);
        self.next = self.next.map(|next| next + 1);
        if std::mem::take(&mut self.starts_mid_record) {
            return Ok(());
        }
        self.records.push(Record::decode(&bytes)?);
        Ok(())
    }

    fn add_copies(&mut self, copies: &[TailCopy]) -> Result<()> {
        let mut next = self.next.unwrap_or(1);
        while let Some(bytes) = copies.iter().find_map(|copy| copy.record(next)) {
            self.records.push(Record::decode(bytes)?);
            next += 1;
        }
        Ok(())
    }
}

impl TailCopy {
    fn record(&self, position: Position) -> Option<&[u8]> {
        let index = position.checked_sub(self.position)?;
        let record = self.records.get(usize::try_from(index).ok()?)?;
        Some(record)
    }
}

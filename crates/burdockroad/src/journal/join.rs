//! Records put together from the segments of a sealed journal and the copies that peers held.

use crate::{
    error::{Error, Result},
    journal::{Position, Segment},
    program::Record,
};

/// Copies of records that a peer held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailCopy {
    /// Position of the first record.
    pub position: Position,
    /// The encoded records, at consecutive positions.
    pub records: Vec<Vec<u8>>,
}

/// All records of a sealed journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Joined {
    /// The records in their order.
    pub records: Vec<Record>,
    /// How many of them, at the end, came from copies.
    pub tail_count: usize,
}

/// Puts segments, in the order of their numbers and without gaps, together with copies.
///
/// A record that was written only in part counts as not written, and is taken from the copies if they
/// have it. Where a cleaned journal begins inside a record, its rest is passed over.
///
/// # Errors
///
/// Fails when the segments are not of one writer or do not follow each other, or when a record cannot
/// be decoded.
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
    /// Position of the next record, and its bytes so far; none before the first segment.
    next: Option<Position>,
    partial: Vec<u8>,
    /// Whether the partial record began before the first segment.
    headless: bool,
    writer_id: Option<u128>,
}

impl Joiner {
    fn add_segment(&mut self, segment: &Segment) -> Result<()> {
        let next = *self.next.get_or_insert(segment.first_position);
        let first = self.writer_id.is_none();
        if *self.writer_id.get_or_insert(segment.writer_id) != segment.writer_id {
            return Err(Error::new("segments of two writers stand in one journal"));
        }
        if segment.first_position != next {
            let found = segment.first_position;
            return Err(Error::new(format!(
                "a segment begins at {found} in place of {next}"
            )));
        }
        if first {
            self.headless = segment.continues;
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
        if std::mem::take(&mut self.headless) {
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

//! Thread that appends turns to the log.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    sync::mpsc::Receiver,
};

use burdockroad::gateway::Turn;
use tokio::sync::oneshot;

use super::{
    LogInner,
    segment::{RecordLocation, SegmentNumber, encode_record, segment_path},
    sync_folder,
};

/// Size at which a segment is closed. Smaller segments are removed sooner after their turns have expired.
const SEGMENT_MAX_BYTES: u64 = 8 << 20;

/// Size at which a batch takes no further turns, so that a large batch does not delay its first turns.
const BATCH_MAX_BYTES: usize = 1 << 20;

/// Turns to append.
#[derive(Debug)]
pub(super) struct AppendJob {
    pub(super) turns: Vec<Turn>,
    pub(super) done: oneshot::Sender<io::Result<()>>,
}

/// Segment that is being written.
struct OpenSegment {
    number: SegmentNumber,
    file: File,
    len_bytes: u64,
}

/// Turns of several jobs, encoded for one write.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    /// The turns with the lengths of their records.
    turns: Vec<(Turn, usize)>,
    waiting: Vec<oneshot::Sender<io::Result<()>>>,
}

/// Appends the turns of all jobs until the log is dropped.
pub(super) fn run_writer(log: &LogInner, first_segment: SegmentNumber, jobs: &Receiver<AppendJob>) {
    let mut next_segment = first_segment;
    let mut open = None;
    while let Ok(job) = jobs.recv() {
        let mut batch = Batch::default();
        batch.add(job);
        while batch.bytes.len() < BATCH_MAX_BYTES
            && let Ok(job) = jobs.try_recv()
        {
            batch.add(job);
        }
        let result = write_batch(log, &mut open, &mut next_segment, &batch);
        batch.complete(&result);
    }
}

/// Appends a batch to the open segment, or to a new one. After an error the segment is closed.
fn write_batch(
    log: &LogInner,
    open: &mut Option<OpenSegment>,
    next_segment: &mut SegmentNumber,
    batch: &Batch,
) -> io::Result<()> {
    let reusable = open
        .take()
        .filter(|segment| segment.len_bytes < SEGMENT_MAX_BYTES);
    let mut segment = if let Some(segment) = reusable {
        segment
    } else {
        let number = *next_segment;
        *next_segment += 1;
        OpenSegment::create(log, number)?
    };
    let start = segment.len_bytes;
    segment.file.write_all(&batch.bytes)?;
    segment.file.sync_data()?;
    if start == 0 {
        // Without this, a power loss may take away the name of the new file.
        sync_folder(&log.folder)?;
    }
    segment.len_bytes += batch.bytes.len() as u64;
    batch.index(log, segment.number, start);
    *open = Some(segment);
    Ok(())
}

impl OpenSegment {
    fn create(log: &LogInner, number: SegmentNumber) -> io::Result<Self> {
        let path = segment_path(&log.folder, number);
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        log.lock().segments.insert(number, 0);
        Ok(Self {
            number,
            file,
            len_bytes: 0,
        })
    }
}

impl Batch {
    /// Adds the turns of a job. A job whose turns cannot be encoded fails.
    fn add(&mut self, job: AppendJob) {
        let start = self.bytes.len();
        let first_turn = self.turns.len();
        for turn in job.turns {
            match encode_record(&turn, &mut self.bytes) {
                Ok(len_bytes) => self.turns.push((turn, len_bytes)),
                Err(error) => {
                    self.bytes.truncate(start);
                    self.turns.truncate(first_turn);
                    // A caller that no longer waits needs no result.
                    let _gone = job.done.send(Err(error));
                    return;
                }
            }
        }
        self.waiting.push(job.done);
    }

    /// Adds the batch's turns to the index of the log.
    fn index(&self, log: &LogInner, segment: SegmentNumber, start: u64) {
        let mut offset = start;
        let mut state = log.lock();
        for (turn, len_bytes) in &self.turns {
            let location = RecordLocation {
                segment,
                offset,
                len_bytes: *len_bytes,
            };
            state.index.insert(turn, location);
            offset += *len_bytes as u64;
            let expires_unix_ms = state.segments.entry(segment).or_default();
            *expires_unix_ms = turn.stored_until_unix_ms.max(*expires_unix_ms);
        }
    }

    /// Sends the result to all callers that wait for the batch.
    fn complete(self, result: &io::Result<()>) {
        for done in self.waiting {
            let copy = match result {
                Ok(()) => Ok(()),
                Err(error) => Err(io::Error::new(error.kind(), error.to_string())),
            };
            // A caller that no longer waits needs no result.
            let _gone = done.send(copy);
        }
    }
}

//! Continuous batching: admits sequences into slots and generates one token per sequence in each step.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::engine::{cache::Cache, chat::FinishReason, stats::EngineStats, text::Prompt};

/// Maximum number of retained inactive (finished, cancelled or suspended) sequences.
///
/// The stream of a retained sequence can still be read or resumed.
const INACTIVE_SEQUENCES_MAX: usize = 4096;
/// Maximum number of overdue steps that one tick runs when the batch is behind schedule.
const CATCH_UP_STEPS_MAX: usize = 64;

/// Speed and size limits of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    pub(crate) slots: usize,
    /// Duration of a step with one generating sequence.
    pub(crate) base_step_time: Duration,
    /// Fraction of `base_step_time` that each additional generating sequence adds to a step.
    pub(crate) batch_slowdown: f64,
    pub(crate) prefill_per_token: Duration,
}

/// A completion that is queued, being computed, or ended.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) program_id: Option<String>,
    pub(crate) prompt: Prompt,
    /// Length of the complete output, in tokens.
    pub(crate) output_tokens: u64,
    pub(crate) finish_reason: FinishReason,
    pub(crate) generated: u64,
    /// Prompt tokens that were cached when the sequence was first admitted.
    pub(crate) cached_tokens: Option<u64>,
    pub(crate) phase: Phase,
    /// Number of the current reader; readers with other numbers receive no more tokens.
    pub(crate) reader_id: u64,
    /// Scheduling priority; lower values are admitted first.
    priority: i64,
    /// Number of the arrival; a resumed sequence gets a new one.
    arrival: u64,
}

/// State of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    /// The prefill of the prompt ends at this time.
    Prefilling(Instant),
    Generating,
    /// The reader disconnected; the sequence resumes when another reader attaches.
    Suspended,
    Finished,
    Cancelled,
}

/// Parameters of a new sequence.
#[derive(Debug)]
pub(crate) struct NewSequence {
    pub(crate) stream_id: String,
    pub(crate) program_id: Option<String>,
    pub(crate) priority: i64,
    pub(crate) prompt: Prompt,
    pub(crate) output_tokens: u64,
    pub(crate) finish_reason: FinishReason,
}

/// Error for a stream id that belongs to an active sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamRunning;

/// All sequences of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    limits: BatchLimits,
    sequences: BTreeMap<String, Sequence>,
    /// Waiting sequences ordered by priority, arrival and stream id.
    waiting: BTreeSet<(i64, u64, String)>,
    running: BTreeSet<String>,
    /// Stream ids and arrival numbers of sequences that became inactive, oldest first.
    inactive: VecDeque<(String, u64)>,
    last_arrival: u64,
    last_reader_id: u64,
    /// Time at which the last prefill of the admitted prompts ends.
    prefill_free_at: Option<Instant>,
    next_step_at: Option<Instant>,
}

impl Batch {
    pub(crate) fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            sequences: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            inactive: VecDeque::new(),
            last_arrival: 0,
            last_reader_id: 0,
            prefill_free_at: None,
            next_step_at: None,
        }
    }

    pub(crate) fn slots(&self) -> usize {
        self.limits.slots
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn sequence(&self, stream_id: &str) -> Option<&Sequence> {
        self.sequences.get(stream_id)
    }

    /// Queues a sequence and returns its reader number.
    pub(crate) fn queue(&mut self, new: NewSequence) -> Result<u64, StreamRunning> {
        if self
            .sequences
            .get(&new.stream_id)
            .is_some_and(Sequence::is_active)
        {
            return Err(StreamRunning);
        }
        self.last_arrival += 1;
        self.last_reader_id += 1;
        let sequence = Sequence {
            program_id: new.program_id,
            prompt: new.prompt,
            output_tokens: new.output_tokens,
            finish_reason: new.finish_reason,
            generated: 0,
            cached_tokens: None,
            phase: Phase::Waiting,
            reader_id: self.last_reader_id,
            priority: new.priority,
            arrival: self.last_arrival,
        };
        self.waiting.insert(sequence.queue_key(&new.stream_id));
        self.sequences.insert(new.stream_id, sequence);
        Ok(self.last_reader_id)
    }

    /// Assigns a new reader to a sequence, and queues the sequence again if it was suspended.
    pub(crate) fn resume(&mut self, stream_id: &str) -> Option<u64> {
        let sequence = self.sequences.get_mut(stream_id)?;
        self.last_reader_id += 1;
        sequence.reader_id = self.last_reader_id;
        if sequence.phase == Phase::Suspended {
            self.last_arrival += 1;
            sequence.arrival = self.last_arrival;
            sequence.phase = Phase::Waiting;
            self.waiting.insert(sequence.queue_key(stream_id));
        }
        Some(self.last_reader_id)
    }

    /// Moves an active or suspended sequence to `phase`, which is `Cancelled` or `Suspended`.
    ///
    /// A sequence that is already finished or cancelled is unchanged.
    pub(crate) fn stop(&mut self, stream_id: &str, phase: Phase, cache: &mut Cache, now: Instant) {
        let Some(sequence) = self.sequences.get_mut(stream_id) else {
            return;
        };
        if !sequence.is_active() {
            if sequence.phase == Phase::Suspended {
                sequence.phase = phase;
            }
            return;
        }
        self.waiting.remove(&sequence.queue_key(stream_id));
        sequence.phase = phase;
        self.deactivate(stream_id, cache, now);
    }

    /// Admits waiting sequences, runs the due steps, and returns the time of the next tick.
    pub(crate) fn tick(
        &mut self,
        cache: &mut Cache,
        stats: &mut EngineStats,
        now: Instant,
    ) -> Option<Instant> {
        self.admit(cache, stats, now);
        for _ in 0..CATCH_UP_STEPS_MAX {
            self.start_generating(now);
            match self.next_step_at {
                Some(at) if at <= now => self.step(at, cache, stats, now),
                _ => break,
            }
            self.admit(cache, stats, now);
        }
        self.next_due()
    }

    /// Admits waiting sequences into free slots, in priority order.
    fn admit(&mut self, cache: &mut Cache, stats: &mut EngineStats, now: Instant) {
        while self.running.len() < self.limits.slots {
            let Some((_, _, stream_id)) = self.waiting.pop_first() else {
                break;
            };
            let Some(sequence) = self.sequences.get_mut(&stream_id) else {
                continue;
            };
            let context = sequence.prompt.with_output(sequence.generated);
            let cached = match &sequence.program_id {
                Some(program_id) => cache.lookup(program_id, &context),
                None => 0,
            };
            let computed = context.tokens() - cached;
            let prompt_tokens = sequence.prompt.tokens();
            sequence.cached_tokens.get_or_insert(cached.min(prompt_tokens));
            stats.prompt_tokens_cached += cached;
            stats.prompt_tokens_computed += computed;
            // Prompts share the processor, so the prefill of each starts after the previous one.
            let start = self.prefill_free_at.map_or(now, |free_at| free_at.max(now));
            let ready_at = start + self.limits.prefill_per_token.mul_f64(to_f64(computed));
            self.prefill_free_at = Some(ready_at);
            sequence.phase = Phase::Prefilling(ready_at);
            self.running.insert(stream_id);
            stats.peak_batch = stats.peak_batch.max(self.running.len() as u64);
        }
    }

    /// Moves the sequences whose prefill has ended to the generating phase.
    fn start_generating(&mut self, now: Instant) {
        for stream_id in &self.running {
            let Some(sequence) = self.sequences.get_mut(stream_id) else {
                continue;
            };
            if let Phase::Prefilling(ready_at) = sequence.phase
                && ready_at <= now
            {
                sequence.phase = Phase::Generating;
                if self.next_step_at.is_none() {
                    self.next_step_at = Some(ready_at + self.limits.base_step_time);
                }
            }
        }
    }

    /// Generates one token for each generating sequence.
    fn step(&mut self, at: Instant, cache: &mut Cache, stats: &mut EngineStats, now: Instant) {
        let mut finished = Vec::new();
        for stream_id in &self.running {
            let Some(sequence) = self.sequences.get_mut(stream_id) else {
                continue;
            };
            if sequence.phase != Phase::Generating {
                continue;
            }
            sequence.generated += 1;
            stats.generated += 1;
            if sequence.generated >= sequence.output_tokens {
                sequence.phase = Phase::Finished;
                finished.push(stream_id.clone());
            }
        }
        for stream_id in finished {
            self.deactivate(&stream_id, cache, now);
        }
        let generating = self.generating();
        self.next_step_at = (generating > 0).then(|| at + self.step_time(generating));
    }

    /// Frees the slot of a sequence that has stopped, and stores its prefix in the cache.
    fn deactivate(&mut self, stream_id: &str, cache: &mut Cache, now: Instant) {
        let was_running = self.running.remove(stream_id);
        let Some(sequence) = self.sequences.get(stream_id) else {
            return;
        };
        if was_running && let Some(program_id) = &sequence.program_id {
            let prefix = sequence.prompt.with_output(sequence.generated);
            // A prefix larger than the whole cache is not stored, as in a real engine.
            cache.store(program_id, prefix, now).unwrap_or_default();
        }
        self.inactive.push_back((stream_id.to_owned(), sequence.arrival));
        self.remove_oldest_inactive();
        if self.generating() == 0 {
            self.next_step_at = None;
        }
    }

    fn remove_oldest_inactive(&mut self) {
        while self.inactive.len() > INACTIVE_SEQUENCES_MAX {
            let Some((stream_id, arrival)) = self.inactive.pop_front() else {
                return;
            };
            // A newer sequence may have reused the stream id.
            let sequence = self.sequences.get(&stream_id);
            if sequence.is_some_and(|sequence| sequence.arrival == arrival && !sequence.is_active()) {
                self.sequences.remove(&stream_id);
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let running = self
            .running
            .iter()
            .filter_map(|stream_id| self.sequences.get(stream_id));
        let prefilled = running.filter_map(|sequence| match sequence.phase {
            Phase::Prefilling(ready_at) => Some(ready_at),
            _ => None,
        });
        prefilled.chain(self.next_step_at).min()
    }

    fn generating(&self) -> usize {
        let running = self
            .running
            .iter()
            .filter_map(|stream_id| self.sequences.get(stream_id));
        running
            .filter(|sequence| sequence.phase == Phase::Generating)
            .count()
    }

    fn step_time(&self, generating: usize) -> Duration {
        let additional = to_f64(generating.saturating_sub(1) as u64);
        self.limits
            .base_step_time
            .mul_f64(1.0 + self.limits.batch_slowdown * additional)
    }
}

impl Sequence {
    pub(crate) fn is_active(&self) -> bool {
        matches!(
            self.phase,
            Phase::Waiting | Phase::Prefilling(_) | Phase::Generating
        )
    }

    fn queue_key(&self, stream_id: &str) -> (i64, u64, String) {
        (self.priority, self.arrival, stream_id.to_owned())
    }
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

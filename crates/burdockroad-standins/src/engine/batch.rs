//! Continuous batching: the table of sequences, and the systems that run over it at each step.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::engine::{cache::Cache, chat::FinishReason, stats::EngineStats, text::Prompt};

/// Ended sequences that are kept, so that their streams can be read again.
const ENDED_KEPT: usize = 4096;
/// Steps at one go when the batch is behind its time.
const STEPS_AT_ONCE: usize = 64;

/// Speed and size of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    pub(crate) slots: usize,
    /// Time of a step with one sequence.
    pub(crate) step: Duration,
    /// Share of `step` that each further sequence adds.
    pub(crate) slowdown: f64,
    pub(crate) prefill_per_token: Duration,
}

/// One answer that is waited for, computed, or was ended.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) program_id: Option<String>,
    pub(crate) prompt: Prompt,
    /// Tokens that the whole answer has.
    pub(crate) answer_tokens: u64,
    pub(crate) finish_reason: FinishReason,
    pub(crate) generated: u64,
    /// Tokens of the prompt that were cached when it was first admitted.
    pub(crate) cached_tokens: Option<u64>,
    pub(crate) phase: Phase,
    /// Number of the one reader that the tokens go to.
    pub(crate) reader: u64,
    priority: i64,
    arrival: u64,
}

/// Where a sequence stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    /// The prompt is computed until this time.
    Prefilling(Instant),
    Generating,
    /// The reader left; the sequence goes on when another one comes.
    Suspended,
    Finished,
    Cancelled,
}

/// What a new sequence is made of.
#[derive(Debug)]
pub(crate) struct NewSequence {
    pub(crate) stream_id: String,
    pub(crate) program_id: Option<String>,
    pub(crate) priority: i64,
    pub(crate) prompt: Prompt,
    pub(crate) answer_tokens: u64,
    pub(crate) finish_reason: FinishReason,
}

/// A stream of that name is being computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamRunning;

/// All sequences of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    limits: BatchLimits,
    sequences: BTreeMap<String, Sequence>,
    /// Waiting sequences by priority, arrival and name.
    waiting: BTreeSet<(i64, u64, String)>,
    running: BTreeSet<String>,
    ended: VecDeque<(String, u64)>,
    arrivals: u64,
    readers: u64,
    /// When the prompts that are being computed will all be.
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
            ended: VecDeque::new(),
            arrivals: 0,
            readers: 0,
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

    /// Queues a sequence and returns the number of its reader.
    pub(crate) fn queue(&mut self, new: NewSequence) -> Result<u64, StreamRunning> {
        if self
            .sequences
            .get(&new.stream_id)
            .is_some_and(Sequence::is_active)
        {
            return Err(StreamRunning);
        }
        self.arrivals += 1;
        self.readers += 1;
        let sequence = Sequence {
            program_id: new.program_id,
            prompt: new.prompt,
            answer_tokens: new.answer_tokens,
            finish_reason: new.finish_reason,
            generated: 0,
            cached_tokens: None,
            phase: Phase::Waiting,
            reader: self.readers,
            priority: new.priority,
            arrival: self.arrivals,
        };
        self.waiting.insert(sequence.place(&new.stream_id));
        self.sequences.insert(new.stream_id, sequence);
        Ok(self.readers)
    }

    /// Gives a sequence a new reader, and queues it again if it was suspended.
    pub(crate) fn resume(&mut self, stream_id: &str) -> Option<u64> {
        let sequence = self.sequences.get_mut(stream_id)?;
        self.readers += 1;
        sequence.reader = self.readers;
        if sequence.phase == Phase::Suspended {
            self.arrivals += 1;
            sequence.arrival = self.arrivals;
            sequence.phase = Phase::Waiting;
            self.waiting.insert(sequence.place(stream_id));
        }
        Some(self.readers)
    }

    /// Ends a sequence before its end; it stays as it is when it has ended already.
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
        self.waiting.remove(&sequence.place(stream_id));
        sequence.phase = phase;
        self.end(stream_id, cache, now);
    }

    /// Fills free slots, computes what is due, and returns when there is more to do.
    pub(crate) fn tick(
        &mut self,
        cache: &mut Cache,
        stats: &mut EngineStats,
        now: Instant,
    ) -> Option<Instant> {
        self.admit(cache, stats, now);
        for _ in 0..STEPS_AT_ONCE {
            self.start_generating(now);
            match self.next_step_at {
                Some(at) if at <= now => self.step(at, cache, stats, now),
                _ => break,
            }
            self.admit(cache, stats, now);
        }
        self.next_due()
    }

    /// Takes waiting sequences into free slots, the most urgent first.
    fn admit(&mut self, cache: &mut Cache, stats: &mut EngineStats, now: Instant) {
        while self.running.len() < self.limits.slots {
            let Some((_, _, stream_id)) = self.waiting.pop_first() else {
                break;
            };
            let Some(sequence) = self.sequences.get_mut(&stream_id) else {
                continue;
            };
            let context = sequence.prompt.answered(sequence.generated);
            let cached = match &sequence.program_id {
                Some(program_id) => cache.look_up(program_id, &context),
                None => 0,
            };
            let computed = context.tokens() - cached;
            let prompt_tokens = sequence.prompt.tokens();
            sequence.cached_tokens.get_or_insert(cached.min(prompt_tokens));
            stats.prompt_tokens_cached += cached;
            stats.prompt_tokens_computed += computed;
            // Prompts share the processor, so each is computed after those before it.
            let start = self.prefill_free_at.map_or(now, |free_at| free_at.max(now));
            let ready_at = start + self.limits.prefill_per_token.mul_f64(to_f64(computed));
            self.prefill_free_at = Some(ready_at);
            sequence.phase = Phase::Prefilling(ready_at);
            self.running.insert(stream_id);
            stats.peak_batch = stats.peak_batch.max(self.running.len() as u64);
        }
    }

    /// Lets sequences whose prompt is computed take part in the next step.
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
                    self.next_step_at = Some(ready_at + self.limits.step);
                }
            }
        }
    }

    /// Generates one token of each sequence that takes part.
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
            if sequence.generated >= sequence.answer_tokens {
                sequence.phase = Phase::Finished;
                finished.push(stream_id.clone());
            }
        }
        for stream_id in finished {
            self.end(&stream_id, cache, now);
        }
        let generating = self.generating();
        self.next_step_at = (generating > 0).then(|| at + self.step_time(generating));
    }

    /// Frees the slot of a sequence and leaves its prefix in the cache.
    fn end(&mut self, stream_id: &str, cache: &mut Cache, now: Instant) {
        let was_running = self.running.remove(stream_id);
        let Some(sequence) = self.sequences.get(stream_id) else {
            return;
        };
        if was_running && let Some(program_id) = &sequence.program_id {
            let prefix = sequence.prompt.answered(sequence.generated);
            // A prefix larger than the whole cache is not held, which is what a real engine does.
            cache.hold(program_id, prefix, now).unwrap_or_default();
        }
        self.ended.push_back((stream_id.to_owned(), sequence.arrival));
        self.forget_oldest();
        if self.generating() == 0 {
            self.next_step_at = None;
        }
    }

    fn forget_oldest(&mut self) {
        while self.ended.len() > ENDED_KEPT {
            let Some((stream_id, arrival)) = self.ended.pop_front() else {
                return;
            };
            // The name may have been taken by a newer sequence.
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
        let further = to_f64(generating.saturating_sub(1) as u64);
        self.limits.step.mul_f64(1.0 + self.limits.slowdown * further)
    }
}

impl Sequence {
    pub(crate) fn is_active(&self) -> bool {
        matches!(
            self.phase,
            Phase::Waiting | Phase::Prefilling(_) | Phase::Generating
        )
    }

    fn place(&self, stream_id: &str) -> (i64, u64, String) {
        (self.priority, self.arrival, stream_id.to_owned())
    }
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

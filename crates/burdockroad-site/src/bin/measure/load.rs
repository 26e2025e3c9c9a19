//! Generates the simulated load from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens that an engine computes per second in one slot.
pub(crate) const PROMPT_TOKENS_PER_S: f64 = 4_000.0;

/// Output tokens that an engine generates per second in one slot.
pub(crate) const OUTPUT_TOKENS_PER_S: f64 = 50.0;

/// Mean duration of a tool call between two calls of a program.
const MEAN_TOOL_PAUSE_S: f64 = 1.5;

/// Programs over which the mean slot time of a program is estimated.
const SAMPLE_PROGRAMS: usize = 4_000;

/// Agent program: a sequence of calls. The prompt of each call includes the history of all earlier calls.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) account: usize,
    pub(crate) arrival_s: f64,
    pub(crate) turns: Vec<Turn>,
}

/// Call of a program and the pause after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) added_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) pause_s: f64,
}

/// Generator of programs.
pub(crate) struct Generator {
    rng: ChaCha8Rng,
}

impl Generator {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns programs that arrive at random, with the given rate for each account.
    pub(crate) fn arrivals(&mut self, rates_per_s: &[f64], duration_s: f64) -> Vec<Program> {
        let mut programs = Vec::new();
        for (account, rate_per_s) in rates_per_s.iter().enumerate() {
            let mut at = self.exponential(1.0 / rate_per_s);
            while at < duration_s {
                programs.push(self.program(account, at));
                at += self.exponential(1.0 / rate_per_s);
            }
        }
        programs.sort_by(|a, b| a.arrival_s.total_cmp(&b.arrival_s));
        programs
    }

    pub(crate) fn program(&mut self, account: usize, arrival_s: f64) -> Program {
        let turns = match self.rng.random_range(0..10) {
            0..6 => self.rng.random_range(3..=6),
            6..9 => self.rng.random_range(7..=20),
            _ => self.rng.random_range(21..=40),
        };
        let turns = (0..turns).map(|index| self.turn(index == 0)).collect();
        Program {
            account,
            arrival_s,
            turns,
        }
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    pub(crate) fn below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn turn(&mut self, first: bool) -> Turn {
        let added_tokens = if first {
            self.rng.random_range(1_000..=6_000)
        } else {
            self.rng.random_range(200..=2_000)
        };
        Turn {
            added_tokens,
            output_tokens: self.rng.random_range(40..=400),
            pause_s: self.exponential(MEAN_TOOL_PAUSE_S),
        }
    }
}

impl Program {
    /// Returns the slot time of the program if no prefix is cached.
    pub(crate) fn total_slot_time_s(&self) -> f64 {
        let mut context = 0;
        let mut total_slot_time_s = 0.0;
        for turn in &self.turns {
            context += turn.added_tokens;
            total_slot_time_s += slot_time_s(context, turn.output_tokens);
            context += turn.output_tokens;
        }
        total_slot_time_s
    }
}

/// Returns the time that a call occupies a slot to compute its prompt and to generate its output.
pub(crate) fn slot_time_s(computed_tokens: u64, output_tokens: u64) -> f64 {
    to_f64(computed_tokens) / PROMPT_TOKENS_PER_S + to_f64(output_tokens) / OUTPUT_TOKENS_PER_S
}

/// Returns the mean slot time of a program if no prefix is cached.
pub(crate) fn mean_slot_time_s(seed: u64) -> f64 {
    let mut generator = Generator::new(seed);
    let total: f64 = (0..SAMPLE_PROGRAMS)
        .map(|_| generator.program(0, 0.0).total_slot_time_s())
        .sum();
    total / to_f64(SAMPLE_PROGRAMS as u64)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}

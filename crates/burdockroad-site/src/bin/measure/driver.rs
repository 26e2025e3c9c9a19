//! A loop over events that carries a policy's decisions out on modelled engines.
//!
//! An engine serves its slots independently of each other, keeps prefixes of programs least recently
//! used last, and reports its load and evictions late and with gaps.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use burdockroad::dispatch::{LoadReport, Report};

use crate::{
    load::{Generator, PROMPT_TOKENS_PER_S, Program, float, serve_s},
    policies::{Asked, Decided, Policy, Started, Turned},
};

/// Time that a call may wait for a slot.
const PATIENCE: Duration = Duration::from_secs(10);

/// Refused calls of a program, in a row, after which its caller gives up.
const TRIES_MAX: u32 = 4;

/// Time between two load reports, and their age.
const REPORT_S: f64 = 0.5;

/// Part of the evictions that are reported.
const REPORTED_EVICTIONS: f64 = 0.9;

/// Engines of one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Tokens that each engine can hold.
    pub(crate) cache_tokens: u64,
}

/// A program that came to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) account: usize,
    pub(crate) arrival_s: f64,
    pub(crate) at_s: f64,
    /// Whether all its calls were served.
    pub(crate) finished: bool,
    pub(crate) output_tokens: u64,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) ended: Vec<Ended>,
    /// Prompt tokens that were computed again.
    pub(crate) recomputed_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Served(usize),
    Report,
    Wake,
}

struct ProgramRow {
    program: Program,
    turn: usize,
    context_tokens: u64,
    attained_tokens: u64,
    last_endpoint: Option<usize>,
    tries: u32,
}

#[derive(Default)]
struct Engine {
    max_tokens: u64,
    tokens: u64,
    held: HashMap<usize, (u64, u64)>,
    by_use: BTreeMap<u64, usize>,
    uses: u64,
    running: u32,
    evicted: Vec<usize>,
}

/// One run of a load under a policy.
pub(crate) struct Driver<'a> {
    policy: &'a mut dyn Policy,
    start: Instant,
    now_s: f64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    programs: Vec<ProgramRow>,
    engines: Vec<Engine>,
    slots: HashMap<usize, (Started, Report)>,
    generator: Generator,
    left: usize,
    /// Whether an ended program is followed by a new one at once.
    closed: Option<usize>,
    outcome: Outcome,
}

impl<'a> Driver<'a> {
    pub(crate) fn new(
        policy: &'a mut dyn Policy,
        fleet: Fleet,
        programs: Vec<Program>,
        start: Instant,
        seed: u64,
    ) -> Self {
        let engine = || Engine {
            max_tokens: fleet.cache_tokens,
            ..Engine::default()
        };
        let mut driver = Self {
            policy,
            start,
            now_s: 0.0,
            events: BinaryHeap::new(),
            sequence: 0,
            programs: Vec::new(),
            engines: (0..fleet.endpoints).map(|_| engine()).collect(),
            slots: HashMap::new(),
            generator: Generator::new(seed),
            left: 0,
            closed: None,
            outcome: Outcome::default(),
        };
        driver.at(0.0, Event::Report);
        for program in programs {
            driver.add(program);
        }
        driver
    }

    /// Follows each program that ends by a new one, until this many have been started.
    pub(crate) fn closed_until(mut self, programs: usize) -> Self {
        self.closed = Some(programs);
        self
    }

    /// Runs until all programs have ended.
    pub(crate) fn run(mut self) -> Outcome {
        while self.left > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now_s = at.as_secs_f64();
            match event {
                Event::Call(program) => self.call(program),
                Event::Served(program) => self.served(program),
                Event::Report => self.report(),
                Event::Wake => {}
            }
            let decided = self.policy.decide(self.now());
            self.carry_out(decided);
            if let Some(wake_at) = self.policy.wake_at() {
                let wake_s = wake_at.saturating_duration_since(self.start).as_secs_f64();
                if wake_s < self.now_s + REPORT_S {
                    self.at(wake_s.max(self.now_s + 0.001), Event::Wake);
                }
            }
        }
        self.outcome
    }

    fn add(&mut self, program: Program) {
        let index = self.programs.len();
        self.at(program.arrival_s, Event::Call(index));
        self.left += 1;
        self.programs.push(ProgramRow {
            program,
            turn: 0,
            context_tokens: 0,
            attained_tokens: 0,
            last_endpoint: None,
            tries: 0,
        });
    }

    fn call(&mut self, program: usize) {
        let now = self.now();
        let row = &self.programs[program];
        let asked = Asked {
            program,
            account: row.program.account,
            turn: row.turn,
            prompt_tokens: row.context_tokens + row.program.turns[row.turn].added_tokens,
            attained_tokens: row.attained_tokens,
            last_endpoint: row.last_endpoint,
            slot_deadline: now + PATIENCE,
        };
        let decided = self.policy.submit(asked, now);
        self.carry_out(decided);
    }

    fn carry_out(&mut self, decided: Decided) {
        for started in decided.started {
            self.start_call(started);
        }
        for refused in decided.refused {
            self.refused(refused);
        }
    }

    fn start_call(&mut self, started: Started) {
        let row = &mut self.programs[started.program];
        let turn = row.program.turns[row.turn];
        let prompt_tokens = row.context_tokens + turn.added_tokens;
        let engine = &mut self.engines[started.endpoint];
        let cached_tokens = engine
            .held
            .get(&started.program)
            .map_or(0, |held| held.0.min(prompt_tokens));
        self.outcome.recomputed_tokens += row.context_tokens.saturating_sub(cached_tokens);
        row.tries = 0;
        row.last_endpoint = Some(started.endpoint);
        engine.running += 1;
        engine.hold(started.program, prompt_tokens + turn.output_tokens);
        let computed = prompt_tokens - cached_tokens;
        let report = Report {
            prompt_tokens,
            cached_tokens,
            output_tokens: turn.output_tokens,
            first_token: Some(Duration::from_secs_f64(float(computed) / PROMPT_TOKENS_PER_S)),
            failed: false,
        };
        self.slots.insert(started.program, (started, report));
        self.at(
            self.now_s + serve_s(computed, turn.output_tokens),
            Event::Served(started.program),
        );
    }

    fn served(&mut self, program: usize) {
        let Some((started, report)) = self.slots.remove(&program) else {
            return;
        };
        let engine = &mut self.engines[started.endpoint];
        engine.running -= 1;
        engine.hold(program, report.prompt_tokens + report.output_tokens);
        self.policy.complete(started, &report, self.now());
        let row = &mut self.programs[program];
        let turn = row.program.turns[row.turn];
        row.context_tokens = report.prompt_tokens + report.output_tokens;
        row.attained_tokens += report.output_tokens;
        row.turn += 1;
        if row.turn == row.program.turns.len() {
            self.end(program, true);
        } else {
            self.at(self.now_s + turn.pause_s, Event::Call(program));
        }
    }

    fn refused(&mut self, refused: Turned) {
        let row = &mut self.programs[refused.program];
        row.tries += 1;
        if row.tries >= TRIES_MAX {
            self.end(refused.program, false);
            return;
        }
        let jitter_s = self.generator.exponential(0.1);
        let retry_s = self.now_s + refused.retry_after.as_secs_f64() + jitter_s;
        self.at(retry_s, Event::Call(refused.program));
    }

    fn end(&mut self, program: usize, finished: bool) {
        let row = &self.programs[program];
        self.outcome.ended.push(Ended {
            account: row.program.account,
            arrival_s: row.program.arrival_s,
            at_s: self.now_s,
            finished,
            output_tokens: row.attained_tokens,
        });
        self.left -= 1;
        self.policy.ended(program);
        for engine in &mut self.engines {
            engine.free(program);
        }
        if self.closed.is_some_and(|until| self.programs.len() < until) {
            let next = self.generator.program(0, self.now_s);
            self.add(next);
        }
    }

    fn report(&mut self) {
        for endpoint in 0..self.engines.len() {
            let engine = &mut self.engines[endpoint];
            let evicted: Vec<usize> = std::mem::take(&mut engine.evicted)
                .into_iter()
                .filter(|_| self.generator.chance(REPORTED_EVICTIONS))
                .collect();
            let load = LoadReport {
                running: engine.running,
                waiting: 0,
                cache_max_tokens: engine.max_tokens,
                age: Duration::ZERO,
            };
            self.policy.observe(endpoint, load, &evicted, self.now());
        }
        self.at(self.now_s + REPORT_S, Event::Report);
    }

    fn at(&mut self, at_s: f64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((Duration::from_secs_f64(at_s), self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_s)
    }
}

impl Engine {
    fn hold(&mut self, program: usize, tokens: u64) {
        self.free(program);
        self.uses += 1;
        self.held.insert(program, (tokens, self.uses));
        self.by_use.insert(self.uses, program);
        self.tokens += tokens;
        while self.tokens > self.max_tokens
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            if let Some((tokens, _)) = self.held.remove(&oldest) {
                self.tokens -= tokens;
                self.evicted.push(oldest);
            }
        }
    }

    fn free(&mut self, program: usize) {
        if let Some((tokens, used)) = self.held.remove(&program) {
            self.by_use.remove(&used);
            self.tokens -= tokens;
        }
    }
}

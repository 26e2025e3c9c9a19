//! Discrete-event simulation that applies a policy's decisions to simulated engines.
//!
//! The slots of an engine are independent of each other. An engine caches the prefixes of programs and
//! evicts the least recently used one. It reports its load and evictions with a delay, and some evictions
//! are not reported.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use burdockroad::dispatch::{LoadReport, Report};

use crate::{
    load::{Generator, PROMPT_TOKENS_PER_S, Program, slot_time_s, to_f64},
    policies::{CallRequest, Decisions, Policy, RefusedCall, StartedCall},
};

/// Maximum time that a call waits for a slot.
const SLOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Consecutive refusals of a program's call after which its caller ends the program.
const REFUSALS_MAX: u32 = 4;

/// Interval between two load reports, which is also their maximum age.
const REPORT_INTERVAL_S: f64 = 0.5;

/// Share of the evictions that is reported.
const REPORTED_EVICTION_SHARE: f64 = 0.9;

/// Size of a simulated pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSize {
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Tokens that each engine can cache.
    pub(crate) cache_tokens: u64,
}

/// Program that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedProgram {
    pub(crate) account: usize,
    pub(crate) arrival_s: f64,
    pub(crate) ended_at_s: f64,
    /// Whether all of its calls were served.
    pub(crate) finished: bool,
    pub(crate) output_tokens: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) ended: Vec<EndedProgram>,
    /// Tokens of program histories that were recomputed because the engine had not cached them.
    pub(crate) recomputed_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Served(usize),
    Report,
    Wake,
}

struct ProgramState {
    program: Program,
    turn: usize,
    context_tokens: u64,
    attained_tokens: u64,
    last_endpoint: Option<usize>,
    refusals: u32,
}

#[derive(Default)]
struct Engine {
    max_tokens: u64,
    tokens: u64,
    /// Tokens of each program's cached prefix, and the value of `use_count` at its last use.
    cached: HashMap<usize, (u64, u64)>,
    least_recently_used: BTreeMap<u64, usize>,
    use_count: u64,
    running: u32,
    evicted: Vec<usize>,
}

/// Simulation of a load with a policy.
pub(crate) struct Driver<'a> {
    policy: &'a mut dyn Policy,
    start: Instant,
    now_s: f64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    programs: Vec<ProgramState>,
    engines: Vec<Engine>,
    /// Running call of each program, with the report of its completion.
    running_calls: HashMap<usize, (StartedCall, Report)>,
    generator: Generator,
    unfinished_programs: usize,
    /// Total number of programs in a closed loop; none if all programs are given at the start.
    closed_loop_programs: Option<usize>,
    outcome: Outcome,
}

impl<'a> Driver<'a> {
    pub(crate) fn new(
        policy: &'a mut dyn Policy,
        pool_size: PoolSize,
        programs: Vec<Program>,
        start: Instant,
        seed: u64,
    ) -> Self {
        let engine = || Engine {
            max_tokens: pool_size.cache_tokens,
            ..Engine::default()
        };
        let mut driver = Self {
            policy,
            start,
            now_s: 0.0,
            events: BinaryHeap::new(),
            sequence: 0,
            programs: Vec::new(),
            engines: (0..pool_size.endpoints).map(|_| engine()).collect(),
            running_calls: HashMap::new(),
            generator: Generator::new(seed),
            unfinished_programs: 0,
            closed_loop_programs: None,
            outcome: Outcome::default(),
        };
        driver.schedule(0.0, Event::Report);
        for program in programs {
            driver.add_program(program);
        }
        driver
    }

    /// Starts a new program for each one that ends, until the total number of programs is reached.
    pub(crate) fn closed_loop(mut self, programs: usize) -> Self {
        self.closed_loop_programs = Some(programs);
        self
    }

    /// Runs until all programs have ended.
    pub(crate) fn run(mut self) -> Outcome {
        while self.unfinished_programs > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now_s = at.as_secs_f64();
            match event {
                Event::Call(program) => self.submit_call(program),
                Event::Served(program) => self.finish_call(program),
                Event::Report => self.report(),
                Event::Wake => {}
            }
            let decisions = self.policy.decide(self.now());
            self.apply_decisions(decisions);
            if let Some(wake_at) = self.policy.wake_at() {
                let wake_s = wake_at.saturating_duration_since(self.start).as_secs_f64();
                if wake_s < self.now_s + REPORT_INTERVAL_S {
                    self.schedule(wake_s.max(self.now_s + 0.001), Event::Wake);
                }
            }
        }
        self.outcome
    }

    fn add_program(&mut self, program: Program) {
        let index = self.programs.len();
        self.schedule(program.arrival_s, Event::Call(index));
        self.unfinished_programs += 1;
        self.programs.push(ProgramState {
            program,
            turn: 0,
            context_tokens: 0,
            attained_tokens: 0,
            last_endpoint: None,
            refusals: 0,
        });
    }

    fn submit_call(&mut self, program: usize) {
        let now = self.now();
        let state = &self.programs[program];
        let request = CallRequest {
            program,
            account: state.program.account,
            turn: state.turn,
            prompt_tokens: state.context_tokens + state.program.turns[state.turn].added_tokens,
            attained_tokens: state.attained_tokens,
            last_endpoint: state.last_endpoint,
            slot_deadline: now + SLOT_TIMEOUT,
        };
        let decisions = self.policy.submit(request, now);
        self.apply_decisions(decisions);
    }

    fn apply_decisions(&mut self, decisions: Decisions) {
        for started in decisions.started {
            self.start_call(started);
        }
        for refused in decisions.refused {
            self.on_refusal(refused);
        }
    }

    fn start_call(&mut self, started: StartedCall) {
        let state = &mut self.programs[started.program];
        let turn = state.program.turns[state.turn];
        let prompt_tokens = state.context_tokens + turn.added_tokens;
        let engine = &mut self.engines[started.endpoint];
        let cached_tokens = engine
            .cached
            .get(&started.program)
            .map_or(0, |cached| cached.0.min(prompt_tokens));
        self.outcome.recomputed_tokens += state.context_tokens.saturating_sub(cached_tokens);
        state.refusals = 0;
        state.last_endpoint = Some(started.endpoint);
        engine.running += 1;
        engine.cache_prefix(started.program, prompt_tokens + turn.output_tokens);
        let computed = prompt_tokens - cached_tokens;
        let report = Report {
            prompt_tokens,
            cached_tokens,
            output_tokens: turn.output_tokens,
            first_token: Some(Duration::from_secs_f64(to_f64(computed) / PROMPT_TOKENS_PER_S)),
            failed: false,
        };
        self.running_calls.insert(started.program, (started, report));
        self.schedule(
            self.now_s + slot_time_s(computed, turn.output_tokens),
            Event::Served(started.program),
        );
    }

    fn finish_call(&mut self, program: usize) {
        let Some((started, report)) = self.running_calls.remove(&program) else {
            return;
        };
        let engine = &mut self.engines[started.endpoint];
        engine.running -= 1;
        engine.cache_prefix(program, report.prompt_tokens + report.output_tokens);
        self.policy.complete(started, &report, self.now());
        let state = &mut self.programs[program];
        let turn = state.program.turns[state.turn];
        state.context_tokens = report.prompt_tokens + report.output_tokens;
        state.attained_tokens += report.output_tokens;
        state.turn += 1;
        if state.turn == state.program.turns.len() {
            self.end_program(program, true);
        } else {
            self.schedule(self.now_s + turn.pause_s, Event::Call(program));
        }
    }

    fn on_refusal(&mut self, refused: RefusedCall) {
        let state = &mut self.programs[refused.program];
        state.refusals += 1;
        if state.refusals >= REFUSALS_MAX {
            self.end_program(refused.program, false);
            return;
        }
        let jitter_s = self.generator.exponential(0.1);
        let retry_s = self.now_s + refused.retry_after.as_secs_f64() + jitter_s;
        self.schedule(retry_s, Event::Call(refused.program));
    }

    fn end_program(&mut self, program: usize, finished: bool) {
        let state = &self.programs[program];
        self.outcome.ended.push(EndedProgram {
            account: state.program.account,
            arrival_s: state.program.arrival_s,
            ended_at_s: self.now_s,
            finished,
            output_tokens: state.attained_tokens,
        });
        self.unfinished_programs -= 1;
        self.policy.on_program_end(program);
        for engine in &mut self.engines {
            engine.remove_prefix(program);
        }
        if self
            .closed_loop_programs
            .is_some_and(|total| self.programs.len() < total)
        {
            let next = self.generator.program(0, self.now_s);
            self.add_program(next);
        }
    }

    fn report(&mut self) {
        for endpoint in 0..self.engines.len() {
            let engine = &mut self.engines[endpoint];
            let evicted: Vec<usize> = std::mem::take(&mut engine.evicted)
                .into_iter()
                .filter(|_| self.generator.chance(REPORTED_EVICTION_SHARE))
                .collect();
            let load = LoadReport {
                running: engine.running,
                waiting: 0,
                cache_max_tokens: engine.max_tokens,
                age: Duration::ZERO,
            };
            self.policy.observe(endpoint, load, &evicted, self.now());
        }
        self.schedule(self.now_s + REPORT_INTERVAL_S, Event::Report);
    }

    fn schedule(&mut self, at_s: f64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((Duration::from_secs_f64(at_s), self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_s)
    }
}

impl Engine {
    fn cache_prefix(&mut self, program: usize, tokens: u64) {
        self.remove_prefix(program);
        self.use_count += 1;
        self.cached.insert(program, (tokens, self.use_count));
        self.least_recently_used.insert(self.use_count, program);
        self.tokens += tokens;
        while self.tokens > self.max_tokens
            && let Some((_, oldest)) = self.least_recently_used.pop_first()
        {
            if let Some((tokens, _)) = self.cached.remove(&oldest) {
                self.tokens -= tokens;
                self.evicted.push(oldest);
            }
        }
    }

    fn remove_prefix(&mut self, program: usize) {
        if let Some((tokens, used)) = self.cached.remove(&program) {
            self.least_recently_used.remove(&used);
            self.tokens -= tokens;
        }
    }
}

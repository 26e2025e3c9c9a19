//! Scheduling policies: the measured one and the baselines.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use burdockroad::dispatch::{
    CacheEvent, Call, CallId, EndpointInfo, LoadReport, Pool, Report, SlotId, Submitted,
};

/// Call of a program that is submitted to a policy.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub(crate) program: usize,
    pub(crate) account: usize,
    pub(crate) turn: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) attained_tokens: u64,
    pub(crate) last_endpoint: Option<usize>,
    pub(crate) slot_deadline: Instant,
}

/// Call that received a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedCall {
    pub(crate) program: usize,
    pub(crate) endpoint: usize,
    pub(crate) slot_id: SlotId,
}

/// Call that was refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedCall {
    pub(crate) program: usize,
    pub(crate) retry_after: Duration,
}

/// Calls that a policy started and refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decisions {
    pub(crate) started: Vec<StartedCall>,
    pub(crate) refused: Vec<RefusedCall>,
}

/// Policy that decides which calls start next and on which endpoints.
pub(crate) trait Policy {
    fn submit(&mut self, request: CallRequest, now: Instant) -> Decisions;
    fn decide(&mut self, now: Instant) -> Decisions;
    fn complete(&mut self, started: StartedCall, report: &Report, now: Instant);
    fn wake_at(&self) -> Option<Instant> {
        None
    }
    fn observe(&mut self, _endpoint: usize, _load: LoadReport, _evicted: &[usize], _now: Instant) {}
    fn on_program_end(&mut self, _program: usize) {}
}

/// Measured policy, which uses the scheduler's pool.
#[derive(Debug)]
pub(crate) struct PoolPolicy {
    pool: Pool,
    programs: HashMap<CallId, usize>,
}

impl PoolPolicy {
    pub(crate) fn new(endpoints: usize, slots: u32, weights: &[f64], now: Instant) -> Self {
        let mut pool = Pool::new(now);
        let infos = (0..endpoints).map(|endpoint| EndpointInfo::new(endpoint_id(endpoint), slots));
        pool.set_endpoints(infos.collect(), now);
        for (account, weight) in weights.iter().enumerate() {
            pool.set_weight(&account_id(account), *weight);
        }
        Self {
            pool,
            programs: HashMap::new(),
        }
    }
}

impl Policy for PoolPolicy {
    fn submit(&mut self, request: CallRequest, now: Instant) -> Decisions {
        let call = Call {
            account_id: account_id(request.account),
            program_id: Some(program_id(request.program)),
            first: request.turn == 0,
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: 1_024,
            attained_tokens: request.attained_tokens,
            prefix_endpoint_id: request.last_endpoint.map(endpoint_id),
            excluded: Vec::new(),
            slot_deadline: request.slot_deadline,
        };
        let mut decisions = Decisions::default();
        match self.pool.submit(call, now) {
            Submitted::Waiting(call_id) => {
                self.programs.insert(call_id, request.program);
            }
            Submitted::Refused { retry_after, .. } => decisions.refused.push(RefusedCall {
                program: request.program,
                retry_after,
            }),
        }
        decisions
    }

    fn decide(&mut self, now: Instant) -> Decisions {
        let tick = self.pool.tick(now);
        let started = tick.assignments.into_iter().filter_map(|assignment| {
            Some(StartedCall {
                program: self.programs.remove(&assignment.call_id)?,
                endpoint: assignment.endpoint_id.trim_start_matches('e').parse().ok()?,
                slot_id: assignment.slot_id,
            })
        });
        let started = started.collect();
        let refused = tick.refused.into_iter().filter_map(|refused| {
            Some(RefusedCall {
                program: self.programs.remove(&refused.call_id)?,
                retry_after: refused.retry_after,
            })
        });
        Decisions {
            started,
            refused: refused.collect(),
        }
    }

    fn complete(&mut self, started: StartedCall, report: &Report, now: Instant) {
        self.pool.complete(started.slot_id, report, now);
    }

    fn wake_at(&self) -> Option<Instant> {
        self.pool.wake_at()
    }

    fn observe(&mut self, endpoint: usize, load: LoadReport, evicted: &[usize], now: Instant) {
        let endpoint_id = endpoint_id(endpoint);
        self.pool.observe_load(&endpoint_id, load, now);
        for program in evicted {
            let program_id = program_id(*program);
            self.pool
                .observe_cache_event(&endpoint_id, &CacheEvent::Removed { program_id });
        }
    }

    fn on_program_end(&mut self, program: usize) {
        self.pool.evict_program(&program_id(program));
    }
}

/// Baseline that distributes calls round robin over the endpoints. Each endpoint has a FIFO queue.
#[derive(Debug)]
pub(crate) struct RoundRobin {
    queues: Vec<VecDeque<usize>>,
    free_slots: Vec<u32>,
    next_endpoint: usize,
}

impl RoundRobin {
    pub(crate) fn new(endpoints: usize, slots: u32) -> Self {
        Self {
            queues: vec![VecDeque::new(); endpoints],
            free_slots: vec![slots; endpoints],
            next_endpoint: 0,
        }
    }
}

impl Policy for RoundRobin {
    fn submit(&mut self, request: CallRequest, _now: Instant) -> Decisions {
        self.queues[self.next_endpoint].push_back(request.program);
        self.next_endpoint = (self.next_endpoint + 1) % self.queues.len();
        Decisions::default()
    }

    fn decide(&mut self, _now: Instant) -> Decisions {
        let mut decisions = Decisions::default();
        for endpoint in 0..self.queues.len() {
            while self.free_slots[endpoint] > 0
                && let Some(program) = self.queues[endpoint].pop_front()
            {
                self.free_slots[endpoint] -= 1;
                decisions.started.push(started(program, endpoint));
            }
        }
        decisions
    }

    fn complete(&mut self, started: StartedCall, _report: &Report, _now: Instant) {
        self.free_slots[started.endpoint] += 1;
    }
}

/// Baseline with one FIFO queue that starts each call on the endpoint with the most free slots. It
/// ignores cached prefixes.
#[derive(Debug)]
pub(crate) struct LeastLoaded {
    queue: VecDeque<usize>,
    free_slots: Vec<u32>,
}

impl LeastLoaded {
    pub(crate) fn new(endpoints: usize, slots: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            free_slots: vec![slots; endpoints],
        }
    }
}

impl Policy for LeastLoaded {
    fn submit(&mut self, request: CallRequest, _now: Instant) -> Decisions {
        self.queue.push_back(request.program);
        Decisions::default()
    }

    fn decide(&mut self, _now: Instant) -> Decisions {
        let mut decisions = Decisions::default();
        while let Some((endpoint, free)) = self
            .free_slots
            .iter_mut()
            .enumerate()
            .max_by_key(|(_, free)| **free)
            && *free > 0
            && let Some(program) = self.queue.pop_front()
        {
            *free -= 1;
            decisions.started.push(started(program, endpoint));
        }
        decisions
    }

    fn complete(&mut self, started: StartedCall, _report: &Report, _now: Instant) {
        self.free_slots[started.endpoint] += 1;
    }
}

fn started(program: usize, endpoint: usize) -> StartedCall {
    StartedCall {
        program,
        endpoint,
        slot_id: 0,
    }
}

pub(crate) fn account_id(account: usize) -> String {
    format!("a{account}")
}

fn endpoint_id(endpoint: usize) -> String {
    format!("e{endpoint}")
}

fn program_id(program: usize) -> String {
    format!("p{program}")
}

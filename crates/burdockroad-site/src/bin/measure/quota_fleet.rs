//! Discrete-event simulation of hosts that admit calls of one account, with message latency and owner
//! failures.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use burdockroad::quota::{Admission, Bucket, GRANT_LIFE, Grant, Holder, Limits, Settled, TokenRequest};

use crate::load::Generator;

/// Latency of a message between two hosts.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);

/// Time from the failure of an owner until another host takes over.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// Time for which an owner that receives no reports from other hosts still acts as the owner.
const LEASE_REMAINDER: Duration = Duration::from_secs(1);

/// Duration of a pause and of a partition.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Maximum time that a call waits for admission.
pub(crate) const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// The owner's process is killed.
    OwnerKilled,
    /// The owner's process is paused. It then handles the messages that it received during the pause.
    OwnerPaused,
    /// The owner can reach only hosts with odd numbers, and it loses its lease.
    OwnerPartitioned,
    /// One host is paused and keeps its granted tokens.
    HostPaused(usize),
}

/// Initial state of a new owner's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Takeover {
    /// The bucket is empty and starts to fill when the grants of the previous owner have expired.
    Empty,
    /// The bucket is full immediately.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call {
        host: usize,
    },
    TokenRequest {
        host: usize,
        owner: usize,
        /// Index in the simulation's `token_requests`.
        token_request: usize,
    },
    Response {
        host: usize,
        /// Index in the simulation's `responses`.
        response: usize,
    },
    Tick {
        host: usize,
    },
    Fault(Fault),
    Takeover,
    OwnerAnnounced {
        host: usize,
        owner: usize,
    },
}

struct OwnerState {
    bucket: Bucket,
    lease_until: Option<Instant>,
    killed: bool,
    partitioned_until: Option<Instant>,
}

/// Simulation of all hosts for one account.
pub(crate) struct QuotaFleet {
    start: Instant,
    now: Instant,
    limits: Limits,
    takeover: Takeover,
    holders: Vec<Holder>,
    owner_by_host: Vec<usize>,
    paused_until: Vec<Instant>,
    tick_at: Vec<Option<Instant>>,
    owners: Vec<OwnerState>,
    /// End of each owner's pause. The simulation does not place owners on hosts, so an owner is paused
    /// independently of the hosts.
    owner_paused_until: Vec<Instant>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    token_requests: Vec<TokenRequest>,
    responses: Vec<(u64, Option<Grant>)>,
    generator: Generator,
    next_waiter_id: u64,
    /// Times from the start of the simulation to each admission.
    pub(crate) admitted: Vec<Duration>,
    /// Number of refused calls.
    pub(crate) refused: usize,
}

impl QuotaFleet {
    pub(crate) fn new(hosts: usize, limits: Limits, takeover: Takeover, seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            limits,
            takeover,
            holders: vec![Holder::new(); hosts],
            owner_by_host: vec![0; hosts],
            paused_until: vec![start; hosts],
            tick_at: vec![None; hosts],
            owners: Vec::new(),
            owner_paused_until: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            token_requests: Vec::new(),
            responses: Vec::new(),
            generator: Generator::new(seed),
            next_waiter_id: 1,
            admitted: Vec::new(),
            refused: 0,
        };
        fleet.add_owner(start);
        fleet
    }

    pub(crate) fn call(&mut self, at: Duration, host: usize) {
        self.schedule(self.start + at, Event::Call { host });
    }

    pub(crate) fn fault(&mut self, at: Duration, fault: Fault) {
        self.schedule(self.start + at, Event::Fault(fault));
    }

    /// Runs until no events are left.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, sequence, event))) = self.events.pop() {
            self.now = at;
            match self.delayed_until(event) {
                Some(until) => self.events.push(Reverse((until, sequence, event))),
                None => self.handle(event),
            }
        }
    }

    /// Returns the end of the pause if the process that handles the event is paused.
    fn delayed_until(&self, event: Event) -> Option<Instant> {
        let until = match event {
            Event::Call { host }
            | Event::Response { host, .. }
            | Event::Tick { host }
            | Event::OwnerAnnounced { host, .. } => self.paused_until[host],
            Event::TokenRequest { owner, .. } => self.owner_paused_until[owner],
            Event::Fault(_) | Event::Takeover => return None,
        };
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { host } => self.admit(host),
            Event::TokenRequest {
                host,
                owner,
                token_request,
            } => self.on_token_request(host, owner, token_request),
            Event::Response { host, response } => self.on_response(host, response),
            Event::Tick { host } => self.tick(host),
            Event::Fault(fault) => self.inject_fault(fault),
            Event::Takeover => self.take_over(),
            Event::OwnerAnnounced { host, owner } => self.owner_by_host[host] = owner,
        }
    }

    fn admit(&mut self, host: usize) {
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        let admission = self.holders[host].admit(waiter_id, self.now + ADMISSION_TIMEOUT, self.now);
        self.count(admission);
        self.poll_holder(host);
    }

    fn tick(&mut self, host: usize) {
        // This tick is stale: an earlier tick replaced it and has since scheduled a later one.
        if self.tick_at[host].is_some_and(|tick_at| tick_at > self.now) {
            return;
        }
        self.tick_at[host] = None;
        self.poll_holder(host);
    }

    fn poll_holder(&mut self, host: usize) {
        let settled = self.holders[host].tick(self.now);
        self.record_settled(&settled);
        if let Some(token_request) = self.holders[host].token_request(self.now) {
            let owner = self.owner_by_host[host];
            self.token_requests.push(token_request);
            let token_request = self.token_requests.len() - 1;
            self.schedule(
                self.now + MESSAGE_LATENCY,
                Event::TokenRequest {
                    host,
                    owner,
                    token_request,
                },
            );
        }
        if let Some(wake_at) = self.holders[host].wake_at() {
            let wake_at = wake_at.max(self.now + Duration::from_millis(1));
            if self.tick_at[host].is_none_or(|tick_at| wake_at < tick_at) {
                self.tick_at[host] = Some(wake_at);
                self.schedule(wake_at, Event::Tick { host });
            }
        }
    }

    fn on_token_request(&mut self, host: usize, owner: usize, token_request: usize) {
        let state = &mut self.owners[owner];
        let partitioned =
            state.partitioned_until.is_some_and(|until| self.now < until) && host.is_multiple_of(2);
        if state.killed || partitioned {
            return;
        }
        let lease_valid = state.lease_until.is_none_or(|until| self.now < until);
        let grant = lease_valid.then(|| {
            state
                .bucket
                .grant(&host.to_string(), &self.token_requests[token_request], self.now)
        });
        self.responses
            .push((self.token_requests[token_request].sequence, grant));
        let response = self.responses.len() - 1;
        self.schedule(self.now + MESSAGE_LATENCY, Event::Response { host, response });
    }

    fn on_response(&mut self, host: usize, response: usize) {
        let (sequence, grant) = self.responses[response];
        match grant {
            Some(grant) => {
                let settled = self.holders[host].on_response(sequence, grant, self.now);
                self.record_settled(&settled);
            }
            None => self.holders[host].on_failure(sequence, self.now),
        }
        self.poll_holder(host);
    }

    fn inject_fault(&mut self, fault: Fault) {
        let until = self.now + FAULT_DURATION;
        let owner = self.owners.len() - 1;
        match fault {
            Fault::HostPaused(host) => {
                self.paused_until[host] = until;
                return;
            }
            Fault::OwnerKilled => self.owners[owner].killed = true,
            Fault::OwnerPaused => self.owner_paused_until[owner] = until,
            Fault::OwnerPartitioned => self.owners[owner].partitioned_until = Some(until),
        }
        self.owners[owner].lease_until = Some(self.now + LEASE_REMAINDER);
        self.schedule(self.now + TAKEOVER_DELAY, Event::Takeover);
    }

    fn take_over(&mut self) {
        let ready_at = match self.takeover {
            Takeover::Empty => self.now + GRANT_LIFE,
            Takeover::Full => self.start,
        };
        self.add_owner(ready_at);
        let owner = self.owners.len() - 1;
        for host in 0..self.holders.len() {
            let delay = Duration::from_secs_f64(self.generator.exponential(0.2));
            self.schedule(self.now + delay, Event::OwnerAnnounced { host, owner });
        }
    }

    fn add_owner(&mut self, ready_at: Instant) {
        self.owners.push(OwnerState {
            bucket: Bucket::new(self.limits, ready_at),
            lease_until: None,
            killed: false,
            partitioned_until: None,
        });
        self.owner_paused_until.push(self.start);
    }

    fn record_settled(&mut self, settled: &[Settled]) {
        for call in settled {
            self.count(call.admission);
        }
    }

    fn count(&mut self, admission: Admission) {
        match admission {
            Admission::Admitted => self.admitted.push(self.now - self.start),
            Admission::Refused { .. } => self.refused += 1,
            Admission::Waiting => {}
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

//! Hosts that admit calls of one account, with messages that take time and owners that fail.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use burdockroad::quota::{Admission, Bucket, GRANT_LIFE, Grant, Holder, Limits, Settled, TokenRequest};

use crate::load::Generator;

/// Time of a message between two hosts.
const LATENCY: Duration = Duration::from_millis(1);

/// Time from an owner's failure until another host is the owner.
const TAKEOVER: Duration = Duration::from_secs(3);

/// Time that an owner which hears no other hosts still acts as one.
const LEASE: Duration = Duration::from_secs(1);

/// How long a paused process stands still, and a cut lasts.
const FAULT_TIME: Duration = Duration::from_secs(6);

/// Time that a call may wait for admission.
pub(crate) const PATIENCE: Duration = Duration::from_secs(1);

/// What fails, from one moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// The owner's process is gone.
    OwnerKilled,
    /// The owner's process stands still, then goes on with what it was sent meanwhile.
    OwnerPaused,
    /// The owner reaches only hosts with odd numbers, and loses its lease.
    OwnerCut,
    /// One host stands still, with the tokens that it holds.
    HostPaused(usize),
}

/// How a new owner begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Takeover {
    /// Empty, once the old grants have expired.
    Empty,
    /// Full, at once.
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
        token_request: usize,
    },
    Answer {
        host: usize,
        answer: usize,
    },
    Tick {
        host: usize,
    },
    Fault(Fault),
    Takeover,
    Learn {
        host: usize,
        owner: usize,
    },
}

struct OwnerRow {
    bucket: Bucket,
    lease_until: Option<Instant>,
    killed: bool,
    cut_until: Option<Instant>,
}

/// All hosts, for one account.
pub(crate) struct QuotaFleet {
    start: Instant,
    now: Instant,
    limits: Limits,
    takeover: Takeover,
    holders: Vec<Holder>,
    known_owner: Vec<usize>,
    paused_until: Vec<Instant>,
    tick_at: Vec<Option<Instant>>,
    owners: Vec<OwnerRow>,
    /// Host on which each owner runs is left out: an owner is paused by itself.
    owner_paused_until: Vec<Instant>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    asks: Vec<TokenRequest>,
    answers: Vec<(u64, Option<Grant>)>,
    generator: Generator,
    next_waiter_id: u64,
    /// Calls admitted, in time after the start.
    pub(crate) admitted: Vec<Duration>,
    /// Calls refused.
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
            known_owner: vec![0; hosts],
            paused_until: vec![start; hosts],
            tick_at: vec![None; hosts],
            owners: Vec::new(),
            owner_paused_until: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            asks: Vec::new(),
            answers: Vec::new(),
            generator: Generator::new(seed),
            next_waiter_id: 1,
            admitted: Vec::new(),
            refused: 0,
        };
        fleet.add_owner(start);
        fleet
    }

    pub(crate) fn call(&mut self, at: Duration, host: usize) {
        self.at(self.start + at, Event::Call { host });
    }

    pub(crate) fn fault(&mut self, at: Duration, fault: Fault) {
        self.at(self.start + at, Event::Fault(fault));
    }

    /// Runs until nothing more happens.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, sequence, event))) = self.events.pop() {
            self.now = at;
            match self.delayed_until(event) {
                Some(until) => self.events.push(Reverse((until, sequence, event))),
                None => self.happen(event),
            }
        }
    }

    /// When a process that stands still gets to an event.
    fn delayed_until(&self, event: Event) -> Option<Instant> {
        let until = match event {
            Event::Call { host }
            | Event::Answer { host, .. }
            | Event::Tick { host }
            | Event::Learn { host, .. } => self.paused_until[host],
            Event::TokenRequest { owner, .. } => self.owner_paused_until[owner],
            Event::Fault(_) | Event::Takeover => return None,
        };
        (until > self.now).then_some(until)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Call { host } => self.admit(host),
            Event::TokenRequest {
                host,
                owner,
                token_request,
            } => self.asked(host, owner, token_request),
            Event::Answer { host, answer } => self.on_response(host, answer),
            Event::Tick { host } => self.tick(host),
            Event::Fault(fault) => self.fail(fault),
            Event::Takeover => self.take_over(),
            Event::Learn { host, owner } => self.known_owner[host] = owner,
        }
    }

    fn admit(&mut self, host: usize) {
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        let admission = self.holders[host].admit(waiter_id, self.now + PATIENCE, self.now);
        self.count(admission);
        self.serve(host);
    }

    fn tick(&mut self, host: usize) {
        // An earlier tick has been put in this one's place.
        if self.tick_at[host].is_some_and(|tick_at| tick_at > self.now) {
            return;
        }
        self.tick_at[host] = None;
        self.serve(host);
    }

    fn serve(&mut self, host: usize) {
        let settled = self.holders[host].tick(self.now);
        self.count_all(&settled);
        if let Some(token_request) = self.holders[host].token_request(self.now) {
            let owner = self.known_owner[host];
            self.asks.push(token_request);
            let token_request = self.asks.len() - 1;
            self.at(
                self.now + LATENCY,
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
                self.at(wake_at, Event::Tick { host });
            }
        }
    }

    fn asked(&mut self, host: usize, owner: usize, token_request: usize) {
        let row = &mut self.owners[owner];
        let cut = row.cut_until.is_some_and(|until| self.now < until) && host.is_multiple_of(2);
        if row.killed || cut {
            return;
        }
        let holds = row.lease_until.is_none_or(|until| self.now < until);
        let grant = holds.then(|| {
            row.bucket
                .grant(&host.to_string(), &self.asks[token_request], self.now)
        });
        self.answers.push((self.asks[token_request].sequence, grant));
        let answer = self.answers.len() - 1;
        self.at(self.now + LATENCY, Event::Answer { host, answer });
    }

    fn on_response(&mut self, host: usize, answer: usize) {
        let (sequence, grant) = self.answers[answer];
        match grant {
            Some(grant) => {
                let settled = self.holders[host].on_response(sequence, grant, self.now);
                self.count_all(&settled);
            }
            None => self.holders[host].on_failure(sequence, self.now),
        }
        self.serve(host);
    }

    fn fail(&mut self, fault: Fault) {
        let until = self.now + FAULT_TIME;
        let owner = self.owners.len() - 1;
        match fault {
            Fault::HostPaused(host) => {
                self.paused_until[host] = until;
                return;
            }
            Fault::OwnerKilled => self.owners[owner].killed = true,
            Fault::OwnerPaused => self.owner_paused_until[owner] = until,
            Fault::OwnerCut => self.owners[owner].cut_until = Some(until),
        }
        self.owners[owner].lease_until = Some(self.now + LEASE);
        self.at(self.now + TAKEOVER, Event::Takeover);
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
            self.at(self.now + delay, Event::Learn { host, owner });
        }
    }

    fn add_owner(&mut self, ready_at: Instant) {
        self.owners.push(OwnerRow {
            bucket: Bucket::new(self.limits, ready_at),
            lease_until: None,
            killed: false,
            cut_until: None,
        });
        self.owner_paused_until.push(self.start);
    }

    fn count_all(&mut self, settled: &[Settled]) {
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

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

//! What all hosts admit together, under lost, late and repeated messages and changing owners.

use std::time::{Duration, Instant};

use burdockroad::quota::{Admission, Bucket, GRANT_LIFE, Grant, Holder, Limits, TokenRequest};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const HOSTS: usize = 3;

/// One event; messages wait until a step delivers, repeats or loses them.
#[derive(Clone, Debug)]
enum Step {
    Calls { host: usize, count: u8 },
    Request { index: usize, fate: Fate },
    Answer { index: usize, fate: Fate },
    Tick { host: usize },
    OwnerChanges,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Delivered,
    Repeated,
    Lost,
}

struct Request {
    host: usize,
    owner: usize,
    token_request: TokenRequest,
}

struct Answer {
    host: usize,
    sequence: u64,
    grant: Option<Grant>,
}

struct Fleet {
    now: Instant,
    limits: Limits,
    bucket: Bucket,
    owner: usize,
    holders: Vec<Holder>,
    requests: Vec<Request>,
    answers: Vec<Answer>,
    admitted_at: Vec<Instant>,
    refused: Vec<Admission>,
}

fn holder(limits: Limits) -> Holder {
    let mut holder = Holder::new();
    holder.set_rate(limits.rate_per_s);
    holder
}

impl Fleet {
    fn new(limits: Limits) -> Self {
        let now = Instant::now();
        Self {
            now,
            limits,
            bucket: Bucket::new(limits, now),
            owner: 0,
            holders: vec![holder(limits); HOSTS],
            requests: Vec::new(),
            answers: Vec::new(),
            admitted_at: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn run(&mut self, pause: Duration, step: &Step) {
        self.now += pause;
        match *step {
            Step::Calls { host, count } => self.calls(host, count),
            Step::Request { index, fate } => self.request(index, fate),
            Step::Answer { index, fate } => self.answer(index, fate),
            Step::Tick { host } => self.tick(host),
            Step::OwnerChanges => {
                self.owner += 1;
                self.bucket = Bucket::new(self.limits, self.now + GRANT_LIFE);
            }
        }
    }

    fn calls(&mut self, host: usize, count: u8) {
        for waiter_id in 0..count {
            let deadline = self.now + Duration::from_secs(3);
            if self.holders[host].admit(u64::from(waiter_id), deadline, self.now) == Admission::Admitted {
                self.admitted_at.push(self.now);
            }
        }
        self.tick(host);
    }

    fn tick(&mut self, host: usize) {
        let settled = self.holders[host].tick(self.now);
        self.count(&settled);
        if let Some(token_request) = self.holders[host].token_request(self.now) {
            let owner = self.owner;
            self.requests.push(Request {
                host,
                owner,
                token_request,
            });
        }
    }

    fn request(&mut self, index: usize, fate: Fate) {
        if self.requests.is_empty() {
            return;
        }
        let index = index % self.requests.len();
        if !matches!(fate, Fate::Lost) {
            let Request {
                host,
                owner,
                token_request,
            } = self.requests[index];
            // An owner that was replaced no longer holds its lease.
            let grant =
                (owner == self.owner).then(|| self.bucket.grant(&host.to_string(), &token_request, self.now));
            self.answers.push(Answer {
                host,
                sequence: token_request.sequence,
                grant,
            });
        }
        if !matches!(fate, Fate::Repeated) {
            self.requests.remove(index);
        }
    }

    fn answer(&mut self, index: usize, fate: Fate) {
        if self.answers.is_empty() {
            return;
        }
        let index = index % self.answers.len();
        let Answer {
            host,
            sequence,
            grant,
        } = self.answers[index];
        match (fate, grant) {
            (Fate::Lost, _) => {}
            (_, None) => self.holders[host].failed(sequence, self.now),
            (_, Some(grant)) => {
                let settled = self.holders[host].answered(sequence, grant, self.now);
                self.count(&settled);
            }
        }
        if !matches!(fate, Fate::Repeated) {
            self.answers.remove(index);
        }
    }

    fn count(&mut self, settled: &[burdockroad::quota::Settled]) {
        for call in settled {
            match call.admission {
                Admission::Admitted => self.admitted_at.push(self.now),
                refusal => self.refused.push(refusal),
            }
        }
    }
}

/// Most calls by which any window passes the limits; a bucket that is drained by every call and
/// starts full falls below zero just when some window does.
fn excess(admitted_at: &[Instant], limits: Limits) -> f64 {
    let burst = f64::from(limits.burst);
    let mut level = burst;
    let mut worst = 0.0_f64;
    let mut previous = admitted_at.first().copied();
    for &at in admitted_at {
        let elapsed = at.duration_since(previous.unwrap_or(at)).as_secs_f64();
        level = (level + elapsed * limits.rate_per_s).min(burst) - 1.0;
        worst = worst.max(-level);
        previous = Some(at);
    }
    worst
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Delivered),
        2 => Just(Fate::Repeated),
        1 => Just(Fate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..HOSTS, 1..12_u8).prop_map(|(host, count)| Step::Calls { host, count }),
        8 => (0..4_usize, fate()).prop_map(|(index, fate)| Step::Request { index, fate }),
        8 => (0..4_usize, fate()).prop_map(|(index, fate)| Step::Answer { index, fate }),
        4 => (0..HOSTS).prop_map(|host| Step::Tick { host }),
        1 => Just(Step::OwnerChanges),
    ]
}

fn steps() -> impl Strategy<Value = Vec<(Duration, Step)>> {
    let pause = prop_oneof![
        10 => 0..40_u64,
        2 => 200..1_500_u64,
    ];
    prop::collection::vec((pause.prop_map(Duration::from_millis), step()), 20..400)
}

fn limits() -> impl Strategy<Value = Limits> {
    (1..60_u32, 1..40_u32).prop_map(|(rate, burst)| Limits {
        rate_per_s: f64::from(rate),
        burst,
    })
}

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn grant_every_window(limits in limits(), steps in steps()) {
        let mut fleet = Fleet::new(limits);
        for (pause, step) in &steps {
            fleet.run(*pause, step);
        }
        prop_assert!(excess(&fleet.admitted_at, limits) < 1e-6);
    }

    #[test]
    fn set_limits_every_window(old in limits(), new in limits(), before in steps(), after in steps()) {
        let mut fleet = Fleet::new(old);
        for (pause, step) in &before {
            fleet.run(*pause, step);
        }
        let calls_before = fleet.admitted_at.len();
        fleet.limits = new;
        fleet.bucket.set_limits(new, fleet.now);
        let settled_at = fleet.now + GRANT_LIFE;
        for (pause, step) in &after {
            fleet.run(*pause, step);
        }
        let larger = Limits {
            rate_per_s: old.rate_per_s.max(new.rate_per_s),
            burst: old.burst.max(new.burst),
        };
        let later = fleet.admitted_at.partition_point(|&at| at < settled_at);
        prop_assert!(excess(&fleet.admitted_at[..calls_before], old) < 1e-6);
        prop_assert!(excess(&fleet.admitted_at, larger) < 1e-6);
        prop_assert!(excess(&fleet.admitted_at[later..], new) < 1e-6);
    }
}

/// Sends calls evenly at one host for ten seconds, with an owner that answers at once.
fn run_alone(limits: Limits, calls_per_s: u64) -> (usize, Vec<Admission>) {
    let mut fleet = Fleet::new(limits);
    let start = fleet.now;
    for at_ms in 0..10_000 {
        fleet.now = start + Duration::from_millis(at_ms);
        if at_ms * calls_per_s / 1_000 != (at_ms + 1) * calls_per_s / 1_000 {
            let deadline = fleet.now + Duration::from_millis(500);
            match fleet.holders[0].admit(at_ms, deadline, fleet.now) {
                Admission::Admitted => fleet.admitted_at.push(fleet.now),
                Admission::Waiting => {}
                refusal @ Admission::Refused { .. } => fleet.refused.push(refusal),
            }
        }
        let settled = fleet.holders[0].tick(fleet.now);
        fleet.count(&settled);
        fleet.tick(0);
        fleet.request(0, Fate::Delivered);
        fleet.answer(0, Fate::Delivered);
    }
    (fleet.admitted_at.len(), fleet.refused)
}

#[test]
fn admit_inside_rate() {
    let limits = Limits {
        rate_per_s: 50.0,
        burst: 10,
    };
    let (admitted, refused) = run_alone(limits, 48);
    assert_eq!(refused, Vec::new());
    assert!(admitted >= 478, "admitted {admitted} of 480");
}

#[test]
fn admit_over_rate() {
    let limits = Limits {
        rate_per_s: 50.0,
        burst: 10,
    };
    let (admitted, refused) = run_alone(limits, 250);
    assert!((490..=510).contains(&admitted), "admitted {admitted}");
    assert!(refused.len() >= 1_900, "refused {}", refused.len());
    let final_and_dated = |refusal: &Admission| matches!(refusal, Admission::Refused { over_rate: true, retry_after } if *retry_after > Duration::ZERO);
    assert!(refused.iter().all(final_and_dated));
}

#[test]
fn admit_in_order() {
    let mut fleet = Fleet::new(Limits {
        rate_per_s: 1.0,
        burst: 3,
    });
    fleet.now += Duration::from_secs(3);
    let deadline = fleet.now + Duration::from_secs(1);
    for waiter_id in 1..=3 {
        assert_eq!(
            fleet.holders[0].admit(waiter_id, deadline, fleet.now),
            Admission::Waiting
        );
    }
    let token_request = fleet.holders[0].token_request(fleet.now).expect("calls wait");
    let grant = fleet.bucket.grant(&"0".to_owned(), &token_request, fleet.now);
    let settled = fleet.holders[0].answered(token_request.sequence, grant, fleet.now);
    let order: Vec<_> = settled.iter().map(|call| call.waiter_id).collect();
    assert_eq!(order, [1, 2, 3]);
}

/// A grant that is spent at the end of its life leaves no room that was filled while it was held.
#[test]
fn grant_spent_late() {
    let limits = Limits {
        rate_per_s: 9.0,
        burst: 9,
    };
    let mut fleet = Fleet::new(limits);
    let start = fleet.now;
    let (mut first, mut second) = (holder(limits), holder(limits));
    fleet.now = start + Duration::from_secs(1);
    for holder in [&mut first, &mut second] {
        for waiter_id in 0..9 {
            holder.admit(waiter_id, fleet.now + Duration::from_secs(4), fleet.now);
        }
    }
    let token_request = first.token_request(fleet.now).expect("calls wait");
    let granted = fleet
        .bucket
        .grant(&"first".to_owned(), &token_request, fleet.now)
        .granted;
    assert_eq!(
        granted, 9,
        "the whole bucket, to be spent at any time in the grant's life"
    );
    let end = fleet.now + GRANT_LIFE;
    let token_request = second.token_request(end).expect("calls wait");
    let granted = fleet
        .bucket
        .grant(&"second".to_owned(), &token_request, end)
        .granted;
    assert_eq!(granted, 0, "the first nine may have been spent a moment ago");
}

/// An owner that is new lets all calls wait alike: none of those inside the rate is refused.
#[test]
fn admit_while_owner_is_new() {
    let mut holder = Holder::new();
    holder.set_rate(200.0);
    let start = Instant::now();
    let deadline = start + Duration::from_secs(10);
    assert_eq!(holder.admit(1, deadline, start), Admission::Waiting);
    let token_request = holder.token_request(start).expect("a call waits");
    let grant = Grant {
        granted: 0,
        expires_after: Duration::from_secs(1),
        retry_after: Duration::from_millis(1_500),
    };
    assert_eq!(holder.answered(token_request.sequence, grant, start), []);
    for waiter_id in 2..=20 {
        let admission = holder.admit(waiter_id, deadline, start);
        assert_eq!(admission, Admission::Waiting, "call {waiter_id}");
    }
    let soon = start + Duration::from_secs(1);
    let refused = holder.admit(21, soon, start);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
}

#[test]
fn admit_owner_silent() {
    let mut holder = Holder::new();
    let start = Instant::now();
    let deadline = start + Duration::from_secs(1);
    assert_eq!(holder.admit(1, deadline, start), Admission::Waiting);
    assert!(holder.token_request(start).is_some());
    assert_eq!(holder.tick(start + Duration::from_millis(900)), []);
    let settled = holder.tick(deadline);
    assert!(matches!(
        settled[0].admission,
        Admission::Refused { over_rate: false, .. }
    ));
}

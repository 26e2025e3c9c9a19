//! Limits on the calls admitted by all hosts, under lost, delayed and duplicated messages and changes of the
//! owner.

use std::time::{Duration, Instant};

use burdockroad::quota::{Admission, Bucket, GRANT_LIFE, Grant, Holder, Limits, TokenRequest};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const HOSTS: usize = 3;

/// Step of the simulation. Messages are queued until a step delivers, duplicates or loses them.
#[derive(Clone, Debug)]
enum Step {
    Calls { host: usize, count: u8 },
    Request { index: usize, delivery: Delivery },
    Response { index: usize, delivery: Delivery },
    Tick { host: usize },
    OwnerChanges,
}

#[derive(Clone, Copy, Debug)]
enum Delivery {
    Delivered,
    Duplicated,
    Lost,
}

struct PendingRequest {
    host: usize,
    owner: usize,
    token_request: TokenRequest,
}

struct PendingResponse {
    host: usize,
    sequence: u64,
    grant: Option<Grant>,
}

struct Cluster {
    now: Instant,
    limits: Limits,
    bucket: Bucket,
    owner: usize,
    holders: Vec<Holder>,
    requests: Vec<PendingRequest>,
    responses: Vec<PendingResponse>,
    admitted_at: Vec<Instant>,
    refused: Vec<Admission>,
}

fn holder(limits: Limits) -> Holder {
    let mut holder = Holder::new();
    holder.set_rate(limits.rate_per_s);
    holder
}

impl Cluster {
    fn new(limits: Limits) -> Self {
        let now = Instant::now();
        Self {
            now,
            limits,
            bucket: Bucket::new(limits, now),
            owner: 0,
            holders: vec![holder(limits); HOSTS],
            requests: Vec::new(),
            responses: Vec::new(),
            admitted_at: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn run(&mut self, pause: Duration, step: &Step) {
        self.now += pause;
        match *step {
            Step::Calls { host, count } => self.calls(host, count),
            Step::Request { index, delivery } => self.request(index, delivery),
            Step::Response { index, delivery } => self.response(index, delivery),
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
            self.requests.push(PendingRequest {
                host,
                owner,
                token_request,
            });
        }
    }

    fn request(&mut self, index: usize, delivery: Delivery) {
        if self.requests.is_empty() {
            return;
        }
        let index = index % self.requests.len();
        if !matches!(delivery, Delivery::Lost) {
            let PendingRequest {
                host,
                owner,
                token_request,
            } = self.requests[index];
            // An owner that was replaced no longer has its lease.
            let grant =
                (owner == self.owner).then(|| self.bucket.grant(&host.to_string(), &token_request, self.now));
            self.responses.push(PendingResponse {
                host,
                sequence: token_request.sequence,
                grant,
            });
        }
        if !matches!(delivery, Delivery::Duplicated) {
            self.requests.remove(index);
        }
    }

    fn response(&mut self, index: usize, delivery: Delivery) {
        if self.responses.is_empty() {
            return;
        }
        let index = index % self.responses.len();
        let PendingResponse {
            host,
            sequence,
            grant,
        } = self.responses[index];
        match (delivery, grant) {
            (Delivery::Lost, _) => {}
            (_, None) => self.holders[host].on_failure(sequence, self.now),
            (_, Some(grant)) => {
                let settled = self.holders[host].on_response(sequence, grant, self.now);
                self.count(&settled);
            }
        }
        if !matches!(delivery, Delivery::Duplicated) {
            self.responses.remove(index);
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

/// Returns the maximum number of calls by which any window exceeds the limits. A bucket that starts full and is
/// drained by every call falls below zero exactly if some window exceeds the limits.
fn excess(admitted_at: &[Instant], limits: Limits) -> f64 {
    let burst = f64::from(limits.burst);
    let mut level = burst;
    let mut max_excess = 0.0_f64;
    let mut previous = admitted_at.first().copied();
    for &at in admitted_at {
        let elapsed = at.duration_since(previous.unwrap_or(at)).as_secs_f64();
        level = (level + elapsed * limits.rate_per_s).min(burst) - 1.0;
        max_excess = max_excess.max(-level);
        previous = Some(at);
    }
    max_excess
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Delivered),
        2 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..HOSTS, 1..12_u8).prop_map(|(host, count)| Step::Calls { host, count }),
        8 => (0..4_usize, delivery()).prop_map(|(index, delivery)| Step::Request { index, delivery }),
        8 => (0..4_usize, delivery()).prop_map(|(index, delivery)| Step::Response { index, delivery }),
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
    fn grant_keeps_every_window_within_limits(limits in limits(), steps in steps()) {
        let mut cluster = Cluster::new(limits);
        for (pause, step) in &steps {
            cluster.run(*pause, step);
        }
        prop_assert!(excess(&cluster.admitted_at, limits) < 1e-6);
    }

    #[test]
    fn set_limits_keeps_every_window_within_limits(old in limits(), new in limits(), before in steps(), after in steps()) {
        let mut cluster = Cluster::new(old);
        for (pause, step) in &before {
            cluster.run(*pause, step);
        }
        let calls_before = cluster.admitted_at.len();
        cluster.limits = new;
        cluster.bucket.set_limits(new, cluster.now);
        let settled_at = cluster.now + GRANT_LIFE;
        for (pause, step) in &after {
            cluster.run(*pause, step);
        }
        let larger = Limits {
            rate_per_s: old.rate_per_s.max(new.rate_per_s),
            burst: old.burst.max(new.burst),
        };
        let later = cluster.admitted_at.partition_point(|&at| at < settled_at);
        prop_assert!(excess(&cluster.admitted_at[..calls_before], old) < 1e-6);
        prop_assert!(excess(&cluster.admitted_at, larger) < 1e-6);
        prop_assert!(excess(&cluster.admitted_at[later..], new) < 1e-6);
    }
}

/// Sends evenly spaced calls to one host for ten seconds, with an owner that responds at once.
fn run_single_host(limits: Limits, calls_per_s: u64) -> (usize, Vec<Admission>) {
    let mut cluster = Cluster::new(limits);
    let start = cluster.now;
    for at_ms in 0..10_000 {
        cluster.now = start + Duration::from_millis(at_ms);
        if at_ms * calls_per_s / 1_000 != (at_ms + 1) * calls_per_s / 1_000 {
            let deadline = cluster.now + Duration::from_millis(500);
            match cluster.holders[0].admit(at_ms, deadline, cluster.now) {
                Admission::Admitted => cluster.admitted_at.push(cluster.now),
                Admission::Waiting => {}
                refusal @ Admission::Refused { .. } => cluster.refused.push(refusal),
            }
        }
        let settled = cluster.holders[0].tick(cluster.now);
        cluster.count(&settled);
        cluster.tick(0);
        cluster.request(0, Delivery::Delivered);
        cluster.response(0, Delivery::Delivered);
    }
    (cluster.admitted_at.len(), cluster.refused)
}

#[test]
fn admit_within_rate() {
    let limits = Limits {
        rate_per_s: 50.0,
        burst: 10,
    };
    let (admitted, refused) = run_single_host(limits, 48);
    assert_eq!(refused, Vec::new());
    assert!(admitted >= 478, "admitted {admitted} of 480 calls");
}

#[test]
fn admit_over_rate() {
    let limits = Limits {
        rate_per_s: 50.0,
        burst: 10,
    };
    let (admitted, refused) = run_single_host(limits, 250);
    assert!((490..=510).contains(&admitted), "admitted {admitted}");
    assert!(refused.len() >= 1_900, "refused {}", refused.len());
    let is_over_rate_with_retry = |refusal: &Admission| matches!(refusal, Admission::Refused { over_rate: true, retry_after } if *retry_after > Duration::ZERO);
    assert!(refused.iter().all(is_over_rate_with_retry));
}

#[test]
fn admit_in_order() {
    let mut cluster = Cluster::new(Limits {
        rate_per_s: 1.0,
        burst: 3,
    });
    cluster.now += Duration::from_secs(3);
    let deadline = cluster.now + Duration::from_secs(1);
    for waiter_id in 1..=3 {
        assert_eq!(
            cluster.holders[0].admit(waiter_id, deadline, cluster.now),
            Admission::Waiting
        );
    }
    let token_request = cluster.holders[0]
        .token_request(cluster.now)
        .expect("calls are waiting");
    let grant = cluster.bucket.grant(&"0".to_owned(), &token_request, cluster.now);
    let settled = cluster.holders[0].on_response(token_request.sequence, grant, cluster.now);
    let order: Vec<_> = settled.iter().map(|call| call.waiter_id).collect();
    assert_eq!(order, [1, 2, 3]);
}

/// Guards against granting tokens twice. A holder may spend a grant just before it expires, so the bucket must
/// not be refilled in its place for the time during which it was outstanding.
#[test]
fn grant_spent_late() {
    let limits = Limits {
        rate_per_s: 9.0,
        burst: 9,
    };
    let mut cluster = Cluster::new(limits);
    let start = cluster.now;
    let (mut first, mut second) = (holder(limits), holder(limits));
    cluster.now = start + Duration::from_secs(1);
    for holder in [&mut first, &mut second] {
        for waiter_id in 0..9 {
            holder.admit(waiter_id, cluster.now + Duration::from_secs(4), cluster.now);
        }
    }
    let token_request = first.token_request(cluster.now).expect("calls are waiting");
    let granted = cluster
        .bucket
        .grant(&"first".to_owned(), &token_request, cluster.now)
        .granted;
    assert_eq!(
        granted, 9,
        "the whole bucket is granted and may be spent until the grant expires"
    );
    let end = cluster.now + GRANT_LIFE;
    let token_request = second.token_request(end).expect("calls are waiting");
    let granted = cluster
        .bucket
        .grant(&"second".to_owned(), &token_request, end)
        .granted;
    assert_eq!(granted, 0, "the first nine tokens may have been spent just now");
}

/// Guards against refusals right after a change of the owner. All calls wait equally long until a new owner may
/// grant tokens, so no call within the rate may be refused.
#[test]
fn admit_with_new_owner() {
    let mut holder = Holder::new();
    holder.set_rate(200.0);
    let start = Instant::now();
    let deadline = start + Duration::from_secs(10);
    assert_eq!(holder.admit(1, deadline, start), Admission::Waiting);
    let token_request = holder.token_request(start).expect("a call is waiting");
    let grant = Grant {
        granted: 0,
        expires_after: Duration::from_secs(1),
        retry_after: Duration::from_millis(1_500),
    };
    assert_eq!(holder.on_response(token_request.sequence, grant, start), []);
    for waiter_id in 2..=20 {
        let admission = holder.admit(waiter_id, deadline, start);
        assert_eq!(admission, Admission::Waiting, "call {waiter_id}");
    }
    let early_deadline = start + Duration::from_secs(1);
    let refused = holder.admit(21, early_deadline, start);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
}

#[test]
fn admit_owner_unresponsive() {
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

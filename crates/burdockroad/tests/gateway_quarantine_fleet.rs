//! Tests of the quarantine of requests that crash endpoints, in a fleet of hosts and endpoints.

#[path = "gateway_quarantine/requests.rs"]
mod requests;

use std::time::{Duration, Instant};

use burdockroad::gateway::{
    CrashReport, Quarantine, QuarantineReport, RequestIdentity, RequestKey, RunDecision, Suspect,
};
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use self::requests::{RUN, request, similar_request};

/// Hosts, endpoints and requests in steps of 10 ms, with reports that are lost or late.
struct Model {
    rng: ChaCha8Rng,
    now: Instant,
    hosts: Vec<Quarantine>,
    runs: Vec<Run>,
    /// Time from which each endpoint is up.
    up_from: Vec<Instant>,
    reports: Vec<(Instant, usize, QuarantineReport)>,
    crashes: u32,
    quarantined: Vec<(Instant, RequestKey)>,
    deadly_runs: Vec<Instant>,
}

struct Run {
    host: usize,
    endpoint: usize,
    request: RequestIdentity,
    started_at: Instant,
    is_deadly: bool,
    has_output: bool,
    /// Times that the request has been sent.
    attempts: u32,
}

const HOSTS: usize = 6;
const ENDPOINTS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_secs(3);

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            hosts: (0..HOSTS).map(|_| Quarantine::default()).collect(),
            runs: Vec::new(),
            up_from: vec![now; ENDPOINTS],
            reports: Vec::new(),
            crashes: 0,
            quarantined: Vec::new(),
            deadly_runs: Vec::new(),
        }
    }

    /// Sends a request, to an endpoint without other suspects if the request is one.
    fn send(&mut self, host: usize, request: RequestIdentity, is_deadly: bool, attempts: u32) {
        let quarantined = self.hosts[host].evaluate(self.now);
        self.note(quarantined);
        if self.hosts[host].decide(&request, self.now) != RunDecision::Admit {
            return;
        }
        let up = (0..ENDPOINTS).filter(|endpoint| self.up_from[*endpoint] <= self.now);
        let up: Vec<usize> = up.collect();
        let avoided = self.hosts[host].endpoints_with_suspects();
        let is_suspect = self.hosts[host].should_run_apart(&request);
        let apart: Vec<usize> = up
            .iter()
            .copied()
            .filter(|endpoint| !is_suspect || !avoided.contains(&endpoint.to_string()))
            .collect();
        let Some(endpoint) = apart
            .choose(&mut self.rng)
            .or_else(|| up.choose(&mut self.rng))
            .copied()
        else {
            return;
        };
        if is_suspect {
            self.hosts[host].start_run(&endpoint.to_string());
        }
        if is_deadly {
            self.deadly_runs.push(self.now);
        }
        self.runs.push(Run {
            host,
            endpoint,
            request,
            started_at: self.now,
            is_deadly,
            has_output: false,
            attempts,
        });
    }

    fn note(&mut self, quarantined: Vec<RequestKey>) {
        let now = self.now;
        self.quarantined
            .extend(quarantined.into_iter().map(|key| (now, key)));
    }

    /// Crashes an endpoint; its requests are sent again by their hosts.
    fn crash(&mut self, endpoint: usize) {
        if self.up_from[endpoint] > self.now {
            return;
        }
        self.crashes += 1;
        self.up_from[endpoint] = self.now + DOWN;
        let (ended, running): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.endpoint == endpoint);
        self.runs = running;
        for host in 0..HOSTS {
            let of_host: Vec<&Run> = ended.iter().filter(|run| run.host == host).collect();
            let suspects = of_host.iter().filter(|run| !run.has_output);
            let suspects: Vec<Suspect> = suspects
                .map(|run| Suspect {
                    request: run.request.clone(),
                    ran: self.now - run.started_at,
                })
                .collect();
            if !of_host.is_empty() {
                let report = CrashReport {
                    endpoint: format!("{endpoint}-{}", self.crashes),
                    at: self.now,
                    suspects,
                };
                self.hosts[host].record_crash(report);
            }
        }
        for run in ended {
            self.hosts[run.host].end_run(&run.endpoint.to_string());
            if run.attempts < 6 {
                self.send(run.host, run.request, run.is_deadly, run.attempts + 1);
            }
        }
    }

    /// Lets deadly requests crash their endpoints and sound ones end, and exchanges reports.
    fn step(&mut self) {
        self.now += STEP;
        let due = self
            .runs
            .iter()
            .filter(|run| run.is_deadly && self.now - run.started_at >= RUN);
        let crashing: Vec<usize> = due.map(|run| run.endpoint).collect();
        for endpoint in crashing {
            self.crash(endpoint);
        }
        let now = self.now;
        for run in &mut self.runs {
            if !run.is_deadly && !run.has_output && now - run.started_at >= RUN {
                run.has_output = true;
                self.hosts[run.host].record_output(&run.request, now);
            }
        }
        let (served, running): (Vec<Run>, Vec<Run>) = self
            .runs
            .drain(..)
            .partition(|run| !run.is_deadly && now - run.started_at >= RUN * 3);
        self.runs = running;
        for run in served {
            self.hosts[run.host].end_run(&run.endpoint.to_string());
        }
        for host in 0..HOSTS {
            if self.rng.random_bool(STEP.as_secs_f64() / 0.1) {
                let report = self.hosts[host].next_report();
                for receiver in (0..HOSTS).filter(|receiver| *receiver != host) {
                    let delay = Duration::from_millis(self.rng.random_range(1..60));
                    if self.rng.random_bool(0.9) {
                        self.reports.push((now + delay, receiver, report.clone()));
                    }
                }
            }
        }
        let (arrived, later): (Vec<_>, Vec<_>) = self.reports.drain(..).partition(|(at, ..)| *at <= now);
        self.reports = later;
        for (_, receiver, report) in arrived {
            let quarantined = self.hosts[receiver].record_report(report, now);
            self.note(quarantined);
        }
    }
}

/// A deadly request comes again at any host beside sound ones, of which some come again, too.
#[test]
fn evaluate_any_fleet_quarantines_deadly_requests_only() {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        let deadly = request("account", "deadly");
        let mut known_at = None;
        for step in 0..1500 {
            for host in 0..HOSTS {
                if model.rng.random_bool(0.15) {
                    let body = if model.rng.random_bool(0.1) {
                        "frequent".to_owned()
                    } else {
                        format!("sound-{}", model.rng.next_u64())
                    };
                    model.send(host, request("account", &body), false, 0);
                }
            }
            if step % 30 == 0 {
                let host = model.rng.random_range(0..HOSTS);
                model.send(host, deadly.clone(), true, 0);
            }
            // One host is restarted.
            if step == 900 {
                model.hosts[0] = Quarantine::default();
            }
            model.step();
            if known_at.is_none() && !model.quarantined.is_empty() {
                known_at = Some(model.now);
            }
        }
        let wrong = model
            .quarantined
            .iter()
            .filter(|(_, key)| *key != deadly.equal && *key != deadly.similar);
        assert_eq!(wrong.count(), 0, "seed {seed}");
        let known_at = known_at.expect("it is quarantined") + Duration::from_secs(3);
        let late = model.deadly_runs.iter().filter(|at| **at > known_at).count();
        assert!(late <= 3, "seed {seed}: {late} runs");
    }
}

/// A deadly prompt comes again with other text behind it, beside sound requests of which some begin alike.
#[test]
fn evaluate_any_fleet_quarantines_similar_deadly_requests_only() {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for step in 0..1500 {
            for host in 0..HOSTS {
                if model.rng.random_bool(0.15) {
                    let start = model.rng.random_range(1..6);
                    let sound = similar_request(start, model.rng.next_u32());
                    model.send(host, sound, false, 0);
                }
            }
            if step % 20 == 0 {
                let host = model.rng.random_range(0..HOSTS);
                let deadly = similar_request(0, model.rng.random_range(0..8));
                model.send(host, deadly, true, 0);
            }
            model.step();
        }
        let family = similar_request(0, 0).similar;
        let deadly: Vec<RequestKey> = (0..8).map(|number| similar_request(0, number).equal).collect();
        let quarantined = model.quarantined.iter();
        let wrong = quarantined.filter(|(_, key)| *key != family && !deadly.contains(key));
        assert_eq!(wrong.count(), 0, "seed {seed}");
        let mut quarantined = model.quarantined.iter();
        let known = quarantined.find(|(_, key)| *key == family);
        let known_at = known.expect("they are quarantined").0 + Duration::from_secs(3);
        let late = model.deadly_runs.iter().filter(|at| **at > known_at).count();
        assert_eq!(late, 0, "seed {seed}");
        assert!(model.crashes <= 20, "seed {seed}: {} crashes", model.crashes);
    }
}

/// Endpoints crash for other reasons, one after the other and several at once.
#[test]
fn evaluate_any_fleet_with_plain_crashes_quarantines_none() {
    let mut crashes = 0;
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for _ in 0..1500 {
            for host in 0..HOSTS {
                if model.rng.random_bool(0.15) {
                    let number = model.rng.random_range(0..40);
                    let start = model.rng.random_range(1..6);
                    let request = if model.rng.random_bool(0.5) {
                        request("account", &format!("{number}"))
                    } else {
                        similar_request(start, model.rng.next_u32())
                    };
                    model.send(host, request, false, 0);
                }
            }
            if model.rng.random_bool(0.02) {
                let first = model.rng.random_range(0..ENDPOINTS);
                let count = model.rng.random_range(1..4);
                for endpoint in first..(first + count).min(ENDPOINTS) {
                    model.crash(endpoint);
                }
            }
            model.step();
        }
        crashes += model.crashes;
        assert!(
            model.quarantined.is_empty(),
            "seed {seed}: {:?}",
            model.quarantined
        );
    }
    assert!(crashes >= 40 * 20, "{crashes} crashes");
}

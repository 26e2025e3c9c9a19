//! Rate limit of an account in a fleet of hundreds of hosts, of which only some receive its calls.

use std::time::{Duration, Instant};

use burdockroad::gateway::{Admission, RateLimiter, report_interval};

const HOSTS: usize = 171;
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);

/// Hosts that report to each other, with the calls of one account.
struct Fleet {
    limiters: Vec<RateLimiter>,
    account: String,
    now: Instant,
    report_at: Instant,
    admitted_at: Vec<Instant>,
    refused: usize,
}

fn host_id(host: usize) -> String {
    format!("host-{host}")
}

impl Fleet {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        let now = Instant::now();
        let account = "account".to_owned();
        let limiters = (0..HOSTS).map(|this| {
            let mut limiter = RateLimiter::new(now);
            limiter.set_peers((0..HOSTS).filter(|other| *other != this).map(host_id));
            limiter.set_accounts([(&account, rate_per_s, burst)]);
            limiter
        });
        Self {
            limiters: limiters.collect(),
            account: account.clone(),
            now,
            report_at: now,
            admitted_at: Vec::new(),
            refused: 0,
        }
    }

    fn call(&mut self, host: usize) {
        match self.limiters[host].admit(&self.account, false, self.now) {
            Admission::Admitted => self.admitted_at.push(self.now),
            Admission::Refused { .. } => self.refused += 1,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now < self.report_at {
            return;
        }
        self.report_at = self.now + report_interval(HOSTS);
        for from in 0..HOSTS {
            let report = self.limiters[from].report(&host_id(from), 1, self.now);
            for (to, limiter) in self.limiters.iter_mut().enumerate() {
                if to != from {
                    limiter.record_report(&report, self.now);
                }
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn max_calls_in_window(&self) -> usize {
        let counts = self.admitted_at.iter().map(|from| {
            let within = self
                .admitted_at
                .iter()
                .filter(|at| **at >= *from && **at < *from + WINDOW);
            within.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Sub-agents of a small account's program call at once through one host, and the next time through another.
#[test]
fn calls_of_sub_agents_through_one_host_are_admitted_in_a_large_fleet() {
    let mut fleet = Fleet::new(12.0, 12.0);
    fleet.run_for(Duration::from_secs(2));
    for burst in 0..16 {
        for _ in 0..5 {
            fleet.call(burst * 67 % HOSTS);
        }
        fleet.run_for(Duration::from_millis(500));
    }
    assert!(fleet.refused <= 4, "{} of 80 calls refused", fleet.refused);
}

/// An account sends ten times its rate, through some or all of the hosts.
#[test]
fn flood_through_any_hosts_of_a_large_fleet_stays_within_the_rate() {
    for calling_hosts in [1, 3, 10, HOSTS] {
        let mut fleet = Fleet::new(12.0, 12.0);
        fleet.run_for(Duration::from_secs(2));
        let mut host = 0;
        let mut due_calls = 0.0;
        for _ in 0..700 {
            due_calls += 120.0 * STEP.as_secs_f64();
            while due_calls >= 1.0 {
                due_calls -= 1.0;
                host = (host + 1) % calling_hosts;
                fleet.call(host);
            }
            fleet.step();
        }
        let most = fleet.max_calls_in_window();
        // Rate and burst of a window of five seconds, with a tolerance of a tenth and 20 calls.
        let max_calls = (5 * 12 + 12) * 11 / 10 + 20;
        assert!(
            most <= max_calls,
            "{most} calls of {max_calls} through {calling_hosts} hosts"
        );
        assert!(most >= 60, "{most} calls through {calling_hosts} hosts");
    }
}

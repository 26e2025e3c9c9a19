//! Tests of the quarantine of requests that crash endpoints.

#[path = "gateway_quarantine/requests.rs"]
mod requests;

use std::{
    slice,
    time::{Duration, Instant},
};

use burdockroad::gateway::{CrashReport, Quarantine, RequestIdentity, RunDecision, Suspect};

use self::requests::{RUN, request, similar_request};

/// Time from a crash until it is evaluated, with some margin.
const SETTLED: Duration = Duration::from_millis(400);

fn suspect(request: &RequestIdentity) -> Suspect {
    Suspect {
        request: request.clone(),
        ran: RUN,
    }
}

fn crash(endpoint: &str, at: Instant, requests: &[&RequestIdentity]) -> CrashReport {
    CrashReport {
        endpoint: endpoint.to_owned(),
        at,
        suspects: requests.iter().map(|request| suspect(request)).collect(),
    }
}

fn seconds(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Records one crash a second, at a new endpoint each, with the same requests.
fn record_crashes(quarantine: &mut Quarantine, start: Instant, count: u32, requests: &[&RequestIdentity]) {
    for number in 0..count {
        let at = seconds(start, f64::from(number));
        quarantine.record_crash(crash(&format!("{at:?}"), at, requests));
    }
}

fn is_refused(quarantine: &Quarantine, request: &RequestIdentity, now: Instant) -> bool {
    matches!(quarantine.decide(request, now), RunDecision::Refuse { .. })
}

#[test]
fn evaluate_request_in_three_crashes_quarantines_it() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let deadly = request("account", "deadly");
    record_crashes(&mut quarantine, start, 2, &[&deadly]);
    assert!(quarantine.evaluate(seconds(start, 1.5)).is_empty());
    assert_eq!(
        quarantine.decide(&deadly, seconds(start, 1.5)),
        RunDecision::Admit
    );
    let at = seconds(start, 2.0);
    quarantine.record_crash(crash("third", at, &[&deadly]));
    assert_eq!(quarantine.evaluate(at + SETTLED), slice::from_ref(&deadly.equal));
    assert!(is_refused(&quarantine, &deadly, at + SETTLED));
    assert!(
        quarantine.evaluate(at + SETTLED).is_empty(),
        "it is reported once"
    );
}

#[test]
fn decide_second_crash_holds_until_it_has_settled() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let deadly = request("account", "deadly");
    record_crashes(&mut quarantine, start, 2, &[&deadly]);
    let now = seconds(start, 1.1);
    let RunDecision::Hold { wait } = quarantine.decide(&deadly, now) else {
        panic!("it is not held");
    };
    assert!(wait <= SETTLED, "{wait:?}");
    assert_eq!(quarantine.decide(&deadly, now + wait), RunDecision::Admit);
}

#[test]
fn decide_same_body_of_another_account_admits() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    record_crashes(&mut quarantine, start, 3, &[&request("account", "deadly")]);
    let now = seconds(start, 3.0);
    assert_eq!(quarantine.evaluate(now).len(), 1);
    assert_eq!(
        quarantine.decide(&request("other", "deadly"), now),
        RunDecision::Admit
    );
}

#[test]
fn evaluate_requests_that_always_ran_together_quarantines_none_until_they_part() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let (deadly, sound) = (request("account", "deadly"), request("account", "sound"));
    record_crashes(&mut quarantine, start, 4, &[&deadly, &sound]);
    assert!(quarantine.evaluate(seconds(start, 4.0)).is_empty());
    let at = seconds(start, 5.0);
    quarantine.record_crash(crash("apart", at, &[&deadly]));
    assert_eq!(quarantine.evaluate(at + SETTLED), slice::from_ref(&deadly.equal));
    // The crashes are attributed to the culprit, so they no longer count against the other one.
    record_crashes(&mut quarantine, seconds(start, 10.0), 2, &[&sound]);
    assert!(quarantine.evaluate(seconds(start, 12.0)).is_empty());
}

#[test]
fn evaluate_reports_of_other_hosts_within_the_settling_time_are_regarded() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let (deadly, sound) = (request("account", "deadly"), request("account", "sound"));
    record_crashes(&mut quarantine, start, 2, &[&sound]);
    for number in 0..3 {
        let at = seconds(start, f64::from(number));
        quarantine.record_crash(crash(&format!("{at:?}"), at, &[&deadly]));
    }
    let last = seconds(start, 2.0);
    quarantine.record_crash(crash(&format!("{last:?}"), last, &[&sound]));
    assert!(
        quarantine.evaluate(last + SETTLED).is_empty(),
        "both ran at all of them"
    );
}

#[test]
fn evaluate_crashes_at_the_same_time_count_once() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let frequent = request("account", "frequent");
    for round in 0..2 {
        for endpoint in 0..5 {
            let at = seconds(start, f64::from(round) + f64::from(endpoint) * 0.01);
            quarantine.record_crash(crash(&format!("{round}-{endpoint}"), at, &[&frequent]));
        }
    }
    assert!(quarantine.evaluate(seconds(start, 3.0)).is_empty());
}

#[test]
fn record_output_clears_earlier_crashes() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let sound = request("account", "sound");
    record_crashes(&mut quarantine, start, 2, &[&sound]);
    assert!(quarantine.record_output(&sound, seconds(start, 1.5)));
    record_crashes(&mut quarantine, seconds(start, 2.0), 2, &[&sound]);
    assert!(quarantine.evaluate(seconds(start, 5.0)).is_empty());
    // A late report of a crash from before does not count either.
    quarantine.record_crash(crash("late", seconds(start, 0.5), &[&sound]));
    assert!(quarantine.evaluate(seconds(start, 6.0)).is_empty());
}

/// The same prompt crashes endpoints with other text behind it each time.
#[test]
fn evaluate_similar_requests_quarantines_all_of_them() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let at = seconds(start, f64::from(number));
        let deadly = similar_request(1, number);
        quarantine.record_crash(crash(&format!("{number}"), at, &[&deadly]));
    }
    let now = seconds(start, 5.0);
    assert_eq!(quarantine.evaluate(now), [similar_request(1, 0).similar]);
    assert!(is_refused(&quarantine, &similar_request(1, 99), now));
    assert!(!is_refused(&quarantine, &similar_request(2, 0), now));
}

/// Many callers send the same deadly prompt at the same time.
#[test]
fn evaluate_similar_requests_that_run_at_the_same_time_quarantines_all_of_them() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let at = seconds(start, f64::from(number) * 0.06);
        let deadly = similar_request(1, number);
        quarantine.record_crash(crash(&format!("{number}"), at, &[&deadly]));
    }
    let quarantined = quarantine.evaluate(seconds(start, 1.0));
    assert_eq!(quarantined, [similar_request(1, 0).similar]);
}

/// A request is deadly, and a sound one that begins in the same way runs beside another crash.
#[test]
fn evaluate_sound_request_similar_to_a_deadly_one_is_not_quarantined() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let (deadly, sound) = (similar_request(1, 1), similar_request(1, 2));
    record_crashes(&mut quarantine, start, 3, &[&deadly]);
    assert_eq!(
        quarantine.evaluate(seconds(start, 3.0)),
        slice::from_ref(&deadly.equal)
    );
    record_crashes(&mut quarantine, seconds(start, 5.0), 1, &[&sound]);
    assert!(quarantine.evaluate(seconds(start, 6.0)).is_empty());
    quarantine.record_output(&sound, seconds(start, 7.0));
    assert!(is_refused(&quarantine, &deadly, seconds(start, 7.0)));
    record_crashes(&mut quarantine, seconds(start, 8.0), 2, &[&sound]);
    assert!(quarantine.evaluate(seconds(start, 11.0)).is_empty());
}

#[test]
fn decide_after_the_quarantine_admits_until_the_next_crash() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let deadly = request("account", "deadly");
    record_crashes(&mut quarantine, start, 3, &[&deadly]);
    quarantine.evaluate(seconds(start, 3.0));
    let RunDecision::Refuse { retry_after } = quarantine.decide(&deadly, seconds(start, 3.0)) else {
        panic!("it is not refused");
    };
    let later = seconds(start, 3.0) + retry_after;
    quarantine.evict_expired(later);
    assert_eq!(quarantine.decide(&deadly, later), RunDecision::Admit);
    record_crashes(&mut quarantine, later, 1, &[&deadly]);
    quarantine.evaluate(later + SETTLED);
    let renewed = quarantine.decide(&deadly, later + SETTLED);
    let RunDecision::Refuse { retry_after: renewed } = renewed else {
        panic!("a single crash renews the quarantine: {renewed:?}");
    };
    assert!(renewed > retry_after);
    let forgotten = later + Duration::from_hours(24);
    quarantine.evict_expired(forgotten);
    assert!(quarantine.is_empty());
}

#[test]
fn evaluate_flood_of_deadly_requests_stays_bounded() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let other = request("other", "deadly");
    record_crashes(&mut quarantine, start, 3, &[&other]);
    quarantine.evaluate(seconds(start, 3.0));
    let mut now = seconds(start, 4.0);
    for number in 0..400 {
        let body = format!("{number} {}", "x".repeat(100));
        let deadly = RequestIdentity::new("account", "POST", &format!("/{number}"), body.as_bytes());
        let beside: Vec<RequestIdentity> = (0..100)
            .map(|beside| request("account", &format!("{number}-{beside}")))
            .collect();
        let mut requests: Vec<&RequestIdentity> = beside.iter().collect();
        requests.push(&deadly);
        for round in 0..3 {
            now += Duration::from_millis(150);
            let endpoint = format!("{number}-{round}");
            quarantine.record_crash(crash(&endpoint, now, &[&deadly]));
            quarantine.record_crash(crash(&endpoint, now, &requests));
        }
    }
    now += SETTLED;
    quarantine.evaluate(now);
    assert!(quarantine.remembered_crashes() <= 256);
    assert!(
        quarantine.quarantined_count(now) <= 65,
        "64 of an account and one of the other"
    );
    assert!(is_refused(&quarantine, &other, now), "it is displaced");
    let report = quarantine.next_report();
    let suspects = report.crashes.iter().map(|crash| crash.suspects.len());
    assert!(suspects.max().unwrap_or(0) <= 32);
    assert!(report.crashes.len() <= 32 && report.quarantined.len() <= 32 && report.cleared.len() <= 32);
}

/// Reports of 3 s reach a host that was restarted.
#[test]
fn record_report_of_any_host_tells_all_quarantined_requests() {
    let start = Instant::now();
    let mut knowing = Quarantine::default();
    let deadly: Vec<RequestIdentity> = (0..200)
        .map(|number| request(&format!("account-{}", number % 4), &format!("{number}")))
        .collect();
    let mut now = start;
    for request in &deadly {
        record_crashes(&mut knowing, now, 3, &[request]);
        now += Duration::from_secs(4);
        knowing.evaluate(now);
    }
    let known: Vec<_> = deadly
        .iter()
        .filter(|request| is_refused(&knowing, request, now))
        .collect();
    assert!(known.len() >= 100, "{}", known.len());
    let mut restarted = Quarantine::default();
    for _ in 0..20 {
        restarted.record_report(knowing.next_report(), now);
    }
    for request in known {
        assert!(is_refused(&restarted, request, now));
    }
}

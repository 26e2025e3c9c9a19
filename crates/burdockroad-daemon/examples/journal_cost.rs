//! What durability costs: time from append to durable, and writes to the store, by group-commit window.
//!
//! One host appends records of many programs at a fixed rate; the store answers after a few
//! milliseconds, and a second host keeps the tail. With a recorded working set, a program's first
//! record in each window waits until the store has a mark of it, so that a successor would know which
//! programs may lack records.
//!
//! `cargo run --release --example journal_cost -p burdockroad-daemon`

#[path = "../tests/journal/host.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod host;

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use burdockroad::{
    Record,
    journal::{Durability, WriterOptions},
    program::Event,
};
use burdockroad_daemon::{
    journal::{Journal, StoreJournal},
    platform::{Fault, MemoryKeyValue},
};
use hdrhistogram::Histogram;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use self::host::Host;

/// Time that the store takes for each call.
const STORE_TIME: Duration = Duration::from_millis(3);

/// Appends a second.
const APPENDS_PER_S: u32 = 200;

/// Programs that the appends go round.
const PROGRAMS: u64 = 100;

/// Bytes that stand for messages in each record.
const MESSAGE_BYTES: usize = 500;

/// Time that each case runs.
const RUN_TIME: Duration = Duration::from_secs(4);

/// Longest time that is told apart, in microseconds.
const TIME_MAX_MICROS: u64 = 60_000_000;

/// Group-commit windows that are compared.
const WINDOWS_MS: [u64; 4] = [20, 100, 200, 500];

/// How records are made durable.
#[derive(Clone, Copy, Debug)]
enum Way {
    Stored,
    Replicated,
    ReplicatedWithWorkingSet,
}

/// Programs whose mark the store has in this window.
#[derive(Debug)]
struct WorkingSet {
    window: Duration,
    since: Instant,
    programs: HashSet<u64>,
}

impl WorkingSet {
    /// Adds a program, and tells whether it was not in the set.
    fn add(&mut self, program: u64) -> bool {
        if self.since.elapsed() >= self.window {
            self.since = Instant::now();
            self.programs.clear();
        }
        self.programs.insert(program)
    }
}

#[tokio::main]
async fn main() {
    for window_ms in WINDOWS_MS {
        for way in [Way::Stored, Way::Replicated, Way::ReplicatedWithWorkingSet] {
            run(Duration::from_millis(window_ms), way).await;
        }
    }
}

async fn run(window: Duration, way: Way) {
    let store = MemoryKeyValue::new();
    let mut hosts = BTreeMap::new();
    for (host_id, domain) in [("a", "x"), ("b", "y")] {
        hosts.insert(host_id.to_owned(), Host::start(host_id, domain, &store).await);
    }
    let view = host::view(&hosts, "a", &["b".to_owned()]);
    let host = hosts.get_mut("a").expect("it was started");
    host.set_peers(view);
    host.store.set_fault(Fault::Slow(STORE_TIME));
    let options = WriterOptions {
        window_min: window,
        ..host.service_options()
    };
    host.open_with(options).await;
    let writes_before = store.write_count();
    let began_at = Instant::now();
    let times = append_all(host.journal(), way, window).await;
    let writes = store.write_count() - writes_before;
    let seconds = began_at.elapsed().as_secs_f64();
    println!(
        "case=journal_cost window_ms={} way={way:?} appends={} p50_ms={:.2} p99_ms={:.2} writes_per_s={:.1}",
        window.as_millis(),
        times.len(),
        milliseconds(times.value_at_quantile(0.5)),
        milliseconds(times.value_at_quantile(0.99)),
        f64::from(u32::try_from(writes).unwrap_or(u32::MAX)) / seconds,
    );
}

/// Appends at the fixed rate, whether or not earlier appends are durable yet.
async fn append_all(journal: &StoreJournal, way: Way, window: Duration) -> Histogram<u64> {
    let working_set = Arc::new(Mutex::new(WorkingSet {
        window,
        since: Instant::now(),
        programs: HashSet::new(),
    }));
    let mut ticks = interval(Duration::from_secs(1) / APPENDS_PER_S);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut appends = JoinSet::new();
    let count = u64::from(APPENDS_PER_S) * RUN_TIME.as_secs();
    for number in 0..count {
        ticks.tick().await;
        appends.spawn(append(journal.clone(), way, Arc::clone(&working_set), number));
    }
    let mut times = Histogram::new_with_bounds(1, TIME_MAX_MICROS, 3).expect("the bounds are valid");
    while let Some(time) = appends.join_next().await {
        let micros = time.expect("an append does not panic").as_micros();
        times.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
    }
    times
}

async fn append(
    journal: StoreJournal,
    way: Way,
    working_set: Arc<Mutex<WorkingSet>>,
    number: u64,
) -> Duration {
    let began_at = Instant::now();
    let program = number % PROGRAMS;
    let marks = matches!(way, Way::ReplicatedWithWorkingSet);
    let marks = marks && working_set.lock().expect("nothing panics under it").add(program);
    if marks {
        durable(&journal, record(program, number, 0), Durability::Stored).await;
    }
    let durability = match way {
        Way::Stored => Durability::Stored,
        Way::Replicated | Way::ReplicatedWithWorkingSet => Durability::Replicated,
    };
    durable(&journal, record(program, number, MESSAGE_BYTES), durability).await;
    began_at.elapsed()
}

async fn durable(journal: &StoreJournal, record: Record, durability: Durability) {
    let appended = journal.append(vec![record], durability).await;
    appended.expect("the journal runs").expect("the store is up");
}

fn record(program: u64, number: u64, message_bytes: usize) -> Record {
    Record {
        root_id: format!("p-0001-{program}"),
        sequence: number,
        event: Event::Ended {
            program_id: format!("p-0001-{program}"),
            reason: "m".repeat(message_bytes),
            ended_at: std::time::SystemTime::UNIX_EPOCH,
        },
    }
}

fn milliseconds(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1_000.0
}

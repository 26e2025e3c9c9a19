//! Cost of durability by group-commit window: the time until an appended record is durable, and the rate of
//! writes to the store.
//!
//! One host appends records of many programs at a fixed rate. The store responds after `STORE_LATENCY`,
//! and a second host has a copy of the tail. In the mode `ReplicatedWithWorkingSet`, the first append of a
//! program in each window waits until the store has a marker record of the program. From the markers, a
//! successor could determine which programs may lack records.
//!
//! `cargo run --release --example journal_cost -p burdockroad-daemon`

#[path = "../tests/journal/host.rs"]
#[allow(dead_code, reason = "only the tests use all of it")]
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

/// Latency of each request to the store.
const STORE_LATENCY: Duration = Duration::from_millis(3);

/// Appends per second.
const APPENDS_PER_S: u32 = 200;

/// Number of programs, to which the appends are distributed round-robin.
const PROGRAM_COUNT: u64 = 100;

/// Size of the text in each record that stands for the messages of a call.
const MESSAGE_BYTES: usize = 500;

/// Duration of each case.
const CASE_DURATION: Duration = Duration::from_secs(4);

/// Highest latency that the histogram can represent.
const LATENCY_MAX_MICROS: u64 = 60_000_000;

/// Group-commit windows that are compared.
const WINDOWS_MS: [u64; 4] = [20, 100, 200, 500];

/// How records are made durable.
#[derive(Clone, Copy, Debug)]
enum DurabilityMode {
    /// Each append waits until the store has the record.
    Stored,
    /// Each append waits until the second host or the store has the record.
    Replicated,
    /// Like `Replicated`, with a marker record in the store for each program and window.
    ReplicatedWithWorkingSet,
}

/// Programs that have a marker record in the store for the current window.
#[derive(Debug)]
struct WorkingSet {
    window: Duration,
    started_at: Instant,
    programs: HashSet<u64>,
}

impl WorkingSet {
    /// Adds a program, and returns whether it is new in the current window.
    fn add(&mut self, program: u64) -> bool {
        if self.started_at.elapsed() >= self.window {
            self.started_at = Instant::now();
            self.programs.clear();
        }
        self.programs.insert(program)
    }
}

#[tokio::main]
async fn main() {
    for window_ms in WINDOWS_MS {
        for mode in [
            DurabilityMode::Stored,
            DurabilityMode::Replicated,
            DurabilityMode::ReplicatedWithWorkingSet,
        ] {
            run(Duration::from_millis(window_ms), mode).await;
        }
    }
}

async fn run(window: Duration, mode: DurabilityMode) {
    let store = MemoryKeyValue::new();
    let mut hosts = BTreeMap::new();
    for (host_id, domain) in [("a", "x"), ("b", "y")] {
        hosts.insert(host_id.to_owned(), Host::start(host_id, domain, &store).await);
    }
    let view = host::peers_view(&hosts, "a", &["b".to_owned()]);
    let host = hosts.get_mut("a").expect("the host was started");
    host.set_peers(view);
    host.store.set_fault(Fault::Slow(STORE_LATENCY));
    let options = WriterOptions {
        window_min: window,
        ..host.service_options()
    };
    host.open_with(options).await;
    let writes_before = store.write_count();
    let started_at = Instant::now();
    let latencies = append_all(host.journal(), mode, window).await;
    let writes = store.write_count() - writes_before;
    let seconds = started_at.elapsed().as_secs_f64();
    println!(
        "case=journal_cost window_ms={} way={mode:?} appends={} p50_ms={:.2} p99_ms={:.2} writes_per_s={:.1}",
        window.as_millis(),
        latencies.len(),
        milliseconds(latencies.value_at_quantile(0.5)),
        milliseconds(latencies.value_at_quantile(0.99)),
        f64::from(u32::try_from(writes).unwrap_or(u32::MAX)) / seconds,
    );
}

/// Appends at the fixed rate, whether or not earlier appends are durable yet.
async fn append_all(journal: &StoreJournal, mode: DurabilityMode, window: Duration) -> Histogram<u64> {
    let working_set = Arc::new(Mutex::new(WorkingSet {
        window,
        started_at: Instant::now(),
        programs: HashSet::new(),
    }));
    let mut ticks = interval(Duration::from_secs(1) / APPENDS_PER_S);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut appends = JoinSet::new();
    let count = u64::from(APPENDS_PER_S) * CASE_DURATION.as_secs();
    for number in 0..count {
        ticks.tick().await;
        appends.spawn(append(journal.clone(), mode, Arc::clone(&working_set), number));
    }
    let mut latencies = Histogram::new_with_bounds(1, LATENCY_MAX_MICROS, 3).expect("the bounds are valid");
    while let Some(latency) = appends.join_next().await {
        let micros = latency.expect("an append does not panic").as_micros();
        latencies.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
    }
    latencies
}

async fn append(
    journal: StoreJournal,
    mode: DurabilityMode,
    working_set: Arc<Mutex<WorkingSet>>,
    number: u64,
) -> Duration {
    let started_at = Instant::now();
    let program = number % PROGRAM_COUNT;
    let writes_marker = matches!(mode, DurabilityMode::ReplicatedWithWorkingSet);
    let writes_marker = writes_marker
        && working_set
            .lock()
            .expect("no thread panics while it holds the lock")
            .add(program);
    if writes_marker {
        append_durably(&journal, record(program, number, 0), Durability::Stored).await;
    }
    let durability = match mode {
        DurabilityMode::Stored => Durability::Stored,
        DurabilityMode::Replicated | DurabilityMode::ReplicatedWithWorkingSet => Durability::Replicated,
    };
    append_durably(&journal, record(program, number, MESSAGE_BYTES), durability).await;
    started_at.elapsed()
}

async fn append_durably(journal: &StoreJournal, record: Record, durability: Durability) {
    let appended = journal.append(vec![record], durability).await;
    appended
        .expect("the journal runs")
        .expect("the store is available");
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

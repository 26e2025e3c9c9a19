//! Measures the resources that daemons use per call, program and peer, for docs/CAPACITY.md.
//!
//! `cargo run --release --bin slopes` prints one line per measured value, of the form
//! `slope=... value=... unit=...`. It runs on Linux only, because it reads CPU time and memory from the
//! daemons' `/proc` entries.

use std::{fs, time::Duration};

use anyhow::{Context, Result};
use burdockroad_proto::peer::{DocumentFreshness, HeartbeatRequest, HostRef};
use burdockroad_site::{AccountOptions, Caller, Site, SiteOptions, completion};
use burdockroad_standins::processes::Process;
use http::Method;
use prost::Message;
use serde_json::json;

/// Calls over which the cost of a call is averaged.
const CALLS: usize = 4_000;

/// Programs over which the cost of a program is averaged.
const PROGRAMS: usize = 1_000;

/// Concurrent requests.
const CONCURRENT_REQUESTS: usize = 16;

/// Time over which the cost of idle daemons is measured.
const IDLE_DURATION: Duration = Duration::from_secs(20);

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

#[tokio::main]
async fn main() -> Result<()> {
    let options = SiteOptions {
        daemons: 3,
        engines: 2,
        engine_options: vec![
            "--token-ms",
            "1",
            "--answer-tokens",
            "1",
            "--prefill-us-per-token",
            "0",
        ],
        slots: 64,
        accounts: vec![AccountOptions {
            id: "masters",
            rate_per_s: 1e5,
            burst: 100_000,
        }],
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    measure_idle(&site).await?;
    measure_calls(&site).await?;
    measure_programs(&site).await?;
    measure_heartbeats();
    Ok(())
}

fn print_slope(slope: &str, value: f64, unit: &str) {
    println!("slope={slope} value={value:.3} unit={unit}");
}

/// Measures the cost of daemons without callers: heartbeats, polls of endpoints and reads of the store.
async fn measure_idle(site: &Site) -> Result<()> {
    let counts = site.get_control(&site.kv, "/counts").await;
    let before = cpu_s(&site.daemons)?;
    tokio::time::sleep(IDLE_DURATION).await;
    let cpu_spent_s = cpu_s(&site.daemons)? - before;
    let after = site.get_control(&site.kv, "/counts").await;
    let hosts = count(site.daemons.len());
    let seconds = IDLE_DURATION.as_secs_f64();
    print_slope(
        "idle_processor",
        100.0 * cpu_spent_s / hosts / seconds,
        "percent_of_a_core_per_host",
    );
    print_slope(
        "idle_memory",
        memory_bytes(&site.daemons)? / hosts / 1e6,
        "MB_per_host",
    );
    for kind in ["reads", "writes"] {
        let requests = after[kind].as_f64().unwrap_or(0.0) - counts[kind].as_f64().unwrap_or(0.0);
        print_slope(
            &format!("idle_store_{kind}"),
            requests / hosts / seconds,
            "per_s_per_host",
        );
    }
    Ok(())
}

/// Measures the cost of a program's call, including the forward to the program's owner.
async fn measure_calls(site: &Site) -> Result<()> {
    let caller = site.caller("masters");
    let before = cpu_s(&site.daemons)?;
    let counts = site.get_control(&site.kv, "/counts").await;
    let workers = (0..CONCURRENT_REQUESTS)
        .map(|worker| run_programs(caller.clone(), worker, CALLS / CONCURRENT_REQUESTS));
    futures_util::future::join_all(workers).await;
    let cpu_spent_s = cpu_s(&site.daemons)? - before;
    let after = site.get_control(&site.kv, "/counts").await;
    let writes = after["writes"].as_f64().unwrap_or(0.0) - counts["writes"].as_f64().unwrap_or(0.0);
    print_slope(
        "call_processor",
        1e6 * cpu_spent_s / count(CALLS),
        "us_per_call_of_all_hosts",
    );
    print_slope(
        "call_store_writes",
        writes / count(CALLS),
        "per_call_of_all_hosts",
    );
    Ok(())
}

/// Runs programs of ten calls each, one after another.
async fn run_programs(caller: Caller<'_>, worker: usize, calls: usize) {
    let body = completion("What does the passage plan say of fuel at Sohar?", 1);
    let mut program = String::new();
    for call in 0..calls {
        if call % 10 == 0 {
            program = caller.create_program(worker % 3, &json!({})).await;
        }
        let number = u32::try_from(call % 10 + 1).unwrap_or(1);
        let position = Some((program.as_str(), number));
        let host = (worker + call) % 3;
        let response = caller
            .send(host, Method::POST, "/v1/chat/completions", position, &body)
            .await;
        assert!(response.status.is_success(), "{}", response.text());
    }
}

/// Measures the memory of a program between two calls, while it waits for its tools.
async fn measure_programs(site: &Site) -> Result<()> {
    let before = memory_bytes(&site.daemons)?;
    let caller = site.caller("masters");
    let text = "x".repeat(40_000);
    let workers = (0..CONCURRENT_REQUESTS).map(|worker| {
        let caller = caller.clone();
        let body = completion(&text, 1);
        async move {
            for _ in 0..PROGRAMS / CONCURRENT_REQUESTS {
                let program = caller.create_program(worker % 3, &json!({})).await;
                let position = Some((program.as_str(), 1));
                let response = caller
                    .send(worker % 3, Method::POST, "/v1/chat/completions", position, &body)
                    .await;
                assert!(response.status.is_success(), "{}", response.text());
            }
        }
    });
    futures_util::future::join_all(workers).await;
    let growth_bytes = memory_bytes(&site.daemons)? - before;
    print_slope(
        "program_memory",
        growth_bytes / count(PROGRAMS),
        "bytes_per_program_with_40000_bytes_of_history",
    );
    Ok(())
}

/// Computes the size of a heartbeat as a function of the number of hosts that its sender reports as live.
fn measure_heartbeats() {
    let heartbeat = |live_hosts: usize| {
        let host = |number: usize| HostRef {
            host_id: format!("host-{number:04}"),
            incarnation: u64::MAX,
        };
        let message = HeartbeatRequest {
            from: Some(host(0)),
            peer_address: "10.100.100.100:7200".to_owned(),
            failure_domain: "sohar-a".to_owned(),
            heard: (0..live_hosts).map(host).collect(),
            ownership_version: 1_000_000,
            document: Some(DocumentFreshness {
                version: 1_000_000,
                vouch_age_ms: Some(1_000),
            }),
            leaving: false,
        };
        count(message.encoded_len())
    };
    print_slope("heartbeat_base", heartbeat(0), "bytes");
    print_slope(
        "heartbeat_per_heard_host",
        (heartbeat(100) - heartbeat(0)) / 100.0,
        "bytes",
    );
}

fn cpu_s(processes: &[Process]) -> Result<f64> {
    let mut ticks = 0.0;
    for process in processes {
        let stat = read(process, "stat")?;
        // The process name before the last parenthesis may contain spaces.
        let fields = stat
            .rsplit(')')
            .next()
            .context("no fields after the process name")?;
        let mut fields = fields.split_whitespace().skip(11);
        for _ in 0..2 {
            ticks += fields
                .next()
                .context("no CPU ticks in /proc/PID/stat")?
                .parse::<f64>()?;
        }
    }
    Ok(ticks / TICKS_PER_S)
}

fn memory_bytes(processes: &[Process]) -> Result<f64> {
    let mut bytes = 0.0;
    for process in processes {
        let pages = read(process, "statm")?;
        let resident = pages
            .split_whitespace()
            .nth(1)
            .context("no resident pages in /proc/PID/statm")?;
        bytes += PAGE_BYTES * resident.parse::<f64>()?;
    }
    Ok(bytes)
}

fn read(process: &Process, file: &str) -> Result<String> {
    let id = process.id().context("the daemon is not running")?;
    fs::read_to_string(format!("/proc/{id}/{file}")).context("cannot read the daemon's /proc entry")
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn count(number: usize) -> f64 {
    number as f64
}

//! Runs one stand-in as a separate process until SIGTERM or SIGINT.
//!
//! The first line on standard output is `address=IP:PORT`, followed by `control=IP:PORT` if the stand-in
//! accepts control requests.

use std::process::ExitCode;

use anyhow::{Context, bail};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

use crate::running::RunningStandin;

mod running;

const HELP: &str = "\
Usage: burdockroad-standin KIND [--listen 127.0.0.1:0] [--control-listen 127.0.0.1:0] [OPTIONS]

Kinds and their options:
  kv      key-value service    --reads-per-s N --writes-per-s N
  engine  model engine         --model NAME (repeatable; default: any model) --slots N --token-ms MS
                               --batch-slowdown FRACTION --prefill-us-per-token US --cache-tokens N
                               --transfer-us-per-token US --answer-tokens N --event-lag-ms MS
                               --event-gap-probability P --load-lag-ms MS --fencing refused|ignored
                               --load-ms MS --weight-store IP:PORT --record-limit N --seed N
  service       plain service  --slots N --execution-ms MS
  host-list     list of hosts  --hosts JSON --lag-ms MS
  proxy         TCP proxy      --target IP:PORT
  weight-store  weight store   --rate-per-s N --weights-bytes N
";

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("burdockroad-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> anyhow::Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let kind = arguments.subcommand()?.context("KIND is missing; see --help")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(&kind, arguments))
}

/// Worker threads of a stand-in; low because a test runs several stand-ins on one machine.
const WORKER_THREADS: usize = 2;

async fn run(kind: &str, mut arguments: Arguments) -> anyhow::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    let running = running::start(kind, &mut arguments).await?;
    let unused = arguments.finish();
    if !unused.is_empty() {
        bail!("unknown arguments {unused:?}; see --help");
    }
    println!("{}", running.address_line());
    tokio::select! {
        _ = terminated.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    let RunningStandin { closing, .. } = running;
    closing.await;
    Ok(())
}

//! `burdockroadd`, the daemon that runs on every entry host.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result, bail};
use burdockroad_daemon::{daemon::Daemon, logging, settings::Settings, telemetry::Telemetry};
use mimalloc::MiMalloc;
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Output of `--help`.
const HELP: &str = "\
burdockroadd: serves callers on one entry host

Usage:
  burdockroadd --settings FILE    run until SIGTERM or SIGINT, then finish running calls and stop
  burdockroadd --check FILE       check the settings, report all faults, and exit
  burdockroadd --help | --version

Exit codes: 0 success, 1 failed to start or run, 2 invalid arguments or settings.
";

/// Command selected by the arguments.
enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

fn main() -> ExitCode {
    let command = match parse(Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("burdockroadd: {error:#}\nTry burdockroadd --help");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("burdockroadd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => return check(&path),
        Command::Run(path) => return run(&path),
    }
    ExitCode::SUCCESS
}

fn parse(mut arguments: Arguments) -> Result<Command> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains("--version") {
        return Ok(Command::Version);
    }
    let check: Option<PathBuf> = arguments.opt_value_from_str("--check")?;
    let settings: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let unknown = arguments.finish();
    if !unknown.is_empty() {
        bail!("unknown arguments: {unknown:?}");
    }
    match (check, settings) {
        (Some(path), None) => Ok(Command::Check(path)),
        (None, Some(path)) => Ok(Command::Run(path)),
        _ => bail!("give either --settings FILE or --check FILE"),
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    match Settings::check(path) {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("burdockroadd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: Settings) -> Result<()> {
    logging::start(&settings.log_level, settings.log_file.as_deref())?;
    let telemetry = Telemetry::install()?;
    let mut terminate = signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot install the SIGINT handler")?;
    let daemon = tokio::select! {
        daemon = Daemon::start(settings, telemetry) => daemon?,
        // The daemon serves nothing yet, for example because the store is unavailable.
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    println!(
        "address={} peer={}",
        daemon.caller_address(),
        daemon.peer_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.close().await;
    Ok(())
}

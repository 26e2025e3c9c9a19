//! Generates a bounded load on loopback addresses and prints one line of statistics per account.

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::{Context, bail};
use burdockroad_standins::{
    arguments::{MS_PER_S, parse_duration_option, parse_option},
    load::{self, LoadAccount, LoadOptions},
};
use pico_args::Arguments;

const HELP: &str = "\
Usage: burdockroad-load --target IP:PORT [--target IP:PORT ...] --accounts FILE [OPTIONS]

FILE holds JSON: [{\"account_id\": \"a\", \"key\": \"...\", \"programs_per_s\": 5, \"concurrency\": 20}].
With programs_per_s 0, each of `concurrency` callers runs one program after the other.

  --model NAME          requested model (m)
  --direct              call engines directly, with the complete history and without API keys
  --whole               request complete responses instead of streams
  --turns N             calls per program (4)
  --tool-pause-ms MS    pause between two calls of a program (50)
  --prompt-bytes N      new text in each call (400)
  --max-tokens N        maximum tokens generated per call (64)
  --retries N           maximum retries of a call (20)
  --call-timeout-ms MS  timeout of each attempt (30000)
  --programs N          maximum programs per account (1000)
  --duration-s S        time after which no programs are started (10)
  --drain-s S           time in which running programs can then finish (30)
  --seed N              seed of the random start times (0)

Exit status: 0 when every program completed, 1 on an error, 2 when a program did not complete.
";

fn main() -> ExitCode {
    match start() {
        Ok(status) => status,
        Err(error) => {
            eprintln!("burdockroad-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> anyhow::Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let options = read_options(&mut arguments)?;
    let unused = arguments.finish();
    if !unused.is_empty() {
        bail!("unknown arguments {unused:?}; see --help");
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(load::run(options))?;
    let mut all_completed = true;
    for account in &report.accounts {
        println!("{account}");
        all_completed &= account.failed + account.unfinished + account.unstarted == 0;
    }
    println!("duration_s={:.3}", report.duration.as_secs_f64());
    Ok(if all_completed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    })
}

fn read_options(arguments: &mut Arguments) -> anyhow::Result<LoadOptions> {
    let accounts: PathBuf = arguments.value_from_str("--accounts")?;
    let mut options = LoadOptions {
        targets: arguments.values_from_str("--target")?,
        accounts: read_accounts(&accounts)?,
        direct: arguments.contains("--direct"),
        stream: !arguments.contains("--whole"),
        ..LoadOptions::default()
    };
    parse_option(arguments, "--model", &mut options.model)?;
    parse_option(arguments, "--turns", &mut options.turns)?;
    parse_duration_option(arguments, "--tool-pause-ms", MS_PER_S, &mut options.tool_pause)?;
    parse_option(arguments, "--prompt-bytes", &mut options.prompt_bytes)?;
    parse_option(arguments, "--max-tokens", &mut options.max_tokens)?;
    parse_option(arguments, "--retries", &mut options.retries)?;
    parse_duration_option(
        arguments,
        "--call-timeout-ms",
        MS_PER_S,
        &mut options.call_timeout,
    )?;
    parse_option(arguments, "--programs", &mut options.programs)?;
    parse_duration_option(arguments, "--duration-s", 1.0, &mut options.duration)?;
    parse_duration_option(arguments, "--drain-s", 1.0, &mut options.drain)?;
    parse_option(arguments, "--seed", &mut options.seed)?;
    Ok(options)
}

fn read_accounts(path: &PathBuf) -> anyhow::Result<Vec<LoadAccount>> {
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is not a valid list of accounts", path.display()))
}

//! Entry point of `burdockroad`, the operators' command-line tool.

use std::{env, io::Write, process::ExitCode};

fn main() -> anyhow::Result<ExitCode> {
    let arguments = env::args_os().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(burdockroad_cli::run(arguments));
    std::io::stdout().write_all(outcome.stdout.as_bytes())?;
    std::io::stderr().write_all(outcome.stderr.as_bytes())?;
    Ok(ExitCode::from(outcome.exit as u8))
}

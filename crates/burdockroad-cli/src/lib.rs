//! The operators' command-line tool, `burdockroad`.
//!
//! Each change edits the configuration document. [`edit`] changes its text and preserves the comments,
//! [`apply`] writes it with compare-and-swap, and [`hosts`] waits until it is in force on the hosts.

pub mod apply;
mod args;
mod commands;
mod completions;
pub mod edit;
mod error;
mod help;
pub mod hosts;
mod report;

use std::ffi::OsString;

pub use self::{
    error::{CliError, Exit},
    report::{Outcome, Report},
};

/// Runs one command. The arguments do not include the name of the executable.
pub async fn run(arguments: Vec<OsString>) -> Outcome {
    let (output, result) = match args::parse(arguments) {
        Ok(args::Invocation::Help(text)) => return Outcome::text(text),
        Ok(args::Invocation::Run(options, command)) => {
            let output = options.output;
            (output, commands::run(&options, command).await)
        }
        Err(error) => (report::Output::Text, Err(error)),
    };
    report::render(output, result)
}

//! The operators' command-line tool, `burdockroad`.
//!
//! Every change is an edit of the one configuration document: [`edit`] changes its text and keeps the
//! comments, [`apply`] writes it by compare-and-swap, and [`hosts`] waits until it is in force.

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

/// Runs one command, given by its arguments without the program's name.
pub async fn run(arguments: Vec<OsString>) -> Outcome {
    let (output, result) = match args::parse(arguments) {
        Ok(args::Request::Help(text)) => return Outcome::text(text),
        Ok(args::Request::Run(options, command)) => {
            let output = options.output;
            (output, commands::run(&options, command).await)
        }
        Err(error) => (report::Output::Text, Err(error)),
    };
    report::render(output, result)
}

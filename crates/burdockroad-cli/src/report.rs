//! What a command prints.

use serde_json::{Value, json};

use crate::error::{CliError, Exit};

/// Form in which results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Result of a command that did what it was asked for.
#[derive(Clone, Debug)]
pub struct Report {
    /// For people; ends with a line break unless it is empty.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// What people have to know besides, on standard error.
    pub notes: Vec<String>,
    /// Whether anything is left to be done.
    pub exit: Exit,
}

/// What the process prints, and its exit code.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// For standard output.
    pub stdout: String,
    /// For standard error.
    pub stderr: String,
    /// Exit code.
    pub exit: Exit,
}

impl Report {
    /// Makes the report of a command that is done.
    pub fn new(lines: impl IntoIterator<Item = String>, json: Value) -> Self {
        let text = lines.into_iter().map(|line| line + "\n").collect();
        Self {
            text,
            json,
            notes: Vec::new(),
            exit: Exit::Done,
        }
    }
}

impl Outcome {
    /// Makes the outcome of a command that only prints a text.
    pub fn text(text: impl Into<String>) -> Self {
        Self {
            stdout: text.into(),
            stderr: String::new(),
            exit: Exit::Done,
        }
    }
}

/// Turns the result of a command into what is printed.
pub(crate) fn render(output: Output, result: Result<Report, CliError>) -> Outcome {
    match result {
        Ok(report) => Outcome {
            stdout: match output {
                Output::Text => report.text,
                Output::Json => format!("{:#}\n", report.json),
            },
            stderr: report.notes.into_iter().map(|note| note + "\n").collect(),
            exit: report.exit,
        },
        Err(error) => Outcome {
            stdout: String::new(),
            stderr: match output {
                Output::Text => format!("{error}\n"),
                Output::Json => format!("{:#}\n", error_json(&error)),
            },
            exit: error.exit(),
        },
    }
}

fn error_json(error: &CliError) -> Value {
    let mut value = json!({ "error": error.to_string(), "exit_code": error.exit() as u8 });
    match error {
        CliError::Invalid { findings, .. } => value["findings"] = json!(findings),
        CliError::Superseded { found, changes, .. } => {
            value["found_version"] = json!(found);
            value["changes"] = json!(changes);
        }
        _ => {}
    }
    value
}

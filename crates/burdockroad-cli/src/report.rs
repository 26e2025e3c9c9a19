//! Output of a command.

use serde_json::{Value, json};

use crate::error::{CliError, Exit};

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Readable text.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Result of a command that did not return an error.
#[derive(Clone, Debug)]
pub struct Report {
    /// Result as readable text; ends with a line break unless it is empty.
    pub text: String,
    /// Result as JSON.
    pub json: Value,
    /// Additional lines for the operator, printed on standard error.
    pub notes: Vec<String>,
    /// Exit code; not [`Exit::Done`] if the result is incomplete.
    pub exit: Exit,
}

/// Output and exit code of the process.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub exit: Exit,
}

impl Report {
    /// Creates the report of a command that succeeded.
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
    /// Creates the outcome of a command that only prints a text.
    pub fn text(text: impl Into<String>) -> Self {
        Self {
            stdout: text.into(),
            stderr: String::new(),
            exit: Exit::Done,
        }
    }
}

/// Renders the result of a command in an output format.
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

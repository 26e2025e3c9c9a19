//! Errors of commands and their exit codes.

use std::fmt;

use burdockroad::{
    DocumentVersion,
    config::{Change, Finding},
};
use burdockroad_daemon::platform::{PlatformError, StoreError};

/// Exit codes of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without an exit code of its own.
    Failed = 1,
    /// The command line is not valid; nothing was done.
    Usage = 2,
    /// The document is not valid; nothing was changed.
    Invalid = 3,
    /// The change is stored, but was not in force on every host before the timeout.
    NotInForce = 4,
    /// The document was changed concurrently; this command changed nothing.
    Superseded = 5,
    /// The store cannot be reached; nothing was changed.
    Unavailable = 6,
    /// It is not known whether the change is stored.
    Unknown = 7,
    /// The object that the command names does not exist; nothing was changed.
    Missing = 8,
    /// The document already has the state that the command would set; nothing was changed.
    Unchanged = 9,
}

/// Error of a command.
#[derive(Clone, Debug)]
pub enum CliError {
    /// The command line is not valid.
    Usage(String),
    /// The document is not valid.
    Invalid {
        /// Source of the text, such as a file name.
        origin: String,
        /// All errors in the text.
        findings: Vec<Finding>,
    },
    /// The document was changed concurrently.
    Superseded {
        /// Version that the change was based on.
        expected: DocumentVersion,
        /// Version that is stored now.
        found: DocumentVersion,
        /// Differences between the two versions; empty if the expected version is not available.
        changes: Vec<Change>,
    },
    /// The store cannot be reached.
    Unavailable(String),
    /// It is not known whether the change is stored.
    Unknown {
        /// Version of the change, if it is stored.
        version: DocumentVersion,
        /// Error of the last attempt to write it.
        reason: String,
    },
    /// The object that the command names does not exist.
    Missing(String),
    /// The document already has the state that the command would set.
    Unchanged(String),
    /// Failure of another kind.
    Failed(String),
}

impl CliError {
    /// Returns the exit code of this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Invalid { .. } => Exit::Invalid,
            Self::Superseded { .. } => Exit::Superseded,
            Self::Unavailable(_) => Exit::Unavailable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Missing(_) => Exit::Missing,
            Self::Unchanged(_) => Exit::Unchanged,
            Self::Failed(_) => Exit::Failed,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) => {
                write!(
                    f,
                    "{reason}\nSee `burdockroad --help`, or `--help` after a command."
                )
            }
            Self::Invalid { origin, findings } => {
                for finding in findings {
                    writeln!(f, "{origin}:{finding}")?;
                }
                write!(
                    f,
                    "errors found: {}; nothing was changed. Correct them and retry.",
                    findings.len()
                )
            }
            Self::Superseded {
                expected,
                found,
                changes,
            } => {
                writeln!(
                    f,
                    "The document is now at version {found}, but your change started from {expected}; nothing was changed."
                )?;
                for change in changes {
                    writeln!(f, "{change}")?;
                }
                write!(
                    f,
                    "Print the new version with `burdockroad config show`, repeat your change in it, and apply the result."
                )
            }
            Self::Unavailable(reason) => {
                write!(
                    f,
                    "{reason}\nNothing was changed; retry when the store is available."
                )
            }
            Self::Unknown { version, reason } => write!(
                f,
                "It is not known whether version {version} is stored: {reason}\n\
                 Check with `burdockroad config show --at {version}` before you retry."
            ),
            Self::Missing(what) | Self::Unchanged(what) => write!(f, "{what}; nothing was changed."),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for CliError {}

impl From<StoreError> for CliError {
    /// Converts the error of a read. A read changes nothing, so its outcome is never unknown.
    fn from(error: StoreError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

impl From<PlatformError> for CliError {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error.to_string())
    }
}

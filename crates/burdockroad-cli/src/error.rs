//! Why a command failed, and the exit code that tells so.

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
    /// Done.
    Done = 0,
    /// Failed for another reason than those below.
    Failed = 1,
    /// The command line is not valid; nothing was done.
    Usage = 2,
    /// The document is not valid; nothing was changed.
    Invalid = 3,
    /// The change is stored, but not in force on every host within the time.
    NotInForce = 4,
    /// Somebody else changed the document meanwhile; nothing was changed.
    Superseded = 5,
    /// The store cannot be reached; nothing was changed.
    Unavailable = 6,
    /// It could not be found out whether the change is stored.
    Unknown = 7,
    /// What the command names does not exist; nothing was changed.
    Missing = 8,
}

/// Why a command failed.
#[derive(Clone, Debug)]
pub enum CliError {
    /// The command line is not valid.
    Usage(String),
    /// The document is not valid.
    Invalid {
        /// What the text comes from.
        origin: String,
        /// Everything that is wrong with it.
        findings: Vec<Finding>,
    },
    /// Somebody else changed the document.
    Superseded {
        /// Version that the operator started from.
        expected: DocumentVersion,
        /// Version that is stored now.
        found: DocumentVersion,
        /// What the other change did, when both versions are known.
        changes: Vec<Change>,
    },
    /// The store cannot be reached.
    Unavailable(String),
    /// It could not be found out whether the change is stored.
    Unknown {
        /// Version that the change would have.
        version: DocumentVersion,
        /// What happened.
        reason: String,
    },
    /// What the command names does not exist.
    Missing(String),
    /// Another failure.
    Failed(String),
}

impl CliError {
    /// Returns the exit code that tells this failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Invalid { .. } => Exit::Invalid,
            Self::Superseded { .. } => Exit::Superseded,
            Self::Unavailable(_) => Exit::Unavailable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Missing(_) => Exit::Missing,
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
                    "{} faults; nothing was changed. Mend them and try again.",
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
                    "The document is now at version {found}, but you started from {expected}; nothing was changed."
                )?;
                for change in changes {
                    writeln!(f, "{change}")?;
                }
                write!(
                    f,
                    "Look at it with `burdockroad config show`, make your change in it, and apply that."
                )
            }
            Self::Unavailable(reason) => {
                write!(
                    f,
                    "{reason}\nNothing was changed; try again when the store answers."
                )
            }
            Self::Unknown { version, reason } => write!(
                f,
                "Version {version} may be stored or not: {reason}\n\
                 Find out with `burdockroad config show --at {version}` before you try again."
            ),
            Self::Missing(what) => write!(f, "{what}; nothing was changed."),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for CliError {}

impl From<StoreError> for CliError {
    /// For reads, which have no effect.
    fn from(error: StoreError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

impl From<PlatformError> for CliError {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error.to_string())
    }
}

//! Errors that occur when a daemon starts.

use std::{fmt, io};

use crate::{coordinator::StartError, platform::PlatformError};

/// Error returned when a daemon fails to start.
#[derive(Debug)]
pub enum DaemonError {
    /// The platform's services cannot be used with the settings.
    Platform(PlatformError),
    /// The daemon cannot listen on an address.
    Listen {
        /// The address.
        address: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// An actor could not be started.
    Actor(ractor::SpawnErr),
    /// The coordinator could not be started.
    Coordinator(StartError),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(cause) => cause.fmt(f),
            Self::Listen { address, cause } => write!(f, "cannot listen on {address}: {cause}"),
            Self::Actor(cause) => write!(f, "an actor could not be started: {cause}"),
            Self::Coordinator(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for DaemonError {}

impl From<PlatformError> for DaemonError {
    fn from(cause: PlatformError) -> Self {
        Self::Platform(cause)
    }
}

impl From<ractor::SpawnErr> for DaemonError {
    fn from(cause: ractor::SpawnErr) -> Self {
        Self::Actor(cause)
    }
}

impl From<StartError> for DaemonError {
    fn from(cause: StartError) -> Self {
        Self::Coordinator(cause)
    }
}

//! Errors from starting and controlling a stand-in.

use std::{fmt, io, net::SocketAddr};

/// Result of starting or controlling a stand-in.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Error from starting or controlling a stand-in.
#[derive(Debug)]
pub enum StandinError {
    /// The address is not a loopback address; stand-ins listen on loopback only.
    NotLoopback(SocketAddr),
    /// Listening on the address failed.
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// An option has an invalid value.
    Option(String),
    /// A process could not be started, reached or signalled.
    Process(String),
    /// A request to a stand-in failed.
    Request(String),
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLoopback(address) => write!(f, "{address} is not a loopback address"),
            Self::Listen { address, source } => write!(f, "cannot listen on {address}: {source}"),
            Self::Option(reason) => write!(f, "invalid option: {reason}"),
            Self::Process(reason) => write!(f, "process: {reason}"),
            Self::Request(reason) => write!(f, "request failed: {reason}"),
        }
    }
}

impl std::error::Error for StandinError {}

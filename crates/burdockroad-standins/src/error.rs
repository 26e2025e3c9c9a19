//! The error of starting and driving a stand-in.

use std::{fmt, io, net::SocketAddr};

/// Result of starting or driving a stand-in.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Why a stand-in could not be started or driven.
#[derive(Debug)]
pub enum StandinError {
    /// The address is not a loopback address; stand-ins serve nothing else.
    NotLoopback(SocketAddr),
    /// The address could not be listened on.
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// An option cannot be used.
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
            Self::Option(reason) => write!(f, "bad option: {reason}"),
            Self::Process(reason) => write!(f, "process: {reason}"),
            Self::Request(reason) => write!(f, "request failed: {reason}"),
        }
    }
}

impl std::error::Error for StandinError {}

//! Small stand-ins of the platform and the endpoints, for tests and measurements; not shipped.
//!
//! Each stand-in is started in-process on a loopback address and returns a handle with its address
//! and an explicit `close`. The binary `burdockroad-standin` runs one of them as a process of its own.
//!
//! | module | what it stands in for |
//! |---|---|
//! | [`kv`] | the platform's key-value service: the etcd v3 interface, in memory |

pub use crate::error::{Result, StandinError};

mod error;
mod http_server;
pub mod kv;
mod server;

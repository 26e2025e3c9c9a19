//! Storage of the turns of conversations that the system keeps.
//!
//! Hosts with disks store the turns; gateway hosts write and read them. Each disk host appends the turns it
//! receives to its [`TurnLog`](log::TurnLog) and copies from the other disk hosts the turns that it should
//! store but does not. [`burdockroad::gateway`] decides which hosts store a turn and when it is durable.

mod claims;
pub(crate) mod client;
mod departed;
mod disk_hosts;
pub(crate) mod host;
pub(crate) mod links;
pub(crate) mod log;
pub(crate) mod members;
pub(crate) mod messages;
pub(crate) mod removal;
mod shared_copies;
pub(crate) mod state;
pub(crate) mod stream_holder;
pub(crate) mod sync;
mod write;

//! The daemon that runs on every entry host.
//!
//! Each module stands for one border of the daemon and defines the trait object by which the others
//! reach it: [`platform`] (key-value service and host list), [`journal`] (durable records),
//! [`ownership`] (which host serves which partition), [`quota`] (rates and bursts), [`dispatch`]
//! (slots at endpoints) and [`peer`] (the other daemons). [`settings`] holds what a process is told
//! when it starts.
//!
//! [`coordinator`] keeps a host in the fleet: [`membership`] tells which hosts are up, [`takeover`]
//! takes over from a process that is gone, and [`handoff`] moves partitions between processes that are up.

pub mod config_watch;
pub mod coordinator;
pub mod dispatch;
pub mod handoff;
pub mod journal;
pub mod membership;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod quota;
pub mod settings;
pub mod takeover;

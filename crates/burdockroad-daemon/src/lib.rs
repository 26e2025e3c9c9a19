//! The daemon that runs on every entry host.
//!
//! Each module stands for one border of the daemon and defines the trait object by which the others
//! reach it: [`platform`] (key-value service and host list), [`journal`] (durable records),
//! [`ownership`] (which host serves which partition), [`quota`] (rates and bursts), [`dispatch`]
//! (slots at endpoints) and [`peer`] (the other daemons). [`settings`] holds what a process is told
//! when it starts.

pub mod config_watch;
pub mod dispatch;
pub mod journal;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod quota;
pub mod settings;

//! The daemon that runs on every entry host.
//!
//! Each module stands for one border of the daemon and defines the trait object by which the others
//! reach it: [`platform`] (key-value service and host list), [`journal`] (durable records),
//! [`ownership`] (which host serves which partition), [`quota`] (rates and bursts), [`dispatch`]
//! (slots at endpoints), [`peer`] (the other daemons), [`config_watch`] (the document in force) and
//! [`admin`] (operators and the balancer). [`settings`] holds what a process is told when it starts;
//! [`logging`] and [`telemetry`] tell what it does.
//!
//! [`daemon`] puts the parts together. A request comes in through [`http`], goes to the owner of its
//! program through [`edge`], and runs in [`calls`], which keeps to what [`programs`] allows and writes
//! to an [`answer`]. [`coordinator`] keeps a host in the fleet: [`membership`] tells which hosts are up,
//! [`takeover`] takes over from a process that is gone, and [`handoff`] moves partitions between
//! processes that are up.

pub mod admin;
pub mod answer;
pub mod calls;
pub mod config_watch;
pub mod coordinator;
pub mod daemon;
pub mod dispatch;
pub mod document_source;
pub mod edge;
pub mod endpoint;
pub mod handoff;
pub mod http;
pub mod journal;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod programs;
pub mod quota;
pub mod settings;
pub mod takeover;
pub mod telemetry;

//! The daemon that runs on every entry host.
//!
//! Each of these modules is one interface of the daemon and defines the traits through which the other
//! modules use it: [`platform`] (key-value service and host list), [`journal`] (durable records),
//! [`ownership`] (assignment of partitions to hosts), [`quota`] (rates and bursts), [`dispatch`] (slots
//! at endpoints), [`peer`] (other daemons), [`config_watch`] (the document in force) and [`admin`]
//! (operators and the load balancer). [`settings`] contains the settings of a process. [`logging`] and
//! [`telemetry`] report on its operation.
//!
//! [`daemon`] assembles the components. A request arrives through [`http`], is routed to the owner of
//! its program by [`edge`], and runs in [`calls`], which enforces the limits of [`programs`] and writes
//! the response to an [`answer`]. [`coordinator`] makes the host part of the fleet: [`membership`]
//! tracks which hosts are live, [`takeover`] takes over the partitions of failed processes, and
//! [`handoff`] moves partitions between running processes.

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
pub mod prefix_cache;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod programs;
pub mod quota;
pub mod settings;
pub mod takeover;
pub mod telemetry;

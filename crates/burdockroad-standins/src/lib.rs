//! Small stand-ins of the platform and the endpoints, for tests and measurements; not shipped.
//!
//! Each stand-in is started in-process on a loopback address and returns a handle with its address
//! and an explicit `close`. The binary `burdockroad-standin` runs one of them as a process of its own.
//!
//! | module | what it stands in for |
//! |---|---|
//! | [`kv`] | the platform's key-value service: the etcd v3 interface, in memory |
//! | [`engine`] | a model engine |
//! | [`service`] | a plain service or tool service |
//! | [`host_list`] | the platform's list of hosts |
//! | [`weight_store`] | the weight store that engines load from |
//! | [`proxy`] | the network between two processes, with its faults |
//!
//! [`processes`] and [`http_client`] help tests to start and to drive them. [`load`] generates load, in
//! a test or by the binary `burdockroad-load`.
//!
//! # Control
//!
//! What only a test may do stands on a second address, the control address, so that nothing that is
//! passed on to a stand-in can reach it. `POST /faults` puts a set of faults in place of the one in
//! force; a field that is left out means no such fault, and an unknown field is refused.
//!
//! | stand-in | control requests |
//! |---|---|
//! | [`kv`] | `POST /faults` ([`KvFaults`](kv::KvFaults)), `GET /counts` ([`KvCounts`](kv::KvCounts)) |
//! | [`engine`] | `POST /faults` ([`EngineFaults`](engine::EngineFaults)), `GET /recorded`, `GET /stats` |
//! | [`service`] | `POST /faults` ([`ServiceFaults`](service::ServiceFaults)), `GET /recorded` |
//! | [`host_list`] | `POST /faults` ([`HostListFaults`](host_list::HostListFaults)), `PUT /hosts` |
//! | [`weight_store`] | `GET /counts` |
//! | [`proxy`] | `POST /faults` ([`ProxyFaults`](proxy::ProxyFaults)), `GET /counts` |

pub use crate::{
    error::{Result, StandinError},
    record::{HeaderField, Recorded},
};

pub mod arguments;
pub mod engine;
mod error;
pub mod host_list;
pub mod http_client;
mod http_server;
pub mod kv;
pub mod load;
pub mod processes;
pub mod proxy;
mod record;
mod request_faults;
mod server;
pub mod service;
pub mod weight_store;
mod window;

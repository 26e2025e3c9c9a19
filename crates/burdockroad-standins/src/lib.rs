//! Stand-ins (fake servers) for the platform and the endpoints, for tests and measurements; not shipped.
//!
//! Each stand-in runs in-process on a loopback address. Starting it returns a handle with its address
//! and an explicit `close`. The binary `burdockroad-standin` runs one stand-in as a separate process.
//!
//! | module | replaces |
//! |---|---|
//! | [`kv`] | the platform's key-value service: the etcd v3 API, in memory |
//! | [`engine`] | a model engine |
//! | [`service`] | a plain service or tool service |
//! | [`host_list`] | the platform's list of hosts |
//! | [`weight_store`] | the weight store that engines load from |
//! | [`proxy`] | the network between two processes, with injected faults |
//!
//! [`processes`] starts workspace binaries and [`http_client`] sends requests to them. [`load`] generates
//! load from a test or from the binary `burdockroad-load`.
//!
//! # Control
//!
//! Operations reserved for tests are served on a second address, the control address. Requests that a
//! daemon forwards to a stand-in therefore cannot reach them. `POST /faults` replaces the active set of
//! faults. An omitted field disables that fault, and an unknown field is rejected.
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
    record::{HeaderField, RecordedRequest},
};

pub mod arguments;
mod controlled_server;
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

//! Coordination library for scheduling the calls of agent programs.
//!
//! An agent program is a chain of dependent calls to model engines and plain services. This crate decides in
//! which order calls run, within which budget, on which endpoint and for which client account, and what must
//! be recorded before a call may leave a host. It opens no sockets, reads no clock and starts no threads: its
//! inputs are events, the current time and a seeded random generator, and its outputs are decisions. The
//! daemon `burdockroadd` carries these decisions out. Other programs can embed the modules that they need.
//!
//! # Guide
//!
//! * [`program`] tracks the call order, history and budget of programs, and writes them as [`Record`]s.
//! * [`journal`] makes records durable, and reads them back after a host is lost.
//! * [`dispatch`] assigns slots at endpoints: fairness, placement, health and prefix caches.
//! * [`membership`] tracks which hosts are up, and [`ownership`] which host owns each partition.
//! * [`gateway`] makes decisions for calls whose requests carry the whole program history.
//! * [`quota`] enforces rate and burst limits of client accounts over all hosts.
//! * [`config`] contains the configuration [`Document`] and its validation.
//! * [`retry`] decides whether and when a failed call is retried.
//!
//! Entities are rows of in-memory tables, which are processed on each tick.

pub mod config;
pub mod dispatch;
mod error;
pub mod gateway;
mod ids;
pub mod journal;
pub mod membership;
pub mod ownership;
pub mod program;
pub mod quota;
pub mod retry;

pub use crate::{
    config::Document,
    error::{Error, Result},
    ids::{
        AccountId, CallNumber, DocumentVersion, EndpointId, Epoch, FailureDomainId, HostId, Incarnation,
        KeyId, PARTITIONS, PartitionId, PoolId, ProgramId, RegionId, Revision, RouteId, SegmentNumber,
        SiteId, SoftwareVersion, partition_of, partition_of_program, program_id,
    },
    program::Record,
};

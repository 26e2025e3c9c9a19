//! Admin API of one host, which serves operators and the load balancer at the admin address.
//!
//! | request | response |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 when the host can accept calls, otherwise 503 with the reason |
//! | `GET /metrics` | all metrics in the Prometheus text format |
//! | `GET /status` | [`Status`] as JSON |
//! | `GET /programs` | [`ProgramSummary`] of each program that this host owns; `?account=` selects one account |
//! | `GET /programs/{id}` | [`ProgramSummary`] of one program, or 404 when this host does not own it |
//! | `POST /programs/{id}/end` | ends a program, or 404 when this host does not own it |
//! | `POST /document` | accepts the stored document if this host cannot confirm its own; [`DocumentResponse`] as JSON |
//! | `POST /drain` | makes `GET /ready` return 503 and starts handing off all partitions of this host |

mod server;
mod status;

use std::{fmt, sync::Arc};

use async_trait::async_trait;
use burdockroad::{AccountId, ProgramId};

use crate::config_watch::DocumentOffer;

pub use self::{
    server::serve,
    status::{
        DocumentResponse, DocumentStatus, EndpointStatus, OwnershipStatus, ProgramSummary, Readiness, Status,
        freshness_name,
    },
};

/// Source of the readiness, metrics and status of this host.
pub trait StatusSource: fmt::Debug + Send + Sync {
    /// Returns whether the host can accept calls.
    fn readiness(&self) -> Readiness;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the status report of the host.
    fn status(&self) -> Status;
}

/// Actions that operators can request.
#[async_trait]
pub trait OperatorActions: fmt::Debug + Send + Sync {
    /// Returns the programs that this host owns, for one account or for all accounts.
    async fn programs(&self, account_id: Option<AccountId>) -> Vec<ProgramSummary>;

    /// Returns one program, or `None` when this host does not own it.
    async fn program(&self, program_id: ProgramId) -> Option<ProgramSummary>;

    /// Ends a program and its sub-agents. Returns whether this host owns the program.
    async fn end_program(&self, program_id: ProgramId) -> bool;

    /// Marks this host as not ready, starts handing off its partitions, and returns without waiting for the
    /// handoff.
    async fn drain(&self);
}

/// Handlers of requests at the admin address.
#[derive(Clone, Debug)]
pub struct AdminHandlers {
    /// Source of the host's status.
    pub status: Arc<dyn StatusSource>,
    /// Actions that operators can request.
    pub actions: Arc<dyn OperatorActions>,
    /// Handler of documents that an operator's tool sends.
    pub document: Arc<dyn DocumentOffer>,
}

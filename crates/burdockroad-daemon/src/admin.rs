//! What operators and the balancer ask of one host, at the admin address.
//!
//! | request | answer |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 when the host may be given calls, else 503 with the reason |
//! | `GET /metrics` | all metrics, in Prometheus' text form |
//! | `GET /status` | [`Status`] in JSON |
//! | `GET /programs` | the [`ProgramSummary`] of each program that this host owns; `?account=` for one account |
//! | `GET /programs/{id}` | the [`ProgramSummary`] of one, 404 when this host does not own it |
//! | `POST /programs/{id}/end` | ends one, 404 when this host does not own it |
//! | `POST /document` | takes the stored document, if this host cannot confirm its own; [`DocumentResponse`] in JSON |
//! | `POST /drain` | this host hands its work over and takes no more |

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

/// Tells how the host is.
pub trait StatusSource: fmt::Debug + Send + Sync {
    /// Returns whether the host may be given calls.
    fn readiness(&self) -> Readiness;

    /// Returns all metrics in Prometheus' text form.
    fn metrics(&self) -> String;

    /// Returns what an operator has to know of the host.
    fn status(&self) -> Status;
}

/// Carries out what operators order.
#[async_trait]
pub trait OperatorActions: fmt::Debug + Send + Sync {
    /// Returns the programs that this host owns, those of one account or all.
    async fn programs(&self, account_id: Option<AccountId>) -> Vec<ProgramSummary>;

    /// Returns one program; none when this host does not own it.
    async fn program(&self, program_id: ProgramId) -> Option<ProgramSummary>;

    /// Ends a program and its sub-agents, and returns whether this host owns it.
    async fn end_program(&self, program_id: ProgramId) -> bool;

    /// Starts to hand all work of this host over; returns at once.
    async fn drain(&self);
}

/// What the admin address serves.
#[derive(Clone, Debug)]
pub struct AdminHandlers {
    /// Tells how the host is.
    pub status: Arc<dyn StatusSource>,
    /// Carries out what operators order.
    pub actions: Arc<dyn OperatorActions>,
    /// Takes the stored document.
    pub document: Arc<dyn DocumentOffer>,
}

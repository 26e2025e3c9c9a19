//! Admission of calls with tokens granted by the owners of the accounts' buckets.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, quota::GRANT_LIFE};
use burdockroad_proto::peer::{GrantRequest, GrantResponse};
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    peer::GrantHandler,
    quota::{
        Quota, QuotaRefusal,
        message::{QuotaMessage, QuotaParts},
        table::QuotaTable,
    },
};

/// Retry delay for a call that arrives after the quota actor has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A rate limiter that enforces each account's rate and burst across all hosts.
///
/// One actor contains the buckets that this host owns, and the tokens that were granted to this host
/// from all buckets.
pub struct EscrowQuota {
    actor: ActorRef<QuotaMessage>,
}

#[derive(Debug)]
struct QuotaActor;

impl EscrowQuota {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// Returns an error if the actor cannot be started.
    pub async fn start(parts: QuotaParts) -> Result<Self, SpawnErr> {
        let (actor, _) = Actor::spawn(None, QuotaActor, parts).await?;
        Ok(Self { actor })
    }

    /// Stops the actor; waiting calls are refused.
    pub fn close(self) {
        self.actor.stop(None);
    }
}

#[async_trait]
impl Quota for EscrowQuota {
    async fn admit(&self, account_id: &AccountId, deadline: Instant) -> Result<(), QuotaRefusal> {
        let stopped = QuotaRefusal {
            over_rate: false,
            retry_after: STOPPED_RETRY_AFTER,
        };
        let (sender, receiver) = oneshot::channel();
        let message = QuotaMessage::Admit {
            account_id: account_id.clone(),
            deadline,
            reply: sender.into(),
        };
        let started_at = Instant::now();
        let outcome = match self.actor.send_message(message) {
            Ok(()) => receiver.await.unwrap_or(Err(stopped)),
            Err(_) => Err(stopped),
        };
        count(account_id, outcome.is_ok(), started_at.elapsed());
        outcome
    }
}

#[async_trait]
impl GrantHandler for EscrowQuota {
    async fn grant(&self, request: GrantRequest) -> GrantResponse {
        let not_owner = GrantResponse {
            not_owner: true,
            ..GrantResponse::default()
        };
        let (sender, receiver) = oneshot::channel();
        let message = QuotaMessage::Grant {
            request,
            reply: sender.into(),
        };
        match self.actor.send_message(message) {
            Ok(()) => receiver.await.unwrap_or(not_owner),
            Err(_) => not_owner,
        }
    }
}

impl fmt::Debug for EscrowQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EscrowQuota").finish_non_exhaustive()
    }
}

impl Actor for QuotaActor {
    type Msg = QuotaMessage;
    type State = QuotaTable;
    type Arguments = QuotaParts;

    async fn pre_start(
        &self,
        myself: ActorRef<QuotaMessage>,
        args: QuotaParts,
    ) -> Result<QuotaTable, ActorProcessingErr> {
        myself.send_interval(GRANT_LIFE / 4, || QuotaMessage::Tick);
        Ok(QuotaTable::new(args, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<QuotaMessage>,
        message: QuotaMessage,
        state: &mut QuotaTable,
    ) -> Result<(), ActorProcessingErr> {
        state.refresh_ownership();
        match message {
            QuotaMessage::Admit {
                account_id,
                deadline,
                reply,
            } => state.admit(&account_id, deadline, reply),
            QuotaMessage::Grant { request, reply } => {
                // If the send fails, the requesting host treats its request as failed.
                reply.send(state.grant(&request)).unwrap_or_default();
            }
            QuotaMessage::GrantOutcome(outcome) => state.on_grant_outcome(&outcome),
            QuotaMessage::Wake(scheduled) => state.wake(scheduled),
            QuotaMessage::Tick => state.tick(),
        }
        Ok(())
    }
}

fn count(account_id: &AccountId, admitted: bool, waited: Duration) {
    let outcome = if admitted { "admitted" } else { "refused" };
    let labels = [("account", account_id.clone()), ("outcome", outcome.to_owned())];
    metrics::counter!("burdockroad_admissions_total", &labels).increment(1);
    metrics::histogram!("burdockroad_admission_wait_seconds", &labels).record(waited.as_secs_f64());
}

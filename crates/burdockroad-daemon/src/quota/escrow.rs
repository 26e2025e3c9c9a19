//! Admission by tokens that the owners of accounts grant.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, quota::GRANT_LIFE};
use burdockroad_proto::peer::{GrantRequest, GrantResponse};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, SpawnErr};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    ownership::{OwnershipReceiver, PeersReceiver},
    peer::{GrantHandler, PeerClients},
    quota::{AccountLimits, OwnerLease, Quota, QuotaRefusal, asking::Answered, table::QuotaTable},
};

/// When to try again after this host's quota has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What [`EscrowQuota`] works with.
#[derive(Clone, Debug)]
pub struct QuotaParts {
    /// Which host owns which account's bucket.
    pub ownership: OwnershipReceiver,
    /// Where the owners are reached.
    pub peers: PeersReceiver,
    /// Connections to the owners.
    pub clients: Arc<PeerClients>,
    /// Whether this host may act as an owner.
    pub lease: Arc<dyn OwnerLease>,
    /// Limits of the accounts.
    pub limits: Arc<dyn AccountLimits>,
}

/// Keeps each account within its rate and burst, over all hosts together.
///
/// One actor owns the buckets of the accounts that this host owns and the tokens that it holds of all.
pub struct EscrowQuota {
    actor: ActorRef<QuotaMessage>,
}

/// What the actor is told.
#[derive(Debug)]
pub(super) enum QuotaMessage {
    /// A call asks for admission.
    Admit {
        account_id: AccountId,
        latest: Instant,
        reply: RpcReplyPort<Result<(), QuotaRefusal>>,
    },
    /// Another host asks for tokens.
    Grant {
        request: GrantRequest,
        reply: RpcReplyPort<GrantResponse>,
    },
    /// The owner of an account has answered, or has not.
    Answered(Answered),
    /// A time that was scheduled has come.
    Wake(Instant),
    /// Time has passed.
    Tick,
}

#[derive(Debug)]
struct QuotaActor;

impl EscrowQuota {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// Fails when the runtime takes no further actor.
    pub async fn start(parts: QuotaParts) -> Result<Self, SpawnErr> {
        let (actor, _) = Actor::spawn(None, QuotaActor, parts).await?;
        Ok(Self { actor })
    }

    /// Stops the actor; calls that wait are refused.
    pub fn close(self) {
        self.actor.stop(None);
    }
}

#[async_trait]
impl Quota for EscrowQuota {
    async fn admit(&self, account_id: &AccountId, latest: Instant) -> Result<(), QuotaRefusal> {
        let stopped = QuotaRefusal {
            over_rate: false,
            retry_after: STOPPED_RETRY_AFTER,
        };
        let (sender, receiver) = oneshot::channel();
        let message = QuotaMessage::Admit {
            account_id: account_id.clone(),
            latest,
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
        state.follow_ownership();
        match message {
            QuotaMessage::Admit {
                account_id,
                latest,
                reply,
            } => state.admit(&account_id, latest, reply),
            QuotaMessage::Grant { request, reply } => {
                // A holder that has gone away counts its request as lost.
                reply.send(state.grant(&request)).unwrap_or_default();
            }
            QuotaMessage::Answered(answered) => state.answered(&answered),
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

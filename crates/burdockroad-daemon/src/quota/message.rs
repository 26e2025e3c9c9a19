//! Messages to the quota actor, and what the actor depends on.

use std::sync::Arc;

use burdockroad::AccountId;
use burdockroad_proto::peer::{GrantRequest, GrantResponse};
use ractor::RpcReplyPort;
use tokio::time::Instant;

use crate::{
    ownership::{OwnershipReceiver, PeersReceiver},
    peer::PeerClients,
    quota::{AccountLimits, OwnerLease, QuotaRefusal, grant_client::GrantOutcome},
};

/// The dependencies of the quota actor.
#[derive(Clone, Debug)]
pub struct QuotaParts {
    /// Ownership map, which determines the owner of each account's bucket.
    pub ownership: OwnershipReceiver,
    /// Addresses of the other hosts.
    pub peers: PeersReceiver,
    /// Connections to the owners.
    pub clients: Arc<PeerClients>,
    /// Lease that this process needs to act as an owner.
    pub lease: Arc<dyn OwnerLease>,
    /// Rate limits of the accounts.
    pub limits: Arc<dyn AccountLimits>,
}

/// A message to the quota actor.
#[derive(Debug)]
pub(super) enum QuotaMessage {
    /// Requests the admission of a call.
    Admit {
        account_id: AccountId,
        deadline: Instant,
        reply: RpcReplyPort<Result<(), QuotaRefusal>>,
    },
    /// Requests tokens for another host.
    Grant {
        request: GrantRequest,
        reply: RpcReplyPort<GrantResponse>,
    },
    /// Reports the outcome of a token request that this host sent to the owner of an account.
    GrantOutcome(GrantOutcome),
    /// Signals that a scheduled time has been reached.
    Wake(Instant),
    /// Settles waiting calls and requests tokens, four times in the life of a grant.
    Tick,
}

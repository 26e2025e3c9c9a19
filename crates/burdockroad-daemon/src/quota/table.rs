//! The state of the quota actor: buckets that this host owns, and tokens granted to this host.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    AccountId, Epoch, PartitionId, partition_of,
    quota::{
        Admission, Bucket, GRANT_LIFE, Grant, Holder, HolderId, Limits, Settled, TokenRequest, WaiterId,
    },
};
use burdockroad_proto::peer::{GrantRequest, GrantResponse, HostRef};
use ractor::{ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    ownership::{OwnershipView, Process},
    quota::{
        QuotaRefusal,
        grant_client::{self, GrantOutcome},
        message::{QuotaMessage, QuotaParts},
    },
};

/// Retry delay for a call of an account that the document does not contain.
const UNKNOWN_ACCOUNT_RETRY_AFTER: Duration = Duration::from_secs(5);

type AdmitReply = RpcReplyPort<Result<(), QuotaRefusal>>;

/// The state of the quota actor.
#[derive(Debug)]
pub(super) struct QuotaTable {
    parts: QuotaParts,
    myself: ActorRef<QuotaMessage>,
    view: Arc<OwnershipView>,
    /// Epoch and time since which this process owns each of its partitions.
    owned_partitions: HashMap<PartitionId, OwnedSince>,
    buckets: HashMap<AccountId, BucketRow>,
    holders: BTreeMap<AccountId, Holder>,
    waiting: HashMap<WaiterId, AdmitReply>,
    next_waiter_id: WaiterId,
    wake_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnedSince {
    epoch: Epoch,
    at: Instant,
}

#[derive(Debug)]
struct BucketRow {
    owned_since: OwnedSince,
    limits: Limits,
    bucket: Bucket,
}

impl QuotaTable {
    pub(super) fn new(parts: QuotaParts, myself: ActorRef<QuotaMessage>) -> Self {
        let mut table = Self {
            parts,
            myself,
            view: Arc::default(),
            owned_partitions: HashMap::new(),
            buckets: HashMap::new(),
            holders: BTreeMap::new(),
            waiting: HashMap::new(),
            next_waiter_id: 1,
            wake_at: None,
        };
        table.refresh_ownership();
        table
    }

    /// Updates the owned partitions if the ownership map has changed.
    pub(super) fn refresh_ownership(&mut self) {
        let view = Arc::clone(&self.parts.ownership.borrow());
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        self.view = view;
        let now = Instant::now();
        let mut owned_partitions = HashMap::new();
        for partition in self.view.own_partitions() {
            let epoch = self.view.owner(partition).map_or(0, |owner| owner.epoch);
            let previous = self
                .owned_partitions
                .get(&partition)
                .filter(|owned| owned.epoch == epoch);
            let owned_since = previous.copied().unwrap_or(OwnedSince { epoch, at: now });
            owned_partitions.insert(partition, owned_since);
        }
        self.owned_partitions = owned_partitions;
    }

    pub(super) fn admit(&mut self, account_id: &AccountId, deadline: Instant, reply: AdmitReply) {
        let Some(limits) = self.parts.limits.limits(account_id) else {
            send_reply(reply, Err(refusal(false, UNKNOWN_ACCOUNT_RETRY_AFTER)));
            return;
        };
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        let holder = self.holders.entry(account_id.clone()).or_default();
        holder.set_rate(limits.rate_per_s);
        match holder.admit(waiter_id, deadline.into_std(), now()) {
            Admission::Admitted => send_reply(reply, Ok(())),
            Admission::Waiting => {
                self.waiting.insert(waiter_id, reply);
            }
            Admission::Refused {
                over_rate,
                retry_after,
            } => send_reply(reply, Err(refusal(over_rate, retry_after))),
        }
        self.process_account(account_id);
    }

    /// Grants tokens to another host.
    pub(super) fn grant(&mut self, request: &GrantRequest) -> GrantResponse {
        let holder_id = holder_id_of_host(request.from.as_ref());
        // The requester's newer ownership map may assign the account to another owner.
        let map_is_outdated = request.ownership_version > self.view.version;
        let token_request = grant_client::from_request(request);
        match (!map_is_outdated)
            .then(|| self.grant_from_bucket(&request.account_id, &holder_id, &token_request))
            .flatten()
        {
            Some((grant, epoch)) => grant_client::to_response(grant, epoch),
            None => GrantResponse {
                not_owner: true,
                ..GrantResponse::default()
            },
        }
    }

    pub(super) fn on_grant_outcome(&mut self, outcome: &GrantOutcome) {
        self.apply_grant(&outcome.account_id, outcome.sequence, outcome.grant);
        self.process_account(&outcome.account_id);
    }

    /// Ticks if `scheduled` is the current wake-up time; a replaced wake-up is ignored.
    pub(super) fn wake(&mut self, scheduled: Instant) {
        if self.wake_at == Some(scheduled) {
            self.tick();
        }
    }

    pub(super) fn tick(&mut self) {
        self.wake_at = None;
        let due: Vec<AccountId> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.wake_at().is_some())
            .map(|(account_id, _)| account_id.clone())
            .collect();
        for account_id in due {
            self.process_account(&account_id);
        }
    }

    /// Settles the waiting calls of an account where possible, and requests more tokens if needed.
    fn process_account(&mut self, account_id: &AccountId) {
        let Some(holder) = self.holders.get_mut(account_id) else {
            return;
        };
        let settled = holder.tick(now());
        let token_request = holder.token_request(now());
        self.settle(settled);
        if let Some(token_request) = token_request {
            self.request_tokens(account_id, &token_request);
        }
        self.schedule(account_id);
    }

    fn request_tokens(&mut self, account_id: &AccountId, token_request: &TokenRequest) {
        let partition = partition_of(account_id);
        if self.view.owns(partition) {
            let own_holder_id = self.own_holder_id();
            let grant = self
                .grant_from_bucket(account_id, &own_holder_id, token_request)
                .map(|(grant, _)| grant);
            self.apply_grant(account_id, token_request.sequence, grant);
            return;
        }
        let Some(address) = self.owner_address(partition) else {
            self.apply_grant(account_id, token_request.sequence, None);
            return;
        };
        let request = grant_client::to_request(&self.view.me, account_id, self.view.version, token_request);
        let response = grant_client::request_from_peer(Arc::clone(&self.parts.clients), address, request);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let outcome = response.await;
            // The send fails once the actor has stopped, which refuses all its waiting calls.
            myself
                .send_message(QuotaMessage::GrantOutcome(outcome))
                .unwrap_or_default();
        });
    }

    fn apply_grant(&mut self, account_id: &AccountId, sequence: u64, grant: Option<Grant>) {
        let Some(holder) = self.holders.get_mut(account_id) else {
            return;
        };
        let Some(grant) = grant else {
            holder.on_failure(sequence, now());
            return;
        };
        let settled = holder.on_response(sequence, grant, now());
        self.settle(settled);
    }

    /// Grants tokens from a bucket of this host.
    ///
    /// Returns `None` if this host does not own the account's partition or holds no valid owner
    /// lease, or if the document does not contain the account.
    fn grant_from_bucket(
        &mut self,
        account_id: &AccountId,
        holder_id: &HolderId,
        token_request: &TokenRequest,
    ) -> Option<(Grant, Epoch)> {
        let owned_since = *self.owned_partitions.get(&partition_of(account_id))?;
        let limits = self.parts.limits.limits(account_id)?;
        if !self.parts.lease.is_valid(now()) {
            return None;
        }
        let row = self
            .buckets
            .entry(account_id.clone())
            .or_insert_with(|| BucketRow::new(limits, owned_since));
        if row.owned_since != owned_since {
            *row = BucketRow::new(limits, owned_since);
        }
        if row.limits != limits {
            row.limits = limits;
            row.bucket.set_limits(limits, now());
        }
        Some((
            row.bucket.grant(holder_id, token_request, now()),
            owned_since.epoch,
        ))
    }

    fn settle(&mut self, settled: Vec<Settled>) {
        for call in settled {
            let Some(reply) = self.waiting.remove(&call.waiter_id) else {
                continue;
            };
            match call.admission {
                Admission::Admitted => send_reply(reply, Ok(())),
                Admission::Refused {
                    over_rate,
                    retry_after,
                } => send_reply(reply, Err(refusal(over_rate, retry_after))),
                Admission::Waiting => {}
            }
        }
    }

    /// Schedules a tick for the time at which an account needs one.
    fn schedule(&mut self, account_id: &AccountId) {
        let Some(wake_at) = self.holders.get(account_id).and_then(Holder::wake_at) else {
            return;
        };
        let wake_at = Instant::from_std(wake_at);
        if self.wake_at.is_some_and(|scheduled| scheduled <= wake_at) {
            return;
        }
        self.wake_at = Some(wake_at);
        let delay = wake_at.saturating_duration_since(Instant::now());
        self.myself.send_after(delay, move || QuotaMessage::Wake(wake_at));
    }

    fn owner_address(&self, partition: PartitionId) -> Option<String> {
        let owner = &self.view.owner(partition)?.process;
        let peers = self.parts.peers.borrow();
        let peer = peers.peers.get(&owner.host_id)?;
        (peer.process == *owner).then(|| peer.address.clone())
    }

    fn own_holder_id(&self) -> HolderId {
        holder_id_of_process(&self.view.me)
    }
}

impl BucketRow {
    fn new(limits: Limits, owned_since: OwnedSince) -> Self {
        let ready_at = owned_since.at + GRANT_LIFE;
        Self {
            owned_since,
            limits,
            bucket: Bucket::new(limits, ready_at.into_std()),
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn refusal(over_rate: bool, retry_after: Duration) -> QuotaRefusal {
    QuotaRefusal {
        over_rate,
        retry_after,
    }
}

/// Sends a reply to a call; the send fails if the call no longer waits, which needs no handling.
fn send_reply(reply: AdmitReply, outcome: Result<(), QuotaRefusal>) {
    reply.send(outcome).unwrap_or_default();
}

fn holder_id_of_host(from: Option<&HostRef>) -> HolderId {
    from.map(|host| format!("{}/{:016x}", host.host_id, host.incarnation))
        .unwrap_or_default()
}

fn holder_id_of_process(process: &Process) -> HolderId {
    format!("{}/{:016x}", process.host_id, process.incarnation)
}

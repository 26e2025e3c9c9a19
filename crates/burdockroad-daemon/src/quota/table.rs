//! Buckets that this host owns, and tokens that it holds.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    AccountId, Epoch, PartitionId, partition_of,
    quota::{Admission, Ask, Bucket, GRANT_LIFE, Grant, Holder, HolderId, Limits, Settled, WaiterId},
};
use burdockroad_proto::peer::{GrantRequest, GrantResponse, HostRef};
use ractor::{ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    ownership::{OwnershipView, Process},
    quota::{
        QuotaParts, QuotaRefusal,
        asking::{self, Answered},
        escrow::QuotaMessage,
    },
};

/// When to try again with an account that the document does not name.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

type AdmitReply = RpcReplyPort<Result<(), QuotaRefusal>>;

/// The tables of the quota actor.
#[derive(Debug)]
pub(super) struct QuotaTable {
    parts: QuotaParts,
    myself: ActorRef<QuotaMessage>,
    view: Arc<OwnershipView>,
    /// Since when this process owns each of its partitions.
    owned: HashMap<PartitionId, OwnedSince>,
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
            owned: HashMap::new(),
            buckets: HashMap::new(),
            holders: BTreeMap::new(),
            waiting: HashMap::new(),
            next_waiter_id: 1,
            wake_at: None,
        };
        table.follow_ownership();
        table
    }

    /// Takes note of changes of the ownership map.
    pub(super) fn follow_ownership(&mut self) {
        let view = Arc::clone(&self.parts.ownership.borrow());
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        self.view = view;
        let now = Instant::now();
        let mut owned = HashMap::new();
        for partition in self.view.own_partitions() {
            let epoch = self.view.owner(partition).map_or(0, |owner| owner.epoch);
            let before = self.owned.get(&partition).filter(|since| since.epoch == epoch);
            let since = before.copied().unwrap_or(OwnedSince { epoch, at: now });
            owned.insert(partition, since);
        }
        self.owned = owned;
    }

    pub(super) fn admit(&mut self, account_id: &AccountId, latest: Instant, reply: AdmitReply) {
        let Some(limits) = self.parts.limits.limits(account_id) else {
            answer(reply, Err(refusal(false, UNKNOWN_RETRY_AFTER)));
            return;
        };
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        let holder = self.holders.entry(account_id.clone()).or_default();
        holder.set_rate(limits.rate_per_s);
        match holder.admit(waiter_id, latest.into_std(), now()) {
            Admission::Admitted => answer(reply, Ok(())),
            Admission::Waiting => {
                self.waiting.insert(waiter_id, reply);
            }
            Admission::Refused {
                over_rate,
                retry_after,
            } => answer(reply, Err(refusal(over_rate, retry_after))),
        }
        self.serve(account_id);
    }

    /// Grants tokens to another host.
    pub(super) fn grant(&mut self, request: &GrantRequest) -> GrantResponse {
        let holder_id = holder_id(request.from.as_ref());
        // A holder that knows a newer map may know of a newer owner.
        let outdated = request.ownership_version > self.view.version;
        let ask = asking::to_ask(request);
        match (!outdated)
            .then(|| self.grant_from_bucket(&request.account_id, &holder_id, &ask))
            .flatten()
        {
            Some((grant, epoch)) => asking::to_response(grant, epoch),
            None => GrantResponse {
                not_owner: true,
                ..GrantResponse::default()
            },
        }
    }

    pub(super) fn on_response(&mut self, on_response: &Answered) {
        self.take_answer(&on_response.account_id, on_response.sequence, on_response.grant);
        self.serve(&on_response.account_id);
    }

    /// Ticks at the time that was scheduled last; what was scheduled before is out of date.
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
            self.serve(&account_id);
        }
    }

    /// Settles what can be settled for an account, and asks for more tokens where they are needed.
    fn serve(&mut self, account_id: &AccountId) {
        let Some(holder) = self.holders.get_mut(account_id) else {
            return;
        };
        let settled = holder.tick(now());
        let ask = holder.ask(now());
        self.settle(settled);
        if let Some(ask) = ask {
            self.ask(account_id, &ask);
        }
        self.schedule(account_id);
    }

    fn ask(&mut self, account_id: &AccountId, ask: &Ask) {
        let partition = partition_of(account_id);
        if self.view.owns(partition) {
            let own_id = self.own_id();
            let grant = self
                .grant_from_bucket(account_id, &own_id, ask)
                .map(|(grant, _)| grant);
            self.take_answer(account_id, ask.sequence, grant);
            return;
        }
        let Some(address) = self.owner_address(partition) else {
            self.take_answer(account_id, ask.sequence, None);
            return;
        };
        let request = asking::to_request(&self.view.me, account_id, self.view.version, ask);
        let asked = asking::ask_peer(Arc::clone(&self.parts.clients), address, request);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let on_response = asked.await;
            // An actor that has stopped has refused its calls already.
            myself
                .send_message(QuotaMessage::Answered(on_response))
                .unwrap_or_default();
        });
    }

    fn take_answer(&mut self, account_id: &AccountId, sequence: u64, grant: Option<Grant>) {
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

    /// Grants from a bucket of this host; none when it may not act as the owner.
    fn grant_from_bucket(
        &mut self,
        account_id: &AccountId,
        holder_id: &HolderId,
        ask: &Ask,
    ) -> Option<(Grant, Epoch)> {
        let owned_since = *self.owned.get(&partition_of(account_id))?;
        let limits = self.parts.limits.limits(account_id)?;
        if !self.parts.lease.holds(now()) {
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
        Some((row.bucket.grant(holder_id, ask, now()), owned_since.epoch))
    }

    fn settle(&mut self, settled: Vec<Settled>) {
        for call in settled {
            let Some(reply) = self.waiting.remove(&call.waiter_id) else {
                continue;
            };
            match call.admission {
                Admission::Admitted => answer(reply, Ok(())),
                Admission::Refused {
                    over_rate,
                    retry_after,
                } => answer(reply, Err(refusal(over_rate, retry_after))),
                Admission::Waiting => {}
            }
        }
    }

    /// Makes sure that a tick comes when an account's holder needs one.
    fn schedule(&mut self, account_id: &AccountId) {
        let Some(wake_at) = self.holders.get(account_id).and_then(Holder::wake_at) else {
            return;
        };
        let wake_at = Instant::from_std(wake_at);
        if self.wake_at.is_some_and(|scheduled| scheduled <= wake_at) {
            return;
        }
        self.wake_at = Some(wake_at);
        let pause = wake_at.saturating_duration_since(Instant::now());
        self.myself.send_after(pause, move || QuotaMessage::Wake(wake_at));
    }

    fn owner_address(&self, partition: PartitionId) -> Option<String> {
        let owner = &self.view.owner(partition)?.process;
        let peers = self.parts.peers.borrow();
        let peer = peers.peers.get(&owner.host_id)?;
        (peer.process == *owner).then(|| peer.address.clone())
    }

    fn own_id(&self) -> HolderId {
        process_id(&self.view.me)
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

/// Answers a call; a caller that has gone away needs no answer.
fn answer(reply: AdmitReply, outcome: Result<(), QuotaRefusal>) {
    reply.send(outcome).unwrap_or_default();
}

fn holder_id(from: Option<&HostRef>) -> HolderId {
    from.map(|host| format!("{}/{:016x}", host.host_id, host.incarnation))
        .unwrap_or_default()
}

fn process_id(process: &Process) -> HolderId {
    format!("{}/{:016x}", process.host_id, process.incarnation)
}

//! The keys of the key-value stand-in, with their revisions, change history and leases.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use burdockroad_proto::{
    etcdserverpb::{
        Compare, DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest,
        RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
        compare::{CompareResult, CompareTarget, TargetUnion},
        request_op::Request as Op,
        response_op::Response as OpResponse,
    },
    mvccpb::{Event, KeyValue, event::EventType},
};
use tokio::time::Instant;

use crate::kv::{
    key_range::{KeyRange, overlaps},
    refusal::Refusal,
};

const HISTORY_MAX_EVENTS: usize = 20_000;
const HISTORY_MAX_BYTES: usize = 128 << 20;
const VALUE_MAX_BYTES: usize = 1 << 20;
const LEASE_MAX_TTL_S: i64 = 9_000_000_000;
const CLUSTER_ID: u64 = 1;
const MEMBER_ID: u64 = 1;
const RAFT_TERM: u64 = 1;

/// All keys and leases; each call that changes keys increments the revision by one.
#[derive(Debug)]
pub(crate) struct Store {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// Changes since revision `compacted`, inclusive, each with the entry that it replaced.
    history: VecDeque<Event>,
    history_bytes: usize,
    /// Lowest revision that can still be read or watched from; 0 if no change has been dropped.
    compacted: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease_id: i64,
}

#[derive(Debug)]
struct Lease {
    ttl_s: i64,
    expires_at: Instant,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            history: VecDeque::new(),
            history_bytes: 0,
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease_id: 1,
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the lowest revision that a watch may start from.
    pub(crate) fn compacted(&self) -> i64 {
        self.compacted
    }

    pub(crate) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: CLUSTER_ID,
            member_id: MEMBER_ID,
            revision: self.revision,
            raft_term: RAFT_TERM,
        }
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Refusal> {
        let key_range = KeyRange::new(&request.key, &request.range_end)?;
        let mut found = self.read_at(&key_range, request.revision)?;
        let count = i64::try_from(found.len()).unwrap_or(i64::MAX);
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let more = limit > 0 && found.len() > limit;
        if more {
            found.truncate(limit);
        }
        if request.count_only {
            found.clear();
        }
        if request.keys_only {
            for entry in &mut found {
                entry.value.clear();
            }
        }
        Ok(RangeResponse {
            header: Some(self.header()),
            kvs: found,
            more,
            count,
        })
    }

    pub(crate) fn put(&mut self, request: &PutRequest) -> Result<PutResponse, Refusal> {
        self.check_put(request)?;
        let revision = self.revision + 1;
        let response = self.apply_put(request, revision);
        self.revision = revision;
        Ok(PutResponse {
            header: Some(self.header()),
            ..response
        })
    }

    pub(crate) fn delete_range(
        &mut self,
        request: &DeleteRangeRequest,
    ) -> Result<DeleteRangeResponse, Refusal> {
        KeyRange::new(&request.key, &request.range_end)?;
        let revision = self.revision + 1;
        let response = self.apply_delete(request, revision);
        if response.deleted > 0 {
            self.revision = revision;
        }
        Ok(DeleteRangeResponse {
            header: Some(self.header()),
            ..response
        })
    }

    /// Runs a transaction.
    ///
    /// All comparisons, including nested ones, are evaluated first. The selected branches are then applied
    /// as one revision.
    pub(crate) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Refusal> {
        self.check_txn(request)?;
        let mut branches = VecDeque::new();
        self.select_branches(request, &mut branches);
        let revision = self.revision + 1;
        let mut response = self.apply_txn(request, revision, &mut branches);
        if self
            .history
            .back()
            .is_some_and(|event| event_revision(event) == revision)
        {
            self.revision = revision;
        }
        response.header = Some(self.header());
        Ok(response)
    }

    /// Returns the changes to a key range since a revision, inclusive.
    pub(crate) fn events_since(&self, key_range: &KeyRange, revision: i64) -> Vec<Event> {
        let start = self
            .history
            .partition_point(|event| event_revision(event) < revision);
        let events = self.history.range(start..);
        events
            .filter(|event| {
                event
                    .kv
                    .as_ref()
                    .is_some_and(|entry| key_range.contains(&entry.key))
            })
            .cloned()
            .collect()
    }

    /// Grants a lease and returns its id and its TTL in seconds; id 0 selects an unused one.
    pub(crate) fn lease_grant(&mut self, id: i64, ttl_s: i64, now: Instant) -> Result<(i64, i64), Refusal> {
        if ttl_s > LEASE_MAX_TTL_S {
            return Err(Refusal::LeaseTtlTooLarge);
        }
        if self.leases.contains_key(&id) {
            return Err(Refusal::LeaseExists);
        }
        let id = if id == 0 { self.unused_lease_id() } else { id };
        let ttl_s = ttl_s.max(1);
        let expires_at = now + lease_duration(ttl_s);
        self.leases.insert(id, Lease { ttl_s, expires_at });
        Ok((id, ttl_s))
    }

    /// Revokes a lease and removes its keys as one revision.
    pub(crate) fn lease_revoke(&mut self, id: i64) -> Result<(), Refusal> {
        self.leases.remove(&id).ok_or(Refusal::LeaseNotFound)?;
        let entries = self.keys.values();
        let attached_keys: Vec<_> = entries
            .filter(|entry| entry.lease == id)
            .map(|entry| entry.key.clone())
            .collect();
        if attached_keys.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        for key in attached_keys {
            self.remove(&key, self.revision);
        }
        Ok(())
    }

    /// Renews a lease and returns its TTL in seconds, or 0 if the lease does not exist.
    pub(crate) fn lease_keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = now + lease_duration(lease.ttl_s);
        lease.ttl_s
    }

    /// Revokes the expired leases.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let leases = self.leases.iter();
        let expired: Vec<_> = leases
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let revoked = self.lease_revoke(id);
            debug_assert_eq!(revoked, Ok(()), "the lease was just found");
        }
    }

    fn unused_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease_id) {
            self.next_lease_id += 1;
        }
        self.next_lease_id
    }

    /// Reads a key range as of a revision; 0 means the current one.
    fn read_at(&self, key_range: &KeyRange, revision: i64) -> Result<Vec<KeyValue>, Refusal> {
        self.check_revision(revision)?;
        let mut found: BTreeMap<_, _> = self
            .read_current(key_range)
            .map(|entry| (entry.key.clone(), entry.clone()))
            .collect();
        if revision > 0 {
            for event in self.events_since(key_range, revision + 1).into_iter().rev() {
                let key = event.kv.map(|entry| entry.key).unwrap_or_default();
                match event.prev_kv {
                    Some(previous) => found.insert(key, previous),
                    None => found.remove(&key),
                };
            }
        }
        Ok(found.into_values().collect())
    }

    fn read_current<'a>(&'a self, key_range: &'a KeyRange) -> impl Iterator<Item = &'a KeyValue> {
        let entries = self.keys.range(key_range.start.clone()..);
        entries
            .map(|(_, entry)| entry)
            .take_while(|entry| key_range.contains(&entry.key))
    }

    fn check_revision(&self, revision: i64) -> Result<(), Refusal> {
        if revision > self.revision {
            return Err(Refusal::FutureRevision);
        }
        if revision > 0 && revision < self.compacted {
            return Err(Refusal::Compacted);
        }
        Ok(())
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), Refusal> {
        if request.key.is_empty() {
            return Err(Refusal::KeyMissing);
        }
        if request.value.len() > VALUE_MAX_BYTES {
            return Err(Refusal::ValueTooLarge);
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Refusal::LeaseNotFound);
        }
        Ok(())
    }

    fn check_txn(&self, request: &TxnRequest) -> Result<(), Refusal> {
        if request.compare.iter().any(|compare| compare.key.is_empty()) {
            return Err(Refusal::KeyMissing);
        }
        for branch in [&request.success, &request.failure] {
            self.check_branch(branch)?;
        }
        Ok(())
    }

    fn check_branch(&self, branch: &[RequestOp]) -> Result<(), Refusal> {
        let mut put_keys = BTreeSet::new();
        let mut deleted = Vec::new();
        for op in branch {
            match &op.request {
                None => return Err(Refusal::KeyMissing),
                Some(Op::RequestRange(range)) => {
                    KeyRange::new(&range.key, &range.range_end)?;
                    self.check_revision(range.revision)?;
                }
                Some(Op::RequestPut(put)) => {
                    self.check_put(put)?;
                    if !put_keys.insert(put.key.clone()) {
                        return Err(Refusal::DuplicateKey);
                    }
                }
                Some(Op::RequestDeleteRange(delete)) => {
                    deleted.push(KeyRange::new(&delete.key, &delete.range_end)?);
                }
                Some(Op::RequestTxn(nested)) => self.check_txn(nested)?,
            }
        }
        if overlaps(&deleted, &put_keys) {
            return Err(Refusal::DuplicateKey);
        }
        Ok(())
    }

    /// Evaluates the comparisons of a transaction, then those of the nested transactions in the selected
    /// branch, and appends the result of each transaction to `branches`.
    fn select_branches(&self, request: &TxnRequest, branches: &mut VecDeque<bool>) {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.compare_succeeds(compare));
        branches.push_back(succeeded);
        for op in branch_of(request, succeeded) {
            if let Some(Op::RequestTxn(nested)) = &op.request {
                self.select_branches(nested, branches);
            }
        }
    }

    /// Returns whether a comparison succeeds.
    ///
    /// For an absent key, every comparison of the value fails, and the numbers compare as 0.
    fn compare_succeeds(&self, compare: &Compare) -> bool {
        let entry = self.keys.get(&compare.key);
        let entry_field = |field: fn(&KeyValue) -> i64| entry.map_or(0, field);
        let ordering = match (compare.target(), &compare.target_union) {
            (CompareTarget::Value, union) => {
                let Some(entry) = entry else {
                    return false;
                };
                let expected: &[u8] = match union {
                    Some(TargetUnion::Value(value)) => value,
                    _ => &[],
                };
                entry.value.as_slice().cmp(expected)
            }
            (CompareTarget::Version, union) => {
                entry_field(|entry| entry.version).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Create, union) => {
                entry_field(|entry| entry.create_revision).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Mod, union) => {
                entry_field(|entry| entry.mod_revision).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Lease, union) => {
                entry_field(|entry| entry.lease).cmp(&expected_number(union.as_ref()))
            }
        };
        match compare.result() {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    fn apply_txn(
        &mut self,
        request: &TxnRequest,
        revision: i64,
        branches: &mut VecDeque<bool>,
    ) -> TxnResponse {
        let succeeded = branches.pop_front().unwrap_or_default();
        let branch = branch_of(request, succeeded);
        let responses = branch
            .iter()
            .map(|op| ResponseOp {
                response: op
                    .request
                    .as_ref()
                    .map(|op| self.apply_op(op, revision, branches)),
            })
            .collect();
        TxnResponse {
            header: None,
            succeeded,
            responses,
        }
    }

    fn apply_op(&mut self, op: &Op, revision: i64, branches: &mut VecDeque<bool>) -> OpResponse {
        match op {
            // The request was checked before, so it cannot be refused here.
            Op::RequestRange(range) => OpResponse::ResponseRange(self.range(range).unwrap_or_default()),
            Op::RequestPut(put) => OpResponse::ResponsePut(self.apply_put(put, revision)),
            Op::RequestDeleteRange(delete) => {
                OpResponse::ResponseDeleteRange(self.apply_delete(delete, revision))
            }
            Op::RequestTxn(nested) => OpResponse::ResponseTxn(self.apply_txn(nested, revision, branches)),
        }
    }

    fn apply_put(&mut self, request: &PutRequest, revision: i64) -> PutResponse {
        let previous = self.keys.get(&request.key).cloned();
        let entry = KeyValue {
            key: request.key.clone(),
            create_revision: previous.as_ref().map_or(revision, |entry| entry.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(0, |entry| entry.version) + 1,
            value: request.value.clone(),
            lease: request.lease,
        };
        self.keys.insert(request.key.clone(), entry.clone());
        self.record_event(EventType::Put, entry, previous.clone());
        PutResponse {
            header: None,
            prev_kv: previous.filter(|_| request.prev_kv),
        }
    }

    fn apply_delete(&mut self, request: &DeleteRangeRequest, revision: i64) -> DeleteRangeResponse {
        // The range was checked before; an invalid one would match no keys.
        let found = KeyRange::new(&request.key, &request.range_end)
            .map(|key_range| self.read_current(&key_range).cloned().collect::<Vec<_>>())
            .unwrap_or_default();
        for entry in &found {
            self.remove(&entry.key, revision);
        }
        DeleteRangeResponse {
            header: None,
            deleted: i64::try_from(found.len()).unwrap_or(i64::MAX),
            prev_kvs: if request.prev_kv { found } else { Vec::new() },
        }
    }

    fn remove(&mut self, key: &[u8], revision: i64) {
        let previous = self.keys.remove(key);
        let tombstone = KeyValue {
            key: key.to_vec(),
            mod_revision: revision,
            ..KeyValue::default()
        };
        self.record_event(EventType::Delete, tombstone, previous);
    }

    fn record_event(&mut self, kind: EventType, entry: KeyValue, previous: Option<KeyValue>) {
        let event = Event {
            r#type: kind.into(),
            kv: Some(entry),
            prev_kv: previous,
        };
        self.history_bytes += event_bytes(&event);
        self.history.push_back(event);
        while self.history.len() > HISTORY_MAX_EVENTS || self.history_bytes > HISTORY_MAX_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= event_bytes(&oldest);
            self.compacted = event_revision(&oldest) + 1;
        }
    }
}

fn branch_of(request: &TxnRequest, succeeded: bool) -> &[RequestOp] {
    if succeeded {
        &request.success
    } else {
        &request.failure
    }
}

fn expected_number(union: Option<&TargetUnion>) -> i64 {
    match union {
        Some(
            TargetUnion::Version(number)
            | TargetUnion::CreateRevision(number)
            | TargetUnion::ModRevision(number)
            | TargetUnion::Lease(number),
        ) => *number,
        _ => 0,
    }
}

fn event_revision(event: &Event) -> i64 {
    event.kv.as_ref().map_or(0, |entry| entry.mod_revision)
}

fn event_bytes(event: &Event) -> usize {
    let entries = [&event.kv, &event.prev_kv];
    entries
        .into_iter()
        .flatten()
        .map(|entry| entry.key.len() + entry.value.len())
        .sum()
}

fn lease_duration(ttl_s: i64) -> Duration {
    Duration::from_secs(ttl_s.unsigned_abs())
}

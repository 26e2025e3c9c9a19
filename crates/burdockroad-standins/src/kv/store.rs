//! The keys of the key-value stand-in, with their revisions, change history and leases.

mod leases;
mod transaction;

use std::collections::{BTreeMap, VecDeque};

use burdockroad_proto::{
    etcdserverpb::{
        DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
        ResponseHeader,
    },
    mvccpb::{Event, KeyValue, event::EventType},
};

use self::leases::Lease;
use crate::kv::{key_range::KeyRange, refusal::Refusal};

const HISTORY_MAX_EVENTS: usize = 20_000;
const HISTORY_MAX_BYTES: usize = 128 << 20;
const VALUE_MAX_BYTES: usize = 1 << 20;
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

//! Sealing, reading and removing the journals of processes that are gone.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{
    SegmentNumber,
    journal::{Seal, Segment, StoredSegment, TailCopy, join},
};
use burdockroad_proto::peer::SealTailRequest;
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, future::join_all, stream};
use tokio::time::timeout;

use crate::{
    journal::{
        Recovered, RecoveredTail, Recovery, RecoveryError, TailStore, keys,
        tail::{host_ref, process_of},
    },
    ownership::{PeerView, PeersReceiver, Process},
    peer::PeerClients,
    platform::{Entry, Expected, Listing, Put, SharedKeyValue, StoreError},
};

/// Time within which a peer hands over its copies.
const SEAL_TAIL_TIMEOUT: Duration = Duration::from_secs(1);

/// Segments that are read at the same time.
const READS_MAX: usize = 16;

/// Number that a journal without any segment begins with.
const FIRST_SEGMENT: SegmentNumber = 1;

/// Recovers journals from the key-value service and from the peers that hold copies.
#[derive(Clone, Debug)]
pub struct StoreRecovery {
    store: SharedKeyValue,
    peers: PeersReceiver,
    clients: Arc<PeerClients>,
    tails: Arc<TailStore>,
    me: Process,
}

/// Copies of a tail, and whether the peer that had to have them was asked.
#[derive(Debug)]
struct SealedTails {
    copies: Vec<TailCopy>,
    outcome: RecoveredTail,
}

impl StoreRecovery {
    /// Recovers journals as the process `me`, which itself keeps copies in `tails`.
    pub fn new(
        store: SharedKeyValue,
        peers: PeersReceiver,
        clients: Arc<PeerClients>,
        tails: Arc<TailStore>,
        me: Process,
    ) -> Self {
        Self {
            store,
            peers,
            clients,
            tails,
            me,
        }
    }

    /// Puts a seal after the newest segment, unless there is one, and returns its number.
    async fn seal(&self, dead: &Process) -> Result<SegmentNumber, RecoveryError> {
        let keys = self.store.list(&keys::prefix(dead), Listing::Keys).await?;
        let newest = keys.last().and_then(|entry| keys::parse(&entry.key));
        let Some((_, newest)) = newest else {
            return self.seal_from(dead, FIRST_SEGMENT).await;
        };
        let held = self.read(dead, newest).await?;
        match held {
            Some(StoredSegment::Seal(_)) => Ok(newest),
            // Whatever was there is passed: numbers only grow.
            Some(StoredSegment::Group(_)) | None => self.seal_from(dead, newest + 1).await,
        }
    }

    /// Walks forward until a seal stands, this one's or another successor's.
    async fn seal_from(&self, dead: &Process, first: SegmentNumber) -> Result<SegmentNumber, RecoveryError> {
        let seal = Seal {
            successor: self.me.clone(),
        };
        let value = encode(&StoredSegment::Seal(seal));
        let mut number = first;
        loop {
            let key = keys::segment(dead, number);
            let held = match self.store.put(&key, value.clone(), Expected::Absent).await {
                Ok(Put::Done(_)) => return Ok(number),
                Ok(Put::Conflict(held)) => held,
                Err(StoreError::Ambiguous { .. }) => self.store.get(&key).await?,
                Err(unavailable @ StoreError::Unavailable { .. }) => return Err(unavailable.into()),
            };
            // A lost write that is not found is tried again under the same number.
            let Some(held) = held else { continue };
            match decode(&held)? {
                StoredSegment::Seal(_) => return Ok(number),
                StoredSegment::Group(_) => number += 1,
            }
        }
    }

    /// Reads the segments before a seal, in their order.
    async fn segments(&self, dead: &Process, seal: SegmentNumber) -> Result<Vec<Segment>, RecoveryError> {
        let listed = self.store.list(&keys::prefix(dead), Listing::Keys).await?;
        let numbers: Vec<_> = listed
            .iter()
            .filter_map(|entry| keys::parse(&entry.key))
            .map(|(_, number)| number)
            .filter(|&number| number < seal)
            .collect();
        if let Some(missing) = gap(&numbers, seal) {
            return Err(damaged(keys::segment(dead, missing), "it is missing"));
        }
        let reads: Vec<_> = numbers.iter().map(|&number| self.read(dead, number)).collect();
        let read: Vec<_> = stream::iter(reads).buffered(READS_MAX).try_collect().await?;
        let mut segments = Vec::new();
        for (number, held) in numbers.into_iter().zip(read) {
            match held {
                Some(StoredSegment::Group(segment)) => segments.push(segment),
                Some(StoredSegment::Seal(_)) => {
                    return Err(damaged(
                        keys::segment(dead, number),
                        "a seal stands before another",
                    ));
                }
                // Its writer's last removal was still on its way; nothing needs what it removed.
                None => segments.clear(),
            }
        }
        Ok(segments)
    }

    async fn read(
        &self,
        dead: &Process,
        number: SegmentNumber,
    ) -> Result<Option<StoredSegment>, RecoveryError> {
        let held = self.store.get(&keys::segment(dead, number)).await?;
        held.as_ref().map(decode).transpose()
    }

    /// Seals the tail here, at the peer that had to have copies and, as they answer, at all others.
    async fn seal_tails(&self, dead: &Process, tail_peer: Option<&Process>) -> SealedTails {
        let view = Arc::clone(&self.peers.borrow());
        let others: Vec<_> = view
            .peers
            .values()
            .filter(|peer| peer.process != *dead)
            .cloned()
            .collect();
        let asked = others.iter().map(|peer| self.seal_tail_at(peer, dead));
        let mut answers: BTreeMap<Process, TailCopy> = join_all(asked).await.into_iter().flatten().collect();
        answers.insert(self.me.clone(), self.tails.seal_here(dead));
        let outcome = match tail_peer {
            None => RecoveredTail::NotKept,
            Some(tail_peer) if answers.contains_key(tail_peer) => RecoveredTail::Sealed,
            // A host that answers as another process has forgotten what the earlier one held.
            Some(tail_peer) if answers.keys().any(|other| other.host_id == tail_peer.host_id) => {
                RecoveredTail::Lost
            }
            Some(_) => RecoveredTail::Unreached,
        };
        SealedTails {
            copies: answers.into_values().collect(),
            outcome,
        }
    }

    async fn seal_tail_at(&self, peer: &PeerView, dead: &Process) -> Option<(Process, TailCopy)> {
        let request = SealTailRequest {
            writer: Some(host_ref(dead)),
            successor: Some(host_ref(&self.me)),
        };
        let mut client = self.clients.get(&peer.address).ok()?;
        let sealed = timeout(SEAL_TAIL_TIMEOUT, client.seal_tail(request)).await;
        let response = sealed.ok()?.ok()?.into_inner();
        let copy = TailCopy {
            position: response.position,
            records: response.records,
        };
        Some((process_of(response.from?), copy))
    }
}

#[async_trait]
impl Recovery for StoreRecovery {
    async fn seal_and_read(&self, dead: &Process) -> Result<Recovered, RecoveryError> {
        let seal = self.seal(dead).await?;
        let segments = self.segments(dead, seal).await?;
        let tail_peer = segments.last().and_then(|segment| segment.tail_peer.as_ref());
        let tails = self.seal_tails(dead, tail_peer).await;
        let joined = join(&segments, &tails.copies)
            .map_err(|cause| damaged(keys::prefix(dead), &cause.to_string()))?;
        log::info!(
            "event=journal_sealed host={} incarnation={:016x} seal={seal} segments={} records={} from_copies={} tail={:?}",
            dead.host_id,
            dead.incarnation,
            segments.len(),
            joined.records.len(),
            joined.tail_count,
            tails.outcome
        );
        Ok(Recovered {
            tail_count: joined.tail_count,
            records: joined.records,
            tail: tails.outcome,
        })
    }

    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError> {
        let listed = self.store.list(&keys::prefix(dead), Listing::Keys).await?;
        let numbers = listed.iter().filter_map(|entry| keys::parse(&entry.key));
        let Some(newest) = numbers.map(|(_, number)| number).max() else {
            return Ok(());
        };
        if !matches!(
            self.read(dead, newest).await?,
            Some(StoredSegment::Seal(_)) | None
        ) {
            return Err(damaged(keys::segment(dead, newest), "it is not a seal"));
        }
        let (first, seal) = (keys::segment(dead, 0), keys::segment(dead, newest));
        // Without its last segment the writer cannot create another one; only then may the seal go.
        self.store.delete_range(&first, &seal).await?;
        self.store.delete(&seal).await?;
        log::info!(
            "event=journal_removed host={} incarnation={:016x}",
            dead.host_id,
            dead.incarnation
        );
        Ok(())
    }

    async fn journals(&self) -> Result<Vec<Process>, RecoveryError> {
        let listed = self.store.list(keys::JOURNALS, Listing::Keys).await?;
        let mut writers: Vec<_> = listed
            .iter()
            .filter_map(|entry| keys::parse(&entry.key))
            .map(|(writer, _)| writer)
            .collect();
        writers.dedup();
        Ok(writers)
    }
}

/// The first number that is missing between those listed and the seal.
fn gap(numbers: &[SegmentNumber], seal: SegmentNumber) -> Option<SegmentNumber> {
    let following = numbers.iter().skip(1).copied().chain([seal]);
    let mut pairs = numbers.iter().zip(following);
    pairs
        .find(|(number, next)| **number + 1 != *next)
        .map(|(number, _)| number + 1)
}

fn encode(segment: &StoredSegment) -> Bytes {
    // A seal is plain data, whose encoding into memory does not fail.
    segment.encode().unwrap_or_default().into()
}

fn decode(held: &Entry) -> Result<StoredSegment, RecoveryError> {
    StoredSegment::decode(&held.value).map_err(|cause| damaged(held.key.clone(), &cause.to_string()))
}

fn damaged(key: String, reason: &str) -> RecoveryError {
    RecoveryError::Damaged {
        key,
        reason: reason.to_owned(),
    }
}

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
    platform::{Entry, Listing, Put, SharedKeyValue, StoreError},
};

/// Time within which a peer hands over its copies.
const SEAL_TAIL_TIMEOUT: Duration = Duration::from_secs(1);

/// Segments that are read at the same time.
const READS_MAX: usize = 16;

/// Recovers journals from the key-value service and from the peers that hold copies.
#[derive(Clone, Debug)]
pub struct StoreRecovery {
    store: SharedKeyValue,
    peers: PeersReceiver,
    clients: Arc<PeerClients>,
    tails: Arc<TailStore>,
}

/// Copies of a tail, and whether the peer that had to have them was asked.
#[derive(Debug)]
struct SealedTails {
    copies: Vec<TailCopy>,
    outcome: RecoveredTail,
}

impl StoreRecovery {
    /// Recovers journals as the process that keeps copies in `tails`.
    pub fn new(
        store: SharedKeyValue,
        peers: PeersReceiver,
        clients: Arc<PeerClients>,
        tails: Arc<TailStore>,
    ) -> Self {
        Self {
            store,
            peers,
            clients,
            tails,
        }
    }

    /// Puts a seal after the newest segment, unless there is one, and returns its number.
    ///
    /// A journal without any segment was never open or is removed, and gets no seal: its writer owns
    /// nothing, and cannot write either once it was removed.
    async fn seal(&self, dead: &Process) -> Result<Option<SegmentNumber>, RecoveryError> {
        loop {
            let listed = self.store.list(&keys::prefix(dead), Listing::Keys).await?;
            let newest = listed.last().and_then(|entry| keys::parse(&entry.key));
            let Some((_, newest)) = newest else {
                return Ok(None);
            };
            if let Some(StoredSegment::Seal(_)) = self.read(dead, newest).await? {
                return Ok(Some(newest));
            }
            if self.try_seal(dead, newest).await? {
                return Ok(Some(newest + 1));
            }
        }
    }

    /// Puts a seal after a segment that still exists; fails if something else stands there, or if it
    /// is not known.
    ///
    /// Were the segment's existence not compared in the same transaction, a successor that was paused
    /// could put the seal where the writer has long been, and has cleaned up behind it.
    async fn try_seal(&self, dead: &Process, newest: SegmentNumber) -> Result<bool, RecoveryError> {
        let seal = StoredSegment::Seal(Seal {
            successor: self.tails.process(),
        });
        let (key, predecessor) = (keys::segment(dead, newest + 1), keys::segment(dead, newest));
        match self.store.create_after(&key, encode(&seal), &predecessor).await {
            Ok(Put::Done(_)) => Ok(true),
            Ok(Put::Conflict(_)) | Err(StoreError::Ambiguous { .. }) => Ok(false),
            Err(unavailable @ StoreError::Unavailable { .. }) => Err(unavailable.into()),
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
        answers.insert(self.tails.process(), self.tails.seal_local(dead));
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
            successor: Some(host_ref(&self.tails.process())),
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
        let Some(seal) = self.seal(dead).await? else {
            return Ok(Recovered {
                records: Vec::new(),
                tail_count: 0,
                tail: RecoveredTail::NotKept,
            });
        };
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

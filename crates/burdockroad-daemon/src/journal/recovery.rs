//! Sealing, reading and removal of the journals of dead processes.

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
        RecoveredJournal, RecoveredTail, Recovery, RecoveryError, TailStore, keys,
        tail::{host_ref, process_of},
    },
    ownership::{PeerView, PeersReceiver, Process},
    peer::PeerClients,
    platform::{Entry, Listing, Put, SharedKeyValue, StoreError},
};

/// Timeout of a request to a peer to seal and return its copies.
const SEAL_TAIL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of segments that are read concurrently.
const CONCURRENT_READS_MAX: usize = 16;

/// Recovery of journals from the key-value service and from peers that have copies.
#[derive(Clone, Debug)]
pub struct StoreRecovery {
    store: SharedKeyValue,
    peers: PeersReceiver,
    clients: Arc<PeerClients>,
    tails: Arc<TailStore>,
}

/// Sealed copies of a tail, and the outcome of sealing it at the tail peer, to which the writer replicated
/// its latest records.
#[derive(Debug)]
struct SealedTails {
    copies: Vec<TailCopy>,
    outcome: RecoveredTail,
}

impl StoreRecovery {
    /// Creates a recovery for the process that owns `tails`.
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

    /// Writes a seal after the newest segment, unless the journal is sealed already. Returns the segment number
    /// of the seal, or `None` when the journal has no segments.
    ///
    /// A journal without segments was never open or has been removed, and is not sealed. Its writer owns
    /// no partitions, and cannot write after its journal was removed.
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

    /// Writes a seal directly after the segment `newest`, and returns whether it was written. Returns false
    /// when `newest` no longer exists, when another value is stored at the next number, or when the outcome is
    /// unknown.
    ///
    /// The existence of `newest` is checked in the same transaction. Otherwise a successor that was
    /// paused could write the seal at a number that the writer has already passed and cleaned up.
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

    /// Reads the segments before a seal, in order.
    async fn segments(&self, dead: &Process, seal: SegmentNumber) -> Result<Vec<Segment>, RecoveryError> {
        let listed = self.store.list(&keys::prefix(dead), Listing::Keys).await?;
        let numbers: Vec<_> = listed
            .iter()
            .filter_map(|entry| keys::parse(&entry.key))
            .map(|(_, number)| number)
            .filter(|&number| number < seal)
            .collect();
        if let Some(missing) = first_missing(&numbers, seal) {
            return Err(damaged(keys::segment(dead, missing), "the segment is missing"));
        }
        let reads: Vec<_> = numbers.iter().map(|&number| self.read(dead, number)).collect();
        let read: Vec<_> = stream::iter(reads)
            .buffered(CONCURRENT_READS_MAX)
            .try_collect()
            .await?;
        let mut segments = Vec::new();
        for (number, stored) in numbers.into_iter().zip(read) {
            match stored {
                Some(StoredSegment::Group(segment)) => segments.push(segment),
                Some(StoredSegment::Seal(_)) => {
                    return Err(damaged(
                        keys::segment(dead, number),
                        "a seal precedes another seal",
                    ));
                }
                // The writer's last removal was still in flight. The segments that it removed are not
                // needed.
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
        let stored = self.store.get(&keys::segment(dead, number)).await?;
        stored.as_ref().map(decode).transpose()
    }

    /// Seals the tail at this process and at all peers that respond, and reports the outcome at the tail peer.
    async fn seal_tails(&self, dead: &Process, tail_peer: Option<&Process>) -> SealedTails {
        let view = Arc::clone(&self.peers.borrow());
        let others: Vec<_> = view
            .peers
            .values()
            .filter(|peer| peer.process != *dead)
            .cloned()
            .collect();
        let requests = others.iter().map(|peer| self.seal_tail_at(peer, dead));
        let mut responses: BTreeMap<Process, TailCopy> =
            join_all(requests).await.into_iter().flatten().collect();
        responses.insert(self.tails.process(), self.tails.seal_local(dead));
        let outcome = match tail_peer {
            None => RecoveredTail::NotKept,
            Some(tail_peer) if responses.contains_key(tail_peer) => RecoveredTail::Sealed,
            // The host responded as another process, so the copies of its earlier process are lost.
            Some(tail_peer) if responses.keys().any(|other| other.host_id == tail_peer.host_id) => {
                RecoveredTail::Lost
            }
            Some(_) => RecoveredTail::Unreached,
        };
        SealedTails {
            copies: responses.into_values().collect(),
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
    async fn seal_and_read(&self, dead: &Process) -> Result<RecoveredJournal, RecoveryError> {
        let Some(seal) = self.seal(dead).await? else {
            return Ok(RecoveredJournal {
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
        Ok(RecoveredJournal {
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
            return Err(damaged(
                keys::segment(dead, newest),
                "the newest segment is not a seal",
            ));
        }
        let (first, seal) = (keys::segment(dead, 0), keys::segment(dead, newest));
        // The seal is deleted last. Once the segment before it is removed, the writer cannot create another
        // segment.
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

/// Returns the first segment number that is missing between the listed ones and the seal.
fn first_missing(numbers: &[SegmentNumber], seal: SegmentNumber) -> Option<SegmentNumber> {
    let following = numbers.iter().skip(1).copied().chain([seal]);
    let mut pairs = numbers.iter().zip(following);
    pairs
        .find(|(number, next)| **number + 1 != *next)
        .map(|(number, _)| number + 1)
}

fn encode(segment: &StoredSegment) -> Bytes {
    // Encoding a seal, which is plain data, into memory does not fail.
    segment.encode().unwrap_or_default().into()
}

fn decode(stored: &Entry) -> Result<StoredSegment, RecoveryError> {
    StoredSegment::decode(&stored.value).map_err(|cause| damaged(stored.key.clone(), &cause.to_string()))
}

fn damaged(key: String, reason: &str) -> RecoveryError {
    RecoveryError::Damaged {
        key,
        reason: reason.to_owned(),
    }
}

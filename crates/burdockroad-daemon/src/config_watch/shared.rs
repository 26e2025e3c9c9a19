//! State shared by the tasks of the document watch.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use burdockroad::{
    DocumentVersion, HostId,
    config::{Freshness, FreshnessLimits, FreshnessTracker, VersionedDocument},
};
use burdockroad_proto::peer::{DocumentFreshness, FetchDocumentResponse};
use tokio::sync::{Notify, watch};

use crate::{
    config_watch::{
        DocumentGossip, DocumentOffer,
        in_force::{InForce, InForceReceiver, SharedTracker},
    },
    peer::{DocumentHandler, PeerClients},
    platform::{ListedHost, SharedKeyValue},
};

/// Source of a document version, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    Store,
    Peer,
    Operator,
}

/// Document in force with its freshness, and the clients with which the tasks update it.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) store: SharedKeyValue,
    pub(super) peers: Arc<PeerClients>,
    /// Wakes the task that fetches documents from peers.
    pub(super) peer_ahead: Notify,
    tracker: SharedTracker,
    addresses: Mutex<HashMap<HostId, String>>,
    in_force: watch::Sender<Arc<InForce>>,
}

impl Shared {
    pub(super) fn new(host_id: HostId, store: SharedKeyValue, peers: Arc<PeerClients>) -> Self {
        let tracker = FreshnessTracker::new(host_id, FreshnessLimits::default());
        let tracker = Arc::new(Mutex::new(tracker));
        let empty = InForce::empty(Arc::clone(&tracker));
        Self {
            store,
            peers,
            peer_ahead: Notify::new(),
            tracker,
            addresses: Mutex::default(),
            in_force: watch::Sender::new(Arc::new(empty)),
        }
    }

    pub(super) fn subscribe(&self) -> InForceReceiver {
        self.in_force.subscribe()
    }

    /// Puts a document in force if its version is higher than the one in force.
    pub(super) fn put_in_force(&self, versioned: VersionedDocument, source: Source) {
        let version = versioned.version;
        let in_force = InForce::tracked(versioned, Arc::clone(&self.tracker));
        // The lock is held until the document is published, so that versions are published in order.
        let mut tracker = self.tracker();
        if !tracker.put_in_force(version) {
            return;
        }
        let valid_keys = in_force.keys.len();
        self.in_force.send_replace(Arc::new(in_force));
        drop(tracker);
        metrics::gauge!("burdockroad_document_version").set(gauge_value(version));
        log::info!("event=document_in_force version={version} source={source:?} valid_keys={valid_keys}");
    }

    pub(super) fn confirm(&self, version: DocumentVersion, requested_at: Instant) {
        self.tracker().confirm(version, requested_at);
    }

    pub(super) fn version(&self) -> DocumentVersion {
        self.tracker().version()
    }

    pub(super) fn attestation_age(&self) -> Option<Duration> {
        self.tracker().attestation_age(Instant::now())
    }

    pub(super) fn freshness(&self) -> Freshness {
        self.tracker().decide(Instant::now())
    }

    /// Returns the address of the peer to fetch the document from, or `None` when no peer with a known address
    /// has a higher version.
    pub(super) fn peer_to_fetch_from(&self) -> Option<String> {
        let host_id = self.tracker().peer_to_fetch_from(Instant::now()).cloned()?;
        self.addresses().get(&host_id).cloned()
    }

    fn tracker(&self) -> MutexGuard<'_, FreshnessTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn addresses(&self) -> MutexGuard<'_, HashMap<HostId, String>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DocumentGossip for Shared {
    fn document_freshness(&self) -> DocumentFreshness {
        let tracker = self.tracker();
        let age = tracker.attestation_age(Instant::now());
        DocumentFreshness {
            version: tracker.version(),
            vouch_age_ms: age.map(rounded_up_ms),
        }
    }

    fn observe_peer(
        &self,
        host_id: &HostId,
        address: &str,
        requested_at: Instant,
        freshness: &DocumentFreshness,
    ) {
        self.addresses().insert(host_id.clone(), address.to_owned());
        let attestation_age = freshness.vouch_age_ms.map(Duration::from_millis);
        let mut tracker = self.tracker();
        tracker.observe_peer(host_id, requested_at, freshness.version, attestation_age);
        if tracker.peer_to_fetch_from(Instant::now()).is_some() {
            self.peer_ahead.notify_one();
        }
    }

    fn observe_list(&self, hosts: &[ListedHost]) {
        // Hosts without an address for peers run endpoints only.
        let entry_hosts = hosts.iter().filter(|host| !host.peer_address.is_empty());
        let host_ids: BTreeSet<HostId> = entry_hosts.map(|host| host.host_id.clone()).collect();
        self.addresses().retain(|host_id, _| host_ids.contains(host_id));
        self.tracker().observe_list(host_ids);
    }
}

impl DocumentOffer for Shared {
    fn offer_document(&self, versioned: VersionedDocument) -> DocumentVersion {
        if self.freshness() != Freshness::Fresh {
            self.put_in_force(versioned, Source::Operator);
        }
        self.version()
    }
}

#[async_trait]
impl DocumentHandler for Shared {
    async fn document(&self) -> FetchDocumentResponse {
        let in_force = Arc::clone(&self.in_force.borrow());
        FetchDocumentResponse {
            version: in_force.version,
            text: in_force.text.clone(),
        }
    }
}

/// Converts an age to milliseconds, rounding up so that a peer never receives a younger age.
fn rounded_up_ms(age: Duration) -> u64 {
    let ms = age.as_nanos().div_ceil(1_000_000);
    u64::try_from(ms).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "versions stay far below 2^53")]
fn gauge_value(version: DocumentVersion) -> f64 {
    version as f64
}

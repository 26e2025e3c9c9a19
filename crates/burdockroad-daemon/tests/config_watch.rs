//! The configuration document in force on hosts that cannot reach the store or their peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::config::{Freshness, VersionedDocument, key_hash};
use burdockroad_daemon::{
    config_watch::{ConfigWatch, DOCUMENT_KEY, InForce},
    peer::{PeerClients, PeerHandlers, serve},
    platform::{Expected, Fault, HostState, KeyValue, ListedHost, MemoryKeyValue, Put},
};
use tokio::{net::TcpListener, time::sleep};

use crate::stub_handlers::StubHandlers;

#[path = "support/stub_handlers.rs"]
mod stub_handlers;

/// Timeout of each condition that a test waits for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// One host: its document watch, its connection to the store, and the address of its peer server.
struct Host {
    name: &'static str,
    address: SocketAddr,
    store: Arc<MemoryKeyValue>,
    watch: ConfigWatch,
}

impl Host {
    async fn start(name: &'static str, store: &MemoryKeyValue, fault: Fault) -> Self {
        let client = Arc::new(store.client());
        client.set_fault(fault);
        let store = Arc::<MemoryKeyValue>::clone(&client);
        let watch = ConfigWatch::start(name.to_owned(), store, Arc::new(PeerClients::new()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let handlers = PeerHandlers {
            heartbeat: Arc::new(StubHandlers),
            forward: Arc::new(StubHandlers),
            tail: Arc::new(StubHandlers),
            adopt: Arc::new(StubHandlers),
            document: watch.handler(),
            grant: Arc::new(StubHandlers),
            slot: Arc::new(StubHandlers),
        };
        tokio::spawn(serve(listener, handlers, std::future::pending()));
        Self {
            name,
            address,
            store: client,
            watch,
        }
    }

    fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.watch.in_force().borrow())
    }

    /// Records the document freshness of a peer, as a response to a heartbeat would.
    fn observe_peer(&self, peer: &Self) {
        let requested_at = Instant::now();
        let freshness = peer.watch.gossip().document_freshness();
        let address = peer.address.to_string();
        let gossip = self.watch.gossip();
        gossip.observe_peer(&peer.name.to_owned(), &address, requested_at, &freshness);
    }

    /// Records a host list in which the named hosts are live, as if it had been read from the platform.
    fn observe_list(&self, names: &[&str]) {
        let hosts: Vec<ListedHost> = names.iter().map(|name| listed_host(name)).collect();
        self.watch.gossip().observe_list(&hosts);
    }
}

fn listed_host(name: &str) -> ListedHost {
    ListedHost {
        host_id: name.to_owned(),
        failure_domain: "d1".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        state: HostState::Live,
    }
}

fn document(version: u64, withdrawn: bool) -> VersionedDocument {
    let hash = key_hash("secret");
    let text = format!(
        r#"{{ "sites": [], "routes": [], "endpoint_sets": [], "accounts": [
            {{ "id": "a", "rate_per_s": 1, "burst": 1, "keys": [
                {{ "id": "k", "sha256": "{hash}", "withdrawn": {withdrawn} }} ] }} ] }}"#
    );
    VersionedDocument::new(version, text).expect("the document is valid")
}

/// Writes a value under the document's key, over any current revision.
async fn write(store: &MemoryKeyValue, value: Vec<u8>) {
    let current = store.get(DOCUMENT_KEY).await.expect("the store has no faults");
    let expected = current.map_or(Expected::Absent, |stored| Expected::Revision(stored.revision));
    let put = store.put(DOCUMENT_KEY, value.into(), expected).await;
    assert!(matches!(put, Ok(Put::Done(_))), "{put:?}");
}

async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting until {description}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn in_force_takes_higher_versions_only() {
    let store = MemoryKeyValue::new();
    let host = Host::start("a", &store, Fault::None).await;
    assert!(!host.in_force().accepts_keys());
    write(&store, document(3, false).to_bytes()).await;
    wait_until("version 3 is in force", || host.in_force().version == 3).await;
    wait_until("the document is fresh", || {
        host.in_force().freshness() == Freshness::Fresh
    })
    .await;
    write(&store, document(2, false).to_bytes()).await;
    write(&store, b"{}".to_vec()).await;
    write(&store, document(4, true).to_bytes()).await;
    let mut versions = Vec::new();
    wait_until("version 4 is in force", || {
        versions.push(host.in_force().version);
        versions.last() == Some(&4)
    })
    .await;
    assert!(versions.is_sorted(), "{versions:?}");
    assert_eq!(host.in_force().keys.lookup("secret"), None);
    host.watch.close().await;
}

#[tokio::test]
async fn in_force_reads_are_bounded() {
    let store = MemoryKeyValue::new();
    write(&store, document(1, false).to_bytes()).await;
    let host = Host::start("a", &store, Fault::None).await;
    wait_until("the document is fresh", || host.in_force().accepts_keys()).await;
    let reads_before = store.read_count();
    let start = Instant::now();
    wait_until("six more reads have been made", || {
        store.read_count() >= reads_before + 6
    })
    .await;
    // Up to three of the six reads are initial ones: the watch's own, the first listing and the value. The
    // others are at least 0.8 s apart.
    assert!(start.elapsed() >= Duration::from_millis(3 * 800));
}

#[tokio::test]
async fn in_force_store_unreachable_for_one_host() {
    let store = MemoryKeyValue::new();
    write(&store, document(1, false).to_bytes()).await;
    let connected = Host::start("connected", &store, Fault::None).await;
    let partitioned = Host::start("partitioned", &store, Fault::Refused).await;
    for host in [&connected, &partitioned] {
        host.observe_list(&["connected", "partitioned"]);
    }
    wait_until("the partitioned host has the document from its peer", || {
        partitioned.observe_peer(&connected);
        partitioned.in_force().keys.lookup("secret").is_some() && partitioned.in_force().accepts_keys()
    })
    .await;
    write(&store, document(2, true).to_bytes()).await;
    wait_until("the key is withdrawn at the partitioned host", || {
        partitioned.observe_peer(&connected);
        partitioned.in_force().keys.lookup("secret").is_none()
    })
    .await;
    wait_until(
        "the partitioned host confirms the document through its peer",
        || {
            partitioned.observe_peer(&connected);
            partitioned.in_force().freshness() == Freshness::Fresh
        },
    )
    .await;
    // Without its peer the host refuses keys until the store is reachable again.
    wait_until("the partitioned host refuses keys", || {
        !partitioned.in_force().accepts_keys()
    })
    .await;
    assert_eq!(partitioned.in_force().version, 2);
    partitioned.store.set_fault(Fault::None);
    wait_until("the partitioned host accepts keys again", || {
        partitioned.in_force().accepts_keys()
    })
    .await;
}

#[tokio::test]
async fn in_force_store_down_for_all() {
    let store = MemoryKeyValue::new();
    write(&store, document(1, false).to_bytes()).await;
    let hosts = [
        Host::start("a", &store, Fault::None).await,
        Host::start("b", &store, Fault::None).await,
    ];
    for host in &hosts {
        host.observe_list(&["a", "b"]);
        wait_until("the document is fresh", || host.in_force().accepts_keys()).await;
    }
    for host in &hosts {
        host.store.set_fault(Fault::Refused);
    }
    wait_until("both hosts detect the outage for all", || {
        hosts[0].observe_peer(&hosts[1]);
        hosts[1].observe_peer(&hosts[0]);
        let detects_outage = |host: &Host| host.in_force().freshness() == Freshness::OutageForAll;
        hosts.iter().all(detects_outage)
    })
    .await;
    assert!(hosts.iter().all(|host| host.in_force().accepts_keys()));
    // A host that starts during the outage cannot determine which version it had before, so it puts no
    // version in force.
    let started = Host::start("c", &store, Fault::Refused).await;
    started.observe_list(&["a", "b", "c"]);
    started.observe_peer(&hosts[0]);
    started.observe_peer(&hosts[1]);
    sleep(Duration::from_millis(500)).await;
    assert!(!started.in_force().is_loaded());
}

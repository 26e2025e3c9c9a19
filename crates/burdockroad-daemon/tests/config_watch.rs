//! The document in force on hosts whose store or peers cannot be reached.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use burdockroad::config::{Freshness, VersionedDocument, key_hash};
use burdockroad_daemon::{
    config_watch::{ConfigWatch, DOCUMENT_KEY, InForce},
    peer::{
        AdoptHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler, PeerClients,
        PeerHandlers, SlotHandler, TailHandler, serve,
    },
    platform::{Expected, Fault, HostState, KeyValue, ListedHost, MemoryKeyValue, Put},
};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, AdoptRequest, AdoptResponse, GrantRequest, GrantResponse,
    HeartbeatRequest, HeartbeatResponse, ReleaseSlotRequest, ReleaseSlotResponse, ReplicateTailRequest,
    ReplicateTailResponse, SealTailRequest, SealTailResponse,
};
use tokio::{net::TcpListener, time::sleep};

/// Time that a condition is waited for; the test fails only after it.
const PATIENCE: Duration = Duration::from_secs(20);

/// Answers nothing of what peers ask, but for the document.
#[derive(Debug)]
struct Nothing;

#[async_trait]
impl HeartbeatHandler for Nothing {
    async fn heartbeat(&self, _: HeartbeatRequest) -> HeartbeatResponse {
        HeartbeatResponse::default()
    }
}

#[async_trait]
impl ForwardHandler for Nothing {
    async fn forward(&self, _: burdockroad_proto::peer::ForwardRequest) -> ForwardStream {
        Box::pin(futures_util::stream::empty())
    }
}

#[async_trait]
impl TailHandler for Nothing {
    async fn replicate(&self, _: ReplicateTailRequest) -> ReplicateTailResponse {
        ReplicateTailResponse::default()
    }

    async fn seal(&self, _: SealTailRequest) -> SealTailResponse {
        SealTailResponse::default()
    }
}

#[async_trait]
impl AdoptHandler for Nothing {
    async fn adopt(&self, _: AdoptRequest) -> AdoptResponse {
        AdoptResponse::default()
    }
}

#[async_trait]
impl GrantHandler for Nothing {
    async fn grant(&self, _: GrantRequest) -> GrantResponse {
        GrantResponse::default()
    }
}

#[async_trait]
impl SlotHandler for Nothing {
    async fn acquire(&self, _: AcquireSlotRequest) -> AcquireSlotResponse {
        AcquireSlotResponse::default()
    }

    async fn release(&self, _: ReleaseSlotRequest) -> ReleaseSlotResponse {
        ReleaseSlotResponse::default()
    }
}

/// One host: its watch, and where it answers peers.
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
            heartbeat: Arc::new(Nothing),
            forward: Arc::new(Nothing),
            tail: Arc::new(Nothing),
            adopt: Arc::new(Nothing),
            document: watch.handler(),
            grant: Arc::new(Nothing),
            slot: Arc::new(Nothing),
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

    /// Lets this host hear another, as the answer to a heartbeat would.
    fn hear(&self, peer: &Self) {
        let asked_at = Instant::now();
        let answer = peer.watch.gossip().document_freshness();
        let address = peer.address.to_string();
        let gossip = self.watch.gossip();
        gossip.observe_peer(&peer.name.to_owned(), &address, asked_at, &answer);
    }

    fn list(&self, names: &[&str]) {
        let hosts: Vec<ListedHost> = names.iter().map(|name| listed(name)).collect();
        self.watch.gossip().observe_list(&hosts);
    }
}

fn listed(name: &str) -> ListedHost {
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

/// Writes a value whatever the store holds.
async fn write(store: &MemoryKeyValue, value: Vec<u8>) {
    let held = store.get(DOCUMENT_KEY).await.expect("the store has no faults");
    let expected = held.map_or(Expected::Absent, |held| Expected::Revision(held.revision));
    let put = store.put(DOCUMENT_KEY, value.into(), expected).await;
    assert!(matches!(put, Ok(Put::Done(_))), "{put:?}");
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "still not so: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn in_force_takes_higher_versions_only() {
    let store = MemoryKeyValue::new();
    let host = Host::start("a", &store, Fault::None).await;
    assert!(!host.in_force().accepts_keys());
    write(&store, document(3, false).to_bytes()).await;
    until("version 3 is in force", || host.in_force().version == 3).await;
    until("it is fresh", || host.in_force().freshness() == Freshness::Fresh).await;
    write(&store, document(2, false).to_bytes()).await;
    write(&store, b"{}".to_vec()).await;
    write(&store, document(4, true).to_bytes()).await;
    let mut versions = Vec::new();
    until("version 4 is in force", || {
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
    until("it is fresh", || host.in_force().accepts_keys()).await;
    let before = store.read_count();
    let start = Instant::now();
    until("some reads have been made", || store.read_count() >= before + 6).await;
    // One in 0.8 s, but for three at the start: the watch's own, the first listing, and the value.
    assert!(start.elapsed() >= Duration::from_millis(3 * 800));
}

#[tokio::test]
async fn in_force_store_cut_from_one_host() {
    let store = MemoryKeyValue::new();
    write(&store, document(1, false).to_bytes()).await;
    let near = Host::start("near", &store, Fault::None).await;
    let cut = Host::start("cut", &store, Fault::Refused).await;
    for host in [&near, &cut] {
        host.list(&["near", "cut"]);
    }
    until("the cut host has the document by its peer", || {
        cut.hear(&near);
        cut.in_force().keys.lookup("secret").is_some() && cut.in_force().accepts_keys()
    })
    .await;
    write(&store, document(2, true).to_bytes()).await;
    until("the key is withdrawn at the cut host", || {
        cut.hear(&near);
        cut.in_force().keys.lookup("secret").is_none()
    })
    .await;
    until("the cut host is fresh by its peer", || {
        cut.hear(&near);
        cut.in_force().freshness() == Freshness::Fresh
    })
    .await;
    // Without the peer the host refuses keys, and goes on when the store is back.
    until("the cut host refuses keys", || !cut.in_force().accepts_keys()).await;
    assert_eq!(cut.in_force().version, 2);
    cut.store.set_fault(Fault::None);
    until("the host accepts keys again", || cut.in_force().accepts_keys()).await;
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
        host.list(&["a", "b"]);
        until("it is fresh", || host.in_force().accepts_keys()).await;
    }
    for host in &hosts {
        host.store.set_fault(Fault::Refused);
    }
    until("the outage is found out", || {
        hosts[0].hear(&hosts[1]);
        hosts[1].hear(&hosts[0]);
        let outage = |host: &Host| host.in_force().freshness() == Freshness::OutageForAll;
        hosts.iter().all(outage)
    })
    .await;
    assert!(hosts.iter().all(|host| host.in_force().accepts_keys()));
    // A host that starts now cannot know the version that it had, so it waits.
    let started = Host::start("c", &store, Fault::Refused).await;
    started.list(&["a", "b", "c"]);
    started.hear(&hosts[0]);
    started.hear(&hosts[1]);
    sleep(Duration::from_millis(500)).await;
    assert!(!started.in_force().is_loaded());
}

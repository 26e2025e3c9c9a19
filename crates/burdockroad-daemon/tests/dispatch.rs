//! Slots of one pool, over two hosts that talk to each other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use burdockroad::{
    AccountId, HostId,
    config::{Endpoint, EndpointSet, Fencing},
    quota::Limits,
};
use burdockroad_daemon::{
    dispatch::{
        DispatchParts, Dispatcher, PoolDispatcher, PoolSource, Slot, SlotRefusal, SlotReport, SlotRequest,
    },
    ownership::{Owner, OwnershipView, PeerView, PeersView, Process},
    peer::PeerClients,
    quota::AccountLimits,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::watch,
    time::Instant,
};

use crate::peer_server::{Silent, serve_peer};

#[path = "support/peer_server.rs"]
mod peer_server;

const POOL: &str = "pool-a";

/// Longer than any of these waits takes, even on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// One pool of one endpoint with two slots.
#[derive(Debug)]
struct FixedPool {
    address: String,
}

impl PoolSource for FixedPool {
    fn version(&self) -> u64 {
        1
    }

    fn endpoint_sets(&self) -> Vec<EndpointSet> {
        let endpoint = Endpoint {
            id: "engine-1".to_owned(),
            address: self.address.clone(),
            host_id: "engine-host-1".to_owned(),
            failure_domain: "domain-a".to_owned(),
            slots: 2,
            draining: false,
        };
        vec![EndpointSet {
            id: POOL.to_owned(),
            site: "site-a".to_owned(),
            fencing: Fencing::Ignored,
            endpoints: vec![endpoint],
        }]
    }

    fn is_engine_pool(&self, _pool_id: &burdockroad::PoolId) -> bool {
        true
    }

    fn draining_hosts(&self) -> BTreeSet<HostId> {
        BTreeSet::new()
    }
}

#[derive(Debug)]
struct EqualWeights;

impl AccountLimits for EqualWeights {
    fn limits(&self, _account_id: &AccountId) -> Option<Limits> {
        None
    }

    fn weight(&self, _account_id: &AccountId) -> f64 {
        1.0
    }
}

struct Host {
    dispatcher: Arc<PoolDispatcher>,
    peers: watch::Sender<Arc<PeersView>>,
    // Kept open, since a receiver without its sender cannot change.
    _ownership: watch::Sender<Arc<OwnershipView>>,
}

fn process(host_id: &str) -> Process {
    Process {
        host_id: host_id.to_owned(),
        incarnation: 7,
    }
}

fn peer(host_id: &str, address: &str) -> PeersView {
    let peer = PeerView {
        process: process(host_id),
        address: address.to_owned(),
        failure_domain: String::new(),
        leaving: false,
        live: true,
    };
    PeersView {
        peers: [(host_id.to_owned(), peer)].into(),
    }
}

/// Starts a host; `host-a` owns all pools.
async fn host(me: &str, peers: PeersView, endpoint_address: &str) -> Host {
    let owner = Owner {
        process: process("host-a"),
        epoch: 1,
    };
    let view = OwnershipView {
        me: process(me),
        version: 1,
        owners: vec![owner; 256],
        serving: true,
    };
    let (ownership_sender, ownership) = watch::channel(Arc::new(view));
    let (peers_sender, peers) = watch::channel(Arc::new(peers));
    let parts = DispatchParts {
        ownership,
        peers,
        clients: Arc::new(PeerClients::new()),
        source: Arc::new(FixedPool {
            address: endpoint_address.to_owned(),
        }),
        limits: Arc::new(EqualWeights),
    };
    Host {
        dispatcher: Arc::new(PoolDispatcher::start(parts).await.expect("the actor starts")),
        peers: peers_sender,
        _ownership: ownership_sender,
    }
}

/// Starts an endpoint that answers every request with an empty object.
async fn endpoint() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
            if stream.read(&mut request).await.is_ok() {
                stream.write_all(answer).await.unwrap_or_default();
            }
        }
    });
    address
}

fn request(patience: Duration) -> SlotRequest {
    SlotRequest {
        pool_ids: vec![POOL.to_owned()],
        account_id: "account-a".to_owned(),
        program_id: None,
        call_number: 1,
        prompt_tokens: 0,
        max_output_tokens: 0,
        attained_tokens: 0,
        prefix_endpoint_id: None,
        excluded: Vec::new(),
        deadline: Instant::now() + patience,
    }
}

async fn acquire(host: &Host, patience: Duration) -> Result<Slot, SlotRefusal> {
    host.dispatcher.acquire(request(patience)).await
}

async fn two_hosts() -> (Host, Host) {
    let endpoint_address = endpoint().await;
    let owner = host("host-a", peer("host-b", ""), &endpoint_address).await;
    let address = serve_peer(Arc::new(Silent), Arc::<PoolDispatcher>::clone(&owner.dispatcher)).await;
    let other = host("host-b", peer("host-a", &address), &endpoint_address).await;
    (owner, other)
}

#[tokio::test]
async fn acquire_from_owner() {
    let (owner, other) = two_hosts().await;
    let first = acquire(&other, PATIENCE).await.expect("a free slot");
    acquire(&owner, PATIENCE).await.expect("a free slot");
    // Both slots are taken, whoever asks.
    let refusal = acquire(&other, Duration::from_millis(200))
        .await
        .expect_err("no slot is free");
    assert!(refusal.retry_after > Duration::ZERO);
    other.dispatcher.release(first, SlotReport::default());
    acquire(&owner, PATIENCE).await.expect("the released slot");
}

#[tokio::test]
async fn acquire_caller_gone() {
    let (owner, other) = two_hosts().await;
    let first = acquire(&owner, PATIENCE).await.expect("a free slot");
    acquire(&owner, PATIENCE).await.expect("a free slot");
    for host in [&owner, &other] {
        let waiting = tokio::time::timeout(Duration::from_millis(200), acquire(host, PATIENCE));
        waiting.await.expect_err("no slot is free");
    }
    owner.dispatcher.release(first, SlotReport::default());
    acquire(&other, PATIENCE)
        .await
        .expect("the slot that nobody waited for");
}

#[tokio::test]
async fn acquire_holder_gone() {
    let (owner, other) = two_hosts().await;
    for _ in 0..2 {
        acquire(&other, PATIENCE).await.expect("a free slot");
    }
    owner.peers.send_replace(Arc::new(PeersView::default()));
    acquire(&owner, PATIENCE)
        .await
        .expect("a slot of the host that is gone");
}

#[tokio::test]
async fn acquire_owner_gone() {
    let endpoint_address = endpoint().await;
    let alone = host("host-b", peer("host-a", "127.0.0.1:1"), &endpoint_address).await;
    // One of two slots is this host's share.
    let slot = acquire(&alone, PATIENCE).await.expect("a slot of the share");
    acquire(&alone, Duration::from_millis(200))
        .await
        .expect_err("the other host's share");
    alone.dispatcher.release(slot, SlotReport::default());
    acquire(&alone, PATIENCE).await.expect("the released slot");
}

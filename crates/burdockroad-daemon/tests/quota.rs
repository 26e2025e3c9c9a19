//! Admission of calls within an account's rate limit, on two hosts that are connected over loopback.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use burdockroad::{AccountId, quota::Limits};
use burdockroad_daemon::{
    ownership::{Owner, OwnershipView, PeerView, PeersView, Process},
    peer::{GrantHandler, PeerClients},
    quota::{AccountLimits, EscrowQuota, OwnerLease, Quota, QuotaParts},
};
use burdockroad_proto::peer::GrantRequest;
use tokio::{sync::watch, time::Instant};

use crate::peer_server::{StubHandlers, serve_peer};

#[path = "support/peer_server.rs"]
mod peer_server;

const ACCOUNT: &str = "account-a";

const LIMITS: Limits = Limits {
    rate_per_s: 40.0,
    burst: 8,
};

#[derive(Debug)]
struct FixedLimits;

impl AccountLimits for FixedLimits {
    fn limits(&self, account_id: &AccountId) -> Option<Limits> {
        (account_id == ACCOUNT).then_some(LIMITS)
    }

    fn weight(&self, _account_id: &AccountId) -> f64 {
        1.0
    }
}

/// A lease whose validity the test sets.
#[derive(Debug)]
struct TestLease(AtomicBool);

impl OwnerLease for TestLease {
    fn is_valid(&self, _now: std::time::Instant) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

struct Host {
    quota: Arc<EscrowQuota>,
    lease: Arc<TestLease>,
    // Kept open, because a receiver whose sender was dropped receives no changes.
    _senders: (watch::Sender<Arc<OwnershipView>>, watch::Sender<Arc<PeersView>>),
}

fn process(host_id: &str) -> Process {
    Process {
        host_id: host_id.to_owned(),
        incarnation: 7,
    }
}

fn ownership_view(me: &str, owner: &str) -> OwnershipView {
    let owner = Owner {
        process: process(owner),
        epoch: 1,
    };
    OwnershipView {
        me: process(me),
        version: 1,
        owners: vec![owner; 256],
        serving: true,
    }
}

async fn start_host(me: &str, owner: &str, owner_address: &str) -> Host {
    let peer = PeerView {
        process: process(owner),
        address: owner_address.to_owned(),
        failure_domain: String::new(),
        leaving: false,
        live: true,
    };
    let peers = PeersView {
        peers: [(owner.to_owned(), peer)].into(),
    };
    let (ownership_sender, ownership) = watch::channel(Arc::new(ownership_view(me, owner)));
    let (peers_sender, peers) = watch::channel(Arc::new(peers));
    let lease = Arc::new(TestLease(AtomicBool::new(true)));
    let parts = QuotaParts {
        ownership,
        peers,
        clients: Arc::new(PeerClients::new()),
        lease: Arc::<TestLease>::clone(&lease),
        limits: Arc::new(FixedLimits),
    };
    Host {
        quota: Arc::new(EscrowQuota::start(parts).await.expect("the actor starts")),
        lease,
        _senders: (ownership_sender, peers_sender),
    }
}

/// Requests admission in a loop until `end`, and returns the number of admitted calls.
async fn admit_until(quota: Arc<EscrowQuota>, end: Instant) -> u32 {
    let account_id = ACCOUNT.to_owned();
    let mut admitted = 0;
    while Instant::now() < end {
        match quota.admit(&account_id, end).await {
            Ok(()) => admitted += 1,
            Err(refusal) => {
                assert!(refusal.retry_after > Duration::ZERO);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    admitted
}

#[tokio::test]
async fn admit_two_hosts_within_rate() {
    let owner = start_host("host-a", "host-a", "").await;
    let address = serve_peer(Arc::<EscrowQuota>::clone(&owner.quota), Arc::new(StubHandlers)).await;
    let other = start_host("host-b", "host-a", &address).await;

    let start = Instant::now();
    let end = start + Duration::from_millis(2_500);
    let callers = [&owner, &owner, &other, &other].map(|host| admit_until(Arc::clone(&host.quota), end));
    let admitted: Vec<u32> = futures_util::future::join_all(callers).await;
    let bound = LIMITS.rate_per_s * start.elapsed().as_secs_f64() + f64::from(LIMITS.burst);
    let total: u32 = admitted.iter().sum();
    assert!(f64::from(total) <= bound, "{admitted:?} over {bound}");
    assert!(admitted[0] > 0 && admitted[2] > 0, "{admitted:?}");
}

#[tokio::test]
async fn grant_without_lease() {
    let owner = start_host("host-a", "host-a", "").await;
    owner.lease.0.store(false, Ordering::Relaxed);
    let request = GrantRequest {
        account_id: ACCOUNT.to_owned(),
        wanted: 1,
        sequence: 1,
        ..GrantRequest::default()
    };
    assert!(owner.quota.grant(request.clone()).await.not_owner);
    owner.lease.0.store(true, Ordering::Relaxed);
    assert!(!owner.quota.grant(request.clone()).await.not_owner);
    // The requester has a newer map, in which another host may be the owner.
    let newer = GrantRequest {
        ownership_version: 2,
        sequence: 2,
        ..request
    };
    assert!(owner.quota.grant(newer).await.not_owner);
}

#[tokio::test]
async fn admit_owner_unreachable() {
    let isolated = start_host("host-b", "host-a", "127.0.0.1:1").await;
    let start = Instant::now();
    let deadline = start + Duration::from_millis(300);
    let refusal = isolated
        .quota
        .admit(&ACCOUNT.to_owned(), deadline)
        .await
        .expect_err("the owner is unreachable");
    assert!(!refusal.over_rate);
    let unknown = isolated
        .quota
        .admit(&"unknown-account".to_owned(), deadline)
        .await;
    assert!(unknown.is_err());
}

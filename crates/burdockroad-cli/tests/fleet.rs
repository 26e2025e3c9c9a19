//! The tool against the etcd interface, with hosts of which one is cut off from the store by a proxy.

use std::{ffi::OsString, sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, ProgramId};
use burdockroad_cli::{Exit, Outcome, run};
use burdockroad_daemon::{
    admin::{
        AdminHandlers, DocumentStatus, OperatorActions, OwnershipStatus, ProgramSummary, Readiness, Status,
        StatusSource, freshness_name, serve,
    },
    config_watch::{ConfigWatch, InForce, InForceReceiver},
    peer::PeerClients,
    platform::{EtcdKeyValue, HostState, ListedHost},
};
use burdockroad_standins::{
    kv::{KvFaults, KvOptions, KvStandin, LoseReplies, LostReply},
    proxy::{Backward, Forward, ProxyFaults, ProxyOptions, ProxyStandin},
};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/trust/document.jsonc");

/// Time that a condition is waited for; the test fails only after it.
const PATIENCE: Duration = Duration::from_secs(30);

/// A cut in both directions, while connections stay open.
const CUT: ProxyFaults = ProxyFaults {
    forward: Forward::Drop,
    backward: Backward::Drop,
    delay_ms: 0,
    cut_open: false,
};

/// One host: its watch of the document over a proxy, and its admin address.
struct Host {
    proxy: ProxyStandin,
    watch: ConfigWatch,
    admin_address: String,
}

/// Tells what the watch has in force.
#[derive(Debug)]
struct Watched(InForceReceiver);

impl StatusSource for Watched {
    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn status(&self) -> Status {
        let in_force = Arc::clone(&self.0.borrow());
        Status {
            host_id: "h".to_owned(),
            incarnation: 1,
            failure_domain: "d".to_owned(),
            draining: false,
            document: DocumentStatus {
                version: in_force.version,
                freshness: freshness_name(in_force.freshness()).to_owned(),
            },
            ownership: OwnershipStatus::default(),
            endpoints: Vec::new(),
            worst_served: Vec::new(),
        }
    }
}

#[async_trait]
impl OperatorActions for Watched {
    async fn programs(&self, _: Option<AccountId>) -> Vec<ProgramSummary> {
        Vec::new()
    }

    async fn program(&self, _: ProgramId) -> Option<ProgramSummary> {
        None
    }

    async fn end_program(&self, _: ProgramId) -> bool {
        false
    }

    async fn drain(&self) {}
}

impl Host {
    async fn start(name: &str, kv: &KvStandin) -> Self {
        let options = ProxyOptions::new(kv.address());
        let proxy = ProxyStandin::start(options).await.expect("the proxy starts");
        let address = format!("http://{}", proxy.address());
        let store = EtcdKeyValue::new(&[address]).expect("the address is valid");
        let watch = ConfigWatch::start(name.to_owned(), Arc::new(store), Arc::new(PeerClients::new()));
        let listed = ["near", "cut"].map(listed_host);
        watch.gossip().observe_list(&listed);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let admin_address = listener.local_addr().expect("the listener has an address");
        let watched = Arc::new(Watched(watch.in_force()));
        let handlers = AdminHandlers {
            status: Arc::<Watched>::clone(&watched),
            actions: watched,
            document: watch.offer(),
        };
        tokio::spawn(serve(listener, handlers, std::future::pending()));
        Self {
            proxy,
            watch,
            admin_address: admin_address.to_string(),
        }
    }

    fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.watch.in_force().borrow())
    }
}

fn listed_host(name: &str) -> ListedHost {
    ListedHost {
        host_id: name.to_owned(),
        failure_domain: "d".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        state: HostState::Live,
    }
}

async fn command(kv: &KvStandin, hosts: &[&Host], line: &str) -> Outcome {
    let hosts = hosts.iter().map(|host| format!("--host {} ", host.admin_address));
    let hosts: String = hosts.collect();
    let line = format!("{line} --store http://{} {hosts}", kv.address());
    run(line.split_whitespace().map(OsString::from).collect()).await
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "still not so: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn apply_lost_replies_in_force_everywhere() {
    let kv = KvStandin::start(KvOptions::default())
        .await
        .expect("the store starts");
    let (near, other) = (Host::start("near", &kv).await, Host::start("cut", &kv).await);
    let hosts = [&near, &other];
    let first = command(
        &kv,
        &hosts,
        &format!("config apply {EXAMPLE} --expect-version 0 --wait 30"),
    )
    .await;
    assert_eq!(first.exit, Exit::Done, "{}", first.stderr);
    assert!(first.stdout.contains("in force on 2 hosts"), "{}", first.stdout);
    for lost_reply in [LostReply::Error, LostReply::Hang] {
        // The reply about the history, and the one about the change itself.
        kv.set_faults(KvFaults {
            lose_replies: LoseReplies::Next(2),
            lost_reply,
            ..KvFaults::default()
        });
        let version = near.in_force().version;
        let changed = command(&kv, &hosts, "site shift westmere=1 --wait 30").await;
        assert_eq!(changed.exit, Exit::Done, "{}", changed.stderr);
        assert_eq!(near.in_force().version, version + 1);
        let changed = command(&kv, &hosts, "site shift westmere=0 --wait 30").await;
        assert_eq!(changed.exit, Exit::Done, "{}", changed.stderr);
    }
}

/// The tool alone reaches the store: without it both hosts would go on, as in an outage for all.
#[tokio::test]
async fn key_revoke_store_cut_from_all_hosts() {
    let kv = KvStandin::start(KvOptions::default())
        .await
        .expect("the store starts");
    let (near, cut) = (Host::start("near", &kv).await, Host::start("cut", &kv).await);
    let hosts = [&near, &cut];
    command(
        &kv,
        &hosts,
        &format!("config apply {EXAMPLE} --expect-version 0 --wait 30"),
    )
    .await;
    let issued = command(&kv, &hosts, "key issue trials --wait 30").await;
    let key = issued.stdout.trim().to_owned();
    let key_id = key.split('_').nth(1).expect("the key carries its id");
    for host in hosts {
        host.proxy.set_faults(CUT);
    }
    let revoked = command(&kv, &hosts, &format!("key revoke {key_id} --wait 30")).await;
    assert_eq!(revoked.exit, Exit::Done, "{}", revoked.stderr);
    for host in hosts {
        assert!(host.in_force().keys.lookup(&key).is_none());
    }
}

#[tokio::test]
async fn key_revoke_one_host_cut_off() {
    let kv = KvStandin::start(KvOptions::default())
        .await
        .expect("the store starts");
    let (near, mut cut) = (Host::start("near", &kv).await, Host::start("cut", &kv).await);
    let admin = ProxyOptions::new(cut.admin_address.parse().expect("it is an address"));
    let admin = ProxyStandin::start(admin).await.expect("the proxy starts");
    cut.admin_address = admin.address().to_string();
    let hosts = [&near, &cut];
    command(
        &kv,
        &hosts,
        &format!("config apply {EXAMPLE} --expect-version 0 --wait 30"),
    )
    .await;
    let issued = command(&kv, &hosts, "key issue trials --wait 30").await;
    assert_eq!(issued.exit, Exit::Done, "{}", issued.stderr);
    let key = issued.stdout.trim().to_owned();
    let key_id = key.split('_').nth(1).expect("the key carries its id");
    until("the cut host accepts the key", || {
        cut.in_force().accepts_keys() && cut.in_force().keys.lookup(&key).is_some()
    })
    .await;
    cut.proxy.set_faults(CUT);
    admin.set_faults(CUT);
    let revoked = command(&kv, &hosts, &format!("key revoke {key_id} --wait 2")).await;
    assert_eq!(revoked.exit, Exit::NotInForce, "{}", revoked.stderr);
    assert!(revoked.stderr.contains(&cut.admin_address), "{}", revoked.stderr);
    assert!(
        !revoked.stderr.contains(&near.admin_address),
        "{}",
        revoked.stderr
    );
    assert!(near.in_force().keys.lookup(&key).is_none());
    until("the cut host refuses all keys", || !cut.in_force().accepts_keys()).await;
    cut.proxy.set_faults(ProxyFaults::default());
    until("the key is withdrawn there too", || {
        cut.in_force().accepts_keys() && cut.in_force().keys.lookup(&key).is_none()
    })
    .await;
}

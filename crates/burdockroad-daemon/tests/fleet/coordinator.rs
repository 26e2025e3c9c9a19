//! Complete coordinators that are connected over loopback.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{PARTITIONS, membership::Options, program_id};
use burdockroad_daemon::{
    coordinator::{Coordinator, CoordinatorOptions, JournalHandle, Views},
    ownership::OwnershipView,
    peer::{PeerClients, serve},
    platform::{HostList, HostState, ListedHost, MemoryKeyValue, StoreError},
};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    journals::Journals,
    peer_handlers::{StubHandlers, handlers},
    trees::MemoryTrees,
};

/// Timeout of each condition that a test waits for. Far above the time that a passing run takes.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Clone, Debug, Default)]
struct TestHostList(Arc<Mutex<Vec<ListedHost>>>);

#[async_trait]
impl HostList for TestHostList {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

struct Fleet {
    store: MemoryKeyValue,
    journals: Journals,
    host_list: TestHostList,
}

struct Host {
    coordinator: Coordinator,
    trees: Arc<MemoryTrees>,
    server: JoinHandle<()>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: MemoryKeyValue::new(),
            journals: Journals::new(),
            host_list: TestHostList::default(),
        }
    }

    /// Starts hosts. All of them are in the host list before the first one starts.
    async fn start(&self, names: &[&str]) -> Vec<Host> {
        let mut listeners = Vec::new();
        for name in names {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap().to_string();
            self.add_to_list(name, &address);
            listeners.push((*name, listener, address));
        }
        let mut hosts = Vec::new();
        for (name, listener, address) in listeners {
            hosts.push(self.start_one(name, listener, address).await);
        }
        hosts
    }

    /// Adds a host to the host list, or replaces its entry.
    fn add_to_list(&self, name: &str, address: &str) {
        let mut hosts = self.host_list.0.lock().unwrap();
        hosts.retain(|host| host.host_id != name);
        let domain = hosts.len() % 3;
        hosts.push(ListedHost {
            host_id: name.to_owned(),
            failure_domain: format!("domain-{domain}"),
            peer_address: address.to_owned(),
            state: HostState::Live,
        });
    }

    async fn start_one(&self, name: &str, listener: TcpListener, address: String) -> Host {
        let views = Views::new(name.to_owned());
        let factory = Arc::new(self.journals.clone());
        let journal = Arc::new(JournalHandle::open(factory, views.me()).await);
        let trees = Arc::new(MemoryTrees::new(Arc::clone(&journal), views.ownership()));
        let coordinator = Coordinator::start(CoordinatorOptions {
            views,
            peer_address: address,
            failure_domain: "domain".to_owned(),
            membership: Options::default(),
            store: Arc::new(self.store.client()),
            host_list: Arc::new(self.host_list.clone()),
            journal,
            recovery: Arc::new(self.journals.clone()),
            trees: Arc::clone(&trees) as Arc<_>,
            clients: Arc::new(PeerClients::new()),
            document: Arc::new(StubHandlers),
        })
        .await
        .unwrap();
        let handlers = handlers(coordinator.heartbeat_handler(), coordinator.adopt_handler());
        let server = tokio::spawn(async move {
            serve(listener, handlers, std::future::pending()).await.unwrap();
        });
        Host {
            coordinator,
            trees,
            server,
        }
    }
}

impl Host {
    fn view(&self) -> Arc<OwnershipView> {
        self.coordinator.ownership().borrow().clone()
    }

    fn partition_count(&self) -> usize {
        self.view().own_partitions().len()
    }

    /// Stops without a shutdown, like a process that was killed.
    fn kill(self) {
        self.server.abort();
        self.coordinator.abort();
    }

    /// Creates a tree in each of the host's partitions, and returns the IDs of their roots.
    async fn create_trees(&self, name: &str) -> Vec<String> {
        let mut root_ids = Vec::new();
        for partition in self.view().own_partitions() {
            let root_id = program_id(partition, name);
            assert!(self.trees.create(&root_id).await);
            root_ids.push(root_id);
        }
        root_ids
    }
}

async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let result = tokio::time::timeout(CONDITION_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(result.await.is_ok(), "timed out waiting until {description}");
}

/// Returns whether all hosts have the same map, in which they own even shares of the partitions.
fn is_balanced(hosts: &[Host]) -> bool {
    let share = usize::from(PARTITIONS) / hosts.len();
    let even = hosts
        .iter()
        .all(|host| (share..=share + 1).contains(&host.partition_count()));
    let version = hosts[0].view().version;
    even && hosts.iter().all(|host| host.view().version == version)
}

/// Returns whether each tree is served by exactly one of the hosts.
fn serves_each_once(hosts: &[Host], root_ids: &[String]) -> bool {
    let served = |root_id: &String| {
        let serving = hosts
            .iter()
            .filter(|host| host.trees.served().contains_key(root_id));
        serving.count() == 1
    };
    root_ids.iter().all(served)
}

#[tokio::test]
async fn coordinator_single_host() {
    let fleet = Fleet::new();
    let hosts = fleet.start(&["a"]).await;
    wait_until("the host has the first map", || {
        hosts[0].partition_count() == usize::from(PARTITIONS)
    })
    .await;
    let root_ids = hosts[0].create_trees("x").await;
    for host in hosts {
        assert_eq!(host.coordinator.shutdown(Duration::from_secs(1)).await, 256);
        host.server.abort();
    }
    let hosts = fleet.start(&["a"]).await;
    wait_until("the host has taken over from its previous process", || {
        serves_each_once(&hosts, &root_ids)
    })
    .await;
    wait_until("the previous journal is removed", || {
        fleet.journals.processes().len() == 1
    })
    .await;
}

#[tokio::test]
async fn coordinator_join_kill_restart_leave() {
    let fleet = Fleet::new();
    let mut hosts = fleet.start(&["a", "b", "c"]).await;
    wait_until("three hosts own even shares", || is_balanced(&hosts)).await;
    let mut root_ids = Vec::new();
    for host in &hosts {
        root_ids.extend(host.create_trees("x").await);
    }

    hosts.extend(fleet.start(&["d"]).await);
    wait_until("four hosts own even shares", || is_balanced(&hosts)).await;
    wait_until("four hosts serve all trees", || {
        serves_each_once(&hosts, &root_ids)
    })
    .await;

    hosts.remove(0).kill();
    wait_until("three hosts own even shares again", || is_balanced(&hosts)).await;
    wait_until("three hosts serve all trees", || {
        serves_each_once(&hosts, &root_ids)
    })
    .await;

    let remaining_partitions = hosts
        .remove(0)
        .coordinator
        .shutdown(Duration::from_secs(30))
        .await;
    assert_eq!(remaining_partitions, 0);
    wait_until("two hosts serve all trees", || {
        serves_each_once(&hosts, &root_ids)
    })
    .await;

    hosts.extend(fleet.start(&["a"]).await);
    wait_until("the restarted host owns its share", || is_balanced(&hosts)).await;
    wait_until("all trees are served after the restart", || {
        serves_each_once(&hosts, &root_ids)
    })
    .await;
}

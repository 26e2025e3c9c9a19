//! One host of a case: its journal, its copies of the tails of peers, and its peer server.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::journal::WriterOptions;
use burdockroad_daemon::{
    journal::{JournalParts, StoreJournal, StoreRecovery, TailStore, writer_options},
    ownership::{PeerView, PeersReceiver, PeersView, Process},
    peer::{
        AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
        PeerClients, PeerHandlers, SlotHandler, TailHandler, serve,
    },
    platform::MemoryKeyValue,
    settings::StoreSettings,
};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, AdoptRequest, AdoptResponse, FetchDocumentResponse,
    ForwardRequest, GrantRequest, GrantResponse, HeartbeatRequest, HeartbeatResponse, ReleaseSlotRequest,
    ReleaseSlotResponse, ReplicateTailRequest, ReplicateTailResponse, SealTailRequest, SealTailResponse,
};
use tokio::{net::TcpListener, sync::watch};

/// Source of incarnations, which are unique within one test run.
static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

pub(crate) struct Host {
    pub(crate) process: Process,
    pub(crate) store: Arc<MemoryKeyValue>,
    domain: String,
    address: SocketAddr,
    tails: Arc<TailStore>,
    muted: Arc<AtomicBool>,
    peers: watch::Sender<Arc<PeersView>>,
    journal: Option<StoreJournal>,
}

impl Host {
    pub(crate) async fn start(host_id: &str, domain: &str, store: &MemoryKeyValue) -> Self {
        let process = Process {
            host_id: host_id.to_owned(),
            incarnation: NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed),
        };
        let tails = Arc::new(TailStore::new(process.clone()));
        let muted = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stub = Arc::new(TailStub {
            tails: Arc::clone(&tails),
            muted: Arc::clone(&muted),
        });
        tokio::spawn(serve(listener, handlers(&stub), std::future::pending()));
        Self {
            process,
            store: Arc::new(store.client()),
            domain: domain.to_owned(),
            address,
            tails,
            muted,
            peers: watch::Sender::default(),
            journal: None,
        }
    }

    /// Opens the journal with a group-commit window of one hour. Records that no caller waits for stay in the
    /// queue.
    pub(crate) async fn open(&mut self) {
        let options = WriterOptions {
            writes_per_s: 200.0,
            writes_burst: 20.0,
            window_min: Duration::from_hours(1),
            window_max: Duration::from_hours(1),
            queue_max_bytes: 64 * 1024 * 1024,
            segments_max: 1_000,
            stored_max_bytes: 64 * 1024 * 1024,
            ..self.service_options()
        };
        self.open_with(options).await;
    }

    /// Returns the writer options of a daemon that uses the platform's key-value service.
    pub(crate) fn service_options(&self) -> WriterOptions {
        let service = StoreSettings::Service {
            addresses: Vec::new(),
        };
        writer_options(&service, self.process.clone(), self.domain.clone())
    }

    pub(crate) async fn open_with(&mut self, options: WriterOptions) {
        let parts = JournalParts {
            store: Arc::clone(&self.store) as _,
            peers: self.peers.subscribe(),
            clients: Arc::new(PeerClients::new()),
            options,
        };
        self.journal = Some(StoreJournal::open(parts).await.unwrap());
    }

    pub(crate) fn journal(&self) -> &StoreJournal {
        self.journal.as_ref().expect("the journal was opened")
    }

    pub(crate) fn recovery(&self) -> StoreRecovery {
        let peers: PeersReceiver = self.peers.subscribe();
        StoreRecovery::new(
            Arc::clone(&self.store) as _,
            peers,
            Arc::new(PeerClients::new()),
            Arc::clone(&self.tails),
        )
    }

    pub(crate) fn set_muted(&self, muted: bool) {
        self.muted.store(muted, Ordering::Relaxed);
    }

    pub(crate) fn set_peers(&self, view: PeersView) {
        self.peers.send_replace(Arc::new(view));
    }
}

/// Returns the view that the host `me` has of its peers. Only the peers in `live` are live.
pub(crate) fn peers_view(hosts: &BTreeMap<String, Host>, me: &str, live: &[String]) -> PeersView {
    let others = hosts.values().filter(|host| host.process.host_id != me);
    let peers = others.map(|host| {
        let peer = PeerView {
            process: host.process.clone(),
            address: host.address.to_string(),
            failure_domain: host.domain.clone(),
            leaving: false,
            live: live.contains(&host.process.host_id),
        };
        (host.process.host_id.clone(), peer)
    });
    PeersView {
        peers: peers.collect(),
    }
}

/// Peer handlers that pass tail requests to the tail store. No case makes other requests.
#[derive(Debug)]
struct TailStub {
    tails: Arc<TailStore>,
    muted: Arc<AtomicBool>,
}

impl TailStub {
    async fn wait_while_muted(&self) {
        while self.muted.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn handlers(stub: &Arc<TailStub>) -> PeerHandlers {
    PeerHandlers {
        heartbeat: Arc::clone(stub) as _,
        forward: Arc::clone(stub) as _,
        tail: Arc::clone(stub) as _,
        adopt: Arc::clone(stub) as _,
        document: Arc::clone(stub) as _,
        grant: Arc::clone(stub) as _,
        slot: Arc::clone(stub) as _,
    }
}

#[async_trait]
impl TailHandler for TailStub {
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse {
        self.wait_while_muted().await;
        self.tails.replicate(request).await
    }

    async fn seal(&self, request: SealTailRequest) -> SealTailResponse {
        self.wait_while_muted().await;
        self.tails.seal(request).await
    }
}

fn unexpected_request<T>(request: impl fmt::Debug) -> T {
    unreachable!("unexpected request: {request:?}")
}

#[async_trait]
impl HeartbeatHandler for TailStub {
    async fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatResponse {
        unexpected_request(request)
    }
}

#[async_trait]
impl ForwardHandler for TailStub {
    async fn forward(&self, request: ForwardRequest) -> ForwardStream {
        unexpected_request(request)
    }
}

#[async_trait]
impl AdoptHandler for TailStub {
    async fn adopt(&self, request: AdoptRequest) -> AdoptResponse {
        unexpected_request(request)
    }
}

#[async_trait]
impl DocumentHandler for TailStub {
    async fn document(&self) -> FetchDocumentResponse {
        unexpected_request("document")
    }
}

#[async_trait]
impl GrantHandler for TailStub {
    async fn grant(&self, request: GrantRequest) -> GrantResponse {
        unexpected_request(request)
    }
}

#[async_trait]
impl SlotHandler for TailStub {
    async fn acquire(&self, request: AcquireSlotRequest) -> AcquireSlotResponse {
        unexpected_request(request)
    }

    async fn release(&self, request: ReleaseSlotRequest) -> ReleaseSlotResponse {
        unexpected_request(request)
    }
}

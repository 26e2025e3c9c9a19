//! Hosts of the model that hand off, take over, crash, pause and serve calls at random.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use burdockroad::{
    PartitionId, ProgramId,
    membership::Member,
    ownership::{Candidate, OwnershipMap, Process},
    program_id,
};
use burdockroad_daemon::{
    coordinator::{JournalHandle, Views, rejoin},
    handoff::{Handoff, StagingAdopter},
    journal::Trees,
    ownership::{MapStore, OwnershipArguments, OwnershipHandle, OwnershipView, Staging},
    platform::MemoryKeyValue,
    takeover::Takeover,
};
use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
};

use crate::{
    journals::Journals,
    model_store::{Adopters, Gate, ModelSender, ModelStore, RunState, SharedRng},
    trees::MemoryTrees,
};

const HOST_COUNT: usize = 3;

/// Number of partitions that have programs.
const USED_PARTITION_COUNT: PartitionId = 5;

/// Changes that were confirmed to callers, and the ends that callers requested.
#[derive(Debug, Default)]
pub struct Confirmed {
    /// Programs whose creation was stored, by the root of their tree.
    pub programs: BTreeMap<ProgramId, BTreeSet<ProgramId>>,
    /// Trees whose end was requested.
    pub ending: BTreeSet<ProgramId>,
    /// Trees whose end was stored.
    pub ended: BTreeSet<ProgramId>,
}

pub struct Cluster {
    rng: SharedRng,
    store: Arc<MemoryKeyValue>,
    pub journals: Journals,
    adopters: Adopters,
    pub faults_enabled: watch::Sender<bool>,
    pub confirmed: Arc<Mutex<Confirmed>>,
    pub hosts: Vec<Host>,
    program_counter: u64,
}

pub struct Host {
    name: String,
    pub gate: Gate,
    journal: Arc<JournalHandle>,
    pub trees: Arc<MemoryTrees>,
    pub takeover: Takeover,
    handoff: Handoff,
    fenced: Arc<Notify>,
    pub handoffs: JoinSet<()>,
    pub calls: JoinSet<()>,
}

impl Cluster {
    pub async fn new(seed: u64) -> Self {
        let mut cluster = Self {
            rng: SharedRng::new(seed),
            store: Arc::new(MemoryKeyValue::new()),
            journals: Journals::with_delays(seed),
            adopters: Adopters::default(),
            faults_enabled: watch::Sender::new(false),
            confirmed: Arc::default(),
            hosts: Vec::new(),
            program_counter: 0,
        };
        for host in 0..HOST_COUNT {
            let host = cluster.start(&format!("host-{host}")).await;
            cluster.hosts.push(host);
        }
        let candidates = cluster.hosts.iter().map(Host::candidate).collect();
        cluster.hosts[0].ownership().create(candidates).await.unwrap();
        for host in &cluster.hosts {
            host.ownership().refresh().await.unwrap();
        }
        cluster
    }

    pub async fn start(&self, name: &str) -> Host {
        let gate = Gate::default();
        let views = Views::new(name.to_owned());
        let journals = self.journals.behind(&gate);
        let journal = JournalHandle::open(Arc::new(journals.clone()), views.me()).await;
        let journal = Arc::new(journal);
        let (ownership_sender, ownership_view) =
            watch::channel(Arc::new(OwnershipView::clone(&views.ownership().borrow())));
        let trees = Arc::new(MemoryTrees::new(Arc::clone(&journal), ownership_view));
        let staging = Arc::new(Staging::new(views.me(), journal.current()));
        let fenced = Arc::new(Notify::new());
        let store = ModelStore {
            store: Arc::clone(&self.store),
            rng: self.rng.clone(),
            gate: gate.clone(),
            faults_enabled: self.faults_enabled.subscribe(),
        };
        let arguments = OwnershipArguments {
            me: views.me(),
            store: MapStore::new(Arc::new(store)),
            staging: Arc::clone(&staging),
            trees: Arc::clone(&trees) as Arc<dyn Trees>,
            fenced: Arc::clone(&fenced),
        };
        let ownership = OwnershipHandle::start(arguments, ownership_sender).await.unwrap();
        let adopter = StagingAdopter {
            ownership: ownership.clone(),
            staging: Arc::clone(&staging),
        };
        self.adopters
            .lock()
            .unwrap()
            .insert(name.to_owned(), (adopter, gate.clone()));
        let sender = ModelSender {
            adopters: Arc::clone(&self.adopters),
            rng: self.rng.clone(),
            gate: gate.clone(),
            faults_enabled: self.faults_enabled.subscribe(),
        };
        Host {
            name: name.to_owned(),
            takeover: Takeover {
                ownership: ownership.clone(),
                staging: Arc::clone(&staging),
                recovery: Arc::new(journals),
            },
            handoff: Handoff {
                ownership,
                staging,
                trees: Arc::clone(&trees) as Arc<dyn Trees>,
                sender: Arc::new(sender),
            },
            gate,
            journal,
            trees,
            fenced,
            handoffs: JoinSet::new(),
            calls: JoinSet::new(),
        }
    }

    pub async fn step(&mut self) {
        let host = usize::try_from(self.rng.below(self.hosts.len() as u64)).unwrap();
        match self.rng.below(100) {
            0..45 => self.call(host),
            45..60 => self.hand_off(host),
            60..70 => self.take_over(host).await,
            70..75 => self.remove_orphaned(host),
            75..80 => self.crash(host).await,
            80..90 => self.toggle_pause(host),
            _ => self.refresh(host),
        }
        self.rejoin_fenced().await;
        self.rng.delay(30).await;
    }

    /// Creates a tree, adds a sub-agent to an existing tree, or ends an existing tree.
    fn call(&mut self, host: usize) {
        self.program_counter += 1;
        let partition = PartitionId::try_from(self.rng.below(USED_PARTITION_COUNT.into())).unwrap();
        let new_program_id = program_id(partition, &self.program_counter.to_string());
        let trees = Arc::clone(&self.hosts[host].trees);
        let confirmed = Arc::clone(&self.confirmed);
        let served: Vec<ProgramId> = trees.served().into_keys().collect();
        let existing_root_id = self.rng.choose(&served).cloned();
        let action = self.rng.below(10);
        self.hosts[host].calls.spawn(async move {
            match (existing_root_id, action) {
                (Some(root_id), 0) => {
                    confirmed.lock().unwrap().ending.insert(root_id.clone());
                    if trees.end(&root_id).await {
                        confirmed.lock().unwrap().ended.insert(root_id);
                    }
                }
                (Some(root_id), 1..7) => {
                    if trees.add_sub_agent(&root_id, &new_program_id).await {
                        let mut confirmed = confirmed.lock().unwrap();
                        confirmed
                            .programs
                            .entry(root_id)
                            .or_default()
                            .insert(new_program_id);
                    }
                }
                _ => {
                    if trees.create(&new_program_id).await {
                        let mut confirmed = confirmed.lock().unwrap();
                        confirmed
                            .programs
                            .entry(new_program_id.clone())
                            .or_default()
                            .insert(new_program_id);
                    }
                }
            }
        });
    }

    fn hand_off(&mut self, host: usize) {
        let targets: Vec<Member> = self.hosts.iter().map(Host::member).collect();
        let Some(to) = self.rng.choose(&targets).cloned() else {
            return;
        };
        let first = PartitionId::try_from(self.rng.below(USED_PARTITION_COUNT.into())).unwrap();
        let partitions: Vec<PartitionId> = (first..USED_PARTITION_COUNT).collect();
        let host = &mut self.hosts[host];
        // A host runs one handoff at a time, as in the coordinator.
        if to.process != host.me() && !host.is_handing_off() {
            let handoff = host.handoff.clone();
            host.handoffs.spawn(async move {
                // The map shows whether the handoff succeeded.
                let _ = handoff.hand_off(&partitions, &to, Duration::ZERO).await;
            });
        }
    }

    async fn take_over(&mut self, host: usize) {
        let owners = self.journals.in_order(&self.map().await.processes());
        let Some(target) = self.rng.choose(&owners).cloned() else {
            return;
        };
        let host = &mut self.hosts[host];
        if target != host.me() {
            let takeover = host.takeover.clone();
            host.calls.spawn(async move {
                let _ = takeover.take_over(&target).await;
            });
        }
    }

    fn remove_orphaned(&mut self, host: usize) {
        let writers = self.journals.processes();
        let Some(target) = self.rng.choose(&writers).cloned() else {
            return;
        };
        let host = &mut self.hosts[host];
        if target != host.me() {
            let takeover = host.takeover.clone();
            host.calls.spawn(async move {
                let _ = takeover.remove_orphaned(&target).await;
            });
        }
    }

    async fn crash(&mut self, host: usize) {
        let name = self.hosts[host].name.clone();
        self.hosts[host].gate.set(RunState::Crashed);
        let restarted = self.start(&name).await;
        // Messages that the crashed process had sent are still delivered, but none of its tasks resumes.
        let mut crashed = std::mem::replace(&mut self.hosts[host], restarted);
        crashed.handoffs.abort_all();
        crashed.calls.abort_all();
    }

    fn toggle_pause(&mut self, host: usize) {
        let gate = &self.hosts[host].gate;
        let next_state = if gate.is_paused() {
            RunState::Running
        } else {
            RunState::Paused
        };
        gate.set(next_state);
    }

    fn refresh(&mut self, host: usize) {
        let ownership = self.hosts[host].ownership().clone();
        self.hosts[host].calls.spawn(async move {
            let _ = ownership.refresh().await;
        });
    }

    /// Rejoins each host whose process was fenced, as the coordinator does.
    pub async fn rejoin_fenced(&mut self) {
        for host in &mut self.hosts {
            if host.gate.is_paused() || !host.is_fenced() {
                continue;
            }
            host.handoffs.shutdown().await;
            host.calls.shutdown().await;
            rejoin(&host.handoff, &host.journal).await.unwrap();
        }
    }

    pub async fn map(&self) -> OwnershipMap {
        let store = MapStore::new(Arc::clone(&self.store) as Arc<_>);
        store.read().await.unwrap().unwrap().map
    }
}

impl Host {
    pub fn ownership(&self) -> &OwnershipHandle {
        &self.handoff.ownership
    }

    pub fn me(&self) -> Process {
        self.journal.process()
    }

    fn member(&self) -> Member {
        Member {
            process: self.me(),
            address: self.name.clone(),
            ..Member::default()
        }
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            process: self.me(),
            failure_domain: self.name.clone(),
            weight: 1,
        }
    }

    pub fn is_fenced(&self) -> bool {
        // `Notify` stores a notification until the next wait. One poll of that wait consumes it without
        // blocking.
        let notified = futures_util::FutureExt::now_or_never(self.fenced.notified()).is_some();
        notified || self.journal.is_fenced()
    }

    fn is_handing_off(&mut self) -> bool {
        while self.handoffs.try_join_next().is_some() {}
        !self.handoffs.is_empty()
    }
}

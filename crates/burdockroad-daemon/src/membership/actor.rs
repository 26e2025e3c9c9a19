//! The actor that owns the table of hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{
    HostId,
    membership::{DeadProcess, ListedMember, Member, Options, HeartbeatReport, Table, Target},
    ownership::Process,
};
use burdockroad_proto::peer::{HeartbeatRequest, HeartbeatResponse, HostRef};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, rpc::CallResult};
use tokio::{sync::watch, time::Instant};

use crate::{
    config_watch::DocumentGossip,
    membership::{
        lease::Lease,
        wire::{host_ref, process_of, request_sighting, response_sighting},
    },
    ownership::{OwnershipReceiver, PeerView, PeersReceiver, PeersView},
    peer::{HeartbeatHandler, PeerClients},
    platform::{HostList, HostState, ListedHost},
};

/// Time between two readings of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which a heartbeat must be answered.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(750);

/// What the actor works with.
#[derive(Clone, Debug)]
pub struct MembershipArguments {
    /// This process.
    pub me: Member,
    /// Times and sizes.
    pub options: Options,
    /// The platform's host list.
    pub host_list: Arc<dyn HostList>,
    /// Connections to the peers.
    pub clients: Arc<PeerClients>,
    /// The ownership map, whose version goes with the heartbeats.
    pub ownership: OwnershipReceiver,
    /// The document's version and age, which go with the heartbeats.
    pub document: Arc<dyn DocumentGossip>,
}

/// What is to be decided on, as of the last tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Processes that own partitions and may be taken over.
    pub dead: Vec<DeadProcess>,
    /// This process and those that were heard from lately.
    pub alive: Vec<Member>,
    /// Whether the host list was read, and every host on it was heard from lately.
    pub complete: bool,
    /// Highest version of the ownership map that a peer told of.
    pub ownership_version: u64,
}

/// Reaches the actor; clones reach the same one.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    actor: ActorRef<Message>,
    peers: PeersReceiver,
    standing: watch::Receiver<Arc<Standing>>,
}

impl MembershipHandle {
    /// Starts the actor, which publishes to `peers_sender` and `lease`; it stops with
    /// [`close`](Self::close).
    ///
    /// # Errors
    ///
    /// Fails when the actor cannot be started.
    pub async fn start(
        arguments: MembershipArguments,
        peers_sender: watch::Sender<Arc<PeersView>>,
        lease: Arc<Lease>,
    ) -> Result<Self, ractor::SpawnErr> {
        let peers = peers_sender.subscribe();
        let (standing_sender, standing) = watch::channel(Arc::default());
        let interval = arguments.options.heartbeat_interval;
        let outputs = Outputs {
            peers: peers_sender,
            standing: standing_sender,
            lease,
        };
        let (actor, _joined) = Actor::spawn(None, MembershipActor, (arguments, outputs)).await?;
        actor.send_interval(interval, || Message::Tick);
        actor.send_interval(HOST_LIST_INTERVAL, || Message::ReadList);
        Ok(Self {
            actor,
            peers,
            standing,
        })
    }

    /// Peers that were heard from lately, and every change of them.
    pub fn peers(&self) -> PeersReceiver {
        self.peers.clone()
    }

    /// What is to be decided on, after each tick.
    pub fn standing(&self) -> watch::Receiver<Arc<Standing>> {
        self.standing.clone()
    }

    /// Tells all peers that this host is being taken away.
    pub fn leave(&self) {
        self.send(Message::Leave);
    }

    /// Goes on as a new process.
    pub fn rejoin(&self, me: Process) {
        self.send(Message::Rejoin(me));
    }

    /// Sends heartbeats now, without waiting for the next tick.
    pub fn beat(&self) {
        self.send(Message::Beat);
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    fn send(&self, message: Message) {
        // An actor that has stopped needs no message.
        let _ = self.actor.cast(message);
    }
}

#[async_trait]
impl HeartbeatHandler for MembershipHandle {
    async fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatResponse {
        let answer = self
            .actor
            .call(
                |reply| Message::Heartbeat { request, reply },
                Some(HEARTBEAT_TIMEOUT),
            )
            .await;
        match answer {
            Ok(CallResult::Success(response)) => response,
            _ => HeartbeatResponse::default(),
        }
    }
}

enum Message {
    Tick,
    Beat,
    ReadList,
    Listed(Vec<ListedHost>),
    Heartbeat {
        request: HeartbeatRequest,
        reply: RpcReplyPort<HeartbeatResponse>,
    },
    Answered {
        target: Target,
        sent_at: Instant,
        response: Option<HeartbeatResponse>,
    },
    Leave,
    Rejoin(Process),
}

struct Outputs {
    peers: watch::Sender<Arc<PeersView>>,
    standing: watch::Sender<Arc<Standing>>,
    lease: Arc<Lease>,
}

struct MembershipActor;

struct State {
    table: Table,
    arguments: MembershipArguments,
    outputs: Outputs,
    /// Hosts whose answer to a heartbeat is awaited.
    awaited: BTreeSet<HostId>,
    list_was_read: bool,
    ownership_version: u64,
}

impl Actor for MembershipActor {
    type Msg = Message;
    type State = State;
    type Arguments = (MembershipArguments, Outputs);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (arguments, outputs): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let now = Instant::now().into_std();
        let table = Table::new(arguments.me.clone(), arguments.options.clone(), now);
        read_list(&arguments, &myself);
        Ok(State {
            table,
            arguments,
            outputs,
            awaited: BTreeSet::new(),
            list_was_read: false,
            ownership_version: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        // Before anything is judged: after a pause the first message need not be a tick.
        state.note_time();
        match message {
            Message::Tick => state.tick(&myself),
            Message::Beat => state.beat(&myself),
            Message::ReadList => read_list(&state.arguments, &myself),
            Message::Listed(hosts) => state.take_list(hosts, &myself),
            Message::Heartbeat { request, reply } => {
                let response = state.heartbeat(&request);
                // The peer may have given up.
                let _ = reply.send(response);
            }
            Message::Answered {
                target,
                sent_at,
                response,
            } => state.answered(&target, sent_at, response.as_ref()),
            Message::Leave => {
                state.table.set_leaving(true);
                state.beat(&myself);
            }
            Message::Rejoin(process) => {
                state.table.rejoin(process);
                state.beat(&myself);
            }
        }
        Ok(())
    }
}

impl State {
    fn note_time(&mut self) {
        if self.table.tick(Instant::now().into_std()) {
            log::warn!("event=pause_detected host={}", self.table.me().process.host_id);
        }
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let owners = self.owners();
        self.table.set_owners(owners);
        self.beat(myself);
        self.publish();
    }

    fn owners(&self) -> BTreeSet<Process> {
        let view = self.arguments.ownership.borrow();
        view.owners.iter().map(|owner| owner.process.clone()).collect()
    }

    fn beat(&mut self, myself: &ActorRef<Message>) {
        for target in self.table.targets(Instant::now().into_std()) {
            if self.awaited.insert(target.host_id.clone()) {
                self.send_heartbeat(target, myself.clone());
            }
        }
    }

    fn send_heartbeat(&self, target: Target, myself: ActorRef<Message>) {
        let request = self.request();
        let clients = Arc::clone(&self.arguments.clients);
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let response = exchange(&clients, &target, request).await;
            let answered = Message::Answered {
                target,
                sent_at,
                response,
            };
            // The actor may have stopped.
            let _ = myself.cast(answered);
        });
    }

    fn request(&self) -> HeartbeatRequest {
        let me = self.table.me();
        HeartbeatRequest {
            from: Some(host_ref(&me.process)),
            peer_address: me.address.clone(),
            failure_domain: me.failure_domain.clone(),
            heard: self.heard(),
            ownership_version: self.arguments.ownership.borrow().version,
            document: Some(self.arguments.document.document_freshness()),
            leaving: me.leaving,
        }
    }

    fn heartbeat(&mut self, request: &HeartbeatRequest) -> HeartbeatResponse {
        if let Some(report) = request_sighting(request) {
            self.observe(report, request.ownership_version);
        }
        let me = self.table.me();
        HeartbeatResponse {
            from: Some(host_ref(&me.process)),
            failure_domain: me.failure_domain.clone(),
            heard: self.heard(),
            ownership_version: self.arguments.ownership.borrow().version,
            document: Some(self.arguments.document.document_freshness()),
            leaving: me.leaving,
        }
    }

    fn answered(&mut self, target: &Target, sent_at: Instant, response: Option<&HeartbeatResponse>) {
        self.awaited.remove(&target.host_id);
        let Some(response) = response else {
            return;
        };
        let Some(report) = response_sighting(response, &target.address) else {
            return;
        };
        let process = report.member.process.clone();
        if self.observe(report, response.ownership_version) {
            self.observe_document(&process, &target.address, sent_at, response);
            self.table.acknowledge(&process, sent_at.into_std());
            self.outputs.lease.set(self.table.lease_until());
        }
    }

    fn observe_document(
        &self,
        process: &Process,
        address: &str,
        sent_at: Instant,
        response: &HeartbeatResponse,
    ) {
        if let Some(freshness) = &response.document {
            let document = &self.arguments.document;
            document.observe_peer(&process.host_id, address, sent_at.into_std(), freshness);
        }
    }

    fn observe(&mut self, report: HeartbeatReport, version: u64) -> bool {
        if !self.table.observe(report, Instant::now().into_std()) {
            return false;
        }
        if version > self.ownership_version {
            self.ownership_version = version;
            self.publish();
        }
        true
    }

    fn heard(&self) -> Vec<HostRef> {
        let now = Instant::now().into_std();
        self.table.heard(now).iter().map(host_ref).collect()
    }

    fn take_list(&mut self, hosts: Vec<ListedHost>, myself: &ActorRef<Message>) {
        self.arguments.document.observe_list(&hosts);
        let me = self.table.me().process.host_id.clone();
        let leaving = hosts
            .iter()
            .any(|host| host.host_id == me && host.state == HostState::Leaving);
        if leaving {
            self.table.set_leaving(true);
        }
        let daemons = hosts.into_iter().filter(|host| !host.peer_address.is_empty());
        self.table.set_listed(daemons.map(listed_member));
        if !self.list_was_read {
            self.list_was_read = true;
            self.beat(myself);
        }
    }

    fn publish(&self) {
        let now = Instant::now().into_std();
        let members = self.table.members(now);
        self.outputs.lease.set(self.table.lease_until());
        let mut alive: Vec<Member> = members
            .iter()
            .filter(|(_, alive)| *alive)
            .map(|(member, _)| member.clone())
            .collect();
        alive.push(self.table.me().clone());
        self.publish_peers(members);
        self.outputs.standing.send_replace(Arc::new(Standing {
            dead: self.table.dead(now),
            alive,
            complete: self.list_was_read && self.table.all_listed_live(now),
            ownership_version: self.ownership_version,
        }));
    }

    fn publish_peers(&self, members: Vec<(Member, bool)>) {
        let peers: BTreeMap<HostId, PeerView> = members
            .into_iter()
            .map(|(member, alive)| (member.process.host_id.clone(), peer_view(member, alive)))
            .collect();
        self.outputs.peers.send_if_modified(|known| {
            let changed = known.peers != peers;
            if changed {
                *known = Arc::new(PeersView { peers });
            }
            changed
        });
    }
}

fn peer_view(member: Member, alive: bool) -> PeerView {
    PeerView {
        process: member.process,
        address: member.address,
        failure_domain: member.failure_domain,
        leaving: member.leaving,
        alive,
    }
}

fn listed_member(host: ListedHost) -> ListedMember {
    ListedMember {
        host_id: host.host_id,
        address: host.peer_address,
        failure_domain: host.failure_domain,
        leaving: host.state == HostState::Leaving,
    }
}

async fn exchange(
    clients: &PeerClients,
    target: &Target,
    request: HeartbeatRequest,
) -> Option<HeartbeatResponse> {
    let mut client = clients.get(&target.address).ok()?;
    let answer = tokio::time::timeout(HEARTBEAT_TIMEOUT, client.heartbeat(request)).await;
    let response = answer.ok()?.ok()?.into_inner();
    let from = process_of(response.from.as_ref()?);
    // Another host may have been given the address.
    (from.host_id == target.host_id).then_some(response)
}

fn read_list(arguments: &MembershipArguments, myself: &ActorRef<Message>) {
    let host_list = Arc::clone(&arguments.host_list);
    let myself = myself.clone();
    tokio::spawn(async move {
        match host_list.hosts().await {
            Ok(hosts) => {
                // The actor may have stopped.
                let _ = myself.cast(Message::Listed(hosts));
            }
            Err(cause) => log::warn!("event=host_list_not_read reason=\"{cause}\""),
        }
    });
}

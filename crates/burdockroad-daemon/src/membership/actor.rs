//! Actor that owns the membership table.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    HostId,
    membership::{DeadProcess, HeartbeatReport, ListedMember, Member, Options, Table, Target},
    ownership::Process,
};
use burdockroad_proto::peer::{HeartbeatRequest, HeartbeatResponse, HostRef};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::{sync::watch, time::Instant};

use crate::{
    config_watch::DocumentGossip,
    membership::{
        lease::Lease,
        wire::{host_ref, process_of, report_from_request, report_from_response},
    },
    ownership::{OwnershipReceiver, PeerView, PeersView},
    peer::PeerClients,
    platform::{HostList, HostState, ListedHost},
};

/// Timeout of a heartbeat request.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(750);

/// Dependencies and settings of the actor.
#[derive(Clone, Debug)]
pub struct MembershipArguments {
    /// This process.
    pub me: Member,
    /// Timeouts and limits of the membership protocol.
    pub options: Options,
    /// The platform's host list.
    pub host_list: Arc<dyn HostList>,
    /// Connections to peers.
    pub clients: Arc<PeerClients>,
    /// The ownership map, whose version heartbeats carry.
    pub ownership: OwnershipReceiver,
    /// Source and receiver of the document freshness that heartbeats carry.
    pub document: Arc<dyn DocumentGossip>,
}

/// Membership state as of the last update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipSnapshot {
    /// Processes that own partitions and may be taken over: another process has replaced them on their host,
    /// or enough hosts agree that they are unresponsive.
    pub dead: Vec<DeadProcess>,
    /// This process and the peers whose last report is within the suspicion time.
    pub live: Vec<Member>,
    /// Whether the host list was read and every host on it is live.
    pub all_listed_live: bool,
    /// Highest version of the ownership map that a peer has reported.
    pub ownership_version: u64,
}

pub(super) enum Message {
    Tick,
    SendHeartbeats,
    ReadHostList,
    HostListRead(Vec<ListedHost>),
    Heartbeat {
        request: HeartbeatRequest,
        reply: RpcReplyPort<HeartbeatResponse>,
    },
    HeartbeatCompleted {
        target: Target,
        sent_at: Instant,
        response: Option<HeartbeatResponse>,
    },
    Leave,
    Rejoin(Process),
}

pub(super) struct Outputs {
    pub(super) peers: watch::Sender<Arc<PeersView>>,
    pub(super) snapshot: watch::Sender<Arc<MembershipSnapshot>>,
    pub(super) lease: Arc<Lease>,
}

pub(super) struct MembershipActor;

pub(super) struct State {
    table: Table,
    arguments: MembershipArguments,
    outputs: Outputs,
    /// Hosts with a heartbeat request in flight.
    in_flight: BTreeSet<HostId>,
    host_list_read: bool,
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
        read_host_list(&arguments, &myself);
        Ok(State {
            table,
            arguments,
            outputs,
            in_flight: BTreeSet::new(),
            host_list_read: false,
            ownership_version: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        // Advance the clock before any decision: after a process pause the first message may not be a tick.
        state.advance_clock();
        match message {
            Message::Tick => state.tick(&myself),
            Message::SendHeartbeats => state.send_heartbeats(&myself),
            Message::ReadHostList => read_host_list(&state.arguments, &myself),
            Message::HostListRead(hosts) => state.on_host_list(hosts, &myself),
            Message::Heartbeat { request, reply } => {
                let response = state.on_heartbeat(&request);
                // The requester may have timed out.
                let _ = reply.send(response);
            }
            Message::HeartbeatCompleted {
                target,
                sent_at,
                response,
            } => state.on_heartbeat_completed(&target, sent_at, response.as_ref()),
            Message::Leave => {
                state.table.set_leaving(true);
                state.send_heartbeats(&myself);
            }
            Message::Rejoin(process) => {
                state.table.rejoin(process);
                state.send_heartbeats(&myself);
            }
        }
        Ok(())
    }
}

impl State {
    fn advance_clock(&mut self) {
        if self.table.tick(Instant::now().into_std()) {
            log::warn!(
                "event=pause_detected host={}",
                self.table.local_member().process.host_id
            );
        }
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        let owners = self.owners();
        self.table.set_owners(owners);
        self.send_heartbeats(myself);
        self.publish();
    }

    fn owners(&self) -> BTreeSet<Process> {
        let view = self.arguments.ownership.borrow();
        view.owners.iter().map(|owner| owner.process.clone()).collect()
    }

    fn send_heartbeats(&mut self, myself: &ActorRef<Message>) {
        for target in self.table.targets(Instant::now().into_std()) {
            if self.in_flight.insert(target.host_id.clone()) {
                self.send_heartbeat(target, myself.clone());
            }
        }
    }

    fn send_heartbeat(&self, target: Target, myself: ActorRef<Message>) {
        let request = self.heartbeat_request();
        let clients = Arc::clone(&self.arguments.clients);
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let response = request_heartbeat(&clients, &target, request).await;
            let completed = Message::HeartbeatCompleted {
                target,
                sent_at,
                response,
            };
            // The actor may have stopped.
            let _ = myself.cast(completed);
        });
    }

    fn heartbeat_request(&self) -> HeartbeatRequest {
        let me = self.table.local_member();
        HeartbeatRequest {
            from: Some(host_ref(&me.process)),
            peer_address: me.address.clone(),
            failure_domain: me.failure_domain.clone(),
            heard: self.live_peers(),
            ownership_version: self.arguments.ownership.borrow().version,
            document: Some(self.arguments.document.document_freshness()),
            leaving: me.leaving,
        }
    }

    fn on_heartbeat(&mut self, request: &HeartbeatRequest) -> HeartbeatResponse {
        if let Some(report) = report_from_request(request) {
            self.observe(report, request.ownership_version);
        }
        let me = self.table.local_member();
        HeartbeatResponse {
            from: Some(host_ref(&me.process)),
            failure_domain: me.failure_domain.clone(),
            heard: self.live_peers(),
            ownership_version: self.arguments.ownership.borrow().version,
            document: Some(self.arguments.document.document_freshness()),
            leaving: me.leaving,
        }
    }

    fn on_heartbeat_completed(
        &mut self,
        target: &Target,
        sent_at: Instant,
        response: Option<&HeartbeatResponse>,
    ) {
        self.in_flight.remove(&target.host_id);
        let Some(response) = response else {
            return;
        };
        let Some(report) = report_from_response(response, &target.address) else {
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

    fn live_peers(&self) -> Vec<HostRef> {
        let now = Instant::now().into_std();
        self.table.live_processes(now).iter().map(host_ref).collect()
    }

    fn on_host_list(&mut self, hosts: Vec<ListedHost>, myself: &ActorRef<Message>) {
        self.arguments.document.observe_list(&hosts);
        let me = self.table.local_member().process.host_id.clone();
        let leaving = hosts
            .iter()
            .any(|host| host.host_id == me && host.state == HostState::Leaving);
        if leaving {
            self.table.set_leaving(true);
        }
        let daemons = hosts.into_iter().filter(|host| !host.peer_address.is_empty());
        self.table.set_listed(daemons.map(listed_member));
        if !self.host_list_read {
            self.host_list_read = true;
            self.send_heartbeats(myself);
        }
    }

    fn publish(&self) {
        let now = Instant::now().into_std();
        let members = self.table.members(now);
        self.outputs.lease.set(self.table.lease_until());
        let mut live: Vec<Member> = members
            .iter()
            .filter(|(_, live)| *live)
            .map(|(member, _)| member.clone())
            .collect();
        live.push(self.table.local_member().clone());
        self.publish_peers(members);
        self.outputs.snapshot.send_replace(Arc::new(MembershipSnapshot {
            dead: self.table.dead(now),
            live,
            all_listed_live: self.host_list_read && self.table.all_listed_live(now),
            ownership_version: self.ownership_version,
        }));
    }

    fn publish_peers(&self, members: Vec<(Member, bool)>) {
        let peers: BTreeMap<HostId, PeerView> = members
            .into_iter()
            .map(|(member, live)| (member.process.host_id.clone(), peer_view(member, live)))
            .collect();
        self.outputs.peers.send_if_modified(|published| {
            let changed = published.peers != peers;
            if changed {
                *published = Arc::new(PeersView { peers });
            }
            changed
        });
    }
}

fn peer_view(member: Member, live: bool) -> PeerView {
    PeerView {
        process: member.process,
        address: member.address,
        failure_domain: member.failure_domain,
        leaving: member.leaving,
        live,
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

async fn request_heartbeat(
    clients: &PeerClients,
    target: &Target,
    request: HeartbeatRequest,
) -> Option<HeartbeatResponse> {
    let mut client = clients.get(&target.address).ok()?;
    let result = tokio::time::timeout(HEARTBEAT_TIMEOUT, client.heartbeat(request)).await;
    let response = result.ok()?.ok()?.into_inner();
    let from = process_of(response.from.as_ref()?);
    // The address may have been reassigned to another host.
    (from.host_id == target.host_id).then_some(response)
}

fn read_host_list(arguments: &MembershipArguments, myself: &ActorRef<Message>) {
    let host_list = Arc::clone(&arguments.host_list);
    let myself = myself.clone();
    tokio::spawn(async move {
        match host_list.hosts().await {
            Ok(hosts) => {
                // The actor may have stopped.
                let _ = myself.cast(Message::HostListRead(hosts));
            }
            Err(cause) => log::warn!("event=host_list_not_read reason=\"{cause}\""),
        }
    });
}

//! Handle of the membership actor.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::ownership::Process;
use burdockroad_proto::peer::{HeartbeatRequest, HeartbeatResponse};
use ractor::{Actor, ActorRef, rpc::CallResult};
use tokio::sync::watch;

use crate::{
    membership::{
        actor::{
            HEARTBEAT_TIMEOUT, MembershipActor, MembershipArguments, MembershipSnapshot, Message, Outputs,
        },
        lease::Lease,
    },
    ownership::{PeersReceiver, PeersView},
    peer::HeartbeatHandler,
};

/// Interval between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of the actor. Clones refer to the same actor.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    actor: ActorRef<Message>,
    peers: PeersReceiver,
    snapshot: watch::Receiver<Arc<MembershipSnapshot>>,
}

impl MembershipHandle {
    /// Starts the actor, which publishes to `peers_sender` and `lease` until [`close`](Self::close) is
    /// called.
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
        let (snapshot_sender, snapshot) = watch::channel(Arc::default());
        let interval = arguments.options.heartbeat_interval;
        let outputs = Outputs {
            peers: peers_sender,
            snapshot: snapshot_sender,
            lease,
        };
        let (actor, _joined) = Actor::spawn(None, MembershipActor, (arguments, outputs)).await?;
        actor.send_interval(interval, || Message::Tick);
        actor.send_interval(HOST_LIST_INTERVAL, || Message::ReadHostList);
        Ok(Self {
            actor,
            peers,
            snapshot,
        })
    }

    /// Returns a receiver of the tracked peers and of their changes.
    pub fn peers(&self) -> PeersReceiver {
        self.peers.clone()
    }

    /// Returns a receiver of the membership snapshot, which is updated on each tick.
    pub fn snapshot(&self) -> watch::Receiver<Arc<MembershipSnapshot>> {
        self.snapshot.clone()
    }

    /// Announces to all peers that this host is leaving.
    pub fn leave(&self) {
        self.send(Message::Leave);
    }

    /// Resumes as a new process.
    pub fn rejoin(&self, me: Process) {
        self.send(Message::Rejoin(me));
    }

    /// Sends heartbeats immediately, without waiting for the next tick.
    pub fn send_heartbeats(&self) {
        self.send(Message::SendHeartbeats);
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    fn send(&self, message: Message) {
        // The send fails only if the actor has stopped, and then the message is not needed.
        let _ = self.actor.cast(message);
    }
}

#[async_trait]
impl HeartbeatHandler for MembershipHandle {
    async fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatResponse {
        let result = self
            .actor
            .call(
                |reply| Message::Heartbeat { request, reply },
                Some(HEARTBEAT_TIMEOUT),
            )
            .await;
        match result {
            Ok(CallResult::Success(response)) => response,
            _ => HeartbeatResponse::default(),
        }
    }
}

//! Servers for peers, operators and the load balancer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};

use super::{DaemonError, operators::OperatorApi};
use crate::{
    admin::{self, AdminHandlers},
    config_watch::DocumentOffer,
    peer::{self, PeerHandlers},
};

/// Server for requests from peers.
#[derive(Debug)]
pub(super) struct PeerServer {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl PeerServer {
    pub(super) fn start(listener: TcpListener, handlers: PeerHandlers) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            let stopped = async {
                // Dropping the sender also stops the server.
                let _stopped = stopped.await;
            };
            if let Err(error) = peer::serve(listener, handlers, stopped).await {
                log::error!("event=peer_server_failed reason=\"{error}\"");
            }
        });
        Self { stop, task }
    }

    pub(super) async fn close(self) {
        // The server may already have stopped by itself.
        let _sent = self.stop.send(());
        let mut task = self.task;
        if tokio::time::timeout(Duration::from_secs(1), &mut task)
            .await
            .is_err()
        {
            task.abort();
        }
    }
}

/// Server for requests from operators and the load balancer.
#[derive(Debug)]
pub(super) struct AdminServer {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
    pub(super) operators: Arc<OperatorApi>,
}

impl AdminServer {
    pub(super) fn start(
        listener: TcpListener,
        operators: &Arc<OperatorApi>,
        document: Arc<dyn DocumentOffer>,
    ) -> Self {
        let (stop, stopped) = oneshot::channel();
        let handlers = AdminHandlers {
            document,
            status: Arc::clone(operators) as _,
            actions: Arc::clone(operators) as _,
        };
        let task = tokio::spawn(admin::serve(listener, handlers, async {
            // Dropping the sender also stops the server.
            let _stopped = stopped.await;
        }));
        Self {
            stop,
            task,
            operators: Arc::clone(operators),
        }
    }

    pub(super) async fn close(self) {
        // The server may already have stopped by itself.
        let _sent = self.stop.send(());
        if let Err(error) = self.task.await {
            log::warn!("event=admin_server_failed reason=\"{error}\"");
        }
    }
}

/// Listens on an address; port 0 selects a free port.
pub(super) async fn listen(address: &str) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    })
}

/// Returns the address that a listener is bound to.
pub(super) fn local_address(listener: &TcpListener, address: &str) -> Result<SocketAddr, DaemonError> {
    let local = listener.local_addr();
    local.map_err(|cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    })
}

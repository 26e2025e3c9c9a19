//! TCP listener that ends all its connections when it is closed.

use std::{error::Error as StdError, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    service::Service,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::{JoinHandle, JoinSet},
};

use crate::error::{Result, StandinError};

/// Listening socket with the tasks that serve its connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    accept_task: JoinHandle<()>,
}

impl Server {
    /// Serves HTTP/1 and HTTP/2 on `listen` with `service`.
    pub(crate) async fn serve<S, B>(listen: SocketAddr, service: S) -> Result<Self>
    where
        S: Service<Request<Incoming>, Response = Response<B>> + Clone + Send + 'static,
        S::Future: Send + 'static,
        S::Error: Into<Box<dyn StdError + Send + Sync>>,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn StdError + Send + Sync>>,
    {
        Self::accept(listen, move |socket| {
            let service = service.clone();
            async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                // Errors are ignored: the client observes a failed connection, and the stand-in has no log.
                drop(builder.serve_connection(TokioIo::new(socket), service).await);
            }
        })
        .await
    }

    /// Accepts connections on `listen` and runs `handle_connection` for each.
    pub(crate) async fn accept<C, F>(listen: SocketAddr, handle_connection: C) -> Result<Self>
    where
        C: Fn(TcpStream) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        if !listen.ip().is_loopback() {
            return Err(StandinError::NotLoopback(listen));
        }
        let listen_error = |source| StandinError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let (stop, stopped) = oneshot::channel();
        let accept_task = tokio::spawn(accept_until_stopped(listener, stopped, handle_connection));
        Ok(Self {
            address,
            stop,
            accept_task,
        })
    }

    /// Returns the listening address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and ends all connections immediately.
    pub(crate) async fn close(self) {
        // Dropping the sender stops the task. A failed join means that the task panicked, so it has ended too.
        drop(self.stop);
        drop(self.accept_task.await);
    }
}

async fn accept_until_stopped<C, F>(
    listener: TcpListener,
    mut stopped: oneshot::Receiver<()>,
    handle_connection: C,
) where
    C: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    drop(socket.set_nodelay(true));
                    connections.spawn(handle_connection(socket));
                }
            }
        }
    }
    connections.shutdown().await;
}

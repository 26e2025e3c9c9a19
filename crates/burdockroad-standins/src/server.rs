//! A listener whose connections all end when it is closed.

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

/// A listening socket and the tasks of its connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    accepting: JoinHandle<()>,
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
                // A connection that ends early is the client's affair, and the stand-in has no log.
                drop(builder.serve_connection(TokioIo::new(socket), service).await);
            }
        })
        .await
    }

    /// Runs `connection` for each accepted connection.
    pub(crate) async fn accept<C, F>(listen: SocketAddr, connection: C) -> Result<Self>
    where
        C: Fn(TcpStream) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        if !listen.ip().is_loopback() {
            return Err(StandinError::NotLoopback(listen));
        }
        let failed = |source| StandinError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (stop, stopped) = oneshot::channel();
        let accepting = tokio::spawn(accept_until_stopped(listener, stopped, connection));
        Ok(Self {
            address,
            stop,
            accepting,
        })
    }

    /// Returns the address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and ends all connections at once.
    pub(crate) async fn close(self) {
        // The task may have ended by itself; either way it is gone after the join.
        drop(self.stop);
        drop(self.accepting.await);
    }
}

async fn accept_until_stopped<C, F>(listener: TcpListener, mut stopped: oneshot::Receiver<()>, connection: C)
where
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
                    connections.spawn(connection(socket));
                }
            }
        }
    }
    connections.shutdown().await;
}

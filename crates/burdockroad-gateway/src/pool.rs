//! Pool of idle connections to endpoints and other hosts.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{EndpointId, HostId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::timeout,
};

use crate::content_meter::{ContentMeter, MeteredConnection};

/// Timeout for opening a connection. It is below the second after which TCP retransmits a lost packet of the
/// handshake.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest buffer for the head of a response, and for what is read of its body at once.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Memory of the connection to an endpoint that a call uses: its buffer and its task.
pub(crate) const ENDPOINT_CONNECTION_BYTES: usize = READ_BUFFER_BYTES + (8 << 10);

/// Longest time for which an idle connection is reused, whether or not the endpoint announces a keep-alive
/// time.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// Fraction of an endpoint's announced keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// HTTP/1.1 on an open connection.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Counts the incoming bytes.
    pub(crate) meter: Arc<ContentMeter>,
}

/// Connection to an endpoint or another host. It carries one call at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) http: HttpConnection,
    /// Address of the endpoint or host at its other end.
    pub(crate) address: SocketAddr,
    /// Host that opened the connection in place of this one; `None` on this host's own link.
    pub(crate) through_host: Option<HostId>,
}

/// Idle connections, by endpoint id or host address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<EndpointId, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

impl ConnectionPool {
    /// Takes the most recently used connection to an endpoint or host that can still be reused. Connections to a
    /// former address are closed.
    pub(crate) fn take(&self, key: &str, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(key)?;
        while let Some(last) = connections.pop() {
            let is_reusable = last.expires_at > now && last.connection.address == address;
            if is_reusable && last.connection.http.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely. At most `max_idle`
    /// connections are retained for one endpoint or host.
    pub(crate) fn put(
        &self,
        key: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: usize,
        now: Instant,
    ) {
        if connection.http.sender.is_closed() {
            return;
        }
        let idle_time = keep_alive.map_or(IDLE_MAX, |keep_alive_time| {
            keep_alive_time.mul_f64(KEEP_ALIVE_FRACTION).min(IDLE_MAX)
        });
        let mut idle = self.lock_idle();
        let connections = idle.entry(key.to_owned()).or_default();
        connections.retain(|idle| idle.expires_at > now && !idle.connection.http.sender.is_closed());
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                expires_at: now + idle_time,
            });
        }
    }

    /// Closes the idle connections to an endpoint or host.
    pub(crate) fn close_idle(&self, key: &str) {
        self.lock_idle().remove(key);
    }

    /// Closes the idle connections on this host's own links.
    pub(crate) fn close_own_links(&self) {
        for connections in self.lock_idle().values_mut() {
            connections.retain(|idle| idle.connection.through_host.is_some());
        }
    }

    /// Closes the idle connections that have expired.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let mut idle = self.lock_idle();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.http.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<EndpointId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to an endpoint or another host, on this host's own link.
pub(crate) async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<Connection> {
    let stream = connect_stream(address, time_limit).await?;
    Ok(Connection {
        http: handshake(stream).await?,
        address,
        through_host: None,
    })
}

/// Opens a TCP connection.
pub(crate) async fn connect_stream(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONNECT_TIMEOUT.min(time_limit), connecting)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Starts HTTP/1.1 on an open connection.
pub(crate) async fn handshake(
    io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) -> io::Result<HttpConnection> {
    let meter = Arc::new(ContentMeter::new());
    let io = TokioIo::new(MeteredConnection::new(io, Arc::clone(&meter)));
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(io);
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The call that uses the connection receives its errors.
        let _ended = connection.await;
    });
    Ok(HttpConnection { sender, meter })
}

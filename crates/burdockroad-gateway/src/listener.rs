//! Listeners for TCP connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Backoff after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Connections that may wait to be accepted. What they have sent already counts towards the memory of the process.
const BACKLOG: u32 = 256;

/// Accepts the next connection. A failure to accept is counted and retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                if stream.set_nodelay(true).is_ok() {
                    return stream;
                }
            }
            Err(_error) => {
                metrics::counter!("burdockroad_accepts_failed_total").increment(1);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Opens a listener whose connections receive up to `receive_buffer_bytes` before they are read.
pub(crate) async fn listen_with_receive_buffer(
    address: SocketAddr,
    receive_buffer_bytes: usize,
) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Without it, the buffers have the system's size.
    let bytes = u32::try_from(receive_buffer_bytes).unwrap_or(u32::MAX);
    let _set = socket.set_recv_buffer_size(bytes);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens a listener.
pub(crate) async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

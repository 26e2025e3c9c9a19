//! Clients of other daemons, with one connection for each address.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use burdockroad_proto::peer::peer_client::PeerClient;
use tonic::transport::{Channel, Endpoint};

/// Timeout of establishing a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a frame after which a connection in use is probed with a ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a ping, after which the connection is reestablished. Without pings, TCP may take as long to
/// recover from a network partition as the partition lasted.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a message between peers, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Clients of all peers, which connect on first use and reconnect after a failure.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: Mutex<HashMap<String, Channel>>,
}

impl PeerClients {
    /// Creates an empty set of clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client of the peer at an IP address and port.
    ///
    /// # Errors
    ///
    /// Fails when the address is malformed. An unreachable peer is detected only by a request.
    pub fn get(&self, address: &str) -> Result<PeerClient<Channel>, tonic::transport::Error> {
        let mut channels = self
            .channels
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(client(channel.clone()));
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy();
        channels.insert(address.to_owned(), channel.clone());
        Ok(client(channel))
    }
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel)
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(MESSAGE_MAX_BYTES)
}

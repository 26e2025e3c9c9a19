//! Connections to endpoints through another host.
//!
//! A host that is cut from an endpoint requests a connection from another host by upgrading one of its own to that
//! host. The other host connects to the endpoint and copies bytes both ways, those of the endpoint in frames. The
//! requesting host still decides on the call and counts it. Refused: to pass the call to the other host, where it would be admitted, counted
//! and logged a second time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1,
    upgrade::{self, Upgraded},
};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::{
    pool::{HttpConnection, connect_stream, handshake},
    tunnel_frames::FramedConnection,
};

/// Protocol to which a connection between hosts is upgraded.
pub(crate) const PROTOCOL: HeaderValue = HeaderValue::from_static("burdockroad-endpoint");

/// Header by which both hosts state that the endpoint's bytes are in frames. Hosts of earlier versions do not send it.
pub(crate) const FRAMES: HeaderName = HeaderName::from_static("endpoint-frames");

/// Id of the endpoint that the connection leads to.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("endpoint");

/// Reason why no connection was opened through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// The endpoint refuses connections from the other host, too.
    NotListening,
    /// The other host does not reach the endpoint either.
    Unreachable,
    /// The other host did not respond, does not know the endpoint, knows it as evacuated, or is cut off itself.
    NoRelay,
}

/// Opens a connection to an endpoint through the host at `address`.
pub(crate) async fn open(
    address: SocketAddr,
    endpoint: &str,
    time_limit: Duration,
) -> Result<HttpConnection, TunnelError> {
    let opening = async {
        let tunnel = request_tunnel(address, endpoint, time_limit).await?;
        let handshake = if tunnel.has_frames {
            handshake(FramedConnection::new(TokioIo::new(tunnel.upgraded))).await
        } else {
            handshake(TokioIo::new(tunnel.upgraded)).await
        };
        handshake.map_err(|_failed| TunnelError::NoRelay)
    };
    timeout(time_limit, opening)
        .await
        .unwrap_or(Err(TunnelError::NoRelay))
}

/// An upgraded connection to another host.
struct Tunnel {
    upgraded: Upgraded,
    /// Whether the endpoint's bytes are in frames.
    has_frames: bool,
}

async fn request_tunnel(
    address: SocketAddr,
    endpoint: &str,
    time_limit: Duration,
) -> Result<Tunnel, TunnelError> {
    let endpoint = HeaderValue::from_str(endpoint).map_err(|_unprintable| TunnelError::NoRelay)?;
    let stream = connect_stream(address, time_limit)
        .await
        .map_err(|_unreachable| TunnelError::NoRelay)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_failed| TunnelError::NoRelay)?;
    tokio::spawn(async move {
        // The connection that is upgraded receives the errors.
        let _ended = connection.with_upgrades().await;
    });
    let mut request = Request::new(Full::<Bytes>::default());
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("peer"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, PROTOCOL);
    headers.insert(ENDPOINT, endpoint);
    headers.insert(FRAMES, HeaderValue::from_static("1"));
    let response = sender
        .send_request(request)
        .await
        .map_err(|_failed| TunnelError::NoRelay)?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {
            let has_frames = response.headers().contains_key(FRAMES);
            let upgraded = upgrade::on(response).await;
            let upgraded = upgraded.map_err(|_failed| TunnelError::NoRelay)?;
            Ok(Tunnel { upgraded, has_frames })
        }
        StatusCode::BAD_GATEWAY => Err(TunnelError::NotListening),
        StatusCode::GATEWAY_TIMEOUT => Err(TunnelError::Unreachable),
        _ => Err(TunnelError::NoRelay),
    }
}

/// Returns whether another host requests a connection to an endpoint.
pub(crate) fn is_tunnel_request(request: &Request<Incoming>) -> bool {
    request.headers().get(header::UPGRADE) == Some(&PROTOCOL)
}

//! Serves the connections to endpoints that other hosts request.

use std::{sync::Arc, time::Duration};

use burdockroad::gateway::{Endpoint, Failure};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{
    body::Incoming,
    upgrade::{self, Upgraded},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncWriteExt, copy, split},
    net::TcpStream,
};

use crate::{
    connections::TrackedStream,
    endpoint_path::open_own_link,
    response_body::ResponseBody,
    shared::Shared,
    tunnel::{ENDPOINT, FRAMES, PROTOCOL, TunnelError},
    tunnel_frames::send_frames,
};

/// Timeout for the other host's connection to the endpoint. The requesting host waits a little longer.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects to an endpoint in place of another host. Only endpoints that this host knows can be reached, and only
/// while they are not evacuated.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = match connect_in_place(&shared, &request).await {
        Ok(endpoint) => {
            let has_frames = request.headers().contains_key(FRAMES);
            tokio::spawn(async move {
                // A host that disconnects needs no connection.
                if let Ok(upgraded) = upgrade::on(request).await {
                    carry(upgraded, endpoint, has_frames).await;
                }
            });
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
            headers.insert(header::UPGRADE, PROTOCOL);
            if has_frames {
                headers.insert(FRAMES, HeaderValue::from_static("1"));
            }
            StatusCode::SWITCHING_PROTOCOLS
        }
        Err(TunnelError::NotListening) => StatusCode::BAD_GATEWAY,
        Err(TunnelError::Unreachable) => StatusCode::GATEWAY_TIMEOUT,
        Err(TunnelError::NoRelay) => StatusCode::NOT_FOUND,
    };
    response
}

async fn connect_in_place(shared: &Shared, request: &Request<Incoming>) -> Result<TcpStream, TunnelError> {
    let id = request.headers().get(ENDPOINT).and_then(|id| id.to_str().ok());
    let endpoint = {
        let tables = shared.tables();
        if tables.reach.is_cut_off() || !tables.endpoints.knows_evacuations() {
            return Err(TunnelError::NoRelay);
        }
        id.and_then(|id| tables.endpoints.get(id)).cloned()
    };
    let endpoint = endpoint.ok_or(TunnelError::NoRelay)?;
    reject_evacuated(shared, &endpoint)?;
    let connected = open_own_link(shared, &endpoint, ENDPOINT_CONNECT_TIMEOUT).await;
    // The evacuation may have begun while the connection was opened.
    reject_evacuated(shared, &endpoint)?;
    if connected.is_ok() {
        metrics::counter!("burdockroad_tunnels_served_total").increment(1);
    }
    connected.map_err(|failure| match failure {
        Failure::NotListening => TunnelError::NotListening,
        _ => TunnelError::Unreachable,
    })
}

fn reject_evacuated(shared: &Shared, endpoint: &Endpoint) -> Result<(), TunnelError> {
    if shared.tables().endpoints.is_evacuated(endpoint) {
        return Err(TunnelError::NoRelay);
    }
    Ok(())
}

/// Copies bytes both ways until a side ends. Only the end of the endpoint's side is marked in the frames: without the
/// mark, the requesting host knows that the connection broke off. Without frames, a failure of the endpoint's side
/// resets the host's side, as a close would look like the end of a response without a length.
async fn carry(upgraded: Upgraded, mut endpoint: TcpStream, has_frames: bool) {
    let Ok(parts) = upgraded.downcast::<TokioIo<TrackedStream>>() else {
        return;
    };
    if endpoint.write_all(&parts.read_buf).await.is_err() {
        return;
    }
    let (mut from_host, mut to_host) = split(parts.io.into_inner());
    let (mut from_endpoint, mut to_endpoint) = endpoint.split();
    let to_requester = async {
        if has_frames {
            send_frames(&mut from_endpoint, &mut to_host).await
        } else {
            copy(&mut from_endpoint, &mut to_host).await.map(|_bytes| ())
        }
    };
    let is_complete = tokio::select! {
        _ended = copy(&mut from_host, &mut to_endpoint) => true,
        ended = to_requester => ended.is_ok(),
    };
    if !is_complete {
        // It fails only if the host's side is closed already.
        let _set = from_host.unsplit(to_host).stream().set_zero_linger();
    }
}

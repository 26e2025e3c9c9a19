//! Refuses requests that a host forwarded to an endpoint, but that arrived at an address of a host.
//!
//! Another writer may register an endpoint with an address of a host. Without the refusal, the sending host would take
//! this host's own answer for that of the endpoint.

use std::net::{IpAddr, SocketAddr};

use burdockroad::gateway::Endpoint;
use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;

use crate::{Dialect, ForwardedHead, body_discard::discard, response_body::ResponseBody};

/// Returns whether an endpoint is registered with `address`, at which a request arrived.
pub(crate) fn is_registered_at(endpoint: &Endpoint, address: SocketAddr) -> bool {
    listened_on(endpoint.address) == listened_on(address)
}

/// Returns the parts of an address that a listener is known by.
fn listened_on(address: SocketAddr) -> (IpAddr, u16) {
    (address.ip().to_canonical(), address.port())
}

/// Refuses a forwarded request, so that the sending host knows that it did not run and takes another endpoint.
pub(crate) async fn refuse_forwarded(
    dialect: &dyn Dialect,
    head: &ForwardedHead,
    body: Incoming,
) -> Response<ResponseBody> {
    metrics::counter!("burdockroad_forwards_refused_total").increment(1);
    discard(body).await;
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = dialect.write_wrong_endpoint(response.headers_mut(), &head.call_id);
    response
}

//! Serves the calls of other hosts to a gateway host.

use std::sync::Arc;

use burdockroad::gateway::RemoteReservationId;
use http::Response;
use tokio::net::TcpListener;

use crate::{
    budget_owner::{handle_release, handle_reserve, handle_return_tokens},
    message_server::{message_response, respond_to_message, serve_requests},
    peer_messages::{PeerCall, PeerResponse},
    relay::handle_store_call,
    response_body::ResponseBody,
    shared::Shared,
    stream_origins::known_version,
    tunnel, tunnel_server,
    update_server::serve_update,
};

/// Serves the calls of other hosts to a gateway host.
pub(crate) async fn serve_peers(shared: Arc<Shared>, listener: TcpListener) {
    let dialect = Arc::clone(&shared.dialect);
    let table = Arc::clone(&shared.host_connections);
    serve_requests(table, listener, dialect, move |request| {
        let shared = Arc::clone(&shared);
        async move {
            if tunnel::is_tunnel_request(&request) {
                return tunnel_server::serve(shared, request).await;
            }
            let respond = |call| respond(Arc::clone(&shared), call);
            respond_to_message(&shared.message_memory, respond, request).await
        }
    })
    .await;
}

async fn respond(shared: Arc<Shared>, call: PeerCall) -> Response<ResponseBody> {
    let response = match call {
        PeerCall::Store(call) => PeerResponse::Store(handle_store_call(shared.store.direct(), call).await),
        PeerCall::Turns { host, call } => PeerResponse::Turns(shared.turns.relay(&host, &call).await),
        PeerCall::RangeUpdate {
            prefix,
            after,
            compressed_for,
        } => return serve_update(&shared, &prefix, after, compressed_for).await,
        PeerCall::Reserve(request) => PeerResponse::Reservation(handle_reserve(&shared, request).await),
        PeerCall::StreamVersion { stream } => PeerResponse::StreamVersion(known_version(&shared, &stream)),
        PeerCall::ReturnTokens { program } => {
            handle_return_tokens(&shared, &program);
            PeerResponse::Released
        }
        PeerCall::Release {
            call_id,
            number,
            used_tokens,
        } => {
            handle_release(&shared, RemoteReservationId { call_id, number }, used_tokens);
            PeerResponse::Released
        }
    };
    message_response(&response)
}

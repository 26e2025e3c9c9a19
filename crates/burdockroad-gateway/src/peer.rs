//! Calls between hosts.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::timeout};

use crate::{
    budgets::{HoldAsk, HoldReply, answer_hold, answer_release},
    follow::{RangeAnswer, answer_news},
    pool::{ConnectionPool, connect},
    relay::{StoreCall, StoreReply, answer_store_call},
    server::accept,
    shared::Shared,
    stream::AnswerBody,
};

/// Largest call between hosts.
const MESSAGE_MAX_BYTES: usize = 2 << 20;

/// Longest time that a connection between hosts stays idle.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Idle connections to one host.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// A call to another host.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Makes a call to the store.
    Store(StoreCall),
    /// Asks what is new in a range of the store.
    RangeNews {
        /// The range's prefix.
        prefix: String,
        /// Revision up to which it is known.
        after: Revision,
    },
    /// Holds tokens of a program's budget.
    Hold(HoldAsk),
    /// Ends a hold.
    Release {
        /// Call that they were held for.
        call_id: String,
        /// Tokens that the call handed out.
        used_tokens: u64,
    },
}

/// Answer to a [`PeerCall`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// What the store answered.
    Store(StoreReply),
    /// What is new in the range; none when this host has not read it.
    RangeNews(Option<RangeAnswer>),
    /// Whether the tokens are held.
    Hold(HoldReply),
    /// The hold has ended.
    Released,
}

/// Why a host did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The call was not made.
    Unreachable,
    /// The call may have been made.
    NoAnswer,
}

/// Connections to other hosts.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    pool: ConnectionPool,
}

impl PeerClient {
    /// Calls the host at `address`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        patience: Duration,
    ) -> Result<PeerReply, PeerError> {
        let name = address.to_string();
        let mut request = encode(call)?;
        if let Some(mut connection) = self.pool.take(&name, Instant::now()) {
            let sent = timeout(patience, connection.try_send_request(request)).await;
            match sent {
                Ok(Ok(response)) => return self.read(&name, connection, response, patience).await,
                Ok(Err(mut unsent)) => {
                    request = unsent.take_message().ok_or(PeerError::NoAnswer)?;
                }
                Err(_elapsed) => {
                    self.pool.forget(&name);
                    return Err(PeerError::NoAnswer);
                }
            }
        }
        let connecting = connect(address, patience).await;
        let mut connection = connecting.map_err(|_unreachable| PeerError::Unreachable)?;
        let sent = timeout(patience, connection.send_request(request)).await;
        match sent {
            Ok(Ok(response)) => self.read(&name, connection, response, patience).await,
            Ok(Err(_)) | Err(_) => Err(PeerError::NoAnswer),
        }
    }

    async fn read(
        &self,
        name: &str,
        connection: crate::pool::Connection,
        response: Response<Incoming>,
        patience: Duration,
    ) -> Result<PeerReply, PeerError> {
        let read = timeout(patience, response.into_body().collect()).await;
        let Ok(Ok(body)) = read else {
            return Err(PeerError::NoAnswer);
        };
        let now = Instant::now();
        self.pool.put(name, connection, None, IDLE_CONNECTIONS_MAX, now);
        ciborium::from_reader(&*body.to_bytes()).map_err(|_malformed| PeerError::NoAnswer)
    }
}

/// Answers the calls of other hosts.
pub(crate) async fn serve_peers(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| respond(Arc::clone(&shared), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_MAX)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The host that called learns of a broken connection by itself.
            let _ended = connection.await;
        });
    }
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let limited = Limited::new(request.into_body(), MESSAGE_MAX_BYTES);
    let call = match limited.collect().await {
        Ok(body) => ciborium::from_reader(&*body.to_bytes()).ok(),
        Err(_) => None,
    };
    let Some(call) = call else {
        metrics::counter!("burdockroad_peer_calls_malformed_total").increment(1);
        let mut response = Response::new(AnswerBody::full(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    let reply = match call {
        PeerCall::Store(call) => PeerReply::Store(answer_store_call(shared.store.direct(), call).await),
        PeerCall::RangeNews { prefix, after } => PeerReply::RangeNews(answer_news(&shared, &prefix, after)),
        PeerCall::Hold(ask) => PeerReply::Hold(answer_hold(&shared, ask).await),
        PeerCall::Release { call_id, used_tokens } => {
            answer_release(&shared, &call_id, used_tokens);
            PeerReply::Released
        }
    };
    let mut bytes = Vec::new();
    let encoded = ciborium::into_writer(&reply, &mut bytes);
    let mut response = Response::new(AnswerBody::full(Bytes::from(bytes)));
    if encoded.is_err() {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    Ok(response)
}

fn encode(call: &PeerCall) -> Result<Request<Full<Bytes>>, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(call, &mut bytes).map_err(|_unencodable| PeerError::Unreachable)?;
    let mut request = Request::new(Full::new(Bytes::from(bytes)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/peer");
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("peer"));
    Ok(request)
}

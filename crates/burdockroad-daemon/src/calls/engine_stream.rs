//! A completion stream at an engine, which can be resumed and is cancelled when dropped.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::{
    calls::request_id,
    endpoint::{EndpointRequest, EndpointResponse, Endpoints},
};

/// A handle to a stream that an engine generates, identified by its request id.
///
/// An engine continues a stream whose connection broke, so that it can be resumed. Dropping the handle
/// without [`disarm`](Self::disarm) therefore sends an explicit cancel request.
#[derive(Debug)]
pub(super) struct EngineStream {
    endpoints: Arc<dyn Endpoints>,
    address: String,
    request_id: String,
    cancel_on_drop: bool,
}

impl EngineStream {
    /// Creates a handle with a new request id.
    pub(super) fn new(endpoints: &Arc<dyn Endpoints>, address: &str) -> Self {
        Self {
            endpoints: Arc::clone(endpoints),
            address: address.to_owned(),
            request_id: request_id(),
            cancel_on_drop: true,
        }
    }

    /// Returns the request id of the stream.
    pub(super) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Requests the rest of the stream from a token position.
    ///
    /// Returns `None` if the request fails or the engine no longer has the stream.
    pub(super) async fn resume(&self, from_token: u64) -> Option<EndpointResponse> {
        let target = format!("/streams/{}?from={from_token}", self.request_id);
        let request = EndpointRequest {
            fresh_connection: true,
            ..self.request(Method::GET, target)
        };
        let response = self.endpoints.send(request).await.ok()?;
        (response.status == 200).then_some(response)
    }

    /// Drops the handle without a cancel request, for a stream that has ended at the engine.
    pub(super) fn disarm(mut self) {
        self.cancel_on_drop = false;
    }

    fn request(&self, method: Method, target: String) -> EndpointRequest {
        EndpointRequest {
            address: self.address.clone(),
            method,
            target,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            fresh_connection: false,
        }
    }
}

impl Drop for EngineStream {
    fn drop(&mut self) {
        if !self.cancel_on_drop {
            return;
        }
        let request = self.request(Method::POST, format!("/streams/{}/cancel", self.request_id));
        let endpoints = Arc::clone(&self.endpoints);
        tokio::spawn(async move {
            if let Err(error) = endpoints.send(request).await {
                log::debug!("event=cancel_failed reason=\"{error}\"");
            }
        });
    }
}

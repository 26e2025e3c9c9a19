//! One stream at an engine: resumed where its connection breaks, cancelled when it is given up.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::{
    calls::request_id,
    endpoint::{EndpointAnswer, EndpointRequest, Endpoints},
};

/// A stream that an engine generates, by the name it was given.
///
/// An engine keeps a stream whose connection broke, so that it can be resumed. One that is dropped here
/// before [`close`](Self::close) is therefore cancelled by an order of its own.
#[derive(Debug)]
pub(super) struct EngineStream {
    endpoints: Arc<dyn Endpoints>,
    address: String,
    request_id: String,
    open: bool,
}

impl EngineStream {
    /// Names a new stream.
    pub(super) fn new(endpoints: &Arc<dyn Endpoints>, address: &str) -> Self {
        Self {
            endpoints: Arc::clone(endpoints),
            address: address.to_owned(),
            request_id: request_id(),
            open: true,
        }
    }

    /// Name of the stream.
    pub(super) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Asks for the rest of the stream; none when the engine no longer has it.
    pub(super) async fn resume(&self, from_token: u64) -> Option<EndpointAnswer> {
        let target = format!("/streams/{}?from={from_token}", self.request_id);
        let answer = self
            .endpoints
            .send(self.request(Method::GET, target))
            .await
            .ok()?;
        (answer.status == 200).then_some(answer)
    }

    /// Ends the stream's use after it has ended by itself.
    pub(super) fn close(mut self) {
        self.open = false;
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
        if !self.open {
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

//! Client for the admin addresses of the hosts.

use std::time::Duration;

use burdockroad::{DocumentVersion, config::VersionedDocument};
use burdockroad_daemon::admin::{DocumentResponse, Status};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Serialize;
use tokio::time::{Instant, sleep, timeout};

use crate::error::CliError;

/// Timeout of a request to a host.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Interval between two status requests to a host.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Hosts, identified by their admin addresses.
#[derive(Clone, Debug)]
pub struct Hosts {
    addresses: Vec<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Response of a host.
#[derive(Clone, Debug)]
pub struct HostResponse {
    /// Status of the HTTP response.
    pub status: StatusCode,
    /// Body of the HTTP response.
    pub body: Bytes,
}

/// Host on which a version is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LaggingHost {
    /// Admin address of the host.
    pub address: String,
    /// Reason as readable text.
    pub reason: String,
}

impl Hosts {
    /// Creates a client for hosts with these admin addresses, each of the form `IP:PORT`.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            addresses,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Returns the admin addresses.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Sends a request without a body to one host and returns its response.
    ///
    /// # Errors
    ///
    /// Fails if the host does not respond before the timeout.
    pub async fn request(
        &self,
        address: &str,
        method: Method,
        target: &str,
    ) -> Result<HostResponse, CliError> {
        self.send(address, method, target, Bytes::new()).await
    }

    async fn send(
        &self,
        address: &str,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<HostResponse, CliError> {
        let failed = |reason: String| CliError::Failed(format!("{address}: {reason}"));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{target}"))
            .body(Full::new(body))
            .map_err(|error| failed(error.to_string()))?;
        let response = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| failed(with_causes(&error)))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
            let body = body.collect().await.map_err(|error| failed(error.to_string()))?;
            Ok(HostResponse {
                status,
                body: body.to_bytes(),
            })
        };
        match timeout(RESPONSE_TIMEOUT, response).await {
            Ok(response) => response,
            Err(_) => Err(failed("timed out waiting for a response".to_owned())),
        }
    }

    /// Fetches the status of one host.
    ///
    /// # Errors
    ///
    /// Fails if the host does not respond before the timeout, or if the response is not a status.
    pub async fn status(&self, address: &str) -> Result<Status, CliError> {
        let response = self.request(address, Method::GET, "/status").await?;
        serde_json::from_slice(&response.body)
            .map_err(|error| CliError::Failed(format!("{address}: {error}")))
    }

    /// Waits until a stored version, or a higher one, is in force on every host. Returns the hosts on
    /// which it is not in force when the wait ends.
    ///
    /// The document is sent to hosts that have an older version. A host that can confirm its own document
    /// ignores the sent one and receives the new version from the store or a peer. Each host is polled
    /// independently, so that an unresponsive host does not delay the results of the others.
    pub async fn wait_in_force(&self, stored: &VersionedDocument, wait: Duration) -> Vec<LaggingHost> {
        let deadline = Instant::now() + wait;
        let addresses = self.addresses.iter();
        let waiting = addresses.map(|address| self.wait_for_host(address, stored, deadline));
        let lagging_hosts = futures_util::future::join_all(waiting).await;
        lagging_hosts.into_iter().flatten().collect()
    }

    async fn wait_for_host(
        &self,
        address: &str,
        stored: &VersionedDocument,
        deadline: Instant,
    ) -> Option<LaggingHost> {
        loop {
            let lagging_host = self.lagging_host(address, stored.version).await?;
            if Instant::now() >= deadline {
                return Some(lagging_host);
            }
            sleep(POLL_INTERVAL).await;
            self.offer(address, stored).await;
        }
    }

    /// Sends the document to a host. The next status request shows whether the host put it in force.
    async fn offer(&self, address: &str, stored: &VersionedDocument) -> Option<DocumentResponse> {
        let body = Bytes::from(stored.to_bytes());
        let response = self.send(address, Method::POST, "/document", body).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    async fn lagging_host(&self, address: &str, version: DocumentVersion) -> Option<LaggingHost> {
        let reason = match self.status(address).await {
            Ok(status) if status.document.version >= version => return None,
            Ok(status) => format!(
                "version {} is in force ({})",
                status.document.version, status.document.freshness
            ),
            Err(error) => error.to_string(),
        };
        Some(LaggingHost {
            address: address.to_owned(),
            reason,
        })
    }
}

fn with_causes(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {}", with_causes(cause)),
        None => error.to_string(),
    }
}

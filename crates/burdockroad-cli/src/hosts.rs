//! Asks the hosts at their admin addresses.

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

/// Time in which a host must have answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Pause between two rounds of asking.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The hosts, by their admin addresses.
#[derive(Clone, Debug)]
pub struct Hosts {
    addresses: Vec<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// What one host answered.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// A host on which a version is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Behind {
    /// Admin address of the host.
    pub address: String,
    /// Why, for people.
    pub reason: String,
}

impl Hosts {
    /// Makes clients of hosts at these admin addresses, as `IP:PORT`.
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

    /// Asks one host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer in time.
    pub async fn ask(&self, address: &str, method: Method, target: &str) -> Result<Answer, CliError> {
        self.send(address, method, target, Bytes::new()).await
    }

    async fn send(
        &self,
        address: &str,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<Answer, CliError> {
        let failed = |reason: String| CliError::Failed(format!("{address}: {reason}"));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{target}"))
            .body(Full::new(body))
            .map_err(|error| failed(error.to_string()))?;
        let answer = async {
            let answer = self.client.request(request).await;
            let answer = answer.map_err(|error| failed(with_causes(&error)))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
            let body = body.collect().await.map_err(|error| failed(error.to_string()))?;
            Ok(Answer {
                status,
                body: body.to_bytes(),
            })
        };
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }

    /// Asks one host how it is.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer in time, or not with a status.
    pub async fn status(&self, address: &str) -> Result<Status, CliError> {
        let answer = self.ask(address, Method::GET, "/status").await?;
        serde_json::from_slice(&answer.body).map_err(|error| CliError::Failed(format!("{address}: {error}")))
    }

    /// Waits until a stored version, or a higher one, is in force on every host; returns those where it
    /// is not.
    ///
    /// Hosts that are behind are handed the document; those that can confirm theirs do not take it and
    /// learn of it from the store or a peer. Each host is asked by itself, so that a silent one does not
    /// hide what the others answer.
    pub async fn wait_in_force(&self, stored: &VersionedDocument, wait: Duration) -> Vec<Behind> {
        let deadline = Instant::now() + wait;
        let addresses = self.addresses.iter();
        let waiting = addresses.map(|address| self.wait_for_host(address, stored, deadline));
        let behind = futures_util::future::join_all(waiting).await;
        behind.into_iter().flatten().collect()
    }

    async fn wait_for_host(
        &self,
        address: &str,
        stored: &VersionedDocument,
        deadline: Instant,
    ) -> Option<Behind> {
        loop {
            let behind = self.behind(address, stored.version).await?;
            if Instant::now() >= deadline {
                return Some(behind);
            }
            sleep(POLL_INTERVAL).await;
            self.offer(address, stored).await;
        }
    }

    /// Hands the document to a host; what came of it shows when the host is asked again.
    async fn offer(&self, address: &str, stored: &VersionedDocument) -> Option<DocumentResponse> {
        let body = Bytes::from(stored.to_bytes());
        let answer = self.send(address, Method::POST, "/document", body).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    async fn behind(&self, address: &str, version: DocumentVersion) -> Option<Behind> {
        let reason = match self.status(address).await {
            Ok(status) if status.document.version >= version => return None,
            Ok(status) => format!(
                "version {} is in force ({})",
                status.document.version, status.document.freshness
            ),
            Err(error) => error.to_string(),
        };
        Some(Behind {
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

//! The platform's list of hosts, read over HTTP or fixed in the settings.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::Uri;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::timeout;

use crate::{
    platform::{CALL_TIMEOUT, HostList, ListedHost, PlatformError, StoreError},
    settings::HostListSettings,
};

/// Maximum size of the list, in bytes.
const LIST_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Opens the host list that the settings specify.
///
/// # Errors
///
/// Fails when the address of the list is malformed.
pub fn connect_host_list(settings: &HostListSettings) -> Result<Arc<dyn HostList>, PlatformError> {
    match settings {
        HostListSettings::Service { url } => Ok(Arc::new(HttpHostList::new(url)?)),
        HostListSettings::Fixed { hosts } => Ok(Arc::new(FixedHostList::new(hosts.clone()))),
    }
}

/// Host list that does not change.
#[derive(Clone, Debug)]
pub struct FixedHostList {
    hosts: Vec<ListedHost>,
}

impl FixedHostList {
    /// Creates a list of the given hosts.
    pub fn new(hosts: Vec<ListedHost>) -> Self {
        Self { hosts }
    }
}

#[async_trait]
impl HostList for FixedHostList {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(self.hosts.clone())
    }
}

/// Host list that is read as a JSON array from an HTTP address.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    uri: Uri,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpHostList {
    /// Creates a client of the list at an address such as `http://10.0.0.1:8080/hosts`.
    ///
    /// # Errors
    ///
    /// Fails when the address is malformed or has no host.
    pub fn new(url: &str) -> Result<Self, PlatformError> {
        let malformed = |reason: String| PlatformError::Address {
            address: url.to_owned(),
            reason,
        };
        let uri = url.parse::<Uri>().map_err(|cause| malformed(cause.to_string()))?;
        if uri.scheme_str() != Some("http") || uri.authority().is_none() {
            return Err(malformed("it must have the form http://IP:PORT/path".to_owned()));
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { uri, client })
    }

    async fn read(&self) -> Result<Vec<ListedHost>, String> {
        let response = self
            .client
            .get(self.uri.clone())
            .await
            .map_err(|cause| cause.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), LIST_MAX_BYTES);
        let bytes = body.collect().await.map_err(|cause| cause.to_string())?;
        serde_json::from_slice(&bytes.to_bytes()).map_err(|cause| cause.to_string())
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let result = timeout(CALL_TIMEOUT, self.read()).await;
        let result = result.unwrap_or_else(|_| Err("no response in time".to_owned()));
        result.map_err(|reason| StoreError::Unavailable {
            reason: format!("host list: {reason}"),
            retry_after: CALL_TIMEOUT,
        })
    }
}

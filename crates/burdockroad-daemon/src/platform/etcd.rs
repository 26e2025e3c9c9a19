//! Client of the platform's key-value service, using the etcd v3 API.

mod requests;
mod watch;

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use burdockroad_proto::etcdserverpb::{
    DeleteRangeRequest, TxnRequest, kv_client::KvClient, watch_client::WatchClient,
};
use bytes::Bytes;
use tokio::{sync::mpsc, time::timeout};
use tonic::{
    Code, ConnectError, Response, Status,
    transport::{Channel, Endpoint},
};

use crate::platform::{
    Breaker, CALL_TIMEOUT, Entry, Expected, KeyValue, Listing, PlatformError, Put, StoreError,
    VALUE_MAX_BYTES, WatchEvent,
};

/// Connect timeout, which is short enough to try another address within one request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a response, in bytes. A listing contains many values.
const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Backoff after the service refused a request because of its rate limit or was unreachable.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Client of the key-value service at one or more addresses.
///
/// Requests go to the current address. After a failure the next address becomes current.
#[derive(Debug)]
pub struct EtcdKeyValue {
    channels: Vec<Channel>,
    current: AtomicUsize,
    breaker: Mutex<Breaker>,
}

impl EtcdKeyValue {
    /// Creates a client that connects on first use. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when there is no address or one is not of the form `http://IP:PORT`.
    pub fn new(addresses: &[String]) -> Result<Self, PlatformError> {
        if addresses.is_empty() {
            return Err(PlatformError::NoAddress);
        }
        let channels = addresses
            .iter()
            .map(|address| channel(address))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            channels,
            current: AtomicUsize::new(0),
            breaker: Mutex::default(),
        })
    }

    /// Sends a request, and retries it at the next address if it is certain that the failed attempt had no
    /// effect or if the request is `idempotent`.
    async fn call<T, F>(
        &self,
        idempotent: bool,
        send: impl Fn(Channel) -> F + Send + Sync,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<Response<T>, Status>> + Send,
        T: Send,
    {
        self.admit()?;
        let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        let mut error = StoreError::unavailable("no address is configured");
        for _ in 0..self.channels.len() {
            let current = self.current.load(Ordering::Relaxed);
            let channel = self.channels[current % self.channels.len()].clone();
            match tokio::time::timeout_at(deadline, send(channel)).await {
                Ok(Ok(response)) => {
                    self.breaker().report(true, Instant::now());
                    return Ok(response.into_inner());
                }
                Ok(Err(status)) => error = classify(&status),
                Err(_) => error = StoreError::ambiguous("no response in time"),
            }
            self.use_next_address(current);
            let not_retryable = matches!(error, StoreError::Ambiguous { .. }) && !idempotent;
            if not_retryable || tokio::time::Instant::now() >= deadline {
                break;
            }
        }
        self.breaker().report(false, Instant::now());
        Err(error)
    }

    async fn read<T, F>(&self, send: impl Fn(Channel) -> F + Send + Sync) -> Result<T, StoreError>
    where
        F: Future<Output = Result<Response<T>, Status>> + Send,
        T: Send,
    {
        let result = self.call(true, send).await;
        // A read has no effect, so its failure is never ambiguous.
        result.map_err(|error| match error {
            StoreError::Ambiguous { reason } => StoreError::unavailable(reason),
            unavailable @ StoreError::Unavailable { .. } => unavailable,
        })
    }

    async fn write(&self, request: TxnRequest) -> Result<Put, StoreError> {
        let response = self
            .call(false, |channel| {
                let request = request.clone();
                async move { kv(channel).txn(request).await }
            })
            .await?;
        Ok(requests::put_result(response))
    }

    async fn remove(&self, request: DeleteRangeRequest) -> Result<(), StoreError> {
        // Removal is idempotent, so it may be retried at another address after any failure.
        self.call(true, |channel| {
            let request = request.clone();
            async move { kv(channel).delete_range(request).await }
        })
        .await?;
        Ok(())
    }

    fn admit(&self) -> Result<(), StoreError> {
        let admitted = self.breaker().admit(Instant::now());
        admitted.map_err(|retry_after| StoreError::Unavailable {
            reason: "the circuit breaker is open after repeated failures".to_owned(),
            retry_after,
        })
    }

    fn use_next_address(&self, failed: usize) {
        let next = failed.wrapping_add(1);
        // Another request may have changed the current address already. Its choice is then kept.
        let _exchanged = self
            .current
            .compare_exchange(failed, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn breaker(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl KeyValue for EtcdKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = requests::get(key);
        let response = self
            .read(|channel| {
                let request = request.clone();
                async move { kv(channel).range(request).await }
            })
            .await?;
        Ok(response.kvs.into_iter().next().map(requests::entry))
    }

    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError> {
        let request = requests::list(prefix, listing);
        let response = self
            .read(|channel| {
                let request = request.clone();
                async move { kv(channel).range(request).await }
            })
            .await?;
        Ok(response.kvs.into_iter().map(requests::entry).collect())
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(StoreError::unavailable("the value is too large"));
        }
        self.write(requests::put(key, value, expected)).await
    }

    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(StoreError::unavailable("the value is too large"));
        }
        self.write(requests::create_after(key, value, predecessor)).await
    }

    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        self.remove(requests::delete_range(from, to)).await
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.remove(requests::delete(key)).await
    }

    async fn watch(&self, key: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        self.admit()?;
        let current = self.current.load(Ordering::Relaxed);
        let channel = self.channels[current % self.channels.len()].clone();
        let opened = timeout(CALL_TIMEOUT, watch::open(WatchClient::new(channel), key)).await;
        let result = opened.unwrap_or_else(|_| Err("no response in time".to_owned()));
        self.breaker().report(result.is_ok(), Instant::now());
        if result.is_err() {
            self.use_next_address(current);
        }
        result.map_err(StoreError::unavailable)
    }
}

impl StoreError {
    fn unavailable(reason: impl Into<String>) -> Self {
        Self::Unavailable {
            reason: reason.into(),
            retry_after: RETRY_AFTER,
        }
    }

    fn ambiguous(reason: impl Into<String>) -> Self {
        Self::Ambiguous {
            reason: reason.into(),
        }
    }
}

fn channel(address: &str) -> Result<Channel, PlatformError> {
    let malformed = |reason: String| PlatformError::Address {
        address: address.to_owned(),
        reason,
    };
    if !address.starts_with("http://") {
        return Err(malformed("it must have the form http://IP:PORT".to_owned()));
    }
    let endpoint = Endpoint::from_shared(address.to_owned()).map_err(|cause| malformed(cause.to_string()))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy())
}

fn kv(channel: Channel) -> KvClient<Channel> {
    KvClient::new(channel).max_decoding_message_size(RESPONSE_MAX_BYTES)
}

/// Classifies a failed request by whether it certainly had no effect.
fn classify(status: &Status) -> StoreError {
    let reason = format!("{}: {}", status.code(), status.message());
    if never_sent(status) || rate_limited(status) {
        return StoreError::unavailable(reason);
    }
    StoreError::ambiguous(reason)
}

/// Returns whether the connection could not be established, so that nothing was sent.
fn never_sent(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Returns whether the service refused the request because of its rate limit, before any effect.
///
/// The status code alone is not sufficient. A broken connection can produce the same code, but then the
/// status has a source. A service that runs out of space also returns this code, for a write that it still
/// applied.
fn rate_limited(status: &Status) -> bool {
    status.code() == Code::ResourceExhausted
        && std::error::Error::source(status).is_none()
        && !status.message().contains("space exceeded")
}

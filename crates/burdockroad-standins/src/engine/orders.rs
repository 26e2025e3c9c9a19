//! Orders to an engine: loading a model, an adapter or a version, or changing the role.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    engine::Shared,
    error::{Result, StandinError},
    http_client::{self, HttpClient},
};

/// Maximum backoff between attempts to fetch weights.
const WEIGHT_BACKOFF_MAX: Duration = Duration::from_secs(5);
const WEIGHT_ATTEMPTS_MAX: u32 = 100;

/// Whether an engine enforces fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Orders with a number below the highest one seen are refused with status 409.
    #[default]
    Enforced,
    /// The number has no effect.
    Ignored,
}

/// An order with the fencing number of its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// Number that increases each time another sender takes over.
    pub fencing_number: u64,
    /// The order.
    pub order: Order,
}

/// An order to an engine; the string names the model, adapter, version or role.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model and unload all others.
    LoadModel(String),
    /// Load an adapter, which is then served as an additional model.
    LoadAdapter(String),
    /// Load another version of the model.
    LoadVersion(String),
    /// Change the role.
    SetRole(String),
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Waiting for earlier orders.
    Queued,
    /// Being executed.
    Running,
    /// Executed successfully.
    Done,
    /// The weights could not be fetched.
    Failed,
}

/// An accepted order and its progress.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The order as received.
    #[serde(flatten)]
    pub request: OrderRequest,
    /// Progress of the order.
    pub state: OrderState,
}

/// The orders of an engine and the resulting state; the response to `GET /orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrdersReport {
    /// Highest fencing number seen.
    pub highest_fencing_number: u64,
    /// Served models, including adapters; if empty, any model is served.
    pub models: Vec<String>,
    /// Served version; empty before the first order.
    pub version: String,
    /// Current role; empty before the first order.
    pub role: String,
    /// Accepted orders, in order of arrival.
    pub orders: Vec<AcceptedOrder>,
}

/// Error for a fencing number that is lower than the highest one seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StaleFencingNumber;

impl OrdersReport {
    /// Accepts an order and returns its index in `orders`.
    pub(crate) fn accept(
        &mut self,
        request: OrderRequest,
        fencing: Fencing,
    ) -> std::result::Result<usize, StaleFencingNumber> {
        if fencing == Fencing::Enforced && request.fencing_number < self.highest_fencing_number {
            return Err(StaleFencingNumber);
        }
        self.highest_fencing_number = self.highest_fencing_number.max(request.fencing_number);
        let state = OrderState::Queued;
        self.orders.push(AcceptedOrder { request, state });
        Ok(self.orders.len() - 1)
    }

    fn apply(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => self.models = vec![model.clone()],
            Order::LoadAdapter(adapter) if self.models.contains(adapter) => {}
            Order::LoadAdapter(adapter) => self.models.push(adapter.clone()),
            Order::LoadVersion(version) => self.version.clone_from(version),
            Order::SetRole(role) => self.role.clone_from(role),
        }
    }
}

/// Executes accepted orders one after the other.
pub(crate) struct OrderExecutor {
    pub(crate) shared: Arc<Shared>,
    pub(crate) load_time: Duration,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) client: HttpClient,
}

impl OrderExecutor {
    pub(crate) async fn run(self, mut accepted: mpsc::UnboundedReceiver<usize>) {
        while let Some(index) = accepted.recv().await {
            let Some(order) = self.start(index) else {
                continue;
            };
            let loaded = self.load(&order).await;
            self.finish(index, &order, loaded.is_ok());
        }
    }

    fn start(&self, index: usize) -> Option<Order> {
        let mut state = self.shared.state();
        let accepted = state.orders.orders.get_mut(index)?;
        accepted.state = OrderState::Running;
        Some(accepted.request.order.clone())
    }

    fn finish(&self, index: usize, order: &Order, loaded: bool) {
        let mut state = self.shared.state();
        if loaded {
            state.orders.apply(order);
        }
        if let Some(accepted) = state.orders.orders.get_mut(index) {
            accepted.state = if loaded {
                OrderState::Done
            } else {
                OrderState::Failed
            };
        }
    }

    async fn load(&self, order: &Order) -> Result<()> {
        let weights = match order {
            Order::LoadModel(name) | Order::LoadAdapter(name) | Order::LoadVersion(name) => name,
            Order::SetRole(_) => return Ok(()),
        };
        if let Some(store) = self.weight_store {
            let url = format!("http://{store}/weights/{weights}");
            self.fetch(&url).await?;
        }
        tokio::time::sleep(self.load_time).await;
        Ok(())
    }

    /// Fetches weights, and retries while the weight store responds with status 429.
    async fn fetch(&self, url: &str) -> Result<()> {
        for _ in 0..WEIGHT_ATTEMPTS_MAX {
            let request = http_client::request(Method::GET, url, Bytes::new())?;
            let response = self.client.send(request).await?;
            match response.status {
                StatusCode::OK => return Ok(()),
                StatusCode::TOO_MANY_REQUESTS => {
                    let retry_after = response.headers.get(header::RETRY_AFTER);
                    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
                    let backoff = Duration::from_secs(seconds.unwrap_or(1));
                    tokio::time::sleep(backoff.min(WEIGHT_BACKOFF_MAX)).await;
                }
                status => return Err(StandinError::Request(format!("{url}: {status}"))),
            }
        }
        Err(StandinError::Request(format!(
            "{url}: still rate limited after {WEIGHT_ATTEMPTS_MAX} attempts"
        )))
    }
}

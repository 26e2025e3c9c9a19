//! Orders to an engine: to load a model, an adapter or a version, or to change its role.

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

/// Longest wait before the weight store is asked again.
const WEIGHT_RETRY_MAX: Duration = Duration::from_secs(5);
const WEIGHT_ATTEMPTS: u32 = 100;

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// A number below the highest one seen is answered 409.
    #[default]
    Refused,
    /// The number makes no difference.
    Ignored,
}

/// An order and the number that tells old holders from new ones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// Grows with each change of who gives the orders.
    pub fencing_number: u64,
    /// What to do.
    pub order: Order,
}

/// What an engine is told to do; each names what to load, or the role to take.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model in place of the ones served so far.
    LoadModel(String),
    /// Load an adapter, which is then served as one more model.
    LoadAdapter(String),
    /// Load another version of the model.
    LoadVersion(String),
    /// Take a role.
    SetRole(String),
}

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Earlier orders come first.
    Queued,
    /// It is being carried out.
    Running,
    /// It is in force.
    Done,
    /// The weight store did not give what it needed.
    Failed,
}

/// An order that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The order as it was given.
    #[serde(flatten)]
    pub request: OrderRequest,
    /// How far it is.
    pub state: OrderState,
}

/// The orders of an engine and what they made of it; the answer of `GET /orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrdersReport {
    /// Highest fencing number seen.
    pub highest_fencing_number: u64,
    /// Models that are served, adapters among them; with none named, any model is.
    pub models: Vec<String>,
    /// Version that is served; empty before the first order.
    pub version: String,
    /// Role that was taken; empty before the first order.
    pub role: String,
    /// Accepted orders in the order of their arrival.
    pub orders: Vec<AcceptedOrder>,
}

/// The fencing number is lower than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OldFencingNumber;

impl OrdersReport {
    /// Accepts an order and returns its place in the list.
    pub(crate) fn accept(
        &mut self,
        request: OrderRequest,
        fencing: Fencing,
    ) -> std::result::Result<usize, OldFencingNumber> {
        if fencing == Fencing::Refused && request.fencing_number < self.highest_fencing_number {
            return Err(OldFencingNumber);
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

/// Carries out orders one after the other.
pub(crate) struct Loader {
    pub(crate) shared: Arc<Shared>,
    pub(crate) load_time: Duration,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) client: HttpClient,
}

impl Loader {
    pub(crate) async fn run(self, mut accepted: mpsc::UnboundedReceiver<usize>) {
        while let Some(place) = accepted.recv().await {
            let Some(order) = self.start(place) else {
                continue;
            };
            let loaded = self.load(&order).await;
            self.finish(place, &order, loaded.is_ok());
        }
    }

    fn start(&self, place: usize) -> Option<Order> {
        let mut state = self.shared.state();
        let accepted = state.orders.orders.get_mut(place)?;
        accepted.state = OrderState::Running;
        Some(accepted.request.order.clone())
    }

    fn finish(&self, place: usize, order: &Order, loaded: bool) {
        let mut state = self.shared.state();
        if loaded {
            state.orders.apply(order);
        }
        if let Some(accepted) = state.orders.orders.get_mut(place) {
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

    /// Gets weights, and asks again when the store says that it is over its rate.
    async fn fetch(&self, url: &str) -> Result<()> {
        for _ in 0..WEIGHT_ATTEMPTS {
            let request = http_client::request(Method::GET, url, Bytes::new())?;
            let answer = self.client.send(request).await?;
            match answer.status {
                StatusCode::OK => return Ok(()),
                StatusCode::TOO_MANY_REQUESTS => {
                    let retry_after = answer.headers.get(header::RETRY_AFTER);
                    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
                    let wait = Duration::from_secs(seconds.unwrap_or(1));
                    tokio::time::sleep(wait.min(WEIGHT_RETRY_MAX)).await;
                }
                status => return Err(StandinError::Request(format!("{url}: {status}"))),
            }
        }
        Err(StandinError::Request(format!(
            "{url}: over its rate for too long"
        )))
    }
}

//! A store and connections between hosts, with faults and delays that are drawn from a seeded generator.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad_daemon::{
    handoff::{StagingAdopter, TreeSender},
    peer::AdoptHandler,
    platform::{Entry, Expected, KeyValue, Listing, MemoryKeyValue, Put, StoreError, WatchEvent},
};
use burdockroad_proto::peer::AdoptRequest;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, watch};

/// Maximum delay of a late message.
const LATE_DELAY_MAX_MS: u64 = 300;

/// Random number generator that all components of a case share.
#[derive(Clone, Debug)]
pub struct SharedRng(Arc<Mutex<ChaCha8Rng>>);

impl SharedRng {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))))
    }

    /// Returns a random number below `end`.
    pub fn below(&self, end: u64) -> u64 {
        self.0.lock().unwrap().random_range(0..end)
    }

    /// Returns a random item, or `None` if there are no items.
    pub fn choose<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        let position = (!items.is_empty()).then(|| self.below(items.len() as u64))?;
        items.get(usize::try_from(position).unwrap())
    }

    /// Sleeps for a random time below `max_ms`.
    pub async fn delay(&self, max_ms: u64) {
        tokio::time::sleep(Duration::from_millis(self.below(max_ms))).await;
    }
}

/// State of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunState {
    #[default]
    Running,
    Paused,
    /// Tasks that wait at the gate of a crashed process never resume.
    Crashed,
}

/// Gate that blocks a paused or crashed process before and after its requests to the store and to other
/// hosts.
#[derive(Clone, Debug)]
pub struct Gate(watch::Sender<RunState>);

impl Default for Gate {
    fn default() -> Self {
        Self(watch::Sender::new(RunState::Running))
    }
}

impl Gate {
    pub fn set(&self, state: RunState) {
        self.0.send_replace(state);
    }

    pub fn is_paused(&self) -> bool {
        *self.0.borrow() == RunState::Paused
    }

    /// Waits until the process is running.
    pub async fn pass(&self) {
        let mut state = self.0.subscribe();
        // The gate owns the sender, so the wait cannot fail.
        state.wait_for(|state| *state == RunState::Running).await.unwrap();
    }
}

/// One host's connection to the store. Only `get` and `put` have faults and delays, and pass the gate.
#[derive(Clone, Debug)]
pub struct ModelStore {
    pub store: Arc<MemoryKeyValue>,
    pub rng: SharedRng,
    pub gate: Gate,
    pub faults_enabled: watch::Receiver<bool>,
}

impl ModelStore {
    /// Returns a random number below 100, which selects the fault of a request, or 100 for no fault.
    fn draw_fault(&self) -> u64 {
        if *self.faults_enabled.borrow() {
            self.rng.below(100)
        } else {
            100
        }
    }

    /// Sends a write that the store applies after a delay below `delay_max_ms`, even if the sender crashes.
    fn send(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
        delay_max_ms: u64,
    ) -> tokio::task::JoinHandle<Result<Put, StoreError>> {
        let (store, rng, key) = (Arc::clone(&self.store), self.rng.clone(), key.to_owned());
        tokio::spawn(async move {
            rng.delay(delay_max_ms).await;
            store.put(&key, value, expected).await
        })
    }
}

fn ambiguous() -> StoreError {
    StoreError::Ambiguous {
        reason: "model".to_owned(),
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        reason: "model".to_owned(),
        retry_after: Duration::from_millis(10),
    }
}

#[async_trait]
impl KeyValue for ModelStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.gate.pass().await;
        self.rng.delay(10).await;
        let result = match self.draw_fault() {
            0..10 => Err(unavailable()),
            _ => self.store.get(key).await,
        };
        self.rng.delay(10).await;
        self.gate.pass().await;
        result
    }

    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError> {
        self.store.list(prefix, listing).await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError> {
        self.gate.pass().await;
        let outcome = match self.draw_fault() {
            0..8 => Err(unavailable()),
            8..16 => Err(ambiguous()),
            16..24 => {
                let _ = self.send(key, value, expected, 10).await.unwrap();
                Err(ambiguous())
            }
            24..32 => {
                // The write is still in flight when the caller gets the error.
                drop(self.send(key, value, expected, LATE_DELAY_MAX_MS));
                Err(ambiguous())
            }
            _ => self.send(key, value, expected, 10).await.unwrap(),
        };
        self.rng.delay(10).await;
        self.gate.pass().await;
        outcome
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.store.delete(key).await
    }

    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError> {
        self.store.create_after(key, value, predecessor).await
    }

    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        self.store.delete_range(from, to).await
    }

    async fn watch(&self, key: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        self.store.watch(key).await
    }
}

/// Adopter of each host, and the gate of its process, by address.
pub type Adopters = Arc<Mutex<BTreeMap<String, (StagingAdopter, Gate)>>>;

/// One host's connections to the others.
#[derive(Clone, Debug)]
pub struct ModelSender {
    pub adopters: Adopters,
    pub rng: SharedRng,
    pub gate: Gate,
    pub faults_enabled: watch::Receiver<bool>,
}

impl ModelSender {
    /// Delivers a request after a delay below `delay_max_ms`, even if the sender crashes.
    fn deliver(
        &self,
        address: &str,
        request: AdoptRequest,
        delay_max_ms: u64,
    ) -> tokio::task::JoinHandle<bool> {
        let (adopters, rng) = (Arc::clone(&self.adopters), self.rng.clone());
        let address = address.to_owned();
        tokio::spawn(async move {
            rng.delay(delay_max_ms).await;
            let Some((adopter, gate)) = adopters.lock().unwrap().get(&address).cloned() else {
                return false;
            };
            gate.pass().await;
            adopter.adopt(request).await.durable
        })
    }
}

#[async_trait]
impl TreeSender for ModelSender {
    async fn send(&self, address: &str, request: AdoptRequest) -> bool {
        self.gate.pass().await;
        let fault = if *self.faults_enabled.borrow() {
            self.rng.below(100)
        } else {
            100
        };
        if fault < 15 {
            // A duplicate of the message arrives late.
            drop(self.deliver(address, request.clone(), LATE_DELAY_MAX_MS));
        }
        let delivered = match fault {
            15..25 => false,
            25..35 => {
                drop(self.deliver(address, request, LATE_DELAY_MAX_MS));
                false
            }
            _ => {
                let response = self.deliver(address, request, 10);
                let response = tokio::time::timeout(Duration::from_millis(500), response).await;
                matches!(response, Ok(Ok(true)))
            }
        };
        self.gate.pass().await;
        delivered
    }
}

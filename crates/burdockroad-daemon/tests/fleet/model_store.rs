//! A store, and connections between hosts, that fail and delay as a seed says.

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

/// Longest time by which a message is late, in milliseconds.
const LATE_MAX_MS: u64 = 300;

/// Random numbers that all parts of one case share.
#[derive(Clone, Debug)]
pub struct Dice(Arc<Mutex<ChaCha8Rng>>);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))))
    }

    /// A number below `end`.
    pub fn roll(&self, end: u64) -> u64 {
        self.0.lock().unwrap().random_range(0..end)
    }

    pub fn pick<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        let position = (!items.is_empty()).then(|| self.roll(items.len() as u64))?;
        items.get(usize::try_from(position).unwrap())
    }

    pub async fn delay(&self, max_ms: u64) {
        tokio::time::sleep(Duration::from_millis(self.roll(max_ms))).await;
    }
}

/// Whether a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Run {
    #[default]
    Running,
    Paused,
    /// Nothing that waits here ever goes on.
    Crashed,
}

/// Stops a process where it meets the world.
#[derive(Clone, Debug)]
pub struct Gate(watch::Sender<Run>);

impl Default for Gate {
    fn default() -> Self {
        Self(watch::Sender::new(Run::Running))
    }
}

impl Gate {
    pub fn set(&self, run: Run) {
        self.0.send_replace(run);
    }

    pub fn is_paused(&self) -> bool {
        *self.0.borrow() == Run::Paused
    }

    pub async fn pass(&self) {
        let mut run = self.0.subscribe();
        // The sender lives in this gate, so the waiting cannot fail.
        run.wait_for(|run| *run == Run::Running).await.unwrap();
    }
}

/// One host's connection to the store.
#[derive(Clone, Debug)]
pub struct ModelStore {
    pub store: Arc<MemoryKeyValue>,
    pub dice: Dice,
    pub gate: Gate,
    pub faulty: watch::Receiver<bool>,
}

impl ModelStore {
    fn roll(&self) -> u64 {
        if *self.faulty.borrow() {
            self.dice.roll(100)
        } else {
            100
        }
    }

    /// Sends a write that arrives after up to `late_ms`, whatever becomes of its sender.
    fn send(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
        late_ms: u64,
    ) -> tokio::task::JoinHandle<Result<Put, StoreError>> {
        let (store, dice, key) = (Arc::clone(&self.store), self.dice.clone(), key.to_owned());
        tokio::spawn(async move {
            dice.delay(late_ms).await;
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
        self.dice.delay(10).await;
        let found = match self.roll() {
            0..10 => Err(unavailable()),
            _ => self.store.get(key).await,
        };
        self.dice.delay(10).await;
        self.gate.pass().await;
        found
    }

    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError> {
        self.store.list(prefix, listing).await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError> {
        self.gate.pass().await;
        let outcome = match self.roll() {
            0..8 => Err(unavailable()),
            8..16 => Err(ambiguous()),
            16..24 => {
                let _ = self.send(key, value, expected, 10).await.unwrap();
                Err(ambiguous())
            }
            24..32 => {
                // The write goes on its way, and nobody waits for it.
                drop(self.send(key, value, expected, LATE_MAX_MS));
                Err(ambiguous())
            }
            _ => self.send(key, value, expected, 10).await.unwrap(),
        };
        self.dice.delay(10).await;
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

/// Who answers at an address.
pub type Adopters = Arc<Mutex<BTreeMap<String, (StagingAdopter, Gate)>>>;

/// One host's connections to the others.
#[derive(Clone, Debug)]
pub struct ModelSender {
    pub adopters: Adopters,
    pub dice: Dice,
    pub gate: Gate,
    pub faulty: watch::Receiver<bool>,
}

impl ModelSender {
    fn deliver(&self, address: &str, request: AdoptRequest, late_ms: u64) -> tokio::task::JoinHandle<bool> {
        let (adopters, dice) = (Arc::clone(&self.adopters), self.dice.clone());
        let address = address.to_owned();
        tokio::spawn(async move {
            dice.delay(late_ms).await;
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
        let roll = if *self.faulty.borrow() {
            self.dice.roll(100)
        } else {
            100
        };
        if roll < 15 {
            // A second copy of the message comes late.
            drop(self.deliver(address, request.clone(), LATE_MAX_MS));
        }
        let delivered = match roll {
            15..25 => false,
            25..35 => {
                drop(self.deliver(address, request, LATE_MAX_MS));
                false
            }
            _ => {
                let answer = self.deliver(address, request, 10);
                let answer = tokio::time::timeout(Duration::from_millis(500), answer).await;
                matches!(answer, Ok(Ok(true)))
            }
        };
        self.gate.pass().await;
        delivered
    }
}

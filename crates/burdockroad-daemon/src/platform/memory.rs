//! In-memory key-value store with scripted faults, for tests.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::{sync::mpsc, time::sleep};

use crate::platform::{
    Entry, Expected, KeyValue, Listing, Put, Revision, StoreError, VALUE_MAX_BYTES, WatchEvent,
    watches::Watches,
};

/// Backoff after a failed request.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fault that affects one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request succeeds.
    None,
    /// The request does not reach the store, and the caller gets an error that says so.
    Refused,
    /// The request is lost before it reaches the store. The outcome of a write is unknown to the caller.
    RequestLost,
    /// The request takes effect, but its response is lost.
    ReplyLost,
    /// The request succeeds after this delay.
    Slow(Duration),
}

/// In-memory key-value store. [Clients](Self::client) share its contents, and each has its own faults.
///
/// # Example
///
/// ```
/// use burdockroad_daemon::platform::{Expected, Fault, KeyValue, MemoryKeyValue, StoreError};
///
/// # let runtime = tokio::runtime::Runtime::new().unwrap();
/// # runtime.block_on(async {
/// let store = MemoryKeyValue::new();
/// store.script([Fault::ReplyLost]);
/// let lost = store.put("key", "value".into(), Expected::Absent).await;
/// assert!(matches!(lost, Err(StoreError::Ambiguous { .. })));
/// assert!(store.get("key").await.unwrap().is_some());
/// # });
/// ```
#[derive(Debug)]
pub struct MemoryKeyValue {
    table: Arc<Mutex<MemoryTable>>,
    watches: Watches,
    faults: Mutex<Faults>,
}

#[derive(Debug, Default)]
struct MemoryTable {
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    writes: u64,
    reads: u64,
}

#[derive(Debug, Default)]
struct Faults {
    next_writes: VecDeque<Fault>,
    default_fault: Option<Fault>,
}

impl Default for MemoryKeyValue {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryKeyValue {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            watches: Watches::new(),
            faults: Mutex::default(),
        }
    }

    /// Creates another client of the same store, without faults.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            table: Arc::clone(&self.table),
            watches: self.watches.clone(),
            faults: Mutex::default(),
        }
    }

    /// Queues faults for this client's next writes, in order.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults().next_writes.extend(faults);
    }

    /// Sets the fault of every request of this client that has no queued fault.
    pub fn set_fault(&self, fault: Fault) {
        self.faults().default_fault = Some(fault);
    }

    /// Returns the number of writes that reached the store through all clients.
    pub fn write_count(&self) -> u64 {
        self.table().writes
    }

    /// Returns the number of reads that reached the store through all clients.
    pub fn read_count(&self) -> u64 {
        self.table().reads
    }

    fn table(&self) -> MutexGuard<'_, MemoryTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read<T>(&self, operation: impl FnOnce(&mut MemoryTable) -> T + Send) -> Result<T, StoreError> {
        let fault = self.faults().default_fault.unwrap_or(Fault::None);
        match fault {
            Fault::None => {}
            Fault::Slow(delay) => sleep(delay).await,
            Fault::Refused | Fault::RequestLost | Fault::ReplyLost => return Err(scripted_error()),
        }
        let mut table = self.table();
        table.reads += 1;
        Ok(operation(&mut table))
    }

    async fn write<T>(&self, operation: impl FnOnce(&mut MemoryTable) -> T + Send) -> Result<T, StoreError> {
        let fault = self.next_write_fault();
        match fault {
            Fault::None | Fault::ReplyLost => {}
            Fault::Slow(delay) => sleep(delay).await,
            Fault::Refused => return Err(scripted_error()),
            Fault::RequestLost => return Err(scripted_error().into_ambiguous()),
        }
        let result = self.apply(operation);
        if fault == Fault::ReplyLost {
            return Err(scripted_error().into_ambiguous());
        }
        Ok(result)
    }

    fn next_write_fault(&self) -> Fault {
        let mut faults = self.faults();
        let scripted = faults.next_writes.pop_front();
        scripted.or(faults.default_fault).unwrap_or(Fault::None)
    }

    fn apply<T>(&self, operation: impl FnOnce(&mut MemoryTable) -> T) -> T {
        let mut table = self.table();
        table.writes += 1;
        operation(&mut table)
    }
}

#[async_trait]
impl KeyValue for MemoryKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.read(|table| table.entries.get(key).cloned()).await
    }

    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError> {
        self.read(|table| table.list(prefix, listing)).await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(scripted_error());
        }
        let watches = self.watches.clone();
        self.write(|table| table.put(&watches, key, value, expected))
            .await
    }

    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(scripted_error());
        }
        let watches = self.watches.clone();
        self.write(|table| {
            let has_predecessor = table.entries.contains_key(predecessor);
            if !has_predecessor && !table.entries.contains_key(key) {
                return Put::Conflict(None);
            }
            table.put(&watches, key, value, Expected::Absent)
        })
        .await
    }

    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        let watches = self.watches.clone();
        self.write(|table| {
            let range = table.entries.range(from.to_owned()..to.to_owned());
            let keys: Vec<_> = range.map(|(key, _)| key.clone()).collect();
            for key in keys {
                table.delete(&watches, &key);
            }
        })
        .await
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let watches = self.watches.clone();
        self.write(|table| table.delete(&watches, key)).await
    }

    async fn watch(&self, key: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        let watches = self.watches.clone();
        self.read(|_| watches.watch(key)).await
    }
}

impl MemoryTable {
    fn list(&self, prefix: &str, listing: Listing) -> Vec<Entry> {
        let range = self.entries.range(prefix.to_owned()..);
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(_, entry)| match listing {
                Listing::Entries => entry.clone(),
                Listing::Keys => Entry {
                    value: Bytes::new(),
                    ..entry.clone()
                },
            })
            .collect()
    }

    fn put(&mut self, watches: &Watches, key: &str, value: Bytes, expected: Expected) -> Put {
        let existing = self.entries.get(key);
        if !expected.matches(existing) {
            return Put::Conflict(existing.cloned());
        }
        self.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        watches.publish(key, Some(entry));
        Put::Done(self.revision)
    }

    fn delete(&mut self, watches: &Watches, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            watches.publish(key, None);
        }
    }
}

fn scripted_error() -> StoreError {
    StoreError::Unavailable {
        reason: "scripted fault".to_owned(),
        retry_after: RETRY_AFTER,
    }
}

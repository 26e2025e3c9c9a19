//! A key-value store in memory, whose failures can be scripted.

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

/// When a failed call is to be tried again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call goes through.
    None,
    /// The call never reaches the store.
    Refused,
    /// The call is lost on its way; the caller cannot tell.
    RequestLost,
    /// The call takes effect and its reply is lost.
    ReplyLost,
    /// The call goes through after this time.
    Slow(Duration),
}

/// A key-value store in memory; clones share their contents, and each clone has its own faults.
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
    standing: Option<Fault>,
}

impl Default for MemoryKeyValue {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryKeyValue {
    /// Makes an empty store.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            watches: Watches::new(),
            faults: Mutex::default(),
        }
    }

    /// Makes another client of the same store, without faults.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            table: Arc::clone(&self.table),
            watches: self.watches.clone(),
            faults: Mutex::default(),
        }
    }

    /// Sets what happens to this client's next writes, in their order.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults().next_writes.extend(faults);
    }

    /// Sets what happens to every call of this client that no script covers.
    pub fn set_fault(&self, fault: Fault) {
        self.faults().standing = Some(fault);
    }

    /// Writes that reached the store, through all clients.
    pub fn write_count(&self) -> u64 {
        self.table().writes
    }

    /// Reads that reached the store, through all clients.
    pub fn read_count(&self) -> u64 {
        self.table().reads
    }

    fn table(&self) -> MutexGuard<'_, MemoryTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read<T>(&self, job: impl FnOnce(&mut MemoryTable) -> T + Send) -> Result<T, StoreError> {
        let fault = self.faults().standing.unwrap_or(Fault::None);
        match fault {
            Fault::None => {}
            Fault::Slow(time) => sleep(time).await,
            Fault::Refused | Fault::RequestLost | Fault::ReplyLost => return Err(refused()),
        }
        let mut table = self.table();
        table.reads += 1;
        Ok(job(&mut table))
    }

    async fn write<T>(&self, job: impl FnOnce(&mut MemoryTable) -> T + Send) -> Result<T, StoreError> {
        let fault = self.next_write_fault();
        match fault {
            Fault::None | Fault::ReplyLost => {}
            Fault::Slow(time) => sleep(time).await,
            Fault::Refused => return Err(refused()),
            Fault::RequestLost => return Err(refused().into_ambiguous()),
        }
        let result = self.apply(job);
        if fault == Fault::ReplyLost {
            return Err(refused().into_ambiguous());
        }
        Ok(result)
    }

    fn next_write_fault(&self) -> Fault {
        let mut faults = self.faults();
        let scripted = faults.next_writes.pop_front();
        scripted.or(faults.standing).unwrap_or(Fault::None)
    }

    fn apply<T>(&self, job: impl FnOnce(&mut MemoryTable) -> T) -> T {
        let mut table = self.table();
        table.writes += 1;
        job(&mut table)
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
            return Err(refused());
        }
        let watches = self.watches.clone();
        self.write(|table| table.put(&watches, key, value, expected))
            .await
    }

    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(refused());
        }
        let watches = self.watches.clone();
        self.write(|table| {
            let follows = table.entries.contains_key(predecessor);
            if !follows && !table.entries.contains_key(key) {
                return Put::Conflict(None);
            }
            table.put(&watches, key, value, Expected::Absent)
        })
        .await
    }

    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        let watches = self.watches.clone();
        self.write(|table| {
            let held = table.entries.range(from.to_owned()..to.to_owned());
            let keys: Vec<_> = held.map(|(key, _)| key.clone()).collect();
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
        let held = self.entries.range(prefix.to_owned()..);
        let wanted = held.take_while(|(key, _)| key.starts_with(prefix));
        wanted
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
        let held = self.entries.get(key);
        if !expected.matches(held) {
            return Put::Conflict(held.cloned());
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

fn refused() -> StoreError {
    StoreError::Unavailable {
        reason: "scripted fault".to_owned(),
        retry_after: RETRY_AFTER,
    }
}

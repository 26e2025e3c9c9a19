//! Embedded key-value store in the data folder, for a deployment with a single host.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition, TableError};
use tokio::{sync::mpsc, task::spawn_blocking};

use crate::platform::{
    Entry, Expected, KeyValue, Listing, PlatformError, Put, Revision, StoreError, VALUE_MAX_BYTES,
    WatchEvent, watches::Watches,
};

/// File name of the store in the data folder.
const FILE_NAME: &str = "store.redb";

/// Backoff after a disk error.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Table of keys, with the revision of the last change and the value.
const ENTRIES: TableDefinition<'_, &str, (Revision, &[u8])> = TableDefinition::new("entries");

/// Table of the store's counters.
const COUNTERS: TableDefinition<'_, &str, Revision> = TableDefinition::new("counters");

/// Key of the revision counter.
const REVISION: &str = "revision";

/// Key-value store on disk. Each write is durable on disk before it is confirmed.
#[derive(Clone, Debug)]
pub struct EmbeddedKeyValue {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    database: Database,
    watches: Watches,
    /// Lock held from the start of a write until it is published, so that watches see changes in order.
    write_lock: Mutex<()>,
}

impl EmbeddedKeyValue {
    /// Opens the store in a folder, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used or another process has the store open.
    pub fn open(data_folder: &Path) -> Result<Self, PlatformError> {
        let unusable = |reason: String| PlatformError::DataFolder { reason };
        fs::create_dir_all(data_folder).map_err(|cause| unusable(cause.to_string()))?;
        let database =
            Database::create(data_folder.join(FILE_NAME)).map_err(|cause| unusable(cause.to_string()))?;
        let inner = Inner {
            database,
            watches: Watches::new(),
            write_lock: Mutex::new(()),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    async fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce(&Inner) -> Result<T, redb::Error> + Send + 'static,
    ) -> Result<T, StoreError> {
        let inner = Arc::clone(&self.inner);
        let joined = spawn_blocking(move || job(&inner)).await;
        match joined {
            Ok(result) => result.map_err(|cause| unavailable(cause.to_string())),
            Err(cause) => Err(unavailable(cause.to_string())),
        }
    }
}

#[async_trait]
impl KeyValue for EmbeddedKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let key = key.to_owned();
        self.run(move |inner| {
            let transaction = inner.database.begin_read()?;
            match transaction.open_table(ENTRIES) {
                Ok(table) => read(&table, &key),
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                Err(cause) => Err(cause.into()),
            }
        })
        .await
    }

    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError> {
        let prefix = prefix.to_owned();
        self.run(move |inner| {
            let transaction = inner.database.begin_read()?;
            match transaction.open_table(ENTRIES) {
                Ok(table) => read_all(&table, &prefix, listing),
                Err(TableError::TableDoesNotExist(_)) => Ok(Vec::new()),
                Err(cause) => Err(cause.into()),
            }
        })
        .await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(unavailable("the value is too large".to_owned()));
        }
        let key = key.to_owned();
        self.run(move |inner| inner.write(key, value, expected, None))
            .await
            .map_err(StoreError::into_ambiguous)
    }

    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(unavailable("the value is too large".to_owned()));
        }
        let (key, predecessor) = (key.to_owned(), predecessor.to_owned());
        self.run(move |inner| inner.write(key, value, Expected::Absent, Some(&predecessor)))
            .await
            .map_err(StoreError::into_ambiguous)
    }

    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError> {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.run(move |inner| inner.remove_range(&from, &to))
            .await
            .map_err(StoreError::into_ambiguous)
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let key = key.to_owned();
        self.run(move |inner| inner.remove(&key))
            .await
            .map_err(StoreError::into_ambiguous)
    }

    async fn watch(&self, key: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
        Ok(self.inner.watches.watch(key))
    }
}

fn read(
    table: &impl ReadableTable<&'static str, (Revision, &'static [u8])>,
    key: &str,
) -> Result<Option<Entry>, redb::Error> {
    let stored = table.get(key)?;
    Ok(stored.map(|stored| {
        let (revision, value) = stored.value();
        entry(key, revision, value)
    }))
}

fn read_all(
    table: &impl ReadableTable<&'static str, (Revision, &'static [u8])>,
    prefix: &str,
    listing: Listing,
) -> Result<Vec<Entry>, redb::Error> {
    let mut entries = Vec::new();
    for item in table.range(prefix..)? {
        let (key, stored) = item?;
        if !key.value().starts_with(prefix) {
            break;
        }
        let (revision, value) = stored.value();
        let value = match listing {
            Listing::Entries => value,
            Listing::Keys => &[],
        };
        entries.push(entry(key.value(), revision, value));
    }
    Ok(entries)
}

impl Inner {
    fn write(
        &self,
        key: String,
        value: Bytes,
        expected: Expected,
        predecessor: Option<&str>,
    ) -> Result<Put, redb::Error> {
        let _guard = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let transaction = self.database.begin_write()?;
        let revision = {
            let mut entries = transaction.open_table(ENTRIES)?;
            let existing = read(&entries, &key)?;
            if !expected.matches(existing.as_ref()) {
                return Ok(Put::Conflict(existing));
            }
            if let Some(predecessor) = predecessor
                && entries.get(predecessor)?.is_none()
            {
                return Ok(Put::Conflict(None));
            }
            let revision = next_revision(&mut transaction.open_table(COUNTERS)?)?;
            entries.insert(key.as_str(), (revision, &*value))?;
            revision
        };
        transaction.commit()?;
        let entry = Entry { key, value, revision };
        self.watches.publish(&entry.key.clone(), Some(entry));
        Ok(Put::Done(revision))
    }

    fn remove(&self, key: &str) -> Result<(), redb::Error> {
        // The smallest key after this one is the key followed by a zero byte.
        self.remove_range(key, &format!("{key}\0"))
    }

    fn remove_range(&self, from: &str, to: &str) -> Result<(), redb::Error> {
        let _guard = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let transaction = self.database.begin_write()?;
        let mut removed = Vec::new();
        {
            let mut entries = transaction.open_table(ENTRIES)?;
            for item in entries.extract_from_if(from..to, |_, _| true)? {
                removed.push(item?.0.value().to_owned());
            }
            if !removed.is_empty() {
                next_revision(&mut transaction.open_table(COUNTERS)?)?;
            }
        }
        transaction.commit()?;
        for key in removed {
            self.watches.publish(&key, None);
        }
        Ok(())
    }
}

fn next_revision(counters: &mut Table<'_, &'static str, Revision>) -> Result<Revision, redb::Error> {
    let last = counters.get(REVISION)?.map_or(0, |stored| stored.value());
    let next = last + 1;
    counters.insert(REVISION, next)?;
    Ok(next)
}

fn entry(key: &str, revision: Revision, value: &[u8]) -> Entry {
    Entry {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value),
        revision,
    }
}

fn unavailable(reason: String) -> StoreError {
    StoreError::Unavailable {
        reason,
        retry_after: RETRY_AFTER,
    }
}

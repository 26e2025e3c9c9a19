//! Contract of the key-value service. Each case runs against every implementation.

use std::{collections::HashMap, fs, path::Path, sync::Arc, time::Duration};

use burdockroad_daemon::platform::{
    EmbeddedKeyValue, Entry, EtcdKeyValue, Expected, Listing, MemoryKeyValue, Put, Revision, SharedKeyValue,
    WatchEvent,
};
use burdockroad_standins::kv::{KvOptions, KvStandin};
use serde::Deserialize;
use tokio::{runtime::Runtime, sync::mpsc, time::timeout};

/// Timeout of each event of a watch.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    Put {
        key: String,
        value: String,
        /// Name that an earlier step gave to the expected revision. `None` if the key must be absent.
        revision: Option<String>,
        /// Name that later steps use for the new revision.
        name: Option<String>,
        conflict: Option<ExpectedConflict>,
    },
    CreateAfter {
        key: String,
        value: String,
        predecessor: String,
        conflict: Option<ExpectedConflict>,
    },
    DeleteRange {
        from: String,
        to: String,
    },
    Get {
        key: String,
        value: Option<String>,
    },
    List {
        prefix: String,
        entries: Vec<(String, String)>,
    },
    Delete {
        key: String,
    },
    Watch {
        key: String,
    },
    /// Waits until a watch reports a change, and checks the new value.
    Changed {
        key: String,
        value: Option<String>,
    },
    /// Waits until a watch reports progress.
    Progress {
        key: String,
    },
    /// Closes the store and opens it again. Only the embedded store does this.
    Reopen,
}

/// Conflict that a write must report, with the value that the key has.
#[derive(Debug)]
#[derive(Deserialize)]
struct ExpectedConflict {
    value: Option<String>,
}

/// Runner of the steps of one case against one store.
struct CaseRunner {
    store: SharedKeyValue,
    revisions: HashMap<String, Revision>,
    watches: HashMap<String, mpsc::Receiver<WatchEvent>>,
}

impl CaseRunner {
    fn new(store: SharedKeyValue) -> Self {
        Self {
            store,
            revisions: HashMap::new(),
            watches: HashMap::new(),
        }
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Put {
                key,
                value,
                revision,
                name,
                conflict,
            } => {
                let expected = match revision {
                    Some(revision) => Expected::Revision(self.revisions[revision]),
                    None => Expected::Absent,
                };
                let put = self.store.put(key, value.clone().into(), expected).await.unwrap();
                self.check(put, name.as_deref(), conflict.as_ref());
            }
            Step::CreateAfter {
                key,
                value,
                predecessor,
                conflict,
            } => {
                let value = value.clone().into();
                let put = self.store.create_after(key, value, predecessor).await.unwrap();
                self.check(put, None, conflict.as_ref());
            }
            Step::DeleteRange { from, to } => self.store.delete_range(from, to).await.unwrap(),
            Step::Get { key, value } => {
                assert_eq!(text(self.store.get(key).await.unwrap().as_ref()), *value);
            }
            Step::List { prefix, entries } => self.list(prefix, entries).await,
            Step::Delete { key } => self.store.delete(key).await.unwrap(),
            Step::Watch { key } => {
                let watch = self.store.watch(key).await.unwrap();
                self.watches.insert(key.clone(), watch);
            }
            Step::Changed { key, value } => {
                let WatchEvent::Changed(stored) =
                    self.next_event(key, |event| *event != WatchEvent::Progress).await
                else {
                    unreachable!("progress events are skipped")
                };
                assert_eq!(text(stored.as_ref()), *value);
            }
            Step::Progress { key } => {
                self.next_event(key, |event| *event == WatchEvent::Progress).await;
            }
            // `run_embedded` reopens the store.
            Step::Reopen => {}
        }
    }

    fn check(&mut self, put: Put, name: Option<&str>, conflict: Option<&ExpectedConflict>) {
        match (put, conflict) {
            (Put::Done(revision), None) => self.record_revision(name, revision),
            (Put::Conflict(stored), Some(conflict)) => assert_eq!(text(stored.as_ref()), conflict.value),
            (put, _) => panic!("unexpected result {put:?}"),
        }
    }

    fn record_revision(&mut self, name: Option<&str>, revision: Revision) {
        let highest = self.revisions.values().max().copied().unwrap_or(0);
        assert!(revision > highest, "revision {revision} is not above {highest}");
        if let Some(name) = name {
            self.revisions.insert(name.to_owned(), revision);
        }
    }

    async fn list(&self, prefix: &str, expected: &[(String, String)]) {
        let entries = self.store.list(prefix, Listing::Entries).await.unwrap();
        let actual: Vec<_> = entries
            .iter()
            .map(|entry| (entry.key.clone(), text(Some(entry)).unwrap()))
            .collect();
        assert_eq!(actual, expected);
        let keys = self.store.list(prefix, Listing::Keys).await.unwrap();
        assert!(keys.iter().all(|entry| entry.value.is_empty()));
        assert!(
            keys.iter()
                .map(|entry| &entry.key)
                .eq(expected.iter().map(|(key, _)| key))
        );
    }

    /// Returns the next event of a watch for which `matches` is true, and skips the events before it.
    async fn next_event(&mut self, key: &str, matches: impl Fn(&WatchEvent) -> bool) -> WatchEvent {
        let watch = self.watches.get_mut(key).unwrap();
        loop {
            let event = timeout(EVENT_TIMEOUT, watch.recv())
                .await
                .expect("an event arrives before the timeout");
            let event = event.expect("the watch is open");
            if matches(&event) {
                return event;
            }
        }
    }
}

fn text(entry: Option<&Entry>) -> Option<String> {
    entry.map(|entry| String::from_utf8(entry.value.to_vec()).unwrap())
}

async fn run_embedded(steps: &[Step]) {
    let directory = tempfile::tempdir().unwrap();
    let mut runner = CaseRunner::new(Arc::new(EmbeddedKeyValue::open(directory.path()).unwrap()));
    for step in steps {
        if matches!(step, Step::Reopen) {
            // The store must be closed before it is reopened.
            runner.watches.clear();
            runner.store = Arc::new(MemoryKeyValue::new());
            runner.store = Arc::new(EmbeddedKeyValue::open(directory.path()).unwrap());
        }
        runner.step(step).await;
    }
}

async fn run_memory(steps: &[Step]) {
    let mut runner = CaseRunner::new(Arc::new(MemoryKeyValue::new()));
    for step in steps {
        runner.step(step).await;
    }
}

async fn run_etcd(steps: &[Step]) {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let address = format!("http://{}", standin.address());
    let mut runner = CaseRunner::new(Arc::new(EtcdKeyValue::new(&[address]).unwrap()));
    for step in steps {
        runner.step(step).await;
    }
    standin.close().await;
}

fn key_value(path: &Path) -> datatest_stable::Result<()> {
    let steps: Vec<Step> = serde_json::from_str(&fs::read_to_string(path)?)?;
    let runtime = Runtime::new()?;
    runtime.block_on(run_memory(&steps));
    runtime.block_on(run_embedded(&steps));
    runtime.block_on(run_etcd(&steps));
    Ok(())
}

datatest_stable::harness! {
    { test = key_value, root = "tests/key_value", pattern = r"\.json$" },
}

//! Watches of the keys of an in-process store.

use std::time::Duration;

use tokio::{
    sync::{broadcast, mpsc},
    time::{MissedTickBehavior, interval},
};

use crate::platform::{Entry, WatchEvent};

/// Number of changes by which a slow watch may lag before it fails.
const CHANGE_CHANNEL_CAPACITY: usize = 1_024;

/// Interval between two confirmations that a watch is up to date.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Publisher of changes to the watches of their keys.
#[derive(Clone, Debug)]
pub(super) struct Watches {
    changes: broadcast::Sender<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    entry: Option<Entry>,
}

impl Watches {
    pub(super) fn new() -> Self {
        Self {
            changes: broadcast::Sender::new(CHANGE_CHANNEL_CAPACITY),
        }
    }

    /// Publishes the current entry of a key to its watches.
    pub(super) fn publish(&self, key: &str, entry: Option<Entry>) {
        let change = Change {
            key: key.to_owned(),
            entry,
        };
        // The send fails when there are no watches, which is the usual case.
        let _result = self.changes.send(change);
    }

    /// Watches the subsequent changes of one key.
    pub(super) fn watch(&self, key: &str) -> mpsc::Receiver<WatchEvent> {
        let (sender, receiver) = mpsc::channel(CHANGE_CHANNEL_CAPACITY);
        tokio::spawn(forward(self.changes.subscribe(), key.to_owned(), sender));
        receiver
    }
}

async fn forward(mut changes: broadcast::Receiver<Change>, key: String, watch: mpsc::Sender<WatchEvent>) {
    let mut progress = interval(PROGRESS_INTERVAL);
    progress.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            biased;
            () = watch.closed() => return,
            change = changes.recv() => match change {
                Ok(change) if change.key == key => WatchEvent::Changed(change.entry),
                Ok(_) => continue,
                Err(_) => return,
            },
            _ = progress.tick() => WatchEvent::Progress,
        };
        if watch.send(event).await.is_err() {
            return;
        }
    }
}

//! Watches of keys that are kept in this process.

use std::time::Duration;

use tokio::{
    sync::{broadcast, mpsc},
    time::{MissedTickBehavior, interval},
};

use crate::platform::{Entry, WatchEvent};

/// Changes that a slow watch may fall behind before it breaks.
const BACKLOG_CHANGES: usize = 1_024;

/// Time between two confirmations that a watch is up to date.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Passes changes on to the watches of their keys.
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
            changes: broadcast::Sender::new(BACKLOG_CHANGES),
        }
    }

    /// Tells the watches of a key what it holds now.
    pub(super) fn publish(&self, key: &str, entry: Option<Entry>) {
        let change = Change {
            key: key.to_owned(),
            entry,
        };
        // No watch at all is the usual case.
        let _watches = self.changes.send(change);
    }

    /// Watches one key from now on.
    pub(super) fn watch(&self, key: &str) -> mpsc::Receiver<WatchEvent> {
        let (sender, receiver) = mpsc::channel(BACKLOG_CHANGES);
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

//! One version of the document, as this host uses it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use burdockroad::{
    Document, DocumentVersion,
    config::{Freshness, FreshnessTracker, KeyTable, VersionedDocument},
};
use tokio::sync::watch;

/// The document in force, and every change of it.
pub type InForceReceiver = watch::Receiver<Arc<InForce>>;

/// What is known of how current the document is.
pub(super) type SharedTracker = Arc<Mutex<FreshnessTracker>>;

/// One version of the document, as this host uses it.
///
/// Take the newest one from the receiver for each decision; a kept one does not learn of changes.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Version; 0 as long as no document was found.
    pub version: DocumentVersion,
    /// The text, with its comments.
    pub text: String,
    /// What the text says.
    pub document: Document,
    /// The valid keys.
    pub keys: KeyTable,
    tracker: Option<SharedTracker>,
}

impl InForce {
    /// Makes a document that stays as it is and always counts as fresh, for embedding and tests.
    pub fn fixed(versioned: VersionedDocument) -> Self {
        Self {
            version: versioned.version,
            text: versioned.text,
            keys: KeyTable::new(&versioned.document),
            document: versioned.document,
            tracker: None,
        }
    }

    pub(super) fn empty(tracker: SharedTracker) -> Self {
        Self {
            version: 0,
            text: String::new(),
            document: Document::default(),
            keys: KeyTable::default(),
            tracker: Some(tracker),
        }
    }

    pub(super) fn tracked(versioned: VersionedDocument, tracker: SharedTracker) -> Self {
        Self {
            tracker: Some(tracker),
            ..Self::fixed(versioned)
        }
    }

    /// Whether a document was found.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }

    /// Decides whether keys may be accepted by this document now.
    ///
    /// The decision holds for this moment only: a process may be paused at any time.
    pub fn freshness(&self) -> Freshness {
        match &self.tracker {
            Some(tracker) => tracker
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .decide(Instant::now()),
            None => Freshness::Fresh,
        }
    }

    /// Whether keys may be accepted now: the document is current, or nobody can change it.
    pub fn accepts_keys(&self) -> bool {
        self.is_loaded() && self.freshness() != Freshness::CutOff
    }
}

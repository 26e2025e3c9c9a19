//! The document version in force on this host.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use burdockroad::{
    Document, DocumentVersion,
    config::{Freshness, FreshnessTracker, KeyTable, VersionedDocument},
};
use tokio::sync::watch;

/// Receiver of the document in force and of its changes.
pub type InForceReceiver = watch::Receiver<Arc<InForce>>;

/// Shared tracker of the document's freshness.
pub(super) type SharedTracker = Arc<Mutex<FreshnessTracker>>;

/// One version of the document, in the form that this host uses.
///
/// Read the current value from the receiver for each decision. A stored value is not updated when the
/// document changes.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Version of the document, or 0 until a document is found.
    pub version: DocumentVersion,
    /// Text of the document, including comments.
    pub text: String,
    /// Parsed document.
    pub document: Document,
    /// API keys that the document contains and that are not withdrawn.
    pub keys: KeyTable,
    tracker: Option<SharedTracker>,
}

impl InForce {
    /// Creates a document that never changes and is always fresh, for embedding and tests.
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

    /// Returns whether a document was found.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }

    /// Returns the current freshness, which decides whether keys of this document may be accepted now.
    ///
    /// The result is valid only at the time of the call, because the process may be paused at any time.
    pub fn freshness(&self) -> Freshness {
        match &self.tracker {
            Some(tracker) => tracker
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .decide(Instant::now()),
            None => Freshness::Fresh,
        }
    }

    /// Returns whether keys may be accepted now. This requires that the document is confirmed, or that no
    /// host can confirm it, so that it cannot have been changed.
    pub fn accepts_keys(&self) -> bool {
        self.is_loaded() && self.freshness() != Freshness::CutOff
    }
}

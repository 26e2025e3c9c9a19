//! What heartbeats carry of the configuration document.

use std::fmt;

use burdockroad::HostId;
use burdockroad_proto::peer::DocumentFreshness;

/// Passes the document's version, and how recently it was confirmed, between hosts.
pub trait DocumentGossip: fmt::Debug + Send + Sync {
    /// What this host can say of its document.
    fn document_freshness(&self) -> DocumentFreshness;

    /// Takes in what a peer said of its document.
    fn observe_peer(&self, host_id: &HostId, freshness: DocumentFreshness);
}

/// Stands in where no document is watched.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDocument;

impl DocumentGossip for NoDocument {
    fn document_freshness(&self) -> DocumentFreshness {
        DocumentFreshness::default()
    }

    fn observe_peer(&self, _host_id: &HostId, _freshness: DocumentFreshness) {}
}

//! placeholder until the helper lands
use std::sync::Arc;

use burdockroad::{Document, DocumentVersion, config::KeyTable};
use tokio::sync::watch;

/// x
pub type InForceReceiver = watch::Receiver<Arc<InForce>>;

/// x
#[derive(Debug)]
pub struct InForce {
    /// x
    pub version: DocumentVersion,
    /// x
    pub document: Document,
    /// x
    pub keys: KeyTable,
    /// x
    pub accepts_keys: bool,
}

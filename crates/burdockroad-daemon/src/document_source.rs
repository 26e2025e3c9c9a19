//! What quota and dispatch take from the document in force and from the host list.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use burdockroad::{
    AccountId, DocumentVersion, HostId, PoolId,
    config::{Account, EndpointSet, RouteKind},
    quota::Limits,
};
use tokio::sync::watch;

use crate::{config_watch::InForceReceiver, dispatch::PoolSource, quota::AccountLimits};

/// Hosts that are being taken away, by the platform's host list, and every change of them.
pub type LeavingReceiver = watch::Receiver<Arc<BTreeSet<HostId>>>;

/// Weight of an account that the document does not name.
const UNNAMED_WEIGHT: f64 = 1.0;

/// Reads limits, weights and endpoint sets from the document in force.
#[derive(Debug)]
pub struct DocumentSource {
    in_force: InForceReceiver,
    leaving: LeavingReceiver,
    seen: Mutex<Seen>,
}

/// What the last answer was made of.
#[derive(Clone, Debug, Default)]
struct Seen {
    document: DocumentVersion,
    leaving: BTreeSet<HostId>,
    /// Counts the changes of either.
    changes: u64,
}

impl DocumentSource {
    /// Makes a source of the document in force and the leaving hosts.
    pub fn new(in_force: InForceReceiver, leaving: LeavingReceiver) -> Self {
        Self {
            in_force,
            leaving,
            seen: Mutex::default(),
        }
    }

    fn account<T>(&self, account_id: &AccountId, read: impl Fn(&Account) -> T) -> Option<T> {
        let in_force = self.in_force.borrow();
        let mut accounts = in_force.document.accounts.iter();
        accounts.find(|account| account.id == *account_id).map(read)
    }
}

impl AccountLimits for DocumentSource {
    fn limits(&self, account_id: &AccountId) -> Option<Limits> {
        self.account(account_id, |account| Limits {
            rate_per_s: account.rate_per_s,
            burst: account.burst,
        })
    }

    fn weight(&self, account_id: &AccountId) -> f64 {
        self.account(account_id, |account| account.weight)
            .unwrap_or(UNNAMED_WEIGHT)
    }
}

impl PoolSource for DocumentSource {
    fn version(&self) -> u64 {
        let document = self.in_force.borrow().version;
        let leaving = self.leaving.borrow();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.document != document || seen.leaving != **leaving {
            seen.document = document;
            seen.leaving.clone_from(&leaving);
            seen.changes += 1;
        }
        seen.changes
    }

    fn endpoint_sets(&self) -> Vec<EndpointSet> {
        self.in_force.borrow().document.endpoint_sets.clone()
    }

    fn draining_hosts(&self) -> BTreeSet<HostId> {
        self.leaving.borrow().as_ref().clone()
    }

    fn is_engine_pool(&self, pool_id: &PoolId) -> bool {
        let in_force = self.in_force.borrow();
        let mut models = in_force
            .document
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Model);
        models.any(|route| route.endpoint_sets.contains(pool_id))
    }
}

//! Limits, weights and endpoint sets for quota and dispatch, from the document in force and the host list.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use burdockroad::{
    AccountId, DocumentVersion, EndpointId, HostId, PoolId,
    config::{Account, EndpointSet, RouteKind},
    quota::Limits,
};
use tokio::sync::watch;

use crate::{config_watch::InForceReceiver, dispatch::PoolSource, quota::AccountLimits};

/// Receiver of the hosts that are leaving according to the platform's host list, and of their changes.
pub type LeavingReceiver = watch::Receiver<Arc<BTreeSet<HostId>>>;

/// Weight of an account that the document does not contain.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Source of limits, weights and endpoint sets, read from the document in force.
#[derive(Debug)]
pub struct DocumentSource {
    in_force: InForceReceiver,
    leaving: LeavingReceiver,
    last_seen: Mutex<LastSeen>,
}

/// Document version and leaving hosts at the last call of [`PoolSource::version`], and the number of changes
/// seen since the start.
#[derive(Clone, Debug, Default)]
struct LastSeen {
    document: DocumentVersion,
    leaving: BTreeSet<HostId>,
    /// Number of changes, which [`PoolSource::version`] returns.
    change_count: u64,
}

impl DocumentSource {
    /// Creates a source from the document in force and the leaving hosts.
    pub fn new(in_force: InForceReceiver, leaving: LeavingReceiver) -> Self {
        Self {
            in_force,
            leaving,
            last_seen: Mutex::default(),
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
            .unwrap_or(DEFAULT_WEIGHT)
    }
}

impl PoolSource for DocumentSource {
    fn version(&self) -> u64 {
        let document = self.in_force.borrow().version;
        let leaving = self.leaving.borrow();
        let mut last_seen = self.last_seen.lock().unwrap_or_else(PoisonError::into_inner);
        if last_seen.document != document || last_seen.leaving != **leaving {
            last_seen.document = document;
            last_seen.leaving.clone_from(&leaving);
            last_seen.change_count += 1;
        }
        last_seen.change_count
    }

    fn endpoint_sets(&self) -> Vec<EndpointSet> {
        self.in_force.borrow().document.endpoint_sets.clone()
    }

    fn draining_hosts(&self) -> BTreeSet<HostId> {
        self.leaving.borrow().as_ref().clone()
    }

    fn evacuated_domains(&self) -> BTreeSet<String> {
        let in_force = self.in_force.borrow();
        in_force.document.evacuated_domains.iter().cloned().collect()
    }

    fn evacuated_endpoints(&self, pool_id: &PoolId) -> Vec<EndpointId> {
        self.in_force.borrow().document.evacuated_endpoints(pool_id)
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

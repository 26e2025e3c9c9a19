//! Lookup of the route and the account of a call.

use std::{collections::HashMap, sync::Arc};

use crate::gateway::{Account, Document, Route, Service};

/// Index of a [`Document`].
///
/// # Example
///
/// ```
/// use burdockroad::gateway::{Directory, Document};
///
/// let directory = Directory::new(Document::default());
/// assert!(directory.route("example.org", "/a/b").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    version: u64,
    document: Document,
    /// Routes by host name, with the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    accounts: HashMap<String, Arc<Account>>,
    services: HashMap<String, Arc<Service>>,
}

/// Result of an account lookup.
#[derive(Clone, Debug)]
pub enum AccountLookup {
    /// The key belongs to this account.
    Account(Arc<Account>),
    /// The call needs no account.
    Anonymous,
    /// The key is missing or invalid.
    Unknown,
}

impl Directory {
    /// Indexes a document.
    pub fn new(document: Document) -> Self {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut accounts = HashMap::new();
        for account in document.accounts.iter().flatten() {
            let shared = Arc::new(account.clone());
            for key in &account.keys {
                accounts.insert(key.clone(), Arc::clone(&shared));
            }
        }
        let services = document.services.iter();
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        Self {
            version: document.version,
            routes,
            accounts,
            services,
            document,
        }
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route for a request: among the routes of its host name, the one with the longest prefix of
    /// `path`. The port and the letter case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.routes.get(name) {
            Some(found) => found,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        host_routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account that a key belongs to, for a call on `route`.
    pub fn account(&self, route: &Route, key: Option<&str>) -> AccountLookup {
        if let Some(account) = key.and_then(|key| self.accounts.get(key)) {
            return AccountLookup::Account(Arc::clone(account));
        }
        if route.public || self.document.accounts.is_none() {
            return AccountLookup::Anonymous;
        }
        AccountLookup::Unknown
    }

    /// Returns whether the document names a service, on its own or as the target of a route.
    pub fn names_service(&self, name: &str) -> bool {
        let mut routes = self.document.routes.iter();
        self.services.contains_key(name)
            || routes.any(|route| route.targets.iter().any(|target| target.service == name))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

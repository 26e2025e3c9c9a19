//! Data model of the configuration document.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    config::limits::{
        ACCOUNT_WEIGHT_MAX, ACCOUNT_WEIGHT_MIN, ACCOUNTS_MAX, BUDGET_CALLS_MAX, BUDGET_DURATION_MAX_S,
        BUDGET_TOKENS_MAX, BURST_MAX, COMPLETION_TOKENS_MAX, ENDPOINT_SETS_MAX, ENDPOINTS_PER_SET_MAX,
        EVACUATED_DOMAINS_MAX, HASH_PATTERN, KEYS_PER_ACCOUNT_MAX, NAME_PATTERN, RATE_MAX_PER_S,
        RATE_MIN_PER_S, ROUTES_MAX, SITE_WEIGHT_MAX, SITES_MAX, SLOTS_MAX,
    },
    ids::{AccountId, EndpointId, HostId, KeyId, PoolId, RouteId, SiteId},
};

/// Configuration set by the operators, for all hosts of both sites.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Sites that programs can be moved between, with their shares of new programs.
    #[schemars(length(max = SITES_MAX))]
    pub sites: Vec<Site>,
    /// Client accounts.
    #[schemars(length(max = ACCOUNTS_MAX))]
    pub accounts: Vec<Account>,
    /// Routes that callers can use.
    #[schemars(length(max = ROUTES_MAX))]
    pub routes: Vec<Route>,
    /// Sets of endpoints; the endpoints of a set share one queue.
    #[schemars(length(max = ENDPOINT_SETS_MAX))]
    pub endpoint_sets: Vec<EndpointSet>,
    /// Failure domains whose endpoints receive no new calls; each is the domain of at least one endpoint.
    #[serde(default)]
    #[schemars(length(max = EVACUATED_DOMAINS_MAX), inner(regex(pattern = NAME_PATTERN)))]
    pub evacuated_domains: Vec<String>,
    /// Budgets of programs that do not specify their own.
    #[serde(default)]
    pub budget_defaults: BudgetDefaults,
}

impl Document {
    /// Returns the failure domains of all endpoints.
    pub fn failure_domains(&self) -> BTreeSet<&str> {
        let domains = self.endpoints().map(|endpoint| endpoint.failure_domain.as_str());
        domains.collect()
    }

    /// Returns whether new calls to an endpoint are stopped because its failure domain is evacuated. An
    /// endpoint that the document does not contain is in no domain.
    pub fn is_evacuated(&self, endpoint_id: &str) -> bool {
        // Without an evacuation, calls do not pay for the search.
        !self.evacuated_domains.is_empty()
            && self
                .endpoints()
                .any(|endpoint| endpoint.id == endpoint_id && self.is_in_evacuated_domain(endpoint))
    }

    /// Returns the endpoints of a set that are in evacuated failure domains.
    pub fn evacuated_endpoints(&self, pool_id: &PoolId) -> Vec<EndpointId> {
        if self.evacuated_domains.is_empty() {
            return Vec::new();
        }
        let sets = self.endpoint_sets.iter().filter(|set| set.id == *pool_id);
        let evacuated = sets
            .flat_map(|set| &set.endpoints)
            .filter(|endpoint| self.is_in_evacuated_domain(endpoint));
        evacuated.map(|endpoint| endpoint.id.clone()).collect()
    }

    fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoint_sets.iter().flat_map(|set| &set.endpoints)
    }

    /// Returns whether the document allows new calls to an endpoint.
    pub fn accepts_calls(&self, endpoint: &Endpoint) -> bool {
        !endpoint.draining && !self.is_in_evacuated_domain(endpoint)
    }

    fn is_in_evacuated_domain(&self, endpoint: &Endpoint) -> bool {
        self.evacuated_domains.contains(&endpoint.failure_domain)
    }
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: SiteId,
    /// Share of new programs, relative to the weights of the other sites; a site with weight 0 receives
    /// no new programs.
    #[schemars(range(max = SITE_WEIGHT_MAX))]
    pub weight: u32,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: AccountId,
    /// Maximum sustained rate of calls per second, over all hosts.
    #[schemars(range(min = RATE_MIN_PER_S, max = RATE_MAX_PER_S))]
    pub rate_per_s: f64,
    /// Maximum number of calls in a burst after an idle period, over all hosts.
    #[schemars(range(min = 1, max = BURST_MAX))]
    pub burst: u32,
    /// Share of the endpoints under contention, relative to the weights of the other accounts.
    #[serde(default = "default_weight")]
    #[schemars(range(min = ACCOUNT_WEIGHT_MIN, max = ACCOUNT_WEIGHT_MAX))]
    pub weight: f64,
    /// Keys of the account.
    #[serde(default)]
    #[schemars(length(max = KEYS_PER_ACCOUNT_MAX))]
    pub keys: Vec<Key>,
}

/// Key of a caller, stored only as a hash.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public id of the key.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: KeyId,
    /// SHA-256 digest of the complete key, as 64 lower-case hexadecimal digits.
    #[schemars(regex(pattern = HASH_PATTERN))]
    pub sha256: String,
    /// Whether the key was withdrawn, which makes it invalid.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Destination of calls: a model or an ordinary service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route. Callers of a model route also use it as the model name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: RouteId,
    /// Kind of endpoints that serve the route.
    pub kind: RouteKind,
    /// Callers that may use the route.
    #[serde(default)]
    pub access: Access,
    /// Whether calls can safely be run more than once. Completions always count as idempotent.
    #[serde(default)]
    pub idempotent: bool,
    /// Endpoint sets that serve the route, at least one per site.
    #[schemars(length(min = 1, max = ENDPOINT_SETS_MAX))]
    pub endpoint_sets: Vec<PoolId>,
}

/// Kind of endpoints that serve a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines, at `/v1/chat/completions`.
    Model,
    /// Ordinary services, at `/services/{route}/...`.
    Service,
}

/// Callers that may use a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers with a valid key of any account.
    #[default]
    Keyed,
    /// All callers.
    Open,
}

/// A set of endpoints that share one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointSet {
    /// Name of the endpoint set.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: PoolId,
    /// Site of the endpoints.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub site: SiteId,
    /// How the endpoints handle an order, such as one to load a model, with an outdated fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Endpoints of the set.
    #[schemars(length(max = ENDPOINTS_PER_SET_MAX))]
    pub endpoints: Vec<Endpoint>,
}

/// How endpoints handle an order, such as one to load a model, with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Endpoints refuse the order.
    Refused,
    /// Endpoints carry out the order like any other.
    #[default]
    Ignored,
}

/// A process that serves calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: EndpointId,
    /// IP address and port.
    pub address: String,
    /// Host that the endpoint runs on, as named in the platform's host list.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub host_id: HostId,
    /// Failure domain of the endpoint.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub failure_domain: String,
    /// Number of calls that the endpoint can serve concurrently.
    #[schemars(range(min = 1, max = SLOTS_MAX))]
    pub slots: u32,
    /// Whether the operators are draining the endpoint.
    #[serde(default)]
    pub draining: bool,
}

/// Budgets of programs that do not specify their own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetDefaults {
    /// Maximum number of tokens generated for a program and its sub-agents.
    #[schemars(range(min = 1, max = BUDGET_TOKENS_MAX))]
    pub max_tokens: u64,
    /// Maximum number of calls sent by a program and its sub-agents.
    #[schemars(range(min = 1, max = BUDGET_CALLS_MAX))]
    pub max_calls: u32,
    /// Maximum duration of a program from its creation, in seconds.
    #[schemars(range(min = 1, max = BUDGET_DURATION_MAX_S))]
    pub max_duration_s: u64,
    /// Tokens reserved for a completion that does not specify its own limit.
    #[schemars(range(min = 1, max = COMPLETION_TOKENS_MAX))]
    pub completion_max_tokens: u64,
}

impl Default for BudgetDefaults {
    fn default() -> Self {
        Self {
            max_tokens: 220_000,
            max_calls: 530,
            max_duration_s: 3_600,
            completion_max_tokens: 1_024,
        }
    }
}

pub(super) fn default_weight() -> f64 {
    1.0
}

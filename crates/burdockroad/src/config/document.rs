//! Data model of the configuration document.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    config::limits::{
        ACCOUNT_WEIGHT_MAX, ACCOUNT_WEIGHT_MIN, ACCOUNTS_MAX, BUDGET_CALLS_MAX, BUDGET_DURATION_MAX_S,
        BUDGET_TOKENS_MAX, BURST_MAX, COMPLETION_TOKENS_MAX, ENDPOINT_SETS_MAX, ENDPOINTS_PER_SET_MAX,
        HASH_PATTERN, KEYS_PER_ACCOUNT_MAX, NAME_PATTERN, RATE_MAX_PER_S, RATE_MIN_PER_S, ROUTES_MAX,
        SITE_WEIGHT_MAX, SITES_MAX, SLOTS_MAX,
    },
    ids::{AccountId, EndpointId, HostId, KeyId, PoolId, RouteId, SiteId},
};

/// Everything that operators decide, for all hosts and both sites.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sites that work can move between, with their shares of new programs.
    #[schemars(length(max = SITES_MAX))]
    pub sites: Vec<Site>,
    /// The client accounts.
    #[schemars(length(max = ACCOUNTS_MAX))]
    pub accounts: Vec<Account>,
    /// Where calls can go.
    #[schemars(length(max = ROUTES_MAX))]
    pub routes: Vec<Route>,
    /// The endpoints, in sets that each share one queue.
    #[schemars(length(max = ENDPOINT_SETS_MAX))]
    pub endpoint_sets: Vec<EndpointSet>,
    /// Budgets of programs that do not state their own.
    #[serde(default)]
    pub budget_defaults: BudgetDefaults,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: SiteId,
    /// Share of new programs, relative to the other sites' weights; 0 takes no new programs.
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
    /// Calls a second that the account may make, over all hosts.
    #[schemars(range(min = RATE_MIN_PER_S, max = RATE_MAX_PER_S))]
    pub rate_per_s: f64,
    /// Calls that the account may make at once after a pause, over all hosts.
    #[schemars(range(min = 1, max = BURST_MAX))]
    pub burst: u32,
    /// Share of the endpoints under contention, relative to the other accounts' weights.
    #[serde(default = "default_weight")]
    #[schemars(range(min = ACCOUNT_WEIGHT_MIN, max = ACCOUNT_WEIGHT_MAX))]
    pub weight: f64,
    /// The account's keys.
    #[serde(default)]
    #[schemars(length(max = KEYS_PER_ACCOUNT_MAX))]
    pub keys: Vec<Key>,
}

/// One caller's key, of which only a hash is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public name of the key.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: KeyId,
    /// SHA-256 of the whole key, as 64 lower-case hexadecimal digits.
    #[schemars(regex(pattern = HASH_PATTERN))]
    pub sha256: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Where calls can go: a model, or a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route; for a model route also the model name that callers give.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: RouteId,
    /// What answers on the route.
    pub kind: RouteKind,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
    /// Whether a repeated run of a call does no harm. Completions always count as idempotent.
    #[serde(default)]
    pub idempotent: bool,
    /// Endpoint sets that serve the route, one or more a site.
    #[schemars(length(min = 1, max = ENDPOINT_SETS_MAX))]
    pub endpoint_sets: Vec<PoolId>,
}

/// What answers on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines, at `/v1/chat/completions`.
    Model,
    /// Plain services, at `/services/{route}/...`.
    Service,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers with a key of any account.
    #[default]
    Keyed,
    /// Everybody.
    Open,
}

/// Endpoints that share one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointSet {
    /// Name of the set.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: PoolId,
    /// Site that the endpoints stand in.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub site: SiteId,
    /// What the endpoints do with an order that carries an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// The endpoints.
    #[schemars(length(max = ENDPOINTS_PER_SET_MAX))]
    pub endpoints: Vec<Endpoint>,
}

/// What endpoints do with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse it.
    Refused,
    /// They carry it out as any other.
    #[default]
    Ignored,
}

/// One process that answers calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub id: EndpointId,
    /// IP number and port.
    pub address: String,
    /// Host that it runs on, as the platform's host list names it.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub host_id: HostId,
    /// Failure domain that it stands in.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub failure_domain: String,
    /// Calls that it serves at once.
    #[schemars(range(min = 1, max = SLOTS_MAX))]
    pub slots: u32,
    /// Whether the operators are emptying it.
    #[serde(default)]
    pub draining: bool,
}

/// Budgets of programs that do not state their own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetDefaults {
    /// Tokens that engines may generate for a program and its sub-agents.
    #[schemars(range(min = 1, max = BUDGET_TOKENS_MAX))]
    pub max_tokens: u64,
    /// Calls that a program and its sub-agents may send.
    #[schemars(range(min = 1, max = BUDGET_CALLS_MAX))]
    pub max_calls: u32,
    /// Seconds from a program's creation to its end.
    #[schemars(range(min = 1, max = BUDGET_DURATION_MAX_S))]
    pub max_duration_s: u64,
    /// Tokens set aside for a completion that states no limit of its own.
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

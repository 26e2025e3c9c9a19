//! Data model of the configuration document.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, EndpointId, HostId, KeyId, PoolId, RouteId, SiteId};

/// Everything that operators decide, for all hosts and both sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sites that work can move between, with their shares of new programs.
    pub sites: Vec<Site>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// Where calls can go.
    pub routes: Vec<Route>,
    /// The endpoints, in sets that each share one queue.
    pub endpoint_sets: Vec<EndpointSet>,
    /// Budgets of programs that do not state their own.
    #[serde(default)]
    pub budget_defaults: BudgetDefaults,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    pub id: SiteId,
    /// Share of new programs, relative to the other sites' weights; 0 takes no new programs.
    pub weight: u32,
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Calls a second that the account may make, over all hosts.
    pub rate_per_s: f64,
    /// Calls that the account may make at once after a pause, over all hosts.
    pub burst: u32,
    /// Share of the endpoints under contention, relative to the other accounts' weights.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The account's keys.
    #[serde(default)]
    pub keys: Vec<Key>,
}

/// One caller's key, of which only a hash is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public name of the key.
    pub id: KeyId,
    /// SHA-256 of the whole key, as 64 lower-case hexadecimal digits.
    pub sha256: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Where calls can go: a model, or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route; for a model route also the model name that callers give.
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
    pub endpoint_sets: Vec<PoolId>,
}

/// What answers on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines, at `/v1/chat/completions`.
    Model,
    /// Plain services, at `/services/{route}/...`.
    Service,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers with a key of any account.
    #[default]
    Keyed,
    /// Everybody.
    Open,
}

/// Endpoints that share one queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointSet {
    /// Name of the set.
    pub id: PoolId,
    /// Site that the endpoints stand in.
    pub site: SiteId,
    /// What the endpoints do with an order that carries an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// What endpoints do with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse it.
    Refused,
    /// They carry it out as any other.
    #[default]
    Ignored,
}

/// One process that answers calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// IP number and port.
    pub address: String,
    /// Host that it runs on, as the platform's host list names it.
    pub host_id: HostId,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether the operators are emptying it.
    #[serde(default)]
    pub draining: bool,
}

/// Budgets of programs that do not state their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetDefaults {
    /// Tokens that engines may generate for a program and its sub-agents.
    pub max_tokens: u64,
    /// Calls that a program and its sub-agents may send.
    pub max_calls: u32,
    /// Seconds from a program's creation to its end.
    pub max_duration_s: u64,
    /// Tokens set aside for a completion that states no limit of its own.
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

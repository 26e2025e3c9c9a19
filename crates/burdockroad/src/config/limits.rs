//! Limits on counts and numbers in a document, used for validation and in the JSON Schema.

/// JSON Schema pattern for entity names. Validation uses `reader::is_name`.
pub(super) const NAME_PATTERN: &str = "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$";

/// JSON Schema pattern for SHA-256 digests.
pub(super) const HASH_PATTERN: &str = "^[0-9a-f]{64}$";

pub(super) const SITES_MAX: usize = 16;
pub(super) const ACCOUNTS_MAX: usize = 20_000;
pub(super) const KEYS_PER_ACCOUNT_MAX: usize = 64;
pub(super) const ROUTES_MAX: usize = 1_000;
pub(super) const ENDPOINT_SETS_MAX: usize = 1_000;
pub(super) const ENDPOINTS_PER_SET_MAX: usize = 4_096;
pub(super) const EVACUATED_DOMAINS_MAX: usize = 1_000;
pub(super) const SITE_WEIGHT_MAX: u32 = 1_000_000;
pub(super) const RATE_MIN_PER_S: f64 = 0.001;
pub(super) const RATE_MAX_PER_S: f64 = 1_000_000.0;
pub(super) const BURST_MAX: u32 = 1_000_000;
pub(super) const ACCOUNT_WEIGHT_MIN: f64 = 0.001;
pub(super) const ACCOUNT_WEIGHT_MAX: f64 = 1_000.0;
pub(super) const SLOTS_MAX: u32 = 10_000;
pub(super) const BUDGET_TOKENS_MAX: u64 = 1_000_000_000_000;
pub(super) const BUDGET_CALLS_MAX: u32 = 1_000_000;
pub(super) const BUDGET_DURATION_MAX_S: u64 = 30 * 24 * 3_600;
pub(super) const COMPLETION_TOKENS_MAX: u64 = 10_000_000;

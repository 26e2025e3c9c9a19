//! Configuration of a site.

use serde_json::{Value, json};

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Command-line options of each engine stand-in.
    pub engine_options: Vec<&'static str>,
    /// Command-line options of the service stand-in.
    pub service_options: Vec<&'static str>,
    /// Calls that each endpoint serves concurrently.
    pub slots: u32,
    /// Client accounts in the document.
    pub accounts: Vec<AccountOptions>,
    /// Limits in the settings of each daemon that differ from the defaults, as JSON.
    pub limits: Value,
}

/// Client account of a site.
#[derive(Clone, Copy, Debug)]
pub struct AccountOptions {
    /// Id of the account.
    pub id: &'static str,
    /// Admitted calls per second, in total over all hosts.
    pub rate_per_s: f64,
    /// Calls admitted at once, in total over all hosts.
    pub burst: u32,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 2,
            engine_options: vec!["--token-ms", "1"],
            service_options: Vec::new(),
            slots: 8,
            accounts: vec![
                AccountOptions {
                    id: "masters",
                    rate_per_s: 200.0,
                    burst: 200,
                },
                AccountOptions {
                    id: "port-agents",
                    rate_per_s: 200.0,
                    burst: 200,
                },
            ],
            limits: json!({}),
        }
    }
}

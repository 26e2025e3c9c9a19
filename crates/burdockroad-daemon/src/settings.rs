//! Settings of a daemon process.

mod read;

use std::{
    fmt, fs,
    path::{Path, PathBuf},
};

use burdockroad::{HostId, SiteId, config::Finding};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::platform::ListedHost;

/// Settings of a daemon, read from a file in JSON with comments.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// ID of this host in the platform's host list.
    pub host_id: HostId,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Site of this host.
    pub site: SiteId,
    /// IP address and port on which the daemon serves callers.
    pub caller_address: String,
    /// IP address and port on which the daemon serves other daemons.
    pub peer_address: String,
    /// IP address and port on which the daemon serves operators and the load balancer's health checks.
    pub admin_address: String,
    /// Store of coordination state and durable state.
    pub store: StoreSettings,
    /// Source of the list of hosts.
    pub host_list: HostListSettings,
    /// Minimum severity of logged events: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// File to which log lines are appended. Logs go to standard error if it is omitted.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Limits on callers' connections, requests and calls.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or with all faults in its text.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
            path: path.to_owned(),
            reason: cause.to_string(),
        })?;
        Self::parse(&text).map_err(|findings| SettingsError::Invalid {
            path: path.to_owned(),
            findings,
        })
    }

    /// Parses settings from text in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all faults in the text, in order of their position.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        read::parse(text)
    }

    /// Checks a file as `burdockroadd --check` does, and returns a summary of valid settings.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub fn check(path: &Path) -> Result<String, SettingsError> {
        let settings = Self::load(path)?;
        let mut lines = vec![format!(
            "{}: valid; host_id={} failure_domain={} site={}",
            path.display(),
            settings.host_id,
            settings.failure_domain,
            settings.site
        )];
        lines.extend(settings.changed_limits());
        Ok(lines.join("\n"))
    }

    /// Lists the limits that differ from the defaults, as `name=value default=value`.
    pub fn changed_limits(&self) -> Vec<String> {
        let fields = |limits: &LimitSettings| serde_json::to_value(limits).unwrap_or_default();
        let (set, default) = (fields(&self.limits), fields(&LimitSettings::default()));
        let set = set.as_object().into_iter().flatten();
        let changed = set.filter(|(name, value)| default.get(name) != Some(value));
        changed
            .map(|(name, value)| format!("limits.{name}={value} default={}", default[name]))
            .collect()
    }
}

/// Error of loading settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
    /// The text is not valid.
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All faults in the text.
        findings: Vec<Finding>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::Invalid { path, findings } => {
                let lines = findings
                    .iter()
                    .map(|finding| format!("{}:{finding}", path.display()));
                f.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Store of coordination state and durable state.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreSettings {
    /// The platform's key-value service.
    Service {
        /// Addresses of the service, as `http://IP:PORT`.
        addresses: Vec<String>,
    },
    /// An embedded store in the process, for a deployment with a single host.
    Embedded {
        /// Folder of the store's data.
        data_folder: PathBuf,
    },
}

/// Source of the list of hosts.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum HostListSettings {
    /// The platform's host list, read over HTTP.
    Service {
        /// URL of the list, as `http://IP:PORT/path`.
        url: String,
    },
    /// A fixed list.
    Fixed {
        /// The hosts.
        hosts: Vec<ListedHost>,
    },
}

/// Limits on callers' connections, requests and calls.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Memory that the bodies of all requests may take together, in bytes.
    pub bodies_max_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum number of open connections of callers.
    pub connections_max: usize,
    /// Timeout for receiving a request head, in seconds.
    pub head_timeout_s: u64,
    /// Timeout for receiving a request body, in seconds.
    pub body_timeout_s: u64,
    /// Timeout of a call from its arrival to the end of its response, in seconds.
    pub call_timeout_s: u64,
    /// Maximum time that a call waits for its client account's rate limit or for an endpoint, in seconds.
    pub queue_timeout_s: u64,
    /// Maximum time that a daemon waits for running calls at shutdown, in seconds.
    pub shutdown_timeout_s: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
            bodies_max_bytes: 64 * 1024 * 1024,
            head_max_bytes: 32 * 1024,
            connections_max: 4_096,
            head_timeout_s: 10,
            body_timeout_s: 30,
            call_timeout_s: 600,
            queue_timeout_s: 10,
            shutdown_timeout_s: 60,
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

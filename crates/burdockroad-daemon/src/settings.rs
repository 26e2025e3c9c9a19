//! What a process is told when it starts.

mod read;

use std::{
    fmt, fs,
    path::{Path, PathBuf},
};

use burdockroad::{HostId, SiteId, config::Finding};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::platform::ListedHost;

/// Settings of one daemon, read from a file in JSON with comments.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, as the platform's host list gives it.
    pub host_id: HostId,
    /// Failure domain that this host stands in.
    pub failure_domain: String,
    /// Site that this host stands in.
    pub site: SiteId,
    /// IP number and port for callers.
    pub caller_address: String,
    /// IP number and port for other daemons.
    pub peer_address: String,
    /// IP number and port for operators and the balancer's checks.
    pub admin_address: String,
    /// Where agreed and durable state is kept.
    pub store: StoreSettings,
    /// Where the list of hosts comes from.
    pub host_list: HostListSettings,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// File that log lines are appended to; standard error when left out.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or with everything that is wrong with its text.
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

    /// Reads settings from their text, in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the text, in the order of the places.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        read::parse(text)
    }

    /// Checks a file as `burdockroadd --check` does, and returns what it tells about valid settings.
    ///
    /// # Errors
    ///
    /// As for [`load`](Self::load).
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

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// The text is not valid.
    Invalid {
        /// The file.
        path: PathBuf,
        /// Everything that is wrong with it.
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

/// Where agreed and durable state is kept.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreSettings {
    /// The platform's key-value service.
    Service {
        /// Addresses of the service, as `http://IP:PORT`.
        addresses: Vec<String>,
    },
    /// A store inside the process, for a single host.
    Embedded {
        /// Folder that the store is kept in.
        data_folder: PathBuf,
    },
}

/// Where the list of hosts comes from.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum HostListSettings {
    /// The platform's host list, read by HTTP.
    Service {
        /// Address of the list, as `http://IP:PORT/path`.
        url: String,
    },
    /// A fixed list.
    Fixed {
        /// The hosts.
        hosts: Vec<ListedHost>,
    },
}

/// Limits towards callers.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_max_bytes: usize,
    /// Largest request head, in bytes.
    pub head_max_bytes: usize,
    /// Open connections of callers.
    pub connections_max: usize,
    /// Seconds in which a request's head must have arrived.
    pub head_timeout_s: u64,
    /// Seconds in which a request's body must have arrived.
    pub body_timeout_s: u64,
    /// Seconds that a call may take from its arrival to the end of its answer.
    pub call_timeout_s: u64,
    /// Seconds that a call may wait for its account's rate or for an endpoint.
    pub queue_timeout_s: u64,
    /// Seconds that a stopping daemon waits for running calls.
    pub shutdown_timeout_s: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
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

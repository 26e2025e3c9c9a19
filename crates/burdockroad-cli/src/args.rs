//! Parser of the command line.

use std::{env, ffi::OsString, path::PathBuf, str::FromStr, time::Duration};

use burdockroad::DocumentVersion;
use pico_args::Arguments;

use crate::{completions::Shell, error::CliError, help, report::Output};

/// Environment variable with the store addresses, separated by commas; used without `--store`.
const STORE_ENV_VAR: &str = "BURDOCKROAD_STORE";

/// Environment variable with the admin addresses of the hosts, separated by commas; used without `--host`.
const HOSTS_ENV_VAR: &str = "BURDOCKROAD_HOSTS";

/// Default admin port of hosts that come from the host list.
const DEFAULT_ADMIN_PORT: u16 = 8082;

/// Default time to wait until a change is in force, in seconds.
const DEFAULT_WAIT_S: u64 = 10;

/// Parsed command line.
#[derive(Debug)]
pub enum Invocation {
    /// Text to print: the help or the version.
    Help(String),
    /// Command to run, with the options that all commands share.
    Run(Box<Options>, Command),
}

/// Options that all commands share.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the store.
    pub store: Vec<String>,
    /// Data folder of an embedded store.
    pub data_folder: Option<PathBuf>,
    /// Admin addresses of the hosts.
    pub hosts: Vec<String>,
    /// URL of the platform's host list.
    pub host_list: Option<String>,
    /// Admin port of hosts that come from the host list.
    pub admin_port: u16,
    /// Output format.
    pub output: Output,
    /// Maximum time to wait until a change is in force; none to return without waiting.
    pub wait: Option<Duration>,
    /// Whether a change is printed but not stored.
    pub dry_run: bool,
    /// Stored version that the operator expects; a change is refused if the store has another one.
    pub expect_version: Option<DocumentVersion>,
}

/// Command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Validates a file.
    ConfigValidate { file: PathBuf },
    /// Compares a file to the stored document.
    ConfigDiff { file: PathBuf },
    /// Stores a file as the next version.
    ConfigApply { file: PathBuf },
    /// Prints the stored document or an earlier version.
    ConfigShow { version: Option<DocumentVersion> },
    /// Lists the versions in the history.
    ConfigHistory,
    /// Lists accounts.
    AccountList,
    /// Adds an account.
    AccountAdd { id: String, limits: Limits },
    /// Changes an account.
    AccountSet { id: String, limits: Limits },
    /// Removes an account and its keys.
    AccountRemove { id: String },
    /// Issues a key.
    KeyIssue { account: String },
    /// Withdraws a key.
    KeyRevoke { id: String },
    /// Lists keys.
    KeyList { account: Option<String> },
    /// Lists routes.
    RouteList,
    /// Adds a route.
    RouteAdd(RouteOptions),
    /// Removes a route.
    RouteRemove { id: String },
    /// Lists endpoints.
    EndpointList,
    /// Adds or changes an endpoint.
    EndpointSet(EndpointOptions),
    /// Drains an endpoint, or returns it to service.
    EndpointDrain { id: String, undo: bool },
    /// Lists failure domains.
    DomainList,
    /// Stops new calls to the endpoints of a failure domain.
    DomainEvacuate { id: String },
    /// Ends the evacuation of a failure domain.
    DomainRestore { id: String },
    /// Sets the weights of sites for new programs.
    SiteShift { weights: Vec<SiteWeight> },
    /// Lists the programs of all hosts.
    ProgramList { account: Option<String> },
    /// Shows one program.
    ProgramShow { id: String },
    /// Ends one program.
    ProgramEnd { id: String },
    /// Lists the hosts.
    HostList,
    /// Drains a host: it hands its work over to other hosts and accepts no new work.
    HostDrain { address: String },
    /// Prints the status of all hosts, endpoints and accounts.
    Status,
    /// Prints the completion script of a shell.
    Completions { shell: Shell },
}

/// Rate, burst and weight of an account; none for an option that was not given.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Admitted calls per second.
    pub rate_per_s: Option<f64>,
    /// Calls admitted at once.
    pub burst: Option<u32>,
    /// Scheduling weight under contention.
    pub weight: Option<f64>,
}

/// Fields of a new route.
#[derive(Clone, Debug)]
pub struct RouteOptions {
    /// Id of the route.
    pub id: String,
    /// `model` or `service`.
    pub kind: String,
    /// `keyed` or `open`.
    pub access: Option<String>,
    /// Whether its calls may be repeated safely.
    pub idempotent: bool,
    /// Ids of the endpoint sets that serve it.
    pub endpoint_sets: Vec<String>,
}

/// Fields of an endpoint; none for an option that was not given.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Id of its endpoint set.
    pub set: String,
    /// Id of the endpoint.
    pub id: String,
    /// IP address and port.
    pub address: Option<String>,
    /// Id of the host that it runs on.
    pub host_id: Option<String>,
    /// Failure domain that it belongs to.
    pub failure_domain: Option<String>,
    /// Calls that it serves concurrently.
    pub slots: Option<u32>,
}

/// Weight of a site, written as `SITE=WEIGHT`.
#[derive(Clone, Debug)]
pub struct SiteWeight {
    /// Id of the site.
    pub id: String,
    /// Weight of the site among all sites.
    pub weight: u32,
}

impl FromStr for SiteWeight {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("`{text}` does not have the form SITE=WEIGHT");
        let (id, weight) = text.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            id: id.to_owned(),
            weight: weight.parse().map_err(|_not_a_number| invalid())?,
        })
    }
}

/// Parses the arguments, which do not include the name of the executable.
pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, CliError> {
    let mut arguments = Arguments::from_vec(arguments);
    let help_requested = arguments.contains(["-h", "--help"]);
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Help(format!(
            "burdockroad {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let options = options(&mut arguments)?;
    let command_options = CommandOptions::take(&mut arguments)?;
    let words = words(arguments)?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if help_requested || words.is_empty() {
        return Ok(Invocation::Help(help::text(&words)));
    }
    let command = command(&words, command_options)?;
    Ok(Invocation::Run(Box::new(options), command))
}

/// Options that only some commands accept.
#[derive(Debug, Default)]
struct CommandOptions {
    rate: Option<f64>,
    burst: Option<u32>,
    weight: Option<f64>,
    kind: Option<String>,
    access: Option<String>,
    idempotent: bool,
    sets: Vec<String>,
    address: Option<String>,
    host_id: Option<String>,
    failure_domain: Option<String>,
    slots: Option<u32>,
    account: Option<String>,
    version: Option<DocumentVersion>,
    undo: bool,
    /// Names of the options that were given.
    given: Vec<&'static str>,
}

impl CommandOptions {
    fn take(arguments: &mut Arguments) -> Result<Self, CliError> {
        let mut given = Vec::new();
        let options = Self {
            rate: optional(arguments, "--rate", &mut given)?,
            burst: optional(arguments, "--burst", &mut given)?,
            weight: optional(arguments, "--weight", &mut given)?,
            kind: optional(arguments, "--kind", &mut given)?,
            access: optional(arguments, "--access", &mut given)?,
            idempotent: flag(arguments, "--idempotent", &mut given),
            sets: repeated(arguments, "--set", &mut given)?,
            address: optional(arguments, "--address", &mut given)?,
            host_id: optional(arguments, "--host-id", &mut given)?,
            failure_domain: optional(arguments, "--failure-domain", &mut given)?,
            slots: optional(arguments, "--slots", &mut given)?,
            account: optional(arguments, "--account", &mut given)?,
            version: optional(arguments, "--at", &mut given)?,
            undo: flag(arguments, "--undo", &mut given),
            given: Vec::new(),
        };
        Ok(Self { given, ..options })
    }

    /// Returns an error if an option was given that the command does not accept.
    fn check_allowed(&self, allowed: &[&str]) -> Result<(), CliError> {
        match self.given.iter().find(|name| !allowed.contains(name)) {
            Some(name) => Err(CliError::Usage(format!("this command has no option `{name}`"))),
            None => Ok(()),
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            rate_per_s: self.rate,
            burst: self.burst,
            weight: self.weight,
        }
    }
}

fn options(arguments: &mut Arguments) -> Result<Options, CliError> {
    let mut given = Vec::new();
    let wait_s = optional(arguments, "--wait", &mut given)?.unwrap_or(DEFAULT_WAIT_S);
    let no_wait = flag(arguments, "--no-wait", &mut given);
    let output: Option<String> = optional(arguments, "--output", &mut given)?;
    Ok(Options {
        store: values_or_env(repeated(arguments, "--store", &mut given)?, STORE_ENV_VAR),
        data_folder: optional(arguments, "--data-folder", &mut given)?,
        hosts: values_or_env(repeated(arguments, "--host", &mut given)?, HOSTS_ENV_VAR),
        host_list: optional(arguments, "--host-list", &mut given)?,
        admin_port: optional(arguments, "--admin-port", &mut given)?.unwrap_or(DEFAULT_ADMIN_PORT),
        output: match output.as_deref() {
            None | Some("text") => Output::Text,
            Some("json") => Output::Json,
            Some(other) => {
                let reason = format!("`--output {other}` is not valid; allowed: text, json");
                return Err(CliError::Usage(reason));
            }
        },
        wait: (!no_wait).then(|| Duration::from_secs(wait_s)),
        dry_run: flag(arguments, "--dry-run", &mut given),
        expect_version: optional(arguments, "--expect-version", &mut given)?,
    })
}

fn command(words: &[&str], options: CommandOptions) -> Result<Command, CliError> {
    let allowed: &[&str] = match words {
        ["account", "add" | "set", ..] => &["--rate", "--burst", "--weight"],
        ["route", "add", ..] => &["--kind", "--access", "--idempotent", "--set"],
        ["endpoint", "set", ..] => &["--address", "--host-id", "--failure-domain", "--slots"],
        ["endpoint", "drain", ..] => &["--undo"],
        ["key" | "program", "list"] => &["--account"],
        ["config", "show"] => &["--at"],
        _ => &[],
    };
    options.check_allowed(allowed)?;
    let command = match words {
        ["config", "validate", file] => Command::ConfigValidate { file: file.into() },
        ["config", "diff", file] => Command::ConfigDiff { file: file.into() },
        ["config", "apply", file] => Command::ConfigApply { file: file.into() },
        ["config", "show"] => Command::ConfigShow {
            version: options.version,
        },
        ["config", "history"] => Command::ConfigHistory,
        ["account", "list"] => Command::AccountList,
        ["account", "add", id] => Command::AccountAdd {
            id: owned(id),
            limits: options.limits(),
        },
        ["account", "set", id] => Command::AccountSet {
            id: owned(id),
            limits: options.limits(),
        },
        ["account", "remove", id] => Command::AccountRemove { id: owned(id) },
        ["key", "issue", account] => Command::KeyIssue {
            account: owned(account),
        },
        ["key", "revoke", id] => Command::KeyRevoke { id: owned(id) },
        ["key", "list"] => Command::KeyList {
            account: options.account,
        },
        ["route", "list"] => Command::RouteList,
        ["route", "add", id] => Command::RouteAdd(RouteOptions {
            id: owned(id),
            kind: required(options.kind, "--kind")?,
            access: options.access,
            idempotent: options.idempotent,
            endpoint_sets: options.sets,
        }),
        ["route", "remove", id] => Command::RouteRemove { id: owned(id) },
        ["endpoint", "list"] => Command::EndpointList,
        ["endpoint", "set", set, id] => Command::EndpointSet(EndpointOptions {
            set: owned(set),
            id: owned(id),
            address: options.address,
            host_id: options.host_id,
            failure_domain: options.failure_domain,
            slots: options.slots,
        }),
        ["endpoint", "drain", id] => Command::EndpointDrain {
            id: owned(id),
            undo: options.undo,
        },
        ["domain", "list"] => Command::DomainList,
        ["domain", "evacuate", id] => Command::DomainEvacuate { id: owned(id) },
        ["domain", "restore", id] => Command::DomainRestore { id: owned(id) },
        ["site", "shift", weights @ ..] if !weights.is_empty() => Command::SiteShift {
            weights: site_weights(weights)?,
        },
        ["program", "list"] => Command::ProgramList {
            account: options.account,
        },
        ["program", "show", id] => Command::ProgramShow { id: owned(id) },
        ["program", "end", id] => Command::ProgramEnd { id: owned(id) },
        ["host", "list"] => Command::HostList,
        ["host", "drain", address] => Command::HostDrain {
            address: owned(address),
        },
        ["status"] => Command::Status,
        ["completions", shell] => Command::Completions {
            shell: shell.parse().map_err(CliError::Usage)?,
        },
        _ => {
            let reason = format!("there is no command `{}`", words.join(" "));
            return Err(CliError::Usage(reason));
        }
    };
    Ok(command)
}

fn site_weights(words: &[&str]) -> Result<Vec<SiteWeight>, CliError> {
    let weights = words.iter().map(|word| word.parse().map_err(CliError::Usage));
    weights.collect()
}

fn owned(word: &str) -> String {
    word.to_owned()
}

fn required(value: Option<String>, name: &str) -> Result<String, CliError> {
    value.ok_or_else(|| CliError::Usage(format!("the option `{name}` is required")))
}

fn optional<T>(
    arguments: &mut Arguments,
    name: &'static str,
    given: &mut Vec<&'static str>,
) -> Result<Option<T>, CliError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let value = arguments.opt_value_from_str(name).map_err(usage)?;
    given.extend(value.is_some().then_some(name));
    Ok(value)
}

fn repeated(
    arguments: &mut Arguments,
    name: &'static str,
    given: &mut Vec<&'static str>,
) -> Result<Vec<String>, CliError> {
    let values: Vec<String> = arguments.values_from_str(name).map_err(usage)?;
    given.extend((!values.is_empty()).then_some(name));
    Ok(values)
}

fn flag(arguments: &mut Arguments, name: &'static str, given: &mut Vec<&'static str>) -> bool {
    let is_given = arguments.contains(name);
    given.extend(is_given.then_some(name));
    is_given
}

/// Splits the values of an option at commas. Uses an environment variable if the option was not given.
fn values_or_env(values: Vec<String>, variable: &str) -> Vec<String> {
    let values = if values.is_empty() {
        env::var(variable).into_iter().collect()
    } else {
        values
    };
    let parts = values.iter().flat_map(|value| value.split(','));
    parts
        .map(|part| part.trim().to_owned())
        .filter(|part| !part.is_empty())
        .collect()
}

fn words(arguments: Arguments) -> Result<Vec<String>, CliError> {
    let rest = arguments.finish().into_iter();
    rest.map(|word| {
        let word = word
            .into_string()
            .map_err(|word| CliError::Usage(format!("`{}` is not valid UTF-8", word.to_string_lossy())))?;
        if word.starts_with('-') {
            return Err(CliError::Usage(format!("there is no option `{word}`")));
        }
        Ok(word)
    })
    .collect()
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn usage(error: pico_args::Error) -> CliError {
    CliError::Usage(error.to_string())
}

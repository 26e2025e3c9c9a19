//! Reads the command line.

use std::{env, ffi::OsString, path::PathBuf, str::FromStr, time::Duration};

use burdockroad::DocumentVersion;
use pico_args::Arguments;

use crate::{completions::Shell, error::CliError, help, report::Output};

/// Where the store is, when no option says so.
const STORE_VARIABLE: &str = "BURDOCKROAD_STORE";

/// Admin addresses of the hosts, with commas between, when no option says so.
const HOSTS_VARIABLE: &str = "BURDOCKROAD_HOSTS";

/// Port of the admin address of hosts that are taken from the host list.
const ADMIN_PORT: u16 = 8082;

/// Time that a change is waited for.
const WAIT_S: u64 = 10;

/// What the command line asks for.
#[derive(Debug)]
pub enum Request {
    /// To print a text.
    Help(String),
    /// To run a command.
    Run(Box<Options>, Command),
}

/// Options of all commands.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the store.
    pub store: Vec<String>,
    /// Folder of an embedded store.
    pub data_folder: Option<PathBuf>,
    /// Admin addresses of the hosts.
    pub hosts: Vec<String>,
    /// Address of the platform's host list.
    pub host_list: Option<String>,
    /// Port of the admin address of listed hosts.
    pub admin_port: u16,
    /// Form of what is printed.
    pub output: Output,
    /// How long a change is waited for; none not to wait.
    pub wait: Option<Duration>,
    /// Whether a change is only shown.
    pub dry_run: bool,
    /// Version that the operator started from.
    pub expect_version: Option<DocumentVersion>,
}

/// A command with its own arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a file.
    ConfigValidate { file: PathBuf },
    /// Compares a file with the stored document.
    ConfigDiff { file: PathBuf },
    /// Stores a file as the next version.
    ConfigApply { file: PathBuf },
    /// Prints the stored document or an earlier version.
    ConfigShow { version: Option<DocumentVersion> },
    /// Lists earlier versions.
    ConfigHistory,
    /// Lists accounts.
    AccountList,
    /// Adds an account.
    AccountAdd { id: String, limits: Limits },
    /// Changes an account.
    AccountSet { id: String, limits: Limits },
    /// Removes an account and its keys.
    AccountRemove { id: String },
    /// Makes a key.
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
    /// Empties an endpoint, or takes it back.
    EndpointDrain { id: String, undo: bool },
    /// Sets the weights of sites.
    SiteShift { weights: Vec<SiteWeight> },
    /// Lists the programs of all hosts.
    ProgramList { account: Option<String> },
    /// Shows one program.
    ProgramShow { id: String },
    /// Ends one program.
    ProgramEnd { id: String },
    /// Lists the hosts.
    HostList,
    /// Lets a host hand its work over.
    HostDrain { address: String },
    /// Tells how the fleet is.
    Status,
    /// Prints completions of a shell.
    Completions { shell: Shell },
}

/// Rate, burst and weight of an account, as far as given.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Calls a second.
    pub rate_per_s: Option<f64>,
    /// Calls at once.
    pub burst: Option<u32>,
    /// Share under contention.
    pub weight: Option<f64>,
}

/// A new route.
#[derive(Clone, Debug)]
pub struct RouteOptions {
    /// Name.
    pub id: String,
    /// `model` or `service`.
    pub kind: String,
    /// `keyed` or `open`.
    pub access: Option<String>,
    /// Whether its calls may be repeated.
    pub idempotent: bool,
    /// Endpoint sets.
    pub endpoint_sets: Vec<String>,
}

/// An endpoint, as far as given.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Its set.
    pub set: String,
    /// Name.
    pub id: String,
    /// IP number and port.
    pub address: Option<String>,
    /// Host that it runs on.
    pub host_id: Option<String>,
    /// Failure domain that it stands in.
    pub failure_domain: Option<String>,
    /// Calls at once.
    pub slots: Option<u32>,
}

/// Weight of a site, written as `SITE=WEIGHT`.
#[derive(Clone, Debug)]
pub struct SiteWeight {
    /// The site.
    pub id: String,
    /// Its weight.
    pub weight: u32,
}

impl FromStr for SiteWeight {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let form = || format!("`{text}` is not of the form SITE=WEIGHT");
        let (id, weight) = text.split_once('=').ok_or_else(form)?;
        Ok(Self {
            id: id.to_owned(),
            weight: weight.parse().map_err(|_not_a_number| form())?,
        })
    }
}

/// Reads the arguments without the program's name.
pub fn parse(arguments: Vec<OsString>) -> Result<Request, CliError> {
    let mut arguments = Arguments::from_vec(arguments);
    let wants_help = arguments.contains(["-h", "--help"]);
    if arguments.contains(["-V", "--version"]) {
        return Ok(Request::Help(format!(
            "burdockroad {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let options = options(&mut arguments)?;
    let command_options = CommandOptions::take(&mut arguments)?;
    let words = words(arguments)?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if wants_help || words.is_empty() {
        return Ok(Request::Help(help::text(&words)));
    }
    let command = command(&words, command_options)?;
    Ok(Request::Run(Box::new(options), command))
}

/// Options that only some commands have.
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

    /// Refuses options that a command does not have.
    fn allow(&self, allowed: &[&str]) -> Result<(), CliError> {
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
    let wait_s = optional(arguments, "--wait", &mut given)?.unwrap_or(WAIT_S);
    let no_wait = flag(arguments, "--no-wait", &mut given);
    let output: Option<String> = optional(arguments, "--output", &mut given)?;
    Ok(Options {
        store: listed(repeated(arguments, "--store", &mut given)?, STORE_VARIABLE),
        data_folder: optional(arguments, "--data-folder", &mut given)?,
        hosts: listed(repeated(arguments, "--host", &mut given)?, HOSTS_VARIABLE),
        host_list: optional(arguments, "--host-list", &mut given)?,
        admin_port: optional(arguments, "--admin-port", &mut given)?.unwrap_or(ADMIN_PORT),
        output: match output.as_deref() {
            None | Some("text") => Output::Text,
            Some("json") => Output::Json,
            Some(other) => {
                let reason = format!("`--output {other}` is not known; allowed: text, json");
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
    options.allow(allowed)?;
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
            kind: needed(options.kind, "--kind")?,
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

fn needed(value: Option<String>, name: &str) -> Result<String, CliError> {
    value.ok_or_else(|| CliError::Usage(format!("the option `{name}` is needed")))
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

/// Takes the values of an option, or those of an environment variable if there are none.
fn listed(values: Vec<String>, variable: &str) -> Vec<String> {
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
            .map_err(|word| CliError::Usage(format!("`{}` is not valid text", word.to_string_lossy())))?;
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

//! Implementations of the commands, one module for each group.

mod account;
mod change;
mod config;
mod domain;
mod endpoint;
mod host;
mod key;
mod program;
mod route;

use burdockroad::config::Document;
use burdockroad_daemon::{
    platform::{SharedKeyValue, connect, connect_host_list},
    settings::{HostListSettings, StoreSettings},
};
use serde_json::Value;

use crate::{
    apply::Base,
    args::{Command, Options},
    error::CliError,
    hosts::Hosts,
    report::Report,
};

/// Runs one command.
pub async fn run(options: &Options, command: Command) -> Result<Report, CliError> {
    match command {
        Command::ConfigValidate { file } => config::validate(&file),
        Command::ConfigDiff { file } => config::diff(options, &file).await,
        Command::ConfigApply { file } => config::apply(options, &file).await,
        Command::ConfigShow { version } => config::show(options, version).await,
        Command::ConfigHistory => config::history(options).await,
        Command::AccountList => account::list(options).await,
        Command::AccountAdd { id, limits } => account::add(options, &id, limits).await,
        Command::AccountSet { id, limits } => account::set(options, &id, limits).await,
        Command::AccountRemove { id } => change::remove(options, "accounts", &id).await,
        Command::KeyIssue { account } => key::issue(options, &account).await,
        Command::KeyRevoke { id } => key::revoke(options, &id).await,
        Command::KeyList { account } => key::list(options, account.as_deref()).await,
        Command::RouteList => route::list(options).await,
        Command::RouteAdd(route) => route::add(options, &route).await,
        Command::RouteRemove { id } => change::remove(options, "routes", &id).await,
        Command::EndpointList => endpoint::list(options).await,
        Command::EndpointSet(endpoint) => endpoint::set(options, &endpoint).await,
        Command::EndpointDrain { id, undo } => endpoint::drain(options, &id, undo).await,
        Command::DomainList => domain::list(options).await,
        Command::DomainEvacuate { id } => domain::evacuate(options, &id).await,
        Command::DomainRestore { id } => domain::restore(options, &id).await,
        Command::SiteShift { weights } => endpoint::shift_sites(options, &weights).await,
        Command::ProgramList { account } => program::list(options, account.as_deref()).await,
        Command::ProgramShow { id } => program::show(options, &id).await,
        Command::ProgramEnd { id } => program::end(options, &id).await,
        Command::HostList => host::list(options).await,
        Command::HostDrain { address } => host::drain(options, &address).await,
        Command::Status => host::status(options).await,
        Command::Completions { shell } => {
            let script = shell.script();
            Ok(Report::new([script.trim_end().to_owned()], Value::from(script)))
        }
    }
}

/// Opens the store that the options name.
fn open_store(options: &Options) -> Result<SharedKeyValue, CliError> {
    let settings = match &options.data_folder {
        Some(folder) => StoreSettings::Embedded {
            data_folder: folder.clone(),
        },
        None if options.store.is_empty() => {
            let reason = "no store given; use `--store http://IP:PORT` or `--data-folder FOLDER`";
            return Err(CliError::Usage(reason.to_owned()));
        }
        None => StoreSettings::Service {
            addresses: options.store.clone(),
        },
    };
    Ok(connect(&settings)?)
}

/// Reads the stored document.
async fn read_document(options: &Options) -> Result<Document, CliError> {
    let store = open_store(options)?;
    Ok(Base::read(store.as_ref()).await?.versioned.document)
}

/// Returns the hosts that the options or the host list name, or none if there are none.
async fn find_hosts(options: &Options) -> Result<Option<Hosts>, CliError> {
    let Some(url) = &options.host_list else {
        let addresses = options.hosts.clone();
        return Ok((!addresses.is_empty()).then(|| Hosts::new(addresses)));
    };
    let list = connect_host_list(&HostListSettings::Service { url: url.clone() })?;
    let hosts = list.hosts().await?;
    let peers = hosts.iter().filter_map(|host| host.peer_address.rsplit_once(':'));
    let addresses: Vec<String> = peers
        .map(|(ip, _)| format!("{ip}:{}", options.admin_port))
        .collect();
    Ok((!addresses.is_empty()).then(|| Hosts::new(addresses)))
}

/// Returns the hosts for a command that requires them, or a usage error if there are none.
async fn require_hosts(options: &Options) -> Result<Hosts, CliError> {
    let reason = "no hosts given; use `--host IP:PORT` for each host, or `--host-list URL`";
    find_hosts(options)
        .await?
        .ok_or_else(|| CliError::Usage(reason.to_owned()))
}

//! Commands of `burdockroad program`. Only the owner of a program has its state, so the commands send
//! requests to all hosts.

use burdockroad_daemon::admin::ProgramSummary;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::{
    args::Options,
    commands::require_hosts,
    error::{CliError, Exit},
    hosts::{HostResponse, Hosts},
    report::Report,
};

pub(super) async fn list(options: &Options, account: Option<&str>) -> Result<Report, CliError> {
    let hosts = require_hosts(options).await?;
    let target = match account {
        Some(account) => format!("/programs?account={account}"),
        None => "/programs".to_owned(),
    };
    let mut programs: Vec<ProgramSummary> = Vec::new();
    let mut failures = Vec::new();
    for address in hosts.addresses() {
        match hosts.request(address, Method::GET, &target).await {
            Ok(response) => programs.extend(decode::<Vec<ProgramSummary>>(address, &response)?),
            Err(error) => failures.push(error.to_string()),
        }
    }
    programs.sort_by(|a, b| a.program_id.cmp(&b.program_id));
    let mut report = Report::new(programs.iter().map(line), json!(programs));
    if !failures.is_empty() {
        report.exit = Exit::Failed;
        report.notes = failures;
        report
            .notes
            .push("The list is incomplete: these hosts did not respond.".to_owned());
    }
    Ok(report)
}

pub(super) async fn show(options: &Options, id: &str) -> Result<Report, CliError> {
    let hosts = require_hosts(options).await?;
    let target = format!("/programs/{id}");
    let (address, response) = request_owner(&hosts, Method::GET, &target, id).await?;
    let program: ProgramSummary = decode(&address, &response)?;
    let line = format!("{} owner={address}", line(&program));
    Ok(Report::new(
        [line],
        json!({ "owner": address, "program": program }),
    ))
}

pub(super) async fn end(options: &Options, id: &str) -> Result<Report, CliError> {
    let hosts = require_hosts(options).await?;
    let target = format!("/programs/{id}/end");
    let (address, _) = request_owner(&hosts, Method::POST, &target, id).await?;
    let line = format!("{id} was ended by {address}");
    Ok(Report::new([line], json!({ "program_id": id, "owner": address })))
}

/// Sends a request to one host after another until the owner of the program responds with success.
async fn request_owner(
    hosts: &Hosts,
    method: Method,
    target: &str,
    id: &str,
) -> Result<(String, HostResponse), CliError> {
    let mut failures = Vec::new();
    for address in hosts.addresses() {
        match hosts.request(address, method.clone(), target).await {
            Ok(response) if response.status == StatusCode::OK => return Ok((address.clone(), response)),
            Ok(response) if response.status == StatusCode::NOT_FOUND => {}
            Ok(response) => failures.push(format!("{address}: {}", response.status)),
            Err(error) => failures.push(error.to_string()),
        }
    }
    if failures.is_empty() {
        return Err(CliError::Missing(format!("no host owns a program `{id}`")));
    }
    let failures = failures.join("\n");
    Err(CliError::Failed(format!(
        "{failures}\nNone of the other hosts owns `{id}`; its owner may be one of these."
    )))
}

fn decode<T: serde::de::DeserializeOwned>(address: &str, response: &HostResponse) -> Result<T, CliError> {
    serde_json::from_slice(&response.body).map_err(|error| CliError::Failed(format!("{address}: {error}")))
}

fn line(program: &ProgramSummary) -> String {
    format!(
        "{} account={} state={} calls={} spent_tokens={} age_s={}",
        program.program_id,
        program.account_id,
        program.state,
        program.calls,
        program.spent_tokens,
        program.age_s
    )
}

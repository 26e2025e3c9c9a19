//! `burdockroad program`: each program is known to the host that owns it.

use burdockroad_daemon::admin::ProgramSummary;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::{
    args::Options,
    commands::need_hosts,
    error::{CliError, Exit},
    hosts::{Answer, Hosts},
    report::Report,
};

pub(super) async fn list(options: &Options, account: Option<&str>) -> Result<Report, CliError> {
    let hosts = need_hosts(options).await?;
    let target = match account {
        Some(account) => format!("/programs?account={account}"),
        None => "/programs".to_owned(),
    };
    let mut programs: Vec<ProgramSummary> = Vec::new();
    let mut silent = Vec::new();
    for address in hosts.addresses() {
        match hosts.ask(address, Method::GET, &target).await {
            Ok(answer) => programs.extend(decode::<Vec<ProgramSummary>>(address, &answer)?),
            Err(error) => silent.push(error.to_string()),
        }
    }
    programs.sort_by(|a, b| a.program_id.cmp(&b.program_id));
    let mut report = Report::new(programs.iter().map(line), json!(programs));
    if !silent.is_empty() {
        report.exit = Exit::Failed;
        report.notes = silent;
        report
            .notes
            .push("The list is not whole: these hosts did not answer.".to_owned());
    }
    Ok(report)
}

pub(super) async fn show(options: &Options, id: &str) -> Result<Report, CliError> {
    let hosts = need_hosts(options).await?;
    let target = format!("/programs/{id}");
    let (address, answer) = ask_owner(&hosts, Method::GET, &target, id).await?;
    let program: ProgramSummary = decode(&address, &answer)?;
    let line = format!("{} owner={address}", line(&program));
    Ok(Report::new(
        [line],
        json!({ "owner": address, "program": program }),
    ))
}

pub(super) async fn end(options: &Options, id: &str) -> Result<Report, CliError> {
    let hosts = need_hosts(options).await?;
    let target = format!("/programs/{id}/end");
    let (address, _) = ask_owner(&hosts, Method::POST, &target, id).await?;
    let line = format!("{id} was ended by {address}");
    Ok(Report::new([line], json!({ "program_id": id, "owner": address })))
}

/// Asks the hosts until the one answers that owns the program.
async fn ask_owner(
    hosts: &Hosts,
    method: Method,
    target: &str,
    id: &str,
) -> Result<(String, Answer), CliError> {
    let mut silent = Vec::new();
    for address in hosts.addresses() {
        match hosts.ask(address, method.clone(), target).await {
            Ok(answer) if answer.status == StatusCode::OK => return Ok((address.clone(), answer)),
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => {}
            Ok(answer) => silent.push(format!("{address}: {}", answer.status)),
            Err(error) => silent.push(error.to_string()),
        }
    }
    if silent.is_empty() {
        return Err(CliError::Missing(format!("no host owns a program `{id}`")));
    }
    let silent = silent.join("\n");
    Err(CliError::Failed(format!(
        "{silent}\nNo other host owns `{id}`; its owner may be one of these."
    )))
}

fn decode<T: serde::de::DeserializeOwned>(address: &str, answer: &Answer) -> Result<T, CliError> {
    serde_json::from_slice(&answer.body).map_err(|error| CliError::Failed(format!("{address}: {error}")))
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

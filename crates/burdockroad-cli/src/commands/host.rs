//! `burdockroad host` and `burdockroad status`.

use burdockroad_daemon::admin::Status;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::{
    args::Options,
    commands::need_hosts,
    error::{CliError, Exit},
    hosts::Hosts,
    report::Report,
};

/// One host and what it answered.
struct Asked {
    address: String,
    status: Result<Status, CliError>,
}

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let asked = ask_all(&need_hosts(options).await?).await;
    Ok(report(&asked, asked.iter().map(host_line).collect()))
}

pub(super) async fn status(options: &Options) -> Result<Report, CliError> {
    let asked = ask_all(&need_hosts(options).await?).await;
    let mut lines: Vec<String> = asked.iter().map(host_line).collect();
    for status in asked.iter().filter_map(|asked| asked.status.as_ref().ok()) {
        lines.extend(status.endpoints.iter().map(|endpoint| {
            format!(
                "endpoint {} pool={} busy={}/{} state={} owner={}",
                endpoint.endpoint_id,
                endpoint.pool_id,
                endpoint.busy_slots,
                endpoint.slots,
                endpoint.state,
                status.host_id
            )
        }));
        lines.extend(status.worst_served.iter().map(|service| {
            format!(
                "account {} program_p99_ms={} queue_p99_ms={} refused_inside_rate={} refused_over_rate={} host={}",
                service.account_id,
                service.program_p99_ms,
                service.queue_p99_ms,
                service.refused_inside_rate,
                service.refused_over_rate,
                status.host_id
            )
        }));
    }
    Ok(report(&asked, lines))
}

pub(super) async fn drain(options: &Options, address: &str) -> Result<Report, CliError> {
    let hosts = match need_hosts(options).await {
        Ok(hosts) => hosts,
        Err(CliError::Usage(_)) => Hosts::new(vec![address.to_owned()]),
        Err(error) => return Err(error),
    };
    let answer = hosts.ask(address, Method::POST, "/drain").await?;
    if answer.status != StatusCode::ACCEPTED {
        return Err(CliError::Failed(format!("{address}: {}", answer.status)));
    }
    let line = format!("{address} hands its work over; `burdockroad status` shows when it owns nothing more");
    Ok(Report::new(
        [line],
        json!({ "address": address, "draining": true }),
    ))
}

async fn ask_all(hosts: &Hosts) -> Vec<Asked> {
    let asked = hosts.addresses().iter().map(|address| async move {
        Asked {
            address: address.clone(),
            status: hosts.status(address).await,
        }
    });
    futures_util::future::join_all(asked).await
}

fn report(asked: &[Asked], lines: Vec<String>) -> Report {
    let hosts: Vec<Value> = asked.iter().map(host_json).collect();
    let mut report = Report::new(lines, json!({ "hosts": hosts }));
    if asked.iter().any(|asked| asked.status.is_err()) {
        report.exit = Exit::Failed;
    }
    report
}

fn host_line(asked: &Asked) -> String {
    match &asked.status {
        Ok(status) => format!(
            "host {} admin={} document={} freshness={} ownership={} partitions={} open_programs={} peers_heard={} draining={}",
            status.host_id,
            asked.address,
            status.document.version,
            status.document.freshness,
            status.ownership.version,
            status.ownership.partitions,
            status.ownership.open_programs,
            status.ownership.peers_heard.len(),
            status.draining
        ),
        Err(error) => format!("host ? admin={} error={:?}", asked.address, error.to_string()),
    }
}

fn host_json(asked: &Asked) -> Value {
    match &asked.status {
        Ok(status) => json!({ "address": asked.address, "status": status }),
        Err(error) => json!({ "address": asked.address, "error": error.to_string() }),
    }
}

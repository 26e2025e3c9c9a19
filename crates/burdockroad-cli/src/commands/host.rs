//! Commands of `burdockroad host`, and `burdockroad status`.

use burdockroad_daemon::admin::Status;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::{
    args::Options,
    commands::require_hosts,
    error::{CliError, Exit},
    hosts::Hosts,
    report::Report,
};

/// Admin address of a host with its status, or the error of the request for it.
struct HostStatus {
    address: String,
    status: Result<Status, CliError>,
}

pub(super) async fn list(options: &Options) -> Result<Report, CliError> {
    let statuses = fetch_statuses(&require_hosts(options).await?).await;
    Ok(report(&statuses, statuses.iter().map(host_line).collect()))
}

pub(super) async fn status(options: &Options) -> Result<Report, CliError> {
    let statuses = fetch_statuses(&require_hosts(options).await?).await;
    let mut lines: Vec<String> = statuses.iter().map(host_line).collect();
    for status in statuses.iter().filter_map(|host| host.status.as_ref().ok()) {
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
        lines.extend(status.worst_served.iter().map(|account| {
            format!(
                "account {} program_p99_ms={} queue_p99_ms={} refused_inside_rate={} refused_over_rate={} host={}",
                account.account_id,
                account.program_p99_ms,
                account.queue_p99_ms,
                account.refused_inside_rate,
                account.refused_over_rate,
                status.host_id
            )
        }));
    }
    Ok(report(&statuses, lines))
}

pub(super) async fn drain(options: &Options, address: &str) -> Result<Report, CliError> {
    let hosts = match require_hosts(options).await {
        Ok(hosts) => hosts,
        // The command line names the host to drain, so the list of hosts is optional.
        Err(CliError::Usage(_)) => Hosts::new(vec![address.to_owned()]),
        Err(error) => return Err(error),
    };
    let response = hosts.request(address, Method::POST, "/drain").await?;
    if response.status != StatusCode::ACCEPTED {
        return Err(CliError::Failed(format!("{address}: {}", response.status)));
    }
    let line = format!(
        "{address} is draining; `burdockroad status` shows the partitions and programs that it still owns"
    );
    Ok(Report::new(
        [line],
        json!({ "address": address, "draining": true }),
    ))
}

async fn fetch_statuses(hosts: &Hosts) -> Vec<HostStatus> {
    let statuses = hosts.addresses().iter().map(|address| async move {
        HostStatus {
            address: address.clone(),
            status: hosts.status(address).await,
        }
    });
    futures_util::future::join_all(statuses).await
}

fn report(statuses: &[HostStatus], lines: Vec<String>) -> Report {
    let hosts: Vec<Value> = statuses.iter().map(host_json).collect();
    let mut report = Report::new(lines, json!({ "hosts": hosts }));
    if statuses.iter().any(|host| host.status.is_err()) {
        report.exit = Exit::Failed;
    }
    report
}

fn host_line(host_status: &HostStatus) -> String {
    match &host_status.status {
        Ok(status) => format!(
            "host {} admin={} document={} freshness={} ownership={} partitions={} open_programs={} peers_heard={} draining={}",
            status.host_id,
            host_status.address,
            status.document.version,
            status.document.freshness,
            status.ownership.version,
            status.ownership.partitions,
            status.ownership.open_programs,
            status.ownership.peers_heard.len(),
            status.draining
        ),
        Err(error) => format!(
            "host ? admin={} error={:?}",
            host_status.address,
            error.to_string()
        ),
    }
}

fn host_json(host_status: &HostStatus) -> Value {
    match &host_status.status {
        Ok(status) => json!({ "address": host_status.address, "status": status }),
        Err(error) => json!({ "address": host_status.address, "error": error.to_string() }),
    }
}

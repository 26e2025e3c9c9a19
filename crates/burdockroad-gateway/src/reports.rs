//! Telling the other hosts what this one admits.
//!
//! A report is cumulative and small, so it goes as one datagram: a lost one is made up for by the next.
//! A stream to each host was refused, since a report that waits for a lost one is worth nothing.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId,
    gateway::{EndpointCalls, HostUse, UseReport},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use crate::shared::Shared;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Accounts in one datagram, which keeps it below the usual size of a packet.
const ACCOUNTS_MAX: usize = 24;

/// Largest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 4096;

/// A report on the wire.
#[derive(Serialize, Deserialize)]
struct WireReport {
    host: String,
    incarnation: u64,
    /// Time since the host's process started, in milliseconds.
    running_ms: u64,
    /// Whether the store serves the host itself.
    store_serves: bool,
    /// Calls at endpoints, in the first datagram of a report.
    in_flight: Option<Vec<WireCalls>>,
    accounts: Vec<WireUse>,
}

/// One account's calls; the names are short, since a report goes to every host seven times a second.
#[derive(Serialize, Deserialize)]
struct WireUse {
    #[serde(rename = "n")]
    account: String,
    #[serde(rename = "a")]
    admitted: u64,
    #[serde(rename = "d")]
    demand_per_s: f32,
    #[serde(rename = "r")]
    running_per_s: f32,
    #[serde(rename = "b")]
    begun_per_s: f32,
    #[serde(rename = "l")]
    level: f32,
}

/// Calls in flight at one endpoint.
#[derive(Serialize, Deserialize)]
struct WireCalls {
    #[serde(rename = "e")]
    endpoint: EndpointId,
    #[serde(rename = "c")]
    calls: u32,
}

/// Opens the socket that reports go through.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(address).await?))
}

/// Sends reports as long as the host runs.
pub(crate) async fn send_reports(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (report, in_flight) = {
            let mut tables = shared.tables();
            let now = Instant::now();
            let report = tables.allowances.report(&shared.host, shared.incarnation, now);
            (report, tables.endpoints.all_in_flight())
        };
        let addresses: Vec<SocketAddr> = shared.peers.borrow().values().copied().collect();
        for datagram in datagrams(&report, in_flight, shared.store.is_served()) {
            for address in &addresses {
                // The next report makes up for one that could not be sent.
                if socket.send_to(&datagram, address).await.is_err() {
                    metrics::counter!("burdockroad_reports_unsent_total").increment(1);
                }
            }
        }
    }
}

/// Takes in the reports of other hosts.
pub(crate) async fn receive_reports(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            tokio::time::sleep(REPORT_INTERVAL).await;
            continue;
        };
        match serde_json::from_slice::<WireReport>(&buffer[..length]) {
            Ok(report) => {
                let now = Instant::now();
                shared.store.note_peer(from, report.store_serves, now);
                let mut tables = shared.tables();
                if let Some(in_flight) = report.calls() {
                    tables.endpoints.note_peer(&report.host, &in_flight, now);
                }
                tables.allowances.note_report(&report.decode(), now);
            }
            Err(_malformed) => {
                metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            }
        }
    }
}

impl WireReport {
    fn calls(&self) -> Option<Vec<EndpointCalls>> {
        let told = self.in_flight.as_ref()?.iter().map(|told| EndpointCalls {
            endpoint: told.endpoint.clone(),
            calls: told.calls,
        });
        Some(told.collect())
    }

    fn decode(self) -> UseReport {
        let accounts = self.accounts.into_iter();
        let accounts = accounts.map(|used| HostUse {
            account: used.account,
            admitted: used.admitted,
            demand_per_s: f64::from(used.demand_per_s),
            running_per_s: f64::from(used.running_per_s),
            begun_per_s: f64::from(used.begun_per_s),
            level: f64::from(used.level),
        });
        UseReport {
            host: self.host,
            incarnation: self.incarnation,
            running_for: Duration::from_millis(self.running_ms),
            accounts: accounts.collect(),
        }
    }
}

fn datagrams(report: &UseReport, in_flight: Vec<EndpointCalls>, store_serves: bool) -> Vec<Vec<u8>> {
    let used: Vec<&HostUse> = report
        .accounts
        .iter()
        .filter(|used| used.demand_per_s > 0.01)
        .collect();
    let mut chunks: Vec<&[&HostUse]> = used.chunks(ACCOUNTS_MAX).collect();
    if chunks.is_empty() {
        // An empty report still shows that the host is there.
        chunks.push(&[]);
    }
    let running_ms = u64::try_from(report.running_for.as_millis()).unwrap_or(u64::MAX);
    let in_flight = in_flight.into_iter().map(|told| WireCalls {
        endpoint: told.endpoint,
        calls: told.calls,
    });
    let mut in_flight = Some(in_flight.collect());
    let datagrams = chunks.into_iter().map(|chunk| WireReport {
        host: report.host.clone(),
        incarnation: report.incarnation,
        running_ms,
        store_serves,
        in_flight: in_flight.take(),
        accounts: chunk.iter().map(|used| wire_use(used)).collect(),
    });
    datagrams
        .filter_map(|wire| serde_json::to_vec(&wire).ok())
        .collect()
}

#[expect(clippy::cast_possible_truncation, reason = "demand and level are estimates")]
fn wire_use(used: &HostUse) -> WireUse {
    WireUse {
        account: used.account.clone(),
        admitted: used.admitted,
        demand_per_s: used.demand_per_s as f32,
        running_per_s: used.running_per_s as f32,
        begun_per_s: used.begun_per_s as f32,
        level: used.level as f32,
    }
}

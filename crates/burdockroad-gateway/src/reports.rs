//! Telling the other hosts what this one admits.
//!
//! It goes to each host of the own failure domain, and to one of each other, which passes it on: bytes
//! between failure domains are paid for. A report is cumulative and small, so it goes as one datagram: a
//! lost one is made up for by the next. A stream to each host was refused, since a report that waits for a
//! lost one is worth nothing.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId, HostId,
    gateway::{EndpointCalls, HostLocation, AccountUsage, UsageReport, report_targets},
};
use burdockroad_daemon::platform::Revision;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use crate::{
    follow::{ToldRange, watched_ranges},
    shared::{Shared, Tables},
};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Accounts in one datagram, which keeps it below the usual size of a packet.
const ACCOUNTS_MAX: usize = 24;

/// Largest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 4096;

/// First byte of a datagram that is for its receiver.
const FINAL: u8 = 0;

/// First byte of a datagram that its receiver passes on in its failure domain.
const PASS_ON: u8 = 1;

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
    /// Ranges that the host watches, in the first datagram of a report.
    ranges: Vec<WireRange>,
    accounts: Vec<WireUse>,
}

/// How far a host knows a range of the store.
#[derive(Serialize, Deserialize)]
struct WireRange {
    #[serde(rename = "p")]
    prefix: String,
    #[serde(rename = "c")]
    changed_at: Revision,
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
    started_per_s: f32,
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
    // Hosts that started together do not all choose the same one to pass their reports on.
    let mut turn = rand::random::<u16>().into();
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.report_now.notified() => {}
        }
        turn += 1;
        let (near, far) = addresses(&shared, turn);
        for report in wire_reports(&shared) {
            send_all(&socket, FINAL, &report, &near).await;
            send_all(&socket, PASS_ON, &report, &far).await;
        }
    }
}

/// Hosts of this failure domain, and those that pass reports on in the others.
fn addresses(shared: &Shared, turn: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let peers = shared.peers.borrow();
    let places: Vec<HostLocation> = peers
        .iter()
        .map(|(host, peer)| HostLocation {
            host: host.clone(),
            failure_domain: peer.failure_domain.clone(),
        })
        .collect();
    let targets = report_targets(&shared.failure_domain, &places, turn);
    let targets = targets.iter().filter_map(|host| peers.get(host));
    let (near, far): (Vec<_>, Vec<_>) =
        targets.partition(|peer| peer.failure_domain == shared.failure_domain);
    let of = |peers: Vec<&crate::hosts::Peer>| peers.into_iter().map(|peer| peer.address).collect();
    (of(near), of(far))
}

async fn send_all(socket: &UdpSocket, kind: u8, report: &[u8], addresses: &[SocketAddr]) {
    let mut datagram = Vec::with_capacity(report.len() + 1);
    datagram.push(kind);
    datagram.extend_from_slice(report);
    for address in addresses {
        // The next report makes up for one that could not be sent.
        if socket.send_to(&datagram, address).await.is_err() {
            metrics::counter!("burdockroad_reports_unsent_total").increment(1);
        }
    }
}

/// Takes in the reports of other hosts, and passes on what came for all of this failure domain.
pub(crate) async fn receive_reports(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, _from)) = socket.recv_from(&mut buffer).await else {
            metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            tokio::time::sleep(REPORT_INTERVAL).await;
            continue;
        };
        let Some((kind, bytes)) = buffer[..length].split_first() else {
            metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            continue;
        };
        let Ok(report) = ciborium::from_reader::<WireReport, _>(bytes) else {
            metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            continue;
        };
        if *kind == PASS_ON {
            let (near, _far) = addresses(&shared, 0);
            send_all(&socket, FINAL, bytes, &near).await;
        }
        take_in(&shared, report);
    }
}

/// Takes in a report; one of a host that is not registered says nothing.
fn take_in(shared: &Shared, report: WireReport) {
    let now = Instant::now();
    let address = shared.peers.borrow().get(&report.host).map(|peer| peer.address);
    let Some(address) = address else {
        return;
    };
    shared.store.record_peer(address, report.store_serves, now);
    let mut tables = shared.tables();
    if let Some(in_flight) = report.calls() {
        tables.endpoints.record_peer(&report.host, &in_flight, now);
    }
    let told_more = tables.note_ranges(&report.ranges, address, now);
    tables.rate_limiter.record_report(&report.decode(), now);
    drop(tables);
    if told_more {
        shared.range_told.notify_waiters();
    }
}

impl Tables {
    /// Notes how far another host knows the ranges; whether that is further than was told before.
    fn note_ranges(&mut self, ranges: &[WireRange], address: SocketAddr, now: Instant) -> bool {
        let mut told_more = false;
        for range in ranges {
            let told = ToldRange {
                address,
                changed_at: range.changed_at,
                heard_at: now,
            };
            match self.told_ranges.get_mut(&range.prefix) {
                Some(known) if known.changed_at >= told.changed_at => known.heard_at = now,
                _ => {
                    self.told_ranges.insert(range.prefix.clone(), told);
                    told_more = true;
                }
            }
        }
        told_more
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

    fn decode(self) -> UsageReport {
        let accounts = self.accounts.into_iter();
        let accounts = accounts.map(|used| AccountUsage {
            account: used.account,
            admitted: used.admitted,
            demand_per_s: f64::from(used.demand_per_s),
            running_per_s: f64::from(used.running_per_s),
            started_per_s: f64::from(used.started_per_s),
            level: f64::from(used.level),
        });
        UsageReport {
            host: self.host,
            incarnation: self.incarnation,
            uptime: Duration::from_millis(self.running_ms),
            accounts: accounts.collect(),
        }
    }
}

/// This host's report, in as many datagrams as its accounts need.
fn wire_reports(shared: &Shared) -> Vec<Vec<u8>> {
    let ranges = watched_ranges(shared).into_iter();
    let ranges = ranges.map(|(prefix, changed_at)| WireRange { prefix, changed_at });
    let store_serves = shared.store.is_served();
    let mut tables = shared.tables();
    let now = Instant::now();
    let report = tables.rate_limiter.report(&shared.host, shared.incarnation, now);
    let in_flight = tables.endpoints.all_in_flight();
    drop(tables);
    let used = report.accounts.iter().filter(|used| used.demand_per_s > 0.01);
    let used: Vec<WireUse> = used.map(wire_use).collect();
    let mut chunks = split(used);
    let first = WireReport {
        in_flight: Some(in_flight.into_iter().map(WireCalls::from).collect()),
        ranges: ranges.collect(),
        ..wire_report(
            &shared.host,
            &report,
            store_serves,
            chunks.pop().unwrap_or_default(),
        )
    };
    let rest = chunks
        .into_iter()
        .map(|chunk| wire_report(&shared.host, &report, store_serves, chunk));
    std::iter::once(first)
        .chain(rest)
        .filter_map(|report| encode(&report))
        .collect()
}

fn split(mut used: Vec<WireUse>) -> Vec<Vec<WireUse>> {
    let mut chunks = Vec::new();
    while used.len() > ACCOUNTS_MAX {
        chunks.push(used.split_off(used.len() - ACCOUNTS_MAX));
    }
    chunks.push(used);
    chunks
}

fn wire_report(host: &HostId, report: &UsageReport, store_serves: bool, accounts: Vec<WireUse>) -> WireReport {
    WireReport {
        host: host.clone(),
        incarnation: report.incarnation,
        running_ms: u64::try_from(report.uptime.as_millis()).unwrap_or(u64::MAX),
        store_serves,
        in_flight: None,
        ranges: Vec::new(),
        accounts,
    }
}

fn encode(report: &WireReport) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    if ciborium::into_writer(report, &mut bytes).is_err() {
        metrics::counter!("burdockroad_reports_unsent_total").increment(1);
        return None;
    }
    Some(bytes)
}

impl From<EndpointCalls> for WireCalls {
    fn from(told: EndpointCalls) -> Self {
        Self {
            endpoint: told.endpoint,
            calls: told.calls,
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "demand and level are estimates")]
fn wire_use(used: &AccountUsage) -> WireUse {
    WireUse {
        account: used.account.clone(),
        admitted: used.admitted,
        demand_per_s: used.demand_per_s as f32,
        running_per_s: used.running_per_s as f32,
        started_per_s: used.started_per_s as f32,
        level: used.level as f32,
    }
}

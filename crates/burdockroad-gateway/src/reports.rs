//! Reports the calls that this host admits to the other hosts.
//!
//! A report is sent to each host of the same failure domain and to one host of each other domain. That host
//! forwards the report within its domain, because traffic between failure domains is billed. Reports are
//! cumulative and small, so they are sent as datagrams, and each report replaces a lost one before it. TCP
//! streams are not used because a report would wait for the retransmission of an older one and arrive
//! outdated. In a large fleet, reports go to a collector of the failure domain, which sends them together.

mod backlog;
mod collector;
mod pace;
mod quarantine;
mod rates;
mod wire;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{
    EndpointUsage, HostLocation, ReportedPace, collects_reports, report_interval, report_targets,
    split_reports,
};
use tokio::{net::UdpSocket, time::sleep};

pub(crate) use self::collector::send_collected;
use self::{
    backlog::Backlog,
    pace::WirePace,
    rates::{WireRate, log_changed_rates},
    wire::{WireRange, WireReport, wire_reports},
};
use crate::{
    announced_range::AnnouncedRange,
    crash_detection::log_quarantined,
    follow::watched_ranges,
    shared::{Shared, Tables},
    store_outage::record_store_response,
    stream_origin_message::STREAM_ORIGIN,
    stream_origins,
};

/// Interval between two reports of a watcher, whose announcements the other hosts wait for.
const WATCHER_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Backoff after a datagram that could not be received.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(150);

/// Size of the receive buffer. A longer datagram is truncated, and then counted as unreadable.
const DATAGRAM_MAX_BYTES: usize = 8192;

/// First byte of a datagram that is meant only for its receiver.
const DELIVER: u8 = 0;

/// First byte of a datagram that its receiver forwards to the hosts of its failure domain.
const FORWARD: u8 = 1;

/// First byte of a datagram with a report for the collector that receives it.
const COLLECT: u8 = 2;

/// First byte of a datagram with several reports that are meant only for its receiver.
const DELIVER_BATCH: u8 = 3;

/// First byte of a datagram with several reports that its receiver forwards to the hosts of its failure
/// domain.
const FORWARD_BATCH: u8 = 4;

/// When a report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    /// It has just arrived.
    Current,
    /// It may have waited while this process stood still.
    Outdated,
}

/// Opens the socket for datagrams to and from other hosts.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(address).await?))
}

/// Sends reports until the host stops.
pub(crate) async fn send_reports(shared: Arc<Shared>) {
    let socket = Arc::clone(&shared.datagrams);
    // The random start value prevents hosts that started together from all choosing the same forwarding host.
    let mut round_number = rand::random::<u16>().into();
    loop {
        round_number += 1;
        let ranges = watched_ranges(&shared);
        let hosts = shared.peers.borrow().len() + 1;
        let is_watcher = !ranges.is_empty();
        let interval = if is_watcher {
            WATCHER_REPORT_INTERVAL
        } else {
            report_interval(hosts)
        };
        let reports = wire_reports(&shared, ranges);
        // The announcements of watchers must not be lost with a collector.
        if collects_reports(hosts) && !is_watcher {
            send_to_collector(&shared, &socket, reports, round_number).await;
        } else {
            send_directly(&shared, &socket, &reports, round_number).await;
        }
        tokio::select! {
            () = sleep(interval) => {}
            () = shared.report_now.notified() => {}
        }
    }
}

async fn send_directly(shared: &Shared, socket: &UdpSocket, reports: &[Vec<u8>], round_number: usize) {
    let (local, remote) = report_addresses(shared, round_number);
    for report in reports {
        send_all(socket, DELIVER, report, &local).await;
        send_all(socket, FORWARD, report, &remote).await;
    }
}

async fn send_to_collector(shared: &Shared, socket: &UdpSocket, reports: Vec<Vec<u8>>, round_number: usize) {
    let collector = collector::local_collector(shared, round_number);
    for report in reports {
        match collector {
            Some(address) => send_all(socket, COLLECT, &report, &[address]).await,
            None => shared.collected_reports.add(report),
        }
    }
}

/// Returns the addresses of the hosts in this failure domain, and of the forwarding hosts in the others.
fn report_addresses(shared: &Shared, round_number: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let peers = shared.peers.borrow();
    let locations: Vec<HostLocation> = peers
        .iter()
        .map(|(host, peer)| HostLocation {
            host: host.clone(),
            failure_domain: peer.failure_domain.clone(),
        })
        .collect();
    let targets = report_targets(&shared.failure_domain, &locations, round_number);
    let targets = targets.iter().filter_map(|host| peers.get(host));
    let (local, remote): (Vec<_>, Vec<_>) =
        targets.partition(|peer| peer.failure_domain == shared.failure_domain);
    let to_addresses = |peers: Vec<&crate::peers::Peer>| peers.into_iter().map(|peer| peer.address).collect();
    (to_addresses(local), to_addresses(remote))
}

async fn send_all(socket: &UdpSocket, kind: u8, report: &[u8], addresses: &[SocketAddr]) {
    let mut datagram = Vec::with_capacity(report.len() + 1);
    datagram.push(kind);
    datagram.extend_from_slice(report);
    for address in addresses {
        send(socket, &datagram, *address).await;
    }
}

/// Sends a datagram. The reports are cumulative, so the next one replaces a report that was not sent.
async fn send(socket: &UdpSocket, datagram: &[u8], address: SocketAddr) {
    if socket.send_to(datagram, address).await.is_err() {
        metrics::counter!("burdockroad_reports_unsent_total").increment(1);
    }
}

/// Receives the reports of other hosts, and forwards those that are meant for this failure domain.
pub(crate) async fn receive_reports(shared: Arc<Shared>) {
    let socket = Arc::clone(&shared.datagrams);
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    let mut backlog = Backlog::new(Instant::now());
    loop {
        let Ok((length, _from)) = socket.recv_from(&mut buffer).await else {
            metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
            sleep(RECEIVE_BACKOFF).await;
            continue;
        };
        let datagram = &mut buffer[..length];
        if backlog.record(Instant::now()) {
            receive_outdated(&shared, datagram);
        } else {
            receive_datagram(&shared, &socket, datagram).await;
        }
    }
}

/// Applies the reports of a datagram that may have waited while this process stood still. They are not passed on, and
/// their age of the store's last response says nothing.
fn receive_outdated(shared: &Shared, datagram: &[u8]) {
    metrics::counter!("burdockroad_reports_outdated_total").increment(1);
    match datagram.split_first() {
        Some((&(DELIVER | FORWARD | COLLECT), report)) => read_report(shared, report, Arrival::Outdated),
        Some((&(DELIVER_BATCH | FORWARD_BATCH), batch)) => read_batch(shared, batch, Arrival::Outdated),
        Some((&STREAM_ORIGIN, bytes)) => stream_origins::receive(shared, bytes),
        _ => metrics::counter!("burdockroad_reports_unreadable_total").increment(1),
    }
}

/// Applies the reports of a datagram, and passes them on as its first byte says.
async fn receive_datagram(shared: &Shared, socket: &UdpSocket, datagram: &mut [u8]) {
    let Some((kind, bytes)) = datagram.split_first() else {
        metrics::counter!("burdockroad_reports_unreadable_total").increment(1);
        return;
    };
    match *kind {
        DELIVER => read_report(shared, bytes, Arrival::Current),
        FORWARD => {
            let local = shared.addresses_in_domain();
            send_all(socket, DELIVER, bytes, &local).await;
            read_report(shared, bytes, Arrival::Current);
        }
        COLLECT => {
            shared.collected_reports.add(bytes.to_vec());
            read_report(shared, bytes, Arrival::Current);
        }
        DELIVER_BATCH => read_batch(shared, bytes, Arrival::Current),
        STREAM_ORIGIN => stream_origins::receive(shared, bytes),
        FORWARD_BATCH => {
            read_batch(shared, bytes, Arrival::Current);
            datagram[0] = DELIVER_BATCH;
            for address in shared.addresses_in_domain() {
                send(socket, datagram, address).await;
            }
        }
        _ => metrics::counter!("burdockroad_reports_unreadable_total").increment(1),
    }
}

fn read_batch(shared: &Shared, batch: &[u8], arrival: Arrival) {
    for report in split_reports(batch) {
        read_report(shared, report, arrival);
    }
}

fn read_report(shared: &Shared, report: &[u8], arrival: Arrival) {
    match ciborium::from_reader::<WireReport, _>(report) {
        Ok(report) => apply_report(shared, report, arrival),
        Err(_malformed) => metrics::counter!("burdockroad_reports_unreadable_total").increment(1),
    }
}

/// Applies a report. Reports of hosts that are not registered are ignored.
fn apply_report(shared: &Shared, mut report: WireReport, arrival: Arrival) {
    let now = Instant::now();
    let Some(peer) = shared.peers.borrow().get(&report.host).cloned() else {
        return;
    };
    let address = peer.address;
    shared
        .turns
        .links()
        .record_relay(address, &peer.failure_domain, report.reaches_turn_hosts, now);
    shared.store.record_peer(address, report.is_served_directly, now);
    let mut tables = shared.tables();
    tables.reach.record_peer(&report.host, report.is_cut_off);
    if let Some(in_flight) = report.calls() {
        tables.endpoints.record_peer(&report.host, &in_flight, now);
    }
    let rates: Vec<EndpointUsage> = report.rates.iter().map(WireRate::decode).collect();
    let changed_rates = tables.endpoints.record_peer_rates(&report.host, &rates, now);
    let paces: Vec<ReportedPace> = report.paces.iter().map(WirePace::decode).collect();
    tables.endpoints.record_peer_paces(&paces, now);
    let quarantine = std::mem::take(&mut report.quarantine);
    let quarantined = tables.quarantine.record_report(quarantine.decode(now), now);
    let is_newer = tables.record_ranges(&report.ranges, address, now);
    let store_response_age = report
        .store_response_age()
        .filter(|_| arrival == Arrival::Current);
    let host = report.host.clone();
    tables.rate_limiter.record_report(&report.decode(), now);
    drop(tables);
    if let Some(at) = store_response_age.and_then(|age| now.checked_sub(age)) {
        record_store_response(shared, at);
    }
    log_changed_rates(shared, &host, &changed_rates);
    log_quarantined(shared, &quarantined, Some(&host));
    if is_newer {
        shared.range_announced.notify_waiters();
    }
}

impl Tables {
    /// Records the ranges that another host announces. Returns whether any range has a newer change than in
    /// all earlier announcements.
    fn record_ranges(&mut self, ranges: &[WireRange], address: SocketAddr, now: Instant) -> bool {
        let mut is_newer = false;
        for range in ranges {
            let WireRange { prefix, last_change } = range;
            if let Some(announced) = self.announced_ranges.get_mut(prefix) {
                is_newer |= announced.record(address, *last_change, now);
                continue;
            }
            let announced = AnnouncedRange::new(address, *last_change, now);
            self.announced_ranges.insert(prefix.clone(), announced);
            is_newer = true;
        }
        is_newer
    }
}

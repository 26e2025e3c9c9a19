//! Encoding of reports.

use std::time::{Duration, Instant};

use burdockroad::{
    EndpointId, HostId,
    gateway::{AccountUsage, EndpointCalls, UsageReport},
};
use burdockroad_daemon::platform::Revision;
use serde::{Deserialize, Serialize};

use super::{pace::WirePace, quarantine::WireQuarantine, rates::WireRate};
use crate::{clock::as_ms, follow::RESPONSE_AGE_MAX, shared::Shared, store_outage::response_age};

/// Maximum number of accounts in one datagram. A datagram with this many accounts stays below the usual
/// packet size.
const ACCOUNTS_MAX: usize = 24;

/// Maximum number of endpoints with limited rates in one datagram.
const RATES_MAX: usize = 24;

/// Maximum number of endpoints with their paces in one datagram.
const PACES_MAX: usize = 24;

/// A report on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct WireReport {
    pub(super) host: String,
    incarnation: u64,
    /// Time since the start of the host's process, in milliseconds.
    running_ms: u64,
    /// Whether the store serves the host without a relaying host.
    #[serde(rename = "store_serves")]
    pub(super) is_served_directly: bool,
    /// Whether the host reaches endpoints only through other hosts. Hosts of earlier versions do not report it.
    #[serde(default)]
    pub(super) is_cut_off: bool,
    /// Whether the host reaches the hosts that store turns on its own. Hosts of earlier versions do not report it.
    #[serde(rename = "t", default)]
    pub(super) reaches_turn_hosts: bool,
    /// Calls in flight at endpoints; only in the first datagram of a report.
    in_flight: Option<Vec<WireCalls>>,
    /// Ranges that the host watches; only in the first datagram of a report.
    pub(super) ranges: Vec<WireRange>,
    /// Time since the store last responded to the host, in milliseconds; only in the first datagram of a report, and
    /// only if it is short. Hosts of earlier versions do not report it.
    #[serde(rename = "sa", default, skip_serializing_if = "Option::is_none")]
    store_response_age_ms: Option<u64>,
    accounts: Vec<WireUsage>,
    /// Calls to endpoints that limit their rate. Hosts of earlier versions do not report them.
    #[serde(default)]
    pub(super) rates: Vec<WireRate>,
    /// Paces that endpoints stated to the host since its last report. Hosts of earlier versions do not report
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) paces: Vec<WirePace>,
    /// Requests that crash endpoints. Hosts of earlier versions do not report them.
    #[serde(default, skip_serializing_if = "WireQuarantine::is_empty")]
    pub(super) quarantine: WireQuarantine,
}

/// A watched range and the revision of its last change.
#[derive(Serialize, Deserialize)]
pub(super) struct WireRange {
    #[serde(rename = "p")]
    pub(super) prefix: String,
    #[serde(rename = "c")]
    pub(super) last_change: Revision,
}

/// [`AccountUsage`] on the wire. The names are short because a report is sent to every host about seven times
/// a second.
#[derive(Serialize, Deserialize)]
struct WireUsage {
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

impl WireReport {
    /// Returns the calls in flight; `None` if this datagram does not contain them.
    pub(super) fn calls(&self) -> Option<Vec<EndpointCalls>> {
        let calls = self
            .in_flight
            .as_ref()?
            .iter()
            .map(|endpoint_calls| EndpointCalls {
                endpoint: endpoint_calls.endpoint.clone(),
                calls: endpoint_calls.calls,
            });
        Some(calls.collect())
    }

    /// Returns the time since the store last responded to the host; `None` if it does not report a recent response. A
    /// watcher of an earlier version reports it by announcing its ranges.
    pub(super) fn store_response_age(&self) -> Option<Duration> {
        let announced = (!self.ranges.is_empty()).then_some(RESPONSE_AGE_MAX);
        self.store_response_age_ms
            .map(Duration::from_millis)
            .or(announced)
    }

    /// Decodes the usage of accounts.
    pub(super) fn decode(self) -> UsageReport {
        let accounts = self.accounts.into_iter();
        let accounts = accounts.map(|usage| AccountUsage {
            account: usage.account,
            admitted: usage.admitted,
            demand_per_s: f64::from(usage.demand_per_s),
            running_per_s: f64::from(usage.running_per_s),
            started_per_s: f64::from(usage.started_per_s),
            level: f64::from(usage.level),
        });
        UsageReport {
            host: self.host,
            incarnation: self.incarnation,
            uptime: Duration::from_millis(self.running_ms),
            accounts: accounts.collect(),
        }
    }
}

/// Encodes this host's report in as many datagrams as its accounts need.
pub(super) fn wire_reports(shared: &Shared, ranges: Vec<(String, Revision)>) -> Vec<Vec<u8>> {
    let ranges = ranges
        .into_iter()
        .map(|(prefix, last_change)| WireRange { prefix, last_change });
    let is_served_directly = shared.store.is_served_directly();
    let reaches_turn_hosts = shared.turns.reaches_hosts();
    let store_response_age = response_age(shared, RESPONSE_AGE_MAX);
    let mut tables = shared.tables();
    let now = Instant::now();
    let report = tables.rate_limiter.report(&shared.host, shared.incarnation, now);
    let in_flight = tables.endpoints.all_in_flight();
    let rates = tables.endpoints.rate_usages(now);
    let paces = tables.endpoints.unreported_paces(now);
    let is_cut_off = tables.reach.is_cut_off();
    let quarantine = WireQuarantine::encode(tables.quarantine.next_report(), now);
    drop(tables);
    let empty = || WireReport {
        is_served_directly,
        is_cut_off,
        reaches_turn_hosts,
        ..wire_report(&shared.host, &report)
    };
    let first = WireReport {
        in_flight: Some(in_flight.into_iter().map(WireCalls::from).collect()),
        ranges: ranges.collect(),
        store_response_age_ms: store_response_age.map(as_ms),
        ..empty()
    };
    let usage = report.accounts.iter().filter(|usage| usage.demand_per_s > 0.01);
    let chunks = ReportChunks {
        accounts: split(usage.map(wire_usage).collect(), ACCOUNTS_MAX),
        rates: split(rates.iter().map(WireRate::from).collect(), RATES_MAX),
        paces: split(paces.iter().map(WirePace::from).collect(), PACES_MAX),
        quarantine,
    };
    let reports = chunks.into_reports(first, empty);
    reports.iter().filter_map(encode).collect()
}

/// Entries of a report, in chunks that fit into one datagram each.
struct ReportChunks {
    accounts: Vec<Vec<WireUsage>>,
    rates: Vec<Vec<WireRate>>,
    paces: Vec<Vec<WirePace>>,
    quarantine: Vec<WireQuarantine>,
}

impl ReportChunks {
    /// Returns `first` with the first chunk of each kind, and an `empty` report for each further chunk.
    fn into_reports(mut self, first: WireReport, empty: impl Fn() -> WireReport) -> Vec<WireReport> {
        let first = WireReport {
            accounts: self.accounts.pop().unwrap_or_default(),
            rates: self.rates.pop().unwrap_or_default(),
            paces: self.paces.pop().unwrap_or_default(),
            ..first
        };
        let more_accounts = self
            .accounts
            .into_iter()
            .map(|accounts| WireReport { accounts, ..empty() });
        let more_rates = self
            .rates
            .into_iter()
            .map(|rates| WireReport { rates, ..empty() });
        let more_paces = self
            .paces
            .into_iter()
            .map(|paces| WireReport { paces, ..empty() });
        let quarantines = self.quarantine.into_iter().map(|quarantine| WireReport {
            quarantine,
            ..empty()
        });
        std::iter::once(first)
            .chain(more_accounts)
            .chain(more_rates)
            .chain(more_paces)
            .chain(quarantines)
            .collect()
    }
}

/// Splits entries of a report into chunks of at most `chunk_max`.
fn split<T>(mut entries: Vec<T>, chunk_max: usize) -> Vec<Vec<T>> {
    let mut chunks = Vec::new();
    while entries.len() > chunk_max {
        chunks.push(entries.split_off(entries.len() - chunk_max));
    }
    chunks.push(entries);
    chunks
}

/// Builds one datagram of a report, without entries and states.
fn wire_report(host: &HostId, report: &UsageReport) -> WireReport {
    WireReport {
        host: host.clone(),
        incarnation: report.incarnation,
        running_ms: u64::try_from(report.uptime.as_millis()).unwrap_or(u64::MAX),
        is_served_directly: false,
        is_cut_off: false,
        reaches_turn_hosts: false,
        in_flight: None,
        ranges: Vec::new(),
        store_response_age_ms: None,
        accounts: Vec::new(),
        rates: Vec::new(),
        paces: Vec::new(),
        quarantine: WireQuarantine::default(),
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
    fn from(endpoint_calls: EndpointCalls) -> Self {
        Self {
            endpoint: endpoint_calls.endpoint,
            calls: endpoint_calls.calls,
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "demand and level are estimates")]
fn wire_usage(usage: &AccountUsage) -> WireUsage {
    WireUsage {
        account: usage.account.clone(),
        admitted: usage.admitted,
        demand_per_s: usage.demand_per_s as f32,
        running_per_s: usage.running_per_s as f32,
        started_per_s: usage.started_per_s as f32,
        level: usage.level as f32,
    }
}

//! Requests that crash endpoints, in the reports of hosts.

use std::time::{Duration, Instant};

use burdockroad::{
    AccountId, EndpointId,
    gateway::{
        CrashReport, QuarantineReport, QuarantinedRequest, RequestIdentity, RequestKey, ServedSuspect,
        Suspect,
    },
};
use serde::{Deserialize, Serialize};

use crate::call::as_ms;

/// Maximum number of crashes in one datagram.
const CRASHES_MAX: usize = 4;

/// Maximum number of suspects of a crash in one datagram.
const SUSPECTS_MAX: usize = 16;

/// [`QuarantineReport`] on the wire, with ages in place of times.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireQuarantine {
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<WireCrash>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    quarantined: Vec<WireQuarantinedRequest>,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    served: Vec<WireServed>,
}

/// [`CrashReport`] on the wire.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireCrash {
    #[serde(rename = "e")]
    endpoint: EndpointId,
    #[serde(rename = "a")]
    age_ms: u64,
    #[serde(rename = "s")]
    suspects: Vec<WireSuspect>,
}

/// [`Suspect`] on the wire.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireSuspect {
    #[serde(rename = "n")]
    account: AccountId,
    #[serde(rename = "e")]
    equal: u128,
    #[serde(rename = "s")]
    similar: u128,
    #[serde(rename = "r")]
    ran_ms: u64,
}

/// [`QuarantinedRequest`] on the wire.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireQuarantinedRequest {
    #[serde(rename = "n")]
    account: AccountId,
    #[serde(rename = "d")]
    digest: u128,
    #[serde(rename = "a")]
    age_ms: u64,
    #[serde(rename = "l")]
    left_ms: u64,
    #[serde(rename = "r")]
    rounds: u32,
}

/// [`ServedSuspect`] on the wire.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireServed {
    #[serde(rename = "n")]
    account: AccountId,
    #[serde(rename = "d")]
    digest: u128,
    #[serde(rename = "a")]
    age_ms: u64,
}

impl WireQuarantine {
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty() && self.served.is_empty()
    }

    /// Encodes a report in as many parts as its crashes need.
    pub(super) fn encode(report: QuarantineReport, now: Instant) -> Vec<Self> {
        let mut crashes = report.crashes.into_iter().map(|crash| wire_crash(crash, now));
        let first = Self {
            crashes: crashes.by_ref().take(CRASHES_MAX).collect(),
            quarantined: report
                .quarantined
                .into_iter()
                .map(|request| wire_quarantined(request, now))
                .collect(),
            served: report
                .served
                .into_iter()
                .map(|served| wire_served(served, now))
                .collect(),
        };
        let mut parts = vec![first];
        loop {
            let more: Vec<WireCrash> = crashes.by_ref().take(CRASHES_MAX).collect();
            if more.is_empty() {
                parts.retain(|part| !part.is_empty());
                return parts;
            }
            parts.push(Self {
                crashes: more,
                ..Self::default()
            });
        }
    }

    pub(super) fn decode(self, now: Instant) -> QuarantineReport {
        QuarantineReport {
            crashes: self
                .crashes
                .into_iter()
                .map(|crash| CrashReport {
                    endpoint: crash.endpoint,
                    at: past(now, crash.age_ms),
                    suspects: crash.suspects.into_iter().map(WireSuspect::decode).collect(),
                })
                .collect(),
            quarantined: self
                .quarantined
                .into_iter()
                .map(|request| QuarantinedRequest {
                    key: RequestKey {
                        account: request.account,
                        digest: request.digest,
                    },
                    since: past(now, request.age_ms),
                    until: now + Duration::from_millis(request.left_ms),
                    rounds: request.rounds,
                })
                .collect(),
            served: self
                .served
                .into_iter()
                .map(|served| ServedSuspect {
                    key: RequestKey {
                        account: served.account,
                        digest: served.digest,
                    },
                    at: past(now, served.age_ms),
                })
                .collect(),
        }
    }
}

impl WireSuspect {
    fn decode(self) -> Suspect {
        let key = |digest| RequestKey {
            account: self.account.clone(),
            digest,
        };
        Suspect {
            request: RequestIdentity {
                equal: key(self.equal),
                similar: key(self.similar),
            },
            ran: Duration::from_millis(self.ran_ms),
        }
    }
}

impl From<Suspect> for WireSuspect {
    fn from(suspect: Suspect) -> Self {
        Self {
            account: suspect.request.equal.account,
            equal: suspect.request.equal.digest,
            similar: suspect.request.similar.digest,
            ran_ms: as_ms(suspect.ran),
        }
    }
}

fn wire_crash(crash: CrashReport, now: Instant) -> WireCrash {
    let suspects = crash.suspects.into_iter().take(SUSPECTS_MAX);
    WireCrash {
        endpoint: crash.endpoint,
        age_ms: age_ms(now, crash.at),
        suspects: suspects.map(WireSuspect::from).collect(),
    }
}

fn wire_quarantined(request: QuarantinedRequest, now: Instant) -> WireQuarantinedRequest {
    WireQuarantinedRequest {
        account: request.key.account,
        digest: request.key.digest,
        age_ms: age_ms(now, request.since),
        left_ms: as_ms(request.until.saturating_duration_since(now)),
        rounds: request.rounds,
    }
}

fn wire_served(served: ServedSuspect, now: Instant) -> WireServed {
    WireServed {
        account: served.key.account,
        digest: served.key.digest,
        age_ms: age_ms(now, served.at),
    }
}

fn age_ms(now: Instant, at: Instant) -> u64 {
    as_ms(now.saturating_duration_since(at))
}

/// Returns the time that was `age_ms` ago, or now if the clock does not reach back that far.
fn past(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}

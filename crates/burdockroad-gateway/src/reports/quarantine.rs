//! Requests that crash endpoints, in the reports of hosts.

use std::time::{Duration, Instant};

use burdockroad::{
    AccountId, EndpointId,
    gateway::{
        ClearedSuspect, CrashReport, QuarantineReport, QuarantinedRequest, RequestIdentity, RequestKey,
        Suspect,
    },
};
use serde::{Deserialize, Serialize};

use crate::clock::as_ms;

/// Maximum number of crashes in one datagram, which a collector must be able to send on with others.
const CRASHES_MAX: usize = 2;

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
    cleared: Vec<WireCleared>,
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

/// [`ClearedSuspect`] on the wire.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireCleared {
    #[serde(rename = "n")]
    account: AccountId,
    #[serde(rename = "d")]
    digest: u128,
    #[serde(rename = "a")]
    age_ms: u64,
}

impl WireQuarantine {
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty() && self.cleared.is_empty()
    }

    /// Encodes a report in as many parts as its crashes need.
    pub(super) fn encode(report: QuarantineReport, now: Instant) -> Vec<Self> {
        let requests = Self {
            crashes: Vec::new(),
            quarantined: report
                .quarantined
                .into_iter()
                .map(|request| wire_quarantined(request, now))
                .collect(),
            cleared: report
                .cleared
                .into_iter()
                .map(|cleared| wire_cleared(cleared, now))
                .collect(),
        };
        let mut parts = vec![requests];
        for crashes in report.crashes.chunks(CRASHES_MAX) {
            parts.push(Self {
                crashes: crashes.iter().map(|crash| wire_crash(crash, now)).collect(),
                ..Self::default()
            });
        }
        parts.retain(|part| !part.is_empty());
        parts
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
            cleared: self
                .cleared
                .into_iter()
                .map(|cleared| ClearedSuspect {
                    key: RequestKey {
                        account: cleared.account,
                        digest: cleared.digest,
                    },
                    at: past(now, cleared.age_ms),
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

impl From<&Suspect> for WireSuspect {
    fn from(suspect: &Suspect) -> Self {
        Self {
            account: suspect.request.equal.account.clone(),
            equal: suspect.request.equal.digest,
            similar: suspect.request.similar.digest,
            ran_ms: as_ms(suspect.ran),
        }
    }
}

fn wire_crash(crash: &CrashReport, now: Instant) -> WireCrash {
    let suspects = crash.suspects.iter().take(SUSPECTS_MAX);
    WireCrash {
        endpoint: crash.endpoint.clone(),
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

fn wire_cleared(cleared: ClearedSuspect, now: Instant) -> WireCleared {
    WireCleared {
        account: cleared.key.account,
        digest: cleared.key.digest,
        age_ms: age_ms(now, cleared.at),
    }
}

fn age_ms(now: Instant, at: Instant) -> u64 {
    as_ms(now.saturating_duration_since(at))
}

/// Returns the time that was `age_ms` ago, or now if the clock does not reach back that far.
fn past(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}

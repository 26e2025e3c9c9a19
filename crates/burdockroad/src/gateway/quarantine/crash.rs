//! A crash of an endpoint, and the requests that it ran at that moment.

use std::time::{Duration, Instant};

use super::{RequestIdentity, RequestKey};
use crate::ids::EndpointId;

/// Time within which reports of different hosts on one endpoint concern the same crash. An endpoint is away for
/// longer than that after a crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of suspects of one crash that are stored.
pub(super) const SUSPECTS_MAX: usize = 32;

/// A request that an endpoint ran when it crashed, and of which it had not sent any output.
///
/// A request that crashes endpoints does so before its first output, so others are not suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: RequestIdentity,
    /// Time from sending it to the endpoint until the crash.
    pub ran: Duration,
}

/// Crash of an endpoint, as one host saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Time of the crash.
    pub at: Instant,
    /// Requests of the host that the endpoint ran without output.
    pub suspects: Vec<Suspect>,
}

/// Crash of an endpoint, as all hosts saw it that have reported it.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointId,
    pub(super) at: Instant,
    suspects: Vec<Suspect>,
    /// Requests of which some had output after the crash.
    cleared: Vec<RequestKey>,
    /// Requests that the crash is attributed to; `None` while none are known.
    pub(super) culprit: Option<RequestKey>,
    /// Whether the crash was evaluated, after the hosts had time to report it.
    pub(super) evaluated: bool,
    /// Number of reports in which this host still tells the others of the crash.
    pub(super) sends_left: u32,
}

impl Crash {
    /// Creates a crash without suspects.
    pub(super) fn new(endpoint: EndpointId, at: Instant, sends_left: u32) -> Self {
        Self {
            endpoint,
            at,
            suspects: Vec::new(),
            cleared: Vec::new(),
            culprit: None,
            evaluated: false,
            sends_left,
        }
    }

    /// Returns whether a report concerns this crash.
    pub(super) fn is_same(&self, report: &CrashReport) -> bool {
        let (earlier, later) = if self.at < report.at {
            (self.at, report.at)
        } else {
            (report.at, self.at)
        };
        self.endpoint == report.endpoint && later.saturating_duration_since(earlier) < SAME_CRASH_WINDOW
    }

    /// Adds suspects that the crash does not have yet. Returns whether there were any.
    pub(super) fn add(&mut self, suspects: Vec<Suspect>) -> bool {
        let mut is_new = false;
        for suspect in suspects {
            let is_known = self.suspects.iter().any(|known| known.request == suspect.request);
            if self.suspects.len() < SUSPECTS_MAX && !is_known {
                self.suspects.push(suspect);
                is_new = true;
            }
        }
        is_new
    }

    /// Removes a request that had output after the crash, which it can then not have caused. Similar requests stay
    /// suspects, but not for what they have in common.
    pub(super) fn clear(&mut self, key: &RequestKey) {
        let is_suspect = self.suspects.iter().any(|suspect| suspect.request.matches(key));
        if is_suspect && !self.cleared.contains(key) {
            self.cleared.push(key.clone());
        }
        self.suspects.retain(|suspect| suspect.request.equal != *key);
    }

    /// Returns the crash as this host tells it to the others.
    pub(super) fn report(&self) -> CrashReport {
        CrashReport {
            endpoint: self.endpoint.clone(),
            at: self.at,
            suspects: self.suspects.clone(),
        }
    }

    /// Returns the requests that may have caused the crash.
    pub(super) fn suspects(&self) -> impl Iterator<Item = &RequestIdentity> + Clone {
        self.suspects.iter().map(|suspect| &suspect.request)
    }

    /// Returns the run that the crash ended, if a request of the key's set may have caused the crash.
    pub(super) fn run_of(&self, key: &RequestKey) -> Option<CrashedRun<'_>> {
        if self.cleared.contains(key) {
            return None;
        }
        let is_possible = |request: &RequestIdentity| {
            let culprit = self.culprit.as_ref();
            request.matches(key) && culprit.is_none_or(|culprit| culprit == key || request.matches(culprit))
        };
        let suspect = self
            .suspects
            .iter()
            .find(|suspect| is_possible(&suspect.request))?;
        Some(CrashedRun {
            request: &suspect.request,
            started_at: self.at.checked_sub(suspect.ran).unwrap_or(self.at),
            crashed_at: self.at,
        })
    }
}

/// Run of a request that ended with the crash of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashedRun<'a> {
    pub(super) request: &'a RequestIdentity,
    pub(super) started_at: Instant,
    pub(super) crashed_at: Instant,
}

//! Endpoints that are cold, that is, in warm-up.
//!
//! Load pattern: all endpoints of a failure domain become cold at the same moment, under full traffic. Each takes
//! few calls from all hosts together and crashes above that. While an endpoint is cold, its rate limit is the one
//! of its service's [`ColdStart`], if the endpoint does not state a lower one.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{gateway::ColdStart, ids::EndpointId};

/// Longest time for which an endpoint counts as cold. Entries with a longer time are faulty.
const COLD_TIME_MAX: Duration = Duration::from_mins(5);

/// Why an endpoint counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its entry states the remaining time.
    Entry,
    /// The evacuation of its failure domain has ended.
    EvacuationEnded,
    /// It refused a connection, so it may have restarted before its entry says so.
    ConnectionRefused,
}

/// Change of an endpoint between cold and warm.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Cold time that has begun; `None` if the endpoint is warm from now on.
    pub began: Option<ColdStatus>,
}

/// State of a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStatus {
    /// Calls per second that it takes from all hosts together.
    pub calls_per_s: f64,
    /// Remaining time.
    pub left: Duration,
    /// Why it counts as cold. With several causes, the one that lasts longest.
    pub cause: ColdCause,
}

/// Cold starts of all services, and the calls that cold endpoints could not take.
#[derive(Debug, Default)]
pub(super) struct ColdStarts {
    pub(super) by_service: HashMap<String, ColdStart>,
    /// Calls placed elsewhere because the preferred endpoint was cold, since they were last taken.
    pub(super) diverted_calls: u64,
}

impl ColdStarts {
    pub(super) fn get(&self, service: &str) -> Option<ColdStart> {
        self.by_service.get(service).copied()
    }
}

/// Cold time of one endpoint. It outlives a run of the endpoint, because the next run may be cold, too.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdTime {
    /// Cold start of the endpoint's service; `None` if the endpoint is never cold.
    cold_start: Option<ColdStart>,
    stated_until: Option<Instant>,
    assumed: Option<AssumedTime>,
    /// Whether the endpoint was cold when `take_change` was last called.
    was_cold: bool,
}

#[derive(Clone, Copy, Debug)]
struct AssumedTime {
    until: Instant,
    cause: ColdCause,
}

impl ColdTime {
    pub(super) fn set_cold_start(&mut self, cold_start: Option<ColdStart>) {
        self.cold_start = cold_start;
    }

    /// Replaces the time that the endpoint's last entry stated.
    pub(super) fn record_statement(&mut self, left: Duration, now: Instant) {
        self.stated_until = Some(now + left.min(COLD_TIME_MAX));
    }

    /// Assumes that the endpoint is cold from now on, as after its start.
    pub(super) fn assume(&mut self, cause: ColdCause, now: Instant) {
        let Some(cold_start) = self.cold_start else {
            return;
        };
        let until = now + cold_start.duration.min(COLD_TIME_MAX);
        if self.assumed.is_none_or(|assumed| assumed.until < until) {
            self.assumed = Some(AssumedTime { until, cause });
        }
    }

    /// Returns the state of the endpoint; `None` if it is warm. Of the stated and the assumed time, the later end
    /// holds.
    pub(super) fn status(&self, now: Instant) -> Option<ColdStatus> {
        let cold_start = self.cold_start?;
        let stated = self.stated_until.map(|until| (until, ColdCause::Entry));
        let assumed = self.assumed.map(|assumed| (assumed.until, assumed.cause));
        let (until, cause) = stated
            .into_iter()
            .chain(assumed)
            .max_by_key(|(until, _)| *until)?;
        (now < until).then(|| ColdStatus {
            calls_per_s: cold_start.calls_per_s,
            left: until.saturating_duration_since(now),
            cause,
        })
    }

    /// Returns the change since the last one that was taken; `None` if there is none.
    pub(super) fn take_change(&mut self, endpoint: &str, now: Instant) -> Option<ColdChange> {
        let began = self.status(now);
        let is_changed = began.is_some() != self.was_cold;
        self.was_cold = began.is_some();
        is_changed.then(|| ColdChange {
            endpoint: endpoint.to_owned(),
            began,
        })
    }
}

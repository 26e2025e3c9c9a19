//! What this host knew of an endpoint when it sent a call there.

use std::time::{Duration, Instant};

use burdockroad_daemon::platform::Revision;
use serde::Serialize;

use crate::{clock::as_ms, shared::Tables};

/// State of an endpoint in this host's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EndpointState {
    /// It is registered.
    #[default]
    Ready,
    /// Its entry says that it drains.
    Draining,
    /// Its entry is gone, but it may register again.
    Missing,
    /// It is not in the tables.
    Removed,
}

impl EndpointState {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Missing => "missing",
            Self::Removed => "removed",
        }
    }
}

/// What this host knew of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointView {
    pub(crate) state: EndpointState,
    /// Revision up to which the range of the endpoints was known.
    as_of: Revision,
    /// Time since the range was last known to be up to date.
    age: Duration,
}

/// Fields of log lines for an [`EndpointView`].
#[derive(Serialize)]
pub(crate) struct EndpointViewLine {
    /// Left out for an endpoint that is registered.
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoint_state: Option<&'static str>,
    endpoints_as_of: Revision,
    endpoints_age_ms: u64,
}

impl EndpointView {
    /// Returns the fields for log lines.
    pub(crate) fn line(self) -> EndpointViewLine {
        EndpointViewLine {
            endpoint_state: (self.state != EndpointState::Ready).then(|| self.state.name()),
            endpoints_as_of: self.as_of,
            endpoints_age_ms: as_ms(self.age),
        }
    }
}

impl Tables {
    /// Returns what this host knows of an endpoint in the range `prefix`.
    pub(crate) fn endpoint_view(&self, prefix: &str, id: &str, now: Instant) -> EndpointView {
        let state = match self.endpoints.get(id) {
            None => EndpointState::Removed,
            Some(_) if self.departures.is_held(id) => EndpointState::Missing,
            Some(endpoint) if endpoint.draining => EndpointState::Draining,
            Some(_) => EndpointState::Ready,
        };
        let view = self.range_views.get(prefix);
        // A watcher that announces no newer change confirms the last update.
        let announced = self.announced_ranges.get(prefix);
        let announcement_age = announced.map(|range| now.saturating_duration_since(range.announced_at));
        let ages = view.map(|view| view.age(now)).into_iter().chain(announcement_age);
        EndpointView {
            state,
            as_of: view.map_or(0, |view| view.as_of),
            age: ages.min().unwrap_or_default(),
        }
    }
}

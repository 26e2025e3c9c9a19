//! Binding of a stream to the software version that began it.

use std::time::{Duration, Instant};

use burdockroad::gateway::Endpoint;
use serde::Serialize;

use super::Call;
use crate::{
    clock::as_ms,
    refusal::Refusal,
    stream_origins::{VersionLookup, announce, version_of},
    version_check::VersionCheck,
};

impl Call {
    /// Determines the software version at which a stream that the caller takes up continues.
    pub(crate) async fn find_stream_version(&mut self) -> Result<(), Refusal> {
        if self.head.last_event.is_none() || !self.route.kind.is_stream() || !self.route.kind.may_retry() {
            return Ok(());
        }
        let asked_at = Instant::now();
        let origin = self.head.stream_origin.as_ref();
        let lookup = version_of(&self.shared, &self.service, origin).await;
        self.log_take_up(&lookup, asked_at.elapsed());
        let version = lookup.version.ok_or(Refusal::UnknownStream)?.version;
        self.stream_version = Some(version);
        Ok(())
    }

    /// Logs and counts a stream that the caller takes up.
    fn log_take_up(&self, lookup: &VersionLookup, waited: Duration) {
        let version = lookup.version.as_ref();
        let known_from = version.map_or("unknown", |version| version.known_from.name());
        metrics::counter!("burdockroad_streams_taken_up_total", "known_from" => known_from).increment(1);
        let line = TakeUpLine {
            id: &self.head.call_id,
            origin: self.head.stream_origin.as_deref(),
            last_event: self.head.last_event,
            software_version: version.map(|version| version.version.as_str()),
            known_from,
            holders_asked: lookup.holders_asked,
            holders_answered: lookup.holders_answered,
            only_version_check: lookup.check.map(VersionCheck::name),
            endpoints_age_ms: self.endpoints_age().map(as_ms),
            waited_ms: waited.as_millis(),
            host_age_ms: self.shared.started_at.elapsed().as_millis(),
        };
        self.shared.log.line("stream_taken_up", &line);
    }

    /// Returns the time since this host last learned of a change of the endpoints, or that there is none.
    fn endpoints_age(&self) -> Option<Duration> {
        let tables = self.shared.tables();
        let view = tables.range_views.get(self.shared.dialect.endpoints_prefix())?;
        Some(view.age(Instant::now()))
    }

    /// Records that the caller is about to receive the first event of its stream, which binds the stream to the
    /// software version of its endpoint.
    pub(crate) fn begin_stream(&mut self) {
        if self.stream_version.is_some() || !self.route.kind.may_retry() {
            return;
        }
        let Some(endpoint) = &self.current_endpoint else {
            return;
        };
        let version = endpoint.software_version.clone();
        announce(
            &self.shared,
            &self.service,
            &self.head.call_id,
            &version,
            self.caller_time_left(),
        );
        self.stream_version = Some(version);
    }

    /// Returns the time for which the caller waits for its response, also beyond the route's timeout. It may take
    /// the stream up until then.
    fn caller_time_left(&self) -> Duration {
        let caller_timeout = self.head.caller_timeout.unwrap_or(self.route.timeout);
        caller_timeout.saturating_sub(self.started_at.elapsed())
    }

    /// Returns whether an endpoint still runs the software version that began the stream. An endpoint may start
    /// again under its id with another version.
    pub(super) fn may_resume_at(&self, endpoint: &Endpoint) -> bool {
        let Some(version) = &self.stream_version else {
            return true;
        };
        let tables = self.shared.tables();
        let current = tables.endpoints.get(&endpoint.id);
        current.is_some_and(|current| current.software_version == *version)
    }
}

#[derive(Serialize)]
struct TakeUpLine<'a> {
    id: &'a str,
    origin: Option<&'a str>,
    last_event: Option<u64>,
    software_version: Option<&'a str>,
    known_from: &'static str,
    holders_asked: usize,
    holders_answered: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    only_version_check: Option<&'static str>,
    endpoints_age_ms: Option<u64>,
    waited_ms: u128,
    host_age_ms: u128,
}

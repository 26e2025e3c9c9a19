//! Collects data about a call while it is served, and writes its log lines.

use std::time::{Duration, Instant};

use burdockroad::{
    HostId, RegionId, SoftwareVersion,
    gateway::{Account, Endpoint, Failure, Placement, Route},
};
use serde::Serialize;

use crate::{
    CallHead,
    clock::as_ms,
    endpoint_view::{EndpointState, EndpointView, EndpointViewLine},
    framing::{Framing, StreamBreak},
    refusal::Refusal,
    shared::Shared,
};

/// Data for a call's log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallRecord {
    /// Version of the configuration that was in force when the call was admitted.
    pub(crate) directory_version: u64,
    /// Time from the application of this configuration to the admission of the call.
    pub(crate) directory_age: Duration,
    /// Number of tokens that one event counts as.
    pub(crate) event_tokens: u64,
    pub(crate) started_at: Option<Instant>,
    pub(crate) status: u16,
    /// Whether the response was relayed or read completely.
    pub(crate) complete: bool,
    pub(crate) refusal: Option<Refusal>,
    /// Time that the call waited for its reservation.
    pub(crate) reservation_wait: Duration,
    /// Reading of the history that the call continues; `None` for calls that bring it along.
    pub(crate) history: Option<HistoryRead>,
    /// Time until the call's turn was stored; `None` for calls whose turns the system does not keep.
    pub(crate) store_time: Option<Duration>,
    /// Number of events in the call's stored turn; `None` until it is stored.
    pub(crate) turn_events: Option<usize>,
    /// Time that the caller had left when the endpoint's stream ended or broke; `None` unless the call's turn is kept by
    /// the system and was cut.
    pub(crate) cut_turn_time_left: Option<Duration>,
    /// Calls per slot of the service when the call requested its reservation.
    pub(crate) load_per_slot: Option<f64>,
    /// Events sent to the caller.
    pub(crate) events: u64,
    /// Number of times that the stream was resumed.
    pub(crate) resumed: u32,
    /// Framing of the endpoint's last stream; `None` for calls that got no stream.
    pub(crate) framing: Option<Framing>,
    /// Host that opened the connection of the last response in place of this one; `None` on this host's own link.
    pub(crate) through_host: Option<HostId>,
    /// Regions in which the call must stay; `None` if any region is allowed.
    pub(crate) allowed_regions: Option<Vec<RegionId>>,
    attempts: u32,
    attempt_started_at: Option<Instant>,
    /// Endpoint of the last attempt.
    endpoint: String,
    /// Version of the software of that endpoint.
    software_version: SoftwareVersion,
    /// What this host knew of that endpoint when it was chosen.
    endpoint_view: EndpointView,
    /// Estimated number of calls at that endpoint when it was chosen.
    endpoint_load: u32,
    /// Expected time to the first byte of the last attempt, in milliseconds.
    expected_ms: f64,
    /// Position of that endpoint in the order of the call's affinity key; `None` without a key.
    affinity_position: Option<usize>,
    /// Pace expected at that endpoint, in percent of its usual time; `None` if it does not state it.
    pace_percent: Option<f64>,
    /// Time from the start of the call to the head of a usable response.
    time_to_first_byte: Option<Duration>,
}

/// Reading of the history that a call continues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HistoryRead {
    /// Duration of the reading.
    pub(crate) time: Duration,
    /// Number of turns that were read from other hosts.
    pub(crate) read_turns: usize,
}

impl CallRecord {
    pub(crate) fn new(
        started_at: Instant,
        directory_version: u64,
        directory_age: Duration,
        event_tokens: u64,
    ) -> Self {
        Self {
            directory_version,
            directory_age,
            event_tokens,
            started_at: Some(started_at),
            ..Self::default()
        }
    }

    /// Returns the number of tokens that were sent to the caller.
    pub(crate) fn tokens_used(&self) -> u64 {
        self.events * self.event_tokens
    }

    pub(crate) fn record_attempt(&mut self, placement: &Placement, view: EndpointView) {
        self.attempts += 1;
        self.endpoint_view = view;
        if view.state != EndpointState::Ready {
            let state = view.state.name();
            metrics::counter!("burdockroad_attempts_at_departing_endpoints_total", "state" => state)
                .increment(1);
        }
        self.attempt_started_at = Some(Instant::now());
        self.endpoint.clone_from(&placement.endpoint.id);
        self.software_version
            .clone_from(&placement.endpoint.software_version);
        self.endpoint_load = placement.load;
        self.expected_ms = placement.expected_ms;
        self.affinity_position = placement.affinity_position;
        if let Some(position) = placement.affinity_position {
            let preferred = if position == 0 { "first" } else { "other" };
            metrics::counter!("burdockroad_affinity_attempts_total", "endpoint" => preferred).increment(1);
        }
        self.pace_percent = placement.pace_percent;
    }

    /// Goes back to an earlier attempt, of which this was the record.
    pub(crate) fn return_to(&mut self, earlier: Self) {
        *self = Self {
            attempts: self.attempts,
            ..earlier
        };
    }

    /// Returns the time since the start of the last attempt; `None` before the first one.
    pub(crate) fn attempt_time(&self) -> Option<Duration> {
        self.attempt_started_at.map(|at| at.elapsed())
    }

    pub(crate) fn record_first_byte(&mut self) {
        self.time_to_first_byte = self.started_at.map(|at| at.elapsed());
    }

    pub(crate) fn record_failure(
        &self,
        shared: &Shared,
        head: &CallHead,
        endpoint: &Endpoint,
        failure: Failure,
    ) {
        let name = match failure {
            Failure::NotListening => "gone",
            Failure::Unreachable => "unreachable",
            Failure::Full => "full",
            Failure::Evacuated => "evacuated",
            Failure::WrongEndpoint => "wrong_endpoint",
            Failure::Unknown => "unknown",
        };
        metrics::counter!("burdockroad_attempts_failed_total", "failure" => name).increment(1);
        shared.log.line(
            "attempt_failed",
            &AttemptFailedLine {
                id: &head.call_id,
                endpoint: &endpoint.id,
                software_version: &endpoint.software_version,
                failure: name,
                view: self.endpoint_view.line(),
                attempt: self.attempts,
                attempt_ms: self.attempt_started_at.map(|at| as_ms(at.elapsed())),
            },
        );
    }

    /// Logs that the endpoint's stream broke off, with the bytes after its last complete event.
    pub(crate) fn record_break(
        &self,
        shared: &Shared,
        head: &CallHead,
        cause: StreamBreak,
        partial_bytes: usize,
    ) {
        let framing = self.framing.map_or("none", Framing::name);
        let cause = cause.name();
        metrics::counter!("burdockroad_streams_broken_total", "cause" => cause, "framing" => framing)
            .increment(1);
        shared.log.line(
            "stream_broken",
            &StreamBrokenLine {
                id: &head.call_id,
                endpoint: &self.endpoint,
                cause,
                framing,
                partial_bytes,
                events: self.events,
            },
        );
    }

    /// Writes the call's log line and updates the metrics.
    pub(crate) fn close(&self, shared: &Shared, head: &CallHead, route: &Route, account: Option<&Account>) {
        let outcome = match (self.refusal, self.complete) {
            (Some(refusal), _) => refusal.name(),
            (None, true) => "answered",
            (None, false) => "caller_left",
        };
        let total = self.started_at.map_or(Duration::ZERO, |at| at.elapsed());
        let account = account.map_or("-", |account| account.name.as_str());
        metrics::counter!("burdockroad_calls_total", "outcome" => outcome).increment(1);
        metrics::histogram!("burdockroad_call_duration_seconds", "route" => route.name.clone())
            .record(total.as_secs_f64());
        metrics::histogram!("burdockroad_account_call_duration_seconds", "account" => account.to_owned())
            .record(total.as_secs_f64());
        shared.log.line(
            "call",
            &CallLine {
                id: &head.call_id,
                outcome,
                status: self.status,
                route: &route.name,
                account,
                program: head.program.as_ref().map(|program| program.id.as_str()),
                budget_tokens: head.program.as_ref().and_then(|program| program.budget_tokens),
                answer_max_tokens: head.tokens.map(|tokens| tokens.max_output),
                config_version: self.directory_version,
                config_age_ms: as_ms(self.directory_age),
                endpoint: &self.endpoint,
                software_version: &self.software_version,
                view: self.endpoint_view.line(),
                through_host: self.through_host.as_deref(),
                allowed_regions: self.allowed_regions.as_deref(),
                last_event: head.last_event,
                stream_origin: head.stream_origin.as_deref(),
                endpoint_load: self.endpoint_load,
                expected_ms: self.expected_ms.round(),
                affinity_position: self.affinity_position,
                pace_percent: self.pace_percent.map(f64::round),
                attempts: self.attempts,
                resumed: self.resumed,
                events: self.events,
                framing: self.framing.map(Framing::name),
                reserve_ms: as_ms(self.reservation_wait),
                history_ms: self.history.map(|history| as_ms(history.time)),
                history_turns_read: self.history.map(|history| history.read_turns),
                store_ms: self.store_time.map(as_ms),
                turn_events: self.turn_events,
                stream_end_left_ms: self.cut_turn_time_left.map(as_ms),
                load_per_slot: self.load_per_slot.map(round_to_hundredths),
                retry_after_ms: self.refusal.and_then(Refusal::retry_after).map(as_ms),
                first_byte_ms: self.time_to_first_byte.map(as_ms),
                total_ms: as_ms(total),
            },
        );
    }
}

#[derive(Serialize)]
struct CallLine<'a> {
    id: &'a str,
    outcome: &'static str,
    status: u16,
    route: &'a str,
    account: &'a str,
    program: Option<&'a str>,
    budget_tokens: Option<u64>,
    answer_max_tokens: Option<u64>,
    config_version: u64,
    config_age_ms: u64,
    endpoint: &'a str,
    software_version: &'a str,
    #[serde(flatten)]
    view: EndpointViewLine,
    /// Host that opened the connection to the endpoint in place of this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    through_host: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    allowed_regions: Option<&'a [RegionId]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    last_event: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_origin: Option<&'a str>,
    endpoint_load: u32,
    expected_ms: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    affinity_position: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pace_percent: Option<f64>,
    attempts: u32,
    resumed: u32,
    events: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    framing: Option<&'static str>,
    reserve_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    history_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    history_turns_read: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    store_ms: Option<u64>,
    /// Number of events in the stored turn.
    #[serde(skip_serializing_if = "Option::is_none")]
    turn_events: Option<usize>,
    /// Time that the caller of a turn that was cut had left when the endpoint's stream ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_end_left_ms: Option<u64>,
    load_per_slot: Option<f64>,
    retry_after_ms: Option<u64>,
    first_byte_ms: Option<u64>,
    total_ms: u64,
}

#[derive(Serialize)]
struct AttemptFailedLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    software_version: &'a str,
    failure: &'static str,
    #[serde(flatten)]
    view: EndpointViewLine,
    attempt: u32,
    /// Time from the choice of the endpoint to the failure.
    attempt_ms: Option<u64>,
}

#[derive(Serialize)]
struct StreamBrokenLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    cause: &'static str,
    framing: &'static str,
    partial_bytes: usize,
    events: u64,
}

fn round_to_hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

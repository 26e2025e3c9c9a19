//! Attempts of one call at endpoints, until one of them responds.

mod attribution;
mod constraints;
mod crash_suspect;
mod exchange;
mod failed_attempts;
mod retry_waits;
mod second_head;
mod silent_run;
mod stream_version;
mod turn_check;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId, SoftwareVersion,
    gateway::{
        Account, Endpoint, Failure, NextStep, Outcome, Placement, PlacementQuery, RetryState, Route,
        next_step,
    },
};
use http::Response;

use self::{crash_suspect::Run, silent_run::SilentEndpoint};
pub(crate) use self::{crash_suspect::identify, silent_run::SilentRun};
use crate::{
    CallHead, ResponseHead,
    admitted_call::{AdmittedCall, CallerRequest},
    budgets::{Reservation, release},
    call_record::CallRecord,
    call_timeout::call_timeout,
    content_meter::MeteredBody,
    framing::Framing,
    kept_turn::KeptTurn,
    pool::Connection,
    refusal::Refusal,
    shared::Shared,
    time_error::record_time_error,
};

/// `Retry-After` when all endpoints are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Connections to one endpoint that each host may open, even if its share of the service's limit is lower.
const CONNECTIONS_MIN: usize = 2;

/// A call in progress. Dropping it settles its reservation and writes its log line.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) shared: Arc<Shared>,
    pub(crate) head: CallHead,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: String,
    pub(crate) request: CallerRequest,
    /// Turn of the call, on a route whose turns the system keeps.
    pub(crate) kept_turn: Option<KeptTurn>,
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) record: CallRecord,
    pub(crate) retries: RetryState,
    /// Endpoints at which an attempt has failed since the last wait for capacity.
    attempted: Vec<EndpointId>,
    /// Endpoints on which the call may have run.
    possibly_ran_on: Vec<EndpointId>,
    /// Endpoint of the attempt in progress; `None` between two attempts.
    current_endpoint: Option<Endpoint>,
    /// The last run of the call at an endpoint.
    run: Run,
    /// Endpoint that is checked because a response of it is missing or broke off; `None` if there is none.
    checked_endpoint: Option<EndpointId>,
    /// Software version that began the call's stream, which must continue there; `None` before its first event.
    stream_version: Option<SoftwareVersion>,
    /// Tokens of the program's budget reserved for the call.
    pub(crate) reservation: Option<Reservation>,
    /// Endpoint that the next attempt must use; `None` when the attempt chooses one.
    next_endpoint: Option<Endpoint>,
    /// Whether an endpoint was chosen for the call before.
    was_placed: bool,
    /// Endpoint at which the call's stream was silent last; `None` if it continued.
    silent_endpoint: Option<SilentEndpoint>,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenedResponse {
    pub(crate) response: Response<MeteredBody>,
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    pub(crate) connection: Connection,
}

impl Call {
    pub(crate) fn new(shared: Arc<Shared>, admitted: AdmittedCall) -> Self {
        let deadline = admitted.started_at + call_timeout(&admitted.head, &admitted.route);
        Self {
            shared,
            head: admitted.head,
            route: admitted.route,
            account: admitted.account,
            service: admitted.service,
            request: admitted.request,
            kept_turn: admitted.kept_turn,
            started_at: admitted.started_at,
            deadline,
            record: admitted.record,
            retries: RetryState::default(),
            attempted: Vec::new(),
            possibly_ran_on: Vec::new(),
            current_endpoint: None,
            run: Run::none(admitted.started_at),
            checked_endpoint: None,
            stream_version: None,
            reservation: None,
            next_endpoint: None,
            was_placed: false,
            silent_endpoint: None,
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sends the call to endpoints until one responds. A stream resumes after event `last_event`.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<OpenedResponse, Refusal> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.timeout_refusal());
            }
            self.wait_for_run_decision().await?;
            self.wait_for_rate_of_next_endpoint().await?;
            self.check_turn()?;
            let Some(placement) = self.choose_endpoint() else {
                self.wait_for_capacity().await?;
                continue;
            };
            let failure = match self.attempt(&placement, last_event).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => failure,
            };
            self.count(failure, &placement.endpoint);
            match next_step(self.route.kind, self.route.endpoints_max, failure, self.retries) {
                NextStep::OtherEndpoint => {}
                NextStep::SameEndpoint => self.next_endpoint = Some(placement.endpoint),
                NextStep::Refuse => return Err(Refusal::NoEndpoint(FULL_RETRY_AFTER)),
                NextStep::GiveUp => self.wait_after_refusal(failure, &placement.endpoint).await?,
            }
        }
    }

    /// Ends the current attempt after a complete response, and returns the connection to the pool.
    pub(crate) fn finish(&mut self, connection: Connection, keep_alive: Option<Duration>) {
        // The outcome was recorded when the response head arrived; `Abandoned` records nothing further.
        let Some(endpoint) = self.end_attempt(Outcome::Abandoned) else {
            return;
        };
        let may_reuse = {
            let tables = self.shared.tables();
            let has_usable_path = connection.through_host.is_none() || tables.reach.is_cut_off();
            has_usable_path && !tables.endpoints.is_evacuated(&endpoint)
        };
        if may_reuse {
            let max_idle = self.connections_max();
            self.shared
                .pool
                .put(&endpoint.id, connection, keep_alive, max_idle, Instant::now());
        }
    }

    /// Ends the current attempt and records its outcome for the endpoint. Returns the endpoint.
    fn end_attempt(&mut self, outcome: Outcome) -> Option<Endpoint> {
        let endpoint = self.current_endpoint.take()?;
        self.end_run(&endpoint.id);
        self.record_not_at(&endpoint.id);
        let mut tables = self.shared.tables();
        tables.endpoints.end_call(&endpoint.id);
        tables
            .endpoints
            .record_outcome(&endpoint.id, outcome, Instant::now());
        Some(endpoint)
    }

    /// Returns the endpoint of the next attempt; `None` when no endpoint can take the call.
    fn choose_endpoint(&mut self) -> Option<Placement> {
        let next_endpoint = self.next_endpoint.take();
        if let Some(endpoint) = next_endpoint.filter(|endpoint| self.may_resume_at(endpoint)) {
            return Some(Placement {
                endpoint,
                expected_ms: 0.0,
                pace_percent: None,
                load: 0,
                affinity_position: None,
            });
        }
        let avoided = self.endpoints_to_avoid(&self.shared.tables().quarantine);
        let query = PlacementQuery {
            service: &self.service,
            software_version: self.stream_version.as_ref(),
            failure_domain: &self.shared.failure_domain,
            parts: &self.head.prompt_parts,
            tried: &self.attempted,
            avoided: &avoided,
            in_flight_max: u32::try_from(self.connections_max()).unwrap_or(u32::MAX),
            is_first: !self.was_placed,
            affinity_key: self.affinity_key(),
            allowed_regions: self.allowed_regions(),
        };
        let mut tables = self.shared.tables();
        let placement = tables.endpoints.choose(query, rand::random(), Instant::now());
        drop(tables);
        self.was_placed = true;
        placement
    }

    /// Makes one attempt at an endpoint and records its outcome.
    async fn attempt(
        &mut self,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Result<OpenedResponse, Failure> {
        let endpoint = &placement.endpoint;
        self.start_attempt(placement);
        self.current_endpoint = Some(endpoint.clone());
        let sent_at = Instant::now();
        self.begin_run(&endpoint.id, sent_at);
        let result = self.exchange(endpoint, last_event).await;
        let now = Instant::now();
        let outcome = match &result {
            Ok(_) => Outcome::Responded {
                first_byte: now.saturating_duration_since(sent_at),
            },
            Err(Failure::Full) => Outcome::Full,
            Err(Failure::Evacuated) => Outcome::Abandoned,
            Err(_) if now >= self.deadline => Outcome::Abandoned,
            Err(_) => Outcome::Failed,
        };
        if let Ok(opened) = &result {
            self.record
                .through_host
                .clone_from(&opened.connection.through_host);
            record_time_error(placement, now.saturating_duration_since(sent_at));
            let mut tables = self.shared.tables();
            if let Some(load) = opened.head.load {
                tables.endpoints.record_load(&endpoint.id, load, now);
            }
            tables.endpoints.record_outcome(&endpoint.id, outcome, now);
        } else {
            self.end_attempt(outcome);
        }
        result
    }

    /// Counts the call at its endpoint, and records what this host knows of the endpoint.
    fn start_attempt(&mut self, placement: &Placement) {
        let endpoint = &placement.endpoint.id;
        let prefix = self.shared.dialect.endpoints_prefix();
        let mut tables = self.shared.tables();
        let view = tables.endpoint_view(prefix, endpoint, Instant::now());
        tables.endpoints.start_call(endpoint, &self.head.prompt_parts);
        drop(tables);
        self.record.record_attempt(placement, view);
    }

    /// Returns the number of calls per slot of the endpoints that the call may be sent to.
    pub(crate) fn load_per_slot(&self) -> f64 {
        let regions = self.allowed_regions();
        let tables = self.shared.tables();
        tables
            .endpoints
            .load_per_slot_in(regions, &self.service, Instant::now())
    }

    /// Returns the account's priority, or the route's if the account has none.
    pub(crate) fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|account| account.priority);
        account_priority.unwrap_or(self.route.priority).min(9)
    }

    /// Returns the number of connections that this host may open to one endpoint: its share of the service's
    /// limit, but at least [`CONNECTIONS_MIN`].
    fn connections_max(&self) -> usize {
        let tables = self.shared.tables();
        let service = tables
            .directory
            .as_ref()
            .and_then(|directory| directory.service(&self.service));
        let allowed = service.map_or(CONNECTIONS_MIN, |service| service.connections_max);
        (allowed / tables.host_count.max(1)).max(CONNECTIONS_MIN)
    }

    /// Returns the refusal of a call that may have run.
    fn give_up_refusal(&self) -> Refusal {
        if self.time_left().is_zero() {
            return self.timeout_refusal();
        }
        Refusal::UnknownOutcome
    }

    /// Returns the refusal of a call that is ended because the host stops.
    pub(crate) fn stop_refusal(&self) -> Refusal {
        if self.current_endpoint.is_none() && self.retries.unknown == 0 {
            Refusal::Stopping
        } else {
            Refusal::CutByStop
        }
    }

    /// Returns the refusal of a call whose deadline has passed.
    fn timeout_refusal(&self) -> Refusal {
        if self.retries.unknown == 0 {
            Refusal::DeadlineExceededUnsent
        } else {
            Refusal::DeadlineExceeded
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.end_attempt(Outcome::Abandoned);
        if let Some(reservation) = self.reservation.take() {
            release(&self.shared, reservation, self.record.tokens_used());
        }
        self.record
            .close(&self.shared, &self.head, &self.route, self.account.as_deref());
    }
}

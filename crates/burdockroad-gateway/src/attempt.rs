//! One call's attempts at endpoints, from the first to the one that answers.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId,
    gateway::{
        Account, Endpoint, Failure, NextStep, Outcome, Placement, PlacementQuery, RetryState, Route, next_step,
    },
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};

use crate::{
    AnswerHead, CallHead, ForwardHead,
    budgets::{Hold, release},
    call::CallRecord,
    pool::{Connection, connect},
    refusal::Refusal,
    shared::Shared,
};

/// Time that an answer takes to the caller, and by which the gateway is to be done before a deadline.
const ANSWER_WAY: Duration = Duration::from_millis(15);

/// Time without a byte of the answer's head after which a call that may be repeated is sent again.
const SILENCE_MAX: Duration = Duration::from_millis(1500);

/// Pause before endpoints that were all full are asked again.
const FULL_PAUSE: Duration = Duration::from_millis(15);

/// When a caller may come back to endpoints that are all full.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// When a caller may come back to a service that has no endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// Connections to one endpoint that each host may keep whatever the service allows.
const CONNECTIONS_MIN: usize = 2;

/// A call on its way; dropping it ends it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) shared: Arc<Shared>,
    pub(crate) head: CallHead,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: String,
    pub(crate) request: CallerRequest,
    pub(crate) started_at: Instant,
    /// When the call's time is over.
    pub(crate) ends_at: Instant,
    pub(crate) record: CallRecord,
    pub(crate) retries: RetryState,
    tried: Vec<EndpointId>,
    /// Endpoints on which the call may have run.
    run_at: Vec<EndpointId>,
    /// Endpoint that works on the call, as far as known.
    current: Option<Endpoint>,
    /// Tokens of the program's budget that the call may generate.
    pub(crate) hold: Option<Hold>,
    /// Endpoint that the next attempt has to go to.
    again_at: Option<Endpoint>,
}

/// A call that was admitted and read whole.
#[derive(Debug)]
pub(crate) struct Arrived {
    pub(crate) head: CallHead,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: String,
    pub(crate) request: CallerRequest,
    pub(crate) started_at: Instant,
    pub(crate) record: CallRecord,
}

/// What the caller sent.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) head: AnswerHead,
    pub(crate) connection: Connection,
}

impl Call {
    pub(crate) fn new(shared: Arc<Shared>, arrived: Arrived) -> Self {
        let ends_at = arrived.started_at + call_time(&arrived.head, &arrived.route);
        Self {
            shared,
            head: arrived.head,
            route: arrived.route,
            account: arrived.account,
            service: arrived.service,
            request: arrived.request,
            started_at: arrived.started_at,
            ends_at,
            record: arrived.record,
            retries: RetryState::default(),
            tried: Vec::new(),
            run_at: Vec::new(),
            current: None,
            hold: None,
            again_at: None,
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.ends_at.saturating_duration_since(Instant::now())
    }

    /// Tries endpoints until one answers; `last_event` is where a stream is to go on.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Opened, Refusal> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.time_over());
            }
            let Some(placement) = self.place() else {
                self.wait_for_room().await?;
                continue;
            };
            let failure = match self.attempt(&placement, last_event).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => failure,
            };
            self.count(failure, &placement.endpoint);
            match next_step(self.route.kind, self.route.endpoints_max, failure, self.retries) {
                NextStep::OtherEndpoint => {}
                NextStep::SameEndpoint => self.again_at = Some(placement.endpoint),
                NextStep::Refuse => return Err(Refusal::NoEndpoint(FULL_RETRY)),
                NextStep::GiveUp => return Err(self.given_up()),
            }
        }
    }

    /// Notes that the answer of the current endpoint broke, and says whether the call may go on.
    pub(crate) fn note_broken(&mut self) -> bool {
        let Some(endpoint) = self.leave(Outcome::Failed) else {
            return false;
        };
        self.count(Failure::Unknown, &endpoint);
        let kind = self.route.kind;
        match next_step(kind, self.route.endpoints_max, Failure::Unknown, self.retries) {
            NextStep::SameEndpoint => {
                self.again_at = Some(endpoint);
                true
            }
            NextStep::OtherEndpoint => true,
            NextStep::Refuse | NextStep::GiveUp => false,
        }
    }

    /// Notes that the current endpoint's answer has ended as it should, and keeps the connection.
    pub(crate) fn finish(&mut self, connection: Connection, keep_alive: Option<Duration>) {
        if let Some(endpoint) = self.leave(Outcome::Abandoned) {
            let most = self.connections_max();
            self.shared
                .pool
                .put(&endpoint.id, connection, keep_alive, most, Instant::now());
        }
    }

    /// Ends the call's stay at its endpoint.
    fn leave(&mut self, outcome: Outcome) -> Option<Endpoint> {
        let endpoint = self.current.take()?;
        let mut tables = self.shared.tables();
        tables.endpoints.end_call(&endpoint.id);
        tables
            .endpoints
            .record_outcome(&endpoint.id, outcome, Instant::now());
        Some(endpoint)
    }

    fn place(&mut self) -> Option<Placement> {
        if let Some(endpoint) = self.again_at.take() {
            return Some(Placement {
                endpoint,
                expected_ms: 0.0,
                load: 0,
            });
        }
        let query = PlacementQuery {
            service: &self.service,
            failure_domain: &self.shared.failure_domain,
            parts: &self.head.parts,
            tried: &self.tried,
            in_flight_max: u32::try_from(self.connections_max()).unwrap_or(u32::MAX),
        };
        let tables = self.shared.tables();
        tables.endpoints.choose(query, rand::random(), Instant::now())
    }

    /// Waits a moment when all endpoints were full; fails when waiting is of no use.
    async fn wait_for_room(&mut self) -> Result<(), Refusal> {
        if self.retries.unknown > 0 {
            return Err(self.given_up());
        }
        let usable = self.shared.tables().endpoints.usable(&self.service);
        if usable == 0 {
            return Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY));
        }
        let patience = (self.route.objective / 4).min(self.time_left() / 2);
        if self.started_at.elapsed() + FULL_PAUSE > patience {
            return Err(Refusal::NoEndpoint(FULL_RETRY));
        }
        self.tried.clear();
        sleep(FULL_PAUSE).await;
        Ok(())
    }

    async fn attempt(&mut self, placement: &Placement, last_event: Option<u64>) -> Result<Opened, Failure> {
        let endpoint = &placement.endpoint;
        self.record.note_attempt(placement);
        self.shared
            .tables()
            .endpoints
            .start_call(&endpoint.id, &self.head.parts);
        self.current = Some(endpoint.clone());
        let sent_at = Instant::now();
        let exchanged = self.exchange(endpoint, last_event).await;
        let now = Instant::now();
        let outcome = match &exchanged {
            Ok(_) => Outcome::Responded {
                first_byte: now.saturating_duration_since(sent_at),
            },
            Err(Failure::Full) => Outcome::Full,
            Err(_) if now >= self.ends_at => Outcome::Abandoned,
            Err(_) => Outcome::Failed,
        };
        if let Ok(opened) = &exchanged {
            let mut tables = self.shared.tables();
            tables.endpoints.record_outcome(&endpoint.id, outcome, now);
            if let Some(load) = opened.head.load {
                tables.endpoints.record_load(&endpoint.id, load, now);
            }
        } else {
            self.leave(outcome);
        }
        exchanged
    }

    async fn exchange(&self, endpoint: &Endpoint, last_event: Option<u64>) -> Result<Opened, Failure> {
        let mut request = self.forward_request(endpoint, last_event);
        let pooled = self.shared.pool.take(&endpoint.id, Instant::now());
        if let Some(connection) = pooled {
            match self.send(connection, request).await? {
                Sent::Responded(opened) => return self.judge(opened),
                Sent::Unsent(unsent) => request = unsent,
            }
        }
        metrics::counter!("burdockroad_endpoint_connections_total").increment(1);
        let connecting = connect(endpoint.address, self.time_left()).await;
        let connection = connecting.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => Failure::NotListening,
            _ => Failure::Unreachable,
        })?;
        match self.send(connection, request).await? {
            Sent::Responded(opened) => self.judge(opened),
            Sent::Unsent(_) => Err(Failure::Unreachable),
        }
    }

    async fn send(&self, mut connection: Connection, request: Request<Full<Bytes>>) -> Result<Sent, Failure> {
        let patience = if self.route.kind.may_retry() {
            SILENCE_MAX.min(self.time_left())
        } else {
            self.time_left()
        };
        let answered = timeout(patience, connection.try_send_request(request)).await;
        match answered {
            Err(_elapsed) => Err(Failure::Unknown),
            Ok(Ok(response)) => {
                let head = self
                    .shared
                    .dialect
                    .read_answer(response.status(), response.headers());
                Ok(Sent::Responded(Opened {
                    response,
                    head,
                    connection,
                }))
            }
            Ok(Err(mut unsent)) => unsent.take_message().map(Sent::Unsent).ok_or(Failure::Unknown),
        }
    }

    /// Tells a usable answer from one that says nothing, or that the call did not run.
    fn judge(&self, opened: Opened) -> Result<Opened, Failure> {
        let head = &opened.head;
        if head.call_id.as_deref() != Some(&*self.head.call_id) && !head.wrong_endpoint && !head.not_run {
            return Err(Failure::Unknown);
        }
        if head.wrong_endpoint {
            return Err(Failure::WrongEndpoint);
        }
        if head.not_run {
            return Err(Failure::Full);
        }
        let status = opened.response.status();
        let promises_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        if promises_not_run || (status.is_success() && !head.signed) {
            return Err(Failure::Unknown);
        }
        Ok(opened)
    }

    fn forward_request(&self, endpoint: &Endpoint, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut headers = self.request.headers.clone();
        let forward = ForwardHead {
            endpoint: &endpoint.id,
            account: self.account.as_ref().map(|account| account.name.as_str()),
            time_left: self.time_left(),
            last_event,
            priority: self.priority(),
        };
        self.shared.dialect.write_forward(&mut headers, &forward);
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Calls for each slot of the call's service.
    pub(crate) fn load_per_slot(&self) -> f64 {
        let tables = self.shared.tables();
        tables.endpoints.load_per_slot(&self.service, Instant::now())
    }

    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority).min(9)
    }

    /// Connections to one endpoint: this host's part of what the service allows.
    fn connections_max(&self) -> usize {
        let tables = self.shared.tables();
        let service = tables
            .directory
            .as_ref()
            .and_then(|directory| directory.service(&self.service));
        let allowed = service.map_or(CONNECTIONS_MIN, |service| service.connections_max);
        (allowed / tables.hosts.max(1)).max(CONNECTIONS_MIN)
    }

    fn count(&mut self, failure: Failure, endpoint: &Endpoint) {
        let ran_here = self.run_at.contains(&endpoint.id);
        match failure {
            Failure::Unknown => {
                self.retries.unknown += 1;
                self.retries.last_endpoint_removed = false;
                self.retries.unreachable_attempts = 0;
                if !ran_here {
                    self.run_at.push(endpoint.id.clone());
                    self.retries.endpoints_run += 1;
                }
            }
            Failure::NotListening | Failure::WrongEndpoint | Failure::Unreachable | Failure::Full => {
                self.retries.unstarted += 1;
                if ran_here && failure == Failure::Unreachable {
                    self.retries.unreachable_attempts += 1;
                }
                if ran_here && matches!(failure, Failure::NotListening | Failure::WrongEndpoint) {
                    self.retries.last_endpoint_removed = true;
                    self.retries.endpoints_run = self.retries.endpoints_run.saturating_sub(1);
                }
            }
        }
        if failure != Failure::Full {
            self.shared.pool.forget(&endpoint.id);
        }
        if !self.tried.contains(&endpoint.id) {
            self.tried.push(endpoint.id.clone());
        }
        self.record
            .note_failure(&self.shared, &self.head, endpoint, failure);
    }

    fn given_up(&self) -> Refusal {
        if self.time_left().is_zero() {
            return self.time_over();
        }
        Refusal::UnknownOutcome
    }

    fn time_over(&self) -> Refusal {
        if self.retries.unknown == 0 {
            Refusal::TimeOverUnsent
        } else {
            Refusal::TimeOver
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.leave(Outcome::Abandoned);
        if let Some(hold) = self.hold.take() {
            release(&self.shared, hold, self.record.tokens_used());
        }
        self.record
            .close(&self.shared, &self.head, &self.route, self.account.as_deref());
    }
}

/// What became of a request on a connection.
enum Sent {
    Responded(Opened),
    /// Nothing of it was written.
    Unsent(Request<Full<Bytes>>),
}

/// Time that a call may take in all.
pub(crate) fn call_time(head: &CallHead, route: &Route) -> Duration {
    let deadline = head.deadline.unwrap_or(route.timeout);
    deadline.saturating_sub(ANSWER_WAY).min(route.timeout)
}

//! One exchange of a request and a response head with an endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{Endpoint, Failure, LoadReading, NextStep, RateStatement};
use burdockroad_daemon::endpoint::FINAL_STATUSES;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use tokio::time::timeout;

use super::{
    Call, OpenedResponse,
    attribution::{Attribution, ConnectionUse},
};
use crate::{
    EndpointPhase, ForwardHead, content_meter::MeteredBody, endpoint_path::connect_to_endpoint,
    framing::Framing, pool::Connection,
};

/// Timeout for the response head of a call that may be repeated. After it, the call is sent again. The last attempt has
/// until the caller's deadline.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Result of sending a request on a connection.
enum SendOutcome {
    /// The head of a response arrived.
    Responded(OpenedResponse),
    /// No byte of the request was written.
    Unsent(Request<Full<Bytes>>),
}

impl Call {
    /// Sends the request and waits for the response head. A pooled connection that was closed before any
    /// byte was written is replaced by a new one.
    pub(super) async fn exchange(
        &self,
        endpoint: &Endpoint,
        last_event: Option<u64>,
    ) -> Result<OpenedResponse, Failure> {
        let mut request = self.forward_request(endpoint, last_event);
        let pooled = self
            .shared
            .pool
            .take(&endpoint.id, endpoint.address, Instant::now())
            .filter(|connection| self.may_use(connection));
        if let Some(connection) = pooled {
            match self.send(endpoint, connection, request).await? {
                SendOutcome::Responded(opened) => {
                    return self.classify(endpoint, opened, ConnectionUse::Kept);
                }
                SendOutcome::Unsent(unsent) => request = unsent,
            }
        }
        metrics::counter!("burdockroad_endpoint_connections_total").increment(1);
        let connection =
            connect_to_endpoint(&self.shared, endpoint, self.allowed_regions(), self.time_left()).await?;
        // The evacuation may have begun since the endpoint was chosen.
        if self.shared.tables().endpoints.is_evacuated(endpoint) {
            return Err(Failure::Evacuated);
        }
        match self.send(endpoint, connection, request).await? {
            SendOutcome::Responded(opened) => self.classify(endpoint, opened, ConnectionUse::New),
            SendOutcome::Unsent(_) => Err(Failure::Unreachable),
        }
    }

    async fn send(
        &self,
        endpoint: &Endpoint,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<SendOutcome, Failure> {
        let head_timeout = if self.step_after_unknown(endpoint) == NextStep::GiveUp {
            self.time_left()
        } else {
            HEAD_TIMEOUT.min(self.time_left())
        };
        self.record_sent(&endpoint.id);
        connection.http.meter.begin_response();
        let sending = connection.http.sender.try_send_request(request);
        let result = timeout(head_timeout, sending).await;
        match result {
            Err(_elapsed) => Err(Failure::Unknown),
            Ok(Ok(response)) => {
                let head = self
                    .shared
                    .dialect
                    .read_response(response.status(), response.headers());
                let meter = Arc::clone(&connection.http.meter);
                Ok(SendOutcome::Responded(OpenedResponse {
                    framing: Framing::of(response.headers()),
                    response: response.map(|body| MeteredBody::new(body, meter)),
                    head,
                    connection,
                }))
            }
            Ok(Err(mut unsent)) => {
                let request = unsent.take_message().ok_or(Failure::Unknown)?;
                self.record_not_at(&endpoint.id);
                Ok(SendOutcome::Unsent(request))
            }
        }
    }

    /// Returns a usable response unchanged. Any other response is a failure: the call did not run, or its
    /// outcome is unknown. Only a response to this very call states that it did not run.
    fn classify(
        &self,
        endpoint: &Endpoint,
        opened: OpenedResponse,
        connection: ConnectionUse,
    ) -> Result<OpenedResponse, Failure> {
        if self.has_second_head(endpoint, &opened) {
            return Err(Failure::Unknown);
        }
        if self.attribute(endpoint, &opened, connection) != Attribution::Own {
            return Err(Failure::Unknown);
        }
        if self.has_invalid_status(endpoint, &opened) {
            return Err(Failure::Unknown);
        }
        let head = &opened.head;
        if head.wrong_endpoint {
            return Err(if head.not_run {
                Failure::WrongEndpoint
            } else {
                Failure::Unknown
            });
        }
        if head.phase == EndpointPhase::Leaving {
            self.record_leaving(endpoint);
        }
        if head.attested || head.rate != RateStatement::Unlimited {
            self.record_rate(endpoint, head.rate);
        }
        if head.not_run {
            self.record_pace(endpoint, head.load);
            return Err(Failure::Full);
        }
        let status = opened.response.status();
        // These statuses would promise the caller that the call has not run. Without the endpoint's statement
        // that it did not run the call, the call may have run.
        let claims_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        if claims_not_run || (status.is_success() && !head.attested) {
            return Err(Failure::Unknown);
        }
        Ok(opened)
    }

    /// Returns whether the status of a response is none that ends a call, and logs it. Provisional statuses do not end one, no call
    /// asks to switch protocols, and statuses outside the classes of HTTP have no meaning.
    fn has_invalid_status(&self, endpoint: &Endpoint, opened: &OpenedResponse) -> bool {
        let status = opened.response.status().as_u16();
        let is_valid = FINAL_STATUSES.contains(&status);
        if !is_valid {
            metrics::counter!("burdockroad_responses_with_invalid_status_total").increment(1);
            let line = InvalidStatusLine {
                id: &self.head.call_id,
                endpoint: &endpoint.id,
                status,
            };
            self.shared.log.line("status_invalid", &line);
        }
        !is_valid
    }

    /// Lets the endpoint get no new calls, because it states that it leaves.
    fn record_leaving(&self, endpoint: &Endpoint) {
        let mut tables = self.shared.tables();
        let is_new = tables.endpoints.record_leaving(&endpoint.id, Instant::now());
        drop(tables);
        if is_new {
            self.shared.pool.close_idle(&endpoint.id);
            let line = EndpointLeavingLine {
                endpoint: &endpoint.id,
                id: &self.head.call_id,
            };
            self.shared.log.line("endpoint_leaving", &line);
        }
    }

    /// Records the load that the endpoint states with its refusal if it also states its pace. Without a pace, the
    /// stated load is ignored, and the endpoint counts as full because of the refusal.
    fn record_pace(&self, endpoint: &Endpoint, load: Option<LoadReading>) {
        if let Some(load) = load.filter(|load| load.pace_percent.is_some()) {
            let mut tables = self.shared.tables();
            tables.endpoints.record_load(&endpoint.id, load, Instant::now());
        }
    }

    /// Records the rate of calls that the endpoint states.
    fn record_rate(&self, endpoint: &Endpoint, rate: RateStatement) {
        let mut tables = self.shared.tables();
        let is_new = tables.endpoints.record_rate(&endpoint.id, rate, Instant::now());
        drop(tables);
        if is_new {
            let line = EndpointRateLine {
                endpoint: &endpoint.id,
                id: &self.head.call_id,
                calls_per_s: rate.calls_per_s(),
            };
            self.shared.log.line("endpoint_rate_changed", &line);
        }
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
}

/// Log line of a response whose status is none that ends a call.
#[derive(Serialize)]
struct InvalidStatusLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    status: u16,
}

/// Log line of an endpoint that stated in its response to a call that it leaves.
#[derive(Serialize)]
struct EndpointLeavingLine<'a> {
    endpoint: &'a str,
    id: &'a str,
}

/// Log line of an endpoint whose response to a call states another rate than before.
#[derive(Serialize)]
struct EndpointRateLine<'a> {
    endpoint: &'a str,
    id: &'a str,
    /// Calls per second that it takes from all hosts together; `None` if it no longer states a limit.
    calls_per_s: Option<f64>,
}

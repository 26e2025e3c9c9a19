//! Waits between the attempts of a call.

use std::time::{Duration, Instant};

use burdockroad::gateway::{Endpoint, Failure};
use tokio::time::sleep;

use super::{Call, FULL_RETRY_AFTER};
use crate::refusal::Refusal;

/// Backoff before the next attempt when all endpoints were full.
const FULL_BACKOFF: Duration = Duration::from_millis(15);

/// `Retry-After` when the service has no endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` when the endpoints limit their rates and take calls from other hosts only, which a retry may
/// reach.
const OTHER_SENDERS_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Pause before a stream that its caller waits for is attempted again, after all endpoints have refused it.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);

impl Call {
    /// Waits when all endpoints were full, for [`FULL_BACKOFF`] or until their rates allow another call. Fails when
    /// the call may have run, when the service has no endpoint, or when the call would then have taken longer than
    /// a quarter of the route's latency objective or half of the time left.
    pub(super) async fn wait_for_capacity(&mut self) -> Result<(), Refusal> {
        if self.retries.unknown > 0 {
            return self.wait_after_silence().await;
        }
        let (is_usable, rate_wait) = {
            let version = self.stream_version.as_ref();
            let regions = self.allowed_regions();
            let mut tables = self.shared.tables();
            let rate_wait = tables
                .endpoints
                .rate_wait(&self.service, version, regions, Instant::now());
            let is_usable = tables.endpoints.is_usable_in(regions, &self.service, version);
            (is_usable, rate_wait)
        };
        if !is_usable {
            return Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY_AFTER));
        }
        let Some(rate_wait) = rate_wait else {
            return Err(Refusal::NoEndpoint(OTHER_SENDERS_RETRY_AFTER));
        };
        let wait = rate_wait.max(FULL_BACKOFF);
        let max_wait = (self.route.objective / 4).min(self.time_left() / 2);
        if self.started_at.elapsed() + wait > max_wait {
            return Err(Refusal::NoEndpoint(rate_wait.max(FULL_RETRY_AFTER)));
        }
        self.attempted.clear();
        sleep(wait).await;
        Ok(())
    }

    /// Waits before the next attempt of a call that no endpoint takes. Fails unless the call has left an endpoint only
    /// because that was silent: otherwise its caller would learn nothing better by waiting.
    async fn wait_after_silence(&mut self) -> Result<(), Refusal> {
        if !self.has_left_silent_run() {
            return Err(self.give_up_refusal());
        }
        self.attempted.clear();
        sleep(REFUSED_PAUSE.min(self.time_left())).await;
        Ok(())
    }

    /// Waits before a call is sent again to an endpoint that has refused it, or to another one. Fails when the call may
    /// not be sent again.
    pub(super) async fn wait_after_refusal(
        &mut self,
        failure: Failure,
        endpoint: &Endpoint,
    ) -> Result<(), Refusal> {
        let is_last_endpoint = self.retries.endpoints_run >= self.route.endpoints_max;
        let may_be_sent = !is_last_endpoint || self.possibly_ran_on.contains(&endpoint.id);
        if failure != Failure::Full || !may_be_sent {
            return Err(self.give_up_refusal());
        }
        self.wait_after_silence().await?;
        if is_last_endpoint {
            self.next_endpoint = Some(endpoint.clone());
        }
        Ok(())
    }
}

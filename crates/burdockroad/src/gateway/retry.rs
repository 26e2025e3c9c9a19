//! Choice of the action after a failed attempt at an endpoint.

use crate::gateway::RouteKind;

/// Maximum number of attempts that end before the call runs. Each of them costs a connection or a round trip.
const UNSTARTED_MAX: u32 = 6;

/// Maximum number of connections that are refused to a call. Entries of endpoints that have ended may outnumber the
/// others, and a refused connection costs little.
const REFUSED_MAX: u32 = 64;

/// Maximum number of attempts of unknown outcome that are retried.
const UNKNOWN_RETRIES_MAX: u32 = 2;

/// Number of consecutive failed attempts to reach an endpoint after which it counts as removed. Applies to an
/// endpoint on which a call may have run.
pub(super) const UNREACHABLE_ATTEMPTS_MIN: u32 = 3;

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The address refuses connections, so no endpoint is running there. No part of the call was sent.
    NotListening,
    /// No connection was established within the timeout, for any reason. No part of the call was sent.
    Unreachable,
    /// The endpoint responded that it did not run the call for lack of capacity.
    Full,
    /// The endpoint's failure domain was evacuated before any part of the call was sent.
    Evacuated,
    /// A different endpoint has the address.
    WrongEndpoint,
    /// The response was missing, incomplete or invalid. The call may have run.
    Unknown,
}

/// Attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryState {
    /// Attempts that are known not to have run the call, without refused connections.
    pub unstarted: u32,
    /// Attempts whose connection was refused.
    pub refused: u32,
    /// Attempts of unknown outcome.
    pub unknown: u32,
    /// Endpoints on which the call may have run and which may still be up.
    pub endpoints_run: u32,
    /// Whether the last endpoint on which the call may have run was found to be removed.
    pub last_endpoint_removed: bool,
    /// Consecutive failed attempts to reach an endpoint on which the call may have run.
    pub unreachable_attempts: u32,
}

impl RetryState {
    /// Returns whether so many attempts have ended before the call ran that no other one is made.
    fn has_tried_enough(self) -> bool {
        self.unstarted >= UNSTARTED_MAX || self.refused >= REFUSED_MAX
    }
}

/// Action after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try an endpoint that has not been tried.
    OtherEndpoint,
    /// Retry at the same endpoint.
    SameEndpoint,
    /// Respond that the call did not run.
    Refuse,
    /// Respond that the outcome is unknown.
    GiveUp,
}

/// Returns the action after a failure, which `state` already includes.
///
/// A call that has not run may be sent to any endpoint. A call that may have run is retried only if its route
/// allows it. Once it has run on `endpoints_max` endpoints, it is retried only at the last one while that is
/// up: any other endpoint would exceed the operator's limit, because the last one may still be processing the
/// call.
pub fn next_step(kind: RouteKind, endpoints_max: u32, failure: Failure, state: RetryState) -> NextStep {
    let ran_somewhere = state.unknown > 0;
    match failure {
        Failure::NotListening
        | Failure::Unreachable
        | Failure::Full
        | Failure::Evacuated
        | Failure::WrongEndpoint
            if !ran_somewhere =>
        {
            if state.has_tried_enough() {
                NextStep::Refuse
            } else {
                NextStep::OtherEndpoint
            }
        }
        _ if !kind.may_retry() => NextStep::GiveUp,
        _ if state.unknown > UNKNOWN_RETRIES_MAX || state.has_tried_enough() => NextStep::GiveUp,
        // An endpoint that does not accept connections may be on a busy host and still be processing the call.
        Failure::Unreachable if state.unreachable_attempts < UNREACHABLE_ATTEMPTS_MIN => {
            NextStep::SameEndpoint
        }
        Failure::NotListening | Failure::WrongEndpoint | Failure::Unreachable => NextStep::OtherEndpoint,
        Failure::Full | Failure::Evacuated
            if state.last_endpoint_removed || state.endpoints_run < endpoints_max =>
        {
            NextStep::OtherEndpoint
        }
        Failure::Full | Failure::Evacuated => NextStep::GiveUp,
        Failure::Unknown if state.endpoints_run < endpoints_max => NextStep::OtherEndpoint,
        Failure::Unknown => NextStep::SameEndpoint,
    }
}

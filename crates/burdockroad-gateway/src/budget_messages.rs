//! Reservation requests between hosts.

use std::time::Duration;

use burdockroad::{ProgramId, gateway::RemoteReservationId};
use serde::{Deserialize, Serialize};

/// Request to reserve tokens for a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ReservationRequest {
    /// Id of the call.
    pub(crate) call_id: String,
    /// Number that identifies the reservation beside the call id; 0 in requests of earlier versions.
    #[serde(default)]
    pub(crate) number: u64,
    /// Program whose budget the tokens are reserved from.
    pub(crate) program: ProgramId,
    /// Total budget of the program.
    pub(crate) budget_tokens: u64,
    /// Upper bound of the tokens that the call may generate.
    #[serde(rename = "most_tokens")]
    pub(crate) max_tokens: u64,
    /// Calls per slot of the service that the call is sent to.
    pub(crate) load_per_slot: f64,
    /// Priority of the call; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Time until the account's rate limit allows another program to start; `None` when one may start now.
    #[serde(rename = "begins_after")]
    pub(crate) start_after: Option<Duration>,
    /// Time left until the call's deadline.
    pub(crate) time_left: Duration,
}

impl ReservationRequest {
    /// Returns the identity of the reservation.
    pub(crate) fn reservation_id(&self) -> RemoteReservationId {
        RemoteReservationId {
            call_id: self.call_id.clone(),
            number: self.number,
        }
    }
}

/// Response to a [`ReservationRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ReservationResponse {
    /// The tokens are reserved.
    #[serde(rename = "Held")]
    Reserved {
        /// Whether the call starts the program, that is, the ledger of the responding host did not contain
        /// the program before.
        #[serde(rename = "begins")]
        starts_program: bool,
    },
    /// The program must not start yet because the service is overloaded.
    #[serde(rename = "Later")]
    Deferred(Duration),
    /// The program must not start yet because its account's rate limit is used up.
    OverRate(Duration),
    /// The budget has too few tokens left for the call.
    #[serde(rename = "Spent")]
    BudgetExhausted,
    /// Reservations of running calls take all remaining tokens.
    #[serde(rename = "NoRoom")]
    FullyReserved,
    /// The store did not respond in the time of the request, which may have been short.
    #[serde(rename = "NoStore")]
    StoreTimeout,
    /// Store writes have failed or were not answered for some time, so the store takes none.
    #[serde(rename = "StoreLost")]
    StoreUnavailable,
}

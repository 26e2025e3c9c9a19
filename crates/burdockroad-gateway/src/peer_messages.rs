//! Calls between gateway hosts.

use std::{net::SocketAddr, time::Duration};

use burdockroad::{HostId, ProgramId, SoftwareVersion, gateway::StreamId};
use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    RangeUpdate,
    budget_messages::{ReservationRequest, ReservationResponse},
    store_messages::{StoreCall, StoreCallResponse},
    turn_store::messages::{TurnCall, TurnResponse},
};

/// A call to another host.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Relays a call to the store.
    Store(StoreCall),
    /// Passes a call on to a host that stores turns.
    Turns {
        /// Host that stores turns.
        host: HostId,
        /// The call.
        call: TurnCall,
    },
    /// Requests the updates of a range of the store.
    #[serde(rename = "RangeNews")]
    RangeUpdate {
        /// Key prefix of the range.
        prefix: String,
        /// Revision up to which the requesting host has seen the range.
        after: Revision,
        /// Requesting host, if it reads compressed updates and asks again when it is told to; hosts of earlier
        /// versions do not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        compressed_for: Option<HostId>,
    },
    /// Reserves tokens of a program's budget.
    #[serde(rename = "Hold")]
    Reserve(ReservationRequest),
    /// Requests the software version that began a stream.
    StreamVersion {
        /// Id of the stream.
        stream: StreamId,
    },
    /// Asks for the tokens of a program that the host has reserved and does not use.
    ReturnTokens {
        /// The program.
        program: ProgramId,
    },
    /// Settles a reservation.
    Release {
        /// Id of the call that the tokens were reserved for.
        call_id: String,
        /// Number of the reservation; 0 in messages of earlier versions.
        #[serde(default)]
        number: u64,
        /// Tokens that were sent to the caller.
        used_tokens: u64,
    },
}

/// Response to a [`PeerCall`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// Response of the store.
    Store(StoreCallResponse),
    /// Response of the host that stores turns; `None` if it did not respond.
    Turns(Option<TurnResponse>),
    /// Updates of the range; `None` when the responding host has not read it.
    #[serde(rename = "RangeNews")]
    RangeUpdate(Option<RangeUpdateResponse>),
    /// Update of the range.
    CompressedRangeUpdate {
        /// [`RangeUpdate`] in compressed form.
        compressed: Bytes,
    },
    /// The responding host sends other updates first.
    RangeUpdateLater {
        /// Time after which the requesting host asks again.
        wait: Duration,
        /// Host that was sent the update, which the requesting host asks then.
        holder: Option<SocketAddr>,
    },
    /// Result of the reservation request.
    #[serde(rename = "Hold")]
    Reservation(ReservationResponse),
    /// Version that began the stream; `None` if the responding host does not hold it.
    StreamVersion(Option<SoftwareVersion>),
    /// The reservation is settled, or unused tokens are being returned.
    Released,
}

/// Response of a watcher to a request for updates.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RangeUpdateResponse {
    /// Changes or snapshot that bring the requester up to date.
    #[serde(rename = "news")]
    pub(crate) update: RangeUpdate,
    /// Time left in which endpoints whose entries expired while the store was unavailable may register
    /// again. Hosts of earlier versions decide by it.
    #[serde(rename = "lapse_time")]
    pub(crate) reregistration_time: Duration,
}

//! Calls to the store that another host relays.

use std::time::Duration;

use burdockroad_daemon::platform::{CALL_TIMEOUT, Revision};
use serde::{Deserialize, Serialize};

use crate::{Changes, ConditionalWrite, LeaseId, RangeSnapshot, WriteOutcome};

/// A call to the store, as sent to a relaying host.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum StoreCall {
    ReadRange {
        prefix: String,
    },
    Changes {
        prefix: String,
        after: Revision,
        wait: Duration,
    },
    WriteAll {
        writes: Vec<ConditionalWrite>,
    },
    OpenLease {
        lifetime: Duration,
    },
    #[serde(rename = "KeepLease")]
    RenewLease {
        lease: LeaseId,
    },
    EndLease {
        lease: LeaseId,
    },
}

impl StoreCall {
    /// Returns whether a repeated call may have a different effect from a single one.
    pub(crate) fn must_not_repeat(&self) -> bool {
        matches!(self, Self::WriteAll { .. })
    }

    /// Returns the timeout for the store's response.
    pub(crate) fn response_timeout(&self) -> Duration {
        match self {
            Self::Changes { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }
}

/// Response to a [`StoreCall`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum StoreCallResponse {
    Range(RangeSnapshot),
    Changes(Changes),
    #[serde(rename = "Written")]
    WriteOutcome(WriteOutcome),
    Lease(LeaseId),
    #[serde(rename = "Kept")]
    Renewed(bool),
    Ended,
    /// The call had no effect.
    Unavailable(String),
    /// The call may have taken effect or may still do so.
    Ambiguous(String),
}

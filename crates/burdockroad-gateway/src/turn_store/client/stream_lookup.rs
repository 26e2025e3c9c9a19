//! Reads of the events that a caller has received before it takes its stream up.

use std::time::Duration;

use burdockroad::{
    HostId, RegionId,
    gateway::{
        HostLocation, ReceivedEvents, StreamAttempt, StreamCall, StreamLookup, TurnKey, UnknownEvents,
        stream_holders,
    },
};
use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout_at};

use super::{READ_TIMEOUT, TurnClient};
use crate::turn_store::{
    links::{Destination, EncodedCall},
    members::{TurnMembers, readable},
    messages::{TurnCall, TurnResponse},
};

/// Time for which all holders are waited for once a majority has told enough.
const ALL_ANSWERS_WAIT: Duration = Duration::from_millis(100);

/// Longest time of a lookup.
const LOOKUP_MAX: Duration = Duration::from_millis(600);

/// Reason why the events that a caller has received are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupError {
    /// Most holders of the stream did not answer.
    HoldersSilent,
    /// The holders do not have them.
    Unknown(UnknownEvents),
}

impl TurnClient {
    /// Returns the events up to `last_event` that the caller has received of a stream, which is named by one of its
    /// attempts.
    pub(crate) async fn received_events(
        &self,
        named: &TurnKey,
        call: &StreamCall,
        last_event: usize,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<ReceivedEvents, LookupError> {
        let members = self.lock().members.clone();
        let holders = self.event_holders(&named.turn, readable(&members), allowed_regions);
        let asked = holders.len();
        let answers = holders.iter();
        let mut answers: FuturesUnordered<_> = answers
            .map(|holder| self.ask_holder(&members, holder, named, allowed_regions).boxed())
            .collect();
        let started_at = Instant::now();
        let mut lookup = StreamLookup::default();
        let mut answered = 0;
        let mut result = Err(LookupError::HoldersSilent);
        loop {
            let wait_max = if result.is_ok() {
                ALL_ANSWERS_WAIT
            } else {
                LOOKUP_MAX
            };
            match timeout_at(started_at + wait_max, answers.next()).await {
                Ok(Some(Some(attempts))) => {
                    lookup.add(attempts);
                    answered += 1;
                }
                Ok(Some(None)) => {}
                Ok(None) | Err(_) => return result,
            }
            if answered >= majority(asked) {
                result = lookup
                    .received(call, last_event, answered == asked)
                    .map_err(LookupError::Unknown);
            }
        }
    }

    /// Returns the hosts that hold the events of a stream, out of those in allowed regions.
    pub(super) fn event_holders(
        &self,
        stream: &str,
        hosts: Vec<HostLocation>,
        allowed_regions: Option<&[RegionId]>,
    ) -> Vec<HostId> {
        let allowed = self.regions.allowed_hosts(hosts, allowed_regions);
        stream_holders(stream, allowed.into_iter().map(|location| location.host))
    }

    /// Returns what a holder has of a stream; `None` if it does not answer.
    async fn ask_holder(
        &self,
        members: &TurnMembers,
        holder: &HostId,
        named: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Option<Vec<StreamAttempt>> {
        let member = members.get(holder)?;
        let call = TurnCall::HeldEvents {
            stream: named.clone(),
        };
        let call = EncodedCall::new(call).ok()?;
        let destination = Destination::new(holder, member.address, allowed_regions);
        // A holder of an earlier version does not know the call. Its health is not judged by that.
        match self.links().call(destination, &call, READ_TIMEOUT).await {
            Ok(TurnResponse::HeldEvents(attempts)) => Some(attempts),
            Ok(_) | Err(_) => None,
        }
    }
}

/// Returns how many holders are more than half of them.
pub(super) fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

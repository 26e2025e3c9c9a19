//! Events that the caller of a turn has received over all its attempts.

use std::sync::Arc;

use burdockroad::{
    RegionId,
    gateway::{OutputCollector, ReceivedEvents, Route, StreamCall, TurnKey},
};
use bytes::Bytes;
use tokio::time::Instant;

use super::takes_stream_up;
use crate::{
    CallHead,
    memory::CallShare,
    refusal::{EventsObstacle, Refusal},
    shared::Shared,
    turn_store::client::{
        event_copies::{CopiedAttempt, EventCopies},
        stream_lookup::LookupError,
    },
};

/// Longest output of a turn, in bytes. With the longest input that operators usually allow, it fits into one message to a
/// host with a disk.
const OUTPUT_MAX_BYTES: usize = 3 << 20;

/// Events of a turn, with those that the caller had received before it took the stream up.
#[derive(Debug)]
pub(super) struct RelayedEvents {
    output: OutputCollector,
    /// Part of the host's memory for responses.
    share: CallShare,
    /// Copies for a caller that takes the stream up; `None` on routes whose streams may not be resumed.
    copies: Option<EventCopies>,
}

impl RelayedEvents {
    /// Begins with the events that the caller has received already.
    ///
    /// # Errors
    ///
    /// Fails when they are not known. The turn could not be continued then, so the call must not run.
    pub(super) async fn begin(
        shared: &Shared,
        head: &CallHead,
        route: &Route,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
        input: &[u8],
    ) -> Result<Self, Refusal> {
        let takes_up = takes_stream_up(head);
        let share = shared.room.response_share();
        if !route.kind.may_retry() {
            if takes_up {
                return Err(Refusal::EventsUnknown(EventsObstacle::NotResumable));
            }
            return Ok(Self {
                output: OutputCollector::default(),
                share,
                copies: None,
            });
        }
        let caller_timeout = head.caller_timeout.unwrap_or(route.timeout);
        let mut attempt = CopiedAttempt {
            stream: key.clone(),
            id: key.turn.clone(),
            order: 0,
            call: StreamCall::new(&route.name, head.previous_turn.as_deref(), input),
            deadline: Instant::now() + caller_timeout,
            allowed_regions: allowed_regions.map(<[_]>::to_vec),
        };
        if !takes_up {
            return Ok(Self {
                output: OutputCollector::default(),
                share,
                copies: Some(EventCopies::new(Arc::clone(&shared.turns), attempt)),
            });
        }
        let received = received_events(shared, head, &attempt).await?;
        attempt.stream.turn = received.stream;
        attempt.order = received.attempts;
        let output = OutputCollector::after(&received.events);
        let mut copies = EventCopies::new(Arc::clone(&shared.turns), attempt);
        if !copies.take_up(received.events).await {
            return Err(Refusal::EventsUnknown(EventsObstacle::TakeUpNotHeld));
        }
        Ok(Self {
            output,
            share,
            copies: Some(copies),
        })
    }

    /// Adds events that the caller is about to receive. Returns when they are at hand for a caller that takes the stream up,
    /// if that does not take long.
    ///
    /// # Errors
    ///
    /// Fails when the turn is too long, or the host has no room for it. It could not be stored.
    pub(super) async fn push(&mut self, events: &[u8]) -> Result<(), Refusal> {
        let before = self.output.events();
        self.output.push(events);
        let bytes = self.output.output_bytes();
        if bytes > OUTPUT_MAX_BYTES || !self.share.try_resize(bytes) {
            return Err(Refusal::TurnNotStored);
        }
        if let Some(copies) = &mut self.copies {
            copies.push(self.output.outputs_from(before)).await;
        }
        Ok(())
    }

    /// Returns the number of events.
    pub(super) fn count(&self) -> usize {
        self.output.events()
    }

    /// Returns the output of the turn.
    pub(super) fn finish(self) -> Bytes {
        self.output.finish()
    }
}

/// Returns the events that the caller has received of the stream which `attempt` takes up.
async fn received_events(
    shared: &Shared,
    head: &CallHead,
    attempt: &CopiedAttempt,
) -> Result<ReceivedEvents, Refusal> {
    let Some(origin) = &head.stream_origin else {
        return Err(Refusal::EventsUnknown(EventsObstacle::Unnamed));
    };
    let named = TurnKey {
        account: attempt.stream.account.clone(),
        turn: origin.clone(),
    };
    let last_event = head.last_event.unwrap_or_default();
    let last_event = usize::try_from(last_event).unwrap_or(usize::MAX);
    let regions = attempt.allowed_regions.as_deref();
    let lookup = shared
        .turns
        .received_events(&named, &attempt.call, last_event, regions);
    let obstacle = match lookup.await {
        Ok(received) => return Ok(received),
        Err(LookupError::HoldersSilent) => EventsObstacle::HoldersSilent,
        Err(LookupError::Unknown(unknown)) => EventsObstacle::Unknown(unknown),
    };
    Err(Refusal::EventsUnknown(obstacle))
}

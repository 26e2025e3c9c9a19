//! Copies of a stream's events at the hosts that hold the stream.
//!
//! The caller receives an event when one holder has it, so that the event is at hand when the caller takes the stream up
//! elsewhere. Holders that do not respond delay the caller by [`COPY_WAIT`] once.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use burdockroad::{
    HostId, RegionId,
    gateway::{StreamAttempt, StreamCall, StreamPart, TurnKey},
};
use bytes::Bytes;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use super::{READ_TIMEOUT, TurnClient, stream_lookup::majority};
use crate::turn_store::{
    links::{Destination, EncodedCall},
    members::writable,
    messages::{TurnCall, TurnResponse},
};

/// Longest time for which an event waits for its first copy.
const COPY_WAIT: Duration = Duration::from_millis(50);

/// Longest time for which an attempt that takes a stream up waits until a majority of the holders knows it.
const TAKE_UP_WAIT: Duration = Duration::from_millis(400);

/// Interval before a copy that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Time after the caller's deadline for which events are held.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Longest time for which events are held, whatever deadline the caller states.
const LIFETIME_MAX: Duration = Duration::from_mins(1);

/// Attempt whose events are copied.
#[derive(Clone, Debug)]
pub(crate) struct CopiedAttempt {
    /// Account and id of the attempt that began the stream.
    pub(crate) stream: TurnKey,
    /// Id of this attempt.
    pub(crate) id: String,
    /// Number of attempts before it.
    pub(crate) order: u32,
    pub(crate) call: StreamCall,
    /// Time until which the caller waits.
    pub(crate) deadline: Instant,
    /// Regions in which the events must stay; `None` if any region is allowed.
    pub(crate) allowed_regions: Option<Vec<RegionId>>,
}

/// Copies of the events that one attempt relays. They go on until the holders have all events, or until they fail after
/// this is dropped.
#[derive(Debug)]
pub(crate) struct EventCopies {
    turns: Arc<TurnClient>,
    source: Arc<CopySource>,
    /// Number of events to copy.
    count: watch::Sender<usize>,
    /// Numbers of events that the holders have; `None` before the first event.
    copied: Option<watch::Receiver<Vec<usize>>>,
    /// Whether the last event was relayed without a copy.
    is_behind: bool,
}

#[derive(Debug)]
struct CopySource {
    attempt: CopiedAttempt,
    events: Mutex<Vec<Bytes>>,
}

/// A host that receives copies.
#[derive(Debug)]
struct Holder {
    host: HostId,
    address: SocketAddr,
    /// Position among the holders.
    position: usize,
}

/// Why a copy did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyError {
    /// The holder did not respond.
    NoResponse,
    /// The holder has no room.
    NoRoom,
}

impl EventCopies {
    /// Prepares the copies of an attempt. Nothing is sent before its first event.
    pub(crate) fn new(turns: Arc<TurnClient>, attempt: CopiedAttempt) -> Self {
        Self {
            turns,
            source: Arc::new(CopySource {
                attempt,
                events: Mutex::default(),
            }),
            count: watch::Sender::new(0),
            copied: None,
            is_behind: false,
        }
    }

    /// Copies the events that an attempt which takes a stream up begins with. Returns whether a majority of the holders
    /// knows of the attempt, so that no later one misses it.
    pub(crate) async fn take_up(&mut self, events: Vec<Bytes>) -> bool {
        self.add(events);
        let holders = self.copied.as_ref().map_or(0, |copied| copied.borrow().len());
        self.wait_for_copies(majority(holders), TAKE_UP_WAIT).await
    }

    /// Copies events that the caller is about to receive.
    pub(crate) async fn push(&mut self, events: Vec<Bytes>) {
        if events.is_empty() {
            return;
        }
        self.add(events);
        let wait_max = if self.is_behind { Duration::ZERO } else { COPY_WAIT };
        self.is_behind = !self.wait_for_copies(1, wait_max).await;
        if self.is_behind {
            metrics::counter!("burdockroad_events_relayed_without_copy_total").increment(1);
        }
    }

    fn add(&mut self, events: Vec<Bytes>) {
        let count = {
            let mut all = self.source.lock();
            all.extend(events);
            all.len()
        };
        self.count.send_replace(count);
        if self.copied.is_none() {
            self.copied = Some(self.start());
        }
    }

    /// Starts to copy to the holders.
    fn start(&self) -> watch::Receiver<Vec<usize>> {
        let holders = self.holders();
        let copied = Arc::new(watch::Sender::new(vec![0; holders.len()]));
        for holder in holders {
            let count = self.count.subscribe();
            let copying = copy_events(
                Arc::clone(&self.turns),
                Arc::clone(&self.source),
                holder,
                count,
                Arc::clone(&copied),
            );
            tokio::spawn(copying);
        }
        copied.subscribe()
    }

    fn holders(&self) -> Vec<Holder> {
        let attempt = &self.source.attempt;
        let members = self.turns.lock().members.clone();
        let regions = attempt.allowed_regions.as_deref();
        let hosts = self
            .turns
            .event_holders(&attempt.stream.turn, writable(&members), regions);
        let known = hosts.into_iter().filter_map(|host| {
            let address = members.get(&host)?.address;
            Some((host, address))
        });
        let holders = known.enumerate().map(|(position, (host, address))| Holder {
            host,
            address,
            position,
        });
        holders.collect()
    }

    /// Waits until so many holders have all events. Returns whether they have.
    async fn wait_for_copies(&mut self, holders_min: usize, wait_max: Duration) -> bool {
        let count = *self.count.borrow();
        let Some(copied) = &mut self.copied else {
            return false;
        };
        let is_done = |copied: &Vec<usize>| {
            let complete = copied.iter().filter(|events| **events >= count);
            complete.count() >= holders_min
        };
        let waiting = timeout(wait_max, copied.wait_for(is_done)).await;
        waiting.is_ok_and(|ended| ended.is_ok())
    }
}

impl CopySource {
    fn lock(&self) -> MutexGuard<'_, Vec<Bytes>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the events after the first `from` ones, to be sent to a holder.
    fn part(&self, from: usize) -> StreamPart {
        let attempt = &self.attempt;
        let time_left = attempt.deadline.saturating_duration_since(Instant::now());
        StreamPart {
            stream: attempt.stream.clone(),
            attempt: StreamAttempt {
                id: attempt.id.clone(),
                order: attempt.order,
                call: attempt.call.clone(),
                events: self.lock()[from..].to_vec(),
            },
            from,
            lifetime: (time_left + EXPIRY_MARGIN).min(LIFETIME_MAX),
        }
    }
}

/// Copies events to a holder until there are no further ones. Sends all of them again to a holder that was restarted.
async fn copy_events(
    turns: Arc<TurnClient>,
    source: Arc<CopySource>,
    holder: Holder,
    mut count: watch::Receiver<usize>,
    copied: Arc<watch::Sender<Vec<usize>>>,
) {
    let mut sent = 0;
    loop {
        if *count.borrow_and_update() == sent {
            if count.changed().await.is_err() {
                return;
            }
            continue;
        }
        match turns.copy_part(&source, &holder, sent).await {
            Ok(held) => {
                sent = held;
                copied.send_modify(|copied| copied[holder.position] = held);
            }
            Err(CopyError::NoRoom) => return,
            Err(CopyError::NoResponse) if count.has_changed().is_err() => return,
            Err(CopyError::NoResponse) => sleep(RETRY_INTERVAL).await,
        }
    }
}

impl TurnClient {
    /// Sends the events after the first `from` ones to a holder. Returns the number of events that it has.
    async fn copy_part(&self, source: &CopySource, holder: &Holder, from: usize) -> Result<usize, CopyError> {
        let part = source.part(from);
        let end = from + part.attempt.events.len();
        let call = EncodedCall::new(TurnCall::HoldEvents(part)).map_err(|_unencodable| CopyError::NoRoom)?;
        let regions = source.attempt.allowed_regions.as_deref();
        let destination = Destination::new(&holder.host, holder.address, regions);
        // A holder of an earlier version does not know the call. Its health is not judged by that.
        match self.links().call(destination, &call, READ_TIMEOUT).await {
            Ok(TurnResponse::EventsHeld { events }) if events >= end || events < from => Ok(events.min(end)),
            Ok(TurnResponse::EventsHeld { .. }) => Err(CopyError::NoRoom),
            Ok(_) | Err(_) => Err(CopyError::NoResponse),
        }
    }
}

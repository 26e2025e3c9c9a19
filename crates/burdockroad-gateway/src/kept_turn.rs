//! Turn of a conversation that the system keeps.

mod relayed_events;

use std::time::{Duration, Instant};

use burdockroad::{
    RegionId,
    gateway::{Account, Route, Turn, TurnKey, common_regions, prompt},
};
use bytes::Bytes;

use self::relayed_events::RelayedEvents;
use crate::{
    CallHead,
    call_timeout::call_timeout,
    clock::unix_ms,
    refusal::{Refusal, TurnObstacle},
    shared::Shared,
    turn_store::client::{
        history::{History, HistoryError},
        replication::{HostsAtBegin, TurnStorage},
    },
};

/// Longest id of a turn that can exist.
const TURN_ID_MAX_BYTES: usize = 200;

/// Time for which a turn is stored after it can no longer be continued, as a multiple of its retention time.
/// Later turns of the chain need it until then; a chain that lasts longer is stored again.
const STORAGE_FACTOR: u32 = 2;

/// Additional storage time, because the clocks of hosts differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// Returns whether a caller takes a stream up of which it has received events.
pub(crate) fn takes_stream_up(head: &CallHead) -> bool {
    head.last_event.is_some_and(|last_event| last_event > 0)
}

/// Refuses a call whose turn could not be stored.
fn check_storage(shared: &Shared, allowed_regions: Option<&[RegionId]>) -> Result<(), Refusal> {
    let is_storable = match shared.turns.storage_for(allowed_regions) {
        TurnStorage::Hosts => true,
        TurnStorage::HostsAndSharedStore => !shared.tables().departures.is_store_outage(Instant::now()),
        TurnStorage::None => false,
    };
    if is_storable {
        Ok(())
    } else {
        Err(Refusal::TurnUnavailable(TurnObstacle::DiskHostsLost))
    }
}

/// A turn while its call is served.
#[derive(Debug)]
pub(crate) struct KeptTurn {
    key: TurnKey,
    history: History,
    /// Regions in which the call and its turn must stay.
    allowed_regions: Option<Vec<RegionId>>,
    input: Bytes,
    events: RelayedEvents,
    retention: Duration,
    hosts_at_begin: HostsAtBegin,
}

impl KeptTurn {
    /// Reads the history that a call continues.
    ///
    /// # Errors
    ///
    /// Fails when the previous turn does not exist or cannot be read, when the call's own turn could not be stored, or
    /// not within the caller's time, when the call and its history have no allowed region in common, and when what the
    /// caller has received of a stream that it takes up is not known.
    pub(crate) async fn begin(
        shared: &Shared,
        head: &CallHead,
        route: &Route,
        account: Option<&Account>,
        allowed_regions: Option<&[RegionId]>,
        input: Bytes,
    ) -> Result<Self, Refusal> {
        if shared.is_isolated() {
            return Err(Refusal::TurnUnavailable(TurnObstacle::Isolated));
        }
        check_storage(shared, allowed_regions)?;
        let time = call_timeout(head, route);
        if !takes_stream_up(head) && !shared.turns.may_be_served_in(&route.name, time) {
            return Err(Refusal::DeadlineExceededUnsent);
        }
        let key = |turn: &str| TurnKey {
            account: account.map_or_else(String::new, |account| account.name.clone()),
            turn: turn.to_owned(),
        };
        let history = match head.previous_turn.as_deref() {
            None => History::default(),
            Some(previous) if previous.is_empty() || previous.len() > TURN_ID_MAX_BYTES => {
                return Err(Refusal::UnknownTurn);
            }
            Some(previous) => shared
                .turns
                .history(&key(previous), allowed_regions)
                .await
                .map_err(|error| match error {
                    HistoryError::Nonexistent => Refusal::UnknownTurn,
                    HistoryError::Uncertain => Refusal::TurnUnavailable(TurnObstacle::HistoryUnread),
                })?,
        };
        // A turn is bound to the regions of its previous turn, too, so the newest turn has the regions of the whole
        // chain.
        let of_history = history.turns.last();
        let of_history = of_history.and_then(|newest| newest.allowed_regions.as_deref());
        let common = common_regions(allowed_regions, of_history);
        if common.as_ref().is_some_and(Vec::is_empty) {
            return Err(Refusal::NoAllowedEndpoint);
        }
        if of_history.is_some() {
            check_storage(shared, common.as_deref())?;
        }
        let key = key(&head.call_id);
        let events = RelayedEvents::begin(shared, head, route, &key, common.as_deref(), &input).await?;
        Ok(Self {
            key,
            history,
            allowed_regions: common,
            input,
            events,
            retention: route.retention,
            hosts_at_begin: shared.turns.hosts_at_begin(),
        })
    }

    /// Returns the prompt: the history and the new input.
    pub(crate) fn prompt(&self) -> Bytes {
        if self.history.turns.is_empty() {
            return self.input.clone();
        }
        prompt(&self.history.turns, &self.input)
    }

    /// Returns the memory that the history, the prompt that is made of it, and the stored turn take, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        let turns = self.history.turns.iter();
        let history_bytes: usize = turns.map(|turn| turn.input.len() + turn.output.len()).sum();
        let prompt_bytes = match history_bytes {
            0 => 0,
            _ => history_bytes + self.input.len(),
        };
        history_bytes + prompt_bytes + self.input.len()
    }

    /// Returns the number of turns that were read from other hosts.
    pub(crate) fn read_turns(&self) -> usize {
        self.history.read_turns
    }

    /// Returns the regions in which the call and its turn must stay; `None` if any region is allowed.
    pub(crate) fn allowed_regions(&self) -> Option<&[RegionId]> {
        self.allowed_regions.as_deref()
    }

    /// Adds events that the caller is about to receive.
    ///
    /// # Errors
    ///
    /// Fails when the turn has become too long to be stored.
    pub(crate) async fn push_events(&mut self, events: &[u8]) -> Result<(), Refusal> {
        self.events.push(events).await
    }

    /// Returns the number of events in the turn so far.
    pub(crate) fn events(&self) -> usize {
        self.events.count()
    }

    /// Stores the turn within the time that the caller has left. Returns the number of replicas, or `None` when the turn
    /// is not durable.
    pub(crate) async fn store(self, shared: &Shared, time_left: Duration) -> Option<usize> {
        let retention_ms = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        let storage_time = self.retention * STORAGE_FACTOR + CLOCK_MARGIN;
        let storage_ms = u64::try_from(storage_time.as_millis()).unwrap_or(u64::MAX);
        let ended_unix_ms = unix_ms();
        let previous = self.history.turns.last();
        let turn = Turn {
            previous: previous.map(|previous| previous.key.turn.clone()),
            root: previous.map_or_else(|| self.key.turn.clone(), |previous| previous.root.clone()),
            home_domain: previous.map_or_else(
                || shared.failure_domain.clone(),
                |previous| previous.home_domain.clone(),
            ),
            expires_unix_ms: ended_unix_ms.saturating_add(retention_ms),
            stored_until_unix_ms: ended_unix_ms.saturating_add(storage_ms),
            allowed_regions: self.allowed_regions,
            input: self.input,
            output: self.events.finish(),
            key: self.key,
        };
        let turns = &shared.turns;
        turns
            .store(
                turn,
                &self.history.turns,
                storage_time,
                self.hosts_at_begin,
                time_left,
            )
            .await
    }
}

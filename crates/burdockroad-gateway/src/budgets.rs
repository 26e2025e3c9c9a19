//! Holding tokens of a program's budget, at the host that keeps the program's account.
//!
//! All hosts rank each other in the same order for a program, and the first keeps its account: what calls
//! give back there is at hand for the next call without a write to the store. When that host does not
//! answer, the host that serves the call holds tokens itself; the store keeps the two apart.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, ProgramId,
    gateway::{Beginning, Need},
    ownership::rendezvous_order,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    peer::{PeerCall, PeerReply},
    reservations::look_again,
    shared::Shared,
};

/// Longest time that a call waits for its tokens.
const HOLD_WAIT_MAX: Duration = Duration::from_millis(900);

/// Longest time that another host's call waits here before it is told to ask again.
const REMOTE_WAIT_MAX: Duration = Duration::from_millis(200);

/// Time beyond that within which the other host has to answer.
const REMOTE_MARGIN: Duration = Duration::from_millis(100);

/// Pause before the budget of a program that has no room is looked at again.
const ROOM_PAUSE: Duration = Duration::from_millis(80);

/// When a caller may come back after the store did not answer.
const NO_STORE_RETRY: Duration = Duration::from_millis(1200);

/// Time without an answer of the store from which calls that need it are refused at arrival.
const STORE_LOST_MIN: Duration = Duration::from_millis(400);

/// Time after the process's start from which programs that it does not know have not begun.
const PROGRAMS_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Time beyond a call's own after which tokens held for another host count as used.
const HOLD_MARGIN: Duration = Duration::from_secs(2);

/// What a call wants held.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HoldAsk {
    /// Id of the call, which names the hold.
    pub(crate) call_id: String,
    /// Program whose budget it is.
    pub(crate) program: ProgramId,
    /// The whole budget.
    pub(crate) budget_tokens: u64,
    /// Tokens that the call may generate.
    pub(crate) most_tokens: u64,
    /// Calls for each slot of the service that the call goes to.
    pub(crate) load_per_slot: f64,
    /// Rank of the call; 0 is the most urgent.
    pub(crate) priority: u8,
    /// When the account's rate has room for a program to begin; none when one may begin now.
    pub(crate) begins_after: Option<Duration>,
    /// Time that the call has left.
    pub(crate) time_left: Duration,
}

/// Answer to a [`HoldAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum HoldReply {
    /// The tokens are held.
    Held {
        /// Whether the program begins with this call, as far as its keeper knows.
        begins: bool,
    },
    /// The program is to begin later, since the service is full.
    Later(Duration),
    /// The program is to begin later, since its account's rate is used up.
    OverRate(Duration),
    /// The budget cannot hold the call.
    Exhausted,
    /// Running calls take all that is left.
    NoRoom,
    /// The store did not answer in time.
    NoStore,
    /// The store has not answered for a while, so waiting is of no use.
    StoreLost,
}

/// Why tokens could not be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotHeld {
    /// The budget has no room for the call.
    Exhausted,
    /// The program is to begin later, since the service is full.
    Later {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The program is to begin later, since its account's rate is used up.
    OverRate {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The store did not answer in time.
    NoStore {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Tokens held for a call; it ends with [`release`].
#[derive(Debug)]
pub(crate) struct Hold {
    call_id: String,
    program: ProgramId,
    most_tokens: u64,
    /// Whether the program begins with this call.
    pub(crate) begins: bool,
    /// Host that holds them; none when this one does.
    keeper: Option<SocketAddr>,
}

/// Tokens that this host holds for a call of another.
#[derive(Debug)]
pub(crate) struct RemoteHold {
    program: ProgramId,
    most_tokens: u64,
    expires_at: Instant,
}

/// Holds tokens of a program's budget for a call.
pub(crate) async fn hold(shared: &Shared, ask: HoldAsk) -> Result<Hold, NotHeld> {
    let wait_ends_at = Instant::now() + HOLD_WAIT_MAX.min(ask.time_left);
    let keeper = keeper_of(shared, &ask.program);
    let mut reply = HoldReply::NoStore;
    if let Some(address) = keeper {
        let answered = hold_at(shared, address, &ask, wait_ends_at).await;
        match answered {
            Some(HoldReply::Held { begins }) => return Ok(ask.into_hold(begins, keeper)),
            Some(HoldReply::Later(retry_after)) => return Err(NotHeld::Later { retry_after }),
            Some(HoldReply::OverRate(retry_after)) => return Err(NotHeld::OverRate { retry_after }),
            Some(HoldReply::Exhausted | HoldReply::NoRoom) => return Err(NotHeld::Exhausted),
            Some(HoldReply::StoreLost) => {
                return Err(NotHeld::NoStore {
                    retry_after: NO_STORE_RETRY,
                });
            }
            Some(HoldReply::NoStore) | None => {}
        }
    }
    let waits = Instant::now() < wait_ends_at;
    if keeper.is_none() || waits {
        reply = hold_here(shared, &ask, keeper.is_none(), wait_ends_at).await;
    }
    match reply {
        HoldReply::Held { begins } => Ok(ask.into_hold(begins, None)),
        HoldReply::Later(retry_after) => Err(NotHeld::Later { retry_after }),
        HoldReply::OverRate(retry_after) => Err(NotHeld::OverRate { retry_after }),
        HoldReply::Exhausted | HoldReply::NoRoom => Err(NotHeld::Exhausted),
        HoldReply::NoStore | HoldReply::StoreLost => Err(NotHeld::NoStore {
            retry_after: NO_STORE_RETRY,
        }),
    }
}

/// Gives back what a call did not use.
pub(crate) fn release(shared: &Arc<Shared>, hold: Hold, used_tokens: u64) {
    match hold.keeper {
        None => {
            let now = Instant::now();
            let mut tables = shared.tables();
            tables
                .ledger
                .settle(&hold.program, hold.most_tokens, used_tokens, now);
            drop(tables);
            shared.reservations_changed.notify_waiters();
        }
        Some(address) => {
            let shared = Arc::clone(shared);
            let call = PeerCall::Release {
                call_id: hold.call_id,
                used_tokens,
            };
            tokio::spawn(async move {
                // A keeper that does not hear of the release counts all of the hold as used.
                let patience = REMOTE_WAIT_MAX + REMOTE_MARGIN;
                if shared.peer_client.call(address, &call, patience).await.is_err() {
                    metrics::counter!("burdockroad_holds_unreleased_total").increment(1);
                }
            });
        }
    }
}

/// Holds tokens for a call of another host.
pub(crate) async fn answer_hold(shared: &Shared, ask: HoldAsk) -> HoldReply {
    if shared.tables().remote_holds.contains_key(&ask.call_id) {
        return HoldReply::Held { begins: false };
    }
    let reply = hold_here(shared, &ask, true, Instant::now() + REMOTE_WAIT_MAX).await;
    if matches!(reply, HoldReply::Held { .. }) {
        let hold = RemoteHold {
            program: ask.program,
            most_tokens: ask.most_tokens,
            expires_at: Instant::now() + ask.time_left + HOLD_MARGIN,
        };
        shared.tables().remote_holds.insert(ask.call_id, hold);
    }
    reply
}

/// Ends a hold of another host's call.
pub(crate) fn answer_release(shared: &Shared, call_id: &str, used_tokens: u64) {
    let mut tables = shared.tables();
    if let Some(hold) = tables.remote_holds.remove(call_id) {
        let now = Instant::now();
        tables
            .ledger
            .settle(&hold.program, hold.most_tokens, used_tokens, now);
        drop(tables);
        shared.reservations_changed.notify_waiters();
    }
}

/// Counts holds whose hosts were not heard of again as used.
pub(crate) fn expire_holds(shared: &Shared, now: Instant) {
    let mut tables = shared.tables();
    let expired = tables.remote_holds.extract_if(|_, hold| hold.expires_at <= now);
    let expired: Vec<RemoteHold> = expired.map(|(_, hold)| hold).collect();
    for hold in expired {
        tables
            .ledger
            .settle(&hold.program, hold.most_tokens, hold.most_tokens, now);
    }
}

impl HoldAsk {
    fn into_hold(self, begins: bool, keeper: Option<SocketAddr>) -> Hold {
        Hold {
            call_id: self.call_id,
            program: self.program,
            most_tokens: self.most_tokens,
            begins,
            keeper,
        }
    }
}

/// The host that keeps a program's account; none when it is this one, or is not heard of.
fn keeper_of(shared: &Shared, program: &str) -> Option<SocketAddr> {
    let peers = shared.peers.borrow();
    let this = (!shared.is_stopping()).then(|| shared.host.clone());
    let hosts = peers.keys().cloned().chain(this);
    let first: HostId = rendezvous_order(program, hosts).into_iter().next()?;
    if first == shared.host {
        return None;
    }
    let heard = shared.tables().allowances.is_heard(&first, Instant::now());
    heard
        .then(|| peers.get(&first).map(|peer| peer.address))
        .flatten()
}

/// Asks the keeper until it holds the tokens or the wait is over; none when it does not answer.
async fn hold_at(
    shared: &Shared,
    keeper: SocketAddr,
    ask: &HoldAsk,
    wait_ends_at: Instant,
) -> Option<HoldReply> {
    loop {
        let call = PeerCall::Hold(ask.clone());
        let patience = REMOTE_WAIT_MAX + REMOTE_MARGIN;
        let replied = shared.peer_client.call(keeper, &call, patience).await;
        match replied {
            Ok(PeerReply::Hold(reply @ (HoldReply::NoRoom | HoldReply::NoStore))) => {
                if Instant::now() >= wait_ends_at {
                    return Some(reply);
                }
            }
            Ok(PeerReply::Hold(reply)) => return Some(reply),
            Ok(_) | Err(_) => return None,
        }
    }
}

/// Whether writes are known to fail, so that waiting for one is of no use; the writer tries on.
fn store_is_lost(shared: &Shared) -> bool {
    let lost_at = shared.tables().writes_lost_at;
    lost_at.is_some_and(|at| at.elapsed() >= STORE_LOST_MIN)
}

/// Why a program that has not begun may not begin now, if so.
fn kept_from_beginning(shared: &Shared, ask: &HoldAsk) -> Option<HoldReply> {
    let mut tables = shared.tables();
    if tables.ledger.knows(&ask.program) {
        return None;
    }
    let now = Instant::now();
    let knows_programs = now >= shared.started_at + PROGRAMS_KNOWN_AFTER;
    if let Some(retry_after) = ask.begins_after.filter(|_| knows_programs) {
        return Some(HoldReply::OverRate(retry_after));
    }
    let beginning = tables
        .gate
        .decide(&ask.program, ask.load_per_slot, ask.priority, rand::random(), now);
    match beginning {
        Beginning::Admitted => None,
        Beginning::Refused { retry_after } => Some(HoldReply::Later(retry_after)),
    }
}

/// A call that waits for tokens of its program's budget.
#[derive(Debug)]
struct Waiting<'a> {
    shared: &'a Shared,
    ask: &'a HoldAsk,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let ask = self.ask;
        self.shared.tables().ledger.leave(&ask.program, ask.most_tokens);
    }
}

/// Holds tokens at this host; `keeps` says whether it keeps the program's account.
async fn hold_here(shared: &Shared, ask: &HoldAsk, keeps: bool, wait_ends_at: Instant) -> HoldReply {
    let program = &ask.program;
    if let Some(reply) = kept_from_beginning(shared, ask) {
        return reply;
    }
    let begins = {
        let mut tables = shared.tables();
        let begins = !tables.ledger.knows(program);
        tables
            .ledger
            .enter(program, ask.budget_tokens, ask.most_tokens, keeps, Instant::now());
        begins
    };
    let _waiting = Waiting { shared, ask };
    loop {
        let mut changed = pin!(shared.reservations_changed.notified());
        changed.as_mut().enable();
        let need = shared.tables().ledger.take(program, ask.most_tokens);
        let patience = wait_ends_at.saturating_duration_since(Instant::now());
        match need {
            Need::Ready => return HoldReply::Held { begins },
            Need::Exhausted => return HoldReply::Exhausted,
            Need::Room if patience.is_zero() => return HoldReply::NoRoom,
            Need::Write if store_is_lost(shared) => return HoldReply::StoreLost,
            Need::Write if patience.is_zero() => return HoldReply::NoStore,
            Need::Room => {
                // Other hosts give back in the store, calls of this host by the notice.
                let _ended = timeout(patience.min(ROOM_PAUSE), changed).await;
                let wants_look = shared.tables().ledger.wants_look(program, Instant::now());
                if wants_look {
                    look_again(shared, program).await;
                }
            }
            Need::Write => {
                shared.reservation_wanted.notify_one();
                // A wait that ends without a change is seen to by the next round.
                let _ended = timeout(patience, changed).await;
            }
        }
    }
}

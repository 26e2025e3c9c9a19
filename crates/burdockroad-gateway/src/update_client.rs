//! Fetches updates of ranges from other hosts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad_daemon::platform::Revision;
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    RangeUpdate,
    clock::as_ms,
    peer_client::{FailedFetch, FetchPhase},
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
    update_message::unpack,
};

/// Time without any data after which a host counts as unresponsive.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an update that no host has sent is given up.
const TURN_TIME_MAX: Duration = Duration::from_millis(1500);

/// Time after which a host asks the watcher again when the host that it was sent on to lacks the update.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time after which a host asks again.
const TURN_WAIT_MAX: Duration = Duration::from_millis(500);

/// An update, and the address of the host that sent it.
#[derive(Debug)]
pub(crate) struct FetchedUpdate {
    pub(crate) sender: SocketAddr,
    pub(crate) update: RangeUpdate,
}

/// Response of a host to a request for an update.
enum Answer {
    Update(RangeUpdate),
    /// The host asks again after a wait, at `holder` if there is one.
    Later {
        wait: Duration,
        holder: Option<SocketAddr>,
    },
    /// The host has not read the range.
    Unread,
    Failed(FailedFetch),
}

/// Fetches the update of a range after a revision from a watcher, or from a host that the watcher names; `None` if none
/// of them sends one.
pub(crate) async fn fetch_update(
    shared: &Shared,
    prefix: &str,
    watcher: SocketAddr,
    after: Revision,
) -> Option<FetchedUpdate> {
    let begun_at = Instant::now();
    let mut asked = watcher;
    while begun_at.elapsed() < TURN_TIME_MAX {
        let asked_at = Instant::now();
        let answer = ask(shared, prefix, asked, after).await;
        let given_up = |phase, received_bytes| UpdateGivenUpLine {
            prefix,
            host: asked,
            phase,
            received_bytes,
            waited_ms: as_ms(asked_at.elapsed()),
        };
        match answer {
            Answer::Update(update) if asked == watcher || update.as_of() > after => {
                let sender = asked;
                return Some(FetchedUpdate { sender, update });
            }
            Answer::Later { wait, holder } => {
                sleep(wait.min(TURN_WAIT_MAX)).await;
                asked = holder.unwrap_or(asked);
                continue;
            }
            Answer::Update(_) | Answer::Unread => {}
            Answer::Failed(failed) => {
                let line = given_up(failed.phase, failed.received_bytes);
                shared.log.line("range_update_given_up", &line);
            }
        }
        if asked == watcher {
            return None;
        }
        asked = watcher;
        sleep(RETRY_INTERVAL).await;
    }
    let line = UpdateGivenUpLine {
        prefix,
        host: watcher,
        phase: FetchPhase::Turn,
        received_bytes: 0,
        waited_ms: as_ms(begun_at.elapsed()),
    };
    shared.log.line("range_update_given_up", &line);
    None
}

async fn ask(shared: &Shared, prefix: &str, address: SocketAddr, after: Revision) -> Answer {
    let call = PeerCall::RangeUpdate {
        prefix: prefix.to_owned(),
        after,
        packed_for: Some(shared.host.clone()),
    };
    match shared.peer_client.fetch(address, &call, PROGRESS_TIMEOUT).await {
        Ok(PeerResponse::RangeUpdate(Some(response))) => Answer::Update(response.update),
        Ok(PeerResponse::PackedRangeUpdate { deflated }) => match unpack(&deflated) {
            Some(update) => Answer::Update(update),
            None => Answer::Failed(FailedFetch {
                phase: FetchPhase::Decoding,
                received_bytes: deflated.len(),
            }),
        },
        Ok(PeerResponse::RangeUpdateLater { wait, holder }) => Answer::Later { wait, holder },
        Ok(_unread) => Answer::Unread,
        Err(failed) => Answer::Failed(failed),
    }
}

#[derive(Serialize)]
struct UpdateGivenUpLine<'a> {
    prefix: &'a str,
    host: SocketAddr,
    phase: FetchPhase,
    received_bytes: usize,
    waited_ms: u64,
}

//! Reads of the chains that calls continue.

use std::sync::Arc;

use burdockroad::{
    RegionId,
    gateway::{Lookup, LookupOutcome, LookupReplies, LookupReply, Turn, TurnKey},
};
use serde::Serialize;
use tokio::time::timeout;

use super::{READ_TIMEOUT, TurnClient};
use crate::{
    clock::unix_ms,
    turn_store::{
        links::{Destination, EncodedCall},
        members::readable,
        messages::{TurnCall, TurnResponse},
    },
};

/// Longest chain that is read. The limit ends a cycle of turns whose callers used an id twice.
const HISTORY_MAX_TURNS: usize = 4096;

/// Chain of turns that a call continues.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The turns, oldest first.
    pub(crate) turns: Vec<Arc<Turn>>,
    /// Number of turns that were read from other hosts.
    pub(crate) read_turns: usize,
}

/// Reason why a chain could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HistoryError {
    /// The turn does not exist.
    Nonexistent,
    /// The turn may exist, but not all hosts that may store it responded.
    Uncertain,
}

impl TurnClient {
    /// Returns the chain that ends with a turn. Turns that this host does not have are read from hosts in allowed
    /// regions if possible.
    pub(crate) async fn history(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<History, HistoryError> {
        let mut newest_first: Vec<Arc<Turn>> = self.lock().cache.newest_of_chain(key);
        let mut read_turns = 0;
        let mut next = match newest_first.last() {
            Some(oldest) => oldest.previous_key(),
            None => Some(key.clone()),
        };
        while let Some(missing) = next {
            if newest_first.len() >= HISTORY_MAX_TURNS {
                return Err(HistoryError::Uncertain);
            }
            let read = match self.read_chain_or_copy(&missing, allowed_regions).await {
                Ok(read) => read,
                // An ancestor of a turn that exists must exist, too.
                Err(unread) if unread.error == HistoryError::Uncertain || !newest_first.is_empty() => {
                    self.log_unread(key, &missing, newest_first.len(), unread.replies);
                    return Err(HistoryError::Uncertain);
                }
                Err(unread) => return Err(unread.error),
            };
            read_turns += read.len();
            newest_first.extend(read.into_iter().map(Arc::new));
            next = newest_first.last().and_then(|oldest| oldest.previous_key());
        }
        if newest_first
            .first()
            .is_none_or(|turn| turn.expires_unix_ms <= unix_ms())
        {
            return Err(HistoryError::Nonexistent);
        }
        newest_first.reverse();
        let mut state = self.lock();
        for turn in &newest_first {
            state.cache.insert(Arc::clone(turn));
        }
        Ok(History {
            turns: newest_first,
            read_turns,
        })
    }

    /// Reads the newest turns of a chain, newest turn first. A turn that no host returns may have a copy in the shared store.
    async fn read_chain_or_copy(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<Vec<Turn>, UnreadChain> {
        let unread = match self.read_chain(key, allowed_regions).await {
            Ok(read) => return Ok(read),
            Err(unread) => unread,
        };
        match timeout(READ_TIMEOUT, self.shared_copies.read(key)).await {
            Ok(Ok(Some(turn))) => Ok(vec![turn]),
            Ok(Ok(None)) => Err(unread),
            Ok(Err(_)) | Err(_) => Err(UnreadChain {
                error: HistoryError::Uncertain,
                ..unread
            }),
        }
    }

    /// Reads the newest turns of a chain, newest turn first.
    ///
    /// Hosts in allowed regions are asked first. A turn may have been stored before its conversation was bound to
    /// regions, so it is nonexistent only if the other hosts do not have it either. Those receive only the
    /// turn's key.
    async fn read_chain(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<Vec<Turn>, UnreadChain> {
        let is_allowed = |domain: &str| self.regions.allows(domain, allowed_regions);
        let read = self.read_chain_in(key, allowed_regions, is_allowed).await;
        let has_others = {
            let hosts = readable(&self.lock().members);
            hosts.iter().any(|host| !is_allowed(&host.failure_domain))
        };
        match read {
            Err(unread) if unread.error == HistoryError::Nonexistent && has_others => {
                self.read_chain_in(key, allowed_regions, |domain| !is_allowed(domain))
                    .await
            }
            read => read,
        }
    }

    /// Reads the newest turns of a chain from those hosts that may store them whose failure domain is `included`.
    async fn read_chain_in(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
        included: impl Fn(&str) -> bool,
    ) -> Result<Vec<Turn>, UnreadChain> {
        let members = self.lock().members.clone();
        let mut hosts = readable(&members);
        hosts.retain(|host| included(&host.failure_domain));
        let mut lookup = Lookup::new(key, &self.failure_domain, &hosts, &self.disk_hosts.health());
        let call = TurnCall::ReadChain(key.clone());
        let call = EncodedCall::new(call).map_err(|_unencodable| UnreadChain {
            error: HistoryError::Uncertain,
            replies: lookup.replies(),
        })?;
        let mut chain = Vec::new();
        while let Some(host) = lookup.next_host() {
            let Some(member) = members.get(&host) else {
                continue;
            };
            let destination = Destination::new(&host, member.address, allowed_regions);
            let response = self.disk_hosts.call(destination, &call, READ_TIMEOUT).await;
            let reply = match response {
                Ok(TurnResponse::Chain(turns)) if !turns.is_empty() => {
                    chain = turns;
                    LookupReply::Found
                }
                Ok(TurnResponse::Absent { complete: true }) => LookupReply::Absent,
                Ok(_) => LookupReply::Incomplete,
                Err(_) => LookupReply::NoReply,
            };
            lookup.record(reply);
        }
        let error = match lookup.outcome() {
            LookupOutcome::Found => return Ok(chain),
            LookupOutcome::Nonexistent => HistoryError::Nonexistent,
            LookupOutcome::Uncertain => HistoryError::Uncertain,
        };
        Err(UnreadChain {
            error,
            replies: lookup.replies(),
        })
    }

    /// Logs that a turn of the chain that a call continues was not read.
    fn log_unread(&self, named: &TurnKey, unread: &TurnKey, turns_read: usize, replies: LookupReplies) {
        metrics::counter!("burdockroad_histories_unread_total").increment(1);
        let line = HistoryUnreadLine {
            turn: &named.turn,
            unread_turn: &unread.turn,
            turns_read,
            replies,
        };
        self.log.line("history_unread", &line);
    }
}

/// A turn that no host returned.
struct UnreadChain {
    error: HistoryError,
    replies: LookupReplies,
}

/// Log line of a chain that was not read to its first turn.
#[derive(Serialize)]
struct HistoryUnreadLine<'a> {
    /// The turn that the call names.
    turn: &'a str,
    /// The turn of its chain that was not read.
    unread_turn: &'a str,
    /// Number of newer turns of the chain that were read.
    turns_read: usize,
    #[serde(flatten)]
    replies: LookupReplies,
}

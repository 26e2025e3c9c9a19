//! Reads of the chains that calls continue.

use std::sync::Arc;

use burdockroad::{
    RegionId,
    gateway::{Lookup, LookupOutcome, LookupReply, Turn, TurnKey},
};

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
            let read = self.read_chain(&missing, allowed_regions).await;
            let read = match read {
                // An ancestor of a turn that exists must exist, too.
                Err(_) if !newest_first.is_empty() => return Err(HistoryError::Uncertain),
                read => read?,
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

    /// Reads the newest turns of a chain, newest turn first.
    ///
    /// Hosts in allowed regions are asked first. A turn may have been stored before its conversation was bound to
    /// regions, so it is nonexistent only if the other hosts do not have it either. Those receive only the
    /// turn's key.
    async fn read_chain(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<Vec<Turn>, HistoryError> {
        let is_allowed = |domain: &str| self.regions.allows(domain, allowed_regions);
        let read = self.read_chain_in(key, allowed_regions, is_allowed).await;
        let has_others = {
            let hosts = readable(&self.lock().members);
            hosts.iter().any(|host| !is_allowed(&host.failure_domain))
        };
        match read {
            Err(HistoryError::Nonexistent) if has_others => {
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
    ) -> Result<Vec<Turn>, HistoryError> {
        let members = self.lock().members.clone();
        let mut hosts = readable(&members);
        hosts.retain(|host| included(&host.failure_domain));
        let mut lookup = Lookup::new(key, &self.failure_domain, &hosts, &self.disk_hosts.health());
        let call = TurnCall::ReadChain(key.clone());
        let call = EncodedCall::new(call).map_err(|_unencodable| HistoryError::Uncertain)?;
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
        match lookup.outcome() {
            LookupOutcome::Found => Ok(chain),
            LookupOutcome::Nonexistent => Err(HistoryError::Nonexistent),
            LookupOutcome::Uncertain => Err(HistoryError::Uncertain),
        }
    }
}

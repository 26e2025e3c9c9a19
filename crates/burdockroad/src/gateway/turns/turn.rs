//! Turns and the prompt that a chain of turns forms.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, RegionId};

/// Id of a turn: the id of the call that generated it.
pub type TurnId = String;

/// Name of a turn. Accounts choose the ids of their calls independently, so an id is only unique within its
/// account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TurnKey {
    /// Account that the turn belongs to; empty for callers without an account.
    pub account: AccountId,
    /// Id of the turn.
    pub turn: TurnId,
}

/// Turn that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Turn {
    /// Name of the turn.
    pub key: TurnKey,
    /// The turn that this turn continues; `None` for the first turn of a chain.
    pub previous: Option<TurnId>,
    /// First turn of the chain. All turns of a chain are stored on the same hosts.
    pub root: TurnId,
    /// Failure domain of the host that served the first turn of the chain.
    pub home_domain: String,
    /// Time until which the turn may be continued, in Unix milliseconds.
    pub expires_unix_ms: u64,
    /// Time until which the turn is stored, in Unix milliseconds. It is later than `expires_unix_ms`, because
    /// the turn is also part of the chains of the turns that continue it.
    pub stored_until_unix_ms: u64,
    /// Regions in which the turn may be stored; `None` if it may be stored anywhere, as turns of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<RegionId>>,
    /// Request body of the turn, without its history.
    pub input: Bytes,
    /// Data of the turn's events, each followed by a line feed.
    pub output: Bytes,
}

impl Turn {
    /// Returns the name of the previous turn.
    pub fn previous_key(&self) -> Option<TurnKey> {
        let previous = self.previous.clone()?;
        Some(TurnKey {
            account: self.key.account.clone(),
            turn: previous,
        })
    }

    /// Returns the size of the turn's contents in bytes.
    pub fn content_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Returns the turns of a chain that must be stored again so that they last as long as its newest turn.
///
/// Their copies are stored for `storage_time_ms` from now.
pub fn renewals(chain: &[Arc<Turn>], newest: &Turn, now_unix_ms: u64, storage_time_ms: u64) -> Vec<Turn> {
    let expiring = chain
        .iter()
        .filter(|turn| turn.stored_until_unix_ms < newest.expires_unix_ms);
    let renewed = expiring.map(|turn| Turn {
        stored_until_unix_ms: now_unix_ms + storage_time_ms,
        ..Turn::clone(turn)
    });
    renewed.collect()
}

/// Joins a chain of turns, oldest first, with the input of a new turn.
pub fn prompt(chain: &[Arc<Turn>], input: &[u8]) -> Bytes {
    let history_bytes: usize = chain.iter().map(|turn| turn.content_bytes()).sum();
    let mut prompt = BytesMut::with_capacity(history_bytes + input.len());
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}

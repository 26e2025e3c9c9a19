//! Memory that callers may make a host hold.

use super::MachineLimits;

/// Least memory that the process keeps for its own work: its tables, the cache of turns, calls of other hosts and the
/// store.
const OWN_MIN_BYTES: usize = 24_000_000;

/// Least memory for messages of other hosts: the longest one, and what is decoded from it.
const MESSAGES_MIN_BYTES: usize = 17_000_000;

/// Largest request, with what its call needs, or response that counts as an ordinary one.
const ORDINARY_MAX_BYTES: usize = 192 << 10;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A connection.
    Connection,
    /// A request that has not run.
    Request,
    /// The history that a request continues, while it is read.
    History,
    /// A response, or what is kept of it for a call that runs.
    Response,
    /// A message of another host.
    Message,
}

/// Memory that callers may make a host hold, and how much of it is in use.
///
/// Large requests leave a part for ordinary ones, and both leave a part for responses: a call that has run must not be lost
/// because others wait to run. Large responses have a part of their own, so that endpoints in trouble, which may send
/// responses without end, do not take the room of requests to others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(clippy::struct_field_names, reason = "each field carries its unit")]
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: usize,
    large_response_bytes: usize,
    peak_bytes: usize,
}

impl MemoryBudget {
    /// Returns a budget of `max_bytes`.
    pub fn of(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            large_response_bytes: 0,
            peak_bytes: 0,
        }
    }

    /// Returns the budget on a machine: seven tenths of its memory, or what the process's own work leaves.
    pub fn on(machine: MachineLimits) -> Self {
        let own_bytes = (machine.memory_bytes / 10 * 3).max(OWN_MIN_BYTES);
        let left_bytes = machine.memory_bytes.saturating_sub(own_bytes);
        let max_bytes = left_bytes.max(machine.memory_bytes / 4);
        Self::of(machine.parts.caller_memory_bytes.unwrap_or(max_bytes))
    }

    /// Returns the budget for messages of other hosts to a host that serves callers, or that stores turns.
    pub fn for_messages(machine: MachineLimits, stores_turns: bool) -> Self {
        let part = if stores_turns { 3 } else { 6 };
        let max_bytes = (machine.memory_bytes / part).max(MESSAGES_MIN_BYTES);
        Self::of(machine.parts.message_memory_bytes.unwrap_or(max_bytes))
    }

    /// Lets a holder of `before_bytes` hold `after_bytes`. Returns whether there is room; there always is for less.
    pub fn resize(&mut self, before_bytes: usize, after_bytes: usize, memory_use: MemoryUse) -> bool {
        let used_bytes = self.used_bytes.saturating_sub(before_bytes);
        let used_bytes = used_bytes.saturating_add(after_bytes);
        let large_before_bytes = large_response_part(before_bytes, memory_use);
        let large_after_bytes = large_response_part(after_bytes, memory_use);
        let large_bytes = self.large_response_bytes.saturating_sub(large_before_bytes);
        let large_bytes = large_bytes.saturating_add(large_after_bytes);
        let has_room = used_bytes <= self.ceiling_bytes(after_bytes, memory_use)
            && (large_after_bytes == 0 || large_bytes <= self.max_bytes / 4);
        if after_bytes > before_bytes && !has_room {
            return false;
        }
        self.used_bytes = used_bytes;
        self.large_response_bytes = large_bytes;
        self.peak_bytes = self.peak_bytes.max(used_bytes);
        true
    }

    /// Returns the memory that is in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the largest memory that was in use, in bytes.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Returns the memory that all holders may use, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    fn ceiling_bytes(&self, wanted_bytes: usize, memory_use: MemoryUse) -> usize {
        let sixteenth = self.max_bytes / 16;
        match memory_use {
            MemoryUse::Response | MemoryUse::Message => self.max_bytes,
            MemoryUse::Connection | MemoryUse::History => 15 * sixteenth,
            MemoryUse::Request if wanted_bytes <= ORDINARY_MAX_BYTES => 15 * sixteenth,
            MemoryUse::Request => 14 * sixteenth,
        }
    }
}

/// Returns what a holder of `bytes` adds to the large responses.
fn large_response_part(bytes: usize, memory_use: MemoryUse) -> usize {
    match memory_use {
        MemoryUse::Response if bytes > ORDINARY_MAX_BYTES => bytes,
        _ => 0,
    }
}

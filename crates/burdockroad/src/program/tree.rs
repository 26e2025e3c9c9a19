//! Program trees, their programs and calls.

use std::{collections::BTreeMap, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{AccountId, CallNumber, EndpointId, ProgramId},
    program::{CachedPrefix, CallKind, Event, Intent, Ledger, Outcome},
};

/// A root program and all of its sub-agents, which share one budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tree {
    /// The root program.
    pub root_id: ProgramId,
    /// The account that all programs of the tree run for.
    pub account_id: AccountId,
    /// The shared budget and the amounts spent from it.
    pub ledger: Ledger,
    /// Sequence number of the last change.
    pub sequence: u64,
    /// The programs, by id.
    pub programs: BTreeMap<ProgramId, Program>,
    /// Prefixes that endpoints may have cached for the programs.
    #[serde(rename = "holds")]
    pub cached_prefixes: Vec<CachedPrefix>,
    /// Size of all messages and responses, in bytes.
    pub history_bytes: u64,
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Program {
    /// Id of the program.
    pub id: ProgramId,
    /// The parent program, if this is a sub-agent.
    pub parent_id: Option<ProgramId>,
    /// Whether the program is active or has ended.
    pub state: State,
    /// Calls in order; the call with number `n` is at index `n - 1`.
    pub calls: Vec<Call>,
}

/// State of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The program accepts calls.
    Active,
    /// The program accepts no more calls.
    Ended {
        /// Short reason, shown to the caller.
        reason: String,
        /// End time.
        ended_at: SystemTime,
    },
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// The intent recorded before the call was sent; for a retried call, that of the last attempt.
    pub intent: Intent,
    /// Outcome of the call; none while it is running.
    pub outcome: Option<Outcome>,
    /// Total number of tokens spent by all attempts.
    pub spent_tokens: u64,
}

impl Call {
    /// Returns the sequence number of the call within its program.
    pub fn number(&self) -> CallNumber {
        self.intent.call_number
    }

    /// Returns the messages that the call added to the conversation. Returns none for a service call, and
    /// for a completion without a response.
    fn conversation_messages(&self) -> Option<impl Iterator<Item = &str>> {
        let Some(Outcome::Answered(response)) = &self.outcome else {
            return None;
        };
        // The response of an ordinary service belongs to the caller. It becomes part of the
        // conversation only if the caller sends it in a message.
        if self.intent.kind == CallKind::Service {
            return None;
        }
        let message = response.message.as_deref()?;
        Some(
            self.intent
                .messages
                .iter()
                .map(String::as_str)
                .chain(std::iter::once(message)),
        )
    }

    /// Returns whether the call number cannot be reused, because the call has a response, or because it
    /// may have run and is not idempotent.
    pub fn is_final(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Answered(_) | Outcome::Unknown { .. }))
    }
}

/// Resource usage of a program, used for fair scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens that engines generated for the whole tree.
    pub attained_tokens: u64,
    /// Size of the program's history, in bytes.
    pub history_bytes: u64,
}

impl Tree {
    /// Creates a tree from the event that created its root.
    ///
    /// # Errors
    ///
    /// Fails for any other event.
    pub fn from_created(event: &Event) -> Result<Self> {
        let Event::Created {
            program_id,
            account_id,
            parent_id: None,
            budget: Some(budget),
            created_at,
        } = event
        else {
            return Err(Error::new(
                "the first event of a program tree must create its root",
            ));
        };
        let root = Program::new(program_id.clone(), None);
        Ok(Self {
            root_id: program_id.clone(),
            account_id: account_id.clone(),
            ledger: Ledger::new(*budget, *created_at),
            sequence: 1,
            programs: BTreeMap::from([(program_id.clone(), root)]),
            cached_prefixes: Vec::new(),
            history_bytes: 0,
        })
    }

    /// Applies the next change to the tree and increments the sequence number.
    ///
    /// # Errors
    ///
    /// Fails if the change is not valid in the current state; the tree is then unchanged.
    pub fn apply(&mut self, event: &Event) -> Result<()> {
        match event {
            Event::Created {
                program_id,
                parent_id,
                ..
            } => self.add_program(program_id, parent_id.as_ref())?,
            Event::Intent { program_id, intent } => self.open_call(program_id, intent)?,
            Event::Settled {
                program_id,
                call_number,
                outcome,
                spent_tokens,
            } => {
                self.close_call(program_id, *call_number, outcome, *spent_tokens)?;
            }
            Event::Released {
                program_id,
                endpoint_id,
            } => self.remove_cached_prefix(program_id, endpoint_id),
            Event::Ended {
                program_id,
                reason,
                ended_at,
            } => {
                let state = State::Ended {
                    reason: reason.clone(),
                    ended_at: *ended_at,
                };
                self.program_mut(program_id)?.state = state;
            }
            Event::Snapshot { .. } | Event::Dropped => {
                return Err(Error::new(
                    "a snapshot or drop event replaces a tree and cannot be applied to one",
                ));
            }
        }
        self.sequence += 1;
        Ok(())
    }

    /// Returns whether all programs of the tree have ended.
    pub fn has_ended(&self) -> bool {
        self.programs
            .values()
            .all(|program| program.state != State::Active)
    }

    /// Returns when the last program of the tree ended, or none while one is active.
    pub fn ended_at(&self) -> Option<SystemTime> {
        let mut latest = None;
        for program in self.programs.values() {
            match &program.state {
                State::Active => return None,
                State::Ended { ended_at, .. } => latest = latest.max(Some(*ended_at)),
            }
        }
        latest
    }

    /// Returns a program and all of its direct and indirect sub-agents.
    pub fn descendants(&self, program_id: &ProgramId) -> Vec<ProgramId> {
        let mut found = vec![program_id.clone()];
        let mut next = 0;
        while next < found.len() {
            let parent_id = found[next].clone();
            let children = self
                .programs
                .values()
                .filter(|program| program.parent_id.as_ref() == Some(&parent_id));
            found.extend(children.map(|program| program.id.clone()));
            next += 1;
        }
        found
    }

    /// Returns events that close all running calls after the owner of the tree failed.
    ///
    /// Each call is charged its whole reservation, because the engine may have generated that many tokens.
    pub fn close_orphans(&self, reason: &str) -> Vec<Event> {
        let calls = self
            .programs
            .values()
            .filter_map(|program| program.calls.last().map(|call| (&program.id, call)));
        calls
            .filter(|(_, call)| call.outcome.is_none())
            .map(|(id, call)| orphan_settlement(id, call, reason))
            .collect()
    }

    fn add_program(&mut self, program_id: &ProgramId, parent_id: Option<&ProgramId>) -> Result<()> {
        let Some(parent_id) = parent_id.filter(|id| self.programs.contains_key(*id)) else {
            return Err(Error::new(format!(
                "the parent of program {program_id} is not in the tree"
            )));
        };
        let program = Program::new(program_id.clone(), Some(parent_id.clone()));
        self.programs.insert(program_id.clone(), program);
        Ok(())
    }

    fn open_call(&mut self, program_id: &ProgramId, intent: &Intent) -> Result<()> {
        let program = self.program_mut(program_id)?;
        let number = intent.call_number;
        if number != program.next_number() {
            let next = program.next_number();
            return Err(Error::new(format!(
                "call {number} of program {program_id} is out of order, expected call {next}"
            )));
        }
        if program.running().is_some() {
            return Err(Error::new(format!(
                "call {number} of program {program_id} is already running"
            )));
        }
        let before = program.messages_bytes(number);
        program.open(intent);
        let after = program.messages_bytes(number);
        self.history_bytes = self.history_bytes.saturating_sub(before) + after;
        self.ledger.reserve(intent.reserved_tokens);
        if intent.keeps_prefix {
            self.add_cached_prefix(program_id, intent);
        }
        Ok(())
    }

    fn close_call(
        &mut self,
        program_id: &ProgramId,
        call_number: CallNumber,
        outcome: &Outcome,
        spent_tokens: u64,
    ) -> Result<()> {
        let program = self.program_mut(program_id)?;
        let Some(call) = program
            .calls
            .last_mut()
            .filter(|call| call.number() == call_number)
        else {
            return Err(Error::new(format!(
                "call {call_number} of program {program_id} was never sent"
            )));
        };
        if call.outcome.is_some() {
            return Err(Error::new(format!(
                "call {call_number} of program {program_id} has already ended"
            )));
        }
        call.outcome = Some(outcome.clone());
        call.spent_tokens += spent_tokens;
        let reserved_tokens = call.intent.reserved_tokens;
        self.history_bytes += outcome.bytes();
        if matches!(outcome, Outcome::NotRun) {
            self.ledger.cancel(reserved_tokens);
        } else {
            self.ledger.settle(reserved_tokens, spent_tokens);
        }
        Ok(())
    }

    fn add_cached_prefix(&mut self, program_id: &ProgramId, intent: &Intent) {
        let prefix = CachedPrefix {
            program_id: program_id.clone(),
            pool_id: intent.pool_id.clone(),
            endpoint_id: intent.endpoint_id.clone(),
        };
        if !self.cached_prefixes.contains(&prefix) {
            self.cached_prefixes.push(prefix);
        }
    }

    fn remove_cached_prefix(&mut self, program_id: &ProgramId, endpoint_id: &EndpointId) {
        self.cached_prefixes
            .retain(|prefix| prefix.program_id != *program_id || prefix.endpoint_id != *endpoint_id);
    }

    fn program_mut(&mut self, program_id: &ProgramId) -> Result<&mut Program> {
        let root_id = &self.root_id;
        self.programs
            .get_mut(program_id)
            .ok_or_else(|| Error::new(format!("program {program_id} is not in the tree of {root_id}")))
    }
}

impl Program {
    fn new(id: ProgramId, parent_id: Option<ProgramId>) -> Self {
        Self {
            id,
            parent_id,
            state: State::Active,
            calls: Vec::new(),
        }
    }

    /// Returns the number that the next call must have: the number of a failed last call, or the one
    /// after the last call.
    pub fn next_number(&self) -> CallNumber {
        match self.calls.last() {
            Some(call) if call.is_final() => call.number() + 1,
            Some(call) => call.number(),
            None => 1,
        }
    }

    /// Returns the running call, which was sent and has not ended, or none if no call is running.
    pub fn running(&self) -> Option<&Call> {
        self.calls.last().filter(|call| call.outcome.is_none())
    }

    /// Returns the call with this number, or none if it was never sent.
    pub fn call(&self, number: CallNumber) -> Option<&Call> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        self.calls.get(index)
    }

    /// Returns the messages of all completions with a response, as JSON texts in conversation order.
    pub fn messages(&self) -> impl Iterator<Item = &str> {
        self.calls
            .iter()
            .filter_map(Call::conversation_messages)
            .flatten()
    }

    /// Returns the endpoint of the last call that asked the engine to keep the program's prefix. The
    /// endpoint may still have the prefix in its KV cache.
    pub fn prefix_endpoint_id(&self) -> Option<&EndpointId> {
        let completions = self.calls.iter().rev().filter(|call| call.intent.keeps_prefix);
        completions.map(|call| &call.intent.endpoint_id).next()
    }

    /// Returns the size of the new messages of a call, in bytes.
    fn messages_bytes(&self, number: CallNumber) -> u64 {
        let messages = self
            .call(number)
            .into_iter()
            .flat_map(|call| &call.intent.messages);
        messages.map(|message| message.len() as u64).sum()
    }

    fn open(&mut self, intent: &Intent) {
        match self
            .calls
            .last_mut()
            .filter(|call| call.number() == intent.call_number)
        {
            Some(call) => {
                call.intent = intent.clone();
                call.outcome = None;
            }
            None => self.calls.push(Call {
                intent: intent.clone(),
                outcome: None,
                spent_tokens: 0,
            }),
        }
    }
}

fn orphan_settlement(program_id: &ProgramId, call: &Call, reason: &str) -> Event {
    let reason = reason.to_owned();
    let outcome = if call.intent.idempotent {
        Outcome::Failed { reason }
    } else {
        Outcome::Unknown { reason }
    };
    Event::Settled {
        program_id: program_id.clone(),
        call_number: call.number(),
        outcome,
        spent_tokens: call.intent.reserved_tokens,
    }
}

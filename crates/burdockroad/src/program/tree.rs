//! A program tree and the programs in it.

use std::{collections::BTreeMap, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{AccountId, CallNumber, EndpointId, ProgramId},
    program::{CallKind, Event, Hold, Intent, Ledger, Outcome},
};

/// Programs that share one budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tree {
    /// The program that has no parent.
    pub root_id: ProgramId,
    /// The account that all of them run for.
    pub account_id: AccountId,
    /// What they spend together.
    pub ledger: Ledger,
    /// Sequence number of the last change.
    pub sequence: u64,
    /// The programs by their ids.
    pub programs: BTreeMap<ProgramId, Program>,
    /// Engine memory that endpoints may hold for the programs.
    pub holds: Vec<Hold>,
    /// Bytes of all messages and answers.
    pub history_bytes: u64,
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Program {
    /// Name of the program.
    pub id: ProgramId,
    /// The program that created it.
    pub parent_id: Option<ProgramId>,
    /// Whether it runs or has ended.
    pub state: State,
    /// Its calls in order; the call with number `n` stands at `n - 1`.
    pub calls: Vec<Call>,
}

/// Whether a program runs or has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It takes further calls.
    Active,
    /// It takes no further call.
    Ended {
        /// Why, in a few words for the caller.
        reason: String,
        /// When it ended.
        ended_at: SystemTime,
    },
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// What was recorded before it was sent; of the last attempt where there were several.
    pub intent: Intent,
    /// How it ended; none while it runs.
    pub outcome: Option<Outcome>,
    /// Tokens that its attempts spent together.
    pub spent_tokens: u64,
}

impl Call {
    /// The call's position in its program.
    pub fn number(&self) -> CallNumber {
        self.intent.call_number
    }

    /// The messages that the call added to the conversation, if it was an answered completion.
    fn turn(&self) -> Option<impl Iterator<Item = &str>> {
        let Some(Outcome::Answered(answer)) = &self.outcome else {
            return None;
        };
        // What a plain service answered is the caller's; it goes into the conversation only if the
        // caller puts it there.
        if self.intent.kind == CallKind::Service {
            return None;
        }
        let message = answer.message.as_deref()?;
        Some(
            self.intent
                .messages
                .iter()
                .map(String::as_str)
                .chain(std::iter::once(message)),
        )
    }

    /// Whether its number is used up: it was answered, or may have run and may not run again.
    pub fn is_final(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Answered(_) | Outcome::Unknown { .. }))
    }
}

/// What a tree's calls cost, for fair sharing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens that engines generated for the tree.
    pub attained_tokens: u64,
    /// Bytes of the program's history.
    pub history_bytes: u64,
}

impl Tree {
    /// Begins a tree with the event that created its root.
    ///
    /// # Errors
    ///
    /// Fails for any other event.
    pub fn begin(event: &Event) -> Result<Self> {
        let Event::Created {
            program_id,
            account_id,
            parent_id: None,
            budget: Some(budget),
            created_at,
        } = event
        else {
            return Err(Error::new("a program tree begins with the creation of its root"));
        };
        let root = Program::new(program_id.clone(), None);
        Ok(Self {
            root_id: program_id.clone(),
            account_id: account_id.clone(),
            ledger: Ledger::new(*budget, *created_at),
            sequence: 1,
            programs: BTreeMap::from([(program_id.clone(), root)]),
            holds: Vec::new(),
            history_bytes: 0,
        })
    }

    /// Applies the tree's next change and counts it.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the change does not follow from the tree's state.
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
            } => self.drop_hold(program_id, endpoint_id),
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
                    "a snapshot or drop replaces a tree and is not applied to one",
                ));
            }
        }
        self.sequence += 1;
        Ok(())
    }

    /// Whether every program of the tree has ended.
    pub fn has_ended(&self) -> bool {
        self.programs
            .values()
            .all(|program| program.state != State::Active)
    }

    /// When the last program of the tree ended; none while one is active.
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

    /// A program and its sub-agents, theirs included.
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

    /// Changes that close the calls whose end nobody saw, after the tree's owner was lost.
    ///
    /// Reservations count as spent: the engine may have generated all of it.
    pub fn close_orphans(&self, reason: &str) -> Vec<Event> {
        let calls = self
            .programs
            .values()
            .filter_map(|program| program.calls.last().map(|call| (&program.id, call)));
        calls
            .filter(|(_, call)| call.outcome.is_none())
            .map(|(id, call)| orphan_settled(id, call, reason))
            .collect()
    }

    fn add_program(&mut self, program_id: &ProgramId, parent_id: Option<&ProgramId>) -> Result<()> {
        let Some(parent_id) = parent_id.filter(|id| self.programs.contains_key(*id)) else {
            return Err(Error::new(format!(
                "the parent of {program_id} is not in its tree"
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
                "call {number} of {program_id} is out of order, next is {next}"
            )));
        }
        if program.running().is_some() {
            return Err(Error::new(format!("call {number} of {program_id} runs already")));
        }
        let before = program.messages_bytes(number);
        program.open(intent);
        let after = program.messages_bytes(number);
        self.history_bytes = self.history_bytes.saturating_sub(before) + after;
        self.ledger.reserve(intent.reserved_tokens);
        if intent.keeps_prefix {
            self.add_hold(program_id, intent);
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
                "call {call_number} of {program_id} was never sent"
            )));
        };
        if call.outcome.is_some() {
            return Err(Error::new(format!(
                "call {call_number} of {program_id} has ended already"
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

    fn add_hold(&mut self, program_id: &ProgramId, intent: &Intent) {
        let hold = Hold {
            program_id: program_id.clone(),
            pool_id: intent.pool_id.clone(),
            endpoint_id: intent.endpoint_id.clone(),
        };
        if !self.holds.contains(&hold) {
            self.holds.push(hold);
        }
    }

    fn drop_hold(&mut self, program_id: &ProgramId, endpoint_id: &EndpointId) {
        self.holds
            .retain(|hold| hold.program_id != *program_id || hold.endpoint_id != *endpoint_id);
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

    /// Number that the next call must carry: that of a failed call, or the one after the last.
    pub fn next_number(&self) -> CallNumber {
        match self.calls.last() {
            Some(call) if call.is_final() => call.number() + 1,
            Some(call) => call.number(),
            None => 1,
        }
    }

    /// The call that was sent and has not ended.
    pub fn running(&self) -> Option<&Call> {
        self.calls.last().filter(|call| call.outcome.is_none())
    }

    /// The call with a number, if one was ever sent.
    pub fn call(&self, number: CallNumber) -> Option<&Call> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        self.calls.get(index)
    }

    /// Messages of all answered completions, as JSON texts in the order of the conversation.
    pub fn messages(&self) -> impl Iterator<Item = &str> {
        self.calls.iter().filter_map(Call::turn).flatten()
    }

    /// Endpoint that served the last completion, which may still hold the program's prefix.
    pub fn prefix_endpoint_id(&self) -> Option<&EndpointId> {
        let completions = self.calls.iter().rev().filter(|call| call.intent.keeps_prefix);
        completions.map(|call| &call.intent.endpoint_id).next()
    }

    /// Bytes of the new messages of a call.
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

fn orphan_settled(program_id: &ProgramId, call: &Call, reason: &str) -> Event {
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

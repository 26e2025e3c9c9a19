//! Tokens of a program's budget, held durably before its calls run.
//!
//! Load pattern: many short programs whose budgets are hardly larger than their need, whose calls come
//! through several hosts, several at once where a program has sub-agents. One host keeps a program's account
//! and holds half of what is left ahead of need, so that a usual program costs one or two writes and the
//! loss of that host at most half of the budget. A call holds the most that it may generate and gives back
//! what it did not.

mod row;

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use self::row::Row;
use crate::ids::{Incarnation, ProgramId};

/// How a [`Ledger`] times what it does on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerOptions {
    /// Time after a call's end in which the program's next call may carry what was given back.
    pub settle_after: Duration,
    /// Time between two looks at what other hosts still hold of a program's budget.
    pub look_interval: Duration,
    /// Idle time after which a program's row is forgotten; what it still held counts as spent.
    pub keep: Duration,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            settle_after: Duration::from_millis(200),
            look_interval: Duration::from_millis(80),
            keep: Duration::from_secs(90),
        }
    }
}

/// What the store holds of one program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredBudget {
    /// Tokens that ended calls handed out.
    pub spent_tokens: u64,
    /// Tokens that hosts hold for calls that may still run.
    pub holders: Vec<Holder>,
}

/// One host's part of what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Run of the host's process.
    pub incarnation: Incarnation,
    /// Tokens held.
    pub held_tokens: u64,
    /// Mark of the holder's last write.
    pub write_mark: u64,
}

/// A stored budget and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// What is stored.
    pub budget: StoredBudget,
    /// Revision of the key.
    pub revision: i64,
}

/// What a call has to do before it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing: its tokens are held.
    Ready,
    /// Wait for a write that is to come, and ask again.
    Write,
    /// Wait until running calls give something back, here or at other hosts, and ask again.
    Room,
    /// The budget cannot hold the call.
    Spent,
}

/// One conditional write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetWrite {
    /// Whose budget.
    pub program: ProgramId,
    /// Revision that the key must have; none when it must not exist.
    pub expected_revision: Option<i64>,
    /// New value.
    pub budget: StoredBudget,
}

/// How a write or a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The store holds the new value, with this revision.
    Written(i64),
    /// The key holds this, and a write under way was not made unless it is what is found.
    Found(Option<Versioned>),
    /// The call failed; a write may still take effect.
    Unsettled,
}

/// What one host knows of the budgets of the programs it serves.
///
/// What is spent and held by all hosts together never exceeds a budget, and a call runs only against
/// tokens whose hold the store has acknowledged. So a budget keeps over all hosts and restarts; what a
/// lost host held counts as spent.
#[derive(Debug)]
pub struct Ledger {
    options: LedgerOptions,
    incarnation: Incarnation,
    rows: HashMap<ProgramId, Row>,
    /// Programs that want a write, the longest waiting in front.
    wanting: VecDeque<ProgramId>,
    next_mark: u64,
}

impl Ledger {
    /// Makes an empty ledger of the host run `incarnation`.
    pub fn new(options: LedgerOptions, incarnation: Incarnation) -> Self {
        Self {
            options,
            incarnation,
            rows: HashMap::new(),
            wanting: VecDeque::new(),
            next_mark: 1,
        }
    }

    /// Lets a call wait for `most_tokens` of its program's budget; [`leave`](Self::leave) ends the wait.
    ///
    /// `keeps` says whether this host keeps the program's account: then half of what is left is held
    /// ahead of need, and what calls give back stays here for the next.
    pub fn enter(
        &mut self,
        program: &ProgramId,
        budget_tokens: u64,
        most_tokens: u64,
        keeps: bool,
        now: Instant,
    ) {
        let row = self
            .rows
            .entry(program.clone())
            .or_insert_with(|| Row::new(budget_tokens, now));
        row.budget_tokens = budget_tokens;
        row.keeps = keeps;
        row.max_tokens += most_tokens;
        row.call_tokens = most_tokens;
        row.touched_at = now;
    }

    /// Ends a wait that [`enter`](Self::enter) began.
    pub fn leave(&mut self, program: &ProgramId, most_tokens: u64) {
        if let Some(row) = self.rows.get_mut(program) {
            row.max_tokens = row.max_tokens.saturating_sub(most_tokens);
        }
    }

    /// Takes tokens for a call that waits, if the host holds them.
    pub fn take(&mut self, program: &ProgramId, most_tokens: u64) -> Need {
        let Some(row) = self.rows.get_mut(program) else {
            return Need::Write;
        };
        if row.free_tokens() >= most_tokens {
            row.running_tokens += most_tokens;
            return Need::Ready;
        }
        if row.pending.is_some() {
            self.want_write(program);
            return Need::Write;
        }
        if row.spent_tokens() + most_tokens > row.budget_tokens {
            return Need::Spent;
        }
        if row.room_tokens() < most_tokens {
            return Need::Room;
        }
        self.want_write(program);
        Need::Write
    }

    /// Whether it is time to read what the store holds of a program that has no room: only other hosts can
    /// have given something back there, and one look serves all calls that wait.
    pub fn wants_look(&mut self, program: &ProgramId, now: Instant) -> bool {
        let interval = self.options.look_interval;
        let Some(row) = self.rows.get_mut(program) else {
            return false;
        };
        let looked_lately = row.looked_at.is_some_and(|at| now < at + interval);
        if looked_lately || row.others_tokens() == 0 {
            return false;
        }
        row.looked_at = Some(now);
        true
    }

    /// Ends a call that had taken `most_tokens` and handed out `used_tokens` of them.
    pub fn settle(&mut self, program: &ProgramId, most_tokens: u64, used_tokens: u64, now: Instant) {
        let settle_after = self.options.settle_after;
        if let Some(row) = self.rows.get_mut(program) {
            row.running_tokens = row.running_tokens.saturating_sub(most_tokens);
            row.used_tokens += used_tokens.min(most_tokens);
            row.touched_at = now;
            row.settle_at = Some(now + settle_after);
        }
    }

    /// Gives back all that no call uses, since other hosts keep the accounts from now on.
    pub fn release_idle(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            row.keeps = false;
            row.settle_at = Some(now);
        }
    }

    /// Queues writes for what calls gave back some time ago and nothing has carried since.
    pub fn settle_due(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (program, row) in &mut self.rows {
            if row.settle_at.is_some_and(|at| at <= now) {
                row.settle_at = None;
                if row.has_to_settle() {
                    due.push(program.clone());
                }
            }
        }
        for program in due {
            self.want_write(&program);
        }
    }

    /// Whether any program wants a write.
    pub fn has_writes(&self) -> bool {
        !self.wanting.is_empty()
    }

    /// The writes to send next, `most` of them at the most.
    pub fn next_writes(&mut self, most: usize) -> Vec<BudgetWrite> {
        let count = most.min(self.wanting.len());
        let programs: Vec<ProgramId> = self.wanting.drain(..count).collect();
        programs
            .into_iter()
            .filter_map(|program| self.write_of(program))
            .collect()
    }

    /// Takes note of how a write or a read ended.
    pub fn complete(&mut self, program: &ProgramId, answer: Answer) {
        let incarnation = self.incarnation;
        let Some(row) = self.rows.get_mut(program) else {
            return;
        };
        match answer {
            Answer::Written(revision) => row.note_written(revision),
            Answer::Found(found) => row.note_found(found, incarnation),
            Answer::Unsettled => row.note_unsettled(),
        }
        if row.pending.is_some() {
            self.want_write(program);
        }
    }

    /// Forgets programs that have been idle for long.
    pub fn forget_idle(&mut self, now: Instant) {
        let keep = self.options.keep;
        self.rows.retain(|_, row| {
            row.queued || row.running_tokens > 0 || row.max_tokens > 0 || now < row.touched_at + keep
        });
    }

    /// Whether calls of a program were seen.
    pub fn knows(&self, program: &str) -> bool {
        self.rows.contains_key(program)
    }

    /// Programs known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no program is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn want_write(&mut self, program: &ProgramId) {
        let Some(row) = self.rows.get_mut(program) else {
            return;
        };
        let under_way = row.pending.as_ref().is_some_and(|pending| pending.under_way);
        if !row.queued && !under_way {
            row.queued = true;
            self.wanting.push_back(program.clone());
        }
    }

    fn write_of(&mut self, program: ProgramId) -> Option<BudgetWrite> {
        let row = self.rows.get_mut(&program)?;
        row.queued = false;
        let pending = row.plan(self.incarnation, self.next_mark)?;
        self.next_mark += 1;
        Some(BudgetWrite {
            program,
            expected_revision: pending.expected_revision,
            budget: pending.budget,
        })
    }
}

impl StoredBudget {
    /// Tokens held by all hosts.
    pub fn held_tokens(&self) -> u64 {
        self.holders.iter().map(|holder| holder.held_tokens).sum()
    }

    fn holder(&self, incarnation: Incarnation) -> Option<&Holder> {
        self.holders
            .iter()
            .find(|holder| holder.incarnation == incarnation)
    }
}

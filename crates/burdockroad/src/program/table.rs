//! Table of the programs that one host owns, and the operations on them.

mod expiry;
mod handoff;
mod releases;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::SystemTime,
};

use crate::{
    error::Result,
    ids::{AccountId, PartitionId, ProgramId},
    program::{
        Action, CachedPrefix, CallDecision, CallRequest, CancelledCall, Event, Intent, NewProgram, Outcome,
        Placement, PreparedCall, Program, ProgramsOptions, Record, Refusal, State, Tree,
        checks::{
            check_active, check_budget, check_history, check_next, prompt, retry_of_finished_call,
            retry_of_open_call, usage,
        },
    },
};

/// The program trees that one host owns.
///
/// Every method that changes a tree returns the records of the change, and the caller appends them to
/// its journal in that order. No method waits. The caller waits for a record to become durable where
/// that is required: before a call is sent, and before its response is returned.
#[derive(Debug, Default)]
pub struct Programs {
    options: ProgramsOptions,
    /// Trees, by the ids of their roots.
    trees: BTreeMap<ProgramId, Tree>,
    /// Root of the tree of each program.
    roots: HashMap<ProgramId, ProgramId>,
    /// Open calls, by program. A program has at most one.
    open: HashMap<ProgramId, OpenCall>,
    /// Partitions that are being handed off.
    frozen: BTreeSet<PartitionId>,
    /// Roots of trees to be processed by [`tick`](Self::tick), ordered by the time at which each is due.
    due: BTreeSet<(SystemTime, ProgramId)>,
    /// Cached prefixes to be released, with the time of the next request to the endpoint.
    releasing: BTreeMap<CachedPrefix, SystemTime>,
}

/// A call that this host has accepted and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenCall {
    pub(super) request: CallRequest,
    sent: bool,
}

impl Programs {
    /// Creates an empty table.
    pub fn new(options: ProgramsOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of trees in the table.
    pub fn len(&self) -> usize {
        self.trees.len()
    }

    /// Returns whether the table contains no tree.
    pub fn is_empty(&self) -> bool {
        self.trees.is_empty()
    }

    /// Returns the number of calls that are running or waiting to be sent.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Adds a program.
    ///
    /// # Errors
    ///
    /// Fails if the parent does not exist, has ended or belongs to another account, if the id is
    /// already in use, or if the partition is being handed off.
    pub fn create(&mut self, new: NewProgram, now: SystemTime) -> std::result::Result<Record, Refusal> {
        self.check_partition(&new.program_id)?;
        if self.roots.contains_key(&new.program_id) {
            return Err(Refusal::DifferentRequest);
        }
        let root_id = self.root_of_new(&new)?;
        let budget = new.parent_id.is_none().then_some(new.budget);
        let event = Event::Created {
            program_id: new.program_id.clone(),
            account_id: new.account_id,
            parent_id: new.parent_id,
            budget,
            created_at: now,
        };
        self.roots.insert(new.program_id, root_id.clone());
        Ok(self.apply_change(&root_id, event))
    }

    /// Returns whether the table contains a program, regardless of its account.
    pub fn contains(&self, program_id: &ProgramId) -> bool {
        self.roots.contains_key(program_id)
    }

    /// Returns a program and its tree.
    ///
    /// # Errors
    ///
    /// Fails if the program does not exist or belongs to another account.
    pub fn get(
        &self,
        account_id: &AccountId,
        program_id: &ProgramId,
    ) -> std::result::Result<(&Tree, &Program), Refusal> {
        let tree = self
            .tree_of(program_id)
            .filter(|tree| tree.account_id == *account_id);
        let tree = tree.ok_or(Refusal::UnknownProgram)?;
        let program = tree.programs.get(program_id).ok_or(Refusal::UnknownProgram)?;
        Ok((tree, program))
    }

    /// Iterates over all trees, ordered by the ids of their roots.
    pub fn trees(&self) -> impl Iterator<Item = &Tree> {
        self.trees.values()
    }

    /// Accepts a call, or returns the result of an earlier attempt of the same call.
    ///
    /// An accepted call stays open until [`withdraw`](Self::withdraw) or [`settle`](Self::settle).
    ///
    /// # Errors
    ///
    /// Fails if the call is out of order, reuses the number of a different request, or exceeds the budget
    /// or the history limit. Also fails if the program is not in the table, has ended, or is being handed
    /// off, and if an earlier attempt may have run but must not run again.
    pub fn accept_call(
        &mut self,
        request: CallRequest,
        now: SystemTime,
    ) -> std::result::Result<CallDecision, Refusal> {
        let (tree, program) = self.get(&request.account_id, &request.program_id)?;
        if let Some(open) = self.open.get(&request.program_id) {
            return retry_of_open_call(open, program, &request);
        }
        if request.number < program.next_number() {
            return retry_of_finished_call(program.call(request.number), &request);
        }
        check_next(program, request.number)?;
        check_budget(tree, request.kind, now)?;
        check_history(tree, &request, self.options.history_max_bytes)?;
        let decision = CallDecision::Run(usage(tree, program), program.prefix_endpoint_id().cloned());
        self.check_partition(&request.program_id)?;
        self.open
            .insert(request.program_id.clone(), OpenCall { request, sent: false });
        Ok(decision)
    }

    /// Reserves budget for an open call and records the endpoint that it is to be sent to.
    ///
    /// # Errors
    ///
    /// Fails if the budget no longer allows the call or the program has ended. The call is then closed.
    pub fn send(
        &mut self,
        program_id: &ProgramId,
        placement: Placement,
        now: SystemTime,
    ) -> std::result::Result<PreparedCall, Refusal> {
        let Some(open) = self.open.get(program_id) else {
            return Err(Refusal::UnknownProgram);
        };
        let request = open.request.clone();
        let checked = self.check_send(&request, now);
        if let Err(refusal) = checked {
            self.open.remove(program_id);
            return Err(refusal);
        }
        Ok(self.record_intent(request, placement, now))
    }

    /// Closes an open call that has not been sent.
    pub fn withdraw(&mut self, program_id: &ProgramId) {
        if self.open.get(program_id).is_some_and(|open| !open.sent) {
            self.open.remove(program_id);
        }
    }

    /// Records the outcome of a sent call.
    ///
    /// Returns none if the program has no open call that was sent, for example because the table was
    /// cleared when the host was fenced.
    pub fn settle(&mut self, program_id: &ProgramId, outcome: Outcome, spent_tokens: u64) -> Option<Record> {
        let open = self.open.remove(program_id).filter(|open| open.sent)?;
        let root_id = self.roots.get(program_id)?.clone();
        let event = Event::Settled {
            program_id: program_id.clone(),
            call_number: open.request.number,
            outcome,
            spent_tokens,
        };
        Some(self.apply_change(&root_id, event))
    }

    /// Ends a program and its sub-agents.
    ///
    /// # Errors
    ///
    /// Fails if the program does not exist or belongs to another account.
    pub fn end(
        &mut self,
        account_id: &AccountId,
        program_id: &ProgramId,
        reason: &str,
        now: SystemTime,
    ) -> std::result::Result<Vec<Action>, Refusal> {
        let (tree, _) = self.get(account_id, program_id)?;
        let root_id = tree.root_id.clone();
        self.check_partition(program_id)?;
        Ok(self.end_subtree(&root_id, program_id, reason, now))
    }

    /// Creates snapshots of trees, which replace all earlier records of these trees.
    pub fn snapshots(&mut self, root_ids: &[ProgramId]) -> Vec<Record> {
        root_ids
            .iter()
            .filter_map(|root_id| self.snapshot(root_id))
            .collect()
    }

    fn root_of_new(&self, new: &NewProgram) -> std::result::Result<ProgramId, Refusal> {
        let Some(parent_id) = &new.parent_id else {
            return Ok(new.program_id.clone());
        };
        let (tree, parent) = self.get(&new.account_id, parent_id)?;
        check_active(parent)?;
        Ok(tree.root_id.clone())
    }

    fn check_send(&self, request: &CallRequest, now: SystemTime) -> std::result::Result<(), Refusal> {
        let (tree, program) = self.get(&request.account_id, &request.program_id)?;
        check_active(program)?;
        check_budget(tree, request.kind, now)
    }

    fn record_intent(&mut self, request: CallRequest, placement: Placement, now: SystemTime) -> PreparedCall {
        let program_id = request.program_id.clone();
        let root_id = self.roots[&program_id].clone();
        let tree = &self.trees[&root_id];
        let reserved_tokens = placement.max_tokens.min(tree.ledger.free_tokens());
        let time_left = tree.ledger.time_left(now);
        let prompt = prompt(tree, &request);
        let intent = Intent {
            call_number: request.number,
            route_id: request.route_id,
            kind: request.kind,
            idempotent: request.idempotent,
            digest: request.digest,
            messages: request.messages,
            pool_id: placement.pool_id,
            endpoint_id: placement.endpoint_id,
            reserved_tokens,
            keeps_prefix: request.keeps_prefix,
        };
        self.release_other_endpoints(&root_id, &program_id, &intent.endpoint_id, now);
        let record = self.apply_change(
            &root_id,
            Event::Intent {
                program_id: program_id.clone(),
                intent,
            },
        );
        if let Some(open) = self.open.get_mut(&program_id) {
            open.sent = true;
        }
        PreparedCall {
            record,
            prompt,
            reserved_tokens,
            time_left,
        }
    }

    fn end_subtree(
        &mut self,
        root_id: &ProgramId,
        program_id: &ProgramId,
        reason: &str,
        now: SystemTime,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self.trees[root_id].descendants(program_id) {
            if self.trees[root_id].programs[&id].state != State::Active {
                continue;
            }
            let event = Event::Ended {
                program_id: id.clone(),
                reason: reason.to_owned(),
                ended_at: now,
            };
            actions.push(Action::Append(self.apply_change(root_id, event)));
            if let Some(open) = self.open.get(&id) {
                let number = open.request.number;
                actions.push(Action::Cancel(CancelledCall {
                    program_id: id.clone(),
                    number,
                }));
            }
            self.release_program(root_id, &id, now);
        }
        self.schedule(root_id);
        actions
    }

    fn snapshot(&mut self, root_id: &ProgramId) -> Option<Record> {
        let tree = self.trees.get_mut(root_id)?;
        tree.sequence += 1;
        let event = Event::Snapshot {
            tree: Box::new(tree.clone()),
        };
        Some(Record {
            root_id: root_id.clone(),
            sequence: tree.sequence,
            event,
        })
    }

    fn drop_tree(&mut self, root_id: &ProgramId) -> Option<Record> {
        let tree = self.trees.remove(root_id)?;
        for id in tree.programs.keys() {
            self.roots.remove(id);
            self.open.remove(id);
        }
        self.releasing
            .retain(|prefix, _| !tree.programs.contains_key(&prefix.program_id));
        Some(Record {
            root_id: root_id.clone(),
            sequence: tree.sequence + 1,
            event: Event::Dropped,
        })
    }

    fn tree_of(&self, program_id: &ProgramId) -> Option<&Tree> {
        self.trees.get(self.roots.get(program_id)?)
    }

    /// Applies a change that was validated by the caller, and returns its record.
    fn apply_change(&mut self, root_id: &ProgramId, event: Event) -> Record {
        let sequence = self.apply_to_tree(root_id, &event).unwrap_or_else(|error| {
            // Only a bug can cause this: the caller's validation and `Tree::apply` disagree.
            panic!("a validated change does not apply: {error}")
        });
        Record {
            root_id: root_id.clone(),
            sequence,
            event,
        }
    }

    fn apply_to_tree(&mut self, root_id: &ProgramId, event: &Event) -> Result<u64> {
        if let Some(tree) = self.trees.get_mut(root_id) {
            tree.apply(event)?;
            return Ok(tree.sequence);
        }
        self.trees.insert(root_id.clone(), Tree::from_created(event)?);
        self.schedule(root_id);
        Ok(1)
    }
}

//! The programs that one host owns, and the systems that run over them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, SystemTime},
};

use crate::{
    error::Result,
    ids::{AccountId, EndpointId, PartitionId, ProgramId, partition_of_program},
    program::{
        Action, CallDecision, CallRequest, Cancelled, Event, Hold, Intent, NewProgram, Outcome, Placement, Program,
        ProgramsOptions, Record, Refusal, PreparedCall, State, Tree,
        checks::{
            check_active, check_budget, check_history, check_next, is_in_use, prompt, repeat_of_ended,
            repeat_of_open, usage,
        },
    },
};

/// Reason given to callers whose call was under way when its host was lost.
const OWNER_LOST: &str = "the host that served the call was lost";

/// Reason given for a program that reached its time limit.
const TIME_LIMIT: &str = "its time limit has passed";

/// Time between two tries to release the same engine memory.
const RELEASE_RETRY: Duration = Duration::from_secs(1);

/// The program trees that one host owns.
///
/// Every method that changes a tree returns the records of the change; the caller appends them to its
/// journal in that order. Nothing here waits: what must be durable before a call is sent, or before its
/// answer is passed on, is the caller's to await.
#[derive(Debug, Default)]
pub struct Programs {
    options: ProgramsOptions,
    trees: BTreeMap<ProgramId, Tree>,
    roots: HashMap<ProgramId, ProgramId>,
    open: HashMap<ProgramId, OpenCall>,
    frozen: BTreeSet<PartitionId>,
    due: BTreeSet<(SystemTime, ProgramId)>,
    releasing: BTreeMap<Hold, SystemTime>,
}

/// A call that this host has taken and not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenCall {
    pub(super) request: CallRequest,
    sent: bool,
}

impl Programs {
    /// Makes an empty table.
    pub fn new(options: ProgramsOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Number of trees in the table.
    pub fn len(&self) -> usize {
        self.trees.len()
    }

    /// Whether the table holds no tree.
    pub fn is_empty(&self) -> bool {
        self.trees.is_empty()
    }

    /// Number of calls that are under way or wait to be sent.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Adds a program.
    ///
    /// # Errors
    ///
    /// Refuses when the parent is unknown, ended or another account's, when the id is taken, or when
    /// the partition is being handed over.
    pub fn create(&mut self, new: NewProgram, now: SystemTime) -> std::result::Result<Record, Refusal> {
        self.check_partition(&new.program_id)?;
        if self.roots.contains_key(&new.program_id) {
            return Err(Refusal::DifferentRequest);
        }
        let root_id = self.root_for(&new)?;
        let budget = new.parent_id.is_none().then_some(new.budget);
        let event = Event::Created {
            program_id: new.program_id.clone(),
            account_id: new.account_id,
            parent_id: new.parent_id,
            budget,
            created_at: now,
        };
        self.roots.insert(new.program_id, root_id.clone());
        Ok(self.change(&root_id, event))
    }

    /// Whether a program is in the table, whoever's it is.
    pub fn contains(&self, program_id: &ProgramId) -> bool {
        self.roots.contains_key(program_id)
    }

    /// A program and its tree.
    ///
    /// # Errors
    ///
    /// Refuses when the program is unknown or another account's.
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

    /// All trees, in the order of their roots.
    pub fn trees(&self) -> impl Iterator<Item = &Tree> {
        self.trees.values()
    }

    /// Takes a call, or tells what became of an earlier try of it.
    ///
    /// A call that is to run stays open until [`withdraw`](Self::withdraw) or
    /// [`settle`](Self::settle).
    ///
    /// # Errors
    ///
    /// Refuses a call that is out of order, over the budget, or not the program's.
    pub fn begin(&mut self, request: CallRequest, now: SystemTime) -> std::result::Result<CallDecision, Refusal> {
        let (tree, program) = self.get(&request.account_id, &request.program_id)?;
        if let Some(open) = self.open.get(&request.program_id) {
            return repeat_of_open(open, program, &request);
        }
        if request.number < program.next_number() {
            return repeat_of_ended(program.call(request.number), &request);
        }
        check_next(program, request.number)?;
        check_budget(tree, request.kind, now)?;
        check_history(tree, &request, self.options.history_max_bytes)?;
        let begun = CallDecision::Run(usage(tree, program), program.prefix_endpoint_id().cloned());
        self.check_partition(&request.program_id)?;
        self.open
            .insert(request.program_id.clone(), OpenCall { request, sent: false });
        Ok(begun)
    }

    /// Sets aside the budget of an open call and records where it is to be sent.
    ///
    /// # Errors
    ///
    /// Refuses when the budget no longer allows the call or the program has ended; the call is then
    /// no longer open.
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

    /// Closes an open call that was not sent.
    pub fn withdraw(&mut self, program_id: &ProgramId) {
        if self.open.get(program_id).is_some_and(|open| !open.sent) {
            self.open.remove(program_id);
        }
    }

    /// Records how a sent call ended.
    ///
    /// Returns none when the table no longer has the call, as after it was fenced.
    pub fn settle(&mut self, program_id: &ProgramId, outcome: Outcome, spent_tokens: u64) -> Option<Record> {
        let open = self.open.remove(program_id).filter(|open| open.sent)?;
        let root_id = self.roots.get(program_id)?.clone();
        let event = Event::Settled {
            program_id: program_id.clone(),
            call_number: open.request.number,
            outcome,
            spent_tokens,
        };
        Some(self.change(&root_id, event))
    }

    /// Ends a program and its sub-agents.
    ///
    /// # Errors
    ///
    /// Refuses when the program is unknown or another account's.
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
        Ok(self.end_tree_part(&root_id, program_id, reason, now))
    }

    /// Notes that an endpoint holds nothing more for a program.
    ///
    /// Returns none when the program has used the endpoint again meanwhile, or is not here.
    pub fn released(&mut self, hold: &Hold) -> Option<Record> {
        self.releasing.remove(hold);
        let tree = self.tree_of(&hold.program_id)?;
        let known = tree.holds.contains(hold);
        if !known || self.open.contains_key(&hold.program_id) || is_in_use(tree, hold) {
            return None;
        }
        let root_id = tree.root_id.clone();
        let event = Event::Released {
            program_id: hold.program_id.clone(),
            endpoint_id: hold.endpoint_id.clone(),
        };
        Some(self.change(&root_id, event))
    }

    /// Ends programs whose time is over, asks for engine memory to be freed, forgets old trees.
    pub fn tick(&mut self, now: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((_, root_id)) = self.pop_due(now) {
            actions.extend(self.visit_due(&root_id, now));
        }
        actions.extend(self.due_releases(now));
        actions
    }

    /// Takes trees over, and closes calls whose end nobody saw.
    ///
    /// A copy that is not newer than what the table has is passed over.
    pub fn adopt(&mut self, trees: Vec<Tree>, now: SystemTime) -> Vec<Record> {
        let mut records = Vec::new();
        for tree in trees {
            let known = self.trees.get(&tree.root_id).map_or(0, |kept| kept.sequence);
            if tree.sequence > known {
                records.extend(self.adopt_tree(tree, now));
            }
        }
        records
    }

    /// Stops taking calls for partitions.
    pub fn freeze(&mut self, partitions: &[PartitionId]) {
        self.frozen.extend(partitions);
    }

    /// Takes calls for partitions again.
    pub fn thaw(&mut self, partitions: &[PartitionId]) {
        for partition in partitions {
            self.frozen.remove(partition);
        }
    }

    /// Whether a call of one of the partitions is open.
    pub fn has_open(&self, partitions: &[PartitionId]) -> bool {
        self.open
            .keys()
            .any(|id| partition_of_program(id).is_some_and(|own| partitions.contains(&own)))
    }

    /// The trees of partitions.
    pub fn export(&self, partitions: &[PartitionId]) -> Vec<Tree> {
        self.roots_in(partitions)
            .iter()
            .filter_map(|root_id| self.trees.get(root_id).cloned())
            .collect()
    }

    /// Forgets the trees of partitions, which another host owns now.
    pub fn forget(&mut self, partitions: &[PartitionId]) -> Vec<Record> {
        let root_ids = self.roots_in(partitions);
        let records = root_ids
            .iter()
            .filter_map(|root_id| self.drop_tree(root_id))
            .collect();
        self.thaw(partitions);
        records
    }

    /// Forgets everything, after the host was fenced; returns what it may have caused to be held.
    pub fn clear(&mut self) -> Vec<Hold> {
        let holds = self
            .open
            .keys()
            .filter_map(|id| self.tree_of(id))
            .flat_map(|tree| tree.holds.clone());
        let holds = holds.collect();
        *self = Self::new(self.options);
        holds
    }

    /// Records of trees as a whole, in place of all their earlier records.
    pub fn snapshots(&mut self, root_ids: &[ProgramId]) -> Vec<Record> {
        root_ids
            .iter()
            .filter_map(|root_id| self.snapshot(root_id))
            .collect()
    }

    fn root_for(&self, new: &NewProgram) -> std::result::Result<ProgramId, Refusal> {
        let Some(parent_id) = &new.parent_id else {
            return Ok(new.program_id.clone());
        };
        let (tree, parent) = self.get(&new.account_id, parent_id)?;
        check_active(parent)?;
        Ok(tree.root_id.clone())
    }

    fn check_partition(&self, program_id: &ProgramId) -> std::result::Result<(), Refusal> {
        match partition_of_program(program_id) {
            Some(partition) if !self.frozen.contains(&partition) => Ok(()),
            Some(_) => Err(Refusal::NotOwner),
            None => Err(Refusal::UnknownProgram),
        }
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
        self.release_elsewhere(&root_id, &program_id, &intent.endpoint_id, now);
        let record = self.change(
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

    /// Asks for what other endpoints hold of a program that has moved on from them.
    fn release_elsewhere(
        &mut self,
        root_id: &ProgramId,
        program_id: &ProgramId,
        endpoint_id: &EndpointId,
        now: SystemTime,
    ) {
        let holds = self.trees[root_id].holds.iter();
        let left = holds.filter(|hold| hold.program_id == *program_id && hold.endpoint_id != *endpoint_id);
        let left: Vec<Hold> = left.cloned().collect();
        for hold in left {
            self.releasing.entry(hold).or_insert(now);
        }
    }

    fn end_tree_part(
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
            actions.push(Action::Append(self.change(root_id, event)));
            if let Some(open) = self.open.get(&id) {
                let number = open.request.number;
                actions.push(Action::Cancel(Cancelled {
                    program_id: id.clone(),
                    number,
                }));
            }
            self.release_all(root_id, &id, now);
        }
        self.schedule(root_id);
        actions
    }

    fn release_all(&mut self, root_id: &ProgramId, program_id: &ProgramId, now: SystemTime) {
        let holds = self.trees[root_id]
            .holds
            .iter()
            .filter(|hold| hold.program_id == *program_id);
        let holds: Vec<Hold> = holds.cloned().collect();
        for hold in holds {
            self.releasing.entry(hold).or_insert(now);
        }
    }

    fn pop_due(&mut self, now: SystemTime) -> Option<(SystemTime, ProgramId)> {
        let first = self.due.first()?;
        if first.0 > now {
            return None;
        }
        self.due.pop_first()
    }

    fn visit_due(&mut self, root_id: &ProgramId, now: SystemTime) -> Vec<Action> {
        let Some(tree) = self.trees.get(root_id) else {
            return Vec::new();
        };
        let Some(ended_at) = tree.ended_at() else {
            return self.end_tree_part(&root_id.clone(), root_id, TIME_LIMIT, now);
        };
        // A tree that was ended before its time limit comes up once more at that limit.
        if ended_at + self.options.retention > now {
            return Vec::new();
        }
        let busy = !tree.holds.is_empty() || tree.programs.keys().any(|id| self.open.contains_key(id));
        if busy {
            self.due.insert((now + RELEASE_RETRY, root_id.clone()));
            return Vec::new();
        }
        self.drop_tree(root_id).map(Action::Append).into_iter().collect()
    }

    fn due_releases(&mut self, now: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        for (hold, next) in &mut self.releasing {
            if *next <= now && !self.open.contains_key(&hold.program_id) {
                *next = now + RELEASE_RETRY;
                actions.push(Action::Release(hold.clone()));
            }
        }
        actions
    }

    fn adopt_tree(&mut self, tree: Tree, now: SystemTime) -> Vec<Record> {
        let root_id = tree.root_id.clone();
        for id in tree.programs.keys() {
            self.roots.insert(id.clone(), root_id.clone());
        }
        let orphans = tree.close_orphans(OWNER_LOST);
        self.trees.insert(root_id.clone(), tree);
        self.schedule(&root_id);
        let records = orphans
            .into_iter()
            .map(|event| self.change(&root_id, event))
            .collect();
        self.release_ended(&root_id, now);
        records
    }

    fn release_ended(&mut self, root_id: &ProgramId, now: SystemTime) {
        let tree = &self.trees[root_id];
        let unused: Vec<Hold> = tree
            .holds
            .iter()
            .filter(|hold| !is_in_use(tree, hold))
            .cloned()
            .collect();
        for hold in unused {
            self.releasing.entry(hold).or_insert(now);
        }
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
            .retain(|hold, _| !tree.programs.contains_key(&hold.program_id));
        Some(Record {
            root_id: root_id.clone(),
            sequence: tree.sequence + 1,
            event: Event::Dropped,
        })
    }

    fn roots_in(&self, partitions: &[PartitionId]) -> Vec<ProgramId> {
        let inside = |id: &&ProgramId| partition_of_program(id).is_some_and(|own| partitions.contains(&own));
        self.trees.keys().filter(inside).cloned().collect()
    }

    fn tree_of(&self, program_id: &ProgramId) -> Option<&Tree> {
        self.trees.get(self.roots.get(program_id)?)
    }

    /// Applies a change that the checks before it have made sure of, and returns its record.
    fn change(&mut self, root_id: &ProgramId, event: Event) -> Record {
        let sequence = self.apply(root_id, &event).unwrap_or_else(|error| {
            // The checks above and `Tree::apply` disagree, which no input may bring about.
            panic!("a checked change does not apply: {error}")
        });
        Record {
            root_id: root_id.clone(),
            sequence,
            event,
        }
    }

    fn apply(&mut self, root_id: &ProgramId, event: &Event) -> Result<u64> {
        if let Some(tree) = self.trees.get_mut(root_id) {
            tree.apply(event)?;
            return Ok(tree.sequence);
        }
        self.trees.insert(root_id.clone(), Tree::begin(event)?);
        self.schedule(root_id);
        Ok(1)
    }

    /// Notes when a tree is to be looked at next: at its time limit, or when it may be forgotten.
    fn schedule(&mut self, root_id: &ProgramId) {
        let tree = &self.trees[root_id];
        let at = match tree.ended_at() {
            Some(ended_at) => ended_at + self.options.retention,
            None => tree.ledger.created_at + tree.ledger.budget.max_duration,
        };
        self.due.insert((at, root_id.clone()));
    }
}

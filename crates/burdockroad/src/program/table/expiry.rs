//! End of programs at their time limit, and removal of trees after their retention period.

use std::time::SystemTime;

use super::{Programs, releases::RELEASE_RETRY};
use crate::{ids::ProgramId, program::Action};

/// Reason reported for a program that reached its time limit.
const TIME_LIMIT: &str = "its time limit has passed";

impl Programs {
    /// Ends programs that reached their time limit, requests the release of cached prefixes, and
    /// removes trees whose retention period has passed.
    pub fn tick(&mut self, now: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((_, root_id)) = self.pop_due(now) {
            actions.extend(self.process_due(&root_id, now));
        }
        actions.extend(self.due_releases(now));
        actions
    }

    fn pop_due(&mut self, now: SystemTime) -> Option<(SystemTime, ProgramId)> {
        let first = self.due.first()?;
        if first.0 > now {
            return None;
        }
        self.due.pop_first()
    }

    fn process_due(&mut self, root_id: &ProgramId, now: SystemTime) -> Vec<Action> {
        let Some(tree) = self.trees.get(root_id) else {
            return Vec::new();
        };
        let Some(ended_at) = tree.ended_at() else {
            return self.end_subtree(&root_id.clone(), root_id, TIME_LIMIT, now);
        };
        // A tree that ended early is still scheduled for its time limit, which may come before the end of
        // its retention period.
        if ended_at + self.options.retention > now {
            return Vec::new();
        }
        let in_use =
            !tree.cached_prefixes.is_empty() || tree.programs.keys().any(|id| self.open.contains_key(id));
        if in_use {
            self.due.insert((now + RELEASE_RETRY, root_id.clone()));
            return Vec::new();
        }
        self.drop_tree(root_id).map(Action::Append).into_iter().collect()
    }

    /// Schedules the next processing of a tree: at its time limit while it is active, and at the end of
    /// its retention period after that.
    pub(super) fn schedule(&mut self, root_id: &ProgramId) {
        let tree = &self.trees[root_id];
        let at = match tree.ended_at() {
            Some(ended_at) => ended_at + self.options.retention,
            None => tree.ledger.created_at + tree.ledger.budget.max_duration,
        };
        self.due.insert((at, root_id.clone()));
    }
}

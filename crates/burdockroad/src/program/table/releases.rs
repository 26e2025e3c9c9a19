//! Release of prefixes that endpoints cache for programs and that are no longer needed.

use std::time::{Duration, SystemTime};

use super::Programs;
use crate::{
    ids::{EndpointId, ProgramId},
    program::{Action, CachedPrefix, Event, Record, Tree, checks::is_prefix_reusable},
};

/// Interval between two requests to release the same cached prefix.
pub(super) const RELEASE_RETRY: Duration = Duration::from_secs(1);

impl Programs {
    /// Records that an endpoint no longer caches the prefix of a program.
    ///
    /// Returns none if the program has an open call, can reuse the prefix in its next call, or is not in
    /// the table, and if the release is already recorded.
    pub fn on_prefix_released(&mut self, prefix: &CachedPrefix) -> Option<Record> {
        self.releasing.remove(prefix);
        let tree = self.tree_of(&prefix.program_id)?;
        let cached = tree.cached_prefixes.contains(prefix);
        if !cached || self.open.contains_key(&prefix.program_id) || is_prefix_reusable(tree, prefix) {
            return None;
        }
        let root_id = tree.root_id.clone();
        let event = Event::Released {
            program_id: prefix.program_id.clone(),
            endpoint_id: prefix.endpoint_id.clone(),
        };
        Some(self.apply_change(&root_id, event))
    }

    /// Schedules the release of prefixes that other endpoints cache for a program that has moved to
    /// `endpoint_id`.
    pub(super) fn release_other_endpoints(
        &mut self,
        root_id: &ProgramId,
        program_id: &ProgramId,
        endpoint_id: &EndpointId,
        now: SystemTime,
    ) {
        self.release_prefixes(root_id, now, |_, prefix| {
            prefix.program_id == *program_id && prefix.endpoint_id != *endpoint_id
        });
    }

    /// Schedules the release of all prefixes that are cached for a program.
    pub(super) fn release_program(&mut self, root_id: &ProgramId, program_id: &ProgramId, now: SystemTime) {
        self.release_prefixes(root_id, now, |_, prefix| prefix.program_id == *program_id);
    }

    /// Schedules the release of prefixes that the programs of a tree cannot reuse in their next calls.
    pub(super) fn release_unused(&mut self, root_id: &ProgramId, now: SystemTime) {
        self.release_prefixes(root_id, now, |tree, prefix| !is_prefix_reusable(tree, prefix));
    }

    /// Schedules the release of the prefixes of a tree that `is_released` selects. A release that is already
    /// scheduled keeps its time.
    fn release_prefixes(
        &mut self,
        root_id: &ProgramId,
        now: SystemTime,
        is_released: impl Fn(&Tree, &CachedPrefix) -> bool,
    ) {
        let tree = &self.trees[root_id];
        let released = tree
            .cached_prefixes
            .iter()
            .filter(|prefix| is_released(tree, prefix));
        for prefix in released {
            self.releasing.entry(prefix.clone()).or_insert(now);
        }
    }

    pub(super) fn due_releases(&mut self, now: SystemTime) -> Vec<Action> {
        let mut actions = Vec::new();
        for (prefix, next) in &mut self.releasing {
            if *next <= now && !self.open.contains_key(&prefix.program_id) {
                *next = now + RELEASE_RETRY;
                actions.push(Action::Release(prefix.clone()));
            }
        }
        actions
    }
}

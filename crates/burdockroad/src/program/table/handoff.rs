//! Handoff of trees between hosts, by partition.

use std::time::SystemTime;

use super::Programs;
use crate::{
    ids::{PartitionId, ProgramId, partition_of_program},
    program::{CachedPrefix, Record, Refusal, Tree},
};

/// Reason reported for a call that was running when its host failed.
const OWNER_LOST: &str = "the host that ran the call failed";

impl Programs {
    /// Adds trees of a previous owner, and closes their calls that were still running when it stopped.
    ///
    /// A tree that is not newer than the one in the table is ignored.
    pub fn adopt(&mut self, trees: Vec<Tree>, now: SystemTime) -> Vec<Record> {
        let mut records = Vec::new();
        for tree in trees {
            let current = self
                .trees
                .get(&tree.root_id)
                .map_or(0, |existing| existing.sequence);
            if tree.sequence > current {
                records.extend(self.adopt_tree(tree, now));
            }
        }
        records
    }

    /// Stops accepting programs and calls in partitions that are being handed off.
    pub fn freeze(&mut self, partitions: &[PartitionId]) {
        self.frozen.extend(partitions);
    }

    /// Accepts programs and calls in the partitions again.
    pub fn thaw(&mut self, partitions: &[PartitionId]) {
        for partition in partitions {
            self.frozen.remove(partition);
        }
    }

    /// Returns whether a call of one of the partitions is open.
    pub fn has_open(&self, partitions: &[PartitionId]) -> bool {
        self.open
            .keys()
            .any(|id| partition_of_program(id).is_some_and(|own| partitions.contains(&own)))
    }

    /// Returns copies of all trees in the partitions.
    pub fn export(&self, partitions: &[PartitionId]) -> Vec<Tree> {
        self.roots_in(partitions)
            .iter()
            .filter_map(|root_id| self.trees.get(root_id).cloned())
            .collect()
    }

    /// Removes the trees of partitions that another host now owns.
    pub fn remove_partitions(&mut self, partitions: &[PartitionId]) -> Vec<Record> {
        let root_ids = self.roots_in(partitions);
        let records = root_ids
            .iter()
            .filter_map(|root_id| self.drop_tree(root_id))
            .collect();
        self.thaw(partitions);
        records
    }

    /// Removes all trees after the host was fenced. Returns the prefixes that endpoints may cache for
    /// trees with open calls.
    pub fn clear(&mut self) -> Vec<CachedPrefix> {
        let cached_prefixes = self
            .open
            .keys()
            .filter_map(|id| self.tree_of(id))
            .flat_map(|tree| tree.cached_prefixes.clone());
        let cached_prefixes = cached_prefixes.collect();
        *self = Self::new(self.options);
        cached_prefixes
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
            .map(|event| self.apply_change(&root_id, event))
            .collect();
        self.release_unused(&root_id, now);
        records
    }

    fn roots_in(&self, partitions: &[PartitionId]) -> Vec<ProgramId> {
        let inside = |id: &&ProgramId| partition_of_program(id).is_some_and(|own| partitions.contains(&own));
        self.trees.keys().filter(inside).cloned().collect()
    }

    pub(super) fn check_partition(&self, program_id: &ProgramId) -> std::result::Result<(), Refusal> {
        match partition_of_program(program_id) {
            Some(partition) if !self.frozen.contains(&partition) => Ok(()),
            Some(_) => Err(Refusal::NotOwner),
            None => Err(Refusal::UnknownProgram),
        }
    }
}

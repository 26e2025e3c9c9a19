//! Tracking of the segments that are still needed to read each tree.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{ProgramId, SegmentNumber},
    journal::writer::queue::{Role, StoredRecord},
};

/// Maps each tree to the first segment that is needed to read it.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    base_of: BTreeMap<ProgramId, SegmentNumber>,
    trees_of: BTreeMap<SegmentNumber, BTreeSet<ProgramId>>,
}

impl Index {
    /// Updates the index with a record that is now stored.
    pub(super) fn observe(&mut self, record: StoredRecord) {
        match record.role {
            Role::Change => {}
            Role::Base => {
                self.remove_tree(&record.root_id);
                let trees = self.trees_of.entry(record.first_segment).or_default();
                trees.insert(record.root_id.clone());
                self.base_of.insert(record.root_id, record.first_segment);
            }
            Role::End => self.remove_tree(&record.root_id),
        }
    }

    /// Returns the oldest segment needed by any tree.
    pub(super) fn oldest(&self) -> Option<SegmentNumber> {
        self.trees_of.keys().next().copied()
    }

    /// Returns up to `count_max` trees that need segments before the given one, ordered by their first
    /// segment.
    pub(super) fn trees_before(&self, segment: SegmentNumber, count_max: usize) -> Vec<ProgramId> {
        let oldest = self.trees_of.range(..segment);
        let trees = oldest.flat_map(|(_, trees)| trees);
        trees.take(count_max).cloned().collect()
    }

    fn remove_tree(&mut self, root_id: &ProgramId) {
        let Some(base) = self.base_of.remove(root_id) else {
            return;
        };
        if let Some(trees) = self.trees_of.get_mut(&base) {
            trees.remove(root_id);
            if trees.is_empty() {
                self.trees_of.remove(&base);
            }
        }
    }
}

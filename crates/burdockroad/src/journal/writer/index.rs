//! Which segments are still needed.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{ProgramId, SegmentNumber},
    journal::writer::queue::{Role, StoredRecord},
};

/// The segment from which on each tree can be read.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    base_of: BTreeMap<ProgramId, SegmentNumber>,
    trees_of: BTreeMap<SegmentNumber, BTreeSet<ProgramId>>,
}

impl Index {
    /// Takes note of a record that is stored.
    pub(super) fn note(&mut self, record: StoredRecord) {
        match record.role {
            Role::Change => {}
            Role::Base => {
                self.forget(&record.root_id);
                let trees = self.trees_of.entry(record.begins_in).or_default();
                trees.insert(record.root_id.clone());
                self.base_of.insert(record.root_id, record.begins_in);
            }
            Role::End => self.forget(&record.root_id),
        }
    }

    /// The oldest segment that a tree needs.
    pub(super) fn oldest(&self) -> Option<SegmentNumber> {
        self.trees_of.keys().next().copied()
    }

    /// Trees that can be read only from segments before a number, the oldest first.
    pub(super) fn trees_before(&self, segment: SegmentNumber, count_max: usize) -> Vec<ProgramId> {
        let oldest = self.trees_of.range(..segment);
        let trees = oldest.flat_map(|(_, trees)| trees);
        trees.take(count_max).cloned().collect()
    }

    fn forget(&mut self, root_id: &ProgramId) {
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

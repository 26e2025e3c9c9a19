//! Rebuilding of program trees from journal records.

use std::collections::BTreeMap;

use crate::{
    error::{Error, Result},
    ids::ProgramId,
    program::{Event, Record, Tree},
};

/// Rebuilds trees from journal records.
///
/// Records may be repeated. Records before the first snapshot of a tree may be missing, because old
/// segments of the journal were removed. Records from before a tree was dropped do not restore it.
///
/// # Example
///
/// ```
/// use std::time::{Duration, SystemTime};
///
/// use burdockroad::{
///     Record,
///     program::{Budget, Event, Replay},
/// };
///
/// let budget = Budget { max_tokens: 1_000, max_calls: 10, max_duration: Duration::from_secs(60) };
/// let created = Record {
///     root_id: "p-0001-a".to_owned(),
///     sequence: 1,
///     event: Event::Created {
///         program_id: "p-0001-a".to_owned(),
///         account_id: "trust".to_owned(),
///         parent_id: None,
///         budget: Some(budget),
///         created_at: SystemTime::UNIX_EPOCH,
///     },
/// };
/// let mut replay = Replay::new();
/// replay.apply(created.clone())?;
/// replay.apply(created)?;
/// assert_eq!(replay.into_trees().len(), 1);
/// # Ok::<(), burdockroad::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Replay {
    trees: BTreeMap<ProgramId, Tree>,
    dropped: BTreeMap<ProgramId, u64>,
}

impl Replay {
    /// Creates a replay without trees.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one record. A record that is not newer than the tree has no effect.
    ///
    /// # Errors
    ///
    /// Fails if records between the current state of the tree and this record are missing, or if the
    /// record is not valid in that state. The tree is then unchanged.
    pub fn apply(&mut self, record: Record) -> Result<()> {
        let current_sequence = self.last_sequence(&record.root_id);
        if record.sequence <= current_sequence {
            return Ok(());
        }
        match record.event {
            Event::Snapshot { tree } => self.replace(record.root_id, record.sequence, *tree),
            Event::Dropped => self.drop_tree(record.root_id, record.sequence),
            event => return self.apply_next(&record.root_id, record.sequence, &event),
        }
        Ok(())
    }

    /// Returns the rebuilt trees, by the ids of their roots.
    pub fn into_trees(self) -> BTreeMap<ProgramId, Tree> {
        self.trees
    }

    fn last_sequence(&self, root_id: &ProgramId) -> u64 {
        let current = self.trees.get(root_id).map_or(0, |tree| tree.sequence);
        let dropped = self.dropped.get(root_id).copied().unwrap_or(0);
        current.max(dropped)
    }

    fn replace(&mut self, root_id: ProgramId, sequence: u64, mut tree: Tree) {
        tree.sequence = sequence;
        self.trees.insert(root_id, tree);
    }

    fn drop_tree(&mut self, root_id: ProgramId, sequence: u64) {
        self.trees.remove(&root_id);
        self.dropped.insert(root_id, sequence);
    }

    fn apply_next(&mut self, root_id: &ProgramId, sequence: u64, event: &Event) -> Result<()> {
        let Some(tree) = self.trees.get_mut(root_id) else {
            return self.insert_new(root_id, sequence, event);
        };
        if sequence != tree.sequence + 1 {
            let expected = tree.sequence + 1;
            return Err(Error::new(format!(
                "records of tree {root_id} are missing: expected sequence {expected}, found {sequence}"
            )));
        }
        tree.apply(event)
    }

    fn insert_new(&mut self, root_id: &ProgramId, sequence: u64, event: &Event) -> Result<()> {
        // The removal of old segments may have removed the first records of a tree. The remaining records
        // before its next snapshot cannot be applied and are skipped.
        if sequence == 1 {
            self.trees.insert(root_id.clone(), Tree::from_created(event)?);
        }
        Ok(())
    }
}

//! Trees built anew from the records of a journal.

use std::collections::BTreeMap;

use crate::{
    error::{Error, Result},
    ids::ProgramId,
    program::{Event, Record, Tree},
};

/// Builds trees from records.
///
/// Records may come twice, and records that stand before a tree's first snapshot may be missing, as
/// they are after a journal was cleaned. A tree that was dropped stays dropped.
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
    /// Starts with no trees.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one record; one that is older than what is there changes nothing.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when records between the tree's state and this one are missing, or
    /// when the record does not follow from that state.
    pub fn apply(&mut self, record: Record) -> Result<()> {
        let known = self.known_sequence(&record.root_id);
        if record.sequence <= known {
            return Ok(());
        }
        match record.event {
            Event::Snapshot { tree } => self.replace(record.root_id, record.sequence, *tree),
            Event::Dropped => self.drop_tree(record.root_id, record.sequence),
            event => return self.advance(&record.root_id, record.sequence, &event),
        }
        Ok(())
    }

    /// The trees, by their roots.
    pub fn into_trees(self) -> BTreeMap<ProgramId, Tree> {
        self.trees
    }

    fn known_sequence(&self, root_id: &ProgramId) -> u64 {
        let kept = self.trees.get(root_id).map_or(0, |tree| tree.sequence);
        let dropped = self.dropped.get(root_id).copied().unwrap_or(0);
        kept.max(dropped)
    }

    fn replace(&mut self, root_id: ProgramId, sequence: u64, mut tree: Tree) {
        tree.sequence = sequence;
        self.trees.insert(root_id, tree);
    }

    fn drop_tree(&mut self, root_id: ProgramId, sequence: u64) {
        self.trees.remove(&root_id);
        self.dropped.insert(root_id, sequence);
    }

    fn advance(&mut self, root_id: &ProgramId, sequence: u64, event: &Event) -> Result<()> {
        let Some(tree) = self.trees.get_mut(root_id) else {
            return self.begin(root_id, sequence, event);
        };
        if sequence != tree.sequence + 1 {
            let expected = tree.sequence + 1;
            return Err(Error::new(format!(
                "records of {root_id} are missing: expected {expected}, found {sequence}"
            )));
        }
        tree.apply(event)
    }

    fn begin(&mut self, root_id: &ProgramId, sequence: u64, event: &Event) -> Result<()> {
        // A later record of an unknown tree stands before its snapshot in a cleaned journal.
        if sequence == 1 {
            self.trees.insert(root_id.clone(), Tree::begin(event)?);
        }
        Ok(())
    }
}

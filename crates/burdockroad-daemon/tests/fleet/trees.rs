//! In-memory program trees of one host.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use burdockroad::{
    PartitionId, ProgramId, Record, partition_of_program,
    program::{Budget, Event, Tree},
};
use burdockroad_daemon::{
    coordinator::JournalHandle,
    journal::{Durability, Journal, Trees},
    ownership::OwnershipReceiver,
};

/// Program trees of one host. The host serves a tree while the ownership map assigns the tree's partition to
/// it and the partition is not released.
#[derive(Debug)]
pub struct MemoryTrees {
    journal: Arc<JournalHandle>,
    ownership: OwnershipReceiver,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    trees: BTreeMap<ProgramId, Tree>,
    /// Partitions that the host no longer serves because it is handing them off.
    released: BTreeSet<PartitionId>,
}

impl MemoryTrees {
    pub fn new(journal: Arc<JournalHandle>, ownership: OwnershipReceiver) -> Self {
        Self {
            journal,
            ownership,
            table: Mutex::default(),
        }
    }

    /// Creates a tree, and returns whether it was stored.
    pub async fn create(&self, root_id: &str) -> bool {
        let event = created(root_id, None);
        let appended = {
            let mut table = self.table.lock().unwrap();
            if !self.serves(&table, root_id) || table.trees.contains_key(root_id) {
                return false;
            }
            let tree = Tree::from_created(&event).unwrap();
            table.trees.insert(root_id.to_owned(), tree);
            self.append(root_id, 1, event)
        };
        matches!(appended.await, Ok(Ok(())))
    }

    /// Adds a sub-agent to a tree, and returns whether it was stored.
    pub async fn add_sub_agent(&self, root_id: &str, program_id: &str) -> bool {
        let event = created(program_id, Some(root_id));
        let appended = {
            let mut table = self.table.lock().unwrap();
            if !self.serves(&table, root_id) {
                return false;
            }
            let Some(tree) = table.trees.get_mut(root_id) else {
                return false;
            };
            if tree.apply(&event).is_err() {
                return false;
            }
            self.append(root_id, tree.sequence, event)
        };
        matches!(appended.await, Ok(Ok(())))
    }

    /// Removes a tree permanently, and returns whether the removal was stored.
    pub async fn end(&self, root_id: &str) -> bool {
        let appended = {
            let mut table = self.table.lock().unwrap();
            if !self.serves(&table, root_id) {
                return false;
            }
            let Some(tree) = table.trees.remove(root_id) else {
                return false;
            };
            self.append(root_id, tree.sequence + 1, Event::Dropped)
        };
        matches!(appended.await, Ok(Ok(())))
    }

    /// Returns the trees that this host serves.
    pub fn served(&self) -> BTreeMap<ProgramId, Tree> {
        let table = self.table.lock().unwrap();
        let served = table
            .trees
            .iter()
            .filter(|(root_id, _)| self.serves(&table, root_id));
        served
            .map(|(root_id, tree)| (root_id.clone(), tree.clone()))
            .collect()
    }

    fn serves(&self, table: &Table, root_id: &str) -> bool {
        let partition = partition_of_program(root_id).unwrap();
        self.ownership.borrow().owns(partition) && !table.released.contains(&partition)
    }

    fn append(&self, root_id: &str, sequence: u64, event: Event) -> burdockroad_daemon::journal::Appended {
        let record = Record {
            root_id: root_id.to_owned(),
            sequence,
            event,
        };
        self.journal.append(vec![record], Durability::Stored)
    }
}

#[async_trait]
impl Trees for MemoryTrees {
    async fn adopt(&self, trees: Vec<Tree>) {
        let mut table = self.table.lock().unwrap();
        for tree in trees {
            table
                .released
                .remove(&partition_of_program(&tree.root_id).unwrap());
            let own_sequence = table.trees.get(&tree.root_id).map_or(0, |own| own.sequence);
            if tree.sequence > own_sequence {
                table.trees.insert(tree.root_id.clone(), tree);
            }
        }
    }

    async fn release(&self, partitions: Vec<PartitionId>, _: Duration) -> Option<Vec<Tree>> {
        let mut table = self.table.lock().unwrap();
        table.released.extend(&partitions);
        let trees = table.trees.values();
        let released =
            trees.filter(|tree| partitions.contains(&partition_of_program(&tree.root_id).unwrap()));
        Some(released.cloned().collect())
    }

    async fn resume(&self, partitions: Vec<PartitionId>) {
        let mut table = self.table.lock().unwrap();
        table.released.retain(|partition| !partitions.contains(partition));
    }

    async fn drop_partitions(&self, partitions: Vec<PartitionId>) {
        let mut table = self.table.lock().unwrap();
        table.released.retain(|partition| !partitions.contains(partition));
        let (dropped, retained): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut table.trees)
            .into_iter()
            .partition(|(root_id, _)| partitions.contains(&partition_of_program(root_id).unwrap()));
        table.trees = retained;
        let records = dropped
            .into_values()
            .map(|tree| Record {
                root_id: tree.root_id,
                sequence: tree.sequence + 1,
                event: Event::Dropped,
            })
            .collect();
        drop(self.journal.append(records, Durability::Queued));
    }

    async fn clear(&self) {
        *self.table.lock().unwrap() = Table::default();
    }

    async fn write_snapshots(&self, _: Vec<ProgramId>) {}
}

fn created(program_id: &str, parent_id: Option<&str>) -> Event {
    Event::Created {
        program_id: program_id.to_owned(),
        account_id: "account".to_owned(),
        parent_id: parent_id.map(str::to_owned),
        budget: parent_id.is_none().then_some(Budget {
            max_tokens: 1_000,
            max_calls: 10,
            max_duration: Duration::from_hours(1),
        }),
        created_at: SystemTime::UNIX_EPOCH,
    }
}

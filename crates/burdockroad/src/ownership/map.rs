//! The ownership map and its stored form.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{Epoch, HostId, Incarnation, PARTITIONS, PartitionId},
};

/// One run of a daemon on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// The host.
    pub host_id: HostId,
    /// The run.
    pub incarnation: Incarnation,
}

/// Owner of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The owning process.
    pub process: Process,
    /// Grows with each change of the owner.
    pub epoch: Epoch,
}

/// A change of one partition's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The partition.
    pub partition: PartitionId,
    /// The owner that the change starts from.
    pub from: Process,
    /// The owner that it leads to.
    pub to: Process,
}

/// Owner of every partition, as one version of the map has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipMap {
    /// Grows by one with each change.
    pub version: u64,
    /// Random number of the change that led to this version, by which its writer knows it again.
    pub change_id: u64,
    /// The owners, by the partition's number.
    pub owners: Vec<Owner>,
}

/// Stored form, which names each process once.
#[derive(Serialize, Deserialize)]
struct StoredMap {
    version: u64,
    change_id: u64,
    processes: Vec<Process>,
    partitions: Vec<StoredOwner>,
}

#[derive(Serialize, Deserialize)]
struct StoredOwner {
    process: usize,
    epoch: Epoch,
}

impl OwnershipMap {
    /// The owner of a partition.
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.owners.get(usize::from(partition))
    }

    /// The partitions that a process owns.
    pub fn partitions_of(&self, process: &Process) -> Vec<PartitionId> {
        (0..PARTITIONS)
            .filter(|&partition| {
                self.owner(partition)
                    .is_some_and(|owner| owner.process == *process)
            })
            .collect()
    }

    /// The processes that own a partition.
    pub fn processes(&self) -> BTreeSet<Process> {
        self.owners.iter().map(|owner| owner.process.clone()).collect()
    }

    /// The next version, in which the moves have been made; a map without moves only grows its version.
    ///
    /// None when a move does not start from the present owner: it was planned on another map.
    pub fn with_moves(&self, moves: &[Move], change_id: u64) -> Option<Self> {
        let mut next = self.clone();
        next.version += 1;
        next.change_id = change_id;
        for step in moves {
            let owner = next.owners.get_mut(usize::from(step.partition))?;
            if owner.process != step.from {
                return None;
            }
            owner.process = step.to.clone();
            owner.epoch += 1;
        }
        Some(next)
    }

    /// Encodes the map for the key-value service, as JSON.
    ///
    /// # Errors
    ///
    /// Fails only when the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let processes: Vec<Process> = self.processes().into_iter().collect();
        let positions: BTreeMap<&Process, usize> = processes
            .iter()
            .enumerate()
            .map(|(position, process)| (process, position))
            .collect();
        let partitions = self
            .owners
            .iter()
            .map(|owner| StoredOwner {
                process: positions[&owner.process],
                epoch: owner.epoch,
            })
            .collect();
        let stored = StoredMap {
            version: self.version,
            change_id: self.change_id,
            partitions,
            processes: processes.clone(),
        };
        serde_json::to_vec(&stored)
            .map_err(|cause| Error::new("the ownership map could not be encoded").with_cause(cause))
    }

    /// Decodes a map that [`encode`](Self::encode) wrote.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a whole map.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let stored: StoredMap = serde_json::from_slice(bytes)
            .map_err(|cause| Error::new("the ownership map could not be decoded").with_cause(cause))?;
        if stored.partitions.len() != usize::from(PARTITIONS) {
            let found = stored.partitions.len();
            return Err(Error::new(format!(
                "the ownership map has {found} partitions instead of {PARTITIONS}"
            )));
        }
        let owners = stored
            .partitions
            .iter()
            .map(|owner| stored.owner(owner))
            .collect::<Result<_>>()?;
        Ok(Self {
            version: stored.version,
            change_id: stored.change_id,
            owners,
        })
    }
}

impl StoredMap {
    fn owner(&self, stored: &StoredOwner) -> Result<Owner> {
        let process = self
            .processes
            .get(stored.process)
            .ok_or_else(|| Error::new("the ownership map names a process that it does not list"))?;
        Ok(Owner {
            process: process.clone(),
            epoch: stored.epoch,
        })
    }
}

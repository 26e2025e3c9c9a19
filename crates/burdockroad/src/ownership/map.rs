//! Ownership map and its stored form.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{Epoch, HostId, Incarnation, PARTITIONS, PartitionId},
};

/// One run of the daemon on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// The host.
    pub host_id: HostId,
    /// Number that distinguishes this run from other runs on the host.
    pub incarnation: Incarnation,
}

/// Owner of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The owning process.
    pub process: Process,
    /// Number that increases with each change of owner.
    pub epoch: Epoch,
}

/// Change of the owner of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The partition.
    pub partition: PartitionId,
    /// Owner before the change.
    pub from: Process,
    /// Owner after the change.
    pub to: Process,
}

/// Owners of all partitions, at one version of the map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipMap {
    /// Version number; each change increments it by 1.
    pub version: u64,
    /// Random number of the change that created this version. The writer of the change recognizes its own
    /// version by this number.
    pub change_id: u64,
    /// Owners, indexed by partition number.
    pub owners: Vec<Owner>,
}

/// Stored form of the map, which contains each process only once.
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
    /// Returns the owner of a partition.
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.owners.get(usize::from(partition))
    }

    /// Returns the partitions owned by a process.
    pub fn partitions_of(&self, process: &Process) -> Vec<PartitionId> {
        (0..PARTITIONS)
            .filter(|&partition| {
                self.owner(partition)
                    .is_some_and(|owner| owner.process == *process)
            })
            .collect()
    }

    /// Returns the processes that own at least one partition.
    pub fn processes(&self) -> BTreeSet<Process> {
        self.owners.iter().map(|owner| owner.process.clone()).collect()
    }

    /// Returns the next version of the map, with the moves applied. Without moves, only the version and
    /// change id differ.
    ///
    /// Returns none if a move does not start from the current owner, because it was planned for another
    /// version.
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

    /// Encodes the map as JSON for the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
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

    /// Decodes a map written by [`encode`](Self::encode).
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a complete map.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let stored: StoredMap = serde_json::from_slice(bytes)
            .map_err(|cause| Error::new("the ownership map could not be decoded").with_cause(cause))?;
        if stored.partitions.len() != usize::from(PARTITIONS) {
            let found = stored.partitions.len();
            return Err(Error::new(format!(
                "the ownership map has {found} partitions, expected {PARTITIONS}"
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
            .ok_or_else(|| Error::new("the ownership map refers to a process that it does not contain"))?;
        Ok(Owner {
            process: process.clone(),
            epoch: stored.epoch,
        })
    }
}

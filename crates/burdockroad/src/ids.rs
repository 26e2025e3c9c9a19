//! Names of entities, and the numbers that order them.

use xxhash_rust::xxh3::xxh3_64;

/// Name of a client account, as the document gives it.
pub type AccountId = String;

/// Position of a call in its program, from 1.
pub type CallNumber = u32;

/// Version of the configuration document; each accepted change adds one.
pub type DocumentVersion = u64;

/// Name of an endpoint, as the document gives it.
pub type EndpointId = String;

/// Number that grows each time a partition changes its owner.
pub type Epoch = u64;

/// Name of a host, as its settings give it.
pub type HostId = String;

/// Random number that tells one run of a daemon from every other run on the same host.
pub type Incarnation = u64;

/// Public part of a caller's key, safe to log.
pub type KeyId = String;

/// Share of the programs and accounts that has one owner at a time.
pub type PartitionId = u16;

/// Name of an endpoint set, whose endpoints share one queue.
pub type PoolId = String;

/// Name of a program: `p-`, four hexadecimal digits of its partition, `-`, and a random part.
pub type ProgramId = String;

/// Name of a route, as the document gives it.
pub type RouteId = String;

/// Position of a segment in a journal, from 1.
pub type SegmentNumber = u64;

/// Name of a site, as the document gives it.
pub type SiteId = String;

/// The partition that a program's id names, if it is well formed.
///
/// # Example
///
/// ```
/// use burdockroad::partition_of_program;
///
/// assert_eq!(partition_of_program("p-001f-8Zq"), Some(31));
/// assert_eq!(partition_of_program("p-31"), None);
/// ```
pub fn partition_of_program(program_id: &str) -> Option<PartitionId> {
    let (digits, random) = program_id.strip_prefix("p-")?.split_once('-')?;
    let well_formed = digits.len() == 4 && !random.is_empty();
    let partition = PartitionId::from_str_radix(digits, 16).ok()?;
    well_formed.then_some(partition)
}

/// Makes a program's id from its partition and a random part.
pub fn program_id(partition: PartitionId, random: &str) -> ProgramId {
    format!("p-{partition:04x}-{random}")
}

/// Number of partitions; fixed, since program ids carry their partition.
pub const PARTITIONS: PartitionId = 256;

/// The partition that an account or a pool belongs to; the same on every host.
///
/// # Example
///
/// ```
/// use burdockroad::{PARTITIONS, partition_of};
///
/// assert!(partition_of("account-a") < PARTITIONS);
/// assert_eq!(partition_of("account-a"), partition_of("account-a"));
/// ```
#[expect(
    clippy::cast_possible_truncation,
    reason = "a remainder of PARTITIONS fits its type"
)]
pub fn partition_of(name: &str) -> PartitionId {
    (xxh3_64(name.as_bytes()) % u64::from(PARTITIONS)) as PartitionId
}

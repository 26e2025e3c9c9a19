//! Ids of entities, and sequence and version numbers.

use xxhash_rust::xxh3::xxh3_64;

/// Id of a client account, as given in the configuration document.
pub type AccountId = String;

/// Position of a call in its program, starting at 1.
pub type CallNumber = u32;

/// Version of the configuration document, incremented by each accepted change.
pub type DocumentVersion = u64;

/// Id of an endpoint, as given in the configuration document.
pub type EndpointId = String;

/// Id of a failure domain: hosts and endpoints that fail together.
pub type FailureDomainId = String;

/// Number that increases with each change of a partition's owner.
pub type Epoch = u64;

/// Id of a host, as given in its settings.
pub type HostId = String;

/// Random number that distinguishes one run of a daemon from all other runs on the same host.
pub type Incarnation = u64;

/// Public part of a caller's key, which may be logged.
pub type KeyId = String;

/// Version of the software that an endpoint runs, in no order.
pub type SoftwareVersion = String;

/// Id of a partition: a share of the programs and accounts that has one owner at a time.
pub type PartitionId = u16;

/// Id of an endpoint set, whose endpoints share one queue.
pub type PoolId = String;

/// Id of a program: `p-`, four hexadecimal digits of its partition, `-`, and a random part.
pub type ProgramId = String;

/// Id of a region, which contains failure domains.
pub type RegionId = String;

/// Revision of the store, which increases with each change of any key.
pub type Revision = i64;

/// Id of a route, as given in the configuration document.
pub type RouteId = String;

/// Position of a segment in a journal, starting at 1.
pub type SegmentNumber = u64;

/// Id of a site, as given in the configuration document.
pub type SiteId = String;

/// Returns the partition encoded in a program id, or `None` if the id is malformed.
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

/// Returns a program id with the given partition and random part.
pub fn program_id(partition: PartitionId, random: &str) -> ProgramId {
    format!("p-{partition:04x}-{random}")
}

/// Number of partitions. It is fixed, because program ids contain their partition.
pub const PARTITIONS: PartitionId = 256;

/// Returns the partition of an account or a pool, a hash of its id that is the same on every host.
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

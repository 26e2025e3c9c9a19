//! Names of a journal's keys in the store.

use burdockroad::SegmentNumber;

use crate::ownership::Process;

/// Beginning of the keys of all journals.
pub(super) const JOURNALS: &str = "burdockroad/journal/";

/// Beginning of the keys of one journal.
pub(super) fn prefix(writer: &Process) -> String {
    let Process { host_id, incarnation } = writer;
    format!("{JOURNALS}{host_id}/{incarnation:016x}/")
}

/// Key of one segment; the keys of a journal sort as their numbers do.
pub(super) fn segment(writer: &Process, number: SegmentNumber) -> String {
    format!("{}{number:012}", prefix(writer))
}

/// The writer and the number that a key names.
pub(super) fn parse(key: &str) -> Option<(Process, SegmentNumber)> {
    let mut parts = key.strip_prefix(JOURNALS)?.rsplitn(3, '/');
    let number = parts.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let host_id = parts.next()?.to_owned();
    Some((Process { host_id, incarnation }, number))
}

//! Software versions that the endpoints of a service have had.
//!
//! Load pattern: all hosts are killed while the endpoints of a service change their version, and callers take their
//! streams up at hosts that have seen the new version only. Therefore the versions are also recorded durably, and a host
//! that starts counts the recorded ones as versions that have just left.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::ids::SoftwareVersion;

/// Time for which a version is remembered after its last endpoint has left. Calls last for less, so no stream
/// that the version began is taken up later.
const MEMORY: Duration = Duration::from_mins(1);

/// Versions that services have had recently.
///
/// # Example
///
/// ```
/// use std::{iter, time::Instant};
///
/// use burdockroad::gateway::VersionHistory;
///
/// let now = Instant::now();
/// let present = ["v2".to_owned()];
/// let mut history = VersionHistory::default();
/// assert_eq!(history.only_version("engine", present.iter(), now), Some("v2".to_owned()));
/// history.record_departure("engine", "v1".to_owned(), now);
/// assert_eq!(history.only_version("engine", present.iter(), now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time at which an endpoint of the version left, by service and version.
    left_at: HashMap<(String, SoftwareVersion), Instant>,
    /// Versions in the durable record of each service.
    recorded: HashMap<String, BTreeSet<SoftwareVersion>>,
}

impl VersionHistory {
    /// Records that an endpoint has left, or has a new version in place of this one.
    pub fn record_departure(&mut self, service: &str, version: SoftwareVersion, now: Instant) {
        self.left_at.retain(|_, left_at| now < *left_at + MEMORY);
        self.left_at.insert((service.to_owned(), version), now);
    }

    /// Sets the durable record of a service, as it was read. Its versions may have served until now.
    pub fn set_recorded(&mut self, service: &str, versions: BTreeSet<SoftwareVersion>, now: Instant) {
        for version in &versions {
            let key = (service.to_owned(), version.clone());
            self.left_at.entry(key).or_insert(now);
        }
        self.recorded.insert(service.to_owned(), versions);
    }

    /// Returns the versions that the durable record of a service should have if it has others: those of its endpoints
    /// and those that have left recently. `present` are the versions of its endpoints.
    pub fn record_update<'a>(
        &'a self,
        service: &'a str,
        present: impl Iterator<Item = &'a SoftwareVersion>,
        now: Instant,
    ) -> Option<BTreeSet<SoftwareVersion>> {
        let versions: BTreeSet<_> = present.chain(self.recent(service, now)).cloned().collect();
        let is_recorded = self.recorded.get(service) == Some(&versions);
        (!versions.is_empty() && !is_recorded).then_some(versions)
    }

    /// Returns the version of a service if it has had only one recently; `present` are the versions of its
    /// endpoints.
    pub fn only_version<'a>(
        &'a self,
        service: &'a str,
        present: impl Iterator<Item = &'a SoftwareVersion>,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let mut versions = present.chain(self.recent(service, now));
        let first = versions.next()?;
        versions.all(|version| version == first).then(|| first.clone())
    }

    /// Returns the versions of a service that have left recently.
    fn recent<'a>(&'a self, service: &'a str, now: Instant) -> impl Iterator<Item = &'a SoftwareVersion> {
        let left = self.left_at.iter();
        left.filter(move |((of, _), left_at)| of == service && now < **left_at + MEMORY)
            .map(|((_, version), _)| version)
    }
}

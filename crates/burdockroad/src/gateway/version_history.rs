//! Software versions that the endpoints of a service have had.

use std::{
    collections::HashMap,
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
}

impl VersionHistory {
    /// Records that an endpoint has left, or has a new version in place of this one.
    pub fn record_departure(&mut self, service: &str, version: SoftwareVersion, now: Instant) {
        self.left_at.retain(|_, left_at| now < *left_at + MEMORY);
        self.left_at.insert((service.to_owned(), version), now);
    }

    /// Returns the version of a service if it has had only one recently; `present` are the versions of its
    /// endpoints.
    pub fn only_version<'a>(
        &'a self,
        service: &'a str,
        present: impl Iterator<Item = &'a SoftwareVersion>,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let left = self
            .left_at
            .iter()
            .filter(|((of, _), left_at)| of == service && now < **left_at + MEMORY)
            .map(|((_, version), _)| version);
        let mut versions = present.chain(left);
        let first = versions.next()?;
        versions.all(|version| version == first).then(|| first.clone())
    }
}

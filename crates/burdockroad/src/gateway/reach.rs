//! Whether hosts reach endpoints on their own.
//!
//! A host may be cut from all endpoints while callers, the store and the other hosts reach it. It then connects
//! to endpoints through another host.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use crate::ids::{EndpointId, HostId};

/// Endpoints that this host fails to reach one after the other, after which it counts as cut off. A single one may
/// have crashed.
const UNREACHED_MIN: usize = 3;

/// Which hosts reach endpoints on their own, as one host knows it.
#[derive(Debug, Default)]
pub struct EndpointReach {
    /// Endpoints that this host failed to reach on its own since it last reached any.
    unreached: HashSet<EndpointId>,
    /// Start of the cut; `None` while this host is not cut off.
    cut_off_since: Option<Instant>,
    /// Other hosts that reported to be cut off.
    cut_off_hosts: HashSet<HostId>,
}

/// Another host that connections to endpoints may be opened through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCandidate<'a> {
    /// Host id.
    pub host: &'a HostId,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
}

impl EndpointReach {
    /// Returns whether this host is cut from endpoints.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records that this host reached an endpoint on its own. Returns the duration of the cut that this ends.
    pub fn record_reached(&mut self, now: Instant) -> Option<Duration> {
        self.unreached.clear();
        let since = self.cut_off_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that this host failed to reach an endpoint on its own. Returns whether it counts as cut off from now
    /// on. `endpoints` is the number of endpoints that the host knows.
    ///
    /// Whether another host reaches the endpoint does not matter: when a failure domain is cut off, its hosts ask
    /// each other first, in vain.
    pub fn record_unreached(&mut self, endpoint: &EndpointId, endpoints: usize, now: Instant) -> bool {
        self.unreached.insert(endpoint.clone());
        let is_new = !self.is_cut_off() && self.unreached.len() >= UNREACHED_MIN.min(endpoints.max(1));
        if is_new {
            self.cut_off_since = Some(now);
        }
        is_new
    }

    /// Records another host's report on whether it is cut from endpoints.
    pub fn record_peer(&mut self, host: &HostId, is_cut_off: bool) {
        if is_cut_off {
            self.cut_off_hosts.insert(host.clone());
        } else {
            self.cut_off_hosts.remove(host);
        }
    }

    /// Chooses the host through which to connect to endpoints; `None` if all others are cut off, too.
    ///
    /// Hosts of the same failure domain are preferred, because traffic between domains is billed. `seed` spreads
    /// the connections over hosts that are equally good.
    pub fn choose_relay(
        &self,
        failure_domain: &str,
        live: &[RelayCandidate<'_>],
        seed: usize,
    ) -> Option<HostId> {
        let usable = live
            .iter()
            .filter(|candidate| !self.cut_off_hosts.contains(candidate.host));
        let (local, remote): (Vec<&RelayCandidate<'_>>, Vec<_>) =
            usable.partition(|candidate| candidate.failure_domain == failure_domain);
        let preferred = if local.is_empty() { remote } else { local };
        let index = seed.checked_rem(preferred.len())?;
        Some(preferred[index].host.clone())
    }
}

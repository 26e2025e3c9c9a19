//! Decision that a host which stores turns is gone for good, and that no turn is missed without it.
//!
//! Load pattern: hosts that are replaced by others under new names, beside hosts that are down for a while, restart
//! without their disks, or are cut off. A silent host may hold the only replica of a turn as far as one host can tell. But
//! the turns that a silent host has are on other hosts, too, and these copy them to each other.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{HostLocation, RegionMap},
    ids::{HostId, Incarnation},
};

/// Time for which a host must be silent to count as gone. A host that restarts is back sooner.
const SILENCE_MIN: Duration = Duration::from_secs(4);

/// Round in which a host has read what all others store, and has copied what it should store.
#[derive(Clone, Copy, Debug)]
pub struct SyncRound<'a> {
    /// Hosts whose lists were read to their ends since the replicas were last divided, with their runs.
    pub reached: &'a [(HostId, Incarnation)],
    /// The other hosts, with the time for which they have been silent.
    pub silent: &'a [(HostId, Duration)],
    /// Hosts that store new turns and were reached, with this one.
    pub writable: &'a [HostLocation],
    /// Failure domains of the hosts that were reached and of the silent ones.
    pub locations: &'a [HostLocation],
    /// Regions of the failure domains.
    pub regions: &'a RegionMap,
}

impl SyncRound<'_> {
    /// Returns the hosts with turns that may have been durable on fewer hosts than may be lost and one more, or that too
    /// few others could store. A turn may be bound to the region of its host.
    fn scarce_hosts(&self, tolerated_losses: usize) -> Vec<HostId> {
        let is_scarce = |host: &&HostLocation| {
            let region = self.regions.region_of(&host.failure_domain);
            let is_near = |other: &&HostLocation| {
                region.is_none() || self.regions.region_of(&other.failure_domain) == region
            };
            self.writable.iter().filter(is_near).count() <= 2 * tolerated_losses
        };
        let scarce = self.locations.iter().filter(is_scarce);
        scarce.map(|host| host.host.clone()).collect()
    }
}

/// Hosts without which a host misses no turn, as far as it knows.
///
/// While at least twice as many hosts may store a turn as may be lost, and one more, each durable turn is on as many hosts
/// as may be lost and one more ([`Replication`](crate::gateway::Replication) spares no replica), so one of them is not
/// gone. This must have held in the region of the silent host when it was met, and must hold without it.
///
/// A host that restarted may have lost its disk, and the silent host may have the only other replica. So a host
/// vouches for the absence only if it has met the silent host in this run, and no other host has restarted since. When
/// all hosts that are left vouch, all turns are among them, and each has those that it should store.
///
/// The hosts exchange their [`GoneTestimony`], and [`all_agree`] decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GoneHosts {
    /// Runs of the hosts in the last round that reached all hosts.
    met: BTreeMap<HostId, Incarnation>,
    /// Hosts that may have had a turn alone in that round.
    scarce: Vec<HostId>,
    gone: Vec<HostId>,
}

impl GoneHosts {
    /// Records a round. `is_new` tells whether the host has never run before, so that its disk has lost nothing.
    pub fn record_round(&mut self, round: SyncRound<'_>, tolerated_losses: usize, is_new: bool) {
        self.gone.clear();
        if round.silent.is_empty() {
            self.met = round.reached.iter().cloned().collect();
            self.scarce = round.scarce_hosts(tolerated_losses);
            return;
        }
        let scarce = round.scarce_hosts(tolerated_losses);
        if round.silent.len() > tolerated_losses {
            return;
        }
        let is_gone = |(host, time): &(HostId, Duration)| {
            let is_known = is_new || self.met.contains_key(host);
            let is_scarce = scarce.contains(host) || self.scarce.contains(host);
            *time >= SILENCE_MIN && is_known && !is_scarce
        };
        let is_same_run =
            |(host, run): &(HostId, Incarnation)| self.met.get(host).is_none_or(|met| met == run);
        if round.silent.iter().all(is_gone) && round.reached.iter().all(is_same_run) {
            self.gone = round.silent.iter().map(|(host, _)| host.clone()).collect();
        }
    }

    /// Returns the hosts without which this host misses no turn.
    pub fn gone(&self) -> &[HostId] {
        &self.gone
    }

    /// Returns what this host tells the others.
    pub fn testimony(&self) -> GoneTestimony {
        GoneTestimony {
            gone: self.gone.clone(),
            met: self.met.clone(),
        }
    }
}

/// What a host tells of the hosts that are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GoneTestimony {
    /// Hosts without which it misses no turn.
    pub gone: Vec<HostId>,
    /// Runs of the hosts in the last round that reached all hosts.
    pub met: BTreeMap<HostId, Incarnation>,
}

impl GoneTestimony {
    fn has_met(&self, host: &HostId) -> bool {
        self.met.contains_key(host)
    }
}

/// Returns whether all hosts that are left agree that a host is gone, each with its testimony.
///
/// All must mean the same run of the gone host: one may not have noticed that it was back meanwhile. A new host agrees
/// although it has not met the gone one, but not if another host has met both: turns may have been its to store then, and
/// it has not copied them. At least one host must have met the gone one: otherwise nobody has read its turns.
pub fn all_agree(gone: &HostId, testimonies: &[(HostId, GoneTestimony)]) -> bool {
    let mut unmet = testimonies
        .iter()
        .filter(|(_, testimony)| !testimony.has_met(gone));
    let has_met_both = |host: &HostId| {
        let mut others = testimonies.iter();
        others.any(|(_, testimony)| testimony.has_met(gone) && testimony.has_met(host))
    };
    let is_agreed = testimonies
        .iter()
        .all(|(_, testimony)| testimony.gone.contains(gone));
    let mut runs = testimonies
        .iter()
        .filter_map(|(_, testimony)| testimony.met.get(gone));
    let Some(first_run) = runs.next() else {
        return false;
    };
    let is_same_run = runs.all(|run| run == first_run);
    is_agreed && is_same_run && !unmet.any(|(host, _)| has_met_both(host))
}

//! Decision that a host which stores turns is gone for good, and that no turn is missed without it.
//!
//! Load pattern: hosts that are replaced by others under new names, beside hosts that are down for a while, restart
//! without their disks, or are cut off. A silent host may hold the only replica of a turn as far as one host can tell. But
//! the turns that a silent host has are on other hosts, too, and these copy them to each other.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// Time for which a host must be silent to count as gone. A host that restarts is back sooner.
const SILENCE_MIN: Duration = Duration::from_secs(4);

/// Round in which a host has read what all others store, and has copied what it should store.
#[derive(Clone, Copy, Debug)]
pub struct SyncRound<'a> {
    /// Hosts whose lists were read to their ends since the replicas were last divided, with their runs.
    pub reached: &'a [(HostId, Incarnation)],
    /// The other hosts, with the time for which they have been silent.
    pub silent: &'a [(HostId, Duration)],
    /// Number of hosts that store new turns and were reached, with this one.
    pub writable: usize,
}

/// Hosts without which a host misses no turn, as far as it knows.
///
/// While at least twice as many hosts are left as may be lost, and one more, each durable turn is on as many hosts as
/// may be lost and one more ([`Replication`](crate::gateway::Replication) spares no replica), so one of them is not
/// gone. A host that restarted may have lost its disk, and the silent host may have the only other replica. So a host
/// vouches for the absence only if it has met the silent host in this run, and no other host has restarted since. When
/// all hosts that are left vouch, all turns are among them, and each has those that it should store.
///
/// The hosts exchange their [`GoneTestimony`], and [`all_agree`] decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GoneHosts {
    /// Runs of the hosts in the last round that reached all hosts.
    met: BTreeMap<HostId, Incarnation>,
    gone: Vec<HostId>,
}

impl GoneHosts {
    /// Records a round. `is_new` tells whether the host has never run before, so that its disk has lost nothing.
    pub fn record_round(&mut self, round: SyncRound<'_>, tolerated_losses: usize, is_new: bool) {
        self.gone.clear();
        if round.silent.is_empty() {
            self.met = round.reached.iter().cloned().collect();
            return;
        }
        let enough_left = round.writable > 2 * tolerated_losses;
        if round.silent.len() > tolerated_losses || !enough_left {
            return;
        }
        let is_gone = |(host, time): &(HostId, Duration)| {
            *time >= SILENCE_MIN && (is_new || self.met.contains_key(host))
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
/// All must mean the same run of the gone host: one may not have noticed that it was back meanwhile. A new host agrees although it has not met the gone one, but not if another host has met both: turns may have been
/// its to store then, and it has not copied them.
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
    let first_run = runs.next();
    let is_same_run = runs.all(|run| Some(run) == first_run);
    is_agreed && is_same_run && !unmet.any(|(host, _)| has_met_both(host))
}

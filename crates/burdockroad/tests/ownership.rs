//! Plans over the ownership map.

use std::collections::BTreeMap;

use burdockroad::{
    PARTITIONS,
    ownership::{
        Candidate, Move, OwnershipMap, Process, initial_map, rebalance, takeover_moves, takeover_rank,
    },
};
use proptest::prelude::*;

fn process(host: usize) -> Process {
    Process {
        host_id: format!("host-{host}"),
        incarnation: 1,
    }
}

fn candidate(host: usize, weight: u32) -> Candidate {
    Candidate {
        process: process(host),
        failure_domain: format!("domain-{}", host % 3),
        weight,
    }
}

fn counts(map: &OwnershipMap) -> BTreeMap<Process, usize> {
    let mut counts = BTreeMap::new();
    for owner in &map.owners {
        *counts.entry(owner.process.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn first_map_shares_evenly() {
    for hosts in 1..=7 {
        let candidates: Vec<Candidate> = (0..hosts).map(|host| candidate(host, 1)).collect();
        let map = initial_map(&candidates, 9).unwrap();
        let counts = counts(&map);
        assert_eq!((map.version, counts.len()), (1, hosts));
        let (low, high) = (counts.values().min().unwrap(), counts.values().max().unwrap());
        assert!(high - low <= 1, "{counts:?}");
        assert!(rebalance(&map, &candidates).is_empty());
    }
}

#[test]
fn first_map_no_candidate() {
    assert_eq!(initial_map(&[], 9), None);
    assert_eq!(initial_map(&[candidate(0, 0)], 9), None);
}

#[test]
fn with_moves_other_owner() {
    let map = initial_map(&[candidate(0, 1)], 9).unwrap();
    let step = Move {
        partition: 3,
        from: process(1),
        to: process(2),
    };
    assert_eq!(map.with_moves(&[step], 10), None);
}

#[test]
fn encode_round_trip() {
    let map = initial_map(&[candidate(0, 1), candidate(1, 2)], 9).unwrap();
    assert_eq!(OwnershipMap::decode(&map.encode().unwrap()).unwrap(), map);
    OwnershipMap::decode(b"{}").unwrap_err();
}

#[test]
fn takeover_moves_all_with_new_epochs() {
    let map = initial_map(&[candidate(0, 1), candidate(1, 1)], 9).unwrap();
    let moves = takeover_moves(&map, &process(0), &process(1));
    let next = map.with_moves(&moves, 10).unwrap();
    assert_eq!(next.partitions_of(&process(1)).len(), usize::from(PARTITIONS));
    let changed = next.owners.iter().filter(|owner| owner.epoch == 2).count();
    assert_eq!((next.version, changed), (2, moves.len()));
}

#[test]
fn takeover_rank_returned_host_first() {
    let live = || (0..5).map(|host| process(host).host_id);
    let ranks: Vec<usize> = live()
        .map(|host_id| takeover_rank(&process(9), &host_id, live()))
        .collect();
    let mut sorted = ranks;
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2, 3, 4]);
    assert_eq!(takeover_rank(&process(2), &process(2).host_id, live()), 0);
}

proptest! {
    /// After a rebalance every candidate owns its share, and no partition moved for nothing.
    #[test]
    fn rebalance_join_and_leave(before in 1..8usize, weights in prop::collection::vec(0..3u32, 8)) {
        prop_assume!(weights.iter().any(|&weight| weight > 0));
        let old: Vec<Candidate> = (0..before).map(|host| candidate(host, 1)).collect();
        let map = initial_map(&old, 9).unwrap();
        let new: Vec<Candidate> = weights
            .iter()
            .enumerate()
            .map(|(host, &weight)| candidate(host, weight))
            .collect();
        let moves = rebalance(&map, &new);
        let next = map.with_moves(&moves, 10).unwrap();
        let total: u32 = weights.iter().sum();
        let (held, held_before) = (counts(&next), counts(&map));
        let mut surplus = 0;
        for (host, &weight) in weights.iter().enumerate() {
            let count = held.get(&process(host)).copied().unwrap_or(0);
            let (whole, rest) = (256 * weight / total, 256 * weight % total);
            let allowed = whole as usize..=whole as usize + usize::from(rest > 0);
            prop_assert!(allowed.contains(&count), "host {}: {}", host, count);
            surplus += held_before.get(&process(host)).copied().unwrap_or(0).saturating_sub(count);
        }
        prop_assert_eq!(moves.len(), surplus);
        prop_assert!(rebalance(&next, &new).is_empty());
    }
}

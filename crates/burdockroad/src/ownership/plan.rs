//! Planning of changes to the ownership map.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    ids::{PARTITIONS, PartitionId},
    ownership::{Move, Owner, OwnershipMap, Process},
};

/// A process that can own partitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The process.
    pub process: Process,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Share of the partitions, relative to the weights of the other candidates; 0 for a host that is
    /// being removed.
    pub weight: u32,
}

/// Partitions of one candidate, and the number that it should own.
struct CandidateShare<'a> {
    candidate: &'a Candidate,
    partitions: Vec<PartitionId>,
    share: usize,
}

/// Returns the map of a new system, or none if no candidate has a weight above 0.
pub fn initial_map(candidates: &[Candidate], change_id: u64) -> Option<OwnershipMap> {
    let mut table = candidate_shares(candidates, &OwnershipMap::default());
    let total = usize::from(PARTITIONS);
    assign_shares(&mut table, total);
    let mut owners = vec![Owner::default(); total];
    for partition in 0..PARTITIONS {
        let receiver = furthest_below_share(&table)?;
        table[receiver].partitions.push(partition);
        owners[usize::from(partition)] = Owner {
            process: table[receiver].candidate.process.clone(),
            epoch: 1,
        };
    }
    Some(OwnershipMap {
        version: 1,
        change_id,
        owners,
    })
}

/// Returns the smallest set of moves after which each candidate owns its share and no failure domain
/// owns more than necessary.
///
/// Partitions of processes that are not candidates are not moved: a successor takes them over instead.
pub fn rebalance(map: &OwnershipMap, candidates: &[Candidate]) -> Vec<Move> {
    let mut table = candidate_shares(candidates, map);
    let total = table.iter().map(|row| row.partitions.len()).sum();
    assign_shares(&mut table, total);
    let mut moves = Vec::new();
    for (from, partition) in take_surplus(&mut table) {
        let Some(receiver) = furthest_below_share(&table) else {
            break;
        };
        table[receiver].partitions.push(partition);
        moves.push(Move {
            partition,
            from,
            to: table[receiver].candidate.process.clone(),
        });
    }
    moves
}

/// Returns the moves that transfer all partitions of a process to its successor.
pub fn takeover_moves(map: &OwnershipMap, dead: &Process, successor: &Process) -> Vec<Move> {
    map.partitions_of(dead)
        .into_iter()
        .map(|partition| Move {
            partition,
            from: dead.clone(),
            to: successor.clone(),
        })
        .collect()
}

fn candidate_shares<'a>(candidates: &'a [Candidate], map: &OwnershipMap) -> Vec<CandidateShare<'a>> {
    let mut table: Vec<CandidateShare<'a>> = candidates
        .iter()
        .map(|candidate| CandidateShare {
            candidate,
            partitions: map.partitions_of(&candidate.process),
            share: 0,
        })
        .collect();
    table.sort_by(|a, b| a.candidate.process.cmp(&b.candidate.process));
    table
}

/// Assigns each candidate the integer part of its share, then distributes the remaining partitions one
/// by one.
fn assign_shares(table: &mut [CandidateShare<'_>], total: usize) {
    let weights: usize = table.iter().map(|row| row.candidate.weight as usize).sum();
    if weights == 0 {
        return;
    }
    for row in table.iter_mut() {
        row.share = total * row.candidate.weight as usize / weights;
    }
    let mut remaining = total - table.iter().map(|row| row.share).sum::<usize>();
    let mut rounded_up = vec![false; table.len()];
    while remaining > 0 {
        let Some(position) = next_to_round_up(table, &rounded_up) else {
            return;
        };
        table[position].share += 1;
        rounded_up[position] = true;
        remaining -= 1;
    }
}

/// Returns the candidate whose share is rounded up next. Candidates that already own more than their
/// share come first, because they can keep a partition that would otherwise be moved. The others are
/// ordered by the total share of their failure domain, smallest first.
fn next_to_round_up(table: &[CandidateShare<'_>], rounded_up: &[bool]) -> Option<usize> {
    let domains = domain_shares(table);
    (0..table.len())
        .filter(|&position| table[position].candidate.weight > 0 && !rounded_up[position])
        .min_by_key(|&position| {
            let row = &table[position];
            let has_surplus = row.partitions.len() > row.share;
            (
                !has_surplus,
                domains[row.candidate.failure_domain.as_str()],
                position,
            )
        })
}

fn domain_shares<'a>(table: &[CandidateShare<'a>]) -> BTreeMap<&'a str, usize> {
    let mut shares = BTreeMap::new();
    for row in table {
        *shares.entry(row.candidate.failure_domain.as_str()).or_default() += row.share;
    }
    shares
}

fn take_surplus(table: &mut [CandidateShare<'_>]) -> Vec<(Process, PartitionId)> {
    let mut surplus = Vec::new();
    for row in table {
        let kept = row.share.min(row.partitions.len());
        let process = &row.candidate.process;
        surplus.extend(
            row.partitions
                .drain(kept..)
                .map(|partition| (process.clone(), partition)),
        );
    }
    surplus
}

/// Returns the candidate that is furthest below its share.
fn furthest_below_share(table: &[CandidateShare<'_>]) -> Option<usize> {
    (0..table.len())
        .filter(|&position| table[position].partitions.len() < table[position].share)
        .min_by_key(|&position| {
            let row = &table[position];
            (Reverse(row.share - row.partitions.len()), position)
        })
}

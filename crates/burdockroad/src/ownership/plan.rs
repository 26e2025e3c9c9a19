//! What the ownership map should become.

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
    /// Failure domain that its host stands in.
    pub failure_domain: String,
    /// Share of the partitions that it should own, against the other candidates; 0 for a leaving host.
    pub weight: u32,
}

/// Row of the table that a plan is worked out on.
struct Holding<'a> {
    candidate: &'a Candidate,
    held: Vec<PartitionId>,
    share: usize,
}

/// The map of a system that has none yet.
///
/// None when no candidate has a weight.
pub fn initial_map(candidates: &[Candidate], change_id: u64) -> Option<OwnershipMap> {
    let mut table = holdings(candidates, &OwnershipMap::default());
    let total = usize::from(PARTITIONS);
    assign_shares(&mut table, total);
    let mut owners = vec![Owner::default(); total];
    for partition in 0..PARTITIONS {
        let receiver = neediest(&table)?;
        table[receiver].held.push(partition);
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

/// The fewest moves after which the candidates own their shares, and no failure domain more than needed.
///
/// Partitions of processes that are no candidates stay: they are taken over, not moved.
pub fn rebalance(map: &OwnershipMap, candidates: &[Candidate]) -> Vec<Move> {
    let mut table = holdings(candidates, map);
    let total = table.iter().map(|row| row.held.len()).sum();
    assign_shares(&mut table, total);
    let mut moves = Vec::new();
    for (from, partition) in take_surplus(&mut table) {
        let Some(receiver) = neediest(&table) else {
            break;
        };
        table[receiver].held.push(partition);
        moves.push(Move {
            partition,
            from,
            to: table[receiver].candidate.process.clone(),
        });
    }
    moves
}

/// The moves by which a successor gets all that a process owns.
pub fn takeover_moves(map: &OwnershipMap, gone: &Process, successor: &Process) -> Vec<Move> {
    map.partitions_of(gone)
        .into_iter()
        .map(|partition| Move {
            partition,
            from: gone.clone(),
            to: successor.clone(),
        })
        .collect()
}

fn holdings<'a>(candidates: &'a [Candidate], map: &OwnershipMap) -> Vec<Holding<'a>> {
    let mut table: Vec<Holding<'a>> = candidates
        .iter()
        .map(|candidate| Holding {
            candidate,
            held: map.partitions_of(&candidate.process),
            share: 0,
        })
        .collect();
    table.sort_by(|a, b| a.candidate.process.cmp(&b.candidate.process));
    table
}

/// Gives each candidate the whole part of its share, then hands out what is left one by one.
fn assign_shares(table: &mut [Holding<'_>], total: usize) {
    let weights: usize = table.iter().map(|row| row.candidate.weight as usize).sum();
    if weights == 0 {
        return;
    }
    for row in table.iter_mut() {
        row.share = total * row.candidate.weight as usize / weights;
    }
    let mut rest = total - table.iter().map(|row| row.share).sum::<usize>();
    let mut raised = vec![false; table.len()];
    while rest > 0 {
        let Some(position) = next_raised(table, &raised) else {
            return;
        };
        table[position].share += 1;
        raised[position] = true;
        rest -= 1;
    }
}

/// Prefers a candidate that holds more than its share already, so that nothing has to move, and then
/// one in the failure domain with the smallest share.
fn next_raised(table: &[Holding<'_>], raised: &[bool]) -> Option<usize> {
    let domains = domain_shares(table);
    (0..table.len())
        .filter(|&position| table[position].candidate.weight > 0 && !raised[position])
        .min_by_key(|&position| {
            let row = &table[position];
            let keeps = row.held.len() > row.share;
            (!keeps, domains[row.candidate.failure_domain.as_str()], position)
        })
}

fn domain_shares<'a>(table: &[Holding<'a>]) -> BTreeMap<&'a str, usize> {
    let mut shares = BTreeMap::new();
    for row in table {
        *shares.entry(row.candidate.failure_domain.as_str()).or_default() += row.share;
    }
    shares
}

fn take_surplus(table: &mut [Holding<'_>]) -> Vec<(Process, PartitionId)> {
    let mut surplus = Vec::new();
    for row in table {
        let kept = row.share.min(row.held.len());
        let process = &row.candidate.process;
        surplus.extend(
            row.held
                .drain(kept..)
                .map(|partition| (process.clone(), partition)),
        );
    }
    surplus
}

/// The candidate that is furthest below its share.
fn neediest(table: &[Holding<'_>]) -> Option<usize> {
    (0..table.len())
        .filter(|&position| table[position].held.len() < table[position].share)
        .min_by_key(|&position| {
            let row = &table[position];
            (Reverse(row.share - row.held.len()), position)
        })
}

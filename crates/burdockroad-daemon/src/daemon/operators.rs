//! What operators are told of this daemon, and what it does at their order.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::SystemTime,
};

use async_trait::async_trait;
use burdockroad::{
    AccountId, ProgramId,
    config::Freshness,
    program::{Program, State, Tree},
};

use crate::{
    admin::{
        DocumentStatus, OperatorActions, OwnershipStatus, ProgramSummary, Readiness, Status, StatusSource,
        freshness_name,
    },
    config_watch::InForceReceiver,
    coordinator::Coordinator,
    ownership::{OwnershipReceiver, PeersReceiver},
    programs::ProgramsHandle,
    telemetry::Telemetry,
};

/// Accounts that are named as the worst served.
const WORST_SERVED_COUNT: usize = 10;

/// The parts of a daemon that operators ask about.
#[derive(Debug)]
pub(super) struct Operators {
    pub(super) failure_domain: String,
    pub(super) in_force: InForceReceiver,
    pub(super) ownership: OwnershipReceiver,
    pub(super) peers: PeersReceiver,
    pub(super) programs: ProgramsHandle,
    pub(super) coordinator: Weak<Coordinator>,
    pub(super) telemetry: Telemetry,
    pub(super) draining: AtomicBool,
}

impl Operators {
    /// Takes note that the host is being emptied, so that the balancer sends it no new callers.
    pub(super) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl StatusSource for Operators {
    fn readiness(&self) -> Readiness {
        if self.is_draining() {
            return Readiness::NotReady("draining".to_owned());
        }
        if !self.in_force.borrow().is_loaded() {
            return Readiness::NotReady("no configuration document is in force".to_owned());
        }
        if self.in_force.borrow().freshness() == Freshness::CutOff {
            return Readiness::NotReady("cut off: keys cannot be checked here".to_owned());
        }
        if self.ownership.borrow().owners.is_empty() {
            return Readiness::NotReady("the ownership map is not known yet".to_owned());
        }
        Readiness::Ready
    }

    fn metrics(&self) -> String {
        self.telemetry.render()
    }

    fn status(&self) -> Status {
        let view = Arc::clone(&self.ownership.borrow());
        let in_force = Arc::clone(&self.in_force.borrow());
        let peers = self.peers.borrow();
        let heard = peers.peers.iter().filter(|(_, peer)| peer.alive);
        Status {
            host_id: view.me.host_id.clone(),
            incarnation: view.me.incarnation,
            failure_domain: self.failure_domain.clone(),
            draining: self.is_draining(),
            document: DocumentStatus {
                version: in_force.version,
                freshness: freshness_name(in_force.freshness()).to_owned(),
            },
            ownership: OwnershipStatus {
                version: view.version,
                partitions: view.own_partitions().len(),
                open_programs: self.programs.owned_tree_count(),
                peers_heard: heard.map(|(host_id, _)| host_id.clone()).collect(),
            },
            endpoints: Vec::new(),
            worst_served: self.telemetry.worst_served(WORST_SERVED_COUNT),
        }
    }
}

#[async_trait]
impl OperatorActions for Operators {
    async fn programs(&self, account_id: Option<AccountId>) -> Vec<ProgramSummary> {
        let trees = self.programs.list().await;
        let wanted = trees
            .iter()
            .filter(|tree| account_id.as_ref().is_none_or(|id| *id == tree.account_id));
        wanted.flat_map(summaries).collect()
    }

    async fn program(&self, program_id: ProgramId) -> Option<ProgramSummary> {
        let all = self.programs(None).await;
        all.into_iter().find(|program| program.program_id == program_id)
    }

    async fn end_program(&self, program_id: ProgramId) -> bool {
        let Some(program) = self.program(program_id.clone()).await else {
            return false;
        };
        self.programs.end(program.account_id, program_id).await.is_ok()
    }

    async fn drain(&self) {
        self.set_draining();
        if let Some(coordinator) = self.coordinator.upgrade() {
            coordinator.drain();
        }
    }
}

fn summaries(tree: &Tree) -> Vec<ProgramSummary> {
    tree.programs
        .values()
        .map(|program| summary(tree, program))
        .collect()
}

fn summary(tree: &Tree, program: &Program) -> ProgramSummary {
    let state = match &program.state {
        State::Active => "open".to_owned(),
        State::Ended { reason, .. } => reason.clone(),
    };
    let age = SystemTime::now()
        .duration_since(tree.ledger.created_at)
        .unwrap_or_default();
    ProgramSummary {
        program_id: program.id.clone(),
        account_id: tree.account_id.clone(),
        parent_id: program.parent_id.clone(),
        state,
        calls: program.calls.len().try_into().unwrap_or(u32::MAX),
        spent_tokens: tree.ledger.spent_tokens,
        age_s: age.as_secs(),
    }
}

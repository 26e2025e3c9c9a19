//! Status reports and actions that a daemon provides to operators.

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

/// Number of worst-served accounts in a status report.
const WORST_SERVED_COUNT: usize = 10;

/// Components of a daemon that status reports and operator actions use.
#[derive(Debug)]
pub(super) struct OperatorApi {
    pub(super) failure_domain: String,
    pub(super) in_force: InForceReceiver,
    pub(super) ownership: OwnershipReceiver,
    pub(super) peers: PeersReceiver,
    pub(super) programs: ProgramsHandle,
    pub(super) coordinator: Weak<Coordinator>,
    pub(super) telemetry: Telemetry,
    pub(super) draining: AtomicBool,
}

impl OperatorApi {
    /// Records that the host is draining, so that the load balancer sends it no new callers.
    pub(super) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl StatusSource for OperatorApi {
    fn readiness(&self) -> Readiness {
        if self.is_draining() {
            return Readiness::NotReady("draining".to_owned());
        }
        if !self.in_force.borrow().is_loaded() {
            return Readiness::NotReady("no configuration document is in force".to_owned());
        }
        if self.in_force.borrow().freshness() == Freshness::CutOff {
            return Readiness::NotReady(
                "the configuration document may be outdated, so keys cannot be checked".to_owned(),
            );
        }
        if self.ownership.borrow().owners.is_empty() {
            return Readiness::NotReady("the ownership map has not been received yet".to_owned());
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
        let live = peers.peers.iter().filter(|(_, peer)| peer.live);
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
                peers_heard: live.map(|(host_id, _)| host_id.clone()).collect(),
            },
            endpoints: Vec::new(),
            worst_served: self.telemetry.worst_served(WORST_SERVED_COUNT),
        }
    }
}

#[async_trait]
impl OperatorActions for OperatorApi {
    async fn programs(&self, account_id: Option<AccountId>) -> Vec<ProgramSummary> {
        let trees = self.programs.list().await;
        let matching = trees
            .iter()
            .filter(|tree| account_id.as_ref().is_none_or(|id| *id == tree.account_id));
        matching.flat_map(summaries).collect()
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

//! Assembly of a daemon's services from its settings and shared components.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use burdockroad::{
    membership,
    program::ProgramsOptions,
    retry::{RetryBudgets, RetryOptions},
};

use super::{
    DaemonError,
    journals::{Journals, RetryingRecovery},
    observed_hosts::ObservedHostList,
    operators::OperatorApi,
};
use crate::{
    calls::{CallLimits, CallRunner},
    config_watch::{ConfigWatch, InForceReceiver},
    coordinator::{Coordinator, CoordinatorOptions, JournalHandle, Views},
    dispatch::{DispatchParts, PoolDispatcher},
    document_source::{DocumentSource, LeavingReceiver},
    edge::{Edge, EdgeLimits},
    endpoint::Endpoints,
    journal::{StoreRecovery, TailStore, Trees},
    peer::{PeerClients, PeerHandlers},
    platform::SharedKeyValue,
    prefix_cache::EnginePrefixCache,
    programs::{ProgramsHandle, ProgramsParts},
    quota::{EscrowQuota, QuotaParts},
    settings::Settings,
    telemetry::Telemetry,
};

/// Maximum size of a response on a route of kind `service`, in bytes.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum wait for a program that is moving between hosts. This is longer than a takeover takes.
const MOVING_TIMEOUT: Duration = Duration::from_secs(8);

/// Settings and shared components from which the daemon's services are assembled.
pub(super) struct Components {
    pub(super) settings: Settings,
    pub(super) store: SharedKeyValue,
    pub(super) clients: Arc<PeerClients>,
    pub(super) views: Views,
    pub(super) tails: Arc<TailStore>,
    pub(super) endpoints: Arc<dyn Endpoints>,
    pub(super) in_force: InForceReceiver,
    pub(super) telemetry: Telemetry,
}

/// Services for callers and peers.
pub(super) struct Services {
    pub(super) edge: Edge,
    pub(super) handlers: PeerHandlers,
}

impl Components {
    pub(super) fn journals(&self) -> Journals {
        Journals {
            store: Arc::clone(&self.store),
            settings: self.settings.clone(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            tails: Arc::clone(&self.tails),
            cleanup: Mutex::default(),
        }
    }

    pub(super) async fn start_programs(
        &self,
        journal: &Arc<JournalHandle>,
    ) -> Result<ProgramsHandle, DaemonError> {
        let parts = ProgramsParts {
            journal: Arc::clone(journal) as _,
            releaser: Arc::new(self.engine_prefix_cache()),
            ownership: self.views.ownership(),
            options: ProgramsOptions::default(),
        };
        Ok(ProgramsHandle::start(parts).await?)
    }

    pub(super) fn engine_prefix_cache(&self) -> EnginePrefixCache {
        EnginePrefixCache {
            endpoints: Arc::clone(&self.endpoints),
            in_force: self.in_force.clone(),
        }
    }

    pub(super) fn coordinator_options(
        &self,
        config: &ConfigWatch,
        hosts: ObservedHostList,
        journal: Arc<JournalHandle>,
        trees: Arc<dyn Trees>,
        peer_address: SocketAddr,
    ) -> CoordinatorOptions {
        let recovery = StoreRecovery::new(
            Arc::clone(&self.store),
            self.views.peers(),
            Arc::clone(&self.clients),
            Arc::clone(&self.tails),
        );
        CoordinatorOptions {
            views: self.views.clone(),
            peer_address: peer_address.to_string(),
            failure_domain: self.settings.failure_domain.clone(),
            membership: membership::Options::default(),
            store: Arc::clone(&self.store),
            host_list: Arc::new(hosts),
            journal,
            recovery: Arc::new(RetryingRecovery { recovery }),
            trees,
            clients: Arc::clone(&self.clients),
            document: config.gossip(),
        }
    }

    pub(super) async fn start_serving(
        &self,
        coordinator: &Coordinator,
        config: &ConfigWatch,
        programs: &Arc<ProgramsHandle>,
        leaving: LeavingReceiver,
    ) -> Result<Services, DaemonError> {
        let source = Arc::new(DocumentSource::new(self.in_force.clone(), leaving));
        let quota = Arc::new(self.start_quota(coordinator, &source).await?);
        let dispatcher = Arc::new(self.start_dispatcher(&source).await?);
        let runner = CallRunner {
            programs: ProgramsHandle::clone(programs),
            quota: Arc::clone(&quota) as _,
            dispatcher: Arc::clone(&dispatcher) as _,
            endpoints: Arc::clone(&self.endpoints),
            in_force: self.in_force.clone(),
            retries: Arc::new(Mutex::new(RetryBudgets::new(RetryOptions::default()))),
            telemetry: self.telemetry.clone(),
            limits: self.call_limits(),
        };
        let edge = Edge {
            runner,
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            in_force: self.in_force.clone(),
            limits: EdgeLimits {
                moving_timeout: MOVING_TIMEOUT,
            },
        };
        let handlers = PeerHandlers {
            heartbeat: coordinator.heartbeat_handler(),
            forward: Arc::new(edge.clone()),
            tail: Arc::clone(&self.tails) as _,
            adopt: coordinator.adopt_handler(),
            document: config.handler(),
            grant: quota,
            slot: dispatcher,
        };
        Ok(Services { edge, handlers })
    }

    async fn start_quota(
        &self,
        coordinator: &Coordinator,
        source: &Arc<DocumentSource>,
    ) -> Result<EscrowQuota, DaemonError> {
        let parts = QuotaParts {
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            lease: coordinator.lease(),
            limits: Arc::clone(source) as _,
        };
        Ok(EscrowQuota::start(parts).await?)
    }

    async fn start_dispatcher(&self, source: &Arc<DocumentSource>) -> Result<PoolDispatcher, DaemonError> {
        let parts = DispatchParts {
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            source: Arc::clone(source) as _,
            limits: Arc::clone(source) as _,
        };
        Ok(PoolDispatcher::start(parts).await?)
    }

    pub(super) fn operators(
        &self,
        coordinator: &Arc<Coordinator>,
        programs: &Arc<ProgramsHandle>,
    ) -> OperatorApi {
        OperatorApi {
            failure_domain: self.settings.failure_domain.clone(),
            in_force: self.in_force.clone(),
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            programs: ProgramsHandle::clone(programs),
            coordinator: Arc::downgrade(coordinator),
            telemetry: self.telemetry.clone(),
            draining: AtomicBool::new(false),
        }
    }

    fn call_limits(&self) -> CallLimits {
        CallLimits {
            queue_timeout: Duration::from_secs(self.settings.limits.queue_timeout_s),
            response_max_bytes: RESPONSE_MAX_BYTES,
        }
    }
}

//! Engine memory held for programs: freed when the program is gone, and audited for what was missed.
//!
//! What an engine may hold is recorded with each intent, so the owner of a program knows whom to ask.
//! One case escapes the records: a host that is paused between its record and its send, and wakes
//! after a successor has already had the memory freed. The audit finds what is left of that.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{
    ProgramId,
    config::{Endpoint, RouteKind},
    partition_of_program,
    program::Hold,
};
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Deserialize;
use tokio::task::JoinHandle;

use crate::{
    config_watch::InForceReceiver,
    endpoint::{EndpointRequest, Endpoints},
    ownership::OwnershipReceiver,
    programs::{PrefixReleaser, ProgramsHandle},
};

/// Path at which engines list and free what they hold.
const CACHE_PATH: &str = "/cache";

/// Time within which an engine answers an order to free memory.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two audits.
const AUDIT_INTERVAL: Duration = Duration::from_secs(10);

/// Largest list of held programs that is read, in bytes.
const LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Frees engine memory by the engines' own interface.
#[derive(Clone, Debug)]
pub struct EnginePrefixCache {
    /// Requests to endpoints.
    pub endpoints: Arc<dyn Endpoints>,
    /// The document in force, which says where endpoints are.
    pub in_force: InForceReceiver,
}

#[async_trait]
impl PrefixReleaser for EnginePrefixCache {
    async fn release(&self, hold: &Hold) -> bool {
        let Some(endpoint) = self.endpoint(&hold.endpoint_id) else {
            // Operators have taken the endpoint away, and its memory with it.
            return true;
        };
        self.free(&endpoint, &hold.program_id).await
    }
}

impl EnginePrefixCache {
    fn endpoint(&self, endpoint_id: &str) -> Option<Endpoint> {
        let in_force = self.in_force.borrow();
        let mut endpoints = in_force
            .document
            .endpoint_sets
            .iter()
            .flat_map(|set| &set.endpoints);
        endpoints.find(|endpoint| endpoint.id == endpoint_id).cloned()
    }

    async fn free(&self, endpoint: &Endpoint, program_id: &ProgramId) -> bool {
        let target = format!("{CACHE_PATH}/{program_id}");
        let sent = self.endpoints.send(request(endpoint, Method::DELETE, target));
        match tokio::time::timeout(RELEASE_TIMEOUT, sent).await {
            Ok(Ok(answer)) => (200..300).contains(&answer.status) || answer.status == 404,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    async fn held(&self, endpoint: &Endpoint) -> Vec<ProgramId> {
        let sent = self
            .endpoints
            .send(request(endpoint, Method::GET, CACHE_PATH.to_owned()));
        let read = async { sent.await.ok()?.read(LIST_MAX_BYTES).await.ok() };
        let Ok(Some(body)) = tokio::time::timeout(RELEASE_TIMEOUT, read).await else {
            return Vec::new();
        };
        let listed: Vec<HeldProgram> = serde_json::from_slice(&body).unwrap_or_default();
        listed.into_iter().map(|held| held.program_id).collect()
    }

    fn engines(&self) -> Vec<Endpoint> {
        let in_force = self.in_force.borrow();
        let document = &in_force.document;
        let models = document
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Model);
        let pools: Vec<&String> = models.flat_map(|route| &route.endpoint_sets).collect();
        let sets = document
            .endpoint_sets
            .iter()
            .filter(|set| pools.contains(&&set.id));
        sets.flat_map(|set| set.endpoints.clone()).collect()
    }
}

/// One program of an engine's list.
#[derive(Deserialize)]
struct HeldProgram {
    program_id: ProgramId,
}

fn request(endpoint: &Endpoint, method: Method, target: String) -> EndpointRequest {
    EndpointRequest {
        address: endpoint.address.clone(),
        method,
        target,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        fresh_connection: false,
    }
}

/// Looks at what engines hold, again and again, and frees what no program of this host accounts for.
#[derive(Debug)]
pub struct PrefixCacheAudit {
    task: JoinHandle<()>,
}

impl PrefixCacheAudit {
    /// Starts the audit.
    pub fn start(memory: EnginePrefixCache, ownership: OwnershipReceiver, programs: ProgramsHandle) -> Self {
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(AUDIT_INTERVAL).await;
                for engine in memory.engines() {
                    audit(&memory, &engine, &ownership, &programs).await;
                }
            }
        });
        Self { task }
    }

    /// Stops the audit.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn audit(
    memory: &EnginePrefixCache,
    engine: &Endpoint,
    ownership: &OwnershipReceiver,
    programs: &ProgramsHandle,
) {
    for program_id in memory.held(engine).await {
        let owned =
            partition_of_program(&program_id).is_some_and(|partition| ownership.borrow().owns(partition));
        if !owned || programs.contains(program_id.clone()).await {
            continue;
        }
        let freed = memory.free(engine, &program_id).await;
        log::info!(
            "event=memory_audited program={program_id} endpoint={} freed={freed}",
            engine.id
        );
    }
}

//! Release of programs' cached prefixes at engines, and a periodic audit for prefixes that were not
//! released.
//!
//! Each intent in the journal records the engine that may cache the program's prefix, so the owner of
//! a program can determine where to release the prefix. One case is not covered by these records: a
//! host is paused between recording an intent and sending the call, and resumes after its successor
//! has already released the prefix. The audit finds the prefixes that this case leaves behind.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{
    ProgramId,
    config::{Endpoint, RouteKind},
    partition_of_program,
    program::CachedPrefix,
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

/// Path of the engine API that lists and releases cached prefixes.
const CACHE_PATH: &str = "/cache";

/// Timeout of a request to list or release cached prefixes.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two audits.
const AUDIT_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum size of an engine's list of cached prefixes, in bytes.
const LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

/// A client of the engines' API for cached prefixes.
#[derive(Clone, Debug)]
pub struct EnginePrefixCache {
    /// Client for requests to endpoints.
    pub endpoints: Arc<dyn Endpoints>,
    /// Document in force, which contains the endpoints' addresses.
    pub in_force: InForceReceiver,
}

#[async_trait]
impl PrefixReleaser for EnginePrefixCache {
    async fn release(&self, cached_prefix: &CachedPrefix) -> bool {
        let Some(endpoint) = self.endpoint(&cached_prefix.endpoint_id) else {
            // Operators have removed the endpoint, and its cache with it.
            return true;
        };
        self.release_at(&endpoint, &cached_prefix.program_id).await
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

    async fn release_at(&self, endpoint: &Endpoint, program_id: &ProgramId) -> bool {
        let target = format!("{CACHE_PATH}/{program_id}");
        let response = self.endpoints.send(request(endpoint, Method::DELETE, target));
        match tokio::time::timeout(RELEASE_TIMEOUT, response).await {
            Ok(Ok(response)) => (200..300).contains(&response.status) || response.status == 404,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    async fn cached_programs(&self, endpoint: &Endpoint) -> Vec<ProgramId> {
        let response = self
            .endpoints
            .send(request(endpoint, Method::GET, CACHE_PATH.to_owned()));
        let read = async { response.await.ok()?.read(LIST_MAX_BYTES).await.ok() };
        let Ok(Some(body)) = tokio::time::timeout(RELEASE_TIMEOUT, read).await else {
            return Vec::new();
        };
        let entries: Vec<CachedProgram> = serde_json::from_slice(&body).unwrap_or_default();
        entries.into_iter().map(|program| program.program_id).collect()
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

/// An entry of an engine's list of cached prefixes.
#[derive(Deserialize)]
struct CachedProgram {
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

/// A task that periodically releases cached prefixes of programs that belong to this host's partitions
/// but are not in its program table.
#[derive(Debug)]
pub struct PrefixCacheAudit {
    task: JoinHandle<()>,
}

impl PrefixCacheAudit {
    /// Starts the audit.
    pub fn start(cache: EnginePrefixCache, ownership: OwnershipReceiver, programs: ProgramsHandle) -> Self {
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(AUDIT_INTERVAL).await;
                for engine in cache.engines() {
                    audit(&cache, &engine, &ownership, &programs).await;
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
    cache: &EnginePrefixCache,
    engine: &Endpoint,
    ownership: &OwnershipReceiver,
    programs: &ProgramsHandle,
) {
    for program_id in cache.cached_programs(engine).await {
        let owned =
            partition_of_program(&program_id).is_some_and(|partition| ownership.borrow().owns(partition));
        if !owned || programs.contains(program_id.clone()).await {
            continue;
        }
        let freed = cache.release_at(engine, &program_id).await;
        log::info!(
            "event=memory_audited program={program_id} endpoint={} freed={freed}",
            engine.id
        );
    }
}

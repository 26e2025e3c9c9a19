//! Request handlers for the host that owns the program of a request.

use std::time::{Duration, SystemTime};

use burdockroad::{
    ProgramId,
    config::{Document, Route, RouteKind},
    program::{Budget, NewProgram, Refusal},
};
use bytes::Bytes;
use serde_json::json;

use crate::{
    answer::{Head, ResponseLog, ResponseReader},
    calls::{
        CallPayload, CallPlan, CallPosition, CompletionRequest, JSON_CONTENT_TYPE, ServiceRequest,
        service_headers, wait_durable,
    },
    edge::{Edge, EdgeRequest, program_json},
    http::{NewProgramRequest, Target, digest},
    problem::{Problem, ProblemKind},
    programs::Rejection,
    telemetry::Measure,
};

/// Time for which the response to an idempotency key is retained.
const IDEMPOTENCY_WINDOW: Duration = Duration::from_hours(24);

impl Edge {
    /// Serves a request whose program this host owns, or that has no program.
    pub(super) async fn serve_local(&self, request: &EdgeRequest) -> Result<ResponseReader, Problem> {
        match &request.operation.target {
            Target::Models => Ok(self.models()),
            Target::CreateProgram => self.create_program(request).await,
            Target::ShowProgram(id) => self.show_program(request, id).await,
            Target::EndProgram(id) => self.end_program(request, id).await,
            Target::Completion => {
                let payload = CallPayload::Completion(CompletionRequest::parse(&request.body)?);
                self.call(request, payload).await
            }
            Target::Service { target, .. } => {
                let payload = CallPayload::Service(service_request(request, target));
                self.call(request, payload).await
            }
        }
    }

    fn models(&self) -> ResponseReader {
        let in_force = self.in_force.borrow();
        let models = in_force
            .document
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Model);
        let data: Vec<_> = models
            .map(
                |route| json!({ "id": route.id, "object": "model", "created": 0, "owned_by": "burdockroad" }),
            )
            .collect();
        json_response(200, &json!({ "object": "list", "data": data }))
    }

    async fn create_program(&self, request: &EdgeRequest) -> Result<ResponseReader, Problem> {
        let requested = NewProgramRequest::parse(&request.body)?;
        let budget = requested.budget(&self.in_force.borrow().document.budget_defaults)?;
        let Some(program_id) = request.new_program_id.clone() else {
            return Err(Problem::new(
                ProblemKind::Internal,
                "no id was assigned to the new program",
            ));
        };
        let new_program = NewProgram {
            program_id: program_id.clone(),
            account_id: request.caller.account_id.clone(),
            parent_id: requested.parent,
            budget,
        };
        self.ensure_program(new_program).await?;
        let view = self
            .runner
            .programs
            .get(request.caller.account_id.clone(), program_id)
            .await?;
        Ok(json_response(201, &program_json::program(&view)))
    }

    async fn show_program(&self, request: &EdgeRequest, id: &ProgramId) -> Result<ResponseReader, Problem> {
        let view = self
            .runner
            .programs
            .get(request.caller.account_id.clone(), id.clone())
            .await?;
        Ok(json_response(200, &program_json::program(&view)))
    }

    async fn end_program(&self, request: &EdgeRequest, id: &ProgramId) -> Result<ResponseReader, Problem> {
        let account_id = request.caller.account_id.clone();
        let ended = self.runner.programs.end(account_id.clone(), id.clone()).await?;
        wait_durable(ended).await?;
        let view = self.runner.programs.get(account_id.clone(), id.clone()).await?;
        let age = SystemTime::now()
            .duration_since(view.tree.ledger.created_at)
            .unwrap_or_default();
        self.runner.telemetry.record(&account_id, Measure::Program, age);
        Ok(json_response(200, &program_json::program(&view)))
    }

    async fn call(&self, request: &EdgeRequest, payload: CallPayload) -> Result<ResponseReader, Problem> {
        let route = self.route(request, &payload)?;
        let mut plan = self.plan(request, route, payload);
        let call = &request.operation.call;
        if let Some((program_id, number)) = call.position.clone() {
            return self
                .runner
                .program_call(plan, CallPosition { program_id, number })
                .await;
        }
        let Some(program_id) = request.new_program_id.clone() else {
            return Ok(self.runner.single_call(plan));
        };
        plan.keeps_prefix = false;
        self.ensure_program(self.idempotency_program(request, program_id.clone()))
            .await?;
        self.runner
            .program_call(
                plan,
                CallPosition {
                    program_id,
                    number: 1,
                },
            )
            .await
    }

    /// Returns the program to create for an idempotency key; the call with that key is its only one.
    fn idempotency_program(&self, request: &EdgeRequest, program_id: ProgramId) -> NewProgram {
        let defaults = self.in_force.borrow().document.budget_defaults.clone();
        let budget = Budget {
            max_tokens: defaults.max_tokens,
            max_calls: defaults.max_calls,
            max_duration: IDEMPOTENCY_WINDOW,
        };
        NewProgram {
            program_id,
            account_id: request.caller.account_id.clone(),
            parent_id: None,
            budget,
        }
    }

    /// Creates a program unless an earlier attempt of the same request has already created it.
    async fn ensure_program(&self, new_program: NewProgram) -> Result<(), Problem> {
        let programs = &self.runner.programs;
        if programs.contains(new_program.program_id.clone()).await {
            programs
                .get(new_program.account_id, new_program.program_id)
                .await?;
            return Ok(());
        }
        match programs.create(new_program.clone()).await {
            Ok(created) => wait_durable(created).await,
            // A concurrent attempt of the same request has created the program.
            Err(Rejection::Refused(Refusal::DifferentRequest)) => {
                programs
                    .get(new_program.account_id, new_program.program_id)
                    .await?;
                Ok(())
            }
            Err(cause) => Err(cause.into()),
        }
    }

    fn route(&self, request: &EdgeRequest, payload: &CallPayload) -> Result<Route, Problem> {
        let in_force = self.in_force.borrow();
        let lookup = match (payload, &request.operation.target) {
            (CallPayload::Completion(completion), _) => (completion.model.as_str(), RouteKind::Model),
            (CallPayload::Service(_), Target::Service { route_id, .. }) => {
                (route_id.as_str(), RouteKind::Service)
            }
            (CallPayload::Service(_), _) => return Err(unknown_route_problem("")),
        };
        find_route(&in_force.document, lookup.0, lookup.1).cloned()
    }

    fn plan(&self, request: &EdgeRequest, route: Route, payload: CallPayload) -> CallPlan {
        let in_force = self.in_force.borrow();
        let pool_ids = preferred_pools(&in_force.document, &route, request.site_seed());
        CallPlan {
            caller: request.caller.clone(),
            idempotent: route.idempotent || route.kind == RouteKind::Model,
            route_id: route.id,
            pool_ids,
            digest: digest(&request.method, &request.target, &request.body),
            keeps_prefix: true,
            payload,
            deadline: request.deadline,
            traceparent: request.headers.get("traceparent").cloned(),
        }
    }
}

impl EdgeRequest {
    /// Returns the seed for the selection of a site, which is equal for all calls of a program and
    /// pseudo-random across programs.
    fn site_seed(&self) -> u64 {
        let position = self.operation.call.position.as_ref().map(|(id, _)| id);
        match position.or(self.new_program_id.as_ref()) {
            Some(id) => xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
            None => rand::random(),
        }
    }
}

/// Returns the route with an id and kind.
///
/// # Errors
///
/// Returns a problem if the document does not contain such a route.
pub(crate) fn find_route<'a>(
    document: &'a Document,
    id: &str,
    kind: RouteKind,
) -> Result<&'a Route, Problem> {
    let found = document
        .routes
        .iter()
        .find(|route| route.id == id && route.kind == kind);
    found.ok_or_else(|| unknown_route_problem(id))
}

fn unknown_route_problem(id: &str) -> Problem {
    Problem::new(
        ProblemKind::UnknownRoute,
        format!("route or model {id:?} does not exist"),
    )
}

/// Returns the pools of a route, those of a preferred site first.
///
/// The preferred site is selected by the sites' weights and by `seed`, which depends on the program
/// alone. All calls of a program therefore prefer the same site until the weights change. A change of
/// the weights moves only some of the programs to another site.
fn preferred_pools(document: &Document, route: &Route, seed: u64) -> Vec<String> {
    let site = pick_site(document, route, seed);
    let mut pools = route.endpoint_sets.clone();
    pools.sort_by_key(|pool| site_of(document, pool) != site);
    pools
}

fn pick_site<'a>(document: &'a Document, route: &Route, seed: u64) -> Option<&'a str> {
    let serves = |site: &str| {
        route
            .endpoint_sets
            .iter()
            .any(|pool| site_of(document, pool) == Some(site))
    };
    let sites: Vec<_> = document.sites.iter().filter(|site| serves(&site.id)).collect();
    let total: u64 = sites.iter().map(|site| u64::from(site.weight)).sum();
    if total == 0 {
        return sites.first().map(|site| site.id.as_str());
    }
    let mut remaining_weight = seed % total;
    for site in sites {
        let weight = u64::from(site.weight);
        if remaining_weight < weight {
            return Some(&site.id);
        }
        remaining_weight -= weight;
    }
    None
}

fn site_of<'a>(document: &'a Document, pool: &str) -> Option<&'a str> {
    let set = document.endpoint_sets.iter().find(|set| set.id == pool)?;
    Some(&set.site)
}

fn service_request(request: &EdgeRequest, target: &str) -> ServiceRequest {
    ServiceRequest {
        method: request.method.clone(),
        target: target.to_owned(),
        headers: service_headers(&request.headers),
        body: request.body.clone(),
    }
}

fn json_response(status: u16, body: &serde_json::Value) -> ResponseReader {
    ResponseLog::complete(
        Head::new(status, JSON_CONTENT_TYPE),
        Bytes::from(body.to_string()),
    )
    .reader()
}

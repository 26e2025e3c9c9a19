//! What a caller's request asks for.

use std::time::Duration;

use burdockroad::{CallNumber, ProgramId, RouteId, config::BudgetDefaults, program::Budget};
use http::{HeaderMap, Method};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::problem::{Problem, ProblemKind};

/// Header that names a call's program.
pub const PROGRAM_ID_HEADER: &str = "program-id";

/// Header that gives a call's position in its program.
pub const CALL_NUMBER_HEADER: &str = "call-number";

/// Header that makes a repeated call outside a program known as such.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest time that a budget may give a program. State of programs without end would never go away.
const DURATION_MAX: Duration = Duration::from_hours(30 * 24);

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// What a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// `POST /v1/chat/completions`.
    Completion,
    /// `GET /v1/models`.
    Models,
    /// `POST /v1/programs`.
    CreateProgram,
    /// `GET /v1/programs/{id}`.
    ShowProgram(ProgramId),
    /// `DELETE /v1/programs/{id}`.
    EndProgram(ProgramId),
    /// Any method at `/services/{route}/...`.
    Service {
        /// The route.
        route_id: RouteId,
        /// Path and query below the route.
        rest: String,
    },
}

/// A caller's request, read.
#[derive(Clone, Debug)]
pub struct Operation {
    /// What it is for.
    pub target: Target,
    /// What its headers say of its program.
    pub call: CallHeaders,
}

/// What the headers say of a call's program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHeaders {
    /// The program, and the call's number in it.
    pub position: Option<(ProgramId, CallNumber)>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

impl Operation {
    /// Reads a request's method, path, query and headers.
    ///
    /// # Errors
    ///
    /// Refuses an unknown path, a method that the path does not take, and malformed headers.
    pub fn parse(method: &Method, path_and_query: &str, headers: &HeaderMap) -> Result<Self, Problem> {
        let target = Target::parse(method, path_and_query)?;
        let call = CallHeaders::parse(headers)?;
        Ok(Self { target, call })
    }
}

impl Target {
    fn parse(method: &Method, path_and_query: &str) -> Result<Self, Problem> {
        let path = path_and_query.split('?').next().unwrap_or_default();
        if let Some(rest) = path_and_query.strip_prefix("/services/") {
            return Self::parse_service(rest);
        }
        if let Some(id) = path.strip_prefix("/v1/programs/") {
            return Self::parse_program(method, id);
        }
        match path {
            "/v1/chat/completions" => only(method, &Method::POST, Self::Completion),
            "/v1/models" => only(method, &Method::GET, Self::Models),
            "/v1/programs" => only(method, &Method::POST, Self::CreateProgram),
            _ => Err(Problem::new(
                ProblemKind::UnknownRoute,
                "there is nothing at this path",
            )),
        }
    }

    fn parse_service(rest: &str) -> Result<Self, Problem> {
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (route_id, below) = rest.split_at(end);
        if route_id.is_empty() {
            return Err(Problem::new(ProblemKind::UnknownRoute, "the path names no route"));
        }
        let rest = if below.starts_with('/') {
            below.to_owned()
        } else {
            format!("/{below}")
        };
        Ok(Self::Service {
            route_id: route_id.to_owned(),
            rest,
        })
    }

    fn parse_program(method: &Method, id: &str) -> Result<Self, Problem> {
        match *method {
            Method::GET => Ok(Self::ShowProgram(id.to_owned())),
            Method::DELETE => Ok(Self::EndProgram(id.to_owned())),
            _ => Err(method_not_allowed("GET or DELETE")),
        }
    }
}

fn only(method: &Method, allowed: &Method, target: Target) -> Result<Target, Problem> {
    if method == allowed {
        Ok(target)
    } else {
        Err(method_not_allowed(allowed.as_str()))
    }
}

fn method_not_allowed(allowed: &str) -> Problem {
    Problem::new(
        ProblemKind::MethodNotAllowed,
        format!("this path takes {allowed}"),
    )
}

impl CallHeaders {
    fn parse(headers: &HeaderMap) -> Result<Self, Problem> {
        let program_id = text(headers, PROGRAM_ID_HEADER)?;
        let number = text(headers, CALL_NUMBER_HEADER)?
            .map(|digits| parse_number(&digits))
            .transpose()?;
        let idempotency_key = text(headers, IDEMPOTENCY_KEY_HEADER)?;
        let too_long = idempotency_key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES);
        if too_long {
            return Err(invalid_header(IDEMPOTENCY_KEY_HEADER, "must hold 1 to 255 bytes"));
        }
        let position = match (program_id, number) {
            (Some(program_id), Some(number)) => Some((program_id, number)),
            (None, None) => None,
            (Some(_), None) => return Err(invalid_header(CALL_NUMBER_HEADER, "must come with Program-Id")),
            (None, Some(_)) => return Err(invalid_header(PROGRAM_ID_HEADER, "must come with Call-Number")),
        };
        Ok(Self {
            position,
            idempotency_key,
        })
    }
}

fn text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid_header(name, "must come once"));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value.trim().to_owned())),
        Err(_) => Err(invalid_header(name, "must be visible ASCII")),
    }
}

fn parse_number(digits: &str) -> Result<CallNumber, Problem> {
    match digits.parse() {
        Ok(number) if number >= 1 => Ok(number),
        Ok(_) | Err(_) => Err(invalid_header(
            CALL_NUMBER_HEADER,
            "must be a whole number from 1",
        )),
    }
}

fn invalid_header(name: &str, must: &str) -> Problem {
    Problem::new(ProblemKind::InvalidRequest, format!("the header {name} {must}"))
}

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NewProgramRequest {
    /// Budget of a new root.
    pub budget: Option<BudgetRequest>,
    /// Program whose sub-agent the new one is.
    pub parent: Option<ProgramId>,
}

/// A budget; what it leaves out is taken from the document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetRequest {
    /// Tokens that engines may generate.
    pub max_tokens: Option<u64>,
    /// Calls that may be sent.
    pub max_calls: Option<u32>,
    /// Seconds until the last call must have ended.
    pub max_duration_s: Option<u64>,
}

impl NewProgramRequest {
    /// Reads a body; an empty one asks for the defaults.
    ///
    /// # Errors
    ///
    /// Refuses what is not JSON or has unknown fields, and a sub-agent with a budget of its own.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        let request: Self = serde_json::from_slice(body).map_err(|error| {
            Problem::new(
                ProblemKind::InvalidRequest,
                format!("the body does not describe a program: {error}"),
            )
        })?;
        if request.parent.is_some() && request.budget.is_some() {
            let detail = "a sub-agent shares its parent's budget and has none of its own";
            return Err(Problem::new(ProblemKind::InvalidRequest, detail));
        }
        Ok(request)
    }

    /// The budget, filled up from the defaults.
    ///
    /// # Errors
    ///
    /// Refuses a duration of more than thirty days, and a budget of nothing.
    pub fn budget(&self, defaults: &BudgetDefaults) -> Result<Budget, Problem> {
        let asked = self.budget.clone().unwrap_or_default();
        let budget = Budget {
            max_tokens: asked.max_tokens.unwrap_or(defaults.max_tokens),
            max_calls: asked.max_calls.unwrap_or(defaults.max_calls),
            max_duration: Duration::from_secs(asked.max_duration_s.unwrap_or(defaults.max_duration_s)),
        };
        if budget.max_duration > DURATION_MAX {
            return Err(Problem::new(
                ProblemKind::InvalidRequest,
                "max_duration_s must be at most 2592000",
            ));
        }
        if budget.max_calls == 0 || budget.max_duration.is_zero() {
            return Err(Problem::new(
                ProblemKind::InvalidRequest,
                "a budget must allow a call and some time",
            ));
        }
        Ok(budget)
    }
}

/// Digest of a request, by which a repeat of it is known.
pub fn digest(method: &Method, target: &str, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(method.as_str());
    hash.update([0]);
    hash.update(target);
    hash.update([0]);
    hash.update(body);
    hash.finalize().into()
}

//! Parsing of callers' requests into operations.

use std::time::Duration;

use burdockroad::{CallNumber, ProgramId, RouteId, config::BudgetDefaults, program::Budget};
use http::{HeaderMap, Method};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::problem::{Problem, ProblemKind};

/// Header with the id of a call's program.
pub const PROGRAM_ID_HEADER: &str = "program-id";

/// Header with a call's number in its program.
pub const CALL_NUMBER_HEADER: &str = "call-number";

/// Header with a key by which retries of a call outside a program are detected.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum duration that a budget may allow. Without it, the state of a program might never be
/// removed.
const PROGRAM_DURATION_MAX: Duration = Duration::from_hours(30 * 24);

/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// The target of a request, given by its method and path.
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
        /// Route of the service.
        route_id: RouteId,
        /// Path and query below the route.
        target: String,
    },
}

/// The operation that a caller requests.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Target of the request.
    pub target: Target,
    /// Headers that identify the call.
    pub call: CallHeaders,
}

/// The headers that identify a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHeaders {
    /// Program and the call's number in it.
    pub position: Option<(ProgramId, CallNumber)>,
    /// Idempotency key of a call outside a program.
    pub idempotency_key: Option<String>,
}

impl Operation {
    /// Parses a request's method, path, query and headers.
    ///
    /// # Errors
    ///
    /// Returns a problem for an unknown path, a method that the path does not support, or malformed
    /// headers.
    pub fn parse(method: &Method, path_and_query: &str, headers: &HeaderMap) -> Result<Self, Problem> {
        let target = Target::parse(method, path_and_query)?;
        let call = CallHeaders::parse(headers)?;
        Ok(Self { target, call })
    }
}

impl Target {
    fn parse(method: &Method, path_and_query: &str) -> Result<Self, Problem> {
        let path = path_and_query.split('?').next().unwrap_or_default();
        if let Some(path_and_query) = path_and_query.strip_prefix("/services/") {
            return Self::parse_service(path_and_query);
        }
        if let Some(id) = path.strip_prefix("/v1/programs/") {
            return Self::parse_program(method, id);
        }
        match path {
            "/v1/chat/completions" => require_method(method, &Method::POST, Self::Completion),
            "/v1/models" => require_method(method, &Method::GET, Self::Models),
            "/v1/programs" => require_method(method, &Method::POST, Self::CreateProgram),
            _ => Err(Problem::new(
                ProblemKind::UnknownRoute,
                "this path does not exist",
            )),
        }
    }

    fn parse_service(path_and_query: &str) -> Result<Self, Problem> {
        let end = path_and_query.find(['/', '?']).unwrap_or(path_and_query.len());
        let (route_id, below) = path_and_query.split_at(end);
        if route_id.is_empty() {
            return Err(Problem::new(
                ProblemKind::UnknownRoute,
                "the path contains no route",
            ));
        }
        let target = if below.starts_with('/') {
            below.to_owned()
        } else {
            format!("/{below}")
        };
        Ok(Self::Service {
            route_id: route_id.to_owned(),
            target,
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

fn require_method(method: &Method, allowed: &Method, target: Target) -> Result<Target, Problem> {
    if method == allowed {
        Ok(target)
    } else {
        Err(method_not_allowed(allowed.as_str()))
    }
}

fn method_not_allowed(allowed: &str) -> Problem {
    Problem::new(
        ProblemKind::MethodNotAllowed,
        format!("this path supports only {allowed}"),
    )
}

impl CallHeaders {
    fn parse(headers: &HeaderMap) -> Result<Self, Problem> {
        let program_id = header_text(headers, PROGRAM_ID_HEADER)?;
        let number = header_text(headers, CALL_NUMBER_HEADER)?
            .map(|digits| parse_number(&digits))
            .transpose()?;
        let idempotency_key = header_text(headers, IDEMPOTENCY_KEY_HEADER)?;
        let invalid_length = idempotency_key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES);
        if invalid_length {
            return Err(invalid_header(
                IDEMPOTENCY_KEY_HEADER,
                "must be 1 to 255 bytes long",
            ));
        }
        let position = match (program_id, number) {
            (Some(program_id), Some(number)) => Some((program_id, number)),
            (None, None) => None,
            (Some(_), None) => return Err(invalid_header(CALL_NUMBER_HEADER, "must accompany Program-Id")),
            (None, Some(_)) => return Err(invalid_header(PROGRAM_ID_HEADER, "must accompany Call-Number")),
        };
        Ok(Self {
            position,
            idempotency_key,
        })
    }
}

fn header_text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid_header(name, "must not be repeated"));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value.trim().to_owned())),
        Err(_) => Err(invalid_header(name, "must contain only visible ASCII characters")),
    }
}

fn parse_number(digits: &str) -> Result<CallNumber, Problem> {
    match digits.parse() {
        Ok(number) if number >= 1 => Ok(number),
        Ok(_) | Err(_) => Err(invalid_header(
            CALL_NUMBER_HEADER,
            "must be a whole number of at least 1",
        )),
    }
}

fn invalid_header(name: &str, requirement: &str) -> Problem {
    Problem::new(
        ProblemKind::InvalidRequest,
        format!("the header {name} {requirement}"),
    )
}

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NewProgramRequest {
    /// Budget of a new root program.
    pub budget: Option<BudgetRequest>,
    /// Parent of the new program, which is then a sub-agent.
    pub parent: Option<ProgramId>,
}

/// A requested budget; absent fields take the defaults of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetRequest {
    /// Maximum number of tokens that engines may generate.
    pub max_tokens: Option<u64>,
    /// Maximum number of calls that may be sent.
    pub max_calls: Option<u32>,
    /// Time from the program's creation by which its last call must have ended, in seconds.
    pub max_duration_s: Option<u64>,
}

impl NewProgramRequest {
    /// Parses a request body; an empty body requests the defaults.
    ///
    /// # Errors
    ///
    /// Returns a problem if the body is not valid JSON, has unknown fields, or requests a sub-agent
    /// with its own budget.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        let request: Self = serde_json::from_slice(body).map_err(|error| {
            Problem::new(
                ProblemKind::InvalidRequest,
                format!("the body is not a valid program request: {error}"),
            )
        })?;
        if request.parent.is_some() && request.budget.is_some() {
            let detail = "a sub-agent shares its parent's budget and must not have its own";
            return Err(Problem::new(ProblemKind::InvalidRequest, detail));
        }
        Ok(request)
    }

    /// Returns the requested budget, with absent fields taken from the defaults.
    ///
    /// # Errors
    ///
    /// Returns a problem if the duration is zero or exceeds thirty days, or if the budget allows no
    /// calls.
    pub fn budget(&self, defaults: &BudgetDefaults) -> Result<Budget, Problem> {
        let requested = self.budget.clone().unwrap_or_default();
        let budget = Budget {
            max_tokens: requested.max_tokens.unwrap_or(defaults.max_tokens),
            max_calls: requested.max_calls.unwrap_or(defaults.max_calls),
            max_duration: Duration::from_secs(requested.max_duration_s.unwrap_or(defaults.max_duration_s)),
        };
        if budget.max_duration > PROGRAM_DURATION_MAX {
            return Err(Problem::new(
                ProblemKind::InvalidRequest,
                "max_duration_s must be at most 2592000",
            ));
        }
        if budget.max_calls == 0 || budget.max_duration.is_zero() {
            return Err(Problem::new(
                ProblemKind::InvalidRequest,
                "max_calls and max_duration_s must be at least 1",
            ));
        }
        Ok(budget)
    }
}

/// Returns the digest of a request, by which a retry of the same request is recognized.
pub fn digest(method: &Method, target: &str, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(method.as_str());
    hash.update([0]);
    hash.update(target);
    hash.update([0]);
    hash.update(body);
    hash.finalize().into()
}

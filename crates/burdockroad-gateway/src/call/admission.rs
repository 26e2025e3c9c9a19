//! Admission of a call by its head: its route, account, service and rate limit.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    RegionId,
    gateway::{Account, AccountLookup, Admission, CallerLimits, Directory, Route, Target},
};
use http::{header, request::Parts};

use super::regions::allowed_regions;
use crate::{
    CallHead,
    refusal::Refusal,
    shared::{Shared, Tables},
};

/// Route, account and limits that apply to a call.
pub(super) struct CallContext {
    pub(super) route: Arc<Route>,
    pub(super) account: Option<Arc<Account>>,
    pub(super) service: String,
    pub(super) allowed_regions: Option<Vec<RegionId>>,
    pub(super) rate_status: RateStatus,
    pub(super) limits: CallerLimits,
    pub(super) directory_version: u64,
    pub(super) directory_age: Duration,
    pub(super) event_tokens: u64,
}

/// Whether a call is already counted against its account's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RateStatus {
    /// The call is counted, or it has no account.
    Counted,
    /// The call is counted after its reservation, because only the budget owner can decide whether the call
    /// starts its program.
    Undecided {
        /// Time until the rate limit allows another program to start; `None` when one may start now.
        start_after: Option<Duration>,
    },
}

/// Admits or refuses a call by its head, before its body is read.
pub(super) fn admit(shared: &Shared, head: &CallHead, parts: &Parts) -> Result<CallContext, Refusal> {
    let mut tables = shared.tables();
    let directory = tables.routing_directory().cloned().ok_or(Refusal::NotReady)?;
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host
        .or_else(|| parts.uri.host())
        .ok_or(Refusal::InvalidHead("host"))?;
    let route = directory.route(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let account = match directory.account(route, head.api_key.as_deref()) {
        AccountLookup::Account(account) => Some(account),
        AccountLookup::Anonymous => None,
        AccountLookup::Unknown => return Err(Refusal::UnknownKey),
    };
    let service = choose_service(&route.targets).ok_or(Refusal::NoRoute)?;
    let allowed_regions = allowed_regions(&tables, route, account.as_deref(), &service)?;
    let rate_status = match &account {
        Some(account) => count_against_rate(&mut tables, head, route, account)?,
        None => RateStatus::Counted,
    };
    Ok(CallContext {
        route: Arc::clone(route),
        account,
        allowed_regions,
        rate_status,
        limits: directory.document().limits,
        directory_version: directory.version(),
        directory_age: tables
            .directory_applied_at
            .map_or(Duration::ZERO, |at| at.elapsed()),
        event_tokens: event_tokens(&directory, &service),
        service,
    })
}

/// Counts a call against its account's rate limit, unless the call may start a program.
///
/// A call may start its program if it is a generation of a program that is not running at this host. The
/// program may still be running through another host, so the budget owner decides.
fn count_against_rate(
    tables: &mut Tables,
    head: &CallHead,
    route: &Route,
    account: &Account,
) -> Result<RateStatus, Refusal> {
    let now = Instant::now();
    let program = head.program.as_ref();
    let new_program = program.filter(|program| !tables.running_programs.is_running(&program.id, now));
    if route.kind.is_stream() && new_program.is_some_and(|program| program.budget_tokens.is_some()) {
        let start_after = match tables.rate_limiter.may_start_program(&account.name, now) {
            Admission::Admitted => None,
            Admission::Refused { retry_after } => Some(retry_after),
        };
        return Ok(RateStatus::Undecided { start_after });
    }
    count(tables, head, account, false)?;
    Ok(RateStatus::Counted)
}

/// Counts a call against its account's rate limit, or refuses it.
pub(super) fn count(
    tables: &mut Tables,
    head: &CallHead,
    account: &Account,
    starts_program: bool,
) -> Result<(), Refusal> {
    let now = Instant::now();
    if let Admission::Refused { retry_after } = tables.rate_limiter.admit(&account.name, starts_program, now)
    {
        return Err(Refusal::OverRate(retry_after));
    }
    if let Some(program) = &head.program {
        tables.running_programs.record_call(&program.id, now);
    }
    Ok(())
}

/// Returns the number of tokens that one event of the service counts as.
fn event_tokens(directory: &Directory, service: &str) -> u64 {
    let engine = directory.service(service).and_then(|service| service.engine);
    engine.map_or(1, |engine| engine.event_tokens.max(1))
}

/// Chooses one of a route's services at random, in proportion to their weights.
fn choose_service(targets: &[Target]) -> Option<String> {
    if let [only] = targets {
        return Some(only.service.clone());
    }
    let sum: u32 = targets.iter().map(|target| target.weight).sum();
    let mut left = rand::random::<u32>().checked_rem(sum)?;
    for target in targets {
        if left < target.weight {
            return Some(target.service.clone());
        }
        left -= target.weight;
    }
    None
}

//! Regions in which a call must stay, determined once when it is admitted.

use burdockroad::{
    RegionId,
    gateway::{Account, Route, common_regions},
};

use crate::{refusal::Refusal, shared::Tables};

/// Returns the regions that the route and the account of a call allow; `None` if neither restricts regions.
///
/// # Errors
///
/// Fails when no region is allowed by both, or when the service has no endpoint in allowed regions.
pub(super) fn allowed_regions(
    tables: &Tables,
    route: &Route,
    account: Option<&Account>,
    service: &str,
) -> Result<Option<Vec<RegionId>>, Refusal> {
    let of_account = account.and_then(|account| account.allowed_regions.as_deref());
    let Some(allowed) = common_regions(route.allowed_regions.as_deref(), of_account) else {
        return Ok(None);
    };
    if tables.endpoints.is_usable_in(Some(&allowed), service, None) {
        Ok(Some(allowed))
    } else {
        Err(Refusal::NoAllowedEndpoint)
    }
}

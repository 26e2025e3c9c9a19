//! Client for token grants from the owners of accounts, and conversion of the messages.

use std::{sync::Arc, time::Duration};

use burdockroad::{
    AccountId,
    quota::{Grant, TokenRequest},
};
use burdockroad_proto::peer::{GrantRequest, GrantResponse, HostRef};

use crate::{ownership::Process, peer::PeerClients};

/// Timeout of a token request to an owner.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// The outcome of a token request.
#[derive(Clone, Debug)]
pub(super) struct GrantOutcome {
    pub(super) account_id: AccountId,
    pub(super) sequence: u64,
    /// Grant, or `None` if the owner did not respond in time or may not act as the owner.
    pub(super) grant: Option<Grant>,
}

/// Requests tokens from an owner at another host.
pub(super) async fn request_from_peer(
    clients: Arc<PeerClients>,
    address: String,
    request: GrantRequest,
) -> GrantOutcome {
    let account_id = request.account_id.clone();
    let sequence = request.sequence;
    let grant = send(&clients, &address, request)
        .await
        .and_then(|response| to_grant(&response));
    GrantOutcome {
        account_id,
        sequence,
        grant,
    }
}

async fn send(clients: &PeerClients, address: &str, request: GrantRequest) -> Option<GrantResponse> {
    let mut client = clients.get(address).ok()?;
    let response = tokio::time::timeout(GRANT_TIMEOUT, client.grant(request)).await;
    Some(response.ok()?.ok()?.into_inner())
}

/// Converts a token request to a message.
pub(super) fn to_request(
    from: &Process,
    account_id: &AccountId,
    ownership_version: u64,
    token_request: &TokenRequest,
) -> GrantRequest {
    GrantRequest {
        from: Some(HostRef {
            host_id: from.host_id.clone(),
            incarnation: from.incarnation,
        }),
        account_id: account_id.clone(),
        wanted: token_request.wanted,
        ownership_version,
        sequence: token_request.sequence,
        spent_total: token_request.spent_total,
        unspent: token_request.unspent,
        ahead: token_request.ahead,
    }
}

/// Converts a message to a token request.
pub(super) fn from_request(request: &GrantRequest) -> TokenRequest {
    TokenRequest {
        sequence: request.sequence,
        wanted: request.wanted,
        ahead: request.ahead,
        spent_total: request.spent_total,
        unspent: request.unspent,
    }
}

/// Converts an owner's grant to a message.
pub(super) fn to_response(grant: Grant, epoch: u64) -> GrantResponse {
    GrantResponse {
        granted: grant.granted,
        expires_after_ms: millis(grant.expires_after),
        retry_after_ms: millis(grant.retry_after),
        not_owner: false,
        epoch,
    }
}

fn to_grant(response: &GrantResponse) -> Option<Grant> {
    (!response.not_owner).then(|| Grant {
        granted: response.granted,
        expires_after: Duration::from_millis(response.expires_after_ms),
        retry_after: Duration::from_millis(response.retry_after_ms),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Calls that were admitted, before their first attempt.

use std::{sync::Arc, time::Instant};

use burdockroad::gateway::{Account, Route};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::{CallHead, call_record::CallRecord, kept_turn::KeptTurn, memory::CallShare};

/// A call that was admitted and whose body was read completely.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    pub(crate) head: CallHead,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: String,
    pub(crate) request: CallerRequest,
    pub(crate) kept_turn: Option<KeptTurn>,
    pub(crate) started_at: Instant,
    pub(crate) record: CallRecord,
}

/// The caller's request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    /// Body that endpoints get.
    pub(crate) body: Bytes,
    /// Body as the caller sent it. Another one than endpoints get if the call continues a turn.
    pub(crate) input: Bytes,
    /// The body's share of the host's memory.
    #[expect(dead_code, reason = "the memory is in use until the call has ended")]
    pub(crate) share: CallShare,
}

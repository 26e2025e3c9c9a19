//! A record of the requests that a stand-in was sent.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::http_server::Received;

/// One request that a stand-in was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recorded {
    /// Method, in capitals.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order received, names in small letters.
    pub headers: Vec<HeaderField>,
    /// Body as text; bytes that are no UTF-8 are replaced.
    pub body: String,
}

/// One header of a recorded request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderField {
    /// Name, in small letters.
    pub name: String,
    /// Value as text.
    pub value: String,
}

impl Recorded {
    /// Copies a request as it was received.
    pub(crate) fn new(request: &Received) -> Self {
        let headers = request.headers.iter().map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        });
        Self {
            method: request.method.to_string(),
            target: request.uri.to_string(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        }
    }

    fn bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|field| field.name.len() + field.value.len());
        self.target.len() + self.body.len() + headers.sum::<usize>()
    }
}

/// Bytes of requests that are kept at most, besides the limit on their number.
const KEPT_MAX_BYTES: usize = 256 << 20;

/// The newest requests, up to a limit.
#[derive(Debug)]
pub(crate) struct Recorder {
    limit: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    requests: VecDeque<Recorded>,
    bytes: usize,
}

impl Recorder {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            kept: Mutex::default(),
        }
    }

    /// Records a request, in place of the oldest ones when a limit is reached.
    pub(crate) fn record(&self, request: &Received) {
        if self.limit == 0 {
            return;
        }
        let recorded = Recorded::new(request);
        let mut kept = self.kept();
        kept.bytes += recorded.bytes();
        kept.requests.push_back(recorded);
        while kept.requests.len() > self.limit || kept.bytes > KEPT_MAX_BYTES {
            let Some(oldest) = kept.requests.pop_front() else {
                break;
            };
            kept.bytes -= oldest.bytes();
        }
    }

    pub(crate) fn recorded(&self) -> Vec<Recorded> {
        self.kept().requests.iter().cloned().collect()
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Recording of the requests that a stand-in received.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::http_server::ReceivedRequest;

/// A request that a stand-in received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedRequest {
    /// Method, in upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order received, with lower-case names.
    pub headers: Vec<HeaderField>,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
}

/// A header of a recorded request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderField {
    /// Name, in lower case.
    pub name: String,
    /// Value as text.
    pub value: String,
}

impl RecordedRequest {
    /// Copies a received request.
    pub(crate) fn new(request: &ReceivedRequest) -> Self {
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

    fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|field| field.name.len() + field.value.len());
        self.target.len() + self.body.len() + headers.sum::<usize>()
    }
}

/// Maximum total size of the recorded requests, in addition to the limit on their number.
const RECORDED_MAX_BYTES: usize = 256 << 20;

/// Recorder of the most recent requests, bounded in number and in total size.
#[derive(Debug)]
pub(crate) struct Recorder {
    max_requests: usize,
    buffer: Mutex<RequestBuffer>,
}

#[derive(Debug, Default)]
struct RequestBuffer {
    requests: VecDeque<RecordedRequest>,
    bytes: usize,
}

impl Recorder {
    pub(crate) fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            buffer: Mutex::default(),
        }
    }

    /// Records a request and evicts the oldest ones while a limit is exceeded.
    pub(crate) fn record(&self, request: &ReceivedRequest) {
        if self.max_requests == 0 {
            return;
        }
        let recorded = RecordedRequest::new(request);
        let mut buffer = self.buffer();
        buffer.bytes += recorded.size_bytes();
        buffer.requests.push_back(recorded);
        while buffer.requests.len() > self.max_requests || buffer.bytes > RECORDED_MAX_BYTES {
            let Some(oldest) = buffer.requests.pop_front() else {
                break;
            };
            buffer.bytes -= oldest.size_bytes();
        }
    }

    pub(crate) fn recorded(&self) -> Vec<RecordedRequest> {
        self.buffer().requests.iter().cloned().collect()
    }

    fn buffer(&self) -> MutexGuard<'_, RequestBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

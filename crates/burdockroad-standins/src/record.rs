//! A record of the requests that a stand-in was sent.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::http_server::Received;

/// One request that a stand-in was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
}

/// The newest requests, up to a limit.
#[derive(Debug)]
pub(crate) struct Recorder {
    limit: usize,
    requests: Mutex<VecDeque<Recorded>>,
}

impl Recorder {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            requests: Mutex::new(VecDeque::new()),
        }
    }

    /// Records a request, in place of the oldest one when the limit is reached.
    pub(crate) fn record(&self, request: &Received) {
        if self.limit == 0 {
            return;
        }
        let mut requests = self.requests();
        if requests.len() == self.limit {
            requests.pop_front();
        }
        requests.push_back(Recorded::new(request));
    }

    pub(crate) fn recorded(&self) -> Vec<Recorded> {
        self.requests().iter().cloned().collect()
    }

    fn requests(&self) -> MutexGuard<'_, VecDeque<Recorded>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! An answer on its way to callers: written once, read by any number of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::watch;

use crate::problem::{PROBLEM_CONTENT_TYPE, Problem};

/// One part of an answer.
#[derive(Clone, Debug)]
pub enum Frame {
    /// Status and headers; always first.
    Head(Head),
    /// Part of the body.
    Data(Bytes),
    /// The whole answer was sent; an answer without this was cut short.
    End,
    /// The answer was cut short.
    Truncated(Problem),
}

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
}

impl Head {
    /// Makes a head with a content type.
    pub fn new(status: u16, content_type: &str) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = content_type.parse() {
            headers.insert(http::header::CONTENT_TYPE, value);
        }
        Self { status, headers }
    }
}

/// The frames of one answer so far; a late reader starts from the first.
#[derive(Debug)]
pub struct ResponseLog {
    frames: Mutex<Vec<Frame>>,
    length: watch::Sender<usize>,
}

impl ResponseLog {
    /// Starts an empty answer.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            frames: Mutex::new(Vec::new()),
            length: watch::Sender::new(0),
        })
    }

    /// Makes a whole answer with one piece of body.
    pub fn complete(head: Head, body: Bytes) -> Arc<Self> {
        let log = Self::new();
        log.push(Frame::Head(head));
        log.push(Frame::Data(body));
        log.push(Frame::End);
        log
    }

    /// Makes an answer that is a problem.
    pub fn problem(problem: &Problem) -> Arc<Self> {
        let log = Self::new();
        log.fail(problem);
        log
    }

    /// Adds a frame.
    pub fn push(&self, frame: Frame) {
        let length = {
            let mut frames = self.lock();
            frames.push(frame);
            frames.len()
        };
        self.length.send_replace(length);
    }

    /// Whether anything was passed on yet.
    pub fn has_started(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Waits until nobody reads the answer any more.
    pub async fn wait_for_no_readers(&self) {
        self.length.closed().await;
    }

    /// Ends the answer with a problem: as an answer of its own, or by cutting what was begun.
    pub fn fail(&self, problem: &Problem) {
        if self.has_started() {
            self.push(Frame::Truncated(problem.clone()));
            return;
        }
        let mut head = Head::new(problem.kind.status(), PROBLEM_CONTENT_TYPE);
        if let Some(after_s) = problem.retry_after_s() {
            head.headers.insert(http::header::RETRY_AFTER, after_s.into());
        }
        self.push(Frame::Head(head));
        self.push(Frame::Data(problem.to_json()));
        self.push(Frame::End);
    }

    /// Reads the answer from its first frame.
    pub fn reader(self: &Arc<Self>) -> ResponseReader {
        ResponseReader {
            log: Arc::clone(self),
            length: self.length.subscribe(),
            next: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Frame>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One reader of an answer.
#[derive(Debug)]
pub struct ResponseReader {
    log: Arc<ResponseLog>,
    length: watch::Receiver<usize>,
    next: usize,
}

impl ResponseReader {
    /// Waits for the next frame.
    ///
    /// After [`Frame::End`] or [`Frame::Truncated`] there is none, and this waits for ever.
    pub async fn next(&mut self) -> Frame {
        loop {
            self.length.mark_unchanged();
            if let Some(frame) = self.log.lock().get(self.next) {
                self.next += 1;
                return frame.clone();
            }
            // The log that is read holds the sender, so this ends with a new length only.
            if self.length.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// The answer as a stream of frames that ends after the last one.
    pub fn into_stream(self) -> impl futures_util::Stream<Item = Frame> + Send {
        futures_util::stream::unfold(Some(self), |reader| async {
            let mut reader = reader?;
            let frame = reader.next().await;
            let last = matches!(frame, Frame::End | Frame::Truncated(_));
            Some((frame, (!last).then_some(reader)))
        })
    }
}

//! Buffered responses that are written once and read by any number of callers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::watch;

use crate::problem::{PROBLEM_CONTENT_TYPE, Problem};

/// A part of a response.
#[derive(Clone, Debug)]
pub enum Frame {
    /// Status and headers; always the first frame.
    Head(Head),
    /// Part of the body.
    Data(Bytes),
    /// End of a complete response; a response without this frame was truncated.
    End,
    /// End of a truncated response, with the problem that caused the truncation.
    Truncated(Problem),
}

/// The status and headers of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
}

impl Head {
    /// Creates a head with a content type.
    pub fn new(status: u16, content_type: &str) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = content_type.parse() {
            headers.insert(http::header::CONTENT_TYPE, value);
        }
        Self { status, headers }
    }
}

/// A log of the response frames written so far; each reader starts at the first frame.
#[derive(Debug)]
pub struct ResponseLog {
    frames: Mutex<Vec<Frame>>,
    length: watch::Sender<usize>,
}

impl ResponseLog {
    /// Creates an empty response.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            frames: Mutex::new(Vec::new()),
            length: watch::Sender::new(0),
        })
    }

    /// Creates a complete response with a single data frame.
    pub fn complete(head: Head, body: Bytes) -> Arc<Self> {
        let log = Self::new();
        log.push(Frame::Head(head));
        log.push(Frame::Data(body));
        log.push(Frame::End);
        log
    }

    /// Creates a complete response that reports a problem.
    pub fn problem(problem: &Problem) -> Arc<Self> {
        let log = Self::new();
        log.fail(problem);
        log
    }

    /// Appends a frame.
    pub fn push(&self, frame: Frame) {
        let length = {
            let mut frames = self.lock();
            frames.push(frame);
            frames.len()
        };
        self.length.send_replace(length);
    }

    /// Returns whether any frame has been written.
    pub fn has_started(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Waits until all readers have been dropped.
    pub async fn wait_for_no_readers(&self) {
        self.length.closed().await;
    }

    /// Ends the response with a problem.
    ///
    /// If no frame has been written, the problem becomes the response. Otherwise the response is
    /// truncated.
    pub fn fail(&self, problem: &Problem) {
        if self.has_started() {
            self.push(Frame::Truncated(problem.clone()));
            return;
        }
        let mut head = Head::new(problem.kind.status(), PROBLEM_CONTENT_TYPE);
        if let Some(retry_after_s) = problem.retry_after_s() {
            head.headers
                .insert(http::header::RETRY_AFTER, retry_after_s.into());
        }
        self.push(Frame::Head(head));
        self.push(Frame::Data(problem.to_json()));
        self.push(Frame::End);
    }

    /// Returns a reader that starts at the first frame.
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

/// A reader of a response.
#[derive(Debug)]
pub struct ResponseReader {
    log: Arc<ResponseLog>,
    length: watch::Receiver<usize>,
    next: usize,
}

impl ResponseReader {
    /// Waits for the next frame.
    ///
    /// After [`Frame::End`] or [`Frame::Truncated`] there are no more frames, and this never resolves.
    pub async fn next(&mut self) -> Frame {
        loop {
            self.length.mark_unchanged();
            if let Some(frame) = self.log.lock().get(self.next) {
                self.next += 1;
                return frame.clone();
            }
            // The reader keeps the log alive, and the log owns the sender, so the channel never closes.
            if self.length.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the response as a stream of frames that ends after the last frame.
    pub fn into_stream(self) -> impl futures_util::Stream<Item = Frame> + Send {
        futures_util::stream::unfold(Some(self), |reader| async {
            let mut reader = reader?;
            let frame = reader.next().await;
            let last = matches!(frame, Frame::End | Frame::Truncated(_));
            Some((frame, (!last).then_some(reader)))
        })
    }
}

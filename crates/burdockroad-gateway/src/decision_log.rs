//! Log with one structured line per decision, written to standard output.
//!
//! Calls add their lines to a bounded buffer, and a separate thread writes the buffer out. If standard
//! output is not read, lines are dropped, but calls are never delayed. Calls do not write their lines
//! directly because a full pipe would block them.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

/// Size of the buffer at which further lines are dropped.
const BUFFER_MAX_BYTES: usize = 512 << 10;

/// Longest line. Longer ones contain texts from outside, and are dropped so that they take no other line's space.
const LINE_MAX_BYTES: usize = 64 << 10;

/// Time for which lines are collected before each write.
const COLLECTION_INTERVAL: Duration = Duration::from_millis(100);

/// Structured log that never blocks the calls. Clones share one buffer.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    buffer: Mutex<Buffer>,
    line_added: Condvar,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    closed: bool,
}

impl DecisionLog {
    /// Starts a log that writes to standard output.
    pub fn to_stdout() -> Self {
        Self::to_writer(io::stdout())
    }

    /// Starts a log that writes to `writer` on a separate thread.
    pub fn to_writer(writer: impl Write + Send + 'static) -> Self {
        let inner = Arc::new(Inner {
            buffer: Mutex::default(),
            line_added: Condvar::new(),
        });
        let thread_inner = Arc::clone(&inner);
        thread::spawn(move || write_lines(&thread_inner, writer));
        Self { inner }
    }

    /// Adds a line with the time, the name of the event and its fields. `fields` must serialize to an object.
    pub fn line(&self, event: &'static str, fields: &impl Serialize) {
        let mut buffer = self.lock();
        if buffer.bytes.len() > BUFFER_MAX_BYTES {
            buffer.dropped_lines += 1;
            metrics::counter!("burdockroad_log_lines_dropped_total").increment(1);
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        let start = buffer.bytes.len();
        push_line(&mut buffer.bytes, event, fields);
        if buffer.bytes.len() - start > LINE_MAX_BYTES {
            buffer.bytes.truncate(start);
            buffer.dropped_lines += 1;
            metrics::counter!("burdockroad_log_lines_dropped_total").increment(1);
        }
        drop(buffer);
        if was_empty {
            self.inner.line_added.notify_one();
        }
    }

    /// Returns the number of lines dropped so far because they were too long or the buffer was full.
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped_lines
    }

    /// Closes the log and waits at most `flush_timeout` until the buffered lines are written.
    pub fn close(self, flush_timeout: Duration) {
        self.lock().closed = true;
        self.inner.line_added.notify_one();
        let polls = (flush_timeout.as_millis() / 10).max(1);
        for _ in 0..polls {
            if self.lock().bytes.is_empty() {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.inner.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends one line to the buffer. Fields that do not serialize to an object are discarded with their line.
fn push_line(bytes: &mut Vec<u8>, event: &'static str, fields: &impl Serialize) {
    let start = bytes.len();
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let prefix_result = write!(bytes, "{{\"unix_ms\":{unix_ms},\"event\":\"{event}\",");
    let brace_at = bytes.len();
    let fields_result = serde_json::to_writer(&mut *bytes, fields);
    let is_object = bytes.get(brace_at) == Some(&b'{');
    if prefix_result.is_err() || fields_result.is_err() || !is_object {
        bytes.truncate(start);
        return;
    }
    bytes.remove(brace_at);
    bytes.push(b'\n');
}

/// Writes out the buffer until the log is closed or a write fails.
fn write_lines(inner: &Inner, mut writer: impl Write) {
    loop {
        let mut buffer = inner.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() && !buffer.closed {
            buffer = inner
                .line_added
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let closed = buffer.closed;
        drop(buffer);
        if !closed {
            thread::sleep(COLLECTION_INTERVAL);
        }
        let mut buffer = inner.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        let written = writer.write_all(&lines).and_then(|()| writer.flush());
        if closed || written.is_err() {
            return;
        }
    }
}

//! Bound of the bytes of a response that carry no content.
//!
//! An endpoint in trouble may send provisional responses or the digits of a chunk's size without end. The HTTP library
//! reads these as fast as they arrive and passes nothing on, so no limit of a response's content ends them, and the calls
//! of others wait meanwhile. The connection fails when too many such bytes arrive in a row.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of a response that may arrive without content. The longest head and what is read ahead of the content that is
/// passed on are below.
const CONTENTLESS_MAX_BYTES: usize = 128 << 10;

/// Bytes of the connection that one byte of content accounts for. A chunk of one byte takes six.
const BYTES_PER_CONTENT_BYTE: usize = 8;

/// Bytes that have arrived on a connection without content. Its connection and the bodies of its responses share it.
#[derive(Debug)]
pub(crate) struct ContentMeter {
    contentless_bytes: AtomicUsize,
    max_bytes: AtomicUsize,
}

impl ContentMeter {
    /// Creates a meter that has no bound before the first call of [`begin_response`](Self::begin_response).
    pub(crate) fn new() -> Self {
        Self {
            contentless_bytes: AtomicUsize::new(0),
            max_bytes: AtomicUsize::new(usize::MAX),
        }
    }

    /// Starts to count for another response, whose bytes without content are bounded.
    pub(crate) fn begin_response(&self) {
        self.contentless_bytes.store(0, Ordering::Relaxed);
        self.max_bytes.store(CONTENTLESS_MAX_BYTES, Ordering::Relaxed);
    }

    /// Returns whether more bytes without content arrived than a response may have.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.contentless_bytes.load(Ordering::Relaxed) > self.max_bytes.load(Ordering::Relaxed)
    }

    fn record_read(&self, bytes: usize) {
        self.contentless_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn record_content(&self, bytes: usize) {
        let accounted = bytes.saturating_mul(BYTES_PER_CONTENT_BYTE);
        // A response that has exceeded the bound is never read on.
        if !self.is_exceeded() {
            let counted = self.contentless_bytes.load(Ordering::Relaxed);
            let difference = accounted.min(counted);
            self.contentless_bytes.fetch_sub(difference, Ordering::Relaxed);
        }
    }
}

/// Connection whose incoming bytes are counted. Reading fails when the meter's bound is exceeded.
#[derive(Debug)]
pub(crate) struct MeteredConnection<C> {
    connection: C,
    meter: Arc<ContentMeter>,
}

impl<C> MeteredConnection<C> {
    pub(crate) fn new(connection: C, meter: Arc<ContentMeter>) -> Self {
        Self { connection, meter }
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for MeteredConnection<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.connection).poll_read(cx, buf))?;
        self.meter.record_read(buf.filled().len() - filled_before);
        if self.meter.is_exceeded() {
            metrics::counter!("burdockroad_responses_without_content_total").increment(1);
            return Poll::Ready(Err(io::Error::other("too many bytes without content")));
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for MeteredConnection<C> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(cx)
    }
}

/// Body of a response that reports its content to the meter of its connection.
#[derive(Debug)]
pub(crate) struct MeteredBody {
    body: Incoming,
    meter: Arc<ContentMeter>,
}

impl MeteredBody {
    pub(crate) fn new(body: Incoming, meter: Arc<ContentMeter>) -> Self {
        Self { body, meter }
    }

    /// Returns whether the response had too many bytes without content.
    pub(crate) fn is_without_content(&self) -> bool {
        self.meter.is_exceeded()
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.meter.record_content(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Stream of a connection that is tracked until it is closed.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use burdockroad_daemon::http::MemoryShare;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{ConnectionState, ConnectionTable};

/// Stream of an open connection. The connection leaves its table when this is dropped.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    table: Arc<ConnectionTable>,
    _memory: Option<MemoryShare>,
}

impl TrackedStream {
    pub(super) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        table: Arc<ConnectionTable>,
        memory: Option<MemoryShare>,
    ) -> Self {
        Self {
            stream,
            state,
            table,
            _memory: memory,
        }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.table.remove(self.state.id());
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled_before {
            self.state.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl TrackedStream {
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.state.record_unwritable(),
            Poll::Ready(_) => self.state.record_written(),
        }
        written
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

//! Frames in which a host passes an endpoint's bytes on to another host.
//!
//! A response without a length ends with its connection. The frames tell the end of the endpoint's connection from the
//! end of the connection between the hosts, which also closes when the host in between stops.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Bytes of a frame's length, which precedes the frame. A length of 0 marks the end.
const LENGTH_BYTES: usize = 2;

/// Longest frame, in bytes.
const FRAME_MAX_BYTES: usize = 16 << 10;

/// Bytes that are read from a frame at once.
const READ_MAX_BYTES: usize = 4 << 10;

/// Sends the bytes of `from` in frames, and marks the end when `from` has ended.
///
/// # Errors
///
/// Fails without marking the end when a side fails.
pub(crate) async fn send_frames(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let mut frame = vec![0; LENGTH_BYTES + FRAME_MAX_BYTES];
    loop {
        let length = from.read(&mut frame[LENGTH_BYTES..]).await?;
        let stated = u16::try_from(length).map_err(io::Error::other)?;
        frame[..LENGTH_BYTES].copy_from_slice(&stated.to_be_bytes());
        to.write_all(&frame[..LENGTH_BYTES + length]).await?;
        if length == 0 {
            return to.flush().await;
        }
    }
}

/// Connection whose incoming bytes are in frames. Outgoing bytes are not.
///
/// Reading fails when the connection ends before the end is marked.
#[derive(Debug)]
pub(crate) struct FramedConnection<C> {
    connection: C,
    /// Bytes of the next frame's length that have arrived.
    length: [u8; LENGTH_BYTES],
    length_bytes: usize,
    /// Bytes of the current frame that have not arrived yet.
    frame_left_bytes: usize,
    ended: bool,
}

impl<C> FramedConnection<C> {
    pub(crate) fn new(connection: C) -> Self {
        Self {
            connection,
            length: [0; LENGTH_BYTES],
            length_bytes: 0,
            frame_left_bytes: 0,
            ended: false,
        }
    }
}

impl<C: AsyncRead + Unpin> FramedConnection<C> {
    /// Reads into `bytes`, at least one byte.
    fn poll_some(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut part = ReadBuf::new(bytes);
        ready!(Pin::new(&mut self.connection).poll_read(cx, &mut part))?;
        match part.filled().len() {
            0 => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            read => Poll::Ready(Ok(read)),
        }
    }

    /// Reads the length of the next frame.
    fn poll_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_bytes < LENGTH_BYTES {
            let mut bytes = [0; LENGTH_BYTES];
            let missing = &mut bytes[self.length_bytes..];
            let read = ready!(self.poll_some(cx, missing))?;
            let at = self.length_bytes;
            self.length[at..at + read].copy_from_slice(&bytes[at..at + read]);
            self.length_bytes += read;
        }
        self.length_bytes = 0;
        self.frame_left_bytes = usize::from(u16::from_be_bytes(self.length));
        self.ended = self.frame_left_bytes == 0;
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for FramedConnection<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.frame_left_bytes == 0 && !self.ended {
            ready!(self.poll_length(cx))?;
        }
        if self.ended || buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; READ_MAX_BYTES];
        let max = self.frame_left_bytes.min(buf.remaining()).min(READ_MAX_BYTES);
        let read = ready!(self.poll_some(cx, &mut bytes[..max]))?;
        buf.put_slice(&bytes[..read]);
        self.frame_left_bytes -= read;
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for FramedConnection<C> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(cx)
    }
}

//! Bodies of the responses that the gateway sends.

use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use burdockroad::gateway::ConnectionStage;
use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use crate::connections::ConnectionState;

/// Length of a chunk of a body that is sent in chunks.
const CHUNK_BYTES: usize = 16 << 10;

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A complete body.
    Full(Full<Bytes>),
    /// Events as they arrive, or chunks.
    Events(Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }

    /// Returns a body that is sent in chunks. `on_chunk` is called with the length of each chunk when the connection
    /// takes it, and dropped with the body.
    pub(crate) fn chunks(bytes: Bytes, on_chunk: impl FnMut(usize) + Send + 'static) -> Self {
        let chunks = stream::unfold((bytes, on_chunk), |(mut rest, mut on_chunk)| async move {
            let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
            if chunk.is_empty() {
                return None;
            }
            on_chunk(chunk.len());
            Some((Ok(chunk), (rest, on_chunk)))
        });
        Self::Events(Box::pin(chunks))
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full(_) => "Full",
            Self::Events(_) => "Events",
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Events(events) => events
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Body of a response whose connection is idle again when the body was sent.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: ResponseBody,
    /// State of the connection; `None` if it carries something else after the response.
    connection: Option<Arc<ConnectionState>>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, connection: Arc<ConnectionState>) -> Self {
        Self {
            body,
            connection: Some(connection),
        }
    }

    /// Returns the body of a response after which the connection carries something else.
    pub(crate) fn untracked(body: ResponseBody) -> Self {
        Self {
            body,
            connection: None,
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.set_stage(ConnectionStage::Idle);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

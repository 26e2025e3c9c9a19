//! Forwarding of requests to the host that owns their program, and handling of forwarded requests
//! there.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::PartitionId;
use burdockroad_proto::peer::{
    ForwardEnd, ForwardFrame, ForwardHead, ForwardRequest, Header, HostRef, NotOwner,
    forward_frame::Frame as WireFrame,
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::time::Instant;
use tonic::{Status, Streaming};

use crate::{
    answer::{Frame, Head, ResponseLog},
    calls::Caller,
    edge::{Edge, EdgeRequest, Frames, OwnerError},
    http::Operation,
    ownership::{OwnershipReceiver, Process},
    peer::{ForwardHandler, ForwardStream},
    problem::{Problem, ProblemKind, Ran},
};

/// Time for which frames from an owner are still accepted after the ownership map shows a new owner.
const MOVED_GRACE: Duration = Duration::from_secs(1);

impl Edge {
    /// Forwards a request to the owner of its partition and returns the response as a stream.
    pub(super) async fn forward(
        &self,
        request: &EdgeRequest,
        owner: &Process,
        partition: PartitionId,
    ) -> Result<Frames, OwnerError> {
        let address = self.address(owner).ok_or(OwnerError::Unavailable)?;
        let mut client = self
            .clients
            .get(&address)
            .map_err(|_bad_address| OwnerError::Unavailable)?;
        let message = self.message(request, partition);
        let opened = async {
            let response = client
                .forward(message)
                .await
                .map_err(|status| owner_error(&status))?;
            let mut incoming = response.into_inner();
            let first = incoming.message().await;
            Ok((first, incoming))
        };
        // A paused owner keeps its connections open, so only the ownership map shows that it was
        // replaced.
        let (first, incoming) = tokio::select! {
            opened = opened => opened?,
            () = owner_replaced(self.ownership.clone(), owner.clone(), partition) => {
                return Err(OwnerError::ConnectionLost)
            }
        };
        match first {
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::Head(head)),
            })) => {
                let replaced = owner_replaced(self.ownership.clone(), owner.clone(), partition);
                Ok(forwarded_frames(&head, incoming, replaced))
            }
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::NotOwner(_)),
            })) => Err(OwnerError::Unavailable),
            Ok(_) | Err(_) => Err(OwnerError::ConnectionLost),
        }
    }

    /// Returns the address of the owner, if its host still runs the process that the ownership map
    /// shows.
    fn address(&self, owner: &Process) -> Option<String> {
        let peers = self.peers.borrow();
        let peer = peers.peers.get(&owner.host_id)?;
        (peer.process == *owner).then(|| peer.address.clone())
    }

    fn message(&self, request: &EdgeRequest, partition: PartitionId) -> ForwardRequest {
        let view = self.ownership.borrow();
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        ForwardRequest {
            from: Some(HostRef {
                host_id: view.me.host_id.clone(),
                incarnation: view.me.incarnation,
            }),
            account_id: request.caller.account_id.clone(),
            method: request.method.to_string(),
            target: request.target.clone(),
            headers: wire_headers(&request.headers),
            body: request.body.to_vec(),
            partition: partition.into(),
            ownership_version: view.version,
            timeout_ms: remaining.as_millis().try_into().unwrap_or(u64::MAX),
            key_id: request.caller.key_id.clone().unwrap_or_default(),
            new_program_id: request.new_program_id.clone().unwrap_or_default(),
        }
    }
}

/// Classifies a failed request to an owner.
///
/// Only a refused connection proves that nothing ran.
fn owner_error(status: &Status) -> OwnerError {
    let connection_refused = std::error::Error::source(status).is_some_and(is_connection_refused);
    if connection_refused {
        OwnerError::Unavailable
    } else {
        OwnerError::ConnectionLost
    }
}

fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}

/// Waits until another process has owned a partition for [`MOVED_GRACE`].
///
/// The grace period is needed because a handoff waits for running calls, and their last frames may
/// still be on the way when the ownership map changes.
async fn owner_replaced(mut ownership: OwnershipReceiver, owner: Process, partition: PartitionId) {
    let replaced = ownership.wait_for(|view| {
        view.owner(partition)
            .is_some_and(|current| current.process != owner)
    });
    if replaced.await.is_err() {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(MOVED_GRACE).await;
}

fn forwarded_frames(
    head: &ForwardHead,
    incoming: Streaming<ForwardFrame>,
    replaced: impl Future<Output = ()> + Send + 'static,
) -> Frames {
    let status = u16::try_from(head.status).unwrap_or(502);
    let first = Frame::Head(Head {
        status,
        headers: headers(&head.headers),
    });
    let rest = stream::unfold(Some((incoming, Box::pin(replaced))), |state| async {
        let (mut incoming, mut replaced) = state?;
        let message = tokio::select! {
            message = incoming.message() => message,
            () = &mut replaced => Ok(None),
        };
        match message {
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::Data(data)),
            })) => Some((Frame::Data(Bytes::from(data)), Some((incoming, replaced)))),
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::End(_)),
            })) => Some((Frame::End, None)),
            Ok(_) | Err(_) => Some((Frame::Truncated(truncated_problem()), None)),
        }
    });
    stream::iter([first]).chain(rest).boxed()
}

fn truncated_problem() -> Problem {
    let detail = "the response was truncated; retry with the same call number";
    Problem::new(ProblemKind::EndpointFailed, detail).ran(Ran::Unknown)
}

#[async_trait]
impl ForwardHandler for Edge {
    async fn forward(&self, request: ForwardRequest) -> ForwardStream {
        let partition = PartitionId::try_from(request.partition).unwrap_or(PartitionId::MAX);
        let view = Arc::clone(&self.ownership.borrow());
        if !view.owns(partition) {
            return not_owner(view.version);
        }
        let reader = match request_from_message(request) {
            Ok(request) => self.serve_local(&request).await,
            Err(problem) => Err(problem),
        };
        match reader {
            Ok(reader) => reader.into_stream().map(wire_frame).boxed(),
            Err(problem) if problem.kind == ProblemKind::Moving => not_owner(view.version),
            Err(problem) => ResponseLog::problem(&problem)
                .reader()
                .into_stream()
                .map(wire_frame)
                .boxed(),
        }
    }
}

fn not_owner(ownership_version: u64) -> ForwardStream {
    let frame = ForwardFrame {
        frame: Some(WireFrame::NotOwner(NotOwner { ownership_version })),
    };
    stream::iter([Ok(frame)]).boxed()
}

fn request_from_message(message: ForwardRequest) -> Result<EdgeRequest, Problem> {
    let method = Method::from_bytes(message.method.as_bytes())
        .map_err(|_bad_method| Problem::new(ProblemKind::InvalidRequest, "the HTTP method is malformed"))?;
    let headers = headers(&message.headers);
    let operation = Operation::parse(&method, &message.target, &headers)?;
    Ok(EdgeRequest {
        caller: Caller {
            account_id: message.account_id,
            key_id: non_empty(message.key_id),
        },
        method,
        target: message.target,
        headers,
        body: Bytes::from(message.body),
        operation,
        new_program_id: non_empty(message.new_program_id),
        deadline: Instant::now() + Duration::from_millis(message.timeout_ms),
    })
}

fn non_empty(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

fn wire_frame(frame: Frame) -> Result<ForwardFrame, Status> {
    let frame = match frame {
        Frame::Head(head) => WireFrame::Head(ForwardHead {
            status: head.status.into(),
            headers: wire_headers(&head.headers),
        }),
        Frame::Data(data) => WireFrame::Data(data.to_vec()),
        Frame::End => WireFrame::End(ForwardEnd {}),
        Frame::Truncated(problem) => return Err(Status::aborted(problem.detail)),
    };
    Ok(ForwardFrame { frame: Some(frame) })
}

fn wire_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn headers(wire: &[Header]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(wire.len());
    for header in wire {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

//! Requests on their way to the owner of their program, and their arrival there.

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
    edge::{Edge, EdgeRequest, Frames, Missed},
    http::Operation,
    ownership::{OwnershipReceiver, Process},
    peer::{ForwardHandler, ForwardStream},
    problem::{Problem, ProblemKind, Ran},
};

/// Time that an owner's last frames may take after the map has named another.
const MOVED_GRACE: Duration = Duration::from_secs(1);

impl Edge {
    /// Sends a request to the owner of its partition and returns the answer as it arrives.
    pub(super) async fn forward(
        &self,
        request: &EdgeRequest,
        owner: &Process,
        partition: PartitionId,
    ) -> Result<Frames, Missed> {
        let address = self.address(owner).ok_or(Missed::NotThere)?;
        let mut client = self
            .clients
            .get(&address)
            .map_err(|_bad_address| Missed::NotThere)?;
        let message = self.message(request, partition);
        let begun = async {
            let response = client.forward(message).await.map_err(|status| missed(&status))?;
            let mut incoming = response.into_inner();
            let first = incoming.message().await;
            Ok((first, incoming))
        };
        // A paused owner keeps its connections open, so only the map tells that it is gone.
        let (first, incoming) = tokio::select! {
            begun = begun => begun?,
            () = owner_lost(self.ownership.clone(), owner.clone(), partition) => return Err(Missed::Broken),
        };
        match first {
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::Head(head)),
            })) => {
                let lost = owner_lost(self.ownership.clone(), owner.clone(), partition);
                Ok(answer(&head, incoming, lost))
            }
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::NotOwner(_)),
            })) => Err(Missed::NotThere),
            Ok(_) | Err(_) => Err(Missed::Broken),
        }
    }

    /// Where the owner is reached, if it is the process that the map names.
    fn address(&self, owner: &Process) -> Option<String> {
        let peers = self.peers.borrow();
        let peer = peers.peers.get(&owner.host_id)?;
        (peer.process == *owner).then(|| peer.address.clone())
    }

    fn message(&self, request: &EdgeRequest, partition: PartitionId) -> ForwardRequest {
        let view = self.ownership.borrow();
        let left = request.deadline.saturating_duration_since(Instant::now());
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
            timeout_ms: left.as_millis().try_into().unwrap_or(u64::MAX),
            key_id: request.caller.key_id.clone().unwrap_or_default(),
            new_program_id: request.new_program_id.clone().unwrap_or_default(),
        }
    }
}

/// A connection that never stood proves that nothing ran.
fn missed(status: &Status) -> Missed {
    let refused = std::error::Error::source(status).is_some_and(is_connect_error);
    if refused { Missed::NotThere } else { Missed::Broken }
}

fn is_connect_error(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}

/// Waits until another process has owned a partition for a while.
///
/// A handoff waits for calls under way, whose last frames may still be coming when the map changes.
async fn owner_lost(mut ownership: OwnershipReceiver, owner: Process, partition: PartitionId) {
    let moved = ownership.wait_for(|view| view.owner(partition).is_some_and(|now| now.process != owner));
    if moved.await.is_err() {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(MOVED_GRACE).await;
}

fn answer(
    head: &ForwardHead,
    incoming: Streaming<ForwardFrame>,
    lost: impl Future<Output = ()> + Send + 'static,
) -> Frames {
    let status = u16::try_from(head.status).unwrap_or(502);
    let first = Frame::Head(Head {
        status,
        headers: headers(&head.headers),
    });
    let rest = stream::unfold(Some((incoming, Box::pin(lost))), |state| async {
        let (mut incoming, mut lost) = state?;
        let message = tokio::select! {
            message = incoming.message() => message,
            () = &mut lost => Ok(None),
        };
        match message {
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::Data(data)),
            })) => Some((Frame::Data(Bytes::from(data)), Some((incoming, lost)))),
            Ok(Some(ForwardFrame {
                frame: Some(WireFrame::End(_)),
            })) => Some((Frame::End, None)),
            Ok(_) | Err(_) => Some((Frame::Truncated(cut_short()), None)),
        }
    });
    stream::iter([first]).chain(rest).boxed()
}

fn cut_short() -> Problem {
    let detail = "the answer was cut short; ask again under the same call number";
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
        let reader = match received(request) {
            Ok(request) => self.serve_here(&request).await,
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

fn received(message: ForwardRequest) -> Result<EdgeRequest, Problem> {
    let method = Method::from_bytes(message.method.as_bytes())
        .map_err(|_bad_method| Problem::new(ProblemKind::InvalidRequest, "the method is malformed"))?;
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

//! A watch stream of the key-value stand-in; one stream carries any number of watches.

use std::{collections::BTreeMap, sync::Arc};

use burdockroad_proto::etcdserverpb::{
    WatchCreateRequest, WatchRequest, WatchResponse, watch_request::RequestUnion,
};
use futures_util::StreamExt;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior},
};
use tonic::{Status, Streaming};

use crate::kv::{Shared, key_range::KeyRange, meter::CallKind, refusal::Refusal};

/// Watch id of a response to a progress request, which covers all watches of the stream.
const ALL_WATCHES: i64 = -1;

type ResponseSender = mpsc::Sender<Result<WatchResponse, Status>>;

/// Error that ends a watch stream.
///
/// The client disconnected, one of its calls was refused, or a fault broke the watches.
struct StreamClosed;

struct Watch {
    key_range: KeyRange,
    /// Lowest revision whose changes have not been sent yet.
    next_revision: i64,
    include_previous: bool,
    progress_notify: bool,
}

struct WatchStream {
    shared: Arc<Shared>,
    response_sender: ResponseSender,
    watches: BTreeMap<i64, Watch>,
    next_id: i64,
}

/// Serves a watch stream until the client disconnects or the watches are broken.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut requests: Streaming<WatchRequest>,
    response_sender: ResponseSender,
) {
    let mut changes = shared.changes();
    let mut watch_breaks = shared.watch_breaks();
    let mut progress_timer = tokio::time::interval_at(
        Instant::now() + shared.progress_interval,
        shared.progress_interval,
    );
    progress_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stream = WatchStream {
        shared: Arc::clone(&shared),
        response_sender: response_sender.clone(),
        watches: BTreeMap::new(),
        next_id: 0,
    };
    loop {
        let outcome = tokio::select! {
            _ = watch_breaks.changed() => {
                drop(response_sender.try_send(Err(Refusal::ConnectionLost.into())));
                Err(StreamClosed)
            }
            () = response_sender.closed() => Err(StreamClosed),
            request = requests.next() => match request {
                Some(Ok(request)) => stream.handle(request).await,
                _ => Err(StreamClosed),
            },
            outcome = changes.changed() => match outcome {
                Ok(()) => stream.publish().await,
                Err(_closed) => Err(StreamClosed),
            },
            _ = progress_timer.tick() => stream.notify_progress().await,
        };
        if outcome.is_err() {
            break;
        }
    }
    stream.close();
}

impl WatchStream {
    async fn handle(&mut self, request: WatchRequest) -> Result<(), StreamClosed> {
        match request.request_union {
            Some(RequestUnion::CreateRequest(create)) => self.create(create).await,
            Some(RequestUnion::CancelRequest(cancel)) => self.cancel(cancel.watch_id).await,
            Some(RequestUnion::ProgressRequest(_)) => self.send_progress().await,
            None => Ok(()),
        }
    }

    async fn create(&mut self, request: WatchCreateRequest) -> Result<(), StreamClosed> {
        self.admit_call().await?;
        let id = self.assign_id(request.watch_id);
        let key_range = match KeyRange::new(&request.key, &request.range_end) {
            Ok(key_range) if !self.watches.contains_key(&id) => key_range,
            _ => return self.refuse(id, "etcdserver: watch cannot be created", 0).await,
        };
        let (revision, compacted) = self.shared.revisions();
        let next_revision = match request.start_revision {
            0 => revision + 1,
            start => start,
        };
        if next_revision < compacted {
            let reason = "etcdserver: mvcc: required revision has been compacted";
            return self.refuse(id, reason, compacted).await;
        }
        let watch = Watch {
            key_range,
            next_revision,
            include_previous: request.prev_kv,
            progress_notify: request.progress_notify,
        };
        self.watches.insert(id, watch);
        self.shared.watch_opened();
        let created = WatchResponse {
            created: true,
            ..self.response(id)
        };
        self.send(created).await?;
        self.publish().await
    }

    async fn cancel(&mut self, id: i64) -> Result<(), StreamClosed> {
        if self.watches.remove(&id).is_none() {
            return Ok(());
        }
        self.shared.watches_closed(1);
        let canceled = WatchResponse {
            canceled: true,
            ..self.response(id)
        };
        self.send(canceled).await
    }

    async fn send_progress(&mut self) -> Result<(), StreamClosed> {
        self.admit_call().await?;
        // Changes up to the revision in the response must be sent before the response.
        self.publish().await?;
        self.send(self.response(ALL_WATCHES)).await
    }

    async fn notify_progress(&mut self) -> Result<(), StreamClosed> {
        self.publish().await?;
        let watches = self.watches.iter();
        let ids: Vec<_> = watches
            .filter(|(_, watch)| watch.progress_notify)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.send(self.response(id)).await?;
        }
        Ok(())
    }

    /// Sends the changes of each watch that have not been sent yet.
    async fn publish(&mut self) -> Result<(), StreamClosed> {
        self.cancel_compacted().await?;
        let mut responses = Vec::new();
        for (id, watch) in &mut self.watches {
            let (header, mut events) = self.shared.events_since(&watch.key_range, watch.next_revision);
            watch.next_revision = watch.next_revision.max(header.revision + 1);
            if events.is_empty() {
                continue;
            }
            if !watch.include_previous {
                for event in &mut events {
                    event.prev_kv = None;
                }
            }
            responses.push(WatchResponse {
                header: Some(header),
                watch_id: *id,
                events,
                ..WatchResponse::default()
            });
        }
        for response in responses {
            self.send(response).await?;
        }
        Ok(())
    }

    /// Cancels the watches that still need changes that have been compacted.
    async fn cancel_compacted(&mut self) -> Result<(), StreamClosed> {
        let (_, compacted) = self.shared.revisions();
        let watches = self.watches.iter();
        let compacted_ids: Vec<_> = watches
            .filter(|(_, watch)| watch.next_revision < compacted)
            .map(|(id, _)| *id)
            .collect();
        for id in compacted_ids {
            self.watches.remove(&id);
            self.shared.watches_closed(1);
            let canceled = WatchResponse {
                canceled: true,
                compact_revision: compacted,
                ..self.response(id)
            };
            self.send(canceled).await?;
        }
        Ok(())
    }

    async fn refuse(&self, id: i64, reason: &str, compact_revision: i64) -> Result<(), StreamClosed> {
        // Like etcd, the response for a watch that cannot be created sets both `created` and `canceled`.
        let refused = WatchResponse {
            created: true,
            canceled: true,
            compact_revision,
            cancel_reason: reason.to_owned(),
            ..self.response(id)
        };
        self.send(refused).await
    }

    async fn admit_call(&self) -> Result<(), StreamClosed> {
        match self.shared.admit_call(CallKind::Read).await {
            Ok(()) => Ok(()),
            Err(status) => {
                drop(self.response_sender.send(Err(status)).await);
                Err(StreamClosed)
            }
        }
    }

    async fn send(&self, response: WatchResponse) -> Result<(), StreamClosed> {
        self.response_sender
            .send(Ok(response))
            .await
            .map_err(|_disconnected| StreamClosed)
    }

    fn response(&self, id: i64) -> WatchResponse {
        WatchResponse {
            header: Some(self.shared.header()),
            watch_id: id,
            ..WatchResponse::default()
        }
    }

    fn assign_id(&mut self, requested_id: i64) -> i64 {
        if requested_id != 0 {
            return requested_id;
        }
        while self.watches.contains_key(&self.next_id) {
            self.next_id += 1;
        }
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn close(self) {
        self.shared.watches_closed(self.watches.len());
    }
}

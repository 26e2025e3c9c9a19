//! One watch stream of the key-value stand-in, which carries any number of watches.

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

use crate::kv::{Shared, meter::CallKind, refusal::Refusal, span::Span};

/// Watch id of an answer to a request for progress, which speaks for all watches of the stream.
const ALL_WATCHES: i64 = -1;

type Answers = mpsc::Sender<Result<WatchResponse, Status>>;

/// The client is gone, or the stream has to end.
struct Ended;

struct Watcher {
    span: Span,
    next_revision: i64,
    with_previous: bool,
    progress: bool,
}

struct WatchStream {
    shared: Arc<Shared>,
    answers: Answers,
    watchers: BTreeMap<i64, Watcher>,
    next_id: i64,
}

/// Serves a watch stream until the client leaves or the watches are broken.
pub(crate) async fn run(shared: Arc<Shared>, mut requests: Streaming<WatchRequest>, answers: Answers) {
    let mut changes = shared.changes();
    let mut breaks = shared.breaks();
    let mut progress = tokio::time::interval_at(
        Instant::now() + shared.progress_interval,
        shared.progress_interval,
    );
    progress.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stream = WatchStream {
        shared: Arc::clone(&shared),
        answers: answers.clone(),
        watchers: BTreeMap::new(),
        next_id: 0,
    };
    loop {
        let outcome = tokio::select! {
            _ = breaks.changed() => {
                drop(answers.try_send(Err(Refusal::ConnectionLost.into())));
                Err(Ended)
            }
            () = answers.closed() => Err(Ended),
            request = requests.next() => match request {
                Some(Ok(request)) => stream.handle(request).await,
                _ => Err(Ended),
            },
            outcome = changes.changed() => match outcome {
                Ok(()) => stream.publish().await,
                Err(_closed) => Err(Ended),
            },
            _ = progress.tick() => stream.notify_progress().await,
        };
        if outcome.is_err() {
            break;
        }
    }
    stream.close();
}

impl WatchStream {
    async fn handle(&mut self, request: WatchRequest) -> Result<(), Ended> {
        match request.request_union {
            Some(RequestUnion::CreateRequest(create)) => self.create(create).await,
            Some(RequestUnion::CancelRequest(cancel)) => self.cancel(cancel.watch_id).await,
            Some(RequestUnion::ProgressRequest(_)) => self.answer_progress().await,
            None => Ok(()),
        }
    }

    async fn create(&mut self, request: WatchCreateRequest) -> Result<(), Ended> {
        self.enter().await?;
        let id = self.choose_id(request.watch_id);
        let span = match Span::new(&request.key, &request.range_end) {
            Ok(span) if !self.watchers.contains_key(&id) => span,
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
        let watcher = Watcher {
            span,
            next_revision,
            with_previous: request.prev_kv,
            progress: request.progress_notify,
        };
        self.watchers.insert(id, watcher);
        self.shared.watch_opened();
        let created = WatchResponse {
            created: true,
            ..self.response(id)
        };
        self.send(created).await?;
        self.publish().await
    }

    async fn cancel(&mut self, id: i64) -> Result<(), Ended> {
        if self.watchers.remove(&id).is_none() {
            return Ok(());
        }
        self.shared.watches_closed(1);
        let canceled = WatchResponse {
            canceled: true,
            ..self.response(id)
        };
        self.send(canceled).await
    }

    async fn answer_progress(&mut self) -> Result<(), Ended> {
        self.enter().await?;
        // What was changed before the answer's revision has to come before the answer.
        self.publish().await?;
        self.send(self.response(ALL_WATCHES)).await
    }

    async fn notify_progress(&mut self) -> Result<(), Ended> {
        self.publish().await?;
        let watchers = self.watchers.iter();
        let ids: Vec<_> = watchers
            .filter(|(_, watcher)| watcher.progress)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.send(self.response(id)).await?;
        }
        Ok(())
    }

    /// Sends each watch the changes that it has not had yet.
    async fn publish(&mut self) -> Result<(), Ended> {
        self.cancel_compacted().await?;
        let mut responses = Vec::new();
        for (id, watcher) in &mut self.watchers {
            let (header, mut events) = self.shared.events_since(&watcher.span, watcher.next_revision);
            watcher.next_revision = watcher.next_revision.max(header.revision + 1);
            if events.is_empty() {
                continue;
            }
            if !watcher.with_previous {
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

    /// Cancels the watches that fell behind the history that is kept.
    async fn cancel_compacted(&mut self) -> Result<(), Ended> {
        let (_, compacted) = self.shared.revisions();
        let watchers = self.watchers.iter();
        let behind: Vec<_> = watchers
            .filter(|(_, watcher)| watcher.next_revision < compacted)
            .map(|(id, _)| *id)
            .collect();
        for id in behind {
            self.watchers.remove(&id);
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

    async fn refuse(&self, id: i64, reason: &str, compact_revision: i64) -> Result<(), Ended> {
        // As etcd does it: a watch that cannot be created is answered as created and canceled at once.
        let refused = WatchResponse {
            created: true,
            canceled: true,
            compact_revision,
            cancel_reason: reason.to_owned(),
            ..self.response(id)
        };
        self.send(refused).await
    }

    async fn enter(&self) -> Result<(), Ended> {
        match self.shared.enter(CallKind::Read).await {
            Ok(()) => Ok(()),
            Err(status) => {
                drop(self.answers.send(Err(status)).await);
                Err(Ended)
            }
        }
    }

    async fn send(&self, response: WatchResponse) -> Result<(), Ended> {
        self.answers.send(Ok(response)).await.map_err(|_gone| Ended)
    }

    fn response(&self, id: i64) -> WatchResponse {
        WatchResponse {
            header: Some(self.shared.header()),
            watch_id: id,
            ..WatchResponse::default()
        }
    }

    fn choose_id(&mut self, wanted: i64) -> i64 {
        if wanted != 0 {
            return wanted;
        }
        while self.watchers.contains_key(&self.next_id) {
            self.next_id += 1;
        }
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn close(self) {
        self.shared.watches_closed(self.watchers.len());
    }
}

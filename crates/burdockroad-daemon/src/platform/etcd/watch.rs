//! Watch of one key, on a separate stream.

use std::time::Duration;

use burdockroad_proto::{
    etcdserverpb::{
        WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse, watch_client::WatchClient,
        watch_request::RequestUnion,
    },
    mvccpb::{Event, event::EventType},
};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Streaming, transport::Channel};

use crate::platform::{WatchEvent, etcd::requests};

/// Interval between two requests for the progress of the watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any message after which a watch counts as failed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Capacity of the channel of events to the reader.
const EVENT_CHANNEL_CAPACITY: usize = 64;

/// Capacity of the channel of requests to the stream.
const REQUEST_CHANNEL_CAPACITY: usize = 4;

/// Creates a watch and waits until the service has confirmed it.
pub(super) async fn open(
    mut client: WatchClient<Channel>,
    key: &str,
) -> Result<mpsc::Receiver<WatchEvent>, String> {
    let (requests, request_stream) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
    let create = WatchCreateRequest {
        key: key.into(),
        progress_notify: true,
        ..WatchCreateRequest::default()
    };
    requests
        .try_send(request(RequestUnion::CreateRequest(create)))
        .map_err(|cause| cause.to_string())?;
    let response = client
        .watch(ReceiverStream::new(request_stream))
        .await
        .map_err(|cause| cause.to_string())?;
    let mut responses = response.into_inner();
    let first = next(&mut responses)
        .await
        .ok_or("the watch ended before it was created")?;
    if !first.created || first.canceled {
        return Err(format!("the watch was refused: {}", first.cancel_reason));
    }
    let (events, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    tokio::spawn(request_progress(requests, events.clone()));
    tokio::spawn(forward(responses, events));
    Ok(receiver)
}

async fn request_progress(requests: mpsc::Sender<WatchRequest>, events: mpsc::Sender<WatchEvent>) {
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = events.closed() => return,
            () = requests.closed() => return,
            _ = ticks.tick() => {}
        }
        // A full channel means that the connection has stalled, which `forward` detects.
        let _queued = requests.try_send(request(RequestUnion::ProgressRequest(WatchProgressRequest {})));
    }
}

async fn forward(mut responses: Streaming<WatchResponse>, events: mpsc::Sender<WatchEvent>) {
    loop {
        let response = tokio::select! {
            () = events.closed() => return,
            response = timeout(IDLE_TIMEOUT, next(&mut responses)) => response,
        };
        let Ok(Some(response)) = response else { return };
        if response.canceled || !forward_events(response, &events).await {
            return;
        }
    }
}

async fn forward_events(response: WatchResponse, events: &mpsc::Sender<WatchEvent>) -> bool {
    if response.events.is_empty() {
        return events.send(WatchEvent::Progress).await.is_ok();
    }
    for event in response.events {
        if events.send(change(event)).await.is_err() {
            return false;
        }
    }
    true
}

fn change(event: Event) -> WatchEvent {
    let removed = event.r#type == i32::from(EventType::Delete);
    let stored = event.kv.filter(|_| !removed);
    WatchEvent::Changed(stored.map(requests::entry))
}

async fn next(responses: &mut Streaming<WatchResponse>) -> Option<WatchResponse> {
    responses.message().await.ok().flatten()
}

fn request(union: RequestUnion) -> WatchRequest {
    WatchRequest {
        request_union: Some(union),
    }
}

//! Polls of the endpoints' load and cache events.

use std::{collections::HashMap, time::Duration};

use burdockroad::{
    EndpointId, PoolId,
    dispatch::{CacheEvent, LoadReport},
};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use ractor::ActorRef;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::dispatch::actor::PoolMessage;

/// Time between two polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which an endpoint must answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a poll, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// An endpoint to be polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) pool_id: PoolId,
    pub(super) endpoint_id: EndpointId,
    pub(super) address: String,
}

/// What an endpoint answers at `/load`.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
    cache_tokens_max: u64,
    age_ms: u64,
}

/// One event that an endpoint answers at `/cache/events`.
#[derive(Debug)]
#[derive(Deserialize)]
struct EventAnswer {
    sequence: u64,
    kind: EventKind,
    program_id: String,
    #[serde(default)]
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Held,
    Freed,
    Evicted,
}

/// What a poll found.
struct Polled {
    load: Option<LoadReport>,
    events: Vec<CacheEvent>,
    last_sequence: u64,
}

/// Polls the endpoints that the actor names, until the actor stops.
pub(super) async fn poll_all(actor: ActorRef<PoolMessage>) {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut sequences: HashMap<(PoolId, EndpointId), u64> = HashMap::new();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let (sender, receiver) = oneshot::channel();
        if actor.send_message(PoolMessage::Targets(sender.into())).is_err() {
            return;
        }
        let Ok(targets) = receiver.await else {
            return;
        };
        let polls = targets.iter().map(|target| {
            let key = (target.pool_id.clone(), target.endpoint_id.clone());
            poll(
                &client,
                &target.address,
                sequences.get(&key).copied().unwrap_or(0),
            )
        });
        let polled = join_all(polls).await;
        for (target, polled) in targets.into_iter().zip(polled) {
            let key = (target.pool_id.clone(), target.endpoint_id.clone());
            sequences.insert(key, polled.last_sequence);
            let message = PoolMessage::Observed {
                pool_id: target.pool_id,
                endpoint_id: target.endpoint_id,
                load: polled.load,
                events: polled.events,
            };
            if actor.send_message(message).is_err() {
                return;
            }
        }
    }
}

async fn poll(client: &HttpClient, address: &str, since: u64) -> Polled {
    let load_url = format!("http://{address}/load");
    let events_url = format!("http://{address}/cache/events?since={since}");
    let (load, events) = tokio::join!(get(client, load_url), get(client, events_url));
    let Some(load) = load else {
        // It may come back as another process, with an empty cache and a count of events of its own.
        return Polled {
            load: None,
            events: vec![CacheEvent::Cleared],
            last_sequence: 0,
        };
    };
    // Endpoints without these reports still answer, which tells that they are there.
    let load: LoadAnswer = serde_json::from_slice(&load).unwrap_or_default();
    let events: Vec<EventAnswer> = events
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    Polled {
        load: Some(to_report(&load)),
        last_sequence: events.iter().map(|event| event.sequence).max().unwrap_or(since),
        events: events.into_iter().map(to_event).collect(),
    }
}

/// Returns the body of an answer with any status; none when there is no answer in time.
async fn get(client: &HttpClient, url: String) -> Option<Bytes> {
    let request = http::Request::get(url).body(Empty::new()).ok()?;
    let answer = async {
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES);
        Some(body.collect().await.ok()?.to_bytes())
    };
    tokio::time::timeout(POLL_TIMEOUT, answer).await.ok()?
}

fn to_report(load: &LoadAnswer) -> LoadReport {
    LoadReport {
        running: load.running,
        waiting: load.waiting,
        cache_max_tokens: load.cache_tokens_max,
        age: Duration::from_millis(load.age_ms),
    }
}

fn to_event(event: EventAnswer) -> CacheEvent {
    let program_id = event.program_id;
    match event.kind {
        EventKind::Held => CacheEvent::Stored {
            program_id,
            tokens: event.tokens,
        },
        EventKind::Freed | EventKind::Evicted => CacheEvent::Removed { program_id },
    }
}

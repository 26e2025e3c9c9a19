//! Polling of the load and cache events of model engines.

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

use crate::dispatch::pool_message::PoolMessage;

/// Interval between two polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a poll response, in bytes.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// The response body of an endpoint's `/load` API.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    cache_tokens_max: u64,
    age_ms: u64,
}

/// One event in the response body of an endpoint's `/cache/events` API.
#[derive(Debug)]
#[derive(Deserialize)]
struct CacheEventEntry {
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

/// The result of a poll.
struct PollResult {
    load: Option<LoadReport>,
    events: Vec<CacheEvent>,
    last_sequence: u64,
}

/// Polls the endpoints that the actor lists, until the actor stops.
pub(super) async fn poll_all(actor: ActorRef<PoolMessage>) {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut sequences: HashMap<(PoolId, EndpointId), u64> = HashMap::new();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let (sender, receiver) = oneshot::channel();
        if actor
            .send_message(PoolMessage::PollTargets(sender.into()))
            .is_err()
        {
            return;
        }
        let Ok(poll_targets) = receiver.await else {
            return;
        };
        let polls = poll_targets.iter().map(|target| {
            let key = (target.pool_id.clone(), target.endpoint_id.clone());
            poll(
                &client,
                &target.address,
                sequences.get(&key).copied().unwrap_or(0),
            )
        });
        let results = join_all(polls).await;
        for (target, result) in poll_targets.into_iter().zip(results) {
            let key = (target.pool_id.clone(), target.endpoint_id.clone());
            sequences.insert(key, result.last_sequence);
            let message = PoolMessage::EndpointPolled {
                pool_id: target.pool_id,
                endpoint_id: target.endpoint_id,
                load: result.load,
                events: result.events,
            };
            if actor.send_message(message).is_err() {
                return;
            }
        }
    }
}

async fn poll(client: &HttpClient, address: &str, since: u64) -> PollResult {
    let load_url = format!("http://{address}/load");
    let events_url = format!("http://{address}/cache/events?since={since}");
    let (load, events) = tokio::join!(get(client, load_url), get(client, events_url));
    let Some(load) = load else {
        // The endpoint may be restarted as a new process with an empty cache and a new event sequence.
        return PollResult {
            load: None,
            events: vec![CacheEvent::Cleared],
            last_sequence: 0,
        };
    };
    // An endpoint without these APIs still responds, which shows that it is up.
    let load: LoadResponse = serde_json::from_slice(&load).unwrap_or_default();
    let events: Vec<CacheEventEntry> = events
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    PollResult {
        load: Some(to_load_report(&load)),
        last_sequence: events.iter().map(|event| event.sequence).max().unwrap_or(since),
        events: events.into_iter().map(to_cache_event).collect(),
    }
}

/// Returns the body of a response with any status.
///
/// Returns `None` if there is no response within [`POLL_TIMEOUT`].
async fn get(client: &HttpClient, url: String) -> Option<Bytes> {
    let request = http::Request::get(url).body(Empty::new()).ok()?;
    let response_body = async {
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
        Some(body.collect().await.ok()?.to_bytes())
    };
    tokio::time::timeout(POLL_TIMEOUT, response_body).await.ok()?
}

fn to_load_report(load: &LoadResponse) -> LoadReport {
    LoadReport {
        running: load.running,
        waiting: load.waiting,
        cache_max_tokens: load.cache_tokens_max,
        age: Duration::from_millis(load.age_ms),
    }
}

fn to_cache_event(event: CacheEventEntry) -> CacheEvent {
    let program_id = event.program_id;
    match event.kind {
        EventKind::Held => CacheEvent::Stored {
            program_id,
            tokens: event.tokens,
        },
        EventKind::Freed | EventKind::Evicted => CacheEvent::Removed { program_id },
    }
}

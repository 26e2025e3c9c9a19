//! Order of calls and journal records: which records must be durable before a call is sent, and before its
//! response ends.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{
    AccountId, Record,
    config::VersionedDocument,
    ownership::{Candidate, Process, initial_map},
    program::{Budget, CachedPrefix, NewProgram, ProgramsOptions},
    program_id,
    retry::{RetryBudgets, RetryOptions},
};
use burdockroad_daemon::{
    answer::{Frame, ResponseReader},
    calls::{
        CallLimits, CallPayload, CallPlan, CallPosition, CallRunner, Caller, CompletionRequest,
        ServiceRequest,
    },
    config_watch::InForce,
    dispatch::{Dispatcher, Slot, SlotRefusal, SlotReport, SlotRequest},
    endpoint::HttpEndpoints,
    journal::{Appended, Durability, Journal, JournalError},
    ownership::OwnershipView,
    programs::{PrefixReleaser, ProgramsHandle, ProgramsParts},
    quota::{Quota, QuotaRefusal},
    telemetry::Telemetry,
};
use burdockroad_standins::{
    engine::{EngineOptions, EngineStandin},
    service::{ServiceOptions, ServiceStandin},
};
use http::{HeaderMap, Method};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::Instant,
};

use crate::repeating_engine::RepeatingEngine;

#[path = "support/repeating_engine.rs"]
mod repeating_engine;

/// Time for which a test checks that an event does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);

/// A journal in which the test completes each append.
#[derive(Debug, Default)]
struct ManualJournal {
    pending: Mutex<VecDeque<PendingAppend>>,
    appended: Notify,
}

#[derive(Debug)]
struct PendingAppend {
    durability: Durability,
    outcome: oneshot::Sender<Result<(), JournalError>>,
}

impl Journal for ManualJournal {
    fn append(&self, _records: Vec<Record>, durability: Durability) -> Appended {
        let (outcome, appended) = oneshot::channel();
        self.pending
            .lock()
            .unwrap()
            .push_back(PendingAppend { durability, outcome });
        self.appended.notify_one();
        appended
    }
}

impl ManualJournal {
    /// Waits for the next append, completes it with `outcome`, and returns the requested durability.
    async fn complete_next(&self, outcome: Result<(), JournalError>) -> Durability {
        loop {
            let first = self.pending.lock().unwrap().pop_front();
            if let Some(pending) = first {
                pending.outcome.send(outcome).unwrap_or_default();
                return pending.durability;
            }
            self.appended.notified().await;
        }
    }
}

#[derive(Debug)]
struct UnlimitedQuota;

#[async_trait]
impl Quota for UnlimitedQuota {
    async fn admit(&self, _account_id: &AccountId, _deadline: Instant) -> Result<(), QuotaRefusal> {
        Ok(())
    }
}

#[derive(Debug)]
struct SingleEndpoint(String);

#[async_trait]
impl Dispatcher for SingleEndpoint {
    async fn acquire(&self, _request: SlotRequest) -> Result<Slot, SlotRefusal> {
        Ok(Slot {
            slot_id: 1,
            pool_id: "pool".to_owned(),
            endpoint_id: "endpoint".to_owned(),
            address: self.0.clone(),
        })
    }

    fn release(&self, _slot: Slot, _report: SlotReport) {}
}

#[derive(Debug)]
struct NoopReleaser;

#[async_trait]
impl PrefixReleaser for NoopReleaser {
    async fn release(&self, _prefix: &CachedPrefix) -> bool {
        true
    }
}

/// A call runner with one program, whose creation is already durable.
struct Fixture {
    runner: CallRunner,
    journal: Arc<ManualJournal>,
    program: String,
    /// Keeps the channel of the document in force open during the test.
    in_force: watch::Sender<Arc<InForce>>,
}

impl Fixture {
    async fn start(address: String) -> Self {
        let journal = Arc::new(ManualJournal::default());
        let me = Process {
            host_id: "a".to_owned(),
            incarnation: 1,
        };
        let candidate = Candidate {
            process: me.clone(),
            failure_domain: "d".to_owned(),
            weight: 1,
        };
        let view = OwnershipView::new(me, &initial_map(&[candidate], 1).unwrap(), true);
        let (_ownership_sender, ownership) = watch::channel(Arc::new(view));
        let programs = ProgramsHandle::start(ProgramsParts {
            journal: Arc::clone(&journal) as _,
            releaser: Arc::new(NoopReleaser),
            ownership,
            options: ProgramsOptions::default(),
        })
        .await
        .unwrap();
        let text = r#"{ "sites": [], "accounts": [], "routes": [], "endpoint_sets": [] }"#;
        let document = VersionedDocument::new(1, text).unwrap();
        let (in_force, receiver) = watch::channel(Arc::new(InForce::fixed(document)));
        let program = program_id(7, "order");
        let created = programs.create(new_program(&program)).await.unwrap();
        assert_eq!(journal.complete_next(Ok(())).await, Durability::Replicated);
        created.await.unwrap().unwrap();
        let runner = CallRunner {
            programs,
            quota: Arc::new(UnlimitedQuota),
            dispatcher: Arc::new(SingleEndpoint(address)),
            endpoints: Arc::new(HttpEndpoints::new()),
            in_force: receiver,
            retries: Arc::new(Mutex::new(RetryBudgets::new(RetryOptions::default()))),
            telemetry: Telemetry::without_exporter(),
            limits: CallLimits {
                queue_timeout: Duration::from_secs(5),
                response_max_bytes: 1_000_000,
            },
        };
        Self {
            runner,
            journal,
            program,
            in_force,
        }
    }

    async fn call(&self, payload: CallPayload, idempotent: bool) -> ResponseReader {
        self.numbered_call(1, payload, idempotent).await
    }

    async fn numbered_call(&self, number: u32, payload: CallPayload, idempotent: bool) -> ResponseReader {
        let position = CallPosition {
            program_id: self.program.clone(),
            number,
        };
        let plan = plan(payload, idempotent);
        self.runner.program_call(plan, position).await.unwrap()
    }
}

fn plan(payload: CallPayload, idempotent: bool) -> CallPlan {
    CallPlan {
        caller: Caller {
            account_id: "trust".to_owned(),
            key_id: None,
        },
        route_id: "route".to_owned(),
        pool_ids: vec!["pool".to_owned()],
        idempotent,
        digest: [1; 32],
        keeps_prefix: true,
        payload,
        deadline: Instant::now() + Duration::from_secs(20),
        traceparent: None,
    }
}

fn new_program(id: &str) -> NewProgram {
    let budget = Budget {
        max_tokens: 100,
        max_calls: 5,
        max_duration: Duration::from_mins(1),
    };
    NewProgram {
        program_id: id.to_owned(),
        account_id: "trust".to_owned(),
        parent_id: None,
        budget,
    }
}

fn order() -> CallPayload {
    CallPayload::Service(ServiceRequest {
        method: Method::POST,
        target: "/orders".to_owned(),
        headers: HeaderMap::new(),
        body: "one".into(),
    })
}

fn completion() -> CallPayload {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":3}"#;
    CallPayload::Completion(CompletionRequest::parse(body).unwrap())
}

/// Returns the frames received until the response ends, or until no frame arrives within `idle_timeout`.
async fn frames(reader: &mut ResponseReader, idle_timeout: Duration) -> Vec<Frame> {
    let mut frames = Vec::new();
    while let Ok(frame) = tokio::time::timeout(idle_timeout, reader.next()).await {
        let last = matches!(frame, Frame::End | Frame::Truncated(_));
        frames.push(frame);
        if last {
            break;
        }
    }
    frames
}

#[tokio::test]
async fn program_call_sent_after_intent_stored() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let fixture = Fixture::start(service.address().to_string()).await;
    let mut reader = fixture.call(order(), false).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(
        service.recorded().is_empty(),
        "the order was sent before its intent was stored"
    );
    assert_eq!(fixture.journal.complete_next(Ok(())).await, Durability::Stored);
    assert_eq!(
        fixture.journal.complete_next(Ok(())).await,
        Durability::Replicated
    );
    let frames = frames(&mut reader, Duration::from_secs(5)).await;
    assert!(matches!(frames.last(), Some(Frame::End)), "{frames:?}");
    assert_eq!(service.recorded().len(), 1);
    drop(fixture.in_force);
}

fn document(version: u64, evacuated: &str) -> Arc<InForce> {
    let text = format!(
        r#"{{ "sites": [{{ "id": "s", "weight": 1 }}], "accounts": [], "routes": [],
            "endpoint_sets": [{{ "id": "pool", "site": "s", "endpoints": [{{ "id": "endpoint",
                "address": "127.0.0.1:9", "host_id": "h", "failure_domain": "d", "slots": 1 }}] }}],
            "evacuated_domains": [{evacuated}] }}"#
    );
    Arc::new(InForce::fixed(VersionedDocument::new(version, text).unwrap()))
}

/// The failure domain of the endpoint is evacuated while the call waits for its intent to be stored. Guards
/// against sending it there by the slot that was granted before.
#[tokio::test]
async fn program_call_evacuated_before_intent_stored() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let fixture = Fixture::start(service.address().to_string()).await;
    fixture.in_force.send_replace(document(2, ""));
    let mut reader = fixture.call(order(), false).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    fixture.in_force.send_replace(document(3, r#""d""#));
    assert_eq!(fixture.journal.complete_next(Ok(())).await, Durability::Stored);
    // The record that the call did not run, after which it is placed again.
    fixture.journal.complete_next(Ok(())).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(
        service.recorded().is_empty(),
        "the order was sent to an evacuated failure domain"
    );
    fixture.in_force.send_replace(document(4, ""));
    for _ in 0..2 {
        fixture.journal.complete_next(Ok(())).await;
    }
    let frames = frames(&mut reader, Duration::from_secs(5)).await;
    assert!(matches!(frames.last(), Some(Frame::End)), "{frames:?}");
    assert_eq!(service.recorded().len(), 1);
}

#[tokio::test]
async fn program_call_intent_not_stored() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let fixture = Fixture::start(service.address().to_string()).await;
    let mut reader = fixture.call(order(), false).await;
    let unavailable = JournalError::Unavailable {
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(
        fixture.journal.complete_next(Err(unavailable)).await,
        Durability::Stored
    );
    fixture.journal.complete_next(Ok(())).await;
    let frames = frames(&mut reader, Duration::from_secs(5)).await;
    let Some(Frame::Head(head)) = frames.first() else {
        panic!("no head: {frames:?}");
    };
    assert_eq!(head.status, 503);
    assert!(head.headers.contains_key("retry-after"));
    assert!(
        service.recorded().is_empty(),
        "the order was sent although the response reports that it did not run"
    );
}

#[tokio::test]
async fn program_call_response_ends_after_result_durable() {
    let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
    let fixture = Fixture::start(engine.address().to_string()).await;
    let mut reader = fixture.call(completion(), true).await;
    assert_eq!(
        fixture.journal.complete_next(Ok(())).await,
        Durability::Replicated
    );
    let early_frames = frames(&mut reader, OBSERVATION_TIME).await;
    assert!(
        early_frames.len() > 1,
        "the response was not streamed while it was generated: {early_frames:?}"
    );
    let has_end = |frames: &[Frame]| {
        frames.iter().any(|frame| match frame {
            Frame::End => true,
            Frame::Data(data) => data.ends_with(b"[DONE]\n\n"),
            Frame::Head(_) | Frame::Truncated(_) => false,
        })
    };
    assert!(
        !has_end(&early_frames),
        "the response ended before its result was durable: {early_frames:?}"
    );
    assert_eq!(
        fixture.journal.complete_next(Ok(())).await,
        Durability::Replicated
    );
    assert!(has_end(&frames(&mut reader, Duration::from_secs(5)).await));
}

#[tokio::test]
async fn program_call_response_truncated_when_fenced() {
    let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
    let fixture = Fixture::start(engine.address().to_string()).await;
    let mut reader = fixture.call(completion(), true).await;
    fixture.journal.complete_next(Ok(())).await;
    fixture.journal.complete_next(Err(JournalError::Fenced)).await;
    let frames = frames(&mut reader, Duration::from_secs(5)).await;
    assert!(
        matches!(frames.last(), Some(Frame::Truncated(_))),
        "the response ended as complete although its result was not recorded: {frames:?}"
    );
}

fn is_complete_answer(frames: &[Frame]) -> bool {
    let is_answer = matches!(frames.first(), Some(Frame::Head(head)) if head.status == 200);
    is_answer && matches!(frames.last(), Some(Frame::End))
}

/// Guards against a call that an engine runs, but that its caller is told did not run or that runs again, because the
/// engine repeats an earlier refusal on a kept connection.
#[tokio::test]
async fn call_runs_once_when_an_engine_repeats_an_earlier_refusal() {
    for refusal in [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "400 Bad Request",
    ] {
        let engine = RepeatingEngine::start(refusal).await;
        let fixture = Fixture::start(engine.address.to_string()).await;
        for number in 1..=3 {
            let mut reader = fixture.runner.single_call(plan(completion(), true));
            let frames = frames(&mut reader, Duration::from_secs(5)).await;
            assert!(is_complete_answer(&frames), "{refusal}: {frames:?}");
            assert_eq!(engine.executed().len(), number, "{refusal}");
            tokio::time::sleep(OBSERVATION_TIME).await;
        }
    }
}

/// Guards against a program whose call is recorded as not run, without its tokens, although it ran.
#[tokio::test]
async fn program_call_that_ran_is_recorded_when_an_engine_repeats_an_earlier_refusal() {
    let engine = RepeatingEngine::start("400 Bad Request").await;
    let fixture = Fixture::start(engine.address.to_string()).await;
    for number in 1..=2 {
        let mut reader = fixture.numbered_call(number, completion(), true).await;
        for _ in 0..2 {
            fixture.journal.complete_next(Ok(())).await;
        }
        let frames = frames(&mut reader, Duration::from_secs(5)).await;
        assert!(is_complete_answer(&frames), "{number}: {frames:?}");
        assert_eq!(engine.executed().len(), usize::try_from(number).unwrap());
        tokio::time::sleep(OBSERVATION_TIME).await;
    }
}

//! Errors that the etcd client returns when the key-value service fails.

use std::time::{Duration, Instant};

use burdockroad_daemon::platform::{Breaker, EtcdKeyValue, Expected, KeyValue, Put, StoreError, WatchEvent};
use burdockroad_standins::kv::{KvFaults, KvOptions, KvStandin, LoseReplies, LostReply};
use tokio::time::timeout;

/// Timeout of each operation that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_standin() -> (KvStandin, EtcdKeyValue) {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let store = EtcdKeyValue::new(&[address(&standin)]).unwrap();
    (standin, store)
}

fn address(standin: &KvStandin) -> String {
    format!("http://{}", standin.address())
}

/// Returns an address on which no server listens.
async fn closed_address() -> String {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let address = address(&standin);
    standin.close().await;
    address
}

async fn create(store: &EtcdKeyValue, key: &str) -> Result<Put, StoreError> {
    store.put(key, "value".into(), Expected::Absent).await
}

#[tokio::test]
async fn put_reply_lost() {
    for (lost_reply, key) in [(LostReply::Error, "error"), (LostReply::Hang, "hang")] {
        let (standin, store) = start_standin().await;
        standin.set_faults(KvFaults {
            lose_replies: LoseReplies::Next(1),
            lost_reply,
            ..KvFaults::default()
        });
        let result = timeout(WAIT_TIMEOUT, create(&store, key))
            .await
            .expect("the call ends before the timeout");
        assert!(matches!(result, Err(StoreError::Ambiguous { .. })), "{result:?}");
        let stored = store.get(key).await.unwrap().expect("the write was applied");
        assert!(matches!(create(&store, key).await, Ok(Put::Conflict(Some(entry))) if entry == stored));
        standin.close().await;
    }
}

#[tokio::test]
async fn put_never_sent() {
    let store = EtcdKeyValue::new(&[closed_address().await]).unwrap();
    let result = create(&store, "key").await;
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn put_over_rate() {
    let options = KvOptions {
        writes_per_s: 1,
        ..KvOptions::default()
    };
    let standin = KvStandin::start(options).await.unwrap();
    let store = EtcdKeyValue::new(&[address(&standin)]).unwrap();
    let mut refused_count = 0;
    for number in 0..20 {
        let key = format!("key-{number}");
        match create(&store, &key).await {
            Ok(_) => {}
            Err(StoreError::Unavailable { .. }) => {
                refused_count += 1;
                assert_eq!(store.get(&key).await.unwrap_or(None), None);
            }
            ambiguous @ Err(StoreError::Ambiguous { .. }) => panic!("{ambiguous:?}"),
        }
    }
    assert!(refused_count > 0);
    standin.close().await;
}

#[tokio::test]
async fn put_service_down() {
    let (standin, store) = start_standin().await;
    create(&store, "before").await.unwrap();
    standin.set_faults(KvFaults {
        down: true,
        ..KvFaults::default()
    });
    let result = create(&store, "key").await;
    assert!(matches!(result, Err(StoreError::Ambiguous { .. })), "{result:?}");
    let result = store.get("before").await;
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
    standin.set_faults(KvFaults::default());
    let retried = async {
        while create(&store, "key").await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, retried)
        .await
        .expect("the client resumes when the service is available again");
    standin.close().await;
}

#[tokio::test]
async fn get_slow() {
    let (standin, store) = start_standin().await;
    standin.set_faults(KvFaults {
        delay_ms: 60_000,
        ..KvFaults::default()
    });
    let result = timeout(WAIT_TIMEOUT, store.get("key"))
        .await
        .expect("the call ends before the timeout");
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
    standin.close().await;
}

#[tokio::test]
async fn get_first_address_unreachable() {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let store = EtcdKeyValue::new(&[closed_address().await, address(&standin)]).unwrap();
    for number in 0..10 {
        create(&store, &format!("key-{number}")).await.unwrap();
    }
    assert!(store.get("key-9").await.unwrap().is_some());
    standin.close().await;
}

#[tokio::test]
async fn watch_broken() {
    let (standin, store) = start_standin().await;
    let mut watch = store.watch("key").await.unwrap();
    standin.set_faults(KvFaults {
        break_watches: true,
        ..KvFaults::default()
    });
    let ended = async { while watch.recv().await.is_some() {} };
    timeout(WAIT_TIMEOUT, ended).await.expect("the watch ends");
    let mut watch = store.watch("key").await.unwrap();
    create(&store, "key").await.unwrap();
    let changed = async {
        loop {
            if let Some(WatchEvent::Changed(entry)) = watch.recv().await {
                return entry.expect("the key was created");
            }
        }
    };
    let entry = timeout(WAIT_TIMEOUT, changed)
        .await
        .expect("the new watch reports the change");
    assert_eq!(entry.key, "key");
    standin.close().await;
}

#[test]
fn breaker_backoff_bounded() {
    let mut breaker = Breaker::default();
    let mut now = Instant::now();
    let mut last_backoff = Duration::ZERO;
    for trial in 0..12 {
        // Three consecutive failures open the breaker. After that, one trial call is admitted per backoff.
        while breaker.admit(now).is_ok() {
            breaker.report(false, now);
        }
        let backoff = breaker.admit(now).unwrap_err();
        assert!(backoff <= Duration::from_secs(2), "trial {trial}: {backoff:?}");
        if trial < 4 {
            // The upper bound doubles with each trial, and a backoff is at least half of its upper bound.
            assert!(
                backoff * 2 > last_backoff,
                "trial {trial}: {backoff:?} after {last_backoff:?}"
            );
        }
        last_backoff = backoff;
        now += backoff;
    }
    assert!(last_backoff >= Duration::from_secs(1));
    assert_eq!(breaker.admit(now), Ok(()));
    assert!(
        breaker.admit(now).is_err(),
        "a second call was admitted during a trial"
    );
    breaker.report(true, now);
    assert_eq!(breaker.admit(now), Ok(()));
    assert_eq!(breaker.admit(now), Ok(()));
}

//! What the client of the key-value service reports when the service fails.

use std::time::{Duration, Instant};

use burdockroad_daemon::platform::{Breaker, EtcdKeyValue, Expected, KeyValue, Put, StoreError, WatchEvent};
use burdockroad_standins::kv::{KvFaults, KvOptions, KvStandin, LoseReplies, LostReply};
use tokio::time::timeout;

/// Longest wait for anything that is to happen.
const PATIENCE: Duration = Duration::from_secs(10);

async fn standin() -> (KvStandin, EtcdKeyValue) {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let store = EtcdKeyValue::new(&[address(&standin)]).unwrap();
    (standin, store)
}

fn address(standin: &KvStandin) -> String {
    format!("http://{}", standin.address())
}

/// An address at which nothing listens any more.
async fn dead_address() -> String {
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
        let (standin, store) = standin().await;
        standin.set_faults(KvFaults {
            lose_replies: LoseReplies::Next(1),
            lost_reply,
            ..KvFaults::default()
        });
        let lost = timeout(PATIENCE, create(&store, key))
            .await
            .expect("the call ends in time");
        assert!(matches!(lost, Err(StoreError::Ambiguous { .. })), "{lost:?}");
        let held = store.get(key).await.unwrap().expect("the write took effect");
        assert!(matches!(create(&store, key).await, Ok(Put::Conflict(Some(entry))) if entry == held));
        standin.close().await;
    }
}

#[tokio::test]
async fn put_never_sent() {
    let store = EtcdKeyValue::new(&[dead_address().await]).unwrap();
    let refused = create(&store, "key").await;
    assert!(
        matches!(refused, Err(StoreError::Unavailable { .. })),
        "{refused:?}"
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
    let mut refused = 0;
    for number in 0..20 {
        let key = format!("key-{number}");
        match create(&store, &key).await {
            Ok(_) => {}
            Err(StoreError::Unavailable { .. }) => {
                refused += 1;
                assert_eq!(store.get(&key).await.unwrap_or(None), None);
            }
            ambiguous @ Err(StoreError::Ambiguous { .. }) => panic!("{ambiguous:?}"),
        }
    }
    assert!(refused > 0);
    standin.close().await;
}

#[tokio::test]
async fn put_down() {
    let (standin, store) = standin().await;
    create(&store, "before").await.unwrap();
    standin.set_faults(KvFaults {
        down: true,
        ..KvFaults::default()
    });
    let failed = create(&store, "key").await;
    assert!(matches!(failed, Err(StoreError::Ambiguous { .. })), "{failed:?}");
    let failed = store.get("before").await;
    assert!(
        matches!(failed, Err(StoreError::Unavailable { .. })),
        "{failed:?}"
    );
    standin.set_faults(KvFaults::default());
    let again = async {
        while create(&store, "key").await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, again)
        .await
        .expect("the client finds the service again");
    standin.close().await;
}

#[tokio::test]
async fn get_slow() {
    let (standin, store) = standin().await;
    standin.set_faults(KvFaults {
        delay_ms: 60_000,
        ..KvFaults::default()
    });
    let slow = timeout(PATIENCE, store.get("key"))
        .await
        .expect("the call ends in time");
    assert!(matches!(slow, Err(StoreError::Unavailable { .. })), "{slow:?}");
    standin.close().await;
}

#[tokio::test]
async fn get_first_address_dead() {
    let standin = KvStandin::start(KvOptions::default()).await.unwrap();
    let store = EtcdKeyValue::new(&[dead_address().await, address(&standin)]).unwrap();
    for number in 0..10 {
        create(&store, &format!("key-{number}")).await.unwrap();
    }
    assert!(store.get("key-9").await.unwrap().is_some());
    standin.close().await;
}

#[tokio::test]
async fn watch_broken() {
    let (standin, store) = standin().await;
    let mut watch = store.watch("key").await.unwrap();
    standin.set_faults(KvFaults {
        break_watches: true,
        ..KvFaults::default()
    });
    let ended = async { while watch.recv().await.is_some() {} };
    timeout(PATIENCE, ended).await.expect("the watch ends");
    let mut watch = store.watch("key").await.unwrap();
    create(&store, "key").await.unwrap();
    let changed = async {
        loop {
            if let Some(WatchEvent::Changed(entry)) = watch.recv().await {
                return entry.expect("the key was created");
            }
        }
    };
    let entry = timeout(PATIENCE, changed)
        .await
        .expect("the new watch reports the change");
    assert_eq!(entry.key, "key");
    standin.close().await;
}

#[test]
fn breaker_pauses() {
    let mut breaker = Breaker::default();
    let mut now = Instant::now();
    let mut last_pause = Duration::ZERO;
    for trial in 0..12 {
        // Two calls go through before the first pause; after that a single one does at a time.
        while breaker.admit(now).is_ok() {
            breaker.report(false, now);
        }
        let pause = breaker.admit(now).unwrap_err();
        assert!(pause <= Duration::from_secs(2), "trial {trial}: {pause:?}");
        if trial < 4 {
            assert!(
                pause * 2 > last_pause,
                "trial {trial}: {pause:?} after {last_pause:?}"
            );
        }
        last_pause = pause;
        now += pause;
    }
    assert!(last_pause >= Duration::from_secs(1));
    assert_eq!(breaker.admit(now), Ok(()));
    assert!(breaker.admit(now).is_err(), "a second call during a trial");
    breaker.report(true, now);
    assert_eq!(breaker.admit(now), Ok(()));
    assert_eq!(breaker.admit(now), Ok(()));
}

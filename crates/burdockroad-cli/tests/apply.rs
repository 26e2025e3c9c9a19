//! Tests of concurrent document changes, with a store that loses requests and responses.

use burdockroad_cli::{
    CliError, Exit,
    apply::{Base, history, history_versions},
};
use burdockroad_daemon::platform::{Fault, MemoryKeyValue};

fn document_text(burst: u32) -> String {
    format!(
        r#"{{ "sites": [], "routes": [], "endpoint_sets": [],
            "accounts": [{{ "id": "a", "rate_per_s": 1, "burst": {burst} }}] }}"#
    )
}

async fn stored_burst(store: &MemoryKeyValue) -> (u64, u32) {
    let stored = Base::read(store).await.expect("the store is available").versioned;
    let account = stored.document.accounts.first();
    (stored.version, account.map_or(0, |account| account.burst))
}

async fn apply(store: &MemoryKeyValue, base: &Base, burst: u32) -> Result<u64, CliError> {
    let applied = base.apply(store, document_text(burst), "test").await;
    applied.map(|applied| applied.version)
}

/// Faults of the store during one change, and the expected result.
///
/// Each fault applies to one write, retries included. The change writes the history first, then the
/// document.
struct Case {
    faults: &'static [Fault],
    exit: Exit,
    stored: (u64, u32),
}

#[tokio::test(start_paused = true)]
async fn apply_faults() {
    use Fault::{None, Refused, ReplyLost, RequestLost};
    let cases = [
        Case {
            faults: &[None, None],
            exit: Exit::Done,
            stored: (2, 2),
        },
        Case {
            faults: &[None, ReplyLost],
            exit: Exit::Done,
            stored: (2, 2),
        },
        Case {
            faults: &[ReplyLost, RequestLost, ReplyLost, RequestLost],
            exit: Exit::Done,
            stored: (2, 2),
        },
        Case {
            faults: &[None, Refused],
            exit: Exit::Unavailable,
            stored: (1, 1),
        },
        Case {
            faults: &[Refused],
            exit: Exit::Unavailable,
            stored: (1, 1),
        },
        // After a lost response, a refused write does not show whether the first write took effect.
        Case {
            faults: &[None, ReplyLost, Refused, Refused],
            exit: Exit::Done,
            stored: (2, 2),
        },
        Case {
            faults: &[
                None, ReplyLost, Refused, Refused, Refused, Refused, Refused, Refused, Refused, Refused,
                Refused, Refused, Refused,
            ],
            exit: Exit::Unknown,
            stored: (2, 2),
        },
    ];
    for case in cases {
        let store = MemoryKeyValue::new();
        let base = Base::read(&store).await.expect("the store is available");
        apply(&store, &base, 1).await.expect("the store has no faults");
        let client = store.client();
        let base = Base::read(&client).await.expect("the store is available");
        client.script(case.faults.iter().copied());
        let result = apply(&client, &base, 2).await;
        let exit = result.as_ref().map_or_else(CliError::exit, |_| Exit::Done);
        assert_eq!(exit, case.exit, "{:?} {result:?}", case.faults);
        assert_eq!(stored_burst(&store).await, case.stored, "{:?}", case.faults);
    }
}

#[tokio::test(start_paused = true)]
async fn apply_two_operators() {
    let store = MemoryKeyValue::new();
    let (first, second) = (store.client(), store.client());
    let base = Base::read(&first).await.expect("the store is available");
    let (one, two) = tokio::join!(apply(&first, &base, 1), apply(&second, &base, 2));
    let succeeded = [one.is_ok(), two.is_ok()];
    assert_eq!(
        succeeded.iter().filter(|&&succeeded| succeeded).count(),
        1,
        "{one:?} {two:?}"
    );
    let loser = one.err().or(two.err()).expect("one of the changes is refused");
    let CliError::Superseded {
        expected: 0,
        found: 1,
        changes,
    } = loser
    else {
        panic!("{loser:?}");
    };
    assert_eq!(changes[0].path, "accounts.a");
}

/// The response to the first operator's write is lost, and a second operator replaces the written version
/// before the first one retries. The first operator must still report success.
#[tokio::test(start_paused = true)]
async fn apply_lost_reply_then_replaced() {
    let store = MemoryKeyValue::new();
    let base = Base::read(&store).await.expect("the store is available");
    apply(&store, &base, 1).await.expect("the store has no faults");
    let first = store.client();
    let base = Base::read(&first).await.expect("the store is available");
    first.script([Fault::None, Fault::ReplyLost]);
    let second = async {
        while stored_burst(&store).await.0 < 2 {
            tokio::task::yield_now().await;
        }
        let base = Base::read(&store).await.expect("the store is available");
        apply(&store, &base, 3).await
    };
    let (first, second) = tokio::join!(apply(&first, &base, 2), second);
    assert_eq!((first.ok(), second.ok()), (Some(2), Some(3)));
    assert_eq!(stored_burst(&store).await, (3, 3));
}

#[tokio::test]
async fn apply_retains_history() {
    let store = MemoryKeyValue::new();
    for burst in 1..=70 {
        let base = Base::read(&store).await.expect("the store is available");
        apply(&store, &base, burst)
            .await
            .expect("the store has no faults");
    }
    let versions = history_versions(&store).await.expect("the store is available");
    assert_eq!(versions, (6..=69).collect::<Vec<_>>());
    let archived = history(&store, 69).await.expect("the store is available");
    let archived = archived.expect("the history contains the version").document;
    assert_eq!(archived.accounts[0].burst, 69);
    assert!(
        history(&store, 5)
            .await
            .expect("the store is available")
            .is_none()
    );
}

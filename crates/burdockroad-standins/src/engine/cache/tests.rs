//! Tests of the eviction order.

use std::time::Duration;

use tokio::time::Instant;

use crate::engine::{
    cache::{Cache, EventLog},
    text::{Prompt, PromptPart},
};

/// Cache operation on a program whose prefix has four tokens.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Store(&'static str),
    LookUp(&'static str),
    Free(&'static str),
}

#[test]
fn store_evicts_least_recently_used() {
    use Operation::{Free, LookUp, Store};
    // Operations on a cache with room for two programs, and the programs cached afterwards.
    let cases: &[(&[Operation], &[&str])] = &[
        (&[Store("a"), Store("b")], &["a", "b"]),
        (&[Store("a"), Store("b"), Store("c")], &["b", "c"]),
        (&[Store("a"), Store("b"), Store("a"), Store("c")], &["a", "c"]),
        (&[Store("a"), Store("b"), LookUp("a"), Store("c")], &["a", "c"]),
        (
            &[Store("a"), Store("b"), LookUp("a"), LookUp("b"), Store("c")],
            &["b", "c"],
        ),
        (&[Store("a"), Store("b"), Free("a"), Store("c")], &["b", "c"]),
        (
            &[
                Store("a"),
                LookUp("a"),
                LookUp("a"),
                Store("b"),
                LookUp("a"),
                Store("c"),
            ],
            &["a", "c"],
        ),
        (&[Free("a"), LookUp("a")], &[]),
    ];
    for (uses, expected) in cases {
        let mut cache = Cache::new(8, EventLog::new(Duration::ZERO, 0.0, 0));
        for operation in *uses {
            apply(&mut cache, *operation);
        }
        let cached: Vec<_> = cache
            .cached_prefixes()
            .into_iter()
            .map(|program| program.program_id)
            .collect();
        assert_eq!(cached, *expected, "{uses:?}");
        assert_eq!(cache.used_tokens(), 4 * expected.len() as u64, "{uses:?}");
    }
}

fn apply(cache: &mut Cache, operation: Operation) {
    let now = Instant::now();
    let prompt = Prompt {
        parts: vec![PromptPart::new("user", "four tokens here")],
    };
    match operation {
        Operation::Store(program_id) => assert_eq!(cache.store(program_id, prompt, now), Ok(())),
        Operation::LookUp(program_id) => {
            cache.lookup(program_id, &prompt);
        }
        Operation::Free(program_id) => cache.free(program_id, now),
    }
}

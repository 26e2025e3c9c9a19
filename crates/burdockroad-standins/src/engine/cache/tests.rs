//! Tests of what makes room for what.

use std::time::Duration;

use tokio::time::Instant;

use crate::engine::{
    cache::{Cache, EventLog},
    text::{Prompt, PromptPart},
};

/// What is done with a program of four tokens.
#[derive(Clone, Copy, Debug)]
enum Use {
    Hold(&'static str),
    LookUp(&'static str),
    Free(&'static str),
}

#[test]
fn hold_least_recently_used() {
    use Use::{Free, Hold, LookUp};
    // Uses of a cache with room for two programs, then the programs that are held.
    let cases: &[(&[Use], &[&str])] = &[
        (&[Hold("a"), Hold("b")], &["a", "b"]),
        (&[Hold("a"), Hold("b"), Hold("c")], &["b", "c"]),
        (&[Hold("a"), Hold("b"), Hold("a"), Hold("c")], &["a", "c"]),
        (&[Hold("a"), Hold("b"), LookUp("a"), Hold("c")], &["a", "c"]),
        (
            &[Hold("a"), Hold("b"), LookUp("a"), LookUp("b"), Hold("c")],
            &["b", "c"],
        ),
        (&[Hold("a"), Hold("b"), Free("a"), Hold("c")], &["b", "c"]),
        (
            &[
                Hold("a"),
                LookUp("a"),
                LookUp("a"),
                Hold("b"),
                LookUp("a"),
                Hold("c"),
            ],
            &["a", "c"],
        ),
        (&[Free("a"), LookUp("a")], &[]),
    ];
    for (uses, expected) in cases {
        let mut cache = Cache::new(8, EventLog::new(Duration::ZERO, 0.0, 0));
        for step in *uses {
            apply(&mut cache, *step);
        }
        let held: Vec<_> = cache
            .held()
            .into_iter()
            .map(|program| program.program_id)
            .collect();
        assert_eq!(held, *expected, "{uses:?}");
        assert_eq!(cache.used_tokens(), 4 * expected.len() as u64, "{uses:?}");
    }
}

fn apply(cache: &mut Cache, step: Use) {
    let now = Instant::now();
    let prompt = Prompt {
        parts: vec![PromptPart::new("user", "four tokens here")],
    };
    match step {
        Use::Hold(program_id) => assert_eq!(cache.hold(program_id, prompt, now), Ok(())),
        Use::LookUp(program_id) => {
            cache.look_up(program_id, &prompt);
        }
        Use::Free(program_id) => cache.free(program_id, now),
    }
}

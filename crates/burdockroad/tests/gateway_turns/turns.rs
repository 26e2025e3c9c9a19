//! Turns of one conversation for the tests of turns.

use burdockroad::gateway::{Turn, TurnKey};
use bytes::Bytes;

pub(crate) fn key(turn: &str) -> TurnKey {
    TurnKey {
        account: "account".to_owned(),
        turn: turn.to_owned(),
    }
}

pub(crate) fn turn(id: &str, previous: Option<&str>, input: &[u8], output: &[u8]) -> Turn {
    Turn {
        key: key(id),
        previous: previous.map(str::to_owned),
        root: "root".to_owned(),
        home_domain: "a".to_owned(),
        expires_unix_ms: 1000,
        stored_until_unix_ms: 2000,
        allowed_regions: None,
        input: Bytes::copy_from_slice(input),
        output: Bytes::copy_from_slice(output),
    }
}

//! Prompts, cache, renewals and index of the turns of conversations that the system keeps.

#[path = "gateway_turns/turns.rs"]
mod turns;

use std::sync::Arc;

use burdockroad::gateway::{
    EventBuffer, HostLocation, IndexedTurn, OutputCollector, RegionMap, Turn, TurnCache, TurnCopy, TurnIndex,
    TurnKey, missing_replicas, prompt, renewals,
};
use bytes::Bytes;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

use self::turns::{key, turn};

/// One turn of a random conversation: the turn it continues, its input and the data of its events.
#[derive(Clone, Debug)]
struct RandomTurn {
    continues: prop::sample::Index,
    is_first: bool,
    input: Vec<u8>,
    events: Vec<Vec<u8>>,
}

fn random_turn() -> impl Strategy<Value = RandomTurn> {
    let data = prop::collection::vec(
        any::<u8>().prop_filter("no line break", |byte| !b"\r\n".contains(byte)),
        0..40,
    );
    let fields = (
        any::<prop::sample::Index>(),
        prop::bool::weighted(0.2),
        prop::collection::vec(any::<u8>(), 0..60),
        prop::collection::vec(data, 0..5),
    );
    fields.prop_map(|(continues, is_first, input, events)| RandomTurn {
        continues,
        is_first,
        input,
        events,
    })
}

/// Returns the event stream of a turn.
fn stream_of(events: &[Vec<u8>]) -> Vec<u8> {
    let mut stream = Vec::new();
    for (number, data) in events.iter().enumerate() {
        stream.extend_from_slice(format!("id: {}\ndata: ", number + 1).as_bytes());
        stream.extend_from_slice(data);
        stream.extend_from_slice(b"\n\n");
    }
    stream
}

/// Collects the output of a stream that arrives in chunks of a size.
fn collect_output(stream: &[u8], chunk_bytes: usize) -> Bytes {
    let mut events = EventBuffer::after(None);
    let mut output = OutputCollector::default();
    for chunk in stream.chunks(chunk_bytes) {
        output.push(&events.push(chunk));
    }
    assert_eq!(events.check_end(true), Ok(()));
    output.finish()
}

proptest! {
    /// In a random tree of turns, the prompt of each turn is what its ancestors' inputs and events add up to,
    /// however the events were cut into chunks.
    #[test]
    fn prompt_for_any_tree_of_turns_is_rebuilt_byte_for_byte(
        conversation in prop::collection::vec(random_turn(), 1..24),
        chunk_bytes in 1_usize..50,
    ) {
        let mut cache = TurnCache::new(1 << 20);
        let mut histories: Vec<Vec<u8>> = Vec::new();
        for (number, random) in conversation.iter().enumerate() {
            let previous = (number > 0 && !random.is_first).then(|| random.continues.index(number));
            let mut expected = previous.map_or_else(Vec::new, |previous| histories[previous].clone());
            let chain = previous.map_or_else(Vec::new, |previous| {
                let mut newest_first = cache.newest_of_chain(&key(&previous.to_string()));
                newest_first.reverse();
                newest_first
            });
            expected.extend_from_slice(&random.input);
            prop_assert_eq!(&*prompt(&chain, &random.input), &*expected);
            for data in &random.events {
                expected.extend_from_slice(data);
                expected.push(b'\n');
            }
            histories.push(expected);
            let output = collect_output(&stream_of(&random.events), chunk_bytes);
            let previous = previous.map(|previous| previous.to_string());
            let ended = turn(&number.to_string(), previous.as_deref(), &random.input, &output);
            cache.insert(Arc::new(ended));
        }
    }

    #[test]
    fn turn_cache_for_any_turns_stays_within_its_capacity(sizes in prop::collection::vec(0_usize..3000, 1..60)) {
        let mut cache = TurnCache::new(8000);
        for (number, size) in sizes.iter().enumerate() {
            cache.insert(Arc::new(turn(&number.to_string(), None, &vec![0; *size], b"")));
            prop_assert!(cache.used_bytes() <= 8000);
        }
    }
}

#[test]
fn output_of_events_with_other_fields_contains_only_their_data() {
    let mut output = OutputCollector::default();
    output.push(
        b"burdockroad-weight-versions: 3\nid: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata:b\r\ndata: c\r\n\r\n",
    );
    output.push(b"id: 3\ndata:\n\nid: 4\ndata: last");
    assert_eq!(output.finish(), "a\nb\nc\n\nlast\n");
}

#[test]
fn newest_of_chain_after_eviction_returns_the_turns_up_to_the_gap() {
    let mut cache = TurnCache::new(2600);
    cache.insert(Arc::new(turn("1", None, &[0; 400], b"")));
    cache.insert(Arc::new(turn("2", Some("1"), &[0; 400], b"")));
    cache.insert(Arc::new(turn("3", Some("2"), &[0; 400], b"")));
    assert_eq!(cache.newest_of_chain(&key("3")).len(), 3);
    cache.insert(Arc::new(turn("other", None, &[0; 400], b"")));
    let newest = cache.newest_of_chain(&key("3"));
    let ids: Vec<&str> = newest.iter().map(|turn| turn.key.turn.as_str()).collect();
    assert_eq!(ids, ["3", "2"]);
    let other_account = TurnKey {
        account: "another".to_owned(),
        turn: "3".to_owned(),
    };
    assert!(cache.newest_of_chain(&other_account).is_empty());
}

#[test]
fn renewals_of_a_long_conversation_are_the_turns_that_would_be_removed_first() {
    let old = Arc::new(turn("1", None, b"a", b"b"));
    let newest = Turn {
        expires_unix_ms: 2001,
        ..turn("2", Some("1"), b"", b"")
    };
    let renewed = renewals(&[Arc::clone(&old)], &newest, 1900, 2000);
    assert_eq!(renewed.len(), 1);
    assert_eq!(renewed[0].stored_until_unix_ms, 3900);
    assert_eq!(renewed[0].expires_unix_ms, old.expires_unix_ms);
    let short = turn("2", Some("1"), b"", b"");
    assert!(renewals(&[old], &short, 500, 2000).is_empty());
}

#[test]
fn turn_index_lists_stored_turns_until_their_storage_time_has_passed() {
    let mut index = TurnIndex::default();
    index.insert(&turn("1", None, b"", b""), 10);
    index.insert(&turn("2", Some("1"), b"", b""), 20);
    index.insert(&turn("1", None, b"", b""), 30);
    assert_eq!(index.location(&key("1")), Some(10));
    let page = index.page(0, 1);
    assert_eq!(page.turns[0].key, key("1"));
    assert_eq!(index.page(page.next, 10).turns[0].key, key("2"));
    assert!(index.page(2, 10).turns.is_empty());
    let renewed = Turn {
        stored_until_unix_ms: 3000,
        ..turn("1", None, b"", b"")
    };
    index.insert(&renewed, 40);
    assert_eq!(index.location(&key("1")), Some(40));
    index.remove_expired(2000);
    assert_eq!(index.len(), 1);
    assert!(index.contains(&key("1")));
    assert_eq!(index.page(0, 10).turns.len(), 1);
}

/// Guards against a chain that is lost early: a turn that was stored again is copied to hosts that have a copy for a shorter time, by
/// listings and when its host is removed.
#[test]
fn turn_that_was_renewed_is_missing_where_an_older_copy_lies() {
    let renewed = Turn {
        stored_until_unix_ms: 3000,
        ..turn("1", None, b"", b"")
    };
    let mut index = TurnIndex::default();
    index.insert(&turn("1", None, b"", b""), 10);
    let mut renewed_index = TurnIndex::default();
    renewed_index.insert(&renewed, 10);
    let listed = renewed_index.page(0, 10).turns;
    let hosts = [HostLocation {
        host: "h".to_owned(),
        failure_domain: "a".to_owned(),
    }];
    let missing_at = |index: &TurnIndex<i32>| {
        let host = "h".to_owned();
        let is_stored = |turn: &IndexedTurn| index.outlasts(&turn.copy());
        missing_replicas(&host, &listed, 2, &hosts, &RegionMap::default(), is_stored).len()
    };
    assert_eq!(missing_at(&index), 1);
    index.insert(&renewed, 20);
    assert_eq!(missing_at(&index), 0);
    assert!(renewed_index.outlasts(&index.page(0, 10).turns[0].copy()));
}

/// Hosts of two versions run side by side. The earlier one knows the names of turns alone.
#[test]
fn copy_of_a_turn_is_read_as_its_name_and_a_name_as_a_copy_of_unknown_time() {
    let copy = TurnCopy {
        account: "account".to_owned(),
        turn: "1".to_owned(),
        stored_until_unix_ms: 3000,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&copy, &mut bytes).expect("an encoded copy");
    let name: TurnKey = ciborium::from_reader(&*bytes).expect("a name");
    assert_eq!(name, copy.key());
    bytes.clear();
    ciborium::into_writer(&name, &mut bytes).expect("an encoded name");
    let copy: TurnCopy = ciborium::from_reader(&*bytes).expect("a copy");
    assert_eq!(copy.stored_until_unix_ms, 0);
    let mut index = TurnIndex::default();
    index.insert(&turn("1", None, b"", b""), 10);
    assert!(index.outlasts(&copy));
}

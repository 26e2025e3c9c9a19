//! Events of streams that callers take up: what holders hold, and which of them a caller has received.

use std::time::{Duration, Instant};

use burdockroad::gateway::{
    RelayedStreams, StreamAttempt, StreamCall, StreamLookup, StreamPart, TurnKey, UnknownEvents,
};
use bytes::Bytes;

const LIFETIME: Duration = Duration::from_secs(4);

/// Longest contents of one stream that a holder takes.
const STREAM_MAX_BYTES: usize = 2 << 20;

/// Bytes of a table in which one stream does not fill all room.
const TABLE_BYTES: usize = 3 << 20;

fn call() -> StreamCall {
    StreamCall::new("route", None, b"question")
}

fn events(data: &[&'static str]) -> Vec<Bytes> {
    data.iter().copied().map(Bytes::from).collect()
}

fn attempt(id: &str, order: u32, data: &[&'static str]) -> StreamAttempt {
    StreamAttempt {
        id: id.to_owned(),
        order,
        call: call(),
        events: events(data),
    }
}

fn stream(account: &str, turn: &str) -> TurnKey {
    TurnKey {
        account: account.to_owned(),
        turn: turn.to_owned(),
    }
}

fn part(attempt: StreamAttempt, from: usize) -> StreamPart {
    StreamPart {
        stream: stream("account", "c1"),
        attempt,
        from,
        lifetime: LIFETIME,
    }
}

fn lookup(attempts: Vec<StreamAttempt>) -> StreamLookup {
    let mut lookup = StreamLookup::default();
    lookup.add(attempts);
    lookup
}

/// Returns the events that a caller has received, all holders having answered.
fn received(attempts: Vec<StreamAttempt>, last_event: usize) -> Result<Vec<Bytes>, UnknownEvents> {
    let received = lookup(attempts).received(&call(), last_event, true)?;
    assert_eq!(received.stream, "c1");
    Ok(received.events)
}

#[test]
fn append_adds_only_what_follows() {
    let now = Instant::now();
    let mut streams = RelayedStreams::new(TABLE_BYTES);
    assert_eq!(streams.append(part(attempt("c1", 0, &["a"]), 0), now), 1);
    assert_eq!(streams.append(part(attempt("c1", 0, &["c"]), 2), now), 1);
    assert_eq!(streams.append(part(attempt("c1", 0, &["b"]), 1), now), 2);
    // A copy that is sent again changes nothing.
    assert_eq!(streams.append(part(attempt("c1", 0, &["b"]), 1), now), 2);
    // A holder that does not have the beginning holds nothing.
    assert_eq!(streams.append(part(attempt("c2", 1, &["d"]), 3), now), 0);
    let held = streams.attempts(&stream("account", "c1"), now);
    assert_eq!(held, [attempt("c1", 0, &["a", "b"])]);
}

/// Guards against events of another call under an id that was used before.
#[test]
fn append_for_another_call_is_refused() {
    let now = Instant::now();
    let mut streams = RelayedStreams::new(TABLE_BYTES);
    streams.append(part(attempt("c1", 0, &["a"]), 0), now);
    let mut other = attempt("c1", 0, &["b"]);
    other.call = StreamCall::new("route", None, b"other question");
    assert_eq!(streams.append(part(other, 1), now), 0);
    assert_eq!(
        streams.attempts(&stream("account", "c1"), now),
        [attempt("c1", 0, &["a"])]
    );
}

#[test]
fn attempts_of_a_stream_are_found_by_each_of_its_attempts() {
    let now = Instant::now();
    let mut streams = RelayedStreams::new(TABLE_BYTES);
    let begin = attempt("c1", 0, &["a"]);
    let again = attempt("c2", 1, &["a", "b"]);
    streams.append(part(begin.clone(), 0), now);
    streams.append(part(again.clone(), 0), now);
    for name in ["c1", "c2"] {
        let held = streams.attempts(&stream("account", name), now);
        assert_eq!(held, [begin.clone(), again.clone()]);
        assert!(streams.attempts(&stream("other", name), now).is_empty());
    }
    assert!(streams.attempts(&stream("account", "c3"), now).is_empty());
}

/// Guards against events that are held without end.
#[test]
fn attempts_after_the_lifetime_are_gone() {
    let now = Instant::now();
    let mut streams = RelayedStreams::new(TABLE_BYTES);
    streams.append(part(attempt("c1", 0, &["a"]), 0), now);
    let later = now + LIFETIME / 2;
    streams.append(part(attempt("c1", 0, &["b"]), 1), later);
    assert_eq!(
        streams.attempts(&stream("account", "c1"), now + LIFETIME).len(),
        1
    );
    let expired = later + LIFETIME;
    assert!(streams.attempts(&stream("account", "c1"), expired).is_empty());
    streams.evict_expired(expired);
    assert_eq!(streams.used_bytes(), 0);
}

/// Guards against memory that grows with the streams, or with one of them.
#[test]
fn append_without_room_holds_nothing_more() {
    let now = Instant::now();
    let mut streams = RelayedStreams::new(TABLE_BYTES);
    let large = |id: &str| {
        let mut large = attempt(id, 0, &[]);
        large.events = vec![Bytes::from(vec![b'x'; STREAM_MAX_BYTES / 2])];
        large
    };
    assert_eq!(streams.append(part(large("c1"), 0), now), 1);
    // One stream takes no more than its part of the room.
    assert_eq!(streams.append(part(large("c1"), 1), now), 1);
    for number in 0..8 {
        let mut other = part(large("d"), 0);
        other.stream = stream("account", &format!("d{number}"));
        streams.append(other, now);
        assert!(streams.used_bytes() <= TABLE_BYTES);
    }
    // There is room again when the streams can no longer be taken up.
    let mut other = part(large("e"), 0);
    other.stream = stream("account", "e");
    assert_eq!(streams.append(other, now + LIFETIME), 1);
}

#[test]
fn received_events_end_with_the_last_one_of_the_caller() {
    let begin = attempt("c1", 0, &["a", "b", "c"]);
    assert_eq!(received(vec![begin.clone()], 2), Ok(events(&["a", "b"])));
    assert_eq!(received(vec![begin], 4), Err(UnknownEvents::TooFew));
    assert_eq!(received(Vec::new(), 1), Err(UnknownEvents::NotHeld));
}

/// Guards against events of an attempt that the caller had left when it received others in their place.
#[test]
fn received_events_are_those_of_the_latest_attempt() {
    let begin = attempt("c1", 0, &["a", "b", "c", "d", "e"]);
    let again = attempt("c2", 1, &["a", "b", "C", "D"]);
    let both = vec![begin, again];
    assert_eq!(received(both.clone(), 4), Ok(events(&["a", "b", "C", "D"])));
    // The later attempt may have relayed the fifth event at a holder that has not answered.
    assert_eq!(
        lookup(both.clone()).received(&call(), 5, false),
        Err(UnknownEvents::TooFew)
    );
    // It has relayed fewer, so the caller has received the event before.
    assert_eq!(received(both, 5), Ok(events(&["a", "b", "c", "d", "e"])));
}

#[test]
fn received_events_are_put_together_from_several_holders() {
    let mut lookup = lookup(vec![attempt("c1", 0, &["a"])]);
    lookup.add(vec![attempt("c1", 0, &["a", "b"])]);
    lookup.add(vec![attempt("c1", 0, &["a"])]);
    let received = lookup.received(&call(), 2, false).expect("the events");
    assert_eq!(received.events, events(&["a", "b"]));
    assert_eq!(received.attempts, 1);
}

/// Guards against a guess when two attempts took a stream up at the same time.
#[test]
fn received_events_of_two_attempts_at_once_are_ambiguous_unless_equal() {
    let begin = attempt("c1", 0, &["a"]);
    let one = attempt("c2", 1, &["a", "b"]);
    let equal = attempt("c3", 1, &["a", "b", "c"]);
    let other = attempt("c4", 1, &["a", "B"]);
    assert_eq!(
        received(vec![begin.clone(), one.clone(), equal], 2),
        Ok(events(&["a", "b"]))
    );
    assert_eq!(
        received(vec![begin, one, other], 2),
        Err(UnknownEvents::Ambiguous)
    );
}

/// Guards against a wrong route, input or previous turn in a history.
#[test]
fn received_events_of_another_call_are_unknown() {
    let others = [
        StreamCall::new("other", None, b"question"),
        StreamCall::new("route", Some("c0"), b"question"),
        StreamCall::new("route", None, b"other question"),
    ];
    for other in others {
        let received = lookup(vec![attempt("c1", 0, &["a"])]).received(&other, 1, true);
        assert_eq!(received, Err(UnknownEvents::OtherCall));
    }
}

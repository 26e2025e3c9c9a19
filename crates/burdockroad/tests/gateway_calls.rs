//! Lookup of routes and accounts, and splitting of streams into events.

use std::time::Duration;

use burdockroad::gateway::{
    Account, AccountLookup, Directory, Document, EventBuffer, ForeignBytes, Route, RouteKind, Target,
    Truncation,
};

fn route(prefix: &str, public: bool) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: "service".to_owned(),
            weight: 1,
        }],
        endpoints_max: 1,
        public,
        retention: Duration::ZERO,
        keeps_turns: false,
        sticky: false,
        allowed_regions: None,
    }
}

fn directory() -> Directory {
    Directory::new(Document {
        version: 3,
        routes: vec![route("/", false), route("/a/", false), route("/a/b/", true)],
        accounts: Some(vec![Account {
            name: "account".to_owned(),
            keys: vec!["key".to_owned()],
            priority: None,
            rate_per_s: 0.0,
            burst: 0.0,
            allowed_regions: None,
        }]),
        ..Document::default()
    })
}

#[test]
fn route_selects_longest_prefix() {
    let directory = directory();
    let found = |path| {
        directory
            .route("Host.Example:80", path)
            .map(|route| route.prefix.as_str())
    };
    assert_eq!(found("/a/b/c"), Some("/a/b/"));
    assert_eq!(found("/a/bc"), Some("/a/"));
    assert_eq!(found("/x"), Some("/"));
    assert!(directory.route("other.example", "/a/").is_none());
}

#[test]
fn account_requires_valid_key_unless_route_is_public() {
    let directory = directory();
    let private = directory.route("host.example", "/a/").expect("a route");
    let public = directory.route("host.example", "/a/b/").expect("a route");
    assert!(matches!(
        directory.account(private, Some("key")),
        AccountLookup::Account(_)
    ));
    assert!(matches!(
        directory.account(private, Some("no")),
        AccountLookup::Unknown
    ));
    assert!(matches!(directory.account(private, None), AccountLookup::Unknown));
    assert!(matches!(
        directory.account(public, None),
        AccountLookup::Anonymous
    ));
}

#[test]
fn push_returns_complete_events_for_any_chunk_size() {
    let text = b"id: 1\ndata: a\n\nweight: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
    for size in 1..text.len() {
        let mut buffer = EventBuffer::after(None);
        let mut returned = Vec::new();
        for chunk in text.chunks(size) {
            returned.extend_from_slice(&buffer.push(chunk));
        }
        assert_eq!(returned, text, "in chunks of {size} bytes");
        assert_eq!(buffer.last_id(), Some(3));
        assert_eq!(buffer.released(), 3);
    }
}

#[test]
fn push_after_discard_resumes_at_event_boundary() {
    let mut buffer = EventBuffer::after(None);
    let first = buffer.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(buffer.check_end(true), Err(Truncation::InsideEvent));
    buffer.begin_response();
    // The endpoint that resumes the stream repeats an event that was already returned.
    let second = buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!([first, second].concat(), b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

#[test]
fn check_end_inside_event_is_truncated_for_any_framing() {
    let text = b"id: 5\ndata: a\n\nid: 6\r\ndata: b\r\n\r\n";
    let boundaries = [15, text.len()];
    for length in 1..=text.len() {
        let mut buffer = EventBuffer::after(Some(4));
        buffer.push(&text[..length]);
        let expected = if boundaries.contains(&length) {
            Ok(())
        } else {
            Err(Truncation::InsideEvent)
        };
        assert_eq!(buffer.check_end(true), expected, "after {length} bytes");
        assert_eq!(buffer.check_end(false), expected, "after {length} bytes");
    }
}

#[test]
fn check_end_without_events_is_truncated_unless_delimited_or_resumed() {
    let new_stream = EventBuffer::after(None);
    assert_eq!(new_stream.check_end(true), Ok(()));
    assert_eq!(new_stream.check_end(false), Err(Truncation::BeforeFirstEvent));
    let resumed_stream = EventBuffer::after(Some(6));
    assert_eq!(resumed_stream.check_end(true), Ok(()));
    assert_eq!(resumed_stream.check_end(false), Err(Truncation::BeforeFirstEvent));
}

#[test]
fn check_end_after_repeated_events_is_truncated_before_the_last_id() {
    let mut buffer = EventBuffer::after(Some(3));
    assert_eq!(buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "");
    assert_eq!(buffer.check_end(true), Err(Truncation::BeforeLastId));
    assert_eq!(buffer.push(b"id: 3\ndata: c\n\n"), "");
    assert_eq!(buffer.check_end(true), Ok(()));
}

/// An error's text or another response's head reached callers in the middle of their streams.
#[test]
fn push_returns_nothing_from_the_first_foreign_bytes_for_any_chunk_size() {
    let foreign: [&[u8]; 10] = [
        b"<p>sorry</p>\n\n",
        b"{\"error\":\"overloaded\"}\n\n",
        b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\n",
        b"id: 2\ndata: HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        b"id: 2\nid: 3\ndata: a\n\n",
        b"id: x\ndata: a\n\n",
        b"data: a\n\n",
        b"burdockroad-weight-versions: 2\n\n",
        b"id: 2\nburdockroad-weight-versions: 2\n\n",
        b"\xff\xfe\n\n",
    ];
    for foreign in foreign {
        let text = [b"id: 1\ndata: a\n\n", foreign, b"id: 2\ndata: b\n\n"].concat();
        for size in 1..text.len() {
            let mut buffer = EventBuffer::after(None);
            let returned: Vec<u8> = text.chunks(size).flat_map(|chunk| buffer.push(chunk)).collect();
            assert_eq!(returned, b"id: 1\ndata: a\n\n", "{}", foreign.escape_ascii());
            assert_eq!(buffer.check_bytes(), Err(ForeignBytes::NoEvent));
        }
    }
}

#[test]
fn push_after_foreign_bytes_resumes_at_event_boundary() {
    let mut buffer = EventBuffer::after(None);
    buffer.push(b"id: 1\ndata: a\n\n<p>sorry</p>\n\n");
    buffer.begin_response();
    assert_eq!(buffer.check_bytes(), Ok(()));
    assert_eq!(buffer.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

#[test]
fn push_of_events_that_do_not_go_on_at_the_next_id() {
    let mut buffer = EventBuffer::after(Some(3));
    assert_eq!(buffer.push(b"id: 5\n\n"), "");
    assert_eq!(buffer.check_bytes(), Err(ForeignBytes::EventsMissing));
    let mut buffer = EventBuffer::after(Some(3));
    assert_eq!(buffer.push(b"id: 4\n\nid: 4\n\n"), "id: 4\n\n");
    assert_eq!(buffer.check_bytes(), Err(ForeignBytes::IdNotIncreasing));
}

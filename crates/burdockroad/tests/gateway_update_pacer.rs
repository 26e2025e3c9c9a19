//! Pace at which a host hands updates on, and the hosts that requesters are sent on to.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use burdockroad::gateway::{TransferId, UpdatePacer, UpdateReply};

const PREFIX: &str = "range/";
const OTHER_PREFIX: &str = "other/";

/// Changes of an endpoint's entry.
const SMALL_UPDATE_BYTES: u32 = 300;

/// Update of just below 16 KiB that does not shrink.
const MIDDLE_UPDATE_BYTES: u32 = (16 << 10) - 1;

/// Compressed configuration of 1,400 routes.
const UPDATE_BYTES: u32 = 30 << 10;

/// Time from the beginning of a transfer until its receiver has applied the update: 8 ms on a link of 30 Mbit/s, and
/// the work of a slow core.
const RECEIVE_TIME: Duration = Duration::from_millis(100);

/// Shortest time that operators allow until all hosts have a configuration.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Bytes that a link of 30 Mbit/s carries in a second.
const LINK_BYTES_PER_S: f64 = 3.75e6;

/// Rate at which a host hands large updates on, 10 Mbit/s.
const PACE_BYTES_PER_S: f64 = 1.25e6;

fn address(number: usize) -> SocketAddr {
    let number = u32::try_from(number).expect("a small number");
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7780))
}

/// What a host does next, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Instant,
    requester: usize,
    asked: usize,
    /// Transfer that waits for its turn; `None` if the requester asks.
    transfer: Option<TransferId>,
}

/// A fleet in which all hosts but the first, which watches the store, ask it for the same update at once.
struct Fleet {
    update_bytes: u32,
    pacers: Vec<UpdatePacer>,
    /// Time at which each host has the update.
    has_update_at: HashMap<usize, Instant>,
    /// Transfers of each host.
    sent: Vec<u32>,
}

impl Fleet {
    /// Lets all hosts fetch the update. Returns the time until the last one has it.
    fn spread(hosts: usize, update_bytes: u32) -> (Self, Duration) {
        let begun_at = Instant::now();
        let mut fleet = Self {
            update_bytes,
            pacers: vec![UpdatePacer::default(); hosts],
            has_update_at: HashMap::from([(0, begun_at)]),
            sent: vec![0; hosts],
        };
        let first_request = |requester| Event {
            at: begun_at,
            requester,
            asked: 0,
            transfer: None,
        };
        let mut events: BinaryHeap<Reverse<Event>> =
            (1..hosts).map(|host| Reverse(first_request(host))).collect();
        while let Some(Reverse(event)) = events.pop() {
            let next = match event.transfer {
                Some(transfer) => fleet.begin(event, transfer),
                None => Some(fleet.ask(event)),
            };
            events.extend(next.map(Reverse));
        }
        let last = fleet.has_update_at.values().max().copied();
        let lasted = last.expect("each host has it") - begun_at;
        (fleet, lasted)
    }

    /// Lets a host ask another one.
    fn ask(&mut self, event: Event) -> Event {
        let Event {
            at: now,
            requester,
            asked,
            ..
        } = event;
        let has_update = self.has_update_at.get(&asked).is_some_and(|at| *at <= now);
        if !has_update {
            return Event {
                at: now + Duration::from_millis(20),
                asked: 0,
                ..event
            };
        }
        let reply = self.pacers[asked].decide(
            PREFIX,
            7,
            self.update_bytes as usize,
            Some(address(requester)),
            now,
        );
        match reply {
            UpdateReply::Send { transfer, wait } => Event {
                at: now + wait,
                transfer: Some(transfer),
                ..event
            },
            UpdateReply::Later { wait, holder } => {
                let mut holders = 0..self.pacers.len();
                let next = holder.and_then(|holder| holders.find(|host| address(*host) == holder));
                Event {
                    at: now + wait.max(Duration::from_millis(1)),
                    asked: next.unwrap_or(asked),
                    ..event
                }
            }
        }
    }

    /// Begins a transfer if it is its turn. Returns when it asks again otherwise.
    fn begin(&mut self, event: Event, transfer: TransferId) -> Option<Event> {
        if let Some(wait) = self.pacers[event.asked].begin(transfer, event.at) {
            let at = event.at + wait;
            return Some(Event { at, ..event });
        }
        self.sent[event.asked] += 1;
        self.has_update_at
            .insert(event.requester, event.at + RECEIVE_TIME);
        None
    }
}

/// Returns the transfer and the wait of an update that is sent.
fn sent(reply: UpdateReply) -> (TransferId, Duration) {
    let UpdateReply::Send { transfer, wait } = reply else {
        panic!("expected a transfer: {reply:?}");
    };
    (transfer, wait)
}

/// Guards against a link that carries nothing but updates, and against hosts that route by an old configuration.
#[test]
fn spread_of_update_is_in_time_and_leaves_most_of_each_link() {
    for update_bytes in [SMALL_UPDATE_BYTES, MIDDLE_UPDATE_BYTES, UPDATE_BYTES] {
        for hosts in [57, 171, 2571] {
            let (fleet, lasted) = Fleet::spread(hosts, update_bytes);
            let seen = format!("{update_bytes} bytes, {hosts} hosts: {lasted:?}");
            assert_eq!(fleet.has_update_at.len(), hosts, "{seen}");
            assert!(lasted < APPLY_TIME, "{seen}");
            let most_sent_bytes = fleet.sent.iter().max().expect("hosts") * update_bytes;
            let link_bytes = lasted.as_secs_f64() * LINK_BYTES_PER_S;
            assert!(
                f64::from(most_sent_bytes) <= link_bytes / 2.0,
                "{seen}, {most_sent_bytes} bytes from one host"
            );
        }
    }
}

/// Guards against changes of endpoints that wait until a configuration is handed on.
#[test]
fn decide_lets_small_updates_go_before_large_ones_which_make_room() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::default();
    let large = (0..6).map(|host| pacer.decide(PREFIX, 7, UPDATE_BYTES as usize, Some(address(host)), now));
    let large: Vec<(TransferId, Duration)> = large.map(sent).collect();
    for host in 0..56 {
        let small = pacer.decide(
            OTHER_PREFIX,
            8,
            SMALL_UPDATE_BYTES as usize,
            Some(address(host)),
            now,
        );
        let (transfer, wait) = sent(small);
        assert_eq!(wait, Duration::ZERO, "{host}");
        assert_eq!(pacer.begin(transfer, now), None, "{host}");
    }
    let (first, _) = large[0];
    let wait = pacer.begin(first, now).expect("the link is in use");
    // The 10 ms make up for timers that fire late.
    let sent_time = Duration::from_secs_f64(f64::from(56 * SMALL_UPDATE_BYTES) / PACE_BYTES_PER_S);
    assert!(wait + Duration::from_millis(10) >= sent_time, "{wait:?}");
}

/// Guards against transfers that begin all at once when their turns passed while the host stood still.
#[test]
fn begin_after_a_stall_keeps_the_pace() {
    let mut pacer = UpdatePacer::default();
    let asked_at = Instant::now();
    let mut ask = |host| pacer.decide(PREFIX, 7, UPDATE_BYTES as usize, Some(address(host)), asked_at);
    let transfers: Vec<TransferId> = (0..6).map(|host| sent(ask(host)).0).collect();
    let resumed_at = asked_at + Duration::from_millis(500);
    // The last one asks first.
    let asking = transfers.into_iter().rev().enumerate();
    let mut asking: BinaryHeap<_> = asking
        .map(|(order, transfer)| Reverse((resumed_at, order, transfer)))
        .collect();
    let mut begun_after = Vec::new();
    while let Some(Reverse((now, order, transfer))) = asking.pop() {
        match pacer.begin(transfer, now) {
            Some(wait) => asking.push(Reverse((now + wait, order, transfer))),
            None => begun_after.push(now - resumed_at),
        }
    }
    let mut begun_bytes = 0.0;
    for after in &begun_after {
        let paced_bytes = after.as_secs_f64() * PACE_BYTES_PER_S;
        let ahead_bytes = begun_bytes - paced_bytes;
        assert!(
            ahead_bytes <= f64::from(UPDATE_BYTES),
            "{ahead_bytes} bytes ahead of the pace: {begun_after:?}"
        );
        begun_bytes += f64::from(UPDATE_BYTES);
    }
    let last_after = begun_after.last().expect("transfers");
    let longest = Duration::from_secs_f64(begun_bytes / PACE_BYTES_PER_S);
    assert!(
        *last_after < longest,
        "the link is not left idle: {begun_after:?}"
    );
}

#[test]
fn cancel_of_waiting_transfer_lets_the_next_one_begin() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::default();
    let mut ask = |host| sent(pacer.decide(PREFIX, 7, 1 << 10, Some(address(host)), now)).0;
    let (first, second) = (ask(1), ask(2));
    assert!(pacer.begin(second, now).is_some(), "the first one is before it");
    pacer.cancel(first);
    assert_eq!(pacer.begin(second, now), None);
}

#[test]
fn decide_lets_requests_without_address_come_back_until_the_link_is_free() {
    let mut pacer = UpdatePacer::default();
    let mut now = Instant::now();
    let (transfer, wait) = sent(pacer.decide(PREFIX, 7, 1 << 20, None, now));
    assert_eq!(wait, Duration::ZERO);
    assert_eq!(pacer.begin(transfer, now), None);
    let mut decide = |now| pacer.decide(PREFIX, 7, 1 << 20, None, now);
    for _ in 0..2 {
        let UpdateReply::Later { wait, holder: None } = decide(now) else {
            panic!("expected a later turn at the same host");
        };
        assert!(wait < Duration::from_secs(1), "{wait:?}");
    }
    now += Duration::from_millis(800);
    let (_, wait) = sent(decide(now));
    assert!(wait > Duration::ZERO);
}

#[test]
fn decide_names_only_receivers_of_the_same_update() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::default();
    let mut decide = |revision, host| pacer.decide(PREFIX, revision, 1 << 20, Some(address(host)), now);
    let (_, wait) = sent(decide(7, 1));
    assert_eq!(wait, Duration::ZERO);
    let is_sent_on =
        |turn| matches!(turn, UpdateReply::Later { holder: Some(holder), .. } if holder == address(1));
    assert!(is_sent_on(decide(7, 2)));
    assert!(!is_sent_on(decide(7, 1)), "not to itself");
    assert!(!is_sent_on(decide(8, 2)), "the first host has an older update");
}

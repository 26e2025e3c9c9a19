//! Pace at which a host hands updates on, and the hosts that requesters are sent on to.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use burdockroad::gateway::{SearchStep, TransferId, UpdatePacer, UpdateReply, UpdateSearch};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

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

/// Time without any data after which a host counts as unresponsive.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a host takes to read the whole range from the store.
const READ_TIME: Duration = Duration::from_millis(300);

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

/// What happens between two hosts, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Instant,
    requester: usize,
    asked: usize,
    kind: EventKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    /// The requester asks.
    Request,
    /// It may be the turn of a transfer.
    Turn(TransferId),
    /// The requester has got no data for too long.
    Silence,
    /// The requester reads the store.
    Read,
}

/// A fleet in which the first hosts watch the store and announce a change, for which all others ask at once.
struct Fleet {
    update_bytes: u32,
    watchers: usize,
    pacers: Vec<UpdatePacer>,
    searches: Vec<UpdateSearch>,
    /// Time at which each host has the update.
    has_update_at: HashMap<usize, Instant>,
    /// Times at which hosts end.
    ends_at: HashMap<usize, Instant>,
    /// Number of hosts that end at half of the time that they take to receive the update and to hand it on.
    ending_receivers: usize,
    /// Transfers of each host.
    sent: Vec<u32>,
    /// Times after the beginning at which hosts read the store.
    reads: Vec<Duration>,
    begun_at: Instant,
}

impl Fleet {
    fn new(hosts: usize, watchers: usize, update_bytes: u32) -> Self {
        let begun_at = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut search = || UpdateSearch::new(address(0), rng.random(), begun_at);
        Self {
            update_bytes,
            watchers,
            pacers: vec![UpdatePacer::default(); hosts],
            searches: (0..hosts).map(|_| search()).collect(),
            has_update_at: (0..watchers).map(|host| (host, begun_at)).collect(),
            ends_at: HashMap::new(),
            ending_receivers: 0,
            sent: vec![0; hosts],
            reads: Vec::new(),
            begun_at,
        }
    }

    /// Lets all hosts fetch the update. Returns the time until the last one that has not ended has it.
    fn spread(&mut self) -> Duration {
        let first_request = |requester| Event {
            at: self.begun_at,
            requester,
            asked: 0,
            kind: EventKind::Request,
        };
        let followers = self.watchers..self.pacers.len();
        let mut events: BinaryHeap<Reverse<Event>> =
            followers.map(|host| Reverse(first_request(host))).collect();
        while let Some(Reverse(event)) = events.pop() {
            events.extend(self.handle(event).map(Reverse));
        }
        let lasting = self
            .has_update_at
            .iter()
            .filter(|(host, _)| !self.ends_at.contains_key(host));
        let last = lasting.map(|(_, at)| *at).max();
        last.expect("each host has it") - self.begun_at
    }

    fn handle(&mut self, event: Event) -> Option<Event> {
        match event.kind {
            EventKind::Request | EventKind::Turn(_) if self.has_ended(event.asked, event.at) => Some(Event {
                at: event.at + PROGRESS_TIMEOUT,
                kind: EventKind::Silence,
                ..event
            }),
            EventKind::Request => Some(self.request(event)),
            EventKind::Turn(transfer) => self.begin(event, transfer),
            EventKind::Silence => {
                let watchers = self.watchers();
                let search = &mut self.searches[event.requester];
                let step = search.record_silent(&watchers, event.at);
                Some(self.next_event(event, step))
            }
            EventKind::Read => {
                self.reads.push(event.at - self.begun_at);
                self.has_update_at.insert(event.requester, event.at + READ_TIME);
                None
            }
        }
    }

    /// Lets a host ask another one.
    fn request(&mut self, event: Event) -> Event {
        let Event {
            at: now,
            requester,
            asked,
            ..
        } = event;
        let watchers = self.watchers();
        let search = &mut self.searches[requester];
        let has_update = self.has_update_at.get(&asked).is_some_and(|at| *at <= now);
        if !has_update {
            let step = search.record_missing(&watchers, now);
            return self.next_event(event, step);
        }
        let bytes = self.update_bytes as usize;
        match self.pacers[asked].decide(PREFIX, 7, bytes, Some(address(requester)), now) {
            UpdateReply::Send { transfer, wait } => Event {
                at: now + wait,
                kind: EventKind::Turn(transfer),
                ..event
            },
            UpdateReply::Later { wait, holder } => {
                let step = search.record_later(wait, holder, &watchers, now);
                self.next_event(event, step)
            }
        }
    }

    /// Returns the next event of a host that was not sent the update.
    fn next_event(&self, event: Event, step: SearchStep) -> Event {
        let (asked, wait, kind) = match step {
            SearchStep::Ask { address: asked, wait } => (self.host(asked), wait, EventKind::Request),
            SearchStep::ReadStore { wait } => (event.asked, wait, EventKind::Read),
        };
        Event {
            at: event.at + wait.max(Duration::from_millis(1)),
            asked,
            kind,
            ..event
        }
    }

    /// Begins a transfer if it is its turn.
    fn begin(&mut self, event: Event, transfer: TransferId) -> Option<Event> {
        if let Some(wait) = self.pacers[event.asked].begin(transfer, event.at) {
            let at = event.at + wait;
            return Some(Event { at, ..event });
        }
        self.sent[event.asked] += 1;
        let received_at = event.at + RECEIVE_TIME;
        if self.has_ended(event.asked, received_at) {
            let at = event.at + PROGRESS_TIMEOUT;
            let kind = EventKind::Silence;
            return Some(Event { at, kind, ..event });
        }
        self.has_update_at.insert(event.requester, received_at);
        if self.ending_receivers > 0 {
            self.ending_receivers -= 1;
            self.ends_at
                .insert(event.requester, received_at + RECEIVE_TIME / 2);
        }
        None
    }

    fn has_ended(&self, host: usize, now: Instant) -> bool {
        self.ends_at.get(&host).is_some_and(|at| *at <= now)
    }

    /// Returns the hosts that announced the change.
    fn watchers(&self) -> Vec<SocketAddr> {
        (0..self.watchers).map(address).collect()
    }

    fn host(&self, of: SocketAddr) -> usize {
        let mut hosts = 0..self.pacers.len();
        hosts.find(|host| address(*host) == of).expect("a known host")
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
            let mut fleet = Fleet::new(hosts, 1, update_bytes);
            let lasted = fleet.spread();
            let seen = format!("{update_bytes} bytes, {hosts} hosts: {lasted:?}");
            assert_eq!(fleet.has_update_at.len(), hosts, "{seen}");
            assert!(lasted < APPLY_TIME, "{seen}");
            assert_eq!(fleet.reads, [], "{seen}");
            let most_sent_bytes = fleet.sent.iter().max().expect("hosts") * update_bytes;
            let link_bytes = lasted.as_secs_f64() * LINK_BYTES_PER_S;
            assert!(
                f64::from(most_sent_bytes) <= link_bytes / 2.0,
                "{seen}, {most_sent_bytes} bytes from one host"
            );
        }
    }
}

/// Returns the largest share of the times that are within 100 ms.
fn largest_share(times: &[Duration]) -> f64 {
    let window = Duration::from_millis(100);
    let count = |first: Duration| {
        times
            .iter()
            .filter(|at| (first..first + window).contains(at))
            .count()
    };
    let most = times.iter().map(|first| count(*first)).max().unwrap_or(0);
    let [most, all] = [most, times.len()].map(|number| u32::try_from(number).expect("a small number"));
    f64::from(most) / f64::from(all)
}

/// Guards against hosts that all read the whole range from the store because one host is gone.
#[test]
fn hosts_whose_watcher_is_gone_get_the_update_from_another_one() {
    for hosts in [57, 171] {
        let mut fleet = Fleet::new(hosts, 3, UPDATE_BYTES);
        fleet.ends_at.insert(0, fleet.begun_at);
        let lasted = fleet.spread();
        let seen = format!(
            "{hosts} hosts: {lasted:?}, {} reads of the store",
            fleet.reads.len()
        );
        assert!(lasted < APPLY_TIME, "{seen}");
        assert_eq!(fleet.reads, [], "{seen}");
    }
}

/// Guards against hosts that wait for holders which are gone, or read the store in their place.
#[test]
fn hosts_get_the_update_although_holders_end() {
    for hosts in [57, 171] {
        for ending in [1, 2, 4] {
            let mut fleet = Fleet::new(hosts, 3, UPDATE_BYTES);
            fleet.ending_receivers = ending;
            let lasted = fleet.spread();
            let reads = fleet.reads.len();
            let seen = format!("{hosts} hosts, {ending} end: {lasted:?}, {reads} reads of the store");
            assert!(lasted < APPLY_TIME, "{seen}");
            assert_eq!(reads, 0, "{seen}");
        }
    }
}

/// Guards against hosts that read the whole range from the store at the same moment.
#[test]
fn hosts_without_a_watcher_read_the_store_in_time_one_after_the_other() {
    for watchers in [1, 3] {
        let mut fleet = Fleet::new(171, watchers, UPDATE_BYTES);
        fleet.ends_at = (0..watchers).map(|host| (host, fleet.begun_at)).collect();
        let lasted = fleet.spread();
        let share = largest_share(&fleet.reads);
        let seen = format!("{watchers} watchers: {lasted:?}, at most {share} of the reads in 100 ms");
        assert!(lasted < APPLY_TIME, "{seen}");
        assert_eq!(fleet.reads.len(), 171 - watchers, "{seen}");
        assert!(share < 0.5, "{seen}");
    }
}

/// Guards against hosts whose time for an update ends at the same moment.
#[test]
fn searches_that_begin_together_end_at_different_times() {
    let begun_at = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut search = || UpdateSearch::new(address(0), rng.random(), begun_at);
    let mut asked_ends = Vec::new();
    let mut ends = Vec::new();
    for mut search in (0..171).map(|_| search()) {
        ends.push(search.ends_at() - begun_at);
        let mut now = begun_at;
        let wait = loop {
            let later = Duration::from_millis(50);
            match search.record_later(later, None, &[address(0), address(1)], now) {
                SearchStep::Ask { wait, .. } => now += wait.max(Duration::from_millis(1)),
                SearchStep::ReadStore { wait } => break wait,
            }
        };
        assert_eq!(search.asked(), address(1), "each asks another watcher first");
        asked_ends.push(now + wait - begun_at);
    }
    for ends in [ends, asked_ends] {
        assert!(ends.iter().all(|end| *end <= APPLY_TIME), "{ends:?}");
        let share = largest_share(&ends);
        assert!(share < 0.5, "{share} in 100 ms");
    }
}

#[test]
fn search_does_not_ask_a_host_again_that_did_not_respond() {
    let now = Instant::now();
    let [watcher, holder] = [0, 1].map(address);
    let mut search = UpdateSearch::new(watcher, 0.5, now);
    let ask_at = |step| match step {
        SearchStep::Ask { address, .. } => address,
        SearchStep::ReadStore { .. } => panic!("a watcher is left"),
    };
    assert_eq!(
        ask_at(search.record_later(Duration::ZERO, Some(holder), &[watcher], now)),
        holder
    );
    assert_eq!(ask_at(search.record_silent(&[watcher], now)), watcher);
    let step = search.record_later(Duration::ZERO, Some(holder), &[watcher], now);
    assert_eq!(ask_at(step), watcher, "the watcher names another host");
    assert!(matches!(
        search.record_silent(&[watcher], now),
        SearchStep::ReadStore { .. }
    ));
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

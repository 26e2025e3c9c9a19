//! Pace at which a host hands large updates on, and the hosts that requesters are sent on to.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use burdockroad::gateway::{UpdatePacer, UpdateReply};

const PREFIX: &str = "range/";

/// Compressed configuration of 1,400 routes.
const UPDATE_BYTES: u32 = 30 << 10;

/// Time from the beginning of a transfer until its receiver has applied the update: 8 ms on a link of 30 Mbit/s, and
/// the work of a slow core.
const RECEIVE_TIME: Duration = Duration::from_millis(100);

/// Shortest time that operators allow until all hosts have a configuration.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Bytes that a link of 30 Mbit/s carries in a second.
const LINK_BYTES_PER_S: f64 = 3.75e6;

fn address(number: usize) -> SocketAddr {
    let number = u32::try_from(number).expect("a small number");
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7780))
}

/// A fleet in which all hosts but the first, which watches the store, ask it for the same update at once.
struct Fleet {
    pacers: Vec<UpdatePacer>,
    /// Time at which each host has the update.
    has_update_at: HashMap<usize, Instant>,
    /// Transfers of each host.
    sent: Vec<u32>,
}

impl Fleet {
    /// Lets all hosts fetch the update. Returns the time until the last one has it.
    fn spread(hosts: usize) -> (Self, Duration) {
        let begun_at = Instant::now();
        let mut fleet = Self {
            pacers: vec![UpdatePacer::default(); hosts],
            has_update_at: HashMap::from([(0, begun_at)]),
            sent: vec![0; hosts],
        };
        let mut requests: BinaryHeap<Reverse<(Instant, usize, usize)>> =
            (1..hosts).map(|host| Reverse((begun_at, host, 0))).collect();
        while let Some(Reverse((now, requester, asked))) = requests.pop() {
            if let Some(next) = fleet.ask(requester, asked, now) {
                requests.push(Reverse(next));
            }
        }
        let last = fleet.has_update_at.values().max().copied();
        let lasted = last.expect("each host has it") - begun_at;
        (fleet, lasted)
    }

    /// Lets a host ask another one. Returns its next request; `None` if it is sent the update.
    fn ask(&mut self, requester: usize, asked: usize, now: Instant) -> Option<(Instant, usize, usize)> {
        let has_update = self.has_update_at.get(&asked).is_some_and(|at| *at <= now);
        if !has_update {
            return Some((now + Duration::from_millis(20), requester, 0));
        }
        let turn = self.pacers[asked].decide(PREFIX, 7, UPDATE_BYTES as usize, Some(address(requester)), now);
        match turn {
            UpdateReply::Send { wait } => {
                self.sent[asked] += 1;
                self.has_update_at.insert(requester, now + wait + RECEIVE_TIME);
                None
            }
            UpdateReply::Later { wait, holder } => {
                let holders = 0..self.pacers.len();
                let next =
                    holder.and_then(|holder| holders.into_iter().find(|host| address(*host) == holder));
                let pause = wait.max(Duration::from_millis(1));
                Some((now + pause, requester, next.unwrap_or(asked)))
            }
        }
    }
}

/// Guards against a link that carries nothing but updates, and against hosts that route by an old configuration.
#[test]
fn spread_of_large_update_is_in_time_and_leaves_most_of_each_link() {
    for hosts in [57, 171, 2571] {
        let (fleet, lasted) = Fleet::spread(hosts);
        assert_eq!(fleet.has_update_at.len(), hosts);
        assert!(lasted < APPLY_TIME, "{hosts} hosts: {lasted:?}");
        let most_sent_bytes = fleet.sent.iter().max().expect("hosts") * UPDATE_BYTES;
        let link_bytes = lasted.as_secs_f64() * LINK_BYTES_PER_S;
        assert!(
            f64::from(most_sent_bytes) <= link_bytes / 2.0,
            "{hosts} hosts: {most_sent_bytes} bytes from one host in {lasted:?}"
        );
    }
}

#[test]
fn decide_lets_requests_without_address_come_back_until_the_link_is_free() {
    let mut pacer = UpdatePacer::default();
    let mut now = Instant::now();
    let mut decide = |now| pacer.decide(PREFIX, 7, 1 << 20, None, now);
    assert_eq!(decide(now), UpdateReply::Send { wait: Duration::ZERO });
    for _ in 0..2 {
        let UpdateReply::Later { wait, holder: None } = decide(now) else {
            panic!("expected a later turn at the same host");
        };
        assert!(wait < Duration::from_secs(1), "{wait:?}");
    }
    now += Duration::from_millis(800);
    assert!(matches!(decide(now), UpdateReply::Send { wait } if wait > Duration::ZERO));
}

#[test]
fn decide_names_only_receivers_of_the_same_update() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::default();
    let mut decide = |revision, host| pacer.decide(PREFIX, revision, 1 << 20, Some(address(host)), now);
    assert_eq!(decide(7, 1), UpdateReply::Send { wait: Duration::ZERO });
    let is_sent_on =
        |turn| matches!(turn, UpdateReply::Later { holder: Some(holder), .. } if holder == address(1));
    assert!(is_sent_on(decide(7, 2)));
    assert!(!is_sent_on(decide(7, 1)), "not to itself");
    assert!(!is_sent_on(decide(8, 2)), "the first host has an older update");
}

//! Simulation of one writer, the store, three peers and a successor, driven by a seed.

mod delivery;
mod recovery;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use burdockroad::{
    Record, SegmentNumber,
    journal::{
        Action, Durability, JournalError, Peer, TailBatch, TailTable, TailTableOptions, Ticket, Writer,
        WriterOptions,
    },
    ownership::Process,
    program::Event,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Maximum number of steps before the successor seals the journal.
const STEPS_BEFORE_SEAL: usize = 120;

/// Maximum number of steps between two actions of the successor.
const STEPS_BETWEEN_ACTIONS: usize = 12;

/// Maximum number of steps after the journal was removed.
const STEPS_AFTER_REMOVAL: usize = 60;

/// Interval of positions at which a record can be read without earlier records.
const BASE_INTERVAL: u64 = 5;

/// Totals of one or more runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Records confirmed as stored.
    pub(crate) stored: u64,
    /// Records confirmed as replicated.
    pub(crate) replicated: u64,
    /// Runs in which the successor could read the tail peer named by the last segment, or none was named.
    pub(crate) complete_recoveries: u64,
    /// Records recovered from copies.
    pub(crate) from_copies: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.stored += other.stored;
        self.replicated += other.replicated;
        self.complete_recoveries += other.complete_recoveries;
        self.from_copies += other.from_copies;
    }
}

/// A message in transit. If `replied` is set, the writer has already received a reply, and the message
/// can only change the state of its receiver.
#[derive(Clone, Debug)]
enum Message {
    Write {
        segment: SegmentNumber,
        value: Arc<[u8]>,
        replied: bool,
    },
    Read {
        segment: SegmentNumber,
    },
    TailBatch {
        to: Process,
        copies: TailBatch,
        replied: bool,
    },
    Remove {
        from: SegmentNumber,
        to: SegmentNumber,
        replied: bool,
    },
}

struct PeerHost {
    process: Process,
    table: TailTable,
    up: bool,
}

pub(crate) struct World {
    rng: ChaCha8Rng,
    now: Instant,
    writer: Writer,
    owner: Process,
    store: BTreeMap<SegmentNumber, Vec<u8>>,
    store_down: bool,
    messages: Vec<Message>,
    /// The first segment that no delayed duplicate write can create again.
    opened: Option<SegmentNumber>,
    ambiguous_segments: BTreeSet<SegmentNumber>,
    peers: Vec<PeerHost>,
    appended: u64,
    waiting: HashMap<Ticket, (u64, Durability)>,
    last_ticket: Ticket,
    /// Number of records confirmed as stored.
    stored: u64,
    /// Number of records confirmed as replicated.
    replicated: u64,
    counts: Counts,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let owner = process("w", 1);
        let options = WriterOptions {
            owner: owner.clone(),
            failure_domain: "x".to_owned(),
            writer_id: rng.random(),
            // Small, so that groups and records often span several segments.
            segment_max_bytes: rng.random_range(1_100..2_000),
            writes_per_s: 50.0,
            writes_burst: 5.0,
            window_min: Duration::from_millis(200),
            window_max: Duration::from_secs(2),
            append_timeout: Duration::from_secs(1),
            queue_max_bytes: 8 * 1024 * 1024,
            segments_max: 8,
            stored_max_bytes: 8 * 1024 * 1024,
        };
        let peers = ["p", "q", "r"].map(|host_id| PeerHost {
            process: process(host_id, 1),
            table: TailTable::new(TailTableOptions::default()),
            up: true,
        });
        Self {
            writer: Writer::new(options, now),
            owner,
            now,
            store: BTreeMap::new(),
            store_down: false,
            messages: Vec::new(),
            opened: None,
            ambiguous_segments: BTreeSet::new(),
            peers: peers.into(),
            appended: 0,
            waiting: HashMap::new(),
            last_ticket: 0,
            stored: 0,
            replicated: 0,
            counts: Counts::default(),
            rng,
        }
    }

    pub(crate) fn run(mut self) -> Counts {
        self.update_peers();
        self.steps(STEPS_BEFORE_SEAL);
        let seal = self.seal();
        if self.opened.is_none() {
            // The ownership map does not contain a process before its journal is open, so there is no
            // successor.
            assert_eq!(
                self.stored, 0,
                "a record was confirmed before the journal was open"
            );
            return self.counts;
        }
        let first = self.recover(seal);
        self.check(&first);
        self.steps(STEPS_BETWEEN_ACTIONS);
        // The successor is replaced as well: another successor seals the journal again and reads it.
        let second_seal = self.seal();
        assert_eq!(second_seal, seal, "a sealed journal got a second seal");
        let second = self.recover(seal);
        self.check(&second);
        assert!(
            first.agrees_with(&second),
            "two successors read different records"
        );
        self.remove(seal);
        self.steps(STEPS_AFTER_REMOVAL);
        self.deliver_all();
        // Only a write that was given up before the journal was open may still take effect.
        let opened = self.opened.unwrap_or(SegmentNumber::MAX);
        assert!(
            self.store.keys().all(|&number| number < opened),
            "a segment of a removed journal was written again"
        );
        self.check(&second);
        self.counts.stored = self.stored;
        self.counts.replicated = self.replicated;
        self.counts.complete_recoveries = u64::from(first.complete);
        self.counts.from_copies = first.tail_count as u64;
        self.counts
    }

    fn steps(&mut self, count_max: usize) {
        for _ in 0..self.rng.random_range(1..=count_max) {
            self.step();
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..25 => self.append(),
            25..70 => self.deliver_one(),
            70..90 => self.now += Duration::from_millis(self.rng.random_range(1..=300)),
            90..93 => self.change_peer(),
            93..95 => self.store_down = !self.store_down,
            _ => self.update_peers(),
        }
        self.poll();
    }

    fn append(&mut self) {
        let durability = [
            Durability::Queued,
            Durability::Replicated,
            Durability::Replicated,
            Durability::Stored,
        ];
        let durability = *durability.choose(&mut self.rng).unwrap();
        let count = self.rng.random_range(1..=3);
        let records: Vec<_> = (0..count).map(|_| self.record()).collect();
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, (self.appended, durability));
        self.writer
            .append(&records, durability, self.last_ticket, self.now);
    }

    fn record(&mut self) -> Record {
        self.appended += 1;
        let size_bytes = self.rng.random_range(10..600);
        // The tree can be read from every fifth record on, so that earlier segments can be removed.
        let event = if self.appended.is_multiple_of(BASE_INTERVAL) {
            Event::Created {
                program_id: "p".to_owned(),
                account_id: "e".repeat(size_bytes),
                parent_id: None,
                budget: None,
                created_at: SystemTime::UNIX_EPOCH,
            }
        } else {
            Event::Released {
                program_id: "p".to_owned(),
                endpoint_id: "e".repeat(size_bytes),
            }
        };
        Record {
            root_id: "p".to_owned(),
            sequence: self.appended,
            event,
        }
    }

    fn poll(&mut self) {
        for action in self.writer.poll(self.now) {
            match action {
                Action::Complete { ticket, result } => self.on_completed(ticket, &result),
                Action::Write { segment, value } => {
                    self.messages.push(Message::Write {
                        segment,
                        value,
                        replied: false,
                    });
                }
                Action::ReadBack { segment } => self.messages.push(Message::Read { segment }),
                Action::Replicate { to, copies } => {
                    self.messages.push(Message::TailBatch {
                        to,
                        copies,
                        replied: false,
                    });
                }
                Action::Remove { from, to } => {
                    self.messages.push(Message::Remove {
                        from,
                        to,
                        replied: false,
                    });
                }
                Action::Snapshot { .. } => {}
            }
        }
    }

    fn on_completed(&mut self, ticket: Ticket, result: &Result<(), JournalError>) {
        let (end, durability) = self.waiting.remove(&ticket).expect("each append completes once");
        match (result, durability) {
            (Ok(()), Durability::Stored) => self.stored = self.stored.max(end),
            (Ok(()), Durability::Replicated) => self.replicated = self.replicated.max(end),
            (Ok(()), Durability::Queued) | (Err(_), _) => {}
        }
    }

    fn change_peer(&mut self) {
        let index = self.rng.random_range(0..self.peers.len());
        let peer = &mut self.peers[index];
        if peer.up {
            peer.up = false;
            return;
        }
        peer.up = true;
        if self.rng.random_bool(0.5) {
            peer.process.incarnation += 1;
            peer.table = TailTable::new(TailTableOptions::default());
        }
    }

    /// Updates the writer's view of the peers, which is stale otherwise. Omits some peers at random.
    fn update_peers(&mut self) {
        let mut view = Vec::new();
        for peer in &self.peers {
            if peer.up && self.rng.random_ratio(4, 5) {
                view.push(Peer {
                    process: peer.process.clone(),
                    failure_domain: if peer.process.host_id == "r" { "x" } else { "y" }.to_owned(),
                    leaving: self.rng.random_ratio(1, 5),
                });
            }
        }
        self.writer.set_peers(view, true);
    }
}

fn process(host_id: &str, incarnation: u64) -> Process {
    Process {
        host_id: host_id.to_owned(),
        incarnation,
    }
}

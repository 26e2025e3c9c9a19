//! Delivery of the writer's messages to the store and the peers, and of their replies.

use std::{sync::Arc, time::Duration};

use burdockroad::{
    SegmentNumber,
    journal::{ReadReply, TailBatch, TailReply, WriteReply},
    ownership::Process,
};
use rand::RngExt;

use super::{Message, World};

impl World {
    pub(super) fn deliver_one(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        self.deliver(message);
        self.poll();
    }

    pub(super) fn deliver_all(&mut self) {
        while let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Write {
                segment,
                value,
                replied,
            } => self.deliver_write(segment, value, replied),
            Message::Read { segment } => {
                let reply = match self.store.get(&segment) {
                    _ if self.store_down => ReadReply::Unavailable {
                        retry_after: Duration::from_millis(50),
                    },
                    Some(value) => ReadReply::Found(value.clone()),
                    None => ReadReply::Absent,
                };
                self.writer.read_back(reply, self.now);
            }
            Message::TailBatch { to, copies, replied } => self.deliver_batch(to, copies, replied),
            Message::Remove { from, to, replied } => {
                let lost = !replied && self.rng.random_ratio(1, 5);
                if lost {
                    self.writer.removed(false);
                    self.messages.push(Message::Remove {
                        from,
                        to,
                        replied: true,
                    });
                    return;
                }
                self.store.retain(|&number, _| number < from || number >= to);
                if !replied {
                    self.writer.removed(true);
                }
            }
        }
    }

    fn deliver_write(&mut self, segment: SegmentNumber, value: Arc<[u8]>, replied: bool) {
        if replied {
            // The writer has given up this write, but it still takes effect.
            self.create(segment, &value);
            return;
        }
        let reply = match self.rng.random_range(0..10) {
            0 => {
                self.messages.push(Message::Write {
                    segment,
                    value,
                    replied: true,
                });
                WriteReply::Ambiguous
            }
            1 => WriteReply::Ambiguous,
            _ if self.store_down => WriteReply::Unavailable {
                retry_after: Duration::from_millis(50),
            },
            2 => {
                self.create(segment, &value);
                WriteReply::Ambiguous
            }
            _ => self.create(segment, &value),
        };
        if reply == WriteReply::Ambiguous {
            self.ambiguous_segments.insert(segment);
        }
        if reply == WriteReply::Done && !self.ambiguous_segments.contains(&segment) {
            self.opened.get_or_insert(segment);
        }
        self.writer.written(reply, self.now);
    }

    pub(super) fn create(&mut self, segment: SegmentNumber, value: &[u8]) -> WriteReply {
        if let Some(value) = self.store.get(&segment) {
            return WriteReply::Exists(value.clone());
        }
        if segment > 1 && !self.store.contains_key(&(segment - 1)) {
            return WriteReply::Removed;
        }
        self.store.insert(segment, value.to_vec());
        WriteReply::Done
    }

    fn deliver_batch(&mut self, to: Process, copies: TailBatch, replied: bool) {
        if !replied && self.rng.random_ratio(1, 10) {
            // The reply is too late for the writer. The batch may arrive even later, or twice.
            self.writer
                .replicated(&to, copies.session, TailReply::Failed, self.now);
            self.messages.push(Message::TailBatch {
                to,
                copies,
                replied: true,
            });
            return;
        }
        let session = copies.session;
        let peer = self.peers.iter_mut().find(|peer| peer.process == to && peer.up);
        let reply = match peer {
            Some(peer) => peer.table.append_batch(&self.owner, copies.clone()),
            None => TailReply::Failed,
        };
        if self.rng.random_ratio(1, 10) {
            self.messages.push(Message::TailBatch {
                to: to.clone(),
                copies,
                replied: true,
            });
        }
        if !replied {
            self.writer.replicated(&to, session, reply, self.now);
        }
    }
}

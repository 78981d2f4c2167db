//! The network between the machines: delay with jitter, loss, bandwidth, and partitions of single directions.

use super::event_queue::Event;
use super::Cluster;
use passrelay_control_plane::replication::ReplicationMessage;
use passrelay_control_plane::{Envelope, Message};
use passrelay_dissemination::GossipMessage;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Probability that a message sent into a partition is delayed and delivered when the partition heals; the others are
/// lost.
const DELAYED_PROBABILITY: f64 = 0.4;
/// Bound on the messages delayed at a time, so that a long partition doesn't exhaust memory; further ones are lost.
const MAX_DELAYED_MESSAGES: usize = 2_000;
/// Factor by which documents are compressed on the wire, roughly that of the program.
const COMPRESSION_RATIO: usize = 4;
/// Bytes that an applied change adds to a message that carries a replicated state.
const BYTES_PER_APPLIED_CHANGE: usize = 40;
/// Factors of the one-way delay between which each message's delay is drawn.
const JITTER: std::ops::Range<f64> = 0.8..2.0;

/// The way of messages from one machine to another; the way back is another link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// Which messages between two groups of machines a partition stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Those in both directions.
    Both,
    /// Those from the first group to the second.
    Outbound,
    /// Those from the second group to the first.
    Inbound,
}

/// A message that a partition delays until it heals.
struct DelayedMessage {
    link: Link,
    envelope: Envelope,
}

/// Addresses, partitions and what they delay.
#[derive(Default)]
pub(super) struct Network {
    machines_by_address: BTreeMap<SocketAddrV4, usize>,
    /// Links on which nothing passes.
    partitioned: BTreeSet<Link>,
    /// At most `MAX_DELAYED_MESSAGES`, in the order of sending.
    delayed: Vec<DelayedMessage>,
}

impl Network {
    /// Routes messages for this address to a machine.
    pub(super) fn register(&mut self, address: SocketAddrV4, machine: usize) {
        self.machines_by_address.insert(address, machine);
    }

    /// Loses the delayed messages that a machine sent.
    pub(super) fn drop_delayed_from(&mut self, machine: usize) {
        self.delayed.retain(|message| message.link.from != machine);
    }
}

impl Cluster {
    /// Partitions each machine of the first group from each of the second, in one or both directions.
    pub fn partition(&mut self, inside: &[usize], outside: &[usize], direction: PartitionDirection) {
        for (inner, outer) in
            inside.iter().flat_map(|inner| outside.iter().map(move |outer| (*inner, *outer)))
        {
            if direction != PartitionDirection::Inbound {
                self.network.partitioned.insert(Link { from: inner, to: outer });
            }
            if direction != PartitionDirection::Outbound {
                self.network.partitioned.insert(Link { from: outer, to: inner });
            }
        }
    }

    /// Partitions a machine from all others in both directions.
    pub fn isolate(&mut self, machine: usize) {
        let others = self.all_except(&[machine]);
        self.partition(&[machine], &others, PartitionDirection::Both);
    }

    /// Ends all partitions of a machine; delayed messages whose link is open again are delivered.
    pub fn heal(&mut self, machine: usize) {
        self.network.partitioned.retain(|link| link.from != machine && link.to != machine);
        let (passing, delayed): (Vec<DelayedMessage>, Vec<DelayedMessage>) =
            std::mem::take(&mut self.network.delayed)
                .into_iter()
                .partition(|message| !self.network.partitioned.contains(&message.link));
        self.network.delayed = delayed;
        for DelayedMessage { link, envelope } in passing {
            self.deliver(link, envelope);
        }
    }

    /// Sends a message: it is counted, then lost, delayed by a partition or delivered. The random draws are made in this
    /// order.
    pub(super) fn send(&mut self, from: usize, to: SocketAddrV4, envelope: Envelope) {
        self.messages_sent[from] += 1;
        if self.counts_bytes {
            let mut bytes = Vec::new();
            if ciborium::into_writer(&envelope, &mut bytes).is_ok() {
                self.bytes_sent[from] += bytes.len() as u64;
            }
        }
        let Some(to) = self.network.machines_by_address.get(&to).copied() else { return };
        if self.rng.random_bool(self.settings.loss) {
            return;
        }
        let link = Link { from, to };
        if !self.network.partitioned.contains(&link) {
            self.deliver(link, envelope);
        } else if self.network.delayed.len() < MAX_DELAYED_MESSAGES
            && self.rng.random_bool(DELAYED_PROBABILITY)
        {
            self.network.delayed.push(DelayedMessage { link, envelope });
        }
    }

    fn deliver(&mut self, link: Link, envelope: Envelope) {
        let jitter = self.rng.random_range(JITTER);
        let sent_at = self.departure_time(link.from, &envelope.message);
        let at = sent_at + self.settings.delay.mul_f64(jitter);
        let from = self.machines[link.from].address;
        self.events.schedule(at, Event::Deliver { to: link.to, from, envelope: Box::new(envelope) });
    }

    /// When a message has left its machine: messages that carry documents share the uplink's bandwidth and leave one after
    /// the other, all others leave at once.
    fn departure_time(&mut self, from: usize, message: &Message) -> Duration {
        let bytes = document_bytes(message);
        if bytes == 0 || self.settings.link_bytes_per_s == 0 {
            return self.now;
        }
        let transmission = Duration::from_secs_f64(bytes as f64 / self.settings.link_bytes_per_s as f64);
        let machine = &mut self.machines[from];
        machine.uplink_busy_until = machine.uplink_busy_until.max(self.now) + transmission;
        machine.uplink_busy_until
    }
}

/// Approximate size of a message's payload on the wire, in bytes: its document and its applied changes. 0 without either.
fn document_bytes(message: &Message) -> usize {
    match message {
        Message::Replication(envelope) => match &envelope.message {
            ReplicationMessage::Replicate { state, .. } => {
                state.document.as_ref().map_or(0, |document| document.len()) / COMPRESSION_RATIO
                    + state.applied_changes.len() * BYTES_PER_APPLIED_CHANGE
            }
            ReplicationMessage::ReplicateDeltas { deltas, .. } => {
                deltas.iter().map(|delta| delta.document.encoded_size() + BYTES_PER_APPLIED_CHANGE).sum()
            }
            _ => 0,
        },
        Message::Gossip(GossipMessage::Configuration(configuration)) => {
            configuration.document.len() / COMPRESSION_RATIO
        }
        Message::Gossip(GossipMessage::ConfigurationDeltas(deltas)) => {
            deltas.iter().map(|delta| delta.document.encoded_size()).sum()
        }
        _ => 0,
    }
}

//! The network between the machines: delay with jitter, loss, bandwidth, and partitions, also in a single direction.

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
/// Maximum number of messages delayed at a time, so that a long partition does not exhaust memory; further ones are lost.
const MAX_DELAYED_MESSAGES: usize = 2_000;
/// Factor by which documents are compressed on the wire; approximates the program's compression.
const COMPRESSION_RATIO: usize = 4;
/// Bytes that an applied change adds to a message that carries a replicated state.
const BYTES_PER_APPLIED_CHANGE: usize = 40;
/// Range of the factor by which the one-way delay is multiplied for each message.
const JITTER: std::ops::Range<f64> = 0.8..2.0;

/// A unidirectional connection between two machines; the opposite direction is another link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// The direction in which a partition blocks messages between two groups of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionDirection {
    /// Messages in both directions are blocked.
    Both,
    /// Messages from the first group to the second are blocked.
    Outbound,
    /// Messages from the second group to the first are blocked.
    Inbound,
}

/// A message that a partition delays until it heals.
struct DelayedMessage {
    link: Link,
    envelope: Envelope,
}

/// Addresses, partitions, and the messages that partitions delay.
#[derive(Default)]
pub(super) struct Network {
    machines_by_address: BTreeMap<SocketAddrV4, usize>,
    /// Links that currently deliver no messages.
    partitioned: BTreeSet<Link>,
    /// At most `MAX_DELAYED_MESSAGES` messages, in the order in which they were sent.
    delayed: Vec<DelayedMessage>,
}

impl Network {
    /// Routes messages to `address` to a machine.
    pub(super) fn register(&mut self, address: SocketAddrV4, machine: usize) {
        self.machines_by_address.insert(address, machine);
    }

    /// Drops the delayed messages sent by a machine.
    pub(super) fn drop_delayed_from(&mut self, machine: usize) {
        self.delayed.retain(|message| message.link.from != machine);
    }
}

impl Cluster {
    /// Partitions each machine in `inside` from each in `outside`, in one or both directions.
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

    /// Ends all partitions of a machine and delivers the delayed messages whose link is open again.
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

    /// Sends a message: counts it, then loses, delivers or delays it. The draw for loss comes first, then the one for jitter
    /// on an open link or for a delay on a partitioned one.
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

    /// Returns when a message leaves its machine. Messages that carry documents share the uplink's bandwidth and are sent
    /// one after the other; all others leave immediately.
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

/// Returns the approximate size on the wire of a message's document and applied changes, in bytes; 0 if it carries neither.
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

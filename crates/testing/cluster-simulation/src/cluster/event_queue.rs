//! The event queue: future events ordered by simulated time.
//!
//! Events due at the same instant are processed in the order in which they were scheduled, so that a history depends on
//! nothing but its settings and its seed.

use passrelay_control_plane::replication::WriteId;
use passrelay_control_plane::Envelope;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// An event scheduled on a machine.
pub(super) enum Event {
    /// A message arrives at the process that runs on the machine at that time, whatever its incarnation.
    Deliver { to: usize, from: SocketAddrV4, envelope: Box<Envelope> },
    /// A disk write completes, successfully or not.
    Written { machine: usize, incarnation: u64, write_id: WriteId },
    /// A process's timers are due.
    Tick { machine: usize, incarnation: u64 },
    /// A machine's process starts.
    Start { machine: usize },
}

impl Event {
    /// Returns the machine on which the event occurs.
    pub(super) fn machine(&self) -> usize {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Written { machine, .. } | Event::Tick { machine, .. } | Event::Start { machine } => {
                *machine
            }
        }
    }

    /// Returns the incarnation to which the event is addressed; `None` if any incarnation may handle it.
    pub(super) fn incarnation(&self) -> Option<u64> {
        match self {
            Event::Written { incarnation, .. } | Event::Tick { incarnation, .. } => Some(*incarnation),
            Event::Deliver { .. } | Event::Start { .. } => None,
        }
    }
}

struct Scheduled {
    at: Duration,
    /// Position in the order of scheduling, which breaks ties between events of the same instant.
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue of scheduled events, earliest first.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time since the start of the simulation.
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    /// Removes and returns the earliest event and its time. Returns `None` if none is due at or before `until`.
    pub(super) fn pop_due(&mut self, until: Duration) -> Option<(Duration, Event)> {
        if self.events.peek()?.0.at > until {
            return None;
        }
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

//! The scheduler: future events in the order of simulated time.
//!
//! Events of the same instant come out in the order in which they were scheduled, so that a history depends on nothing
//! but its seed.

use passrelay_control_plane::replication::WriteId;
use passrelay_control_plane::Envelope;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Something that will happen on a machine.
pub(super) enum Event {
    /// A message arrives, for whichever process listens at the machine's address then.
    Deliver { to: usize, from: SocketAddrV4, envelope: Box<Envelope> },
    /// A disk write ends.
    Written { machine: usize, incarnation: u64, write_id: WriteId },
    /// A process' timers are due.
    Tick { machine: usize, incarnation: u64 },
    /// A machine's process starts.
    Start { machine: usize },
}

impl Event {
    /// The machine on which it happens.
    pub(super) fn machine(&self) -> usize {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Written { machine, .. } | Event::Tick { machine, .. } | Event::Start { machine } => {
                *machine
            }
        }
    }

    /// The only incarnation that it concerns; `None` if it concerns whichever process runs then.
    pub(super) fn incarnation(&self) -> Option<u64> {
        match self {
            Event::Written { incarnation, .. } | Event::Tick { incarnation, .. } => Some(*incarnation),
            Event::Deliver { .. } | Event::Start { .. } => None,
        }
    }
}

struct Scheduled {
    at: Duration,
    /// Position in the order of scheduling; breaks ties.
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

/// All scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time since the beginning of the simulation.
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    /// Takes out the earliest event and its time; `None` if none is due at or before `until`.
    pub(super) fn pop_due(&mut self, until: Duration) -> Option<(Duration, Event)> {
        if self.events.peek()?.0.at > until {
            return None;
        }
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

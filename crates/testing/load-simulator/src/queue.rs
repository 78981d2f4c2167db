//! The event queue: what happens next, and in which order what happens at the same time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Simulated time in nanoseconds since the start of the run.
pub type Nanos = u64;

/// Seconds as nanoseconds; what is negative or no number counts as 0.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// Nanoseconds as seconds.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

struct Slot<E> {
    at: Nanos,
    number: u64,
    event: E,
}

impl<E> Ord for Slot<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first; the earliest is wanted, and among equals the first put in.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Slot<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Slot<E> {}

/// Events by time; events at one time come out in the order in which they were put in.
pub struct Queue<E> {
    heap: BinaryHeap<Slot<E>>,
    number: u64,
    now: Nanos,
    longest: usize,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), number: 0, now: 0, longest: 0 }
    }
}

impl<E> Queue<E> {
    /// The time of the event that came out last.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Puts an event in. One for the past happens now.
    pub fn put(&mut self, at: Nanos, event: E) {
        self.number += 1;
        self.heap.push(Slot { at: at.max(self.now), number: self.number, event });
        self.longest = self.longest.max(self.heap.len());
    }

    /// The next event; the clock moves to its time.
    pub fn take(&mut self) -> Option<E> {
        let slot = self.heap.pop()?;
        self.now = slot.at;
        Some(slot.event)
    }

    /// When the next event comes out.
    pub fn next_at(&self) -> Option<Nanos> {
        self.heap.peek().map(|slot| slot.at)
    }

    /// How many have been put in.
    pub fn count(&self) -> u64 {
        self.number
    }

    /// The most that stood in the queue at once.
    pub fn longest(&self) -> usize {
        self.longest
    }
}

//! The event queue of a simulation, with a defined order of simultaneous events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Simulated time in nanoseconds since the start of the run.
pub type Nanos = u64;

/// Converts seconds to nanoseconds. Negative values and NaN become 0.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// Converts nanoseconds to seconds.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

struct Scheduled<E> {
    at: Nanos,
    number: u64,
    event: E,
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, as the heap returns the greatest element: the earliest event comes first, and among simultaneous
        // ones the first that was added.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

/// A queue of events by time. Simultaneous events are returned in the order in which they were added.
pub struct Queue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    last_number: u64,
    now: Nanos,
    longest: usize,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), last_number: 0, now: 0, longest: 0 }
    }
}

impl<E> Queue<E> {
    /// Returns the time of the last event taken out.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Adds an event. An event in the past is moved to the current time.
    pub fn put(&mut self, at: Nanos, event: E) {
        self.last_number += 1;
        self.heap.push(Scheduled { at: at.max(self.now), number: self.last_number, event });
        self.longest = self.longest.max(self.heap.len());
    }

    /// Removes the next event and advances the clock to its time.
    pub fn take(&mut self) -> Option<E> {
        let scheduled = self.heap.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }

    /// Returns the time of the next event.
    pub fn next_time(&self) -> Option<Nanos> {
        self.heap.peek().map(|scheduled| scheduled.at)
    }

    /// Returns how many events have been added so far.
    pub fn count(&self) -> u64 {
        self.last_number
    }

    /// Returns the largest number of events that were queued at once.
    pub fn longest(&self) -> usize {
        self.longest
    }
}

//! A timer wheel with coarse ticks.

use std::collections::VecDeque;

/// Number of slots, one per tick. A timer further ahead than one turn stays in its slot until its tick comes.
const SLOTS: usize = 1024;

/// A timer wheel for timers of type `T`. Timers cannot be cancelled: the receiver of a fired timer checks
/// whether it still applies.
pub struct TimerWheel<T> {
    tick: f64,
    /// The first tick whose slot has not been emptied yet.
    next: u64,
    slots: Vec<Vec<(u64, T)>>,
    len: usize,
    due: VecDeque<T>,
}

impl<T> TimerWheel<T> {
    /// Creates a wheel whose clock starts at 0. `tick` is in seconds, at least 1 ms.
    pub fn new(tick: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { tick: tick.max(0.001), next: 0, slots, len: 0, due: VecDeque::new() }
    }

    /// Schedules a timer for the first tick at or after `at`, in seconds.
    pub fn schedule(&mut self, at: f64, timer: T) {
        let tick = ((at.max(0.0) / self.tick).ceil() as u64).max(self.next);
        self.slots[tick as usize % SLOTS].push((tick, timer));
        self.len += 1;
    }

    /// Removes and returns the next timer due at `now`, in order of ticks.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        let current = (now / self.tick) as u64;
        while self.due.is_empty() && self.next <= current {
            if self.len == 0 {
                self.next = current + 1;
                break;
            }
            let slot = &mut self.slots[self.next as usize % SLOTS];
            for (tick, timer) in std::mem::take(slot) {
                if tick <= self.next {
                    self.due.push_back(timer);
                    self.len -= 1;
                } else {
                    slot.push((tick, timer));
                }
            }
            self.next += 1;
        }
        self.due.pop_front()
    }

    /// Returns when the next timer may be due, at most one turn of the wheel ahead; 0 if timers are due
    /// already.
    pub fn next_deadline(&self) -> f64 {
        if !self.due.is_empty() {
            return 0.0;
        }
        let ahead = (0..SLOTS as u64).find(|n| !self.slots[(self.next + n) as usize % SLOTS].is_empty());
        (self.next + ahead.unwrap_or(SLOTS as u64 - 1)) as f64 * self.tick
    }
}

//! Coarse timers on a wheel of ticks.

use std::collections::VecDeque;

/// Ticks in one turn of the wheel; later ones wait for their turn.
const SLOTS: usize = 1024;

/// Timers of type `T`, in ticks of one length. A timer cannot be withdrawn: who gets it checks it.
pub struct TimerWheel<T> {
    tick: f64,
    /// The first tick that has not fired yet.
    next: u64,
    slots: Vec<Vec<(u64, T)>>,
    len: usize,
    due: VecDeque<T>,
}

impl<T> TimerWheel<T> {
    /// A wheel whose clock starts at 0.
    pub fn new(tick: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { tick: tick.max(0.001), next: 0, slots, len: 0, due: VecDeque::new() }
    }

    /// Sets a timer for the first tick at or after `at`.
    pub fn schedule(&mut self, at: f64, timer: T) {
        let tick = ((at.max(0.0) / self.tick).ceil() as u64).max(self.next);
        self.slots[tick as usize % SLOTS].push((tick, timer));
        self.len += 1;
    }

    /// The next timer that is due at `now`, in the order of their ticks.
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

    /// When the loop has to look again, at most one turn of the wheel from now.
    pub fn next_deadline(&self) -> f64 {
        if !self.due.is_empty() {
            return 0.0;
        }
        let ahead = (0..SLOTS as u64).find(|n| !self.slots[(self.next + n) as usize % SLOTS].is_empty());
        (self.next + ahead.unwrap_or(SLOTS as u64 - 1)) as f64 * self.tick
    }
}

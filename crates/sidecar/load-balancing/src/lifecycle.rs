//! Lifecycle of a sidecar: standby, which operators enter and leave, and graceful shutdown. No I/O and no clock.
//!
//! The load balancer in front of the sidecars polls `/ready` ten times per second and stops opening connections soon
//! after a negative answer, but goes on using the open ones. So a sidecar in standby is not ready, answers the requests
//! that still arrive with `Connection: close`, and closes each client connection as soon as it is idle. The operators'
//! command `active` reverts all of this at once, without a restart. Closing the sockets is up to the caller.

/// The earliest SIGKILL follows SIGTERM after the longest deadline and this delay, in seconds.
const KILL_DELAY_S: f64 = 0.7;
/// The part of the longest deadline that counts for the earliest SIGKILL is at most this, in seconds.
const MAX_DEADLINE_S: f64 = 3.0;
/// All answers are sent at least this long before the earliest SIGKILL, in seconds.
const ANSWER_MARGIN_S: f64 = 0.35;
/// Fraction of the time up to the earliest SIGKILL for which idle clients may stay connected, since other sidecars may
/// be shutting down as well. The requests that arrive last on these connections need the remaining time.
const IDLE_FRACTION: f64 = 0.6;
/// Time in seconds for which the listener stays open after SIGTERM: new connections go on arriving for 0.4 s.
const ARRIVALS_END_S: f64 = 0.45;
/// Time for which clients may read the last answers, in seconds.
const FINAL_READ_TIMEOUT_S: f64 = 0.2;

/// The schedule of a graceful shutdown, in seconds after its request. It depends on the longest deadline, as the time
/// of the earliest SIGKILL does: if all deadlines are short, SIGKILL follows soon.
///
/// The order is `listener_closes`, `idle_closes`, `answers_by`, `exits_by`, all before the earliest SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// The listener closes, since no more connections arrive.
    pub listener_closes: f64,
    /// Idle client connections are closed, and from then on every answer closes its connection.
    pub idle_closes: f64,
    /// All open requests are answered at once.
    pub answers_by: f64,
    /// The process exits, even if clients have not yet read their last answers.
    pub exits_by: f64,
}

impl ShutdownSchedule {
    /// Returns the schedule for classes with these deadlines, in seconds.
    pub fn for_deadlines(deadlines: impl Iterator<Item = f64>) -> Self {
        let longest = deadlines.fold(0.0, f64::max).min(MAX_DEADLINE_S);
        let kill = longest + KILL_DELAY_S;
        let answers_by = kill - ANSWER_MARGIN_S;
        let idle_closes = (IDLE_FRACTION * kill).min(answers_by);
        let listener_closes = ARRIVALS_END_S.min(idle_closes);
        let exits_by = answers_by + FINAL_READ_TIMEOUT_S;
        ShutdownSchedule { listener_closes, idle_closes, answers_by, exits_by }
    }
}

/// The state that operators control: active or in standby.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lifecycle {
    /// When standby was entered, in seconds on the caller's clock; `None` while active.
    standby_since: Option<f64>,
    /// Number of times that standby was entered.
    pub standby_count: u64,
}

/// The result of [`Lifecycle::enter_standby`] and [`Lifecycle::leave_standby`], which are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The sidecar was already in the requested state.
    Unchanged,
    /// The state has changed.
    Changed,
}

impl Lifecycle {
    /// Enters standby at `now`. A further call does not change the time at which standby was entered.
    pub fn enter_standby(&mut self, now: f64) -> Transition {
        if self.standby_since.is_some() {
            return Transition::Unchanged;
        }
        self.standby_since = Some(now);
        self.standby_count += 1;
        Transition::Changed
    }

    /// Leaves standby, so that the sidecar accepts clients again.
    pub fn leave_standby(&mut self) -> Transition {
        match self.standby_since.take() {
            Some(_) => Transition::Changed,
            None => Transition::Unchanged,
        }
    }

    /// Returns when standby was entered, or `None` while active.
    pub fn standby_since(&self) -> Option<f64> {
        self.standby_since
    }

    /// Returns whether `/ready` gives a positive answer: if there is an upstream to send to, and the sidecar is neither
    /// in standby nor shutting down.
    pub fn is_ready(&self, has_upstreams: bool, shutting_down: bool) -> bool {
        has_upstreams && !shutting_down && self.standby_since.is_none()
    }

    /// Returns whether each answer closes its connection: in standby, and while `shutting_down`.
    pub fn closes_after_answer(&self, shutting_down: bool) -> bool {
        shutting_down || self.standby_since.is_some()
    }

    /// Returns whether client connections are closed as soon as they are idle.
    pub fn closes_idle_connections(&self) -> bool {
        self.standby_since.is_some()
    }
}

#[cfg(test)]
mod tests;

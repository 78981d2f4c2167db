//! Whether a sidecar accepts clients: the operators' standby and graceful shutdown, without I/O or clock.
//!
//! The load balancer in front polls `/ready` ten times a second and stops opening connections soon after a negative
//! answer; open connections stay in use. So a sidecar in standby is not ready, answers what still arrives with
//! `Connection: close`, and closes each client connection as soon as it is idle. `active` reverts all of it at once,
//! without a restart. Closing the sockets is up to the caller.

/// Earliest SIGKILL after SIGTERM, in seconds, beyond the longest deadline ...
const KILL_DELAY_S: f64 = 0.7;
/// ... of which no more than this counts, in seconds.
const MAX_DEADLINE_S: f64 = 3.0;
/// Answers are sent this long before the earliest SIGKILL, in seconds.
const ANSWER_MARGIN_S: f64 = 0.35;
/// Part of the time up to the earliest SIGKILL for which idle clients may stay connected: other sidecars may be
/// shutting down as well, and requests that arrive last on these connections need the rest.
const IDLE_FRACTION: f64 = 0.6;
/// After SIGTERM new connections go on arriving for 0.4 s; the listener stays open for longer than that.
const ARRIVALS_END_S: f64 = 0.45;
/// Time for clients to read the last answers, in seconds.
const FINAL_READ_TIMEOUT_S: f64 = 0.2;

/// Schedule of a graceful shutdown, in seconds after its request. It follows from the longest deadline, as SIGKILL
/// does: where all deadlines are short, SIGKILL comes soon.
///
/// In this order: `listener_closes`, `idle_closes`, `answers_by`, `exits_by`, all before the earliest SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// No more connections arrive: the listener closes.
    pub listener_closes: f64,
    /// Idle client connections close, and every answer from now on closes its connection.
    pub idle_closes: f64,
    /// Open requests are answered at once.
    pub answers_by: f64,
    /// The process exits, even if clients have not read their last answer.
    pub exits_by: f64,
}

impl ShutdownSchedule {
    /// The schedule for classes with these deadlines, in seconds.
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

/// The state that operators set: active or in standby.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lifecycle {
    /// Since when it is in standby, in seconds on the caller's clock.
    standby: Option<f64>,
    /// Number of changes to standby.
    pub standby_count: u64,
}

/// Result of a call to [`Lifecycle::enter_standby`] or [`Lifecycle::leave_standby`], which are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It was in that state already.
    Unchanged,
    /// The state has changed.
    Changed,
}

impl Lifecycle {
    /// Enters standby at `now`; a second call keeps the earlier time.
    pub fn enter_standby(&mut self, now: f64) -> Transition {
        if self.standby.is_some() {
            return Transition::Unchanged;
        }
        self.standby = Some(now);
        self.standby_count += 1;
        Transition::Changed
    }

    /// Accepts clients again.
    pub fn leave_standby(&mut self) -> Transition {
        match self.standby.take() {
            Some(_) => Transition::Changed,
            None => Transition::Unchanged,
        }
    }

    /// Since when it is in standby.
    pub fn standby_since(&self) -> Option<f64> {
        self.standby
    }

    /// Whether `/ready` is positive: with a node to send to, not in standby and not shutting down.
    pub fn is_ready(&self, has_nodes: bool, ending: bool) -> bool {
        has_nodes && !ending && self.standby.is_none()
    }

    /// Whether each answer closes its connection: in standby, or once shutdown was requested.
    pub fn closes_after_answer(&self, ending: bool) -> bool {
        ending || self.standby.is_some()
    }

    /// Whether idle client connections are closed at once.
    pub fn closes_idle_connections(&self) -> bool {
        self.standby.is_some()
    }
}

#[cfg(test)]
mod tests;

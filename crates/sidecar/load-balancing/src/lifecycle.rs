//! Whether a sidecar takes clients: the operators' standby and the planned end, without I/O or clock.
//!
//! The front asks `/ready` ten times a second and stops sending new connections soon after a no; the
//! connections that are open stay in use. So a sidecar in standby says no, answers what still comes with
//! `Connection: close`, and closes each client connection as soon as nothing is on it. `active` undoes all
//! of it at once, without a restart.

/// SIGKILL comes so long after SIGTERM at the earliest, beyond the longest deadline ...
const KILL_AFTER_S: f64 = 0.7;
/// ... of which no more than this counts.
const LONGEST_DEADLINE_S: f64 = 3.0;
/// Answers are out so long before the earliest SIGKILL.
const ANSWER_MARGIN_S: f64 = 0.35;
/// Part of the time up to the earliest SIGKILL for which resting clients may stay: others may be ending as
/// well, and what is asked on the last of these connections needs the rest of it.
const STAY_PART: f64 = 0.6;
/// After SIGTERM new connections go on arriving for 0.4 s.
const ARRIVALS_END_S: f64 = 0.45;
/// Clients have so long to take the last answers.
const FAREWELL_S: f64 = 0.2;

/// The times of a planned end, in seconds after it was told. They follow from the longest deadline, since
/// SIGKILL does: where all deadlines are short it comes soon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedEnd {
    /// Arrivals have ended: the listener closes.
    pub listener_closes: f64,
    /// Resting client connections close, and every answer from now on ends its connection.
    pub idle_closes: f64,
    /// What is owed then is answered at once.
    pub answers_by: f64,
    /// The process ends, whoever has not taken the last answer by then.
    pub exits_by: f64,
}

impl PlannedEnd {
    /// For classes with these deadlines.
    pub fn of(deadlines: impl Iterator<Item = f64>) -> Self {
        let longest = deadlines.fold(0.0, f64::max).min(LONGEST_DEADLINE_S);
        let kill = longest + KILL_AFTER_S;
        let answers_by = kill - ANSWER_MARGIN_S;
        let idle_closes = (STAY_PART * kill).min(answers_by);
        let listener_closes = ARRIVALS_END_S.min(idle_closes);
        PlannedEnd { listener_closes, idle_closes, answers_by, exits_by: answers_by + FAREWELL_S }
    }
}

/// The state that operators set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lifecycle {
    standby: Option<f64>,
    /// Times it was sent into standby.
    pub standbys: u64,
}

/// What a call to [`Lifecycle`] changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It was so already; a second call is harmless.
    Already,
    /// It is so now.
    Changed,
}

impl Lifecycle {
    /// Sends clients away from `now` on.
    pub fn standby(&mut self, now: f64) -> Turn {
        if self.standby.is_some() {
            return Turn::Already;
        }
        self.standby = Some(now);
        self.standbys += 1;
        Turn::Changed
    }

    /// Takes clients again.
    pub fn active(&mut self) -> Turn {
        match self.standby.take() {
            Some(_) => Turn::Changed,
            None => Turn::Already,
        }
    }

    /// Since when it is in standby.
    pub fn standby_since(&self) -> Option<f64> {
        self.standby
    }

    /// Whether `/ready` says yes: with a node to send to, not in standby and not ending.
    pub fn is_ready(&self, has_nodes: bool, ending: bool) -> bool {
        has_nodes && !ending && self.standby.is_none()
    }

    /// Whether each answer ends its connection: in standby, or after the end was told.
    pub fn closes_after_answer(&self, ending: bool) -> bool {
        ending || self.standby.is_some()
    }

    /// Whether a client connection with nothing on it is closed at once.
    pub fn sends_idle_away(&self) -> bool {
        self.standby.is_some()
    }
}

#[cfg(test)]
mod tests;

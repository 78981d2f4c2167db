//! Whether a sidecar takes clients: the operators' standby and the planned end, without I/O or clock.
//!
//! The front asks `/ready` ten times a second and stops sending new connections soon after a no; the
//! connections that are open stay in use. So a sidecar in standby says no, answers what still comes with
//! `Connection: close`, and closes each client connection as soon as nothing is on it. `active` undoes all
//! of it at once, without a restart.

/// The state that operators set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Duty {
    standby: Option<f64>,
    /// Times it was sent into standby.
    pub standbys: u64,
}

/// What a call to [`Duty`] changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It was so already; a second call is harmless.
    Already,
    /// It is so now.
    Changed,
}

impl Duty {
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
mod tests {
    use super::*;

    // Guards against a second standby that would move the time it began, and an active that restarts nothing.
    #[test]
    fn standby_and_active_are_harmless_twice_and_undo_each_other() {
        let mut duty = Duty::default();
        assert!(duty.is_ready(true, false));
        assert_eq!(duty.standby(1.0), Turn::Changed);
        assert_eq!(duty.standby(2.0), Turn::Already);
        assert_eq!(duty.standby_since(), Some(1.0));
        assert!(!duty.is_ready(true, false) && duty.closes_after_answer(false) && duty.sends_idle_away());
        assert_eq!(duty.active(), Turn::Changed);
        assert_eq!(duty.active(), Turn::Already);
        assert!(duty.is_ready(true, false) && !duty.closes_after_answer(false));
        assert!(!duty.is_ready(false, false) && !duty.is_ready(true, true));
        assert_eq!(duty.standbys, 1);
    }
}

//! How often a request may be executed, given every configuration under which it was admitted.
//!
//! The configuration may change while a request is in flight. An endpoint may be executing the request under the
//! permission of an earlier route, and the next attempt is sent under that of the newest one, so only what all of them
//! allow is allowed.

use passrelay_configuration::Route;

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionLimits {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Maximum number of executions.
    pub max_executions: u64,
}

impl ExecutionLimits {
    /// Returns the limits of a route.
    pub fn of(route: &Route) -> Self {
        ExecutionLimits { idempotent: route.is_idempotent(), max_executions: route.max_attempts }
    }

    /// Returns the limits that hold for a request admitted under `route` as well. They never become wider.
    pub fn restricted_by(self, route: &Route) -> Self {
        let route = ExecutionLimits::of(route);
        ExecutionLimits {
            idempotent: self.idempotent && route.idempotent,
            max_executions: self.max_executions.min(route.max_executions),
        }
    }

    /// Returns whether a request that has possibly been executed this often may be sent again.
    pub fn allow_repeat(&self, possibly_executed: u64) -> bool {
        self.idempotent && possibly_executed < self.max_executions
    }
}

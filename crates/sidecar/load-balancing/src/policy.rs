//! The load balancing policy: all decisions of the balancer. Its interface is defined in `src/api.rs`.
//!
//! An event first updates the state (endpoint list, load factors, outcomes, requests). Then [`dispatch`]
//! sends the pending requests that may be sent. There is one module for each decision:
//!
//! | module | decision |
//! |---|---|
//! | [`endpoints`] | which upstreams exist, and which of them this instance prefers |
//! | [`load_factor`] | which share of the traffic an upstream gets, by its load reports |
//! | [`slow_start`] | how far the traffic of a recently started upstream is limited |
//! | [`outlier`] | which upstreams and zones are ejected |
//! | [`health_check`] | when a health check must confirm a selection before the request is sent |
//! | [`selection`] | which upstream gets a request |
//! | [`admission_control`] | which requests are accepted, and when a pending request is rejected |
//! | [`concurrency_limit`] | how many requests may be in flight |
//! | [`hedging`] | when a stalled attempt is cancelled in favour of another one |
//! | [`retry`] | whether a failed request is sent again, and which upstreams may get it |
//! | [`outcome`] | how the outcome of an attempt updates the upstream, the estimates and the request |
//! | [`dispatch`] | in which order pending requests are sent, and the checks before each send |
//!
//! No module reads a clock or opens a socket; random numbers come only from the balancer's seeded generator.

mod admission_control;
mod concurrency_limit;
mod dispatch;
mod endpoints;
mod health_check;
mod hedging;
mod load_factor;
mod outcome;
mod outlier;
mod retry;
mod selection;
mod slow_start;

use crate::api::{Action, Event};
use crate::state::Balancer;

/// Token of the wake-up at which the dispatch queue is processed again.
const WAKE_DISPATCH: u64 = 0;
/// Token of the wake-up at which a failed subscription to the endpoint list is renewed.
const WAKE_RESUBSCRIBE: u64 = 1;

impl Balancer {
    /// Handles one event at time `now` and appends the resulting actions.
    ///
    /// A `now` that is not finite or before the latest event does not move the balancer's clock.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if now.is_finite() && now > self.now {
            self.now = now;
        }
        match event {
            Event::EndpointList(entries) => self.replace_endpoints(&entries, actions),
            Event::EndpointChanges(entries) => self.update_endpoints(&entries, actions),
            Event::EndpointListFailed => self.schedule_resubscription(actions),
            Event::Request { id, class, tenant, client_timeout, work_hint, .. } => {
                self.admit(id, class, tenant, client_timeout, work_hint);
            }
            Event::ResponseStarted { id, .. } => self.requests.complete(id),
            Event::Outcome(outcome) => self.observe_outcome(&outcome, actions),
            Event::ClientDisconnected(id) => self.requests.finish(id),
            Event::Wake(token) => self.handle_wake(token, actions),
            Event::HealthCheckEnded { upstream, ending, report, .. } => {
                self.observe_health_check(upstream, ending, report);
            }
        }
        self.dispatch(actions);
    }

    fn handle_wake(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token == WAKE_RESUBSCRIBE && self.settings.list_by_subscription {
            actions.push(Action::Subscribe);
        }
        if self.now + self.settings.tick >= self.next_wake {
            self.next_wake = f64::INFINITY;
        }
    }
}

//! The policy: every decision of the balancer. Its types, events and actions stand in `src/api.rs`.
//!
//! An event first updates the state (endpoint list, load factors, outcomes, requests); then [`dispatch`]
//! sends what can be sent. One module for each decision:
//!
//! | module | decision |
//! |---|---|
//! | [`endpoints`] | which upstreams exist, and which of them this instance prefers |
//! | [`load_factor`] | how much of the traffic an upstream gets, by its load reports |
//! | [`slow_start`] | how little a started upstream gets at first |
//! | [`outlier`] | which upstreams and zones are ejected |
//! | [`health_check`] | when a health check confirms a selection first |
//! | [`selection`] | which upstream gets a request |
//! | [`admission_control`] | which requests are accepted and when a pending one is rejected |
//! | [`concurrency_limit`] | how many requests may be in flight |
//! | [`hedging`] | when a stalled attempt is cancelled for another one |
//! | [`retry`] | whether a failed request is sent again, and where it may go |
//! | [`outcome`] | what the outcome of an attempt changes |
//! | [`dispatch`] | in which order pending requests are sent, and the checks before each send |
//!
//! Nothing here reads a clock, opens a socket or draws chance from anywhere but the balancer's seeded
//! generator.

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

/// Token of the wake-up at which a pending request needs a decision.
const WAKE_PENDING: u64 = 0;
/// Token of the wake-up at which the subscription to the endpoint list is renewed.
const WAKE_LIST: u64 = 1;

impl Balancer {
    /// Handles one event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if now.is_finite() && now > self.now {
            self.now = now;
        }
        match event {
            Event::EndpointList(entries) => self.replace_endpoints(&entries, actions),
            Event::EndpointChanges(entries) => self.update_endpoints(&entries, actions),
            Event::EndpointListFailed => self.back_off_list(actions),
            Event::Request { id, class, tenant, client_timeout, work_hint, .. } => {
                self.admit(id, class, tenant, client_timeout, work_hint);
            }
            Event::ResponseStarted { id, .. } => self.requests.complete(id),
            Event::Outcome(outcome) => self.observe_outcome(&outcome, actions),
            Event::ClientDisconnected(id) => self.requests.finish(id),
            Event::Wake(token) => self.wake(token, actions),
            Event::HealthCheckEnded { upstream, ending, report, .. } => {
                self.observe_health_check(upstream, ending, report);
            }
        }
        self.dispatch(actions);
    }

    fn wake(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token == WAKE_LIST && self.settings.list_by_subscription {
            actions.push(Action::Subscribe);
        }
        if self.now + self.settings.tick >= self.next_wake {
            self.next_wake = f64::INFINITY;
        }
    }
}

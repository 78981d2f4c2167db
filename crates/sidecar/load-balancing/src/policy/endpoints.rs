//! Endpoint list updates and subsetting: which upstreams exist, and which of them this instance prefers.
//!
//! If each of many instances used all upstreams, each would get few responses from any of them: its
//! observations would always be out of date, it would lose requests to every failing upstream, and it would
//! open a connection to each. So each instance prefers a subset, which overlaps with those of others.

use crate::api::{Action, EndpointEntry, EndpointState};
use crate::state::{Balancer, Upstream};

use super::load_factor::DEFAULT_LOAD_FACTOR;
use super::WAKE_RESUBSCRIBE;

/// Number of instances with the same upstream in their subsets. More means fewer responses from it to each.
const SUBSET_OVERLAP: f64 = 3.0;
/// Number of consecutive failed calls for the endpoint list after which the backoff no longer doubles.
const MAX_LIST_BACKOFF_EXPONENT: u32 = 4;
/// The base of the backoff is [`Settings::list_validity`](crate::Settings::list_validity) divided by this.
const LIST_BACKOFF_DIVISOR: f64 = 40.0;

impl Balancer {
    /// Applies a full endpoint list; upstreams that it does not contain are removed.
    pub(super) fn replace_endpoints(&mut self, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        for upstream in self.upstreams.values_mut() {
            upstream.entry.state = EndpointState::Removed;
        }
        self.update_endpoints(entries, actions);
    }

    /// Schedules the renewal of a failed subscription after a backoff with jitter, well before the endpoint
    /// list counts as outdated.
    pub(super) fn schedule_resubscription(&mut self, actions: &mut Vec<Action>) {
        self.list_failures = (self.list_failures + 1).min(MAX_LIST_BACKOFF_EXPONENT);
        let base = self.settings.list_validity / LIST_BACKOFF_DIVISOR;
        let jitter = 0.5 + self.rng.next();
        let backoff = base * f64::from(1 << self.list_failures) * jitter;
        actions.push(Action::Wake { after: backoff, token: WAKE_RESUBSCRIBE });
    }

    /// Applies changed entries of the endpoint list.
    pub(super) fn update_endpoints(&mut self, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        if self.settings.list_by_subscription && self.upstreams.is_empty() && self.list_failures == 0 {
            actions.push(Action::Subscribe);
        }
        self.list_failures = 0;
        for entry in entries {
            self.update_endpoint(entry);
        }
        // A removed upstream is kept until the outcomes of its attempts have arrived.
        self.upstreams.retain(|_, upstream| {
            upstream.entry.state != EndpointState::Removed || !upstream.in_flight.is_empty()
        });
        self.select_subset();
        if self.concurrency_limit.limit <= 0.0 {
            self.initialize_concurrency_limit();
        }
    }

    fn update_endpoint(&mut self, entry: &EndpointEntry) {
        let known = self.upstreams.get_mut(&entry.upstream);
        let restarted =
            |upstream: &Upstream| upstream.entry.started != entry.started && entry.started.is_some();
        match known {
            Some(upstream) if !restarted(upstream) => upstream.entry = *entry,
            _ => self.start_upstream(entry),
        }
    }

    /// Adds a new or restarted upstream without observations. Attempts in flight to the latter stay counted.
    fn start_upstream(&mut self, entry: &EndpointEntry) {
        // Random offsets, so that instances do not select upstreams in lockstep.
        let classes = self.settings.classes.iter();
        let current_weights = classes.map(|_| self.rng.next() * DEFAULT_LOAD_FACTOR).collect();
        let mut upstream = Upstream { current_weights, ..Upstream::new(*entry, DEFAULT_LOAD_FACTOR) };
        if let Some(previous) = self.upstreams.remove(&entry.upstream) {
            upstream.in_flight = previous.in_flight;
            upstream.outstanding_load = previous.outstanding_load;
        }
        let offset = self.rng.next();
        upstream.next_slow_start_send = self.now + offset * self.slow_start_interval(&upstream);
        self.upstreams.insert(entry.upstream, upstream);
    }

    /// Marks the upstreams that this instance prefers: a window over the running upstreams in the order of
    /// their ids, whose start depends on the instance's rank.
    fn select_subset(&mut self) {
        let running = |upstream: &&mut Upstream| upstream.entry.state == EndpointState::Running;
        let running: Vec<_> = self.upstreams.values_mut().filter(running).collect();
        let count = running.len() as f64;
        let per_instance = count / self.settings.instances as f64;
        let rank = self.settings.rank as f64;
        let start = (rank * per_instance).floor();
        let size = (SUBSET_OVERLAP * per_instance.max(1.0)).ceil().min(count);
        self.instances_per_upstream = (size / per_instance).max(1.0);
        for (index, upstream) in running.into_iter().enumerate() {
            upstream.in_subset = (index as f64 - start).rem_euclid(count) < size;
        }
    }
}

//! Slow start: limits the traffic of an upstream after its start.
//!
//! A recently started server fails under load that it could serve later; a single request from each of many
//! instances can be too much. Its capacity is assumed to grow linearly, and only the instances that have it
//! in their subset send to it, each its share.

use crate::state::{Balancer, Upstream};

/// Fraction of the capacity of an upstream in slow start that is used. A lower one would overload the others.
const SLOW_START_UTILIZATION: f64 = 0.8;

impl Balancer {
    /// Returns the fraction of its full capacity an upstream is assumed to have now; 1 after its slow start.
    pub(super) fn slow_start_capacity(&self, upstream: &Upstream) -> f64 {
        let initial = self.settings.slow_start_capacity;
        if self.now < upstream.suspect_until {
            return initial;
        }
        let started = upstream.entry.started;
        let age = started.map_or(f64::INFINITY, |started| (self.now - started).max(0.0));
        let duration = self.settings.slow_start_duration.max(self.settings.tick);
        (initial + (1.0 - initial) * age / duration).min(1.0)
    }

    /// Returns whether an upstream is in slow start.
    pub(super) fn in_slow_start(&self, upstream: &Upstream) -> bool {
        self.slow_start_capacity(upstream) < 1.0
    }

    /// Returns the minimum seconds between this instance's attempts to an upstream in slow start; 0 after it.
    ///
    /// Derived from the number of requests that other upstreams serve, or that one worker serves at the
    /// median response time. The number of requests sent to them is unsuitable: requests that they reject are
    /// retried and would raise it.
    pub(super) fn slow_start_interval(&self, upstream: &Upstream) -> f64 {
        let capacity = self.slow_start_capacity(upstream);
        let window = self.settings.overload_window;
        let median = self.response_times.median;
        let one_worker = window / median.max(self.settings.tick);
        let served = (self.served_per_warm_upstream * self.settings.instances as f64).max(one_worker);
        let per_instance = if median > 0.0 { served / self.instances_per_upstream } else { 1.0 };
        let budget = SLOW_START_UTILIZATION * self.settings.overload_factor * capacity * per_instance;
        f64::from(u8::from(capacity < 1.0)) * (window / budget).min(self.settings.slow_start_duration)
    }

    /// Removes the times of served requests that are older than the overload window.
    pub(super) fn prune_served_times(&mut self) {
        while self.served_at.front().is_some_and(|at| *at < self.now - self.settings.overload_window) {
            self.served_at.pop_front();
        }
    }
}

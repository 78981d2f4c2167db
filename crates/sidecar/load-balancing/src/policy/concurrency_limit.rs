//! Concurrency limit: how many requests this instance may have in flight.
//!
//! If the number of workers of an upstream is known, each instance gets its share of all workers. Otherwise
//! the limit follows response times: it is reduced by a factor while they show queueing at the upstreams, and
//! it grows linearly while it is used.

use crate::api::ClassId;
use crate::state::Balancer;

/// Initial limit: requests in flight per upstream, over all instances, before response times are known.
const INITIAL_CONCURRENCY_PER_UPSTREAM: f64 = 12.0;
/// Lower bound of the limit while workers are unknown: requests in flight per upstream, over all instances.
const MIN_CONCURRENCY_PER_UPSTREAM: f64 = 3.0;
/// Lower bound of the limit while workers are known: requests in flight per worker, over all instances.
const MIN_CONCURRENCY_PER_WORKER: f64 = 0.5;
/// A median response time above this multiple of its baseline shows queueing, within the two bounds below.
const QUEUEING_BASELINE_RATIO: f64 = 2.0;
/// Below this fraction of the latency target, the median never shows queueing: there is time left to queue.
const MIN_QUEUEING_TARGET_FRACTION: f64 = 0.5;
/// Above this fraction of the latency target, the median always shows queueing: the slower half of the
/// responses needs the rest of the target.
const MAX_QUEUEING_TARGET_FRACTION: f64 = 0.7;
/// Factor by which the limit is reduced, at most once per median response time.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// Amount by which the limit grows with each response, in requests.
const LIMIT_INCREASE: f64 = 0.1;
/// The limit grows while more than the limit divided by this number is in flight. As long as capacity is
/// unused, response times do not tell whether the upstreams could serve more.
const LIMIT_USE_DIVISOR: f64 = 2.0;
/// Multiplier of this instance's equal share of all workers, since clients spread unevenly over instances.
const WORKER_SHARE_HEADROOM: f64 = 1.2;

impl Balancer {
    /// Sets the initial limit, once the first endpoint list is known.
    pub(super) fn initialize_concurrency_limit(&mut self) {
        self.concurrency_limit.limit = INITIAL_CONCURRENCY_PER_UPSTREAM * self.upstreams_per_instance();
        self.concurrency_limit.usable_upstreams = self.upstreams.len() as f64;
    }

    /// Returns how many requests this instance may have in flight while `running` upstreams run: only its
    /// share, since instances that each filled all workers would together cause queues at the servers.
    pub(super) fn capacity(&self, running: usize) -> f64 {
        if self.confirms_selections() {
            return f64::MAX;
        }
        let share = |workers: f64| {
            let instances = self.settings.instances as f64;
            (WORKER_SHARE_HEADROOM * running as f64 * workers.round() / instances).ceil()
        };
        self.workers.map_or(f64::INFINITY, share).min(self.concurrency_limit.limit)
    }

    /// Records a response time in seconds and adapts the limit.
    pub(super) fn observe_response_time(&mut self, class: ClassId, elapsed: f64) {
        if !elapsed.is_finite() {
            return;
        }
        self.response_times.observe(class, elapsed.max(0.0));
        let in_flight: usize = self.upstreams.values().map(|upstream| upstream.in_flight.len()).sum();
        let in_flight =
            if self.concurrency_limit.limit < 1.0 { self.mean_concurrency() } else { in_flight as f64 };
        let baseline = self.response_times.update_baseline(class);
        if self.is_queueing(class, baseline) {
            self.reduce_limit(in_flight);
        } else if LIMIT_USE_DIVISOR * in_flight > self.concurrency_limit.limit
            || self.concurrency_limit.limit
                < INITIAL_CONCURRENCY_PER_UPSTREAM * self.concurrency_limit.usable_upstreams
        {
            self.concurrency_limit.limit += LIMIT_INCREASE;
        }
    }

    fn is_queueing(&self, class: ClassId, baseline: f64) -> bool {
        let target = self.settings.classes[class.0].latency_target;
        let threshold = (QUEUEING_BASELINE_RATIO * baseline)
            .clamp(MIN_QUEUEING_TARGET_FRACTION * target, MAX_QUEUEING_TARGET_FRACTION * target);
        self.response_times.class(class).median > threshold
    }

    fn reduce_limit(&mut self, in_flight: f64) {
        if self.now - self.concurrency_limit.reduced_at <= self.response_times.median {
            return;
        }
        let by_workers = |workers: f64| workers * MIN_CONCURRENCY_PER_WORKER;
        let per_upstream = self.workers.map_or(MIN_CONCURRENCY_PER_UPSTREAM, by_workers);
        let floor = per_upstream * self.upstreams_per_instance();
        let used = self.concurrency_limit.limit.min(in_flight + 1.0);
        self.concurrency_limit.limit = (used * LIMIT_DECREASE_FACTOR).max(floor);
        self.concurrency_limit.reduced_at = self.now;
    }
}

//! Selection: which upstream gets a request.
//!
//! Smooth weighted round robin selects among the upstreams that are currently selectable, weighted by load
//! factor and success weight. [`Balancer::selectable`] contains all rules that exclude an upstream from this.

use crate::api::{ClassId, EndpointState, UpstreamId};
use crate::estimate::OutcomeCounts;
use crate::state::{Balancer, Request, Upstream};
use crate::weighted_round_robin::{self, Candidate};

/// The least load is taken among upstreams with a success weight above this, since failing ones are idle.
const MIN_HEALTHY_SUCCESS_WEIGHT: f64 = 0.5;
/// Weight of a request's own cost relative to the load in flight, of which half is done on average and which
/// runs on several cores.
const OWN_COST_WEIGHT: f64 = 3.0;
/// Loads above the least load by at most this multiple of the mean request cost count as equal to it.
const LOAD_TOLERANCE: f64 = 0.2;
/// Load multiplier of upstreams in other zones while no other request is pending, if cross-zone attempts have
/// a price.
const CROSS_ZONE_LOAD_FACTOR: f64 = 1.3;
/// Prior of an upstream's success rate over its other classes, as a number of served attempts.
const OTHER_CLASSES_PRIOR: OutcomeCounts = OutcomeCounts { served: 2.0, completed: 2.0 };
/// Weight of the prior in the success rate of one class at one upstream, as a number of attempts.
const CLASS_PRIOR_WEIGHT: f64 = 2.0;
/// Exponent of the success rate in the success weight.
const SUCCESS_EXPONENT: i32 = 4;

/// An upstream that may be selected for a request, with its success weight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selectable {
    pub upstream: UpstreamId,
    /// Multiplier of the load factor that follows from the outcomes of recent attempts, 0 to 1.
    pub success_weight: f64,
}

/// Success weights of one class within one dispatch pass, computed on demand.
#[derive(Clone, Debug, Default)]
pub(super) struct SuccessWeights {
    /// Success rate of the class over all upstreams.
    overall: Option<f64>,
    /// By position of the upstream in `Balancer::upstreams`.
    by_upstream: Vec<Option<f64>>,
}

impl Balancer {
    /// Returns the upstreams that may be selected now for this request, in the order of their ids.
    pub(super) fn selectable(&self, request: &Request, weights: &mut SuccessWeights) -> Vec<Selectable> {
        let overall = *weights.overall.get_or_insert_with(|| self.success_rate(request.class));
        weights.by_upstream.resize(self.upstreams.len(), None);
        let available = self.upstreams.iter().zip(&mut weights.by_upstream);
        let available = available.filter(|((id, upstream), _)| self.is_available(request, **id, upstream));
        let available: Vec<_> = available
            .map(|((id, upstream), weight)| {
                let compute = || self.success_weight(upstream, request.class, overall);
                let success_weight = *weight.get_or_insert_with(compute);
                (upstream, Selectable { upstream: *id, success_weight })
            })
            .collect();
        // Reports are out of date, and a slow upstream gets as many requests as its spare CPU suggests. So
        // upstreams are left out to which this instance has more load in flight than to the least loaded one,
        // measured by the upstream's own service time.
        let cross_zone = self.cross_zone_load_factor();
        let load = |upstream: &Upstream| self.load_with(request, upstream, cross_zone);
        let healthy = available.iter().filter(|(_, item)| item.success_weight > MIN_HEALTHY_SUCCESS_WEIGHT);
        let least = healthy.map(|(upstream, _)| load(upstream)).fold(f64::INFINITY, f64::min);
        let max_load = least + LOAD_TOLERANCE * self.response_times.mean_cost.unwrap_or(1.0);
        let least_loaded = available.into_iter().filter(|(upstream, _)| load(upstream) <= max_load);
        // This instance's subset is preferred, and within it the upstreams that reported a spare worker.
        let preference = |upstream: &Upstream| (upstream.in_subset, self.has_spare_worker(upstream));
        let ranked: Vec<_> = least_loaded.map(|(upstream, item)| (preference(upstream), item)).collect();
        let best = ranked.iter().map(|(preference, _)| *preference).max();
        ranked.into_iter().filter(|(preference, _)| Some(*preference) == best).map(|(_, item)| item).collect()
    }

    /// Returns whether an upstream may get an attempt of this request, regardless of its load.
    fn is_available(&self, request: &Request, id: UpstreamId, upstream: &Upstream) -> bool {
        let tried = request.attempts.iter().any(|attempt| attempt.entry.upstream == id);
        let on_trial = upstream.consecutive_failures > 0 && !upstream.in_flight.is_empty();
        // Requests queued at a server can't be moved elsewhere, so only its workers are filled and further
        // requests stay queued here.
        let in_flight = upstream.in_flight.len() as f64;
        let workers_busy = self.workers.is_some_and(|workers| in_flight >= workers.round());
        let running = upstream.entry.state == EndpointState::Running;
        if !running || upstream.ejected || tried || on_trial || workers_busy {
            return false;
        }
        let paused = self.now < upstream.next_slow_start_send || !upstream.in_subset;
        let held_by_slow_start = paused && self.in_slow_start(upstream);
        let check_sent_at = upstream.health_check_sent_at.unwrap_or(f64::NEG_INFINITY);
        let being_checked = self.now - check_sent_at < self.settings.connect_timeout;
        !held_by_slow_start && !being_checked && self.in_dedup_scope(request, upstream)
    }

    /// Returns an upstream's load with this request, in seconds of work scaled by its own service time ratio.
    fn load_with(&self, request: &Request, upstream: &Upstream, cross_zone: f64) -> f64 {
        let zone = if upstream.entry.zone == self.settings.zone { 1.0 } else { cross_zone };
        let load = upstream.outstanding_load + OWN_COST_WEIGHT * request.load();
        load * upstream.service_time_ratio * zone
    }

    fn cross_zone_load_factor(&self) -> f64 {
        let has_price = self.settings.price_cross_zone > 0.0;
        if has_price && self.requests.pending().len() <= 1 {
            CROSS_ZONE_LOAD_FACTOR
        } else {
            1.0
        }
    }

    /// Returns the success weight of an upstream for a class, from the outcomes of recent attempts of that
    /// class. While these are few, its other classes and the class at all upstreams count as well. Without
    /// this weight, upstreams that quickly fail all requests, or all of one class, would attract traffic.
    fn success_weight(&self, upstream: &Upstream, class: ClassId, overall: f64) -> f64 {
        let others = (0..self.settings.classes.len()).filter(|other| *other != class.0);
        let others = others.map(|other| upstream.outcome_counts(ClassId(other), self.now));
        let others = others.fold(OTHER_CLASSES_PRIOR, OutcomeCounts::plus);
        let own = upstream.outcome_counts(class, self.now);
        let prior = CLASS_PRIOR_WEIGHT * overall * others.served / others.completed;
        ((own.served + prior) / (own.completed + CLASS_PRIOR_WEIGHT)).powi(SUCCESS_EXPONENT)
    }

    /// Selects one of these upstreams, which must be ordered by id, by smooth weighted round robin.
    pub(super) fn select_round_robin(
        &mut self,
        selectable: &[Selectable],
        class: ClassId,
    ) -> Option<UpstreamId> {
        let all_zero = selectable.iter().all(|item| self.upstreams[&item.upstream].load_factor <= 0.0);
        let mut remaining = selectable;
        weighted_round_robin::select(self.upstreams.iter_mut().filter_map(|(id, upstream)| {
            let (item, rest) = remaining.split_first().filter(|(item, _)| item.upstream == *id)?;
            remaining = rest;
            let load_factor = if all_zero { 1.0 } else { upstream.load_factor };
            let weight = item.success_weight * load_factor;
            Some(Candidate { item: *id, weight, current_weight: &mut upstream.current_weights[class.0] })
        }))
    }
}

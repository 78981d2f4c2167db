//! The state of a balancer, grouped by what it describes. The decisions based on it are in the `policy` module.

mod budgets;
mod concurrency;
mod requests;
mod response_times;
mod rng;
mod upstream;

pub use budgets::{HealthCheckBudget, QuotaBucket, RetryBudget, HEALTH_CHECK_BUDGET_PER_REQUEST};
pub use concurrency::{ConcurrencyLimit, MeanConcurrency};
pub use requests::{Attempt, PendingRequest, Request, Requests};
pub use response_times::ResponseTimes;
pub use rng::Rng;
pub use upstream::{InFlightAttempt, ObservedReport, Upstream};

use crate::api::{ClassId, Settings, SettingsError, UpstreamId};
use crate::estimate::OutcomeCounts;
use std::collections::{BTreeMap, VecDeque};

/// Prior of the success rate of a class over all upstreams, as a number of served attempts.
const SUCCESS_PRIOR: OutcomeCounts = OutcomeCounts { served: 3.0, completed: 3.0 };

/// One balancer instance: a state machine without I/O, driven by the events that the caller passes to
/// [`Balancer::handle`].
///
/// Times are seconds on the caller's clock.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    /// Latest time of an event; never moves back.
    pub(crate) now: f64,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) requests: Requests,
    /// Estimated number of workers of an upstream, from the load reports of upstreams with a queue; `None` before the
    /// first such report.
    pub(crate) workers: Option<f64>,
    pub(crate) response_times: ResponseTimes,
    /// Times at which upstreams past their slow start served a request, within the last
    /// [`Settings::overload_window`] seconds.
    pub(crate) served_at: VecDeque<f64>,
    /// Mean number of requests that an upstream past its slow start served in that window.
    pub(crate) served_per_warm_upstream: f64,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) mean_concurrency: MeanConcurrency,
    /// Number of instances that have an upstream in their subset, on average; at least 1.
    pub(crate) instances_per_upstream: f64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) health_check_budget: HealthCheckBudget,
    /// Quota buckets by [`TenantId`](crate::TenantId), one for each tenant in the settings.
    pub(crate) quotas: Vec<QuotaBucket>,
    /// Failed calls for the endpoint list since its last update; at most 4.
    pub(crate) list_failures: u32,
    /// Time of the earliest requested wake-up for the dispatch queue; infinite without one.
    pub(crate) next_wake: f64,
}

impl Balancer {
    /// Creates an instance whose clock starts at `now`. Instances need different seeds, so that they do not select
    /// upstreams in lockstep.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            now,
            upstreams: BTreeMap::new(),
            requests: Requests::default(),
            workers: None,
            response_times: ResponseTimes::new(settings.classes.len()),
            served_at: VecDeque::new(),
            served_per_warm_upstream: 0.0,
            concurrency_limit: ConcurrencyLimit::new(now),
            mean_concurrency: MeanConcurrency::new(now),
            instances_per_upstream: 1.0,
            retry_budget: RetryBudget::new(),
            health_check_budget: HealthCheckBudget::new(now),
            quotas: settings.tenants.iter().map(|t| QuotaBucket::new(t.quota_per_s, now)).collect(),
            list_failures: 0,
            next_wake: f64::INFINITY,
            settings,
        })
    }

    /// Returns the number of upstreams per instance. Limits are scaled with it, so that the requests of all instances
    /// together do not grow with the number of instances.
    pub(crate) fn upstreams_per_instance(&self) -> f64 {
        self.upstreams.len() as f64 / self.settings.instances as f64
    }

    /// Returns the mean number of this instance's requests in flight, over the last few median response times.
    pub(crate) fn mean_concurrency(&self) -> f64 {
        self.mean_concurrency.value_at(self.now, self.response_times.median, self.settings.tick)
    }

    /// Returns the success rate of a class over all upstreams, 0 to 1.
    pub(crate) fn success_rate(&self, class: ClassId) -> f64 {
        let counts = self.upstreams.values().map(|upstream| upstream.outcome_counts(class, self.now));
        counts.fold(SUCCESS_PRIOR, OutcomeCounts::plus).success_rate()
    }

    /// Takes one token from a tenant's quota at this instance. Returns `false` if the request exceeds the quota.
    pub(crate) fn take_quota(&mut self, tenant: usize, quota_per_s: f64) -> bool {
        let rate_per_s = quota_per_s / self.settings.instances as f64;
        self.quotas[tenant].try_take(rate_per_s, self.now)
    }

    /// Replaces the settings by those of a later generation, except for the tick, in which the timers that are
    /// already set count.
    ///
    /// Classes must keep their positions, so that requests that are already admitted keep the rules of their class. A
    /// changed class must be added at the end, under a new position.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings are invalid or have fewer classes than before. Nothing is changed in
    /// that case.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        let classes = settings.classes.len();
        if classes < self.settings.classes.len() {
            return Err(SettingsError { name: "classes", problem: "must not be removed, only added" });
        }
        self.response_times.resize(classes);
        // The round robin of a new class starts at random offsets, as it does for a new upstream. The current weights
        // of the existing classes do not change.
        let max_offset = self.upstreams.values().map(|upstream| upstream.load_factor).fold(1.0, f64::max);
        for upstream in self.upstreams.values_mut() {
            while upstream.current_weights.len() < classes {
                upstream.current_weights.push(self.rng.next() * max_offset);
            }
        }
        self.quotas.resize(settings.tenants.len(), QuotaBucket::new(f64::INFINITY, self.now));
        for (quota, tenant) in self.quotas.iter_mut().zip(&settings.tenants) {
            quota.set_tokens(tenant.quota_per_s);
        }
        self.settings = Settings { tick: self.settings.tick, ..settings };
        Ok(())
    }
}

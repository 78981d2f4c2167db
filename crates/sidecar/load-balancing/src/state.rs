//! The state that the policy works on, grouped by owner. No decisions: these stand in `policy`.

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

/// Prior of the success rate of a class over all upstreams, as so many served attempts.
const SUCCESS_PRIOR: OutcomeCounts = OutcomeCounts { served: 3.0, completed: 3.0 };

/// The decisions of one balancer instance: a state machine without I/O, driven by the caller's clock.
///
/// Times are seconds on the caller's clock.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    /// Latest time of an event; never moves back.
    pub(crate) now: f64,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) requests: Requests,
    /// Workers of an upstream, learned from reports of those with a queue.
    pub(crate) workers: Option<f64>,
    pub(crate) response_times: ResponseTimes,
    /// When upstreams past their slow start served a request, within the last `Settings::fall` seconds.
    pub(crate) served_at: VecDeque<f64>,
    /// Requests that each upstream past its slow start served in that window, on average.
    pub(crate) served_per_warm_upstream: f64,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) mean_concurrency: MeanConcurrency,
    /// Instances that have a given upstream in their subset, this one among them; at least 1.
    pub(crate) instances_per_upstream: f64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) health_check_budget: HealthCheckBudget,
    /// By tenant, as long as the settings have tenants.
    pub(crate) quotas: Vec<QuotaBucket>,
    /// Failed calls for the endpoint list since the last update; at most 4.
    pub(crate) list_failures: u32,
    /// Time of the earliest wake-up asked for; infinite without one.
    pub(crate) next_wake: f64,
}

impl Balancer {
    /// A new instance. `seed` sets it apart from other instances; `now` starts its clock.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for settings that are invalid.
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

    /// Upstreams for each instance: what all instances send together must not grow with their number.
    pub(crate) fn upstreams_per_instance(&self) -> f64 {
        self.upstreams.len() as f64 / self.settings.instances as f64
    }

    /// Mean of own requests in flight over some median response times.
    pub(crate) fn mean_concurrency(&self) -> f64 {
        self.mean_concurrency.at(self.now, self.response_times.median, self.settings.tick)
    }

    /// Success rate of a class over all upstreams, 0 to 1.
    pub(crate) fn success_rate(&self, class: ClassId) -> f64 {
        let counts = self.upstreams.values().map(|upstream| upstream.outcome_counts(class, self.now));
        counts.fold(SUCCESS_PRIOR, OutcomeCounts::plus).success_rate()
    }

    /// Takes one request out of a tenant's quota at this instance; false when it exceeds the quota.
    pub(crate) fn take_quota(&mut self, tenant: usize, quota_per_s: f64) -> bool {
        let rate_per_s = quota_per_s / self.settings.instances as f64;
        self.quotas[tenant].try_take(rate_per_s, self.now)
    }

    /// Replaces the settings by those of a later generation. Classes keep their positions, so that requests
    /// already admitted keep the rules of their class; a changed class comes under a new position at the end.
    /// The tick stays: the timers already set count in it.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for settings that are invalid or would remove classes.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        let classes = settings.classes.len();
        if classes < self.settings.classes.len() {
            return Err(SettingsError { name: "classes", problem: "may be added to, not taken away" });
        }
        self.response_times.resize(classes);
        // New classes start their round robin at a random offset, as those of the start did; no existing
        // current weight changes.
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

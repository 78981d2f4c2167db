//! Settings of one balancer instance, and their validation.

use super::{ClassId, ZoneId};
use std::fmt;

/// The upstreams that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every upstream.
    All,
    /// Upstreams in the zone of the first attempt that may have run.
    Zone,
    /// Upstreams in the cell of the first attempt that may have run.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Running the request twice is harmless.
    Idempotent,
    /// The request carries a key by which upstreams drop repeats, within a scope and for a time.
    Keyed {
        /// Which upstreams drop repeats.
        scope: DedupScope,
        /// How long they drop repeats after the first attempt that may have run, in seconds.
        window: f64,
    },
    /// The request must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether another attempt may be sent `after` seconds after the first one that may have run.
    pub fn allows_repeat(self, after: f64) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => after < window,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// A class of requests, with what its answers are worth and how it may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency target in seconds; answers within it earn the full value.
    pub latency_target: f64,
    /// Added to the latency target for each second of the request's expected work, in seconds.
    pub latency_target_per_work: f64,
    /// Value of one answer; requests with a higher value are dispatched first.
    pub value: f64,
    /// Fraction of the value that an answer after the latency target still earns; 0 if it is worthless.
    pub late_value: f64,
    /// Whether a request may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_target: 1.0,
            latency_target_per_work: 0.0,
            value: 1.0,
            late_value: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

/// A tenant, with its quota over all balancer instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second; infinite without a limit.
    pub quota_per_s: f64,
}

/// Settings of one balancer instance. [`Settings::default`] describes a single instance with one idempotent class.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Balancer instances in this tier; 1 by default.
    pub instances: usize,
    /// Number of this instance among them, from 0; 0 by default.
    pub rank: usize,
    /// The request classes; one idempotent class by default.
    pub classes: Vec<Class>,
    /// The tenants with a quota; none by default.
    pub tenants: Vec<Tenant>,
    /// Multiplier of the value of a request that exceeds its tenant's quota, 0 to 1; 1 by default.
    pub over_quota_value: f64,
    /// Whether values count per unit of work instead of per request; false by default. Not used by the balancer.
    pub value_by_work: bool,
    /// Zone in which this instance runs; zone 0 by default.
    pub zone: ZoneId,
    /// Price of one attempt in another zone, as a fraction of a request's value; 0 by default.
    pub price_cross_zone: f64,
    /// Price of one health check, as a fraction of a request's value; 0 by default.
    pub price_health_check: f64,
    /// Whether updates of the endpoint list need a subscription, see [`Action::Subscribe`](crate::Action::Subscribe);
    /// false by default.
    pub list_by_subscription: bool,
    /// Time in seconds for which the endpoint list of an instance with a subscription counts as current without
    /// updates; 10 by default.
    pub list_validity: f64,
    /// Whether load reports come with answers; if not, only with health check results. True by default. Not used by
    /// the balancer, which takes reports from both.
    pub reports_in_answers: bool,
    /// Whether load reports contain the number of requests at the upstream; false by default.
    pub reports_concurrency: bool,
    /// Whether load reports also contain how many of these are queued, so that they show spare workers; false by
    /// default.
    pub reports_queue: bool,
    /// Whether health checks may be sent; false by default.
    pub allow_health_checks: bool,
    /// Whether attempts may be cancelled, which hedging needs; false by default.
    pub allow_cancel: bool,
    /// Whether two attempts of one request may be in flight at the same time; false by default.
    pub allow_concurrent_attempts: bool,
    /// Maximum number of attempts of one request, the first included; 3 by default.
    pub max_attempts: u32,
    /// Whether rejections carry the time after which the client may retry; false by default.
    pub send_retry_after: bool,
    /// The time in seconds that rejections carry if [`Settings::send_retry_after`] is set: the longest that clients
    /// honour; 0 by default.
    pub max_retry_after: f64,
    /// Time-out for establishing a connection, in seconds; 0.25 by default.
    pub connect_timeout: f64,
    /// Time in seconds after which nothing may be sent any more to an upstream that has begun to drain; 1 by default.
    /// Not used by the balancer, which sends nothing to a draining upstream.
    pub drain_grace: f64,
    /// Fraction of its capacity that an upstream has at the beginning of its slow start, 0 to 1; 0.2 by default.
    pub slow_start_capacity: f64,
    /// Duration of the slow start in seconds; 20 by default.
    pub slow_start_duration: f64,
    /// Multiple of its capacity above which an upstream in slow start fails; 2 by default.
    pub overload_factor: f64,
    /// Window in seconds over which the requests sent to an upstream in slow start are counted; 2 by default.
    pub overload_window: f64,
    /// Shortest time between two batches of events, in seconds; 0.001 by default.
    pub tick: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instances: 1,
            rank: 0,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_quota_value: 1.0,
            value_by_work: false,
            zone: ZoneId(0),
            price_cross_zone: 0.0,
            price_health_check: 0.0,
            list_by_subscription: false,
            list_validity: 10.0,
            reports_in_answers: true,
            reports_concurrency: false,
            reports_queue: false,
            allow_health_checks: false,
            allow_cancel: false,
            allow_concurrent_attempts: false,
            max_attempts: 3,
            send_retry_after: false,
            max_retry_after: 0.0,
            connect_timeout: 0.25,
            drain_grace: 1.0,
            slow_start_capacity: 0.2,
            slow_start_duration: 20.0,
            overload_factor: 2.0,
            overload_window: 2.0,
            tick: 0.001,
        }
    }
}

impl Settings {
    /// Returns the highest value of any class; never 0.
    pub(crate) fn max_value(&self) -> f64 {
        self.classes.iter().map(|class| class.value).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Returns the value of a class relative to the highest value of any class, 0 to 1; 1 for an unknown class.
    pub fn relative_value(&self, class: ClassId) -> f64 {
        self.classes.get(class.0).map_or(1.0, |class| class.value / self.max_value())
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first invalid setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.instances == 0 {
            return invalid("balancers", "must be at least 1");
        }
        if self.classes.is_empty() {
            return invalid("classes", "must not be empty");
        }
        if self.max_attempts == 0 {
            return invalid("max_attempts", "must be at least 1");
        }
        self.validate_spans()?;
        self.validate_fractions()?;
        self.classes.iter().try_for_each(Class::validate)?;
        if self.tenants.iter().any(|tenant| tenant.quota_per_s.is_nan() || tenant.quota_per_s < 0.0) {
            return invalid("tenants", "must have allowances that are not negative");
        }
        Ok(())
    }

    /// Checks the durations and factors. Errors name the keys of the settings, some of which differ from the names of
    /// the fields.
    fn validate_spans(&self) -> Result<(), SettingsError> {
        let spans = [
            ("ask_every", self.list_validity),
            ("connect_timeout", self.connect_timeout),
            ("drain_grace", self.drain_grace),
            ("warm_within", self.slow_start_duration),
            ("overload_factor", self.overload_factor),
            ("fall", self.overload_window),
            ("tick", self.tick),
            ("max_retry_after", self.max_retry_after),
            ("price_cross_zone", self.price_cross_zone),
            ("price_probe", self.price_health_check),
        ];
        match spans.iter().find(|(_, value)| !value.is_finite() || *value < 0.0) {
            Some((name, _)) => invalid(name, "must be finite and not negative"),
            None => Ok(()),
        }
    }

    fn validate_fractions(&self) -> Result<(), SettingsError> {
        let fractions =
            [("cold_from", self.slow_start_capacity), ("over_share_worth", self.over_quota_value)];
        match fractions.iter().find(|(_, value)| !(0.0..=1.0).contains(value)) {
            Some((name, _)) => invalid(name, "must lie between 0 and 1"),
            None => Ok(()),
        }
    }
}

impl Class {
    fn validate(&self) -> Result<(), SettingsError> {
        let numbers = [self.latency_target, self.latency_target_per_work, self.value, self.late_value];
        if numbers.iter().any(|value| !value.is_finite() || *value < 0.0) {
            return invalid(
                "classes",
                "must have finite, non-negative aims, aim stretches, gains and late values",
            );
        }
        if matches!(self.idempotency, Idempotency::Keyed { window, .. } if !window.is_finite() || window < 0.0)
        {
            return invalid("classes", "must have finite, non-negative repeat windows");
        }
        Ok(())
    }
}

fn invalid(name: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { name, problem })
}

/// The error for an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Key of the setting.
    pub name: &'static str,
    /// The rule that its value violates, as the rest of a sentence that starts with the key.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.name, self.problem)
    }
}

impl std::error::Error for SettingsError {}

//! Settings of one balancer instance and their validation.

use super::{ClassId, ZoneId};
use std::fmt;

/// Which upstreams drop a repeated keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every upstream.
    All,
    /// Upstreams in the zone of the first attempt that may have run.
    Zone,
    /// Upstreams in the cell of that attempt.
    Cell,
}

/// What may follow an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Idempotent: running twice is harmless.
    Idempotent,
    /// Repeats are dropped within a scope for a time.
    Keyed {
        /// Which upstreams drop repeats.
        scope: DedupScope,
        /// For how long after the first attempt that may have run, in seconds.
        window: f64,
    },
    /// Must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Whether another attempt may start this many seconds after the first one that may have run.
    pub fn allows_repeat(self, after: f64) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => after < window,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency target in seconds: answers within it earn the full value.
    pub latency_target: f64,
    /// The latency target grows by this multiple of the request's own work.
    pub latency_target_per_work: f64,
    /// Value of one request; requests of a higher value are dispatched first.
    pub value: f64,
    /// Part of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// Whether a request may run again.
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

/// A tenant with its quota over all balancer instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests a second; infinite when there is none.
    pub quota_per_s: f64,
}

/// Settings of one instance. [`Settings::default`] describes a single instance with one safe class.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Balancer instances in this tier; 1 by default.
    pub instances: usize,
    /// The number of this instance among them, from 0; 0 by default.
    pub rank: usize,
    /// The classes; one safe class by default.
    pub classes: Vec<Class>,
    /// The tenants; none by default.
    pub tenants: Vec<Tenant>,
    /// Value multiplier of a request that exceeds its tenant's quota, 0 to 1; 1 by default.
    pub over_quota_value: f64,
    /// Values count for each unit of work in place of each request; false by default.
    pub value_by_work: bool,
    /// The zone of this instance; zone 0 by default.
    pub zone: ZoneId,
    /// Price of one attempt in another zone, as a part of a request's value; 0 by default.
    pub price_cross_zone: f64,
    /// Price of one health check, as a part of a request's value; 0 by default.
    pub price_health_check: f64,
    /// Updates of the endpoint list need a subscription ([`Action::Subscribe`](crate::Action::Subscribe)); false by default.
    pub list_by_subscription: bool,
    /// Without updates for this long an instance that subscribes counts as informed, in seconds; 10 by default.
    pub list_validity: f64,
    /// Reports come in answers (false: only in health check results); true by default.
    pub reports_in_answers: bool,
    /// Reports carry the number of requests at an upstream; false by default.
    pub reports_concurrency: bool,
    /// ... and how many of these are queued, so that a spare worker shows; false by default.
    pub reports_queue: bool,
    /// Health checks are allowed; false by default.
    pub allow_health_checks: bool,
    /// Cancelling an attempt is allowed; false by default.
    pub allow_cancel: bool,
    /// Two attempts of one request may be in flight together; false by default.
    pub allow_concurrent_attempts: bool,
    /// Maximum number of attempts of one request; 3 by default.
    pub max_attempts: u32,
    /// Rejections carry a time to retry after; false by default.
    pub send_retry_after: bool,
    /// The longest such time that clients honour, in seconds; 0 by default.
    pub max_retry_after: f64,
    /// Time-out for a connection, in seconds; 0.25 by default.
    pub connect_timeout: f64,
    /// Sends to a draining upstream must have stopped after this, in seconds; 1 by default.
    pub drain_grace: f64,
    /// Part of its capacity that an upstream has at the start of its slow start, 0 to 1; 0.2 by default.
    pub slow_start_capacity: f64,
    /// Duration of the slow start in seconds; 20 by default.
    pub slow_start_duration: f64,
    /// An upstream in slow start that is sent more than this multiple of its capacity fails; 2 by default.
    pub overload_factor: f64,
    /// The window over which that is counted, in seconds; 2 by default.
    pub overload_window: f64,
    /// The shortest time between two batches of events, in seconds; 0.001 by default.
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
    /// The value of the most valuable class; never 0.
    pub(crate) fn max_value(&self) -> f64 {
        self.classes.iter().map(|class| class.value).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// The value of a class relative to the most valuable one's, 0 to 1; 1 for an unknown class.
    pub fn relative_value(&self, class: ClassId) -> f64 {
        self.classes.get(class.0).map_or(1.0, |class| class.value / self.max_value())
    }

    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] naming the first setting that is not.
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
            return invalid("tenants", "an allowance must not be negative");
        }
        Ok(())
    }

    /// Names in errors are those of the settings' keys, which differ from the fields' names.
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
            return invalid("classes", "aims, gains and late values must be finite and not negative");
        }
        if matches!(self.idempotency, Idempotency::Keyed { window, .. } if !window.is_finite() || window < 0.0)
        {
            return invalid("classes", "a repeat window must be finite and not negative");
        }
        Ok(())
    }
}

fn invalid(name: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { name, problem })
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub name: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.name, self.problem)
    }
}

impl std::error::Error for SettingsError {}

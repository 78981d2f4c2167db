//! Canary judgement: whether a new version is worse than the one in service, measured on comparable requests in the
//! same period.
//!
//! A request counts as failed or not, and as slow or not: it is slow if it takes several times as long as the median
//! of its class at the base version. Each rate at the new version is compared with that at the base by a mixture
//! sequential probability ratio test: if the true rate is at most `tolerated`, the ratio of the likelihood under a
//! uniformly distributed rate to that under `tolerated` ever exceeds `1 / FALSE_POSITIVE_PROBABILITY` with a
//! probability below `FALSE_POSITIVE_PROBABILITY` (Ville's inequality). So the test may be repeated after every
//! report.

use super::evidence::{Comparison, Comparisons};
use passrelay_dissemination::{LatencyMeasure, RequestClass, RequestTally, LOAD_TEST_SIZE_CLASS};
use statrs::function::beta::ln_beta;
use std::collections::BTreeSet;

/// Upper bound of the probability that a version with tolerable rates is judged bad, per tested rate.
const FALSE_POSITIVE_PROBABILITY: f64 = 1e-4;
/// Minimum number of failures, or of slow requests, for a version to be judged bad.
const MIN_EVENTS: f64 = 4.0;
/// Failure rate that is always tolerated; a higher rate is tolerated if the base's rate, with a margin, is higher.
const TOLERATED_FAILURES: f64 = 0.02;
/// Rate of slow requests that is tolerated in addition to the base's rate with a margin.
const TOLERATED_SLOW: f64 = 0.08;
/// Factor on the base's rates, since the new version runs on other endpoints in other locations.
const RATE_MARGIN: f64 = 1.5;
/// A request is slow if its latency bucket is at least this many buckets above the median's: 3 to 4 times the latency.
const SLOW_BUCKETS: usize = 4;
/// Minimum number of requests at the base version for a meaningful median.
const MIN_BASE_REQUESTS: u32 = 10;
/// Minimum number of requests at the new version, over all routes, for judging it good.
const MIN_TARGET_REQUESTS: u32 = 20;
/// Routes with less than this share of the base's requests are exempt from [`MIN_ROUTE_REQUESTS`].
const MAIN_ROUTE_SHARE: f64 = 0.05;
/// Minimum number of requests at the new version on each main route, for judging it good.
const MIN_ROUTE_REQUESTS: u32 = 4;

/// Judgement of the new version by the outcomes so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The version is worse. Contains the reason, for operators.
    Bad(String),
    /// There is no evidence against the version, and enough requests were compared.
    Good,
    /// There is no evidence against the version, but too few requests were compared.
    Unknown,
}

/// Judges the new version by the outcomes of all sidecars. Each route is tested separately, and on each route the
/// requests of the load test separately from the others.
pub fn judge(comparisons: &Comparisons) -> Judgement {
    let routes: BTreeSet<&str> = comparisons.keys().map(|class| class.route.as_str()).collect();
    for route in &routes {
        for is_load_test in [false, true] {
            let is_comparable =
                |class: &RequestClass| class.route == *route && is_of_load_test(class) == is_load_test;
            let comparable = comparisons.iter().filter(|(class, _)| is_comparable(class));
            let comparable: Classes = comparable.map(|(class, comparison)| (*class, comparison)).collect();
            if let Some(reason) = regression(&comparable) {
                let load = if is_load_test { " under load" } else { "" };
                return Judgement::Bad(format!("route {route}{load}: {reason}"));
            }
        }
    }
    if has_enough_requests(&routes, comparisons) {
        Judgement::Good
    } else {
        Judgement::Unknown
    }
}

fn is_of_load_test(class: &RequestClass) -> bool {
    class.size_class == LOAD_TEST_SIZE_CLASS
}

/// Returns the reason why the new version is worse on these request classes, or `None` if there is no evidence for
/// that.
fn regression(classes: &Classes) -> Option<String> {
    let complete_latency_regression = || {
        latency_regression(classes, LatencyMeasure::Complete)
            .map(|reason| format!("{reason} (whole answers)"))
    };
    failure_regression(classes)
        .or_else(|| latency_regression(classes, LatencyMeasure::FirstByte))
        .or_else(complete_latency_regression)
}

/// Comparable request classes with their outcomes.
type Classes<'a> = Vec<(&'a RequestClass, &'a Comparison)>;

/// Sequential test of a rate at the new version: `events` among `requests` against the `tolerated` rate.
struct RateTest {
    events: f64,
    requests: f64,
    tolerated: f64,
}

impl RateTest {
    /// Returns whether the rate exceeds the tolerated one, with the error bound given in the module documentation.
    fn is_exceeded(&self) -> bool {
        let RateTest { events, requests, tolerated } = *self;
        if events < MIN_EVENTS || events <= tolerated * requests {
            return false;
        }
        let others = requests - events;
        let log_likelihood_uniform = ln_beta(events + 1.0, others + 1.0);
        let log_likelihood_tolerated = events * tolerated.ln() + others * (1.0 - tolerated).ln();
        log_likelihood_uniform - log_likelihood_tolerated > -FALSE_POSITIVE_PROBABILITY.ln()
    }
}

/// Returns the reason, if the failure rate at the new version exceeds the tolerated one.
fn failure_regression(classes: &Classes) -> Option<String> {
    let (mut base, mut target) = (RequestTally::default(), RequestTally::default());
    for (_, comparison) in classes {
        base.merge(&comparison.base);
        target.merge(&comparison.target);
    }
    let base_rate = f64::from(base.failed) / f64::from(base.ended.max(1));
    let test = RateTest {
        events: f64::from(target.failed),
        requests: f64::from(target.ended),
        tolerated: (base_rate * RATE_MARGIN + TOLERATED_FAILURES / 2.0).clamp(TOLERATED_FAILURES, 0.9),
    };
    test.is_exceeded().then(|| {
        let (failed, ended) = (target.failed, target.ended);
        format!(
            "{failed} of {ended} requests failed, {} of {} at the version before",
            base.failed, base.ended
        )
    })
}

/// Returns the reason, if the rate of slow requests at the new version exceeds the tolerated one.
fn latency_regression(classes: &Classes, measure: LatencyMeasure) -> Option<String> {
    let (mut slow, mut requests, mut expected) = (0.0, 0.0, 0.0);
    for (_, comparison) in classes.iter().filter(|(class, _)| class.measure == measure) {
        let Some(threshold) = slow_threshold(&comparison.base) else { continue };
        let (base_slow, base_requests) = count_from_bucket(&comparison.base, threshold);
        let (target_slow, target_requests) = count_from_bucket(&comparison.target, threshold);
        let tolerated = base_slow / base_requests * RATE_MARGIN + TOLERATED_SLOW;
        slow += target_slow;
        requests += target_requests;
        expected += target_requests * tolerated;
    }
    let tolerated = (expected / requests.max(1.0)).clamp(TOLERATED_SLOW, 0.9);
    let test = RateTest { events: slow, requests, tolerated };
    test.is_exceeded()
        .then(|| format!("{slow} of {requests} requests took several times as long as at the version before"))
}

/// Returns the lowest latency bucket whose requests are slow, or `None` if the base version has served too few requests
/// for a meaningful median.
fn slow_threshold(base: &RequestTally) -> Option<usize> {
    let requests: u32 = base.latencies.iter().sum();
    let mut remaining = requests / 2;
    let median = base.latencies.iter().position(|count| {
        let is_median = *count > remaining;
        remaining = remaining.saturating_sub(*count);
        is_median
    });
    median.filter(|_| requests >= MIN_BASE_REQUESTS).map(|median| median + SLOW_BUCKETS)
}

/// Returns the number of requests in `bucket` and the buckets above it, and the number of all requests.
fn count_from_bucket(tally: &RequestTally, bucket: usize) -> (f64, f64) {
    let slow: u32 = tally.latencies.iter().skip(bucket).sum();
    let all: u32 = tally.latencies.iter().sum();
    (f64::from(slow), f64::from(all))
}

/// Returns whether the new version has served enough requests, in total and on each main route, to be judged good.
fn has_enough_requests(routes: &BTreeSet<&str>, comparisons: &Comparisons) -> bool {
    let count = |route: Option<&str>, tally: fn(&Comparison) -> &RequestTally| -> u32 {
        let on_route = comparisons.iter().filter(|(class, _)| route.is_none_or(|route| class.route == route));
        on_route.map(|(_, comparison)| tally(comparison).ended).sum()
    };
    let base_requests = f64::from(count(None, |comparison| &comparison.base));
    let is_sampled = |route: &&str| {
        let base_requests_on_route = f64::from(count(Some(route), |comparison| &comparison.base));
        base_requests_on_route < MAIN_ROUTE_SHARE * base_requests
            || count(Some(route), |comparison| &comparison.target) >= MIN_ROUTE_REQUESTS
    };
    count(None, |comparison| &comparison.target) >= MIN_TARGET_REQUESTS && routes.iter().all(is_sampled)
}

//! Whether a new version is worse than the one in service, on requests that are alike and at the same time.
//!
//! Requests count as failed or not, and as slow or not: slow is whoever takes several times as long as the median of its class at
//! the base version. Each rate at the new version is compared with that at the base by a mixture of sequential probability ratios:
//! under a rate of at most `tolerated`, the ratio of the likelihood under a uniformly drawn rate to that under `tolerated` exceeds
//! `1 / FALSE_POSITIVE_PROBABILITY` at any time with a probability below `FALSE_POSITIVE_PROBABILITY` (Ville's inequality). So it may be looked at after every report.

use super::evidence::{Comparison, Comparisons};
use passrelay_dissemination::{Measure, RequestClass, Tally, LOAD_TEST_CLASS};
use statrs::function::beta::ln_beta;
use std::collections::BTreeSet;

/// Probability of condemning a version whose rates are tolerated, for each rate that is looked at.
const FALSE_POSITIVE_PROBABILITY: f64 = 1e-4;
/// A version is never condemned by fewer failures, or slow requests.
const MIN_EVENTS: f64 = 4.0;
/// Failures are tolerated up to this rate, or to the base's with a margin.
const TOLERATED_FAILURES: f64 = 0.02;
/// Slow requests are tolerated up to the base's rate, with a margin, and this.
const TOLERATED_SLOW: f64 = 0.08;
/// Margin on the base's rates: the new endpoints are others, in other places.
const RATE_MARGIN: f64 = 1.5;
/// A request is slow from so many buckets above the median on: 3 to 4 times as long.
const SLOW_BUCKETS: usize = 4;
/// The median of fewer requests says nothing.
const MIN_BASE_REQUESTS: u32 = 10;
/// Requests at the new version that a judgement in its favour needs, in all ...
const MIN_TARGET_REQUESTS: u32 = 20;
/// ... and on each route with more than this share of the base's requests ...
const MAIN_ROUTE_SHARE: f64 = 0.05;
/// ... so many.
const MIN_ROUTE_REQUESTS: u32 = 4;

/// What the outcomes so far say of the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It is worse; the reason, for operators.
    Bad(String),
    /// Nothing speaks against it, and enough requests were compared.
    Good,
    /// Nothing speaks against it so far.
    Unknown,
}

/// Judges by the outcomes of all sidecars.
pub fn judge(comparisons: &Comparisons) -> Judgement {
    let routes: BTreeSet<&str> = comparisons.keys().map(|class| class.route.as_str()).collect();
    for route in &routes {
        for is_load_test in [false, true] {
            let is_alike =
                |class: &RequestClass| class.route == *route && is_of_load_test(class) == is_load_test;
            let alike = comparisons.iter().filter(|(class, _)| is_alike(class));
            let alike: Classes = alike.map(|(class, comparison)| (*class, comparison)).collect();
            if let Some(reason) = regression(&alike) {
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
    class.size == LOAD_TEST_CLASS
}

/// Why the new version is worse on these requests; `None` where nothing says so.
fn regression(classes: &Classes) -> Option<String> {
    let slow_whole =
        || latency_regression(classes, Measure::Complete).map(|reason| format!("{reason} (whole answers)"));
    failure_regression(classes)
        .or_else(|| latency_regression(classes, Measure::FirstByte))
        .or_else(slow_whole)
}

type Classes<'a> = Vec<(&'a RequestClass, &'a Comparison)>;

/// Events among requests at the new version, and the rate that is tolerated.
struct RateTest {
    events: f64,
    requests: f64,
    tolerated: f64,
}

impl RateTest {
    fn is_exceeded(&self) -> bool {
        let RateTest { events, requests, tolerated } = *self;
        if events < MIN_EVENTS || events <= tolerated * requests {
            return false;
        }
        let others = requests - events;
        let under_any = ln_beta(events + 1.0, others + 1.0);
        let under_tolerated = events * tolerated.ln() + others * (1.0 - tolerated).ln();
        under_any - under_tolerated > -FALSE_POSITIVE_PROBABILITY.ln()
    }
}

fn failure_regression(classes: &Classes) -> Option<String> {
    let (mut base, mut target) = (Tally::default(), Tally::default());
    for (_, comparison) in classes {
        base.add(&comparison.base);
        target.add(&comparison.target);
    }
    let base_rate = f64::from(base.failed) / f64::from(base.ended.max(1));
    let rate = RateTest {
        events: f64::from(target.failed),
        requests: f64::from(target.ended),
        tolerated: (base_rate * RATE_MARGIN + TOLERATED_FAILURES / 2.0).clamp(TOLERATED_FAILURES, 0.9),
    };
    rate.is_exceeded().then(|| {
        let (failed, ended) = (target.failed, target.ended);
        format!(
            "{failed} of {ended} requests failed, {} of {} at the version before",
            base.failed, base.ended
        )
    })
}

fn latency_regression(classes: &Classes, measure: Measure) -> Option<String> {
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
    let rate = RateTest { events: slow, requests, tolerated };
    rate.is_exceeded()
        .then(|| format!("{slow} of {requests} requests took several times as long as at the version before"))
}

/// The bucket from which on a request is slow; `None` where too few say what is usual.
fn slow_threshold(base: &Tally) -> Option<usize> {
    let requests: u32 = base.latencies.iter().sum();
    let mut remaining = requests / 2;
    let median = base.latencies.iter().position(|count| {
        let is_median = *count > remaining;
        remaining = remaining.saturating_sub(*count);
        is_median
    });
    median.filter(|_| requests >= MIN_BASE_REQUESTS).map(|median| median + SLOW_BUCKETS)
}

/// Requests from a bucket on, and all.
fn count_from_bucket(tally: &Tally, bucket: usize) -> (f64, f64) {
    let slow: u32 = tally.latencies.iter().skip(bucket).sum();
    let all: u32 = tally.latencies.iter().sum();
    (f64::from(slow), f64::from(all))
}

fn has_enough_requests(routes: &BTreeSet<&str>, comparisons: &Comparisons) -> bool {
    let count = |route: Option<&str>, of: fn(&Comparison) -> &Tally| -> u32 {
        let fitting = comparisons.iter().filter(|(class, _)| route.is_none_or(|route| class.route == route));
        fitting.map(|(_, comparison)| of(comparison).ended).sum()
    };
    let all_base = f64::from(count(None, |comparison| &comparison.base));
    let is_known = |route: &&str| {
        let of_base = f64::from(count(Some(route), |comparison| &comparison.base));
        of_base < MAIN_ROUTE_SHARE * all_base
            || count(Some(route), |comparison| &comparison.target) >= MIN_ROUTE_REQUESTS
    };
    count(None, |comparison| &comparison.target) >= MIN_TARGET_REQUESTS && routes.iter().all(is_known)
}

//! The times and shares of a roll-out.
//!
//! ```text
//! order                                   promote_at                               end_by  deadline
//!   |  canary: a bounded share, judged, tested | promoting | switched, old requests end |      |
//! ```
//!
//! The canary lasts as long as the deadline allows, since a version may turn bad late; what follows needs some seconds.

use passrelay_configuration::Rollout;
use std::time::Duration;

/// The end has to be known this long before the deadline: the operator's own clock began with the first attempt to order.
const MAX_END_MARGIN: Duration = Duration::from_millis(1_500);
/// The same, as a fraction of the deadline where that is short.
const END_MARGIN_FRACTION: u32 = 8;
/// Time for the move, from the judgement to the end.
const MAX_SWITCHOVER_TIME: Duration = Duration::from_millis(5_000);
/// The same, as percent of the time from the order to the end where that is short.
const SWITCHOVER_TIME_PERCENT: u32 = 45;
/// A version that isn't judged good by then is not promoted any more.
const MIN_SWITCHOVER_TIME_PERCENT: u32 = 20;
/// Of the share that the bound allows, what a canary gets: sidecars count their own requests and round.
const CANARY_SHARE_OF_BOUND: f64 = 0.55;
/// Until so many requests have ended, a canary gets half of that, and isn't tested under load.
pub(super) const MIN_REQUESTS_FOR_FULL_SHARE: u32 = 8;
/// Endpoints of a canary get somewhat more each than they would in service, so that a fault under load shows.
const CANARY_ENDPOINT_FRACTION: f64 = 0.75;
/// A load test begins so long before the promotion at the earliest, and has to have begun so long before it.
const LOAD_TEST_TIME: Duration = Duration::from_millis(1_900);
/// Shares of a load test are granted for so long; each router serves it once.
const LOAD_TEST_GRANT_TIME: Duration = Duration::from_millis(900);
/// A load test brings one endpoint to this fraction of its capacity, as far as the bound on exposure allows.
const LOAD_TEST_FILL: f64 = 0.95;
/// Of the slack in the bound on exposure, what a load test may use ...
const LOAD_TEST_SLACK_FRACTION: f64 = 0.9;
/// ... and of the share that the bound allows of the requests so far.
const LOAD_TEST_SHARE_OF_BOUND: f64 = 0.3;
/// Shares while a version is promoted, each for [`PROMOTION_STEP`]: caches fill, and nobody reads everything at one moment.
const PROMOTION_SHARES: [f64; 2] = [0.3, 0.65];
const PROMOTION_STEP: Duration = Duration::from_millis(700);
/// A version in service is known everywhere after this, on a calm fleet; the earliest end.
const MIN_SWITCH_TIME: Duration = Duration::from_millis(1_000);

/// When a roll-out moves on, as ages. A fault that shows only under load is looked for by a load test of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Schedule {
    /// A version that wasn't found bad is tested under load from here on.
    pub load_test_at: Duration,
    /// It is promoted from here on ...
    pub promote_at: Duration,
    /// ... and until here.
    pub promote_by: Duration,
    /// It ends by here.
    pub end_by: Duration,
}

impl Schedule {
    pub(super) fn of(rollout: &Rollout) -> Self {
        let deadline = Duration::from_millis(rollout.order.deadline_ms);
        let end_by = deadline - MAX_END_MARGIN.min(deadline / END_MARGIN_FRACTION);
        let percent = |percent: u32| end_by * percent / 100;
        let switchover_time = MAX_SWITCHOVER_TIME.min(percent(SWITCHOVER_TIME_PERCENT));
        let min_switchover_time = switchover_time.min(percent(MIN_SWITCHOVER_TIME_PERCENT));
        let promote_at = end_by - switchover_time;
        let load_test_at = promote_at.saturating_sub(LOAD_TEST_TIME);
        Schedule { load_test_at, promote_at, promote_by: end_by - min_switchover_time, end_by }
    }
}

/// A share of requests, and of the endpoints that get them; 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Share {
    pub requests: f64,
    pub endpoints: f64,
}

/// The share of a canary, at most `bound` of all requests.
pub(super) fn canary_share(bound: f64, requests_so_far: u32) -> Share {
    let full = bound * CANARY_SHARE_OF_BOUND;
    let requests = if requests_so_far < MIN_REQUESTS_FOR_FULL_SHARE { full / 2.0 } else { full };
    Share { requests, endpoints: requests * CANARY_ENDPOINT_FRACTION }
}

/// How many requests a version that isn't judged may get, beside those of the canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of a service's requests, 0 to 1.
    pub ratio: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// Requests of a load test, of all routers together.
pub(super) fn load_test_requests(bound: ExposureBound, capacity: u32, requests_so_far: u32) -> f64 {
    let of_requests = bound.ratio * LOAD_TEST_SHARE_OF_BOUND * f64::from(requests_so_far);
    let permitted = bound.slack * LOAD_TEST_SLACK_FRACTION + of_requests;
    (f64::from(capacity) * LOAD_TEST_FILL).min(permitted)
}

/// Whether a load test that began some time ago still begins at routers.
pub(super) fn is_load_test_starting(elapsed: Duration) -> bool {
    elapsed < LOAD_TEST_GRANT_TIME
}

/// Whether the outcomes of a load test that began some time ago are known.
pub(super) fn is_load_test_complete(elapsed: Duration) -> bool {
    elapsed >= LOAD_TEST_TIME
}

/// The share of a version that has been promoted for some time; `None` once it is to be switched.
pub(super) fn promotion_share(promoted_for: Duration) -> Option<Share> {
    let step = promoted_for.as_millis() / PROMOTION_STEP.as_millis();
    let requests = *PROMOTION_SHARES.get(usize::try_from(step).ok()?)?;
    Some(Share { requests, endpoints: 1.0 })
}

/// Whether a version that has been in service for some time may end now, as far as time tells.
pub(super) fn has_propagated(switched_for: Duration) -> bool {
    switched_for >= MIN_SWITCH_TIME
}

//! The timing of a rollout, and the shares of requests that the new version receives.
//!
//! ```text
//! order                                   promote_at                               end_by  deadline
//!   |  canary: a bounded share, judged, tested | promoting | switched, old requests end |      |
//! ```
//!
//! The canary phase lasts as long as the deadline allows, since a fault may show late; the phases after it need some
//! seconds.

use passrelay_configuration::Rollout;
use std::time::Duration;

/// The end must be known at least this long before the deadline, because the operator's own clock started with the
/// first attempt to send the order.
const MAX_END_MARGIN: Duration = Duration::from_millis(1_500);
/// For short deadlines, the margin is the deadline divided by this instead.
const END_MARGIN_DIVISOR: u32 = 8;
/// Time from the earliest promotion, after the judgement, to the latest end.
const MAX_SWITCHOVER_TIME: Duration = Duration::from_millis(5_000);
/// For short deadlines, the switchover time is this percentage of the time from the order to the end instead.
const SWITCHOVER_TIME_PERCENT: u32 = 45;
/// A version that has not been judged good is no longer promoted once the time left until the latest end is less than
/// this percentage of the time from the order to the latest end.
const MIN_SWITCHOVER_TIME_PERCENT: u32 = 20;
/// Fraction of the share allowed by the exposure bound that a canary receives. The rest allows for sidecars that count
/// only their own requests, and round.
const CANARY_SHARE_OF_BOUND: f64 = 0.55;
/// Until this many requests have ended, a canary receives half of its share and is not load-tested.
pub(super) const MIN_REQUESTS_FOR_FULL_SHARE: u32 = 8;
/// Share of endpoints relative to the share of requests of a canary. Being below 1, it gives each endpoint somewhat
/// more requests than in normal service, so that faults under load show.
const CANARY_ENDPOINT_FRACTION: f64 = 0.75;
/// A load test starts at most this long before the earliest promotion, and must have started this long before the
/// promotion.
const LOAD_TEST_TIME: Duration = Duration::from_millis(1_900);
/// Shares of a load test are granted for this long; each router executes the test once.
const LOAD_TEST_GRANT_TIME: Duration = Duration::from_millis(900);
/// A load test fills one endpoint to this fraction of its capacity, as far as the exposure bound allows.
const LOAD_TEST_FILL: f64 = 0.95;
/// Fraction of the slack in the exposure bound that a load test may use.
const LOAD_TEST_SLACK_FRACTION: f64 = 0.9;
/// Fraction of the requests allowed by the ratio in the exposure bound, for the requests so far, that a load test may
/// use.
const LOAD_TEST_SHARE_OF_BOUND: f64 = 0.3;
/// Shares of requests during promotion, each for [`PROMOTION_STEP`]. The steps let caches fill gradually, so that the
/// endpoints do not read everything at the same moment.
const PROMOTION_SHARES: [f64; 2] = [0.3, 0.65];
/// Duration of each step of a promotion.
const PROMOTION_STEP: Duration = Duration::from_millis(700);
/// Minimum time from the switch to the end of a rollout. Without faults, the version in service is known everywhere
/// after this time.
const MIN_SWITCH_TIME: Duration = Duration::from_millis(1_000);

/// Times of a rollout's phase changes, as ages of the rollout. A load test of one endpoint reveals faults that show
/// only under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Schedule {
    /// Earliest start of the load test of a version that was not judged bad.
    pub load_test_at: Duration,
    /// Earliest promotion.
    pub promote_at: Duration,
    /// Latest promotion; a canary that has not been promoted by then is rolled back.
    pub promote_by: Duration,
    /// Latest end of the rollout.
    pub end_by: Duration,
}

impl Schedule {
    /// Returns the schedule that follows from the rollout's deadline.
    pub(super) fn of(rollout: &Rollout) -> Self {
        let deadline = Duration::from_millis(rollout.order.deadline_ms);
        let end_by = deadline - MAX_END_MARGIN.min(deadline / END_MARGIN_DIVISOR);
        let percent = |percent: u32| end_by * percent / 100;
        let switchover_time = MAX_SWITCHOVER_TIME.min(percent(SWITCHOVER_TIME_PERCENT));
        let min_switchover_time = switchover_time.min(percent(MIN_SWITCHOVER_TIME_PERCENT));
        let promote_at = end_by - switchover_time;
        let load_test_at = promote_at.saturating_sub(LOAD_TEST_TIME);
        Schedule { load_test_at, promote_at, promote_by: end_by - min_switchover_time, end_by }
    }
}

/// The share of requests that the new version receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Share {
    /// Fraction of the service's requests, 0 to 1.
    pub requests: f64,
    /// Fraction of the new version's endpoints among which these requests are distributed, 0 to 1.
    pub endpoints: f64,
}

/// Returns the share of a canary; its requests are at most the fraction `bound` of all requests.
pub(super) fn canary_share(bound: f64, requests_so_far: u32) -> Share {
    let full = bound * CANARY_SHARE_OF_BOUND;
    let requests = if requests_so_far < MIN_REQUESTS_FOR_FULL_SHARE { full / 2.0 } else { full };
    Share { requests, endpoints: requests * CANARY_ENDPOINT_FRACTION }
}

/// Upper bound of the requests that a new version may receive before it is judged: `ratio` of the service's requests,
/// plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Fraction of a service's requests, 0 to 1.
    pub ratio: f64,
    /// Number of additional requests.
    pub slack: f64,
}

/// Returns the number of requests of a load test, over all routers, for an endpoint with `capacity` concurrent
/// requests.
pub(super) fn load_test_requests(bound: ExposureBound, capacity: u32, requests_so_far: u32) -> f64 {
    let of_requests = bound.ratio * LOAD_TEST_SHARE_OF_BOUND * f64::from(requests_so_far);
    let permitted = bound.slack * LOAD_TEST_SLACK_FRACTION + of_requests;
    (f64::from(capacity) * LOAD_TEST_FILL).min(permitted)
}

/// Returns whether routers may still start a load test that the controller started `elapsed` ago.
pub(super) fn may_routers_start_load_test(elapsed: Duration) -> bool {
    elapsed < LOAD_TEST_GRANT_TIME
}

/// Returns whether the outcomes of a load test that started `elapsed` ago are known.
pub(super) fn is_load_test_complete(elapsed: Duration) -> bool {
    elapsed >= LOAD_TEST_TIME
}

/// Returns the share of a version that entered promotion `promoted_for` ago, or `None` once it is to be switched.
pub(super) fn promotion_share(promoted_for: Duration) -> Option<Share> {
    let step = promoted_for.as_millis() / PROMOTION_STEP.as_millis();
    let requests = *PROMOTION_SHARES.get(usize::try_from(step).ok()?)?;
    Some(Share { requests, endpoints: 1.0 })
}

/// Returns whether a version that was put in service `switched_for` ago is expected to be known on the whole fleet.
pub(super) fn has_propagated(switched_for: Duration) -> bool {
    switched_for >= MIN_SWITCH_TIME
}

//! What is accepted at each moment between SIGTERM and the end.

use super::ShutdownSchedule;
use rstest::rstest;
use std::time::Duration;

const SIGNALLED_AT: Duration = Duration::from_secs(100);
const GRACE: Duration = Duration::from_secs(8);

#[rstest]
// Summaries of 15 s: early ones get all the grace, later ones would be cut off.
#[case(0, 15_000, true)]
#[case(2_600, 15_000, true)]
#[case(2_900, 15_000, false)]
#[case(3_100, 15_000, false)]
#[case(6_000, 15_000, false)]
// Questions of 3 s are taken as long as their time is over before the end.
#[case(3_100, 3_000, true)]
#[case(4_400, 3_000, true)]
#[case(4_500, 3_000, false)]
// Checks of 0.6 s nearly up to the end.
#[case(6_800, 600, true)]
#[case(6_900, 600, false)]
#[case(7_500, 600, false)]
fn a_request_is_accepted_if_it_arrives_early_or_is_over_in_time(
    #[case] after_ms: u64,
    #[case] timeout_ms: u64,
    #[case] accepted: bool,
) {
    let schedule = ShutdownSchedule::new(SIGNALLED_AT, GRACE);
    let now = SIGNALLED_AT + Duration::from_millis(after_ms);
    assert_eq!(schedule.accepts(now, now + Duration::from_millis(timeout_ms)), accepted);
}

#[test]
fn streams_get_all_of_the_grace_period_but_less_than_its_last_sixth() {
    let schedule = ShutdownSchedule::new(SIGNALLED_AT, GRACE);
    assert!(schedule.ends_at() > SIGNALLED_AT + GRACE.mul_f64(5.0 / 6.0));
    assert!(schedule.ends_at() < SIGNALLED_AT + GRACE);
    assert!(schedule.last_responses_at() < schedule.ends_at());
}

//! Tests of the requests accepted at each moment between SIGTERM and the end of the process.

use super::ShutdownSchedule;
use rstest::rstest;
use std::time::Duration;

const SIGNALLED_AT: Duration = Duration::from_secs(100);
const GRACE_PERIOD: Duration = Duration::from_secs(8);

#[rstest]
// Requests of 15 s: early ones may use the whole grace period, later ones would be cut off.
#[case(0, 15_000, true)]
#[case(2_600, 15_000, true)]
#[case(2_900, 15_000, false)]
#[case(3_100, 15_000, false)]
#[case(6_000, 15_000, false)]
// Requests of 3 s are accepted as long as their deadline is before the end of the process.
#[case(3_100, 3_000, true)]
#[case(4_400, 3_000, true)]
#[case(4_500, 3_000, false)]
// Requests of 0.6 s are accepted almost until the end.
#[case(6_800, 600, true)]
#[case(6_900, 600, false)]
#[case(7_500, 600, false)]
fn a_request_is_accepted_if_it_arrives_early_or_its_deadline_is_before_the_end(
    #[case] after_ms: u64,
    #[case] timeout_ms: u64,
    #[case] accepted: bool,
) {
    let schedule = ShutdownSchedule::new(SIGNALLED_AT, GRACE_PERIOD);
    let now = SIGNALLED_AT + Duration::from_millis(after_ms);
    assert_eq!(schedule.accepts(now, now + Duration::from_millis(timeout_ms)), accepted);
}

#[test]
fn the_process_ends_within_the_last_sixth_of_the_grace_period() {
    let schedule = ShutdownSchedule::new(SIGNALLED_AT, GRACE_PERIOD);
    assert!(schedule.ends_at() > SIGNALLED_AT + GRACE_PERIOD.mul_f64(5.0 / 6.0));
    assert!(schedule.ends_at() < SIGNALLED_AT + GRACE_PERIOD);
    assert!(schedule.last_responses_at() < schedule.ends_at());
}

//! The table of retries and failures, row by row.

use super::*;
use rstest::rstest;

const REPEATABLE: AttemptConditions =
    AttemptConditions { idempotent: true, max_executions: 3, accepted_by_shutdown: true };
const ONCE: AttemptConditions = AttemptConditions { idempotent: false, ..REPEATABLE };
const SHUTTING_DOWN: AttemptConditions = AttemptConditions { accepted_by_shutdown: false, ..REPEATABLE };

fn history(attempts: usize, possibly_executed: u64, rejected: u64) -> AttemptHistory {
    AttemptHistory { attempts, possibly_executed, rejected }
}

#[rstest]
// The first attempt of any request.
#[case(history(0, 0, 0), REPEATABLE, Ok(()))]
#[case(history(0, 0, 0), ONCE, Ok(()))]
#[case(history(0, 0, 0), SHUTTING_DOWN, Err(Failure::Ending))]
// Rejected attempts were not executed: also a request that may run only once goes on.
#[case(history(3, 0, 3), ONCE, Ok(()))]
#[case(history(3, 0, 3), SHUTTING_DOWN, Err(Failure::Ending))]
#[case(history(4, 0, 4), REPEATABLE, Err(Failure::NoEndpoint))]
#[case(history(4, 0, 0), REPEATABLE, Err(Failure::NoEndpoint))]
// Once it may have been executed, only idempotent requests go on, up to the route's bound, also during a
// shutdown.
#[case(history(1, 1, 0), ONCE, Err(Failure::NoAnswer))]
#[case(history(1, 1, 0), REPEATABLE, Ok(()))]
#[case(history(2, 2, 0), REPEATABLE, Ok(()))]
#[case(history(3, 3, 0), REPEATABLE, Err(Failure::NoAnswer))]
#[case(history(1, 1, 0), SHUTTING_DOWN, Ok(()))]
#[case(history(4, 1, 3), REPEATABLE, Err(Failure::NoAnswer))]
fn an_attempt_begins_only_where_the_table_allows_it(
    #[case] history: AttemptHistory,
    #[case] conditions: AttemptConditions,
    #[case] expected: Result<(), Failure>,
) {
    assert_eq!(history.check_next(&conditions), expected);
}

#[rstest]
#[case(history(2, 0, 2), Failure::NoEndpoint, Failure::UnknownKey, Failure::NoEndpoint)]
#[case(history(2, 1, 1), Failure::TimedOut, Failure::NoAnswer, Failure::NoAnswer)]
fn nothing_that_may_have_been_executed_ends_with_a_promise_that_it_was_not(
    #[case] history: AttemptHistory,
    #[case] after_deadline: Failure,
    #[case] after_denial: Failure,
    #[case] exhausted: Failure,
) {
    assert_eq!(history.deadline_failure(), after_deadline);
    assert_eq!(history.admission_failure(Failure::UnknownKey), after_denial);
    assert_eq!(history.exhausted_failure(), exhausted);
}

#[rstest]
#[case(history(0, 0, 0), false)]
#[case(history(2, 0, 0), false)]
#[case(history(1, 0, 1), true)]
#[case(history(1, 1, 0), true)]
fn every_arrival_at_an_endpoint_beyond_the_first_is_a_retry(
    #[case] history: AttemptHistory,
    #[case] retry: bool,
) {
    assert_eq!(history.next_is_retry(), retry);
}

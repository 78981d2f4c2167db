//! Tests of the table of retries and failures, row by row.

use super::*;
use rstest::rstest;

const LIMITS: ExecutionLimits = ExecutionLimits { idempotent: true, max_executions: 3 };
const IDEMPOTENT: AttemptConditions = AttemptConditions { limits: LIMITS, accepted_by_shutdown: true };
const NOT_IDEMPOTENT: AttemptConditions =
    AttemptConditions { limits: ExecutionLimits { idempotent: false, ..LIMITS }, ..IDEMPOTENT };
const SHUTTING_DOWN: AttemptConditions = AttemptConditions { accepted_by_shutdown: false, ..IDEMPOTENT };

fn history(attempts: usize, possibly_executed: u64, rejected: u64) -> AttemptHistory {
    AttemptHistory { attempts, possibly_executed, rejected }
}

#[rstest]
// The first attempt of any request.
#[case(history(0, 0, 0), IDEMPOTENT, Ok(()))]
#[case(history(0, 0, 0), NOT_IDEMPOTENT, Ok(()))]
#[case(history(0, 0, 0), SHUTTING_DOWN, Err(Failure::ShuttingDown))]
// Rejected attempts were not executed, so even a request that may be executed only once is retried.
#[case(history(3, 0, 3), NOT_IDEMPOTENT, Ok(()))]
#[case(history(3, 0, 3), SHUTTING_DOWN, Err(Failure::ShuttingDown))]
#[case(history(4, 0, 4), IDEMPOTENT, Err(Failure::NoEndpoint))]
#[case(history(4, 0, 0), IDEMPOTENT, Err(Failure::NoEndpoint))]
// Once a request may have been executed, only idempotent requests are retried, up to the route's limit and even
// during a shutdown.
#[case(history(1, 1, 0), NOT_IDEMPOTENT, Err(Failure::NoResponse))]
#[case(history(1, 1, 0), IDEMPOTENT, Ok(()))]
#[case(history(2, 2, 0), IDEMPOTENT, Ok(()))]
#[case(history(3, 3, 0), IDEMPOTENT, Err(Failure::NoResponse))]
#[case(history(1, 1, 0), SHUTTING_DOWN, Ok(()))]
#[case(history(4, 1, 3), IDEMPOTENT, Err(Failure::NoResponse))]
fn an_attempt_begins_only_if_the_table_allows_it(
    #[case] history: AttemptHistory,
    #[case] conditions: AttemptConditions,
    #[case] expected: Result<(), Failure>,
) {
    assert_eq!(history.check_next(&conditions), expected);
}

#[rstest]
#[case(history(2, 0, 2), Failure::NoEndpoint, Failure::UnknownKey, Failure::NoEndpoint)]
#[case(history(2, 1, 1), Failure::TimedOut, Failure::NoResponse, Failure::NoResponse)]
fn a_possibly_executed_request_never_fails_with_a_promise_of_no_execution(
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
fn every_request_that_reaches_an_endpoint_after_the_first_is_a_retry(
    #[case] history: AttemptHistory,
    #[case] retry: bool,
) {
    assert_eq!(history.next_is_retry(), retry);
}

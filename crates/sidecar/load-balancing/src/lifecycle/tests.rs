use super::*;

// Guards against a second call that changes the time at which standby was entered, and against a return to active that
// leaves part of standby in effect.
#[test]
fn standby_and_active_are_idempotent_and_revert_each_other() {
    let mut lifecycle = Lifecycle::default();
    assert!(lifecycle.is_ready(true, false));
    assert_eq!(lifecycle.enter_standby(1.0), Transition::Changed);
    assert_eq!(lifecycle.enter_standby(2.0), Transition::Unchanged);
    assert_eq!(lifecycle.standby_since(), Some(1.0));
    assert!(
        !lifecycle.is_ready(true, false)
            && lifecycle.closes_after_answer(false)
            && lifecycle.closes_idle_connections()
    );
    assert_eq!(lifecycle.leave_standby(), Transition::Changed);
    assert_eq!(lifecycle.leave_standby(), Transition::Unchanged);
    assert!(lifecycle.is_ready(true, false) && !lifecycle.closes_after_answer(false));
    assert!(!lifecycle.is_ready(false, false) && !lifecycle.is_ready(true, true));
    assert_eq!(lifecycle.standby_count, 1);
}

// Guards against a schedule that suits long deadlines, but exceeds the earliest SIGKILL if all deadlines are short.
#[test]
fn graceful_shutdown_ends_before_the_earliest_sigkill_for_all_deadlines() {
    for deadlines in [vec![0.1], vec![0.4, 0.2], vec![1.0, 1.5], vec![2.5, 3.0], vec![6.0, 0.3], vec![]] {
        let longest = deadlines.iter().copied().fold(0.0, f64::max);
        let schedule = ShutdownSchedule::for_deadlines(deadlines.into_iter());
        let kill = longest.min(3.0) + 0.7;
        assert!(
            schedule.listener_closes <= schedule.idle_closes && schedule.idle_closes <= schedule.answers_by,
            "{schedule:?}"
        );
        assert!(
            schedule.answers_by <= kill - 0.3
                && schedule.exits_by < kill
                && schedule.exits_by > schedule.answers_by
        );
        // The listener stays open for the 0.4 s in which connections arrive, unless the deadlines are too short.
        assert!(schedule.listener_closes > 0.4 || longest < 0.1, "{schedule:?}");
    }
}

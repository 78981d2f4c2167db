use super::*;

// Guards against a second standby that would move the time it began, and an active that restarts nothing.
#[test]
fn standby_and_active_are_harmless_twice_and_undo_each_other() {
    let mut lifecycle = Lifecycle::default();
    assert!(lifecycle.is_ready(true, false));
    assert_eq!(lifecycle.standby(1.0), Turn::Changed);
    assert_eq!(lifecycle.standby(2.0), Turn::Already);
    assert_eq!(lifecycle.standby_since(), Some(1.0));
    assert!(
        !lifecycle.is_ready(true, false)
            && lifecycle.closes_after_answer(false)
            && lifecycle.sends_idle_away()
    );
    assert_eq!(lifecycle.active(), Turn::Changed);
    assert_eq!(lifecycle.active(), Turn::Already);
    assert!(lifecycle.is_ready(true, false) && !lifecycle.closes_after_answer(false));
    assert!(!lifecycle.is_ready(false, false) && !lifecycle.is_ready(true, true));
    assert_eq!(lifecycle.standbys, 1);
}

// Guards against an end that is planned for long deadlines and outlived by SIGKILL where they are short.
#[test]
fn a_planned_end_is_over_before_the_earliest_sigkill_whatever_the_deadlines() {
    for deadlines in [vec![0.1], vec![0.4, 0.2], vec![1.0, 1.5], vec![2.5, 3.0], vec![6.0, 0.3], vec![]] {
        let longest = deadlines.iter().copied().fold(0.0, f64::max);
        let end = PlannedEnd::of(deadlines.into_iter());
        let kill = longest.min(3.0) + 0.7;
        assert!(end.listener_closes <= end.idle_closes && end.idle_closes <= end.answers_by, "{end:?}");
        assert!(end.answers_by <= kill - 0.3 && end.exits_by < kill && end.exits_by > end.answers_by);
        // Connections are let in for as long as they arrive, if that can be.
        assert!(end.listener_closes > 0.4 || longest < 0.1, "{end:?}");
    }
}

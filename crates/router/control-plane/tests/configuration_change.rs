//! Evaluation of configuration changes: retries, compare-and-set on the generation, and the bounded history.

use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange, Rejection, Verdict};
use passrelay_control_plane::replication::ReplicatedState;
use rstest::rstest;

const TERM: u64 = 3;
/// More changes than the history keeps.
const CHANGES_BEYOND_HISTORY: u64 = 1_500;

/// Returns a change that replaces the configuration of generation `base` with one of `generation` with a single
/// service.
fn replacement(base: u64, generation: u64, service: &str) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[{{"name":"{service}"}}]}}"#);
    ConfigurationChange { kind: ChangeKind::Replace, base, body: body.into() }
}

/// Returns the state after a change. Panics if the change does not apply.
fn apply(state: &ReplicatedState, change: &ConfigurationChange) -> ReplicatedState {
    match change.evaluate(state) {
        Verdict::Apply { generation, document, applied_change } => {
            state.with_change(TERM, generation, document, applied_change)
        }
        other => panic!("{change:?} does not apply: {other:?}"),
    }
}

/// Returns the state after `count` changes, each based on the preceding one, with generations from 1 up.
fn state_after_changes(count: u64) -> ReplicatedState {
    (0..count)
        .fold(ReplicatedState::default(), |state, base| apply(&state, &replacement(base, base + 1, "s")))
}

#[rstest]
#[case::first_change(replacement(0, 1, "s"))]
#[case::change_in_the_middle(replacement(150, 151, "s"))]
#[case::last_change(replacement(299, 300, "s"))]
fn a_retried_change_counts_as_applied_despite_later_changes(#[case] retried: ConfigurationChange) {
    let state = state_after_changes(300);
    assert_eq!(retried.evaluate(&state), Verdict::AlreadyApplied);
}

#[test]
fn another_change_with_the_same_generation_is_rejected_and_never_acknowledged() {
    let state = state_after_changes(4);
    let concurrent = replacement(3, 4, "other");
    assert_eq!(
        concurrent.evaluate(&state),
        Verdict::Reject(Rejection::GenerationMismatch { current: 4, base: 3 })
    );
}

#[rstest]
#[case::applied_and_dropped_from_the_history(replacement(10, 11, "s"), Verdict::HistoryTruncated)]
#[case::never_applied_with_an_equally_old_base(replacement(10, 11, "other"), Verdict::HistoryTruncated)]
#[case::never_applied_within_the_history(
    replacement(1_400, 1_401, "other"),
    Verdict::Reject(Rejection::GenerationMismatch { current: CHANGES_BEYOND_HISTORY, base: 1_400 })
)]
#[case::applied_within_the_history(replacement(1_400, 1_401, "s"), Verdict::AlreadyApplied)]
fn a_change_older_than_the_history_is_neither_rejected_nor_acknowledged(
    #[case] change: ConfigurationChange,
    #[case] verdict: Verdict,
) {
    let state = state_after_changes(CHANGES_BEYOND_HISTORY);
    assert_eq!(change.evaluate(&state), verdict);
}

#[test]
fn a_malformed_change_is_rejected_however_old_its_base_is() {
    let state = state_after_changes(CHANGES_BEYOND_HISTORY);
    let malformed =
        ConfigurationChange { kind: ChangeKind::Replace, base: 3, body: "{\"generation\": 4".into() };
    assert!(matches!(malformed.evaluate(&state), Verdict::Reject(Rejection::Invalid(_))));
}

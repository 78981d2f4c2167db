//! What becomes of orders that were taken before, long ago, or under a number that another order has.

use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange, Rejection, Verdict};
use passrelay_control_plane::replication::ReplicatedState;

const TERM: u64 = 3;

fn order(base: u64, generation: u64, service: &str) -> ConfigurationChange {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[{{"name":"{service}"}}]}}"#);
    ConfigurationChange { kind: ChangeKind::Replace, base, body: body.into() }
}

/// The state after an order that has to be taken.
fn after(state: &ReplicatedState, order: &ConfigurationChange) -> ReplicatedState {
    match order.judge(state) {
        Verdict::Apply { generation, document, order } => state.after(TERM, generation, document, order),
        other => panic!("{order:?} is not taken: {other:?}"),
    }
}

/// The state after so many orders, each on the one before, with generations from 1 up.
fn after_orders(count: u64) -> ReplicatedState {
    (0..count).fold(ReplicatedState::default(), |state, n| after(&state, &order(n, n + 1, "s")))
}

#[test]
fn the_same_order_again_counts_as_taken_whatever_came_since() {
    let state = after_orders(300);
    for taken in [order(0, 1, "s"), order(150, 151, "s"), order(299, 300, "s")] {
        assert_eq!(taken.judge(&state), Verdict::AlreadyApplied);
    }
}

#[test]
fn another_order_under_the_same_number_is_refused_and_never_acknowledged() {
    let state = after_orders(4);
    let rival = order(3, 4, "other");
    assert_eq!(rival.judge(&state), Verdict::Reject(Rejection::GenerationMismatch { current: 4, base: 3 }));
}

#[test]
fn an_order_that_may_have_been_forgotten_is_neither_refused_nor_acknowledged() {
    let state = after_orders(1_500);
    assert_eq!(order(10, 11, "s").judge(&state), Verdict::HistoryTruncated, "it was taken, and forgotten");
    assert_eq!(
        order(10, 11, "other").judge(&state),
        Verdict::HistoryTruncated,
        "nobody can tell it from that one"
    );
    let rival = order(1_400, 1_401, "other").judge(&state);
    assert_eq!(rival, Verdict::Reject(Rejection::GenerationMismatch { current: 1_500, base: 1_400 }));
    assert_eq!(order(1_400, 1_401, "s").judge(&state), Verdict::AlreadyApplied);
}

#[test]
fn what_cannot_be_read_is_refused_however_old_it_is() {
    let state = after_orders(1_500);
    let broken =
        ConfigurationChange { kind: ChangeKind::Replace, base: 3, body: "{\"generation\": 4".into() };
    assert!(matches!(broken.judge(&state), Verdict::Reject(Rejection::Invalid(_))));
}

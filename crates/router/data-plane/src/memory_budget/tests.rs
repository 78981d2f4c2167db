use super::*;
use rstest::rstest;

const MACHINE_BYTES: u64 = 160_000_000;
const SEGMENT_BYTES: u64 = 16 << 10;
const LONGEST_BODY_BYTES: u64 = 4 << 20;

/// Grows a body segment by segment to `size`. Returns the bytes that it holds in the end.
fn grow(budget: &mut MemoryBudget, size: u64) -> u64 {
    let mut owned = 0;
    while owned < size {
        let additional = SEGMENT_BYTES.min(size - owned);
        if budget.charge(MemoryUse::RequestBodies, owned, additional).is_err() {
            break;
        }
        owned += additional;
    }
    owned
}

#[test]
fn the_longest_legal_body_fits_on_the_smallest_machine() {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    assert_eq!(grow(&mut budget, LONGEST_BODY_BYTES), LONGEST_BODY_BYTES);
}

#[rstest]
#[case::large(LONGEST_BODY_BYTES, 64 << 10)]
#[case::medium(64 << 10, 4 << 10)]
fn smaller_bodies_fit_beside_bodies_that_have_reached_their_limit(
    #[case] filling_size: u64,
    #[case] size: u64,
) {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    while grow(&mut budget, filling_size) == filling_size {}
    for _ in 0..100 {
        assert_eq!(grow(&mut budget, size), size);
    }
}

#[test]
fn the_headroom_of_control_and_peers_is_never_charged_by_clients() {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    while budget.charge(MemoryUse::RequestBodies, 0, 1_000).is_ok() {}
    while budget.charge(MemoryUse::UpstreamCalls, 0, UPSTREAM_CALL_BYTES).is_ok() {}
    assert_eq!(budget.charge(MemoryUse::ControlBodies, 0, 1 << 20), Ok(()));
    assert_eq!(budget.charge(MemoryUse::PeerMessages, 0, 1 << 20), Ok(()));
}

#[rstest]
#[case(MemoryUse::ControlBodies)]
#[case(MemoryUse::PeerMessages)]
fn a_quarter_of_the_limit_is_for_each_use_without_headroom(#[case] memory_use: MemoryUse) {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    while budget.charge(memory_use, 0, SEGMENT_BYTES).is_ok() {}
    let held = budget.account(memory_use).used_bytes;
    assert!(held <= budget.limit_bytes() / 4 && held + SEGMENT_BYTES > budget.limit_bytes() / 4, "{held}");
    assert_eq!(budget.account(memory_use).refusals, 1);
}

#[test]
fn what_is_released_can_be_charged_again() {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    while budget.charge(MemoryUse::RequestBodies, LONGEST_BODY_BYTES, SEGMENT_BYTES).is_ok() {}
    budget.release(MemoryUse::RequestBodies, SEGMENT_BYTES);
    assert_eq!(budget.charge(MemoryUse::RequestBodies, LONGEST_BODY_BYTES, SEGMENT_BYTES), Ok(()));
    budget.release(MemoryUse::RequestBodies, budget.used_bytes());
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_refused_charge_changes_nothing() {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    assert_eq!(budget.charge(MemoryUse::RequestBodies, 0, MACHINE_BYTES), Err(MemoryExhausted));
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn requests_fit_beside_the_maximum_number_of_connections() {
    let mut budget = MemoryBudget::new(MACHINE_BYTES);
    let connections = budget.max_client_connections() as u64;
    budget.charge_unconditionally(MemoryUse::Connections, connections * ACTIVE_CONNECTION_BYTES);
    assert_eq!(grow(&mut budget, 4 << 10), 4 << 10);
    assert_eq!(budget.charge(MemoryUse::UpstreamCalls, 0, UPSTREAM_CALL_BYTES), Ok(()));
}

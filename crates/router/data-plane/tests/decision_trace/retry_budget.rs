//! History of deposits and withdrawals at a `RetryBudget`.

use crate::support::{Digest, Draws};
use passrelay_data_plane::retry_budget::RetryBudget;

#[test]
fn retry_decisions_match_the_recorded_digest() {
    let mut draws = Draws(21);
    let mut digest = Digest::new();
    let mut budget = RetryBudget::new(0.2);
    let services = ["chat", "embed", "rank"];
    for _ in 0..20_000 {
        let service = services[draws.below(3) as usize];
        match draws.below(100) {
            0..=69 => budget.deposit(service),
            70..=98 => digest.number(u64::from(budget.withdraw(service))),
            _ => budget.retain(|name| name != service),
        }
    }
    assert_eq!(digest.0, 0xe734_46cc_83f7_afa5, "the new digest is 0x{:016x}", digest.0);
}

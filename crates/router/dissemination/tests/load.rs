//! Tests of the decay of outcome counters over time.

use passrelay_dissemination::{DecayingOutcomes, OutcomeCounts};
use std::time::Duration;

#[test]
fn outcome_counts_decay_by_a_factor_of_e_in_three_seconds() {
    let mut outcomes = DecayingOutcomes::default();
    outcomes.add(Duration::ZERO, 10, 2);
    let later = Duration::from_secs(3);
    let weight = (-1.0_f64).exp();
    assert_eq!(outcomes.decayed(later), OutcomeCounts { succeeded: 10.0 * weight, failed: 2.0 * weight });
    outcomes.add(later, 1, 0);
    assert_eq!(
        outcomes.decayed(later),
        OutcomeCounts { succeeded: 10.0 * weight + 1.0, failed: 2.0 * weight }
    );
}

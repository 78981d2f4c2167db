//! Compares the simulator with closed forms at a few points. `passrelay-load-simulator theory` prints the full table.

use passrelay_load_simulator::theory::{measure, System};

/// Guards against a simulator whose results are plausible but wrong. The bounds are 2%, or more where the random
/// error at so few calls is larger. Seeds are fixed, so the result is always the same.
#[test]
fn simulated_times_match_theory() {
    let points = [
        (System::Mm1, 0.3, 0.02),
        (System::Mm1, 0.8, 0.02),
        (System::Mmc { cores: 4 }, 0.8, 0.02),
        (System::Mg1 { cv: 0.5 }, 0.6, 0.02),
        (System::Mg1 { cv: 1.5 }, 0.6, 0.03),
        (System::Shared { cv: 1.5 }, 0.6, 0.02),
        (System::TwoChoices { nodes: 500 }, 0.8, 0.02),
    ];
    for (n, (system, load, bound)) in points.into_iter().enumerate() {
        let first = 10 * n as u64;
        let p = measure(system, load, 250_000.0, first..first + 4).unwrap();
        assert!(p.error().abs() < bound, "{} at {load}: {:+.2}%", system.name(), 100.0 * p.error());
        let tail = p.error_p99().unwrap_or(0.0);
        assert!(tail.abs() < 0.04, "{} at {load}: 99th percentile {:+.2}%", system.name(), 100.0 * tail);
    }
}

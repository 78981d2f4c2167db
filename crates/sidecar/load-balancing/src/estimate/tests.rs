use super::*;

#[test]
fn regression_predicts_after_enough_observations_and_follows_changes() {
    let mut regression = ServiceTimeRegression::default();
    for n in 0..11 {
        regression.observe(f64::from(n % 5 + 1), 0.1);
    }
    assert_eq!(regression.predict(1.0), None);
    for n in 0..3000 {
        let cost = f64::from(n % 5 + 1) * 0.1;
        regression.observe(cost, 0.2 + 1.5 * cost);
    }
    assert!((regression.predict(1.0).unwrap() - 1.7).abs() < 1e-2);
    assert!((regression.mean_cost().unwrap() - 0.3).abs() < 1e-2);
}

#[test]
fn regression_predicts_the_mean_time_where_all_costs_are_equal() {
    let mut regression = ServiceTimeRegression::default();
    for n in 0..100 {
        regression.observe(0.1, if n % 2 == 0 { 0.2 } else { 0.4 });
    }
    assert!((regression.predict(5.0).unwrap() - 0.3).abs() < 1e-2);
}

#[test]
fn outcome_history_decays_with_time_and_with_each_outcome() {
    let mut history = OutcomeHistory::new(0.0);
    history.record(0.0, true);
    history.record(0.0, false);
    assert_eq!(history.counts(0.0), OutcomeCounts { served: 0.9, completed: 1.9 });
    assert!(history.counts(100.0).completed < 1e-3);
}

//! The retry budget of a fleet of routers.

use passrelay_data_plane::retry_budget::RetryBudget;

#[test]
fn retries_of_many_routers_stay_within_the_fleet_wide_budget() {
    let ratio = 0.2;
    let requests_per_router = 50;
    for routers in [12_u32, 90, 330] {
        let mut retries = 0;
        for _ in 0..routers {
            let mut budget = RetryBudget::new(ratio);
            for _ in 0..requests_per_router {
                budget.deposit("s");
                retries += u32::from(budget.withdraw("s"));
            }
        }
        let slack = 64.0 * f64::from(routers) / 12.0;
        assert!(f64::from(retries) <= ratio * f64::from(routers * requests_per_router) + slack);
    }
}

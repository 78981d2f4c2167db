//! Quota grants: the bound over all sidecars, changes of grantor, reserves.

use passrelay_configuration::Configuration;
use passrelay_control_plane::quota::{Grantor, QuotaBounds, ReportedLevels, TenantKey};
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;

const RATE: f64 = 100_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sidecar(n: u8) -> SocketAddrV4 {
    format!("10.0.0.{n}:1").parse().unwrap()
}

fn configuration(generation: u64, rate: f64) -> Configuration {
    let document = json!({ "generation": generation, "routes": [], "services": [], "tenants": [
        { "name": "t", "api-keys": ["k"], "unit": "token_usage", "rate-per-s": rate, "burst": rate }] });
    Configuration::read(&document).unwrap()
}

fn bounds() -> QuotaBounds {
    QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 }
}

fn grantor(began: Duration, term: u64) -> Grantor {
    let mut grantor = Grantor::new(began, term, bounds(), None);
    grantor.configure(began, &configuration(1, RATE));
    grantor
}

fn granted(grantor: &mut Grantor, now: Duration, from: SocketAddrV4, wanted: u64) -> Option<u64> {
    let wanted = [(TenantKey::of("t"), wanted)];
    grantor.grant(now, Some(now), from, &wanted, &[]).map(|all| all[0].tokens)
}

#[test]
fn what_all_sidecars_get_in_any_window_stays_within_the_bound() {
    let mut grantor = grantor(ms(0), 1);
    let mut grants = Vec::new();
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        grants.push(granted(&mut grantor, now, sidecar((step % 12) as u8), 50_000).unwrap());
    }
    let bound = (RATE * 8.0 + RATE) * 1.1 + 140_000.0;
    for window in grants.windows(800) {
        assert!((window.iter().sum::<u64>() as f64) <= bound);
    }
    // And what is inside the quota is granted.
    assert!(grants.iter().sum::<u64>() as f64 >= RATE * 19.0);
}

#[test]
fn a_grantor_that_is_not_confirmed_lately_grants_nothing() {
    let mut grantor = grantor(ms(0), 1);
    let wanted = [(TenantKey::of("t"), 10)];
    assert!(grantor.grant(ms(2_000), Some(ms(1_000)), sidecar(1), &wanted, &[]).is_none());
    assert!(grantor.grant(ms(2_000), None, sidecar(1), &wanted, &[]).is_none());
    assert!(grantor.grant(ms(2_000), Some(ms(1_900)), sidecar(1), &wanted, &[]).is_some());
}

#[test]
fn a_new_grantor_waits_until_the_one_before_grants_no_more() {
    let mut next = grantor(ms(5_000), 2);
    assert_eq!(granted(&mut next, ms(5_100), sidecar(1), 10), None);
    assert_eq!(granted(&mut next, ms(5_500), sidecar(1), 10), Some(10));
}

#[test]
fn reserves_are_shared_by_those_that_ask_and_charged_afterwards() {
    let mut grantor = grantor(ms(0), 1);
    let wanted = [(TenantKey::of("t"), 10)];
    for n in 1..=10 {
        grantor.grant(ms(0), Some(ms(0)), sidecar(n), &wanted, &[]);
    }
    let one = grantor.grant(ms(1), Some(ms(1)), sidecar(1), &wanted, &[]).unwrap()[0];
    assert!(one.reserve as f64 <= RATE * 2.0 / 10.0, "{}", one.reserve);
    // Everything is spent, then a sidecar tells that it has lived on its reserve.
    granted(&mut grantor, ms(2), sidecar(1), 10_000_000);
    let overdrawn = [(TenantKey::of("t"), 50_000)];
    grantor.grant(ms(3), Some(ms(3)), sidecar(2), &wanted, &overdrawn);
    assert_eq!(granted(&mut grantor, ms(300), sidecar(3), 10), Some(0));
}

#[test]
fn the_first_to_ask_after_a_quiet_time_gets_no_more_of_the_reserve_than_its_share() {
    let mut grantor = grantor(ms(0), 1);
    grantor.set_sidecar_count(12);
    let wanted = [(TenantKey::of("t"), 10)];
    let first = grantor.grant(ms(0), Some(ms(0)), sidecar(1), &wanted, &[]).unwrap()[0];
    assert!(first.reserve as f64 <= RATE * 2.0 / 12.0, "{}", first.reserve);
}

#[test]
fn a_grantor_that_follows_another_gives_a_smaller_reserve_and_nothing_for_the_time_of_its_wait() {
    let reserve = |grantor: &mut Grantor, now: Duration| {
        let wanted = [(TenantKey::of("t"), 10_000_000)];
        let granted = grantor.grant(now, Some(now), sidecar(1), &wanted, &[]).unwrap()[0];
        (granted.tokens as f64, granted.reserve as f64)
    };
    let mut first = grantor(ms(0), 1);
    let mut next = grantor(ms(5_000), 2);
    let (_, usual) = reserve(&mut first, ms(5_400));
    let (tokens, after_change) = reserve(&mut next, ms(5_400));
    assert!(tokens <= RATE * 0.65 && after_change < usual / 3.0, "{tokens} {after_change} {usual}");
    assert_eq!(reserve(&mut next, ms(14_000)).1, usual);
}

#[test]
fn a_grantor_goes_on_with_the_levels_of_the_one_before() {
    let capacity = RATE + 0.3 * (0.1 * RATE * 9.0 + 140_000.0);
    let mut first = grantor(ms(0), 1);
    // Time enough for a full bucket, of which all but little is spent.
    granted(&mut first, ms(9_000), sidecar(1), (capacity - 1_000.0) as u64).unwrap();
    let told = |first: &mut Grantor, now| ReportedLevels { levels: first.levels(now), at: now };
    let emptied = told(&mut first, ms(9_000));
    assert_eq!(emptied.levels.tokens.len(), 1);
    let filled = told(&mut first, ms(19_000));
    assert_eq!(filled.levels.tokens, [], "buckets that are nearly full are not told one by one");
    let next = |told: &ReportedLevels, began: Duration| {
        let mut next = Grantor::new(began, 2, bounds(), Some(told));
        next.configure(began, &configuration(1, RATE));
        granted(&mut next, began + ms(400), sidecar(1), 10_000_000).unwrap() as f64
    };
    assert!(next(&emptied, ms(9_500)) <= 1_000.0);
    assert!(next(&filled, ms(19_500)) >= 0.9 * capacity - 1.0);
    // Told too long ago.
    assert!(next(&filled, ms(25_000)) <= RATE * 0.65);
}

#[test]
fn a_lower_limit_binds_at_once_and_a_dropped_tenant_gets_nothing() {
    let mut grantor = grantor(ms(0), 1);
    grantor.configure(ms(10), &configuration(2, 1_000.0));
    let spare = 0.3 * (0.1 * 9_000.0 + 140_000.0) + 1_000.0;
    assert!(granted(&mut grantor, ms(20), sidecar(1), 10_000_000).unwrap() as f64 <= spare + 1.0);
    let empty = json!({ "generation": 3, "routes": [], "services": [] });
    grantor.configure(ms(30), &Configuration::read(&empty).unwrap());
    let wanted = [(TenantKey::of("t"), 10)];
    assert_eq!(grantor.grant(ms(40), Some(ms(40)), sidecar(1), &wanted, &[]), Some(Vec::new()));
}

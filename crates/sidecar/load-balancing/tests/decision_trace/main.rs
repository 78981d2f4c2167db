//! Compares all decisions with recorded ones: equal pseudo-random event streams must lead to equal actions, bit by bit.
//!
//! Guards against a refactoring that changes a decision. The digests were recorded before the policy was split into
//! modules. An intended change of behaviour has to record new ones and give the reason. They cover every action
//! with the bits of its numbers, so they hold for one implementation of `exp`.

use passrelay_load_balancing::*;

mod simulation;

use simulation::Simulation;

/// Returns an idempotent, a keyed and a non-idempotent class, each with its own value and latency target.
fn classes(scope: DedupScope) -> Vec<Class> {
    vec![
        Class {
            latency_target: 1.0,
            latency_target_per_work: 1.0,
            value: 1.0,
            late_value: 0.0,
            idempotency: Idempotency::Idempotent,
        },
        Class {
            latency_target: 0.6,
            latency_target_per_work: 0.0,
            value: 4.0,
            late_value: 0.3,
            idempotency: Idempotency::Keyed { scope, window: 0.8 },
        },
        Class {
            latency_target: 2.0,
            latency_target_per_work: 0.5,
            value: 10.0,
            late_value: 0.0,
            idempotency: Idempotency::NonIdempotent,
        },
    ]
}

fn tenants() -> Vec<Tenant> {
    vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: f64::INFINITY }]
}

/// Settings of a single balancer whose upstreams report their requests, with cancellation and concurrent attempts.
fn single() -> Settings {
    Settings {
        classes: classes(DedupScope::Zone),
        tenants: tenants(),
        over_quota_value: 0.3,
        price_cross_zone: 0.01,
        list_by_subscription: true,
        reports_concurrency: true,
        allow_cancel: true,
        allow_concurrent_attempts: true,
        send_retry_after: true,
        max_retry_after: 1.5,
        ..Settings::default()
    }
}

/// Settings of one of eight balancers, which confirms each selection by a health check.
fn with_health_checks() -> Settings {
    Settings {
        instances: 8,
        rank: 3,
        classes: classes(DedupScope::Cell),
        tenants: tenants(),
        over_quota_value: 0.5,
        price_health_check: 0.002,
        reports_concurrency: true,
        reports_queue: true,
        allow_health_checks: true,
        allow_cancel: true,
        max_attempts: 4,
        ..Settings::default()
    }
}

/// Settings of one of forty balancers, which expects only the CPU utilization in load reports.
fn one_of_many() -> Settings {
    Settings {
        instances: 40,
        rank: 17,
        classes: classes(DedupScope::All),
        list_by_subscription: true,
        slow_start_duration: 5.0,
        overload_factor: 3.0,
        overload_window: 1.0,
        ..Settings::default()
    }
}

/// Runs a simulation and returns the digest of all actions and their number by kind.
fn trace(settings: Settings, seed: u64, upstreams: u64, gap: f64) -> (u64, [usize; 7]) {
    let mut simulation = Simulation::new(settings, seed, upstreams);
    (simulation.run(gap), simulation.kinds)
}

#[test]
fn a_single_balancer_decides_as_recorded() {
    let (digest, kinds) = trace(single(), 11, 9, 0.006);
    assert_eq!((digest, kinds), (5_161_653_225_787_428_303, [1014, 1, 1076, 44, 1639, 0, 4]));
}

#[test]
fn a_single_balancer_with_idle_upstreams_decides_as_recorded() {
    let (digest, kinds) = trace(single(), 12, 24, 0.02);
    assert_eq!((digest, kinds), (15_371_244_191_944_741_541, [2167, 5, 6, 54, 772, 0, 2]));
}

#[test]
fn a_balancer_with_health_checks_decides_as_recorded() {
    let (digest, kinds) = trace(with_health_checks(), 13, 30, 0.03);
    assert_eq!((digest, kinds), (5_132_750_592_031_961_873, [440, 2, 122, 23, 1352, 2650, 0]));
}

#[test]
fn one_of_many_balancers_decides_as_recorded() {
    let (digest, kinds) = trace(one_of_many(), 14, 60, 0.1);
    assert_eq!((digest, kinds), (8_359_462_821_259_550_430, [1862, 0, 25, 44, 1385, 0, 5]));
}

#[test]
fn a_balancer_with_updated_settings_decides_as_recorded() {
    let mut simulation = Simulation::new(single(), 15, 12);
    simulation.run(0.01);
    let mut later = single();
    later.classes.push(Class { latency_target: 1.5, value: 2.0, ..Class::default() });
    later.tenants.push(Tenant { quota_per_s: 5.0 });
    later.max_attempts = 2;
    simulation.balancer.update_settings(later).unwrap();
    simulation.classes += 1;
    simulation.tenants += 1;
    let digest = simulation.run(0.01);
    assert_eq!((digest, simulation.kinds), (12_798_269_647_295_995_279, [2002, 7, 3194, 75, 2779, 0, 5]));
}

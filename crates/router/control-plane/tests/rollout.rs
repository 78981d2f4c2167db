//! Rollouts: evidence from reports, judgement of versions, and orders.

use passrelay_configuration::{RolloutOrder, RolloutPhase};
use passrelay_control_plane::replication::ReplicatedState;
use passrelay_control_plane::rollout::{
    evaluate_order, judge, Evidence, Judgement, OrderRejection, OrderVerdict,
};
use passrelay_dissemination::{
    ClassOutcomes, Incarnation, LatencyMeasure, Peer, RequestClass, RequestTally, RolloutReport,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sidecar(number: u8, incarnation: u64) -> Peer {
    let address = format!("10.0.0.{number}:1").parse().unwrap();
    Peer { address, incarnation: Incarnation(incarnation) }
}

fn class(route: &str) -> RequestClass {
    RequestClass { route: route.to_owned(), size_class: 0, measure: LatencyMeasure::FirstByte }
}

/// Returns the outcomes of `requests` requests, of which `failed` fail and `slow` take eight times as long as usual.
fn tally(requests: u32, failed: u32, slow: u32) -> RequestTally {
    let mut tally = RequestTally::default();
    for number in 0..requests {
        tally.record_end(number < failed);
        let usual = ms(40 + u64::from(number % 40));
        tally.record_latency(if number < slow { usual * 8 } else { usual });
    }
    tally
}

fn report(id: u64, known_for: u64, outcomes: Vec<ClassOutcomes>) -> RolloutReport {
    RolloutReport { id, known_for_ms: known_for, switched: false, base_in_flight: 0, outcomes }
}

/// Returns the judgement by one sidecar's report of one request class.
fn judgement(base: RequestTally, target: RequestTally) -> Judgement {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let outcomes = vec![ClassOutcomes { class: class("r"), base, target }];
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, outcomes));
    let comparisons = evidence.comparisons();
    judge(&comparisons)
}

#[rstest]
#[case::a_third_of_the_requests_fail(tally(200, 0, 0), tally(30, 10, 0))]
#[case::half_of_the_requests_are_slow(tally(200, 0, 0), tally(40, 0, 20))]
#[case::worse_than_a_faulty_base(tally(400, 40, 0), tally(60, 30, 0))]
fn a_version_that_is_worse_is_bad(#[case] base: RequestTally, #[case] target: RequestTally) {
    assert!(matches!(judgement(base, target), Judgement::Bad(_)));
}

#[rstest]
#[case::no_failures(tally(200, 1, 2), tally(40, 0, 0))]
#[case::as_faulty_as_the_base(tally(400, 40, 0), tally(60, 7, 0))]
#[case::as_slow_as_the_base(tally(400, 0, 80), tally(60, 0, 13))]
#[case::one_failed_and_slow_request(tally(200, 0, 0), tally(21, 1, 1))]
fn a_version_that_is_no_worse_is_good(#[case] base: RequestTally, #[case] target: RequestTally) {
    assert_eq!(judgement(base, target), Judgement::Good);
}

#[test]
fn a_version_with_too_few_requests_is_not_judged_good() {
    assert_eq!(judgement(tally(200, 0, 0), tally(19, 0, 0)), Judgement::Unknown);
    assert_eq!(judgement(RequestTally::default(), RequestTally::default()), Judgement::Unknown);
}

#[test]
fn a_fault_on_one_route_is_found_despite_many_good_requests_on_another() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let outcomes = vec![
        ClassOutcomes { class: class("many"), base: tally(900, 0, 0), target: tally(300, 0, 0) },
        ClassOutcomes { class: class("few"), base: tally(90, 0, 0), target: tally(20, 8, 0) },
    ];
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, outcomes));
    let Judgement::Bad(reason) = judge(&evidence.comparisons()) else {
        panic!("a version with a faulty route must be judged bad")
    };
    assert!(reason.starts_with("route few: 8 of 20 requests failed"), "{reason}");
}

// Guards against false positives. The specified bound is 1 in 10,000 per tested rate; none may be among the 3,000
// judgements here, one after every report.
#[test]
fn a_version_with_tolerable_rates_is_hardly_ever_judged_bad() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..300 {
        let (mut base, mut target) = (RequestTally::default(), RequestTally::default());
        for _ in 0..10 {
            for (tally, requests) in [(&mut base, 300), (&mut target, 25)] {
                for _ in 0..requests {
                    tally.record_end(rng.random_bool(0.02));
                    let slow = if rng.random_bool(0.05) { 6.0 } else { 1.0 };
                    tally.record_latency(Duration::from_secs_f64(0.05 * slow * rng.random_range(0.5..2.0)));
                }
            }
            let judged = judgement(base.clone(), target.clone());
            assert!(!matches!(judged, Judgement::Bad(_)), "{judged:?} {base:?} {target:?}");
        }
    }
}

#[test]
fn a_duplicate_or_late_report_is_not_counted_twice() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let outcomes = |requests| {
        vec![ClassOutcomes {
            class: class("r"),
            base: tally(requests, 0, 0),
            target: RequestTally::default(),
        }]
    };
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, outcomes(5)));
    evidence.observe(ms(1), sidecar(1, 1), 2, report(7, 0, outcomes(8)));
    evidence.observe(ms(2), sidecar(1, 1), 2, report(7, 0, outcomes(8)));
    evidence.observe(ms(3), sidecar(1, 1), 1, report(7, 0, outcomes(5)));
    assert_eq!(evidence.comparisons()[&class("r")].base.ended, 8);
    evidence.observe(ms(4), sidecar(1, 2), 1, report(7, 0, outcomes(3)));
    let ended = evidence.comparisons()[&class("r")].base.ended;
    assert_eq!(ended, 11, "the counts of a restarted process are added");
}

#[test]
fn a_new_controller_learns_the_age_from_the_sidecars_that_know_the_order() {
    let mut evidence = Evidence::new(ms(1_000), ms(500));
    assert_eq!(evidence.age(ms(1_200)), ms(700));
    evidence.observe(ms(1_200), sidecar(1, 1), 1, report(7, 4_000, Vec::new()));
    evidence.observe(ms(1_300), sidecar(2, 1), 1, report(7, 200, Vec::new()));
    assert_eq!(evidence.age(ms(1_400)), ms(4_200));
}

#[test]
fn the_base_version_is_drained_once_all_reporting_sidecars_have_drained_it() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    assert!(!evidence.is_base_drained(ms(0)), "no sidecar has reported");
    let drained = RolloutReport { switched: true, ..report(7, 0, Vec::new()) };
    evidence.observe(ms(10), sidecar(1, 1), 1, drained.clone());
    evidence.observe(ms(10), sidecar(2, 1), 1, RolloutReport { base_in_flight: 1, ..drained.clone() });
    assert!(!evidence.is_base_drained(ms(0)));
    assert!(!evidence.is_base_drained(ms(20)), "no sidecar has reported since");
    evidence.observe(ms(30), sidecar(2, 1), 2, drained);
    assert!(evidence.is_base_drained(ms(0)));
}

/// Returns a state whose configuration contains one service.
fn configured(service: &serde_json::Value) -> ReplicatedState {
    let document = json!({ "generation": 1, "routes": [], "services": [service] }).to_string();
    ReplicatedState { document: Some(document.into()), generation: 1, ..ReplicatedState::default() }
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder { service: "s".to_owned(), target_version: version.to_owned(), deadline_ms: 12_000 }
}

/// Returns the state after an order. Panics if the order is not accepted.
fn accept(state: &ReplicatedState, order: &RolloutOrder) -> ReplicatedState {
    let OrderVerdict::Accept(rollouts) = evaluate_order(order, state, |_| ms(0)) else {
        panic!("the order must be accepted: {order:?}")
    };
    state.with_rollouts(1, rollouts, state.service_versions.clone())
}

#[test]
fn a_repeated_order_is_acknowledged_as_accepted_until_its_deadline_has_passed() {
    let mut state = accept(&configured(&json!({ "name": "s" })), &order("v2"));
    assert_eq!(evaluate_order(&order("v2"), &state, |_| ms(9)), OrderVerdict::AlreadyAccepted);
    let service_rollouts = state.rollouts.get_or_insert_default("s");
    let mut ended = service_rollouts.waiting.remove(0);
    ended.phase = RolloutPhase::RolledBack;
    service_rollouts.current = Some(ended);
    assert_eq!(evaluate_order(&order("v2"), &state, |_| ms(11_999)), OrderVerdict::AlreadyAccepted);
    assert!(matches!(evaluate_order(&order("v2"), &state, |_| ms(12_000)), OrderVerdict::Accept(_)));
}

#[test]
fn orders_are_queued_up_to_a_bound() {
    let mut state = configured(&json!({ "name": "s" }));
    for number in 2..6 {
        state = accept(&state, &order(&format!("v{number}")));
    }
    let waiting = &state.rollouts.get("s").unwrap().waiting;
    assert_eq!(waiting.iter().map(|rollout| rollout.id).collect::<Vec<_>>(), [1, 2, 3, 4]);
    let rejection = OrderRejection::TooManyWaiting("s".to_owned());
    assert_eq!(evaluate_order(&order("v6"), &state, |_| ms(0)), OrderVerdict::Reject(rejection));
}

#[rstest]
#[case::unknown_service(json!({ "name": "other" }), OrderRejection::UnknownService("s".to_owned()))]
#[case::version_set_by_the_configuration(
    json!({ "name": "s", "version": "v1" }),
    OrderRejection::VersionSetByConfiguration("s".to_owned())
)]
fn an_order_that_does_not_fit_the_configuration_is_rejected(
    #[case] service: serde_json::Value,
    #[case] rejection: OrderRejection,
) {
    let verdict = evaluate_order(&order("v2"), &configured(&service), |_| ms(0));
    assert_eq!(verdict, OrderVerdict::Reject(rejection));
}

#[rstest]
#[case::not_json("{\"backend\":\"s\"")]
#[case::not_an_object("[]")]
#[case::no_service(r#"{"target-version":"v2","deadline-s":12}"#)]
#[case::empty_service(r#"{"backend":"","target-version":"v2","deadline-s":12}"#)]
#[case::no_version(r#"{"backend":"s","deadline-s":12}"#)]
#[case::version_is_not_a_string(r#"{"backend":"s","target-version":{},"deadline-s":12}"#)]
#[case::no_deadline(r#"{"backend":"s","target-version":"v2"}"#)]
#[case::zero_deadline(r#"{"backend":"s","target-version":"v2","deadline-s":0}"#)]
#[case::negative_deadline(r#"{"backend":"s","target-version":"v2","deadline-s":-1}"#)]
#[case::huge_deadline(r#"{"backend":"s","target-version":"v2","deadline-s":1e300}"#)]
fn a_malformed_order_is_rejected_with_a_reason(#[case] body: &str) {
    let error = RolloutOrder::read(body.as_bytes()).unwrap_err();
    assert!(!error.to_string().is_empty());
}

#[test]
fn the_deadline_of_an_order_may_be_fractional() {
    let body = br#"{"backend":"s","target-version":"v2","deadline-s":12.5,"more":1}"#;
    let read = RolloutOrder::read(body).unwrap();
    assert_eq!(read, RolloutOrder { deadline_ms: 12_500, ..order("v2") });
}

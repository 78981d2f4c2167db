//! Orders of roll-outs, evidence and judgements.

use passrelay_configuration::{RolloutOrder, RolloutPhase};
use passrelay_control_plane::replication::ReplicatedState;
use passrelay_control_plane::rollout::{
    adjudicate, judge, Evidence, Judgement, OrderRejection, OrderVerdict,
};
use passrelay_dissemination::{
    ClassOutcomes, Incarnation, Measure, Peer, RequestClass, RolloutReport, Tally,
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
    RequestClass { route: route.to_owned(), size: 0, measure: Measure::FirstByte }
}

/// Requests of which some fail and some take eight times as long as the others.
fn tally(requests: u32, failed: u32, slow: u32) -> Tally {
    let mut tally = Tally::default();
    for number in 0..requests {
        tally.add_end(number < failed);
        let usual = ms(40 + u64::from(number % 40));
        tally.add_latency(if number < slow { usual * 8 } else { usual });
    }
    tally
}

fn report(id: u64, known_for: u64, outcomes: Vec<ClassOutcomes>) -> RolloutReport {
    RolloutReport { id, known_for_ms: known_for, switched: false, base_in_flight: 0, outcomes }
}

fn judgement(base: Tally, target: Tally) -> Judgement {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let outcomes = vec![ClassOutcomes { class: class("r"), base, target }];
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, outcomes));
    let comparisons = evidence.comparisons();
    judge(&comparisons)
}

#[rstest]
#[case::a_third_fails(tally(200, 0, 0), tally(30, 10, 0))]
#[case::half_is_slow(tally(200, 0, 0), tally(40, 0, 20))]
#[case::worse_than_a_faulty_base(tally(400, 40, 0), tally(60, 30, 0))]
fn a_version_that_is_worse_is_bad(#[case] base: Tally, #[case] target: Tally) {
    assert!(matches!(judgement(base, target), Judgement::Bad(_)));
}

#[rstest]
#[case::as_good(tally(200, 1, 2), tally(40, 0, 0))]
#[case::as_faulty_as_the_base(tally(400, 40, 0), tally(60, 7, 0))]
#[case::as_slow_as_the_base(tally(400, 0, 80), tally(60, 0, 13))]
#[case::one_unlucky_request(tally(200, 0, 0), tally(21, 1, 1))]
fn a_version_that_is_no_worse_is_good(#[case] base: Tally, #[case] target: Tally) {
    assert_eq!(judgement(base, target), Judgement::Good);
}

#[test]
fn a_version_that_got_few_requests_is_not_judged_good() {
    assert_eq!(judgement(tally(200, 0, 0), tally(19, 0, 0)), Judgement::Unknown);
    assert_eq!(judgement(Tally::default(), Tally::default()), Judgement::Unknown);
}

#[test]
fn a_fault_on_one_route_is_found_beside_many_good_requests_on_another() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let outcomes = vec![
        ClassOutcomes { class: class("many"), base: tally(900, 0, 0), target: tally(300, 0, 0) },
        ClassOutcomes { class: class("few"), base: tally(90, 0, 0), target: tally(20, 8, 0) },
    ];
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, outcomes));
    let Judgement::Bad(reason) = judge(&evidence.comparisons()) else { panic!("it is bad") };
    assert!(reason.starts_with("route few: 8 of 20 requests failed"), "{reason}");
}

// The stated bound is 1 in 10,000 for each rate that is looked at; 3,000 judgements after every report find none.
#[test]
fn a_version_whose_rates_are_tolerated_is_hardly_ever_condemned() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..300 {
        let (mut base, mut target) = (Tally::default(), Tally::default());
        for _ in 0..10 {
            for (tally, requests) in [(&mut base, 300), (&mut target, 25)] {
                for _ in 0..requests {
                    tally.add_end(rng.random_bool(0.02));
                    let slow = if rng.random_bool(0.05) { 6.0 } else { 1.0 };
                    tally.add_latency(Duration::from_secs_f64(0.05 * slow * rng.random_range(0.5..2.0)));
                }
            }
            let judged = judgement(base.clone(), target.clone());
            assert!(!matches!(judged, Judgement::Bad(_)), "{judged:?} {base:?} {target:?}");
        }
    }
}

#[test]
fn a_report_that_comes_twice_or_late_counts_once() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    let of = |requests| {
        vec![ClassOutcomes { class: class("r"), base: tally(requests, 0, 0), target: Tally::default() }]
    };
    evidence.observe(ms(0), sidecar(1, 1), 1, report(7, 0, of(5)));
    evidence.observe(ms(1), sidecar(1, 1), 2, report(7, 0, of(8)));
    evidence.observe(ms(2), sidecar(1, 1), 2, report(7, 0, of(8)));
    evidence.observe(ms(3), sidecar(1, 1), 1, report(7, 0, of(5)));
    assert_eq!(evidence.comparisons()[&class("r")].base.ended, 8);
    evidence.observe(ms(4), sidecar(1, 2), 1, report(7, 0, of(3)));
    assert_eq!(evidence.comparisons()[&class("r")].base.ended, 11, "a process that started again");
}

#[test]
fn a_new_controller_has_the_age_again_from_those_that_know_of_the_order() {
    let mut evidence = Evidence::new(ms(1_000), ms(500));
    assert_eq!(evidence.age(ms(1_200)), ms(700));
    evidence.observe(ms(1_200), sidecar(1, 1), 1, report(7, 4_000, Vec::new()));
    evidence.observe(ms(1_300), sidecar(2, 1), 1, report(7, 200, Vec::new()));
    assert_eq!(evidence.age(ms(1_400)), ms(4_200));
}

#[test]
fn the_old_version_is_left_once_all_who_report_have_left_it() {
    let mut evidence = Evidence::new(ms(0), ms(0));
    assert!(!evidence.has_left_base(ms(0)), "nobody has reported");
    let left = RolloutReport { switched: true, ..report(7, 0, Vec::new()) };
    evidence.observe(ms(10), sidecar(1, 1), 1, left.clone());
    evidence.observe(ms(10), sidecar(2, 1), 1, RolloutReport { base_in_flight: 1, ..left.clone() });
    assert!(!evidence.has_left_base(ms(0)));
    assert!(!evidence.has_left_base(ms(20)), "no report since");
    evidence.observe(ms(30), sidecar(2, 1), 2, left);
    assert!(evidence.has_left_base(ms(0)));
}

// ---- Orders ----

fn configured(service: &serde_json::Value) -> ReplicatedState {
    let document = json!({ "generation": 1, "routes": [], "services": [service] }).to_string();
    ReplicatedState { document: Some(document.into()), generation: 1, ..ReplicatedState::default() }
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder { service: "s".to_owned(), target_version: version.to_owned(), deadline_ms: 12_000 }
}

fn accept(state: &ReplicatedState, order: &RolloutOrder) -> ReplicatedState {
    let OrderVerdict::Accept(rollouts) = adjudicate(order, state, |_| ms(0)) else { panic!("accepted") };
    state.with_rollouts(1, rollouts, state.service_versions.clone())
}

#[test]
fn the_same_order_again_is_the_one_of_before_until_its_deadline_is_over() {
    let mut state = accept(&configured(&json!({ "name": "s" })), &order("v2"));
    assert_eq!(adjudicate(&order("v2"), &state, |_| ms(9)), OrderVerdict::AlreadyAccepted);
    let of_service = state.rollouts.get_or_insert_default("s");
    let mut ended = of_service.waiting.remove(0);
    ended.phase = RolloutPhase::RolledBack;
    of_service.current = Some(ended);
    assert_eq!(adjudicate(&order("v2"), &state, |_| ms(11_999)), OrderVerdict::AlreadyAccepted);
    assert!(matches!(adjudicate(&order("v2"), &state, |_| ms(12_000)), OrderVerdict::Accept(_)));
}

#[test]
fn orders_wait_one_after_the_other_up_to_a_bound() {
    let mut state = configured(&json!({ "name": "s" }));
    for number in 2..6 {
        state = accept(&state, &order(&format!("v{number}")));
    }
    let waiting = &state.rollouts.get("s").unwrap().waiting;
    assert_eq!(waiting.iter().map(|one| one.id).collect::<Vec<_>>(), [1, 2, 3, 4]);
    let rejection = OrderRejection::TooManyWaiting("s".to_owned());
    assert_eq!(adjudicate(&order("v6"), &state, |_| ms(0)), OrderVerdict::Reject(rejection));
}

#[rstest]
#[case::unknown(json!({ "name": "other" }), OrderRejection::UnknownService("s".to_owned()))]
#[case::set(json!({ "name": "s", "version": "v1" }), OrderRejection::VersionSetByConfiguration("s".to_owned()))]
fn an_order_that_does_not_fit_the_configuration_is_rejected(
    #[case] service: serde_json::Value,
    #[case] rejection: OrderRejection,
) {
    let verdict = adjudicate(&order("v2"), &configured(&service), |_| ms(0));
    assert_eq!(verdict, OrderVerdict::Reject(rejection));
}

#[rstest]
#[case::not_json("{\"backend\":\"s\"")]
#[case::no_object("[]")]
#[case::no_service(r#"{"target-version":"v2","deadline-s":12}"#)]
#[case::empty_service(r#"{"backend":"","target-version":"v2","deadline-s":12}"#)]
#[case::no_version(r#"{"backend":"s","deadline-s":12}"#)]
#[case::version_is_no_text(r#"{"backend":"s","target-version":{},"deadline-s":12}"#)]
#[case::no_deadline(r#"{"backend":"s","target-version":"v2"}"#)]
#[case::no_time(r#"{"backend":"s","target-version":"v2","deadline-s":0}"#)]
#[case::negative(r#"{"backend":"s","target-version":"v2","deadline-s":-1}"#)]
#[case::huge(r#"{"backend":"s","target-version":"v2","deadline-s":1e300}"#)]
fn an_order_that_cannot_be_read_says_why(#[case] body: &str) {
    let error = RolloutOrder::read(body.as_bytes()).unwrap_err();
    assert!(!error.to_string().is_empty());
}

#[test]
fn an_order_is_read_with_its_deadline_in_fractions() {
    let body = br#"{"backend":"s","target-version":"v2","deadline-s":12.5,"more":1}"#;
    let read = RolloutOrder::read(body).unwrap();
    assert_eq!(read, RolloutOrder { deadline_ms: 12_500, ..order("v2") });
}

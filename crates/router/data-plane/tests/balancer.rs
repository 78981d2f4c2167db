//! Where requests go: turns by factors, kept prompt parts, silent and failing endpoints.

use passrelay_data_plane::balancer::{Balancer, CallEnd, LoadReport, Pick, PickRequest};
use passrelay_data_plane::prompt::Prompt;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(n: u16, zone: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{n}"),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{n}").parse().unwrap(),
        zone: zone.to_owned(),
        capacity: 8,
        state,
        sequence: 1,
    }
}

fn balancer(endpoints: u16) -> Balancer {
    let mut balancer = Balancer::new("here");
    let records: Vec<EndpointRecord> =
        (0..endpoints).map(|n| record(n, "here", EndpointState::Ready)).collect();
    balancer.update(records.iter());
    balancer
}

fn request(prompt: Option<Prompt>) -> PickRequest<'static> {
    PickRequest { service: "s", prompt, target: ms(500), attempted: &[] }
}

fn pick(balancer: &mut Balancer, now: Duration, prompt: Option<Prompt>) -> Pick {
    balancer.pick(now, &request(prompt)).unwrap()
}

fn prompt(part: u64) -> Prompt {
    Prompt { input_tokens: 6_000, output_tokens: 300, shared_prefix: Some(part), shared_prefix_tokens: 5_000 }
}

#[rstest]
#[case::usual("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 1_460, Some(0x91bd_3f06), 1_210)]
#[case::own_part_only("10,5", "aa:10", 10, None, 0)]
#[case::nonsense("many", "zz:1,:,", 0, None, 0)]
#[case::empty("", "", 0, None, 0)]
fn prompts_are_read_as_far_as_they_can_be(
    #[case] usage: &str,
    #[case] parts: &str,
    #[case] input: u64,
    #[case] part: Option<u64>,
    #[case] shared: u64,
) {
    let prompt = Prompt::read(Some(usage), Some(parts));
    assert_eq!(
        (prompt.input_tokens, prompt.shared_prefix, prompt.shared_prefix_tokens),
        (input, part, shared)
    );
}

#[test]
fn turns_go_round_evenly_and_by_reported_load() {
    let mut balancer = balancer(2);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for n in 0..100 {
        let now = ms(n * 300);
        let pick = pick(&mut balancer, now, None);
        *counts.entry(pick.id.to_string()).or_default() += 1;
        balancer.request_sent(now, &pick, None);
        let running = if &*pick.id == "i-0" { 6.0 } else { 0.0 };
        balancer.response_head_received(
            now,
            &pick,
            Some(LoadReport { running, waiting: 0.0, slots: 8.0 }),
            false,
        );
        balancer.request_ended(now, &pick, true, CallEnd::Completed);
    }
    assert!(counts["i-1"] > counts["i-0"], "{counts:?}");
    assert!(counts["i-0"] > 10, "a busy endpoint still gets its turns: {counts:?}");
}

#[test]
fn requests_with_the_same_part_keep_together_and_parts_spread_over_the_endpoints() {
    let mut balancer = balancer(9);
    let mut homes = HashSet::new();
    for part in 0..60 {
        let first = pick(&mut balancer, ms(0), Some(prompt(part)));
        homes.insert(first.id.clone());
        assert_eq!(pick(&mut balancer, ms(1), Some(prompt(part))).id, first.id);
        assert_eq!(first.prefill_tokens, 1_000);
    }
    assert_eq!(homes.len(), 9);
}

#[test]
fn a_hot_part_moves_on_when_its_home_has_far_more_to_read() {
    let mut balancer = balancer(3);
    let home = pick(&mut balancer, ms(0), Some(prompt(7)));
    let mut used = HashSet::new();
    for _ in 0..200 {
        let pick = pick(&mut balancer, ms(1), Some(prompt(7)));
        balancer.request_sent(ms(1), &pick, Some(&prompt(7)));
        used.insert(pick.id);
    }
    assert!(used.len() > 1 && used.contains(&home.id));
}

#[test]
fn what_other_sidecars_have_out_counts() {
    let mut balancer = balancer(2);
    let home = pick(&mut balancer, ms(0), Some(prompt(7)));
    balancer.request_sent(ms(0), &home, Some(&prompt(7)));
    let told = balancer.take_load_report();
    let key = told[0].endpoint;
    let sums = HashMap::from([(
        key,
        EndpointLoad {
            endpoint: key,
            pending_prompt_tokens: 500_000,
            in_flight: 40,
            ..EndpointLoad::default()
        },
    )]);
    balancer.observe_fleet_load(ms(10), &told, &sums);
    assert_ne!(pick(&mut balancer, ms(20), Some(prompt(8))).id, home.id);
    assert_ne!(pick(&mut balancer, ms(20), Some(prompt(7))).id, home.id);
    balancer.response_head_received(ms(30), &home, None, false);
    balancer.request_ended(ms(30), &home, true, CallEnd::Completed);
    // Old sums count no more.
    assert_eq!(pick(&mut balancer, ms(5_000), Some(prompt(7))).id, home.id);
}

#[test]
fn an_endpoint_that_owes_answers_and_is_silent_gets_no_more() {
    let mut balancer = balancer(2);
    let dark = pick(&mut balancer, ms(0), None);
    balancer.request_sent(ms(0), &dark, None);
    for n in 0..10 {
        assert_ne!(pick(&mut balancer, ms(1_000 + n), None).id, dark.id);
    }
    // It speaks again.
    balancer.response_head_received(ms(1_100), &dark, None, false);
    balancer.request_ended(ms(1_100), &dark, true, CallEnd::Completed);
    assert!((0..4).any(|n| pick(&mut balancer, ms(1_200 + n), None).id == dark.id));
}

#[test]
fn a_failing_endpoint_rests_longer_each_time_and_is_tried_when_nobody_else_is_there() {
    let mut balancer = balancer(2);
    balancer.connect_failed(ms(0), "i-0");
    assert!((0..5).all(|n| &*pick(&mut balancer, ms(300 + n), None).id == "i-1"));
    assert!((0..5).any(|n| &*pick(&mut balancer, ms(500 + n), None).id == "i-0"));
    balancer.connect_failed(ms(600), "i-0");
    assert!((0..5).all(|n| &*pick(&mut balancer, ms(1_300 + n), None).id == "i-1"));
    balancer.connect_failed(ms(1_300), "i-1");
    assert!((0..5).any(|n| &*pick(&mut balancer, ms(1_310 + n), None).id == "i-0"));
}

#[rstest]
#[case(EndpointState::Draining, false, false)]
#[case(EndpointState::Removed, false, false)]
#[case(EndpointState::Expired, true, true)]
fn who_may_be_sent_to_follows_the_state(
    #[case] state: EndpointState,
    #[case] may_send: bool,
    #[case] picked_if_alone: bool,
) {
    let mut balancer = balancer(1);
    balancer.update([record(0, "here", state)].iter());
    assert_eq!(balancer.may_send("i-0"), may_send);
    assert_eq!(balancer.pick(ms(0), &request(None)).is_some(), picked_if_alone);
}

#[test]
fn memory_of_parts_does_not_grow_without_end() {
    let mut balancer = balancer(3);
    for part in 0..100_000 {
        let pick = pick(&mut balancer, ms(part / 100), Some(prompt(part)));
        balancer.request_sent(ms(part / 100), &pick, Some(&prompt(part)));
        balancer.response_head_received(ms(part / 100), &pick, None, false);
        balancer.request_ended(ms(part / 100), &pick, true, CallEnd::Completed);
    }
    assert!(balancer.tracked_prefixes() <= 4_096);
}

#[test]
fn an_endpoint_that_fails_part_of_its_requests_gets_none_for_a_while() {
    let mut balancer = balancer(4);
    let mut fail = |now| {
        let pick = Pick { id: "i-1".into(), address: "10.0.0.1:1".parse().unwrap(), prefill_tokens: 0 };
        balancer.request_sent(now, &pick, None);
        balancer.response_head_received(now, &pick, None, true);
        balancer.request_ended(now, &pick, true, CallEnd::Completed);
    };
    (0..3).for_each(|n| fail(ms(n * 10)));
    assert!((0..30).all(|n| &*pick(&mut balancer, ms(100 + n), None).id != "i-1"));
    // What was seen fades, and it is tried again.
    assert!((0..30).any(|n| &*pick(&mut balancer, ms(4_000 + n), None).id == "i-1"));
}

#[test]
fn failures_that_several_sidecars_tell_of_count_and_where_most_endpoints_fail_none_stands_aside() {
    let mut balancer = balancer(4);
    let all: Vec<Pick> = (0..40).map(|n| pick(&mut balancer, ms(n), None)).collect();
    all.iter().for_each(|one| balancer.request_sent(ms(50), one, None));
    let told = balancer.take_load_report();
    let failing = |count: usize| -> HashMap<u64, EndpointLoad> {
        told.iter().take(count).map(|l| (l.endpoint, EndpointLoad { failed: 5, answered: 3, ..*l })).collect()
    };
    balancer.observe_fleet_load(ms(60), &told, &failing(1));
    let used: HashSet<_> = (0..40).map(|n| pick(&mut balancer, ms(100 + n), None).id).collect();
    assert_eq!(used.len(), 3);
    balancer.observe_fleet_load(ms(200), &told, &failing(3));
    let used: HashSet<_> = (0..40).map(|n| pick(&mut balancer, ms(210 + n), None).id).collect();
    assert_eq!(used.len(), 4);
}

//! Selection of endpoints: weights by load, prefix affinity, zones, versions, and stalled or failing
//! endpoints.

use passrelay_data_plane::balancer::{Balancer, LoadReport, Pick, PickRequest, RequestOutcome};
use passrelay_data_plane::prompt::Prompt;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

const OWN_ZONE: &str = "here";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(index: u16, zone: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{index}"),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{index}").parse().unwrap(),
        zone: zone.to_owned(),
        capacity: 8,
        state,
        sequence: 1,
        version: String::new(),
    }
}

/// Creates a balancer with ready endpoints `i-0`, `i-1`, ... in its own zone.
fn balancer(endpoints: u16) -> Balancer {
    let mut balancer = Balancer::new(OWN_ZONE);
    let records: Vec<EndpointRecord> =
        (0..endpoints).map(|index| record(index, OWN_ZONE, EndpointState::Ready)).collect();
    balancer.update(records.iter());
    balancer
}

fn request(prompt: Option<Prompt>) -> PickRequest<'static> {
    PickRequest {
        service: "s",
        version: None,
        endpoint_share: None,
        prompt,
        latency_target: ms(500),
        attempted: &[],
    }
}

fn pick(balancer: &mut Balancer, now: Duration, prompt: Option<Prompt>) -> Pick {
    balancer.pick(now, &request(prompt)).unwrap()
}

/// Picks an endpoint for each of a number of requests without prompts, 1 ms apart, and returns their ids.
fn picked_ids(balancer: &mut Balancer, from: Duration, requests: u64) -> Vec<Arc<str>> {
    (0..requests).map(|index| pick(balancer, from + ms(index), None).id).collect()
}

/// Receives a complete response without a load report.
fn complete_response(balancer: &mut Balancer, now: Duration, pick: &Pick, is_error: bool) {
    balancer.response_head_received(now, pick, None, is_error);
    balancer.request_ended(now, pick, true, RequestOutcome::Completed);
}

/// Returns a prompt of 6 000 tokens, of which 1 000 are not in the shared prefix.
fn prompt(prefix: u64) -> Prompt {
    Prompt {
        input_tokens: 6_000,
        output_tokens: 300,
        shared_prefix: Some(prefix),
        shared_prefix_tokens: 5_000,
    }
}

#[rstest]
#[case::complete("3,1,8", Some((3.0, 1.0, 8.0)))]
#[case::spaces_and_further_fields(" 3 , 1.5, 8 ,9", Some((3.0, 1.5, 8.0)))]
#[case::missing_field("3,1", None)]
#[case::not_a_number("3,x,8", None)]
#[case::not_finite("3,inf,8", None)]
fn a_load_report_is_parsed_only_if_all_its_fields_are_finite_numbers(
    #[case] header: &str,
    #[case] expected: Option<(f64, f64, f64)>,
) {
    let expected = expected.map(|(running, waiting, slots)| LoadReport { running, waiting, slots });
    assert_eq!(LoadReport::parse(header), expected);
}

#[test]
fn requests_are_distributed_by_reported_load() {
    let mut balancer = balancer(2);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for index in 0..100 {
        let now = ms(index * 300);
        let pick = pick(&mut balancer, now, None);
        *counts.entry(pick.id.to_string()).or_default() += 1;
        balancer.request_sent(now, &pick, None);
        let running = if &*pick.id == "i-0" { 6.0 } else { 0.0 };
        let report = LoadReport { running, waiting: 0.0, slots: 8.0 };
        balancer.response_head_received(now, &pick, Some(report), false);
        balancer.request_ended(now, &pick, true, RequestOutcome::Completed);
    }
    assert!(counts["i-1"] > counts["i-0"], "{counts:?}");
    assert!(counts["i-0"] > 10, "a loaded endpoint still gets requests: {counts:?}");
}

#[test]
fn endpoints_of_the_own_zone_are_preferred_while_they_have_capacity() {
    let mut balancer = Balancer::new(OWN_ZONE);
    let records = [record(0, OWN_ZONE, EndpointState::Ready), record(1, "elsewhere", EndpointState::Ready)];
    balancer.update(records.iter());
    // Report both endpoints as idle, so that their weights are above that of an endpoint of unknown load.
    for record in &records {
        let pick = Pick { id: record.id.as_str().into(), address: record.address, prefill_tokens: 0 };
        balancer.request_sent(ms(0), &pick, None);
        let idle = LoadReport { running: 0.0, waiting: 0.0, slots: 8.0 };
        balancer.response_head_received(ms(0), &pick, Some(idle), false);
        balancer.request_ended(ms(0), &pick, true, RequestOutcome::Completed);
    }
    let ids = picked_ids(&mut balancer, ms(300), 110);
    let other_zone_picks = ids.iter().filter(|id| &***id == "i-1").count();
    assert_eq!(other_zone_picks, 10, "an endpoint in another zone has a tenth of the weight");
}

#[test]
fn requests_with_the_same_prefix_go_to_one_endpoint_and_prefixes_are_spread_over_all() {
    let mut balancer = balancer(9);
    let mut homes = HashSet::new();
    for prefix in 0..60 {
        let first = pick(&mut balancer, ms(0), Some(prompt(prefix)));
        homes.insert(first.id.clone());
        assert_eq!(pick(&mut balancer, ms(1), Some(prompt(prefix))).id, first.id);
        assert_eq!(first.prefill_tokens, 1_000);
    }
    assert_eq!(homes.len(), 9);
}

#[test]
fn a_hot_prefix_spreads_to_other_endpoints_when_many_tokens_are_queued_at_its_home() {
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
fn load_of_other_routers_counts_until_it_times_out() {
    let mut balancer = balancer(2);
    let home = pick(&mut balancer, ms(0), Some(prompt(7)));
    balancer.request_sent(ms(0), &home, Some(&prompt(7)));
    let own_report = balancer.take_load_report();
    let key = own_report[0].endpoint;
    let total = EndpointLoad {
        endpoint: key,
        pending_prompt_tokens: 500_000,
        in_flight: 40,
        ..EndpointLoad::default()
    };
    balancer.observe_fleet_load(ms(10), &own_report, &HashMap::from([(key, total)]));
    assert_ne!(pick(&mut balancer, ms(20), Some(prompt(8))).id, home.id);
    assert_ne!(pick(&mut balancer, ms(20), Some(prompt(7))).id, home.id);
    complete_response(&mut balancer, ms(30), &home, false);
    assert_eq!(pick(&mut balancer, ms(5_000), Some(prompt(7))).id, home.id);
}

#[test]
fn a_stalled_endpoint_gets_no_requests_until_it_responds() {
    let mut balancer = balancer(2);
    let stalled = pick(&mut balancer, ms(0), None);
    balancer.request_sent(ms(0), &stalled, None);
    assert!(picked_ids(&mut balancer, ms(1_000), 10).iter().all(|id| *id != stalled.id));
    complete_response(&mut balancer, ms(1_100), &stalled, false);
    assert!(picked_ids(&mut balancer, ms(1_200), 4).contains(&stalled.id));
}

#[test]
fn consecutive_failures_eject_an_endpoint_for_longer_each_time_unless_no_endpoint_is_healthy() {
    let mut balancer = balancer(2);
    balancer.connect_failed(ms(0), "i-0");
    assert!(picked_ids(&mut balancer, ms(300), 5).iter().all(|id| &**id == "i-1"));
    assert!(picked_ids(&mut balancer, ms(500), 5).iter().any(|id| &**id == "i-0"));
    balancer.connect_failed(ms(600), "i-0");
    assert!(picked_ids(&mut balancer, ms(1_300), 5).iter().all(|id| &**id == "i-1"));
    balancer.connect_failed(ms(1_300), "i-1");
    assert!(picked_ids(&mut balancer, ms(1_310), 5).iter().any(|id| &**id == "i-0"));
}

#[rstest]
#[case::draining(EndpointState::Draining, false, false)]
#[case::removed(EndpointState::Removed, false, false)]
#[case::expired(EndpointState::Expired, true, true)]
fn the_state_decides_whether_an_endpoint_may_receive_requests(
    #[case] state: EndpointState,
    #[case] may_send: bool,
    #[case] is_picked_if_only_endpoint: bool,
) {
    let mut balancer = balancer(1);
    balancer.update([record(0, OWN_ZONE, state)].iter());
    assert_eq!(balancer.may_send("i-0"), may_send);
    assert_eq!(balancer.pick(ms(0), &request(None)).is_some(), is_picked_if_only_endpoint);
}

#[test]
fn endpoints_of_earlier_attempts_are_not_picked() {
    let mut balancer = balancer(2);
    let attempted: [Arc<str>; 2] = ["i-0".into(), "i-1".into()];
    let request = |attempted| PickRequest {
        service: "s",
        version: None,
        endpoint_share: None,
        prompt: None,
        latency_target: ms(500),
        attempted,
    };
    for index in 0..10 {
        let pick = balancer.pick(ms(index), &request(&attempted[..1])).unwrap();
        assert_eq!(pick.id, attempted[1]);
    }
    assert_eq!(balancer.pick(ms(20), &request(&attempted)), None);
}

#[test]
fn the_number_of_tracked_prefixes_is_bounded() {
    let mut balancer = balancer(3);
    for prefix in 0..100_000 {
        let now = ms(prefix / 100);
        let pick = pick(&mut balancer, now, Some(prompt(prefix)));
        balancer.request_sent(now, &pick, Some(&prompt(prefix)));
        complete_response(&mut balancer, now, &pick, false);
    }
    assert!(balancer.tracked_prefixes() <= 4_096);
}

#[test]
fn an_endpoint_with_a_high_failure_rate_gets_no_requests_until_the_rate_has_decayed() {
    let mut balancer = balancer(4);
    let failing = Pick { id: "i-1".into(), address: "10.0.0.1:1".parse().unwrap(), prefill_tokens: 0 };
    for index in 0..3 {
        let now = ms(index * 10);
        balancer.request_sent(now, &failing, None);
        complete_response(&mut balancer, now, &failing, true);
    }
    assert!(picked_ids(&mut balancer, ms(100), 30).iter().all(|id| *id != failing.id));
    assert!(picked_ids(&mut balancer, ms(4_000), 30).contains(&failing.id));
}

#[test]
fn failures_reported_by_other_routers_count_but_no_endpoint_is_ejected_if_most_fail() {
    let mut balancer = balancer(4);
    let picks: Vec<Pick> = (0..40).map(|index| pick(&mut balancer, ms(index), None)).collect();
    picks.iter().for_each(|pick| balancer.request_sent(ms(50), pick, None));
    let own_report = balancer.take_load_report();
    let totals_with_failing = |count: usize| -> HashMap<u64, EndpointLoad> {
        let endpoints = own_report.iter().take(count);
        endpoints.map(|load| (load.endpoint, EndpointLoad { failed: 5, succeeded: 3, ..*load })).collect()
    };
    balancer.observe_fleet_load(ms(60), &own_report, &totals_with_failing(1));
    let used: HashSet<Arc<str>> = picked_ids(&mut balancer, ms(100), 40).into_iter().collect();
    assert_eq!(used.len(), 3);
    balancer.observe_fleet_load(ms(200), &own_report, &totals_with_failing(3));
    let used: HashSet<Arc<str>> = picked_ids(&mut balancer, ms(210), 40).into_iter().collect();
    assert_eq!(used.len(), 4);
}

fn record_of_version(index: u16, version: &str) -> EndpointRecord {
    EndpointRecord { version: version.to_owned(), ..record(index, OWN_ZONE, EndpointState::Ready) }
}

/// Creates a balancer with endpoints `i-0` and `i-1` of version `v1`, `i-2` and `i-3` of `v2`, and `i-4` of
/// unknown version.
fn balancer_of_two_versions() -> Balancer {
    let mut balancer = Balancer::new(OWN_ZONE);
    let versions = ["v1", "v1", "v2", "v2", ""];
    let records: Vec<_> =
        (0..).zip(versions).map(|(index, version)| record_of_version(index, version)).collect();
    balancer.update(records.iter());
    balancer
}

// Guards against sending requests to endpoints of a version that was never put in service, even if all others
// are faulty.
#[rstest]
#[case::without_prompt(None)]
#[case::with_prompt(Some(prompt(1)))]
fn only_endpoints_of_the_version_in_service_are_selected(#[case] prompt: Option<Prompt>) {
    let mut balancer = balancer_of_two_versions();
    let request = PickRequest { version: Some("v1"), ..request(prompt) };
    let mut picked = HashSet::new();
    for index in 0..200 {
        let pick = balancer.pick(ms(index), &request).unwrap();
        picked.insert(pick.id.to_string());
        balancer.request_sent(ms(index), &pick, prompt.as_ref());
        // Every request fails, so that eventually all endpoints of the version are ejected.
        balancer.request_ended(ms(index), &pick, false, RequestOutcome::Failed);
    }
    assert_eq!(picked, HashSet::from(["i-0", "i-1", "i-4"].map(str::to_owned)));
    assert!(balancer.request_counts()["s"]["v1"] > 0 && !balancer.request_counts()["s"].contains_key("v2"));
}

#[test]
fn all_endpoints_are_eligible_without_a_version_and_none_if_no_endpoint_has_the_version() {
    let mut balancer = balancer_of_two_versions();
    let picked: HashSet<_> = picked_ids(&mut balancer, ms(0), 50).into_iter().collect();
    assert_eq!(picked.len(), 5);
    let records = [record_of_version(2, "v2"), record_of_version(3, "v2")];
    balancer.update(records.iter());
    let request = PickRequest { version: Some("v1"), ..request(None) };
    assert_eq!(balancer.pick(ms(100), &request), None);
    assert_eq!(balancer.request_counts().len(), 0, "counts of versions without endpoints are dropped");
}

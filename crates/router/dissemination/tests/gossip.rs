//! Tests of the gossip state machine: freshness, fetching the configuration, confirmations by the core, restored peers.

use passrelay_configuration::{Rollouts, ServiceVersions};
use passrelay_dissemination::{
    ActiveMutation, CommittedConfiguration, CoreHint, Digest, Gossip, GossipAction, GossipMessage,
    GossipSettings, Incarnation, Peer, RegistryDigest,
};
use rstest::rstest;
use std::net::SocketAddrV4;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), 7_000)
}

fn peer(host: u8) -> Peer {
    Peer { address: address(host), incarnation: Incarnation(u64::from(host)) }
}

/// Creates the sidecar at host 1, whose only seed is host 2.
fn gossip() -> Gossip {
    Gossip::new(GossipSettings {
        own_address: address(1),
        seeds: vec![address(2)],
        heartbeat_interval: at(1_200),
        accepts_deltas: true,
        random_seed: 1,
        mutation: ActiveMutation::default(),
    })
}

fn configuration(index: u64, document: &str) -> CommittedConfiguration {
    CommittedConfiguration {
        index,
        generation: index,
        document: document.into(),
        service_versions: ServiceVersions::default(),
        rollouts: Rollouts::default(),
        keys_revoked: false,
    }
}

fn response(request_id: u64, index: u64, fresh_age_ms: u32) -> GossipMessage {
    let registry = RegistryDigest::default();
    let digest = Digest { request_id, index, registry, core: None, sample: Vec::new() };
    GossipMessage::DigestResponse { digest, fresh_age_ms: Some(fresh_age_ms) }
}

fn receive(gossip: &mut Gossip, now: Duration, host: u8, message: GossipMessage) -> Vec<GossipAction> {
    let mut actions = Vec::new();
    gossip.receive(now, peer(host), message, &mut actions);
    actions
}

/// Fires the due timers and returns the ids of the digest requests that are sent.
fn tick(gossip: &mut Gossip, now: Duration) -> Vec<u64> {
    let mut actions = Vec::new();
    gossip.tick(now, &mut actions);
    let request_id = |action: &GossipAction| match action {
        GossipAction::Send { message: GossipMessage::DigestRequest(digest), .. } => Some(digest.request_id),
        _ => None,
    };
    actions.iter().filter_map(request_id).collect()
}

fn is_fetch(action: &GossipAction, host: u8) -> bool {
    let is_to = |to: &SocketAddrV4| *to == address(host);
    matches!(action, GossipAction::Send { to, message: GossipMessage::Fetch { .. }, .. } if is_to(to))
}

#[test]
fn freshness_is_computed_from_the_send_time_of_the_request() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    receive(&mut gossip, at(9_000), 2, response(request_id, 0, 300));
    assert_eq!(gossip.fresh_at(), Some(at(700)));
}

#[test]
fn duplicate_responses_and_older_confirmations_leave_the_freshness_unchanged() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    receive(&mut gossip, at(1_010), 2, response(request_id, 0, 300));
    receive(&mut gossip, at(1_020), 2, response(request_id, 0, 0));
    let later_request_id = tick(&mut gossip, at(1_400))[0];
    receive(&mut gossip, at(1_410), 2, response(later_request_id, 0, 900));
    assert_eq!(gossip.fresh_at(), Some(at(700)));
}

#[test]
fn the_freshness_of_a_newer_configuration_does_not_apply_to_the_local_one() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    let actions = receive(&mut gossip, at(1_010), 2, response(request_id, 5, 0));
    assert_eq!(gossip.fresh_at(), None);
    assert!(actions.iter().any(|action| is_fetch(action, 2)));
}

#[test]
fn a_second_fetch_waits_for_a_timeout_that_grows_with_the_document() {
    let mut gossip = gossip();
    let document = "x".repeat(50 * 1_024);
    receive(&mut gossip, at(0), 2, GossipMessage::Configuration(configuration(1, &document)));
    // The timeout is 120 ms plus 1 ms for each of the 50 KiB.
    assert!(is_fetch(&receive(&mut gossip, at(10), 2, GossipMessage::Announce { index: 2 })[0], 2));
    assert!(receive(&mut gossip, at(179), 3, GossipMessage::Announce { index: 2 }).is_empty());
    assert!(is_fetch(&receive(&mut gossip, at(180), 3, GossipMessage::Announce { index: 2 })[0], 3));
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut gossip = gossip();
    receive(&mut gossip, at(0), 2, GossipMessage::Configuration(configuration(4, "{}")));
    assert!(receive(&mut gossip, at(1), 2, GossipMessage::Configuration(configuration(3, "{}"))).is_empty());
    assert_eq!(gossip.configuration().map(|c| c.index), Some(4));
}

#[test]
fn a_core_member_confirms_only_announcements_made_before_the_request() {
    let mut gossip = gossip();
    gossip.observe_core(CoreHint { term: 1, sequence: 1, primary: address(2), members: vec![address(2)] });
    let early_request_id = tick(&mut gossip, at(1_000))[0];
    let announcement = gossip.announce(at(1_010), "i");
    let request_id = tick(&mut gossip, at(1_010))[0];
    let confirmed = GossipAction::AnnouncementConfirmed(announcement);
    // Neither a request sent before the announcement nor a majority contact that precedes it confirms the announcement.
    let early = receive(&mut gossip, at(1_020), 2, response(early_request_id, 0, 0));
    assert!(!early.contains(&confirmed));
    let aged = receive(&mut gossip, at(1_020), 2, response(request_id, 0, 1));
    assert!(!aged.contains(&confirmed));
    let later_request_id = tick(&mut gossip, at(1_100))[0];
    let timely = receive(&mut gossip, at(1_110), 2, response(later_request_id, 0, 1));
    assert!(timely.contains(&confirmed));
}

// ---- Configurations as deltas ----

/// Returns a document far longer than several deltas together, with one item that depends on the index.
fn long_document(index: u64) -> String {
    let item = |number: u64| format!(r#"{{"name":"r-{number}","text":"{}"}}"#, "x".repeat(60));
    let mut items: Vec<String> = (0..60).map(item).collect();
    items[(index % 20) as usize] = format!(r#"{{"name":"changed by {index}"}}"#);
    format!(r#"{{"generation":{index},"items":[{}]}}"#, items.join(","))
}

fn long_configuration(index: u64) -> CommittedConfiguration {
    configuration(index, &long_document(index))
}

/// Creates the sidecar at host 1 after it has observed the commits of these configurations as a member of the core.
fn source(indexes: std::ops::RangeInclusive<u64>) -> Gossip {
    let mut gossip = gossip();
    for index in indexes {
        let committed = long_configuration(index);
        gossip.observe_committed(at(0), Some(&committed), Some(at(0)), &mut Vec::new());
    }
    gossip
}

/// Returns the message that a sidecar sends in response to a fetch.
fn fetch_response(gossip: &mut Gossip, have: u64, accepts_deltas: bool) -> GossipMessage {
    let actions = receive(gossip, at(10), 3, GossipMessage::Fetch { have, accepts_deltas });
    match actions.as_slice() {
        [GossipAction::Send { message, .. }] => message.clone(),
        other => panic!("expected a single message, found {other:?}"),
    }
}

#[test]
fn a_sidecar_a_few_changes_behind_receives_deltas_and_forwards_them() {
    let deltas = fetch_response(&mut source(1..=4), 1, true);
    let GossipMessage::ConfigurationDeltas(sent) = &deltas else { panic!("{deltas:?}") };
    assert_eq!(sent.len(), 3);
    let mut relay = gossip();
    receive(&mut relay, at(0), 2, GossipMessage::Configuration(long_configuration(1)));
    let actions = receive(&mut relay, at(20), 2, deltas.clone());
    assert!(actions.contains(&GossipAction::Configured(long_configuration(4))), "{actions:?}");
    assert_eq!(fetch_response(&mut relay, 1, true), deltas, "the relay forwards the deltas that it received");
    let GossipMessage::ConfigurationDeltas(last) = fetch_response(&mut relay, 3, true) else { panic!() };
    assert_eq!(last, sent[2..]);
}

#[rstest]
#[case::no_configuration(0, true)]
#[case::deltas_not_accepted(3, false)]
#[case::too_far_behind(2, true)]
fn a_sidecar_that_can_not_use_deltas_receives_the_complete_document(
    #[case] have: u64,
    #[case] accepts_deltas: bool,
) {
    let complete = GossipMessage::Configuration(long_configuration(40));
    assert_eq!(fetch_response(&mut source(1..=40), have, accepts_deltas), complete);
}

#[test]
fn a_replaced_document_is_sent_completely() {
    let mut gossip = source(1..=1);
    let replaced = configuration(2, "{}");
    gossip.observe_committed(at(5), Some(&replaced), Some(at(5)), &mut Vec::new());
    assert_eq!(fetch_response(&mut gossip, 1, true), GossipMessage::Configuration(replaced));
}

// Guards against a sidecar that stays behind or accepts a wrong document because the deltas do not apply to its own.
#[rstest]
#[case::missed_change(Some(long_configuration(1)))]
#[case::no_configuration(None)]
fn deltas_that_do_not_apply_lead_to_a_fetch_of_the_complete_document(
    #[case] current: Option<CommittedConfiguration>,
) {
    let deltas = fetch_response(&mut source(1..=4), 2, true);
    let mut gossip = gossip();
    if let Some(current) = current.clone() {
        receive(&mut gossip, at(0), 2, GossipMessage::Configuration(current));
    }
    let actions = receive(&mut gossip, at(20), 2, deltas);
    let have = current.as_ref().map_or(0, |current| current.index);
    let fetch = GossipMessage::Fetch { have, accepts_deltas: false };
    assert_eq!(actions, [GossipAction::Send { to: address(2), addressee: None, message: fetch }]);
    assert_eq!(gossip.configuration(), current.as_ref());
}

#[test]
fn duplicate_deltas_have_no_effect() {
    let deltas = fetch_response(&mut source(1..=3), 2, true);
    let mut gossip = gossip();
    receive(&mut gossip, at(0), 2, GossipMessage::Configuration(long_configuration(2)));
    receive(&mut gossip, at(20), 2, deltas.clone());
    assert_eq!(receive(&mut gossip, at(21), 2, deltas), []);
    assert_eq!(gossip.configuration(), Some(&long_configuration(3)));
}

fn with_version(configuration: CommittedConfiguration, version: &str) -> CommittedConfiguration {
    let service_versions = [("s".to_owned(), version.to_owned())].into_iter().collect();
    CommittedConfiguration { service_versions, ..configuration }
}

// Guards against a sidecar that receives a document by deltas without learning the version in service.
#[test]
fn versions_in_service_are_sent_with_the_complete_document_and_with_deltas() {
    let mut source = gossip();
    let committed = [
        long_configuration(1),
        with_version(long_configuration(2), "v1"),
        with_version(long_configuration(3), "v2"),
    ];
    for configuration in &committed {
        source.observe_committed(at(0), Some(configuration), Some(at(0)), &mut Vec::new());
    }
    let complete = fetch_response(&mut source, 0, true);
    assert_eq!(complete, GossipMessage::Configuration(committed[2].clone()));
    let deltas = fetch_response(&mut source, 1, true);
    assert!(matches!(&deltas, GossipMessage::ConfigurationDeltas(sent) if sent.len() == 2), "{deltas:?}");
    let mut relay = gossip();
    receive(&mut relay, at(0), 2, GossipMessage::Configuration(committed[0].clone()));
    receive(&mut relay, at(20), 2, deltas);
    assert_eq!(relay.configuration(), Some(&committed[2]));
}

// Guards against losing the versions in service when a sidecar of an earlier build, which drops them, forwards a delta.
#[test]
fn a_delta_without_versions_keeps_the_known_ones() {
    let deltas = fetch_response(&mut source(1..=2), 1, true);
    let mut gossip = gossip();
    let current = with_version(long_configuration(1), "v1");
    receive(&mut gossip, at(0), 2, GossipMessage::Configuration(current));
    receive(&mut gossip, at(20), 2, deltas);
    assert_eq!(gossip.configuration(), Some(&with_version(long_configuration(2), "v1")));
}

fn with_rollouts(configuration: CommittedConfiguration) -> CommittedConfiguration {
    let mut rollouts = Rollouts::default();
    rollouts.get_or_insert_default("s");
    CommittedConfiguration { rollouts, ..configuration }
}

fn with_revoked_keys(configuration: CommittedConfiguration) -> CommittedConfiguration {
    CommittedConfiguration { keys_revoked: true, ..configuration }
}

// Guards against machines that keep versions, rollouts or keys of a configuration before, because what is empty
// in a delta is read as unchanged (the cause of review/1). All machines must hold the same configuration under an index.
#[rstest]
#[case::versions(with_version(long_configuration(1), "v1"), long_configuration(2))]
#[case::rollouts(with_rollouts(long_configuration(1)), long_configuration(2))]
#[case::keys_revoked(long_configuration(1), with_revoked_keys(long_configuration(2)))]
#[case::keys_still_revoked(
    with_revoked_keys(long_configuration(1)),
    with_revoked_keys(long_configuration(2))
)]
fn a_sidecar_that_follows_by_deltas_holds_what_the_source_holds(
    #[case] before: CommittedConfiguration,
    #[case] after: CommittedConfiguration,
) {
    let mut source = gossip();
    let mut follower = gossip();
    source.observe_committed(at(0), Some(&before), Some(at(0)), &mut Vec::new());
    let first = fetch_response(&mut source, 0, true);
    receive(&mut follower, at(5), 2, first);
    source.observe_committed(at(10), Some(&after), Some(at(10)), &mut Vec::new());
    let second = fetch_response(&mut source, 1, true);
    receive(&mut follower, at(20), 2, second);
    assert_eq!(follower.configuration(), Some(&after));
}

/// Fires the due timers and returns the addresses that digest requests are sent to.
fn contacted_peers(gossip: &mut Gossip, now: Duration) -> Vec<SocketAddrV4> {
    let mut actions = Vec::new();
    gossip.tick(now, &mut actions);
    let contact = |action: &GossipAction| match action {
        GossipAction::Send { to, message: GossipMessage::DigestRequest(_), .. } => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(contact).collect()
}

// Guards against a fleet that stays partitioned after all machines lost power, because the seeds of each group list no machine
// of the other.
#[test]
fn restored_peers_are_contacted_in_turn_until_they_respond_or_the_contact_period_ends() {
    let mut gossip = gossip();
    gossip.restore_peers(at(0), (11..=16).map(address).chain([address(1)]).collect());
    let restored: Vec<_> = (11..=16).map(address).collect();
    assert_eq!(gossip.known_peers().into_iter().collect::<Vec<_>>(), restored, "they may still respond");
    let mut seen: Vec<SocketAddrV4> = contacted_peers(&mut gossip, at(0));
    receive(&mut gossip, at(10), 12, GossipMessage::Announce { index: 0 });
    for round in 1..4 {
        seen.extend(contacted_peers(&mut gossip, at(400 * round)));
    }
    assert!(restored.iter().all(|peer| seen.contains(peer)), "{seen:?}");
    assert!(!seen.contains(&address(1)), "the sidecar contacts itself");
    let late: Vec<_> = (40..50).flat_map(|round| contacted_peers(&mut gossip, at(400 * round))).collect();
    assert!(late.iter().all(|peer| !restored.contains(peer) || *peer == address(12)), "{late:?}");
    assert_eq!(gossip.known_peers().into_iter().collect::<Vec<_>>(), [address(12)]);
}

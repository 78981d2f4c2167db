//! The decider: freshness, fetching the configuration, confirmations by the core.

use passrelay_dissemination::{
    ActiveMutation, CommittedConfiguration, CoreHint, Digest, Gossip, GossipAction, GossipMessage,
    GossipSettings, Incarnation, Peer, RegistryDigest,
};
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

/// The sidecar of host 1, whose only seed is host 2.
fn gossip() -> Gossip {
    Gossip::new(GossipSettings {
        own: address(1),
        seeds: vec![address(2)],
        heartbeat: at(1_200),
        random_seed: 1,
        mutation: ActiveMutation::default(),
    })
}

fn configuration(index: u64, document: &str) -> CommittedConfiguration {
    CommittedConfiguration { index, generation: index, document: document.into() }
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

/// Advances the timers and returns the ids of the digest requests that are sent.
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
fn freshness_is_counted_from_the_sending_of_the_request() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    receive(&mut gossip, at(9_000), 2, response(request_id, 0, 300));
    assert_eq!(gossip.fresh_at(), Some(at(700)));
}

#[test]
fn a_duplicate_response_or_an_older_confirmation_changes_no_freshness() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    receive(&mut gossip, at(1_010), 2, response(request_id, 0, 300));
    receive(&mut gossip, at(1_020), 2, response(request_id, 0, 0));
    let later_request_id = tick(&mut gossip, at(1_400))[0];
    receive(&mut gossip, at(1_410), 2, response(later_request_id, 0, 900));
    assert_eq!(gossip.fresh_at(), Some(at(700)));
}

#[test]
fn freshness_of_a_newer_configuration_does_not_apply_to_the_local_one() {
    let mut gossip = gossip();
    let request_id = tick(&mut gossip, at(1_000))[0];
    let actions = receive(&mut gossip, at(1_010), 2, response(request_id, 5, 0));
    assert_eq!(gossip.fresh_at(), None);
    assert!(actions.iter().any(|action| is_fetch(action, 2)));
}

#[test]
fn one_fetch_is_in_flight_until_its_timeout_which_grows_with_the_size() {
    let mut gossip = gossip();
    let document = "x".repeat(50 * 1_024);
    receive(&mut gossip, at(0), 2, GossipMessage::Configuration(configuration(1, &document)));
    // 120 ms and 1 ms for each of the 50 KiB.
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
fn a_member_of_the_core_confirms_what_was_announced_before_the_request() {
    let mut gossip = gossip();
    gossip.observe_core(CoreHint { term: 1, sequence: 1, primary: address(2), members: vec![address(2)] });
    let early_request_id = tick(&mut gossip, at(1_000))[0];
    let announcement = gossip.announce(at(1_010), "i");
    let request_id = tick(&mut gossip, at(1_010))[0];
    let confirmed = GossipAction::AnnouncementConfirmed(announcement);
    // Sent before the announcement, or confirmed by the majority before it.
    let early = receive(&mut gossip, at(1_020), 2, response(early_request_id, 0, 0));
    assert!(!early.contains(&confirmed));
    let aged = receive(&mut gossip, at(1_020), 2, response(request_id, 0, 1));
    assert!(!aged.contains(&confirmed));
    let later_request_id = tick(&mut gossip, at(1_100))[0];
    let timely = receive(&mut gossip, at(1_110), 2, response(later_request_id, 0, 1));
    assert!(timely.contains(&confirmed));
}

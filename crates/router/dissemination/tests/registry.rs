//! The endpoint registry: late heartbeats, silence and its contradiction, reused addresses, restarts.

use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat, Registry};
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn beat(id: &str, port: u16, state: EndpointState, sequence: u64) -> Heartbeat {
    Heartbeat {
        record: EndpointRecord {
            id: id.to_owned(),
            service: "s".to_owned(),
            address: format!("10.0.0.1:{port}").parse().unwrap(),
            zone: "z".to_owned(),
            capacity: 8,
            state,
            sequence,
        },
    }
}

fn state(registry: &Registry, id: &str) -> Option<EndpointState> {
    registry.records().find(|r| r.id == id).map(|r| r.state)
}

#[test]
fn a_late_heartbeat_changes_nothing_neither_after_draining_nor_after_the_end() {
    let mut registry = Registry::new(BEAT);
    registry.heartbeat(at(0), &beat("i", 1, EndpointState::Ready, 3));
    assert_eq!(registry.heartbeat(at(10), &beat("i", 1, EndpointState::Draining, 4)).len(), 1);
    assert!(registry.heartbeat(at(20), &beat("i", 1, EndpointState::Ready, 3)).is_empty());
    assert_eq!(state(&registry, "i"), Some(EndpointState::Draining));
    assert_eq!(registry.deregister(at(30), "i").len(), 1);
    assert!(registry.heartbeat(at(40), &beat("i", 1, EndpointState::Ready, 9)).is_empty());
    assert_eq!(state(&registry, "i"), Some(EndpointState::Removed));
}

#[test]
fn only_changes_are_told_on() {
    let mut registry = Registry::new(BEAT);
    assert_eq!(registry.heartbeat(at(0), &beat("i", 1, EndpointState::Ready, 1)).len(), 1);
    for n in 2..10 {
        assert!(registry.heartbeat(at(n * 1_200), &beat("i", 1, EndpointState::Ready, n)).is_empty());
    }
}

#[test]
fn an_endpoint_whose_heartbeats_stop_is_silent_until_a_later_one_is_known() {
    let (mut first, mut second) = (Registry::new(BEAT), Registry::new(BEAT));
    let news = first.heartbeat(at(0), &beat("i", 1, EndpointState::Ready, 1));
    second.merge(at(1), news);
    // It goes on at the second one, and the rumour of that is lost.
    second.heartbeat(at(1_200), &beat("i", 1, EndpointState::Ready, 2));
    let silence = first.expire(at(5_000));
    assert_eq!(silence[0].state, EndpointState::Expired);
    assert!(second.merge(at(5_001), silence).is_empty());
    assert_eq!(state(&second, "i"), Some(EndpointState::Ready));
    // The digests differ, and the later one wins.
    let differing = second.differing(&first.digest());
    first.merge(at(5_002), differing);
    assert_eq!(state(&first, "i"), Some(EndpointState::Ready));
}

#[test]
fn whoever_has_heard_a_later_heartbeat_contradicts_a_silence() {
    let mut registry = Registry::new(BEAT);
    registry.heartbeat(at(0), &beat("i", 1, EndpointState::Ready, 2));
    registry.heartbeat(at(1_200), &beat("i", 1, EndpointState::Ready, 3));
    let told = beat("i", 1, EndpointState::Expired, 2).record;
    let contradiction = registry.merge(at(1_300), vec![told]);
    assert_eq!((contradiction[0].state, contradiction[0].sequence), (EndpointState::Ready, 3));
    // A silence after the last heartbeat that was heard here stands.
    let told = beat("i", 1, EndpointState::Expired, 4).record;
    assert_eq!(registry.merge(at(1_400), vec![told])[0].state, EndpointState::Expired);
}

#[test]
fn an_address_that_is_registered_anew_belongs_to_the_newcomer() {
    let mut registry = Registry::new(BEAT);
    registry.heartbeat(at(0), &beat("old", 1, EndpointState::Ready, 1));
    let news = registry.heartbeat(at(10), &beat("new", 1, EndpointState::Ready, 1));
    assert_eq!(news.len(), 2);
    assert_eq!(state(&registry, "old"), Some(EndpointState::Removed));
}

#[test]
fn digests_find_what_a_rumour_missed() {
    let (mut one, mut other) = (Registry::new(BEAT), Registry::new(BEAT));
    for n in 0..20 {
        one.heartbeat(at(0), &beat(&format!("i{n}"), 1_000 + n, EndpointState::Ready, 1));
    }
    let missing = one.differing(&other.digest());
    assert_eq!(missing.len(), 20);
    other.merge(at(5), missing);
    assert_eq!(one.digest(), other.digest());
    one.heartbeat(at(10), &beat("i3", 1_003, EndpointState::Draining, 2));
    let differing = one.differing(&other.digest());
    assert!(differing.len() < 20 && differing.iter().any(|r| r.id == "i3"));
}

#[test]
fn restored_endpoints_serve_until_they_are_confirmed_or_too_long_unheard() {
    let mut registry = Registry::new(BEAT);
    let known = ["a", "b"].map(|id| beat(id, 1, EndpointState::Ready, 7).record);
    registry.restore(at(0), known.to_vec());
    assert_eq!(state(&registry, "a"), Some(EndpointState::Ready));
    registry.heartbeat(at(900), &beat("a", 1, EndpointState::Ready, 8));
    registry.expire(at(2_700));
    assert_eq!(state(&registry, "a"), Some(EndpointState::Ready));
    assert_eq!(state(&registry, "b"), Some(EndpointState::Expired));
}

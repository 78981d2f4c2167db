//! Tests of the endpoint registry: late heartbeats, expiry and its refutation, reused addresses, digests, restarts.

use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat, Registry};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(id: &str, port: u16, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        zone: "z".to_owned(),
        capacity: 8,
        state,
        sequence,
        version: String::new(),
    }
}

fn heartbeat(id: &str, port: u16, state: EndpointState, sequence: u64) -> Heartbeat {
    Heartbeat { record: record(id, port, state, sequence) }
}

fn state(registry: &Registry, id: &str) -> Option<EndpointState> {
    registry.records().find(|r| r.id == id).map(|r| r.state)
}

#[test]
fn a_late_heartbeat_has_no_effect_after_draining_or_removal() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.heartbeat(at(0), &heartbeat("i", 1, EndpointState::Ready, 3));
    assert_eq!(registry.heartbeat(at(10), &heartbeat("i", 1, EndpointState::Draining, 4)).len(), 1);
    assert!(registry.heartbeat(at(20), &heartbeat("i", 1, EndpointState::Ready, 3)).is_empty());
    assert_eq!(state(&registry, "i"), Some(EndpointState::Draining));
    assert_eq!(registry.deregister(at(30), "i").len(), 1);
    assert!(registry.heartbeat(at(40), &heartbeat("i", 1, EndpointState::Ready, 9)).is_empty());
    assert_eq!(state(&registry, "i"), Some(EndpointState::Removed));
}

#[test]
fn only_state_changes_are_broadcast() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    assert_eq!(registry.heartbeat(at(0), &heartbeat("i", 1, EndpointState::Ready, 1)).len(), 1);
    for sequence in 2..10 {
        let repeated = heartbeat("i", 1, EndpointState::Ready, sequence);
        assert!(registry.heartbeat(at(sequence * 1_200), &repeated).is_empty());
    }
}

#[test]
fn an_endpoint_without_heartbeats_stays_expired_until_a_later_heartbeat_is_known() {
    let mut first = Registry::new(HEARTBEAT_INTERVAL);
    let mut second = Registry::new(HEARTBEAT_INTERVAL);
    let changed = first.heartbeat(at(0), &heartbeat("i", 1, EndpointState::Ready, 1));
    second.merge(at(1), changed);
    // The endpoint continues its heartbeats at the second sidecar, whose broadcast is lost.
    second.heartbeat(at(1_200), &heartbeat("i", 1, EndpointState::Ready, 2));
    let expired = first.expire(at(5_000));
    assert_eq!(expired[0].state, EndpointState::Expired);
    assert!(second.merge(at(5_001), expired).is_empty());
    assert_eq!(state(&second, "i"), Some(EndpointState::Ready));
    // The digests differ, and the later record wins.
    let differing = second.differing_records(&first.digest());
    first.merge(at(5_002), differing);
    assert_eq!(state(&first, "i"), Some(EndpointState::Ready));
}

#[test]
fn a_later_local_heartbeat_refutes_an_expiry() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.heartbeat(at(0), &heartbeat("i", 1, EndpointState::Ready, 2));
    registry.heartbeat(at(1_200), &heartbeat("i", 1, EndpointState::Ready, 3));
    let outdated = record("i", 1, EndpointState::Expired, 2);
    let refutation = registry.merge(at(1_300), vec![outdated]);
    assert_eq!((refutation[0].state, refutation[0].sequence), (EndpointState::Ready, 3));
    // An expiry after the last local heartbeat stands.
    let expired = record("i", 1, EndpointState::Expired, 4);
    assert_eq!(registry.merge(at(1_400), vec![expired])[0].state, EndpointState::Expired);
}

#[test]
fn an_address_belongs_to_the_endpoint_that_registered_last() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.heartbeat(at(0), &heartbeat("old", 1, EndpointState::Ready, 1));
    let changed = registry.heartbeat(at(10), &heartbeat("new", 1, EndpointState::Ready, 1));
    assert_eq!(changed.len(), 2);
    assert_eq!(state(&registry, "old"), Some(EndpointState::Removed));
}

#[test]
fn digests_reveal_records_that_a_broadcast_missed() {
    let mut first = Registry::new(HEARTBEAT_INTERVAL);
    let mut second = Registry::new(HEARTBEAT_INTERVAL);
    for number in 0..20 {
        let id = format!("i{number}");
        first.heartbeat(at(0), &heartbeat(&id, 1_000 + number, EndpointState::Ready, 1));
    }
    let missing = first.differing_records(&second.digest());
    assert_eq!(missing.len(), 20);
    second.merge(at(5), missing);
    assert_eq!(first.digest(), second.digest());
    first.heartbeat(at(10), &heartbeat("i3", 1_003, EndpointState::Draining, 2));
    let differing = first.differing_records(&second.digest());
    assert!(differing.len() < 20 && differing.iter().any(|r| r.id == "i3"));
}

#[test]
fn restored_endpoints_are_live_until_they_are_confirmed_or_time_out() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    let persisted = ["a", "b"].map(|id| record(id, 1, EndpointState::Ready, 7));
    registry.restore(at(0), persisted.to_vec());
    assert_eq!(state(&registry, "a"), Some(EndpointState::Ready));
    registry.heartbeat(at(900), &heartbeat("a", 1, EndpointState::Ready, 8));
    registry.expire(at(2_700));
    assert_eq!(state(&registry, "a"), Some(EndpointState::Ready));
    assert_eq!(state(&registry, "b"), Some(EndpointState::Expired));
}

//! A member answers only for what is durable, and promises a term to one candidate only.

use passrelay_control_plane::replication::{
    DurableState, EpochRecord, Member, MemberId, Mutations, Replica, ReplicaAction, ReplicaSettings,
    ReplicatedState, ReplicationEnvelope, ReplicationMessage, StateVersion, WitnessState, WriteId,
};
use passrelay_dissemination::Incarnation;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const PEER_INCARNATION: Incarnation = Incarnation(5);

fn member(id: u64) -> Member {
    let port = 7_000 + u16::try_from(id).expect("a small id");
    Member { id: MemberId(id), address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port) }
}

/// A member of three whose disk holds a record of term 1, with member 2 as primary.
fn replica() -> Replica {
    let witness = WitnessState { promised: 1, promised_to: Some(MemberId(2)), record: Some(record(1)) };
    let settings = ReplicaSettings {
        own: member(1),
        tolerated_losses: 1,
        bootstrapping: false,
        seeds: vec![member(1).address],
        bootstrap_seeds: vec![member(1).address],
        election_timeout: Duration::from_millis(320),
        accepts_deltas: true,
        random_seed: 1,
        mutation: Mutations::NONE,
    };
    Replica::new(NOW, settings, DurableState { witness, ..DurableState::default() })
}

fn receive(replica: &mut Replica, from: u64, message: ReplicationMessage) -> Vec<ReplicaAction> {
    let mut actions = Vec::new();
    let envelope = ReplicationEnvelope { sender: member(from), message };
    replica.receive(NOW, PEER_INCARNATION, envelope, &mut actions);
    actions
}

fn written(replica: &mut Replica, write_id: WriteId, succeeded: bool) -> Vec<ReplicaAction> {
    let mut actions = Vec::new();
    replica.written(NOW, write_id, succeeded, &mut actions);
    actions
}

/// The only action, which has to be a write.
fn only_write(actions: &[ReplicaAction]) -> WriteId {
    match actions {
        [ReplicaAction::Write { write_id, .. }] => *write_id,
        other => panic!("not one write: {other:?}"),
    }
}

/// The only action, which has to be a reply to the sender's incarnation.
fn only_reply(actions: &[ReplicaAction]) -> &ReplicationMessage {
    match actions {
        [ReplicaAction::Send { addressee: Some(PEER_INCARNATION), message, .. }] => message,
        other => panic!("not one reply: {other:?}"),
    }
}

fn prepare(term: u64, candidate: u64) -> ReplicationMessage {
    ReplicationMessage::Prepare { term, candidate: MemberId(candidate) }
}

#[test]
fn a_promise_is_sent_only_when_it_is_durable() {
    let mut replica = replica();
    let write_id = only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let actions = written(&mut replica, write_id, true);
    assert!(matches!(only_reply(&actions), ReplicationMessage::Promise { term: 2, record: Some(_) }));
}

#[test]
fn a_promise_whose_write_failed_is_not_sent_but_remembered() {
    let mut replica = replica();
    let write_id = only_write(&receive(&mut replica, 3, prepare(2, 3)));
    assert_eq!(written(&mut replica, write_id, false), Vec::new());
    let actions = receive(&mut replica, 2, prepare(2, 2));
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
}

#[test]
fn a_term_is_promised_to_one_candidate_which_may_ask_again() {
    let mut replica = replica();
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let actions = receive(&mut replica, 2, prepare(2, 2));
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
}

#[test]
fn a_ping_of_a_lower_term_than_promised_is_rejected() {
    let mut replica = replica();
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let ping = ReplicationMessage::Ping { term: 1, round: 4, position: Default::default() };
    let actions = receive(&mut replica, 2, ping);
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
}

#[test]
fn a_pong_reports_what_is_durable() {
    let mut replica = replica();
    let ping = ReplicationMessage::Ping { term: 1, round: 4, position: Default::default() };
    let actions = receive(&mut replica, 2, ping);
    match only_reply(&actions) {
        ReplicationMessage::Pong { term: 1, round: 4, position, .. } => {
            assert_eq!((position.term, position.sequence), (1, 0));
        }
        other => panic!("not a pong: {other:?}"),
    }
}

/// A record of this term, with member 2 as primary.
fn record(term: u64) -> EpochRecord {
    let members = vec![member(1), member(2), member(3)];
    EpochRecord {
        term,
        sequence: 0,
        primary: MemberId(2),
        previous_members: members.clone(),
        in_sync: members.iter().map(|member| member.id).collect::<BTreeSet<_>>(),
        members,
    }
}

// Guards against a record that stays in memory after its write failed, because a later write in flight succeeded: the
// member would report it to candidates although no disk here holds it.
#[rstest]
#[case::the_later_write_succeeds(true)]
#[case::the_later_write_fails_too(false)]
fn a_failed_write_is_rolled_back_once_no_other_is_in_flight(#[case] later_succeeds: bool) {
    let mut replica = replica();
    let accept = ReplicationMessage::Accept { record: record(2) };
    let failing = only_write(&receive(&mut replica, 2, accept));
    let version = StateVersion { term: 2, index: 1 };
    let state = Arc::new(ReplicatedState { version, generation: 1, ..ReplicatedState::default() });
    let later = only_write(&receive(&mut replica, 2, ReplicationMessage::Replicate { term: 2, state }));
    assert_eq!(written(&mut replica, failing, false), Vec::new());
    written(&mut replica, later, later_succeeds);
    assert_eq!(replica.state().version == version, later_succeeds);
    let promise = only_write(&receive(&mut replica, 3, prepare(3, 3)));
    match only_reply(&written(&mut replica, promise, true)) {
        ReplicationMessage::Promise { record: Some(record), .. } => assert_eq!(record.term, 1),
        other => panic!("not a promise with a record: {other:?}"),
    }
}

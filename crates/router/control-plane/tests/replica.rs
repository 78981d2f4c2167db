//! A member acknowledges only what is durable, and promises a term to one candidate only.

mod common;

use common::{receive, record, NOW, PEER_INCARNATION};
use passrelay_control_plane::replication::{
    MemberId, Replica, ReplicaAction, ReplicatedState, ReplicationMessage, StateVersion, WriteId,
};
use rstest::rstest;
use std::sync::Arc;

/// Returns a member whose disk holds a record of term 1, with member 2 as primary, and no state.
fn member_without_state() -> Replica {
    common::replica(ReplicatedState::default(), true)
}

fn complete_write(replica: &mut Replica, write_id: WriteId, succeeded: bool) -> Vec<ReplicaAction> {
    let mut actions = Vec::new();
    replica.write_completed(NOW, write_id, succeeded, &mut actions);
    actions
}

/// Returns the id of the only action, which must be a write.
fn only_write(actions: &[ReplicaAction]) -> WriteId {
    match actions {
        [ReplicaAction::Write { write_id, .. }] => *write_id,
        other => panic!("expected a single write: {other:?}"),
    }
}

/// Returns the message of the only action, which must be a reply to the sender's incarnation.
fn only_reply(actions: &[ReplicaAction]) -> &ReplicationMessage {
    match actions {
        [ReplicaAction::Send { addressee: Some(PEER_INCARNATION), message, .. }] => message,
        other => panic!("expected a single reply: {other:?}"),
    }
}

fn prepare(term: u64, candidate: u64) -> ReplicationMessage {
    ReplicationMessage::Prepare { term, candidate: MemberId(candidate) }
}

#[test]
fn a_promise_is_sent_only_when_it_is_durable() {
    let mut replica = member_without_state();
    let write_id = only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let actions = complete_write(&mut replica, write_id, true);
    assert!(matches!(only_reply(&actions), ReplicationMessage::Promise { term: 2, record: Some(_) }));
}

#[test]
fn a_promise_whose_write_failed_is_not_sent_but_kept_in_memory() {
    let mut replica = member_without_state();
    let write_id = only_write(&receive(&mut replica, 3, prepare(2, 3)));
    assert_eq!(complete_write(&mut replica, write_id, false), Vec::new());
    let actions = receive(&mut replica, 2, prepare(2, 2));
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
}

#[test]
fn a_term_is_promised_to_one_candidate_which_may_repeat_its_request() {
    let mut replica = member_without_state();
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let actions = receive(&mut replica, 2, prepare(2, 2));
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
}

#[test]
fn a_ping_of_a_lower_term_than_promised_is_rejected() {
    let mut replica = member_without_state();
    only_write(&receive(&mut replica, 3, prepare(2, 3)));
    let ping = ReplicationMessage::Ping { term: 1, round: 4, position: Default::default() };
    let actions = receive(&mut replica, 2, ping);
    assert_eq!(only_reply(&actions), &ReplicationMessage::Rejected { promised: 2 });
}

#[test]
fn a_pong_reports_what_is_durable() {
    let mut replica = member_without_state();
    let ping = ReplicationMessage::Ping { term: 1, round: 4, position: Default::default() };
    let actions = receive(&mut replica, 2, ping);
    match only_reply(&actions) {
        ReplicationMessage::Pong { term: 1, round: 4, position, .. } => {
            assert_eq!((position.term, position.sequence), (1, 0));
        }
        other => panic!("expected a pong: {other:?}"),
    }
}

// Guards against a record that remains in memory after its write failed, because a later write in flight succeeded: the
// member would report the record to candidates although its disk does not hold it.
#[rstest]
#[case::the_later_write_succeeds(true)]
#[case::the_later_write_fails_too(false)]
fn a_failed_write_is_rolled_back_once_no_other_is_in_flight(#[case] later_succeeds: bool) {
    let mut replica = member_without_state();
    let accept = ReplicationMessage::Accept { record: record(2) };
    let failing = only_write(&receive(&mut replica, 2, accept));
    let version = StateVersion { term: 2, index: 1 };
    let state = Arc::new(ReplicatedState { version, generation: 1, ..ReplicatedState::default() });
    let later = only_write(&receive(&mut replica, 2, ReplicationMessage::Replicate { term: 2, state }));
    assert_eq!(complete_write(&mut replica, failing, false), Vec::new());
    complete_write(&mut replica, later, later_succeeds);
    assert_eq!(replica.state().version == version, later_succeeds);
    let promise = only_write(&receive(&mut replica, 3, prepare(3, 3)));
    match only_reply(&complete_write(&mut replica, promise, true)) {
        ReplicationMessage::Promise { record: Some(record), .. } => assert_eq!(record.term, 1),
        other => panic!("expected a promise with a record: {other:?}"),
    }
}

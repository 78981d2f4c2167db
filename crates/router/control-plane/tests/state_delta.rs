//! States sent as deltas: their application and rejection, and compatibility with builds that do not support them.

mod common;

use common::{receive, replica, NOW};
use passrelay_configuration::{document_has_tenants, DeltaError, ServiceVersions};
use passrelay_control_plane::replication::{
    AppliedChange, MemberId, ReplicaAction, ReplicatedState, ReplicationMessage, StateDelta, StateVersion,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;

/// More changes than the history of a state keeps.
const CHANGES_BEYOND_HISTORY: u64 = 600;

/// Returns a document of 20 items. The item with the number `generation % 20` depends on the generation.
fn document(generation: u64) -> Arc<str> {
    let item = |number: u64| json!({ "name": format!("r-{number}"), "text": "x".repeat(60) });
    let mut items: Vec<_> = (0..20).map(item).collect();
    items[(generation % 20) as usize]["text"] = json!(format!("changed by {generation}"));
    json!({ "generation": generation, "items": items }).to_string().into()
}

fn change(generation: u64) -> AppliedChange {
    AppliedChange { generation, digest: [generation as u8; 32] }
}

/// Returns the state of term 1 after this number of changes.
fn state(changes: u64) -> ReplicatedState {
    (1..=changes).fold(ReplicatedState::default(), |state, generation| {
        state.with_change(1, generation, document(generation), change(generation))
    })
}

/// Returns the state after one more change.
fn next(state: &ReplicatedState) -> ReplicatedState {
    let generation = state.generation + 1;
    state.with_change(1, generation, document(generation), change(generation))
}

/// Returns the delta from `state` to the next one.
fn delta(state: &ReplicatedState) -> Arc<StateDelta> {
    Arc::new(next(state).delta_from(state).expect("a change of one item results in a short delta"))
}

#[rstest]
#[case::second_change(1)]
#[case::full_history(CHANGES_BEYOND_HISTORY)]
fn a_delta_results_in_the_next_state(#[case] changes: u64) {
    let base = state(changes);
    assert_eq!(base.apply_delta(&delta(&base)), Ok(next(&base)));
}

#[test]
fn a_delta_applies_to_its_base_only() {
    let base = state(3);
    let delta = delta(&base);
    assert_eq!(state(2).apply_delta(&delta), Err(DeltaError::BaseMismatch));
    assert_eq!(next(&base).apply_delta(&delta), Err(DeltaError::BaseMismatch));
    let other_term = ReplicatedState { version: StateVersion { term: 2, index: 3 }, ..base };
    assert_eq!(other_term.apply_delta(&delta), Err(DeltaError::BaseMismatch));
}

#[test]
fn there_is_no_delta_from_an_empty_state_over_a_gap_or_to_a_replaced_document() {
    let first = state(1);
    assert_eq!(first.delta_from(&ReplicatedState::default()), None);
    assert_eq!(state(3).delta_from(&first), None);
    let replaced = first.with_change(1, 2, "[]".into(), change(2));
    assert_eq!(replaced.delta_from(&first), None, "the delta would not be shorter than the document");
}

#[test]
fn a_backup_syncs_the_state_resulting_from_deltas_before_it_replies() {
    let base = state(2);
    let newest = next(&next(&base));
    let deltas = vec![delta(&base), delta(&next(&base))];
    let mut replica = replica(base, true);
    let actions = receive(&mut replica, 2, ReplicationMessage::ReplicateDeltas { term: 1, deltas });
    let [ReplicaAction::Write { write_id, write }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(write.state.as_deref(), Some(&newest));
    let mut replies = Vec::new();
    replica.write_completed(NOW, *write_id, true, &mut replies);
    let synced = ReplicationMessage::Synced { term: 1, version: newest.version };
    assert!(
        matches!(&replies[..], [ReplicaAction::Send { message, .. }] if *message == synced),
        "{replies:?}"
    );
}

#[test]
fn a_backup_skips_deltas_that_it_has_applied() {
    let base = state(2);
    let deltas = vec![delta(&base), delta(&next(&base))];
    let newest = next(&next(&base));
    let mut replica = replica(next(&base), true);
    let actions = receive(&mut replica, 2, ReplicationMessage::ReplicateDeltas { term: 1, deltas });
    let [ReplicaAction::Write { write, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(write.state.as_deref(), Some(&newest));
}

#[test]
fn a_backup_that_has_the_newest_state_acknowledges_it_again() {
    let base = state(2);
    let newest = next(&base);
    let mut replica = replica(newest.clone(), true);
    let deltas = vec![delta(&base)];
    let actions = receive(&mut replica, 2, ReplicationMessage::ReplicateDeltas { term: 1, deltas });
    let synced = ReplicationMessage::Synced { term: 1, version: newest.version };
    assert!(
        matches!(&actions[..], [ReplicaAction::Send { message, .. }] if *message == synced),
        "{actions:?}"
    );
}

// Guards against a member that never catches up because it cannot apply the deltas that it receives, and against one
// that applies them to another state than their base: it must request the complete state, and keep its own unchanged.
#[rstest]
#[case::missed_a_change(state(1))]
#[case::without_a_state(ReplicatedState::default())]
fn a_backup_without_the_base_requests_the_complete_state(#[case] held: ReplicatedState) {
    let mut replica = replica(held.clone(), true);
    let deltas = vec![delta(&state(2))];
    let actions = receive(&mut replica, 2, ReplicationMessage::ReplicateDeltas { term: 1, deltas });
    let rejected = ReplicationMessage::DeltasRejected { term: 1 };
    assert!(
        matches!(&actions[..], [ReplicaAction::Send { message, .. }] if *message == rejected),
        "{actions:?}"
    );
    assert_eq!(**replica.state(), held);
}

#[test]
fn deltas_of_a_lower_term_than_promised_are_rejected() {
    let base = state(2);
    let mut replica = replica(base.clone(), true);
    receive(&mut replica, 2, ReplicationMessage::Prepare { term: 2, candidate: MemberId(2) });
    let deltas = vec![delta(&base)];
    let actions = receive(&mut replica, 2, ReplicationMessage::ReplicateDeltas { term: 1, deltas });
    let rejected = ReplicationMessage::Rejected { promised: 2 };
    assert!(
        matches!(&actions[..], [ReplicaAction::Send { message, .. }] if *message == rejected),
        "{actions:?}"
    );
}

/// The pong of a build that does not support deltas.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Pong { term: u64, round: u64, position: (u64, u64), synced: StateVersion },
}

#[rstest]
#[case::current_build(true)]
#[case::earlier_build(false)]
fn builds_with_and_without_deltas_read_each_others_pongs(#[case] accepts_deltas: bool) {
    let mut replica = replica(state(2), accepts_deltas);
    let ping = ReplicationMessage::Ping { term: 1, round: 4, position: Default::default() };
    let actions = receive(&mut replica, 2, ping);
    let [ReplicaAction::Send { message, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("the pong serialises");
    let version = state(2).version;
    let expected = EarlierMessage::Pong { term: 1, round: 4, position: (1, 0), synced: version };
    let read: EarlierMessage =
        ciborium::from_reader(bytes.as_slice()).expect("an earlier build deserialises the pong");
    assert_eq!(read, expected);

    let mut earlier = Vec::new();
    ciborium::into_writer(&expected, &mut earlier).expect("the pong of an earlier build serialises");
    match ciborium::from_reader(earlier.as_slice()).expect("the pong of an earlier build deserialises") {
        ReplicationMessage::Pong { accepts_deltas, .. } => {
            assert!(!accepts_deltas, "an earlier build does not report support for deltas");
        }
        other => panic!("expected a pong: {other:?}"),
    }
    assert_eq!(
        earlier == bytes,
        !accepts_deltas,
        "the pong equals that of earlier builds unless it reports support"
    );
}

fn versions(version: &str) -> ServiceVersions {
    [("s".to_owned(), version.to_owned())].into_iter().collect()
}

// Guards against a member that holds the document of a state without its versions in service.
#[test]
fn versions_in_service_are_replicated_with_complete_states_and_kept_by_deltas() {
    let base = state(2);
    let recorded = base.with_service_versions(1, versions("v1"));
    assert_eq!(recorded.version.index, base.version.index + 1);
    assert_eq!((recorded.generation, &recorded.document), (base.generation, &base.document));
    assert_eq!(
        recorded.applied_changes, base.applied_changes,
        "the history contains only changes of operators"
    );
    assert_eq!(recorded.delta_from(&base), None);
    let after = next(&recorded);
    assert_eq!(after.service_versions, versions("v1"));
    assert_eq!(recorded.apply_delta(&delta(&recorded)), Ok(after));
}

#[test]
fn a_state_without_versions_is_serialised_without_the_field() {
    let encode = |state: &ReplicatedState| {
        let mut bytes = Vec::new();
        ciborium::into_writer(state, &mut bytes).expect("the state serialises");
        bytes
    };
    let contains =
        |bytes: &[u8], text: &str| bytes.windows(text.len()).any(|window| window == text.as_bytes());
    let without = encode(&state(1));
    assert!(!contains(&without, "service_versions"));
    assert_eq!(ciborium::from_reader::<ReplicatedState, _>(without.as_slice()).ok(), Some(state(1)));
    let recorded = state(1).with_service_versions(1, versions("v1"));
    let with = encode(&recorded);
    assert!(contains(&with, "service_versions"));
    assert_eq!(ciborium::from_reader::<ReplicatedState, _>(with.as_slice()).ok(), Some(recorded));
}

// Guards against review/1 after a change of primary or a restart: keys work again since no member remembers that there were any.
#[rstest]
#[case::never(&["{}", "{}"], false)]
#[case::the_word_elsewhere(&[r#"{"services":[{"name":"tenants"}]}"#, "{}"], false)]
#[case::null(&[r#"{"tenants":null}"#, "{}"], false)]
#[case::empty_list(&[r#"{"tenants":[]}"#], false)]
#[case::empty_list_taken_away(&[r#"{"tenants":[]}"#, "{}"], true)]
#[case::put_back(&[r#"{"tenants":[]}"#, "{}", r#"{"tenants":[]}"#], false)]
#[case::list_taken_away(&[r#"{"tenants":[{"name":"a"}]}"#, "{}", "{}"], true)]
fn a_state_remembers_that_all_keys_were_revoked(#[case] documents: &[&str], #[case] expected: bool) {
    let mut state = ReplicatedState::default();
    for (generation, document) in (1..).zip(documents) {
        state = state.with_change(1, generation, (*document).into(), change(generation));
        state = state.with_service_versions(1, Default::default());
    }
    assert_eq!(state.keys_revoked, expected);
    let mut stored = Vec::new();
    ciborium::into_writer(&state, &mut stored).unwrap();
    assert_eq!(ciborium::from_reader::<ReplicatedState, _>(stored.as_slice()).unwrap(), state);
    let has_tenants = document_has_tenants(documents.last().unwrap());
    let next = state.with_change(1, 9, "{}".into(), change(9));
    assert_eq!(next.keys_revoked, expected || has_tenants, "the next change without tenants");
}

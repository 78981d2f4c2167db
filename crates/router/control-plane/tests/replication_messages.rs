//! The serialised form of replication messages and stored records, which processes of other versions read.

use passrelay_control_plane::replication::{
    EpochRecord, Member, MemberId, RecordPosition, ReplicatedState, ReplicationMessage,
};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);
const MEMBER: Member = Member { id: MemberId(7), address: ADDRESS };
const POSITION: RecordPosition = RecordPosition { term: 3, sequence: 2 };

#[rstest]
#[case(
    ReplicationMessage::Present { member: MEMBER },
    json!({ "Present": { "member": { "id": 7, "address": "127.0.0.1:7000" } } })
)]
#[case(
    ReplicationMessage::NonVotingSeed { address: ADDRESS },
    json!({ "SeedWithoutDisk": { "address": "127.0.0.1:7000" } })
)]
#[case(
    ReplicationMessage::Join { member: MEMBER, bootstrapping: true },
    json!({ "Join": { "member": { "id": 7, "address": "127.0.0.1:7000" }, "founding": true } })
)]
#[case(ReplicationMessage::Accepted { position: POSITION }, json!({ "Accepted": { "position": [3, 2] } }))]
#[case(ReplicationMessage::Rejected { promised: 4 }, json!({ "Refused": { "promised": 4 } }))]
#[case(
    ReplicationMessage::Ping { term: 3, round: 9, position: POSITION },
    json!({ "Ping": { "term": 3, "round": 9, "position": [3, 2] } })
)]
fn a_message_keeps_its_serialised_form(#[case] message: ReplicationMessage, #[case] serialised: Value) {
    assert_eq!(serde_json::to_value(&message).expect("the message serialises"), serialised);
    let deserialised: ReplicationMessage =
        serde_json::from_value(serialised).expect("the message deserialises");
    assert_eq!(deserialised, message);
}

#[test]
fn a_record_keeps_its_serialised_form() {
    let record = EpochRecord {
        term: 3,
        sequence: 2,
        primary: MEMBER.id,
        members: vec![MEMBER],
        previous_members: Vec::new(),
        in_sync: BTreeSet::from([MEMBER.id]),
    };
    let serialised = json!({ "term": 3, "sequence": 2, "primary": 7,
        "members": [{ "id": 7, "address": "127.0.0.1:7000" }], "previous_members": [], "in_sync": [7] });
    assert_eq!(serde_json::to_value(&record).expect("the record serialises"), serialised);
    assert_eq!(record.position(), POSITION);
}

#[test]
fn a_state_keeps_its_serialised_form() {
    let serialised =
        json!({ "version": { "term": 0, "index": 0 }, "generation": 0, "document": null, "orders": [] });
    assert_eq!(serde_json::to_value(ReplicatedState::default()).expect("the state serialises"), serialised);
}

#[test]
fn records_are_ordered_by_term_then_sequence() {
    let position = |term, sequence| RecordPosition { term, sequence };
    assert!(position(2, 9) < position(3, 0));
    assert!(position(3, 0) < position(3, 1));
    assert!(RecordPosition::default() < position(0, 1));
}

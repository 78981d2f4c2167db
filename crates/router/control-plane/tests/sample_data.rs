//! Sample data written by version 0.2.0 before the renaming, and of messages that came later by the build that added them:
//! every message between processes and every value on a member's disk, in `data/messages.hex`, one `name hex` a line.
//!
//! Each is read and written again and has to come out byte for byte. The names are those on the wire. Which there have
//! to be is asked of the types themselves, so that nothing here rests on what the variants are called in the source.

use ciborium::Value;
use passrelay_control_plane::configuration_change::ChangeKind;
use passrelay_control_plane::load::LoadMessage;
use passrelay_control_plane::quota::QuotaMessage;
use passrelay_control_plane::replication::{MemberId, ReplicatedState, ReplicationMessage, WitnessState};
use passrelay_control_plane::rollout::RolloutMessage;
use passrelay_control_plane::{Envelope, Message, OperatorMessage, OperatorRequest};
use passrelay_dissemination::{EndpointRecord, EndpointState, GossipMessage};
use serde::de::value::{Error, StrDeserializer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

const SAMPLES: &str = include_str!("data/messages.hex");
/// Lines of the file.
const LINES: usize = 46;

/// The samples: name and bytes.
fn samples() -> Vec<(&'static str, Vec<u8>)> {
    let line = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    SAMPLES.lines().map(line).collect()
}

/// Reads a value and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = ciborium::from_reader(bytes).expect("it can be read");
    let mut again = Vec::new();
    ciborium::into_writer(&value, &mut again).expect("it can be written");
    again
}

#[test]
fn what_was_written_before_is_read_and_written_the_same() {
    let samples = samples();
    assert_eq!(samples.len(), LINES);
    for (name, bytes) in samples {
        let again = match name.split_once('/').expect("a kind and a name").0 {
            "witness" => rewritten::<WitnessState>(&bytes),
            "state" => rewritten::<ReplicatedState>(&bytes),
            "endpoints" => rewritten::<Vec<EndpointRecord>>(&bytes),
            "member" => rewritten::<MemberId>(&bytes),
            _ => rewritten::<Envelope>(&bytes),
        };
        assert_eq!(again, bytes, "{name}");
    }
}

/// The names that an enum's variants have on the wire: what it says that it expects in place of an unknown one.
fn variants<'a, T: Deserialize<'a>>() -> BTreeSet<String> {
    let unknown = StrDeserializer::<Error>::new("?");
    let problem = T::deserialize(unknown).err().expect("no variant has this name").to_string();
    let (_, expected) = problem.split_once("expected").expect("it says what it expects");
    expected.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// The value of a field.
fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    let fields = value.as_map().expect("a struct");
    let found = fields.iter().find(|(key, _)| key.as_text() == Some(name));
    &found.expect("the struct has the field").1
}

/// The variant of an enum, and what it holds.
fn variant(value: &Value) -> (&str, &Value) {
    match value {
        Value::Text(name) => (name, &Value::Null),
        Value::Map(entries) if entries.len() == 1 => {
            (entries[0].0.as_text().expect("a variant's name"), &entries[0].1)
        }
        other => panic!("no variant: {other:?}"),
    }
}

/// The names on the way from a message's plane to its kind, and of an operator's call to what is asked for.
fn wire_name(bytes: &[u8]) -> String {
    let envelope: Value = ciborium::from_reader(bytes).expect("it can be read");
    let (plane, content) = variant(field(&envelope, "message"));
    let content = if plane == "Replication" { field(content, "message") } else { content };
    let (kind, content) = variant(content);
    let mut name = format!("{plane}/{kind}");
    if name == "Operator/Call" {
        let (request, content) = variant(field(content, "request"));
        name = format!("{name}/{request}");
        if request == "Change" {
            name = format!("{name}/{}", variant(field(content, "kind")).0);
        }
    }
    name
}

#[test]
fn there_is_a_sample_of_every_message() {
    let mut wanted = BTreeSet::new();
    for plane in variants::<Message>() {
        let kinds = match plane.as_str() {
            "Replication" => variants::<ReplicationMessage>(),
            "Gossip" => variants::<GossipMessage>(),
            "Quota" => variants::<QuotaMessage>(),
            "Load" => variants::<LoadMessage>(),
            "Rollout" => variants::<RolloutMessage>(),
            "Operator" => variants::<OperatorMessage>(),
            other => panic!("a plane without samples: {other}"),
        };
        wanted.extend(kinds.iter().map(|kind| format!("{plane}/{kind}")));
    }
    assert!(wanted.remove("Operator/Call"));
    wanted.extend(variants::<OperatorRequest>().iter().map(|request| format!("Operator/Call/{request}")));
    assert!(wanted.remove("Operator/Call/Change"));
    wanted.extend(variants::<ChangeKind>().iter().map(|kind| format!("Operator/Call/Change/{kind}")));

    let mut sampled = BTreeSet::new();
    let is_message = |name: &str| name.starts_with(char::is_uppercase);
    for (name, bytes) in samples().into_iter().filter(|(name, _)| is_message(name)) {
        assert_eq!(name, wire_name(&bytes));
        sampled.insert(name.to_owned());
    }
    assert_eq!(sampled, wanted);
}

#[test]
fn there_is_a_sample_of_every_state_of_an_endpoint() {
    let (_, bytes) =
        samples().into_iter().find(|(name, _)| *name == "endpoints/all").expect("there is a sample");
    let records: Value = ciborium::from_reader(bytes.as_slice()).expect("it can be read");
    let records = records.as_array().expect("a list");
    let sampled: BTreeSet<String> =
        records.iter().map(|record| variant(field(record, "t")).0.to_owned()).collect();
    assert_eq!(sampled, variants::<EndpointState>());
}

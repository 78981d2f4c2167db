//! Compatibility with data written by earlier builds. `data/messages.hex` contains a sample of every message between
//! processes and of every value on a member's disk, one per line as `name hex`. Samples were written by version 0.2.0
//! before types were renamed, or, for messages added later, by the build that added them.
//!
//! Each sample is read, and must be identical byte for byte when it is written again. The sample names are the names
//! on the wire. The list of required samples is derived from the types at run time, so that this test does not depend
//! on the names of variants in the source.

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
/// Number of lines of the file.
const SAMPLE_COUNT: usize = 46;

/// Returns the names and bytes of all samples.
fn samples() -> Vec<(&'static str, Vec<u8>)> {
    let parse_line = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a line consists of a name and hexadecimal bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    SAMPLES.lines().map(parse_line).collect()
}

/// Deserialises a value and serialises it again.
fn reserialise<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = ciborium::from_reader(bytes).expect("the sample deserialises");
    let mut reserialised = Vec::new();
    ciborium::into_writer(&value, &mut reserialised).expect("the value serialises");
    reserialised
}

#[test]
fn samples_of_earlier_builds_are_read_and_written_unchanged() {
    let samples = samples();
    assert_eq!(samples.len(), SAMPLE_COUNT);
    for (name, bytes) in samples {
        let reserialised = match name.split_once('/').expect("a sample name contains a slash").0 {
            "witness" => reserialise::<WitnessState>(&bytes),
            "state" => reserialise::<ReplicatedState>(&bytes),
            "endpoints" => reserialise::<Vec<EndpointRecord>>(&bytes),
            "member" => reserialise::<MemberId>(&bytes),
            _ => reserialise::<Envelope>(&bytes),
        };
        assert_eq!(reserialised, bytes, "{name}");
    }
}

/// Returns the names of an enum's variants on the wire, as listed in the error for an unknown variant.
fn variants<'a, T: Deserialize<'a>>() -> BTreeSet<String> {
    let unknown = StrDeserializer::<Error>::new("?");
    let error = T::deserialize(unknown).err().expect("no variant has this name").to_string();
    let (_, expected) = error.split_once("expected").expect("the error lists the expected variants");
    expected.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the value of a struct's field.
fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    let fields = value.as_map().expect("a struct is serialised as a map");
    let found = fields.iter().find(|(key, _)| key.as_text() == Some(name));
    &found.expect("the struct has the field").1
}

/// Returns the name of an enum's variant, and its content.
fn variant(value: &Value) -> (&str, &Value) {
    match value {
        Value::Text(name) => (name, &Value::Null),
        Value::Map(entries) if entries.len() == 1 => {
            (entries[0].0.as_text().expect("the name of a variant is a text"), &entries[0].1)
        }
        other => panic!("not a variant of an enum: {other:?}"),
    }
}

/// Returns the name of a message: its subsystem and variant on the wire, and for an operator call also the variant of
/// the request, and the kind of a configuration change.
fn wire_name(bytes: &[u8]) -> String {
    let envelope: Value = ciborium::from_reader(bytes).expect("the sample is CBOR");
    let (subsystem, content) = variant(field(&envelope, "message"));
    let content = if subsystem == "Replication" { field(content, "message") } else { content };
    let (kind, content) = variant(content);
    let mut name = format!("{subsystem}/{kind}");
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
    let mut required = BTreeSet::new();
    for subsystem in variants::<Message>() {
        let kinds = match subsystem.as_str() {
            "Replication" => variants::<ReplicationMessage>(),
            "Gossip" => variants::<GossipMessage>(),
            "Quota" => variants::<QuotaMessage>(),
            "Load" => variants::<LoadMessage>(),
            "Rollout" => variants::<RolloutMessage>(),
            "Operator" => variants::<OperatorMessage>(),
            other => panic!("no samples are defined for messages of subsystem {other}"),
        };
        required.extend(kinds.iter().map(|kind| format!("{subsystem}/{kind}")));
    }
    assert!(required.remove("Operator/Call"));
    required.extend(variants::<OperatorRequest>().iter().map(|request| format!("Operator/Call/{request}")));
    assert!(required.remove("Operator/Call/Change"));
    required.extend(variants::<ChangeKind>().iter().map(|kind| format!("Operator/Call/Change/{kind}")));

    let mut sampled = BTreeSet::new();
    let is_message = |name: &str| name.starts_with(char::is_uppercase);
    for (name, bytes) in samples().into_iter().filter(|(name, _)| is_message(name)) {
        assert_eq!(name, wire_name(&bytes));
        sampled.insert(name.to_owned());
    }
    assert_eq!(sampled, required);
}

#[test]
fn there_is_a_sample_of_every_state_of_an_endpoint() {
    let (_, bytes) =
        samples().into_iter().find(|(name, _)| *name == "endpoints/all").expect("the sample exists");
    let records: Value = ciborium::from_reader(bytes.as_slice()).expect("the sample is CBOR");
    let records = records.as_array().expect("the sample is a list");
    let sampled: BTreeSet<String> =
        records.iter().map(|record| variant(field(record, "t")).0.to_owned()).collect();
    assert_eq!(sampled, variants::<EndpointState>());
}

//! Compatibility with data written by version 0.2.0: every frame of the lease protocol, every log entry and
//! every write of a voter's journal, in `data/frames.hex` with one `name hex` per line.
//!
//! Each sample is decoded and encoded again, and must yield the same bytes. A variant is encoded by its
//! position, not its name; completeness is checked against the number of variants of each type.

use passrelay_lease_consensus::lease_table::{Entry, Op, Refusal, Reply};
use passrelay_lease_consensus::membership::{MembershipChange, MembershipError};
use passrelay_lease_consensus::replica::StorageWrite;
use passrelay_lease_consensus::wire::{
    decode, encode, fleet_id, ClientRequest, ClientResponse, Frame, FRAME_HEADER_BYTES,
};
use serde::de::value::{Error, StrDeserializer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

const SAMPLES: &str = include_str!("data/frames.hex");
/// Number of lines in the file.
const LINES: usize = 64;
/// Name of the fleet in the sample frames.
const FLEET: &str = "sample";
/// Fleet identifier derived from the name.
const FLEET_NUMBER: u64 = 0xf10b_76c3_0000_0006;

/// Returns the samples of a kind, or all of them if `kind` is empty.
fn samples(kind: &str) -> Vec<(&'static str, Vec<u8>)> {
    let line = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    SAMPLES.lines().map(line).filter(|(name, _): &(&str, _)| name.starts_with(kind)).collect()
}

/// Returns the number of variants of an enum, taken from the error message about an unknown variant, which
/// lists all of them.
fn variants<'a, T: Deserialize<'a>>() -> u8 {
    let unknown = StrDeserializer::<Error>::new("?");
    let problem = T::deserialize(unknown).err().expect("no variant has this name").to_string();
    let (_, expected) = problem.split_once("expected").expect("it says what it expects");
    (expected.matches('`').count() / 2) as u8
}

#[test]
fn there_is_no_sample_of_an_unknown_kind() {
    assert_eq!(samples("").len(), LINES);
    let kinds: BTreeSet<&str> =
        samples("").iter().map(|(name, _)| name.split_once('/').expect("a kind").0).collect();
    let known = ["frame", "op", "reply", "refusal", "change", "no-change", "entry", "write"];
    assert_eq!(kinds, BTreeSet::from(known));
}

#[test]
fn frames_are_read_and_written_as_before() {
    assert_eq!(fleet_id(FLEET), FLEET_NUMBER);
    let (mut all, mut requests, mut answers) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for (name, bytes) in samples("frame/") {
        let (frame, length) = decode(FLEET_NUMBER, &bytes).expect("it can be read").expect("it is whole");
        assert_eq!(length, bytes.len(), "{name}");
        assert_eq!(encode(FLEET_NUMBER, &frame), bytes, "{name}");
        all.insert(bytes[FRAME_HEADER_BYTES]);
        match frame {
            Frame::Request(_) => drop(requests.insert(bytes[FRAME_HEADER_BYTES + 1])),
            Frame::Response(_) => drop(answers.insert(bytes[FRAME_HEADER_BYTES + 1])),
            _ => {}
        }
    }
    assert_eq!(all, (0..variants::<Frame>()).collect());
    assert_eq!(requests, (0..variants::<ClientRequest>()).collect());
    assert_eq!(answers, (0..variants::<ClientResponse>()).collect());
}

/// Decodes and encodes the samples of a kind; every variant must be among them.
fn same<T: Serialize + DeserializeOwned>(kind: &str) {
    let mut sampled = BTreeSet::new();
    for (name, bytes) in samples(&format!("{kind}/")) {
        let value: T = postcard::from_bytes(&bytes).expect("it can be read");
        assert_eq!(postcard::to_stdvec(&value).expect("it can be written"), bytes, "{name}");
        sampled.insert(bytes[0]);
    }
    assert_eq!(sampled, (0..variants::<T>()).collect(), "{kind}");
}

#[test]
fn what_frames_and_journals_hold_is_read_and_written_as_before() {
    same::<Op>("op");
    same::<Reply>("reply");
    same::<Refusal>("refusal");
    same::<MembershipChange>("change");
    same::<MembershipError>("no-change");
    same::<Entry>("entry");
    same::<StorageWrite>("write");
}

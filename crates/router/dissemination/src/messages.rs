//! Messages between the sidecars of a fleet. The serialized names (`serde(rename)`) and the order of fields and variants must
//! not change, because processes of other versions read them.

use crate::partial_view::PeerDescriptor;
use crate::registry::{EndpointRecord, RegistryDigest};
use passrelay_configuration::{Delta, DocumentDelta, Rollouts, ServiceVersions};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A configuration committed by the core. An index always identifies the same document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Position in the sequence of committed changes; each change increments it by one.
    pub index: u64,
    /// Version number that the operators assigned to the document.
    pub generation: u64,
    /// The configuration document as JSON text.
    pub document: Arc<str>,
    /// Version in service of each service. Omitted from the encoding when empty; sidecars of earlier builds drop it.
    #[serde(default, rename = "versions", skip_serializing_if = "ServiceVersions::is_empty")]
    pub service_versions: ServiceVersions,
    /// Rollouts by service. Omitted from the encoding when empty; sidecars of earlier builds drop it.
    #[serde(default, skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
    /// Whether the document has no `tenants` although an earlier one had. Omitted from the encoding when false; sidecars of earlier builds drop it.
    #[serde(default, rename = "keys-revoked", skip_serializing_if = "std::ops::Not::not")]
    pub keys_revoked: bool,
}

/// The difference between a committed configuration and its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Index of the configuration that the delta applies to.
    #[serde(rename = "b")]
    pub base_index: u64,
    /// Index of the resulting configuration.
    #[serde(rename = "i")]
    pub index: u64,
    /// Generation of the resulting configuration.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Difference between the two documents.
    #[serde(rename = "d")]
    pub document: DocumentDelta,
    /// All versions in service of the resulting configuration. If the sender knows none, the map is empty and omitted from the
    /// encoding, and the receiver keeps the versions of the base.
    #[serde(default, rename = "v", skip_serializing_if = "ServiceVersions::is_empty")]
    pub service_versions: ServiceVersions,
    /// All rollouts of the resulting configuration. Empty and omitted from the encoding if there was none; the receiver then
    /// keeps the rollouts of the base.
    #[serde(default, rename = "o", skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
}

impl Delta for ConfigurationDelta {
    type Position = u64;

    fn base(&self) -> u64 {
        self.base_index
    }
}

/// Location of the core according to the latest epoch record that a sidecar has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreHint {
    /// Term of the epoch record. A record of a later term supersedes this one.
    #[serde(rename = "t")]
    pub term: u64,
    /// Position of the record within its term.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Internal address of the primary.
    #[serde(rename = "p")]
    pub primary: SocketAddrV4,
    /// Internal addresses of all members, including the primary.
    #[serde(rename = "m")]
    pub members: Vec<SocketAddrV4>,
}

impl CoreHint {
    /// Returns whether this hint stems from a later epoch record than `other`.
    pub(crate) fn supersedes(&self, other: &CoreHint) -> bool {
        (self.term, self.sequence) > (other.term, other.sequence)
    }
}

/// Summary of a sidecar's state, exchanged for anti-entropy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Identifier of the request; the response echoes it.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// Index of the configuration in force; 0 for none.
    #[serde(rename = "i")]
    pub index: u64,
    /// Digest of the endpoint registry, one hash per bucket.
    #[serde(rename = "r")]
    pub registry: RegistryDigest,
    /// Location of the core, if the sender knows it.
    #[serde(rename = "c")]
    pub core: Option<CoreHint>,
    /// Random sample of the sender's partial view.
    #[serde(rename = "s")]
    pub sample: Vec<PeerDescriptor>,
}

/// Dissemination messages. Any of them may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Starts an anti-entropy exchange with the sender's digest.
    #[serde(rename = "Ask")]
    DigestRequest(Digest),
    /// Answers a [`GossipMessage::DigestRequest`].
    #[serde(rename = "Answer")]
    DigestResponse {
        /// The responder's digest; `request_id` is that of the request.
        digest: Digest,
        /// Age of the responder's configuration at the time of the response, in milliseconds: how long ago it was known to
        /// contain every acknowledged change. `None` if that was never known.
        fresh_age_ms: Option<u32>,
    },
    /// Announces the index of the sender's configuration.
    Announce {
        /// Index of the announced configuration.
        index: u64,
    },
    /// Requests the receiver's configuration if it is newer than `have`.
    Fetch {
        /// Index of the sender's configuration; 0 for none.
        have: u64,
        /// Whether the sender understands [`GossipMessage::ConfigurationDeltas`]. Messages of earlier builds lack it; `false` is
        /// omitted from the encoding.
        #[serde(default, rename = "deltas", skip_serializing_if = "std::ops::Not::not")]
        accepts_deltas: bool,
    },
    /// Transfers a complete configuration.
    Configuration(CommittedConfiguration),
    /// Transfers a configuration as deltas from the requester's configuration, oldest first. Sent only in response to a fetch
    /// that accepts deltas.
    ConfigurationDeltas(Vec<Arc<ConfigurationDelta>>),
    /// Transfers endpoint records: either broadcast changes, or the records of buckets whose hashes differ.
    Records(Vec<EndpointRecord>),
}

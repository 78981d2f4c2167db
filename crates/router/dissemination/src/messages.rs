//! What the sidecars of a fleet send each other. The written names (`serde(rename)`) and the order of fields and variants are
//! read by processes of other versions and must not change.

use crate::partial_view::PeerDescriptor;
use crate::registry::{EndpointRecord, RegistryDigest};
use passrelay_configuration::{Delta, DocumentDelta, Rollouts, ServiceVersions};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A configuration that the core has committed. The same index always stands for the same document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Position in the sequence of committed changes; increases by one with each.
    pub index: u64,
    /// The operators' version number.
    pub generation: u64,
    /// The document, as JSON.
    pub document: Arc<str>,
    /// The versions in service. Not written while empty, and dropped by sidecars of earlier builds.
    #[serde(default, rename = "versions", skip_serializing_if = "ServiceVersions::is_empty")]
    pub service_versions: ServiceVersions,
    /// The roll-outs. Not written while empty, and dropped by sidecars of earlier builds.
    #[serde(default, skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
}

/// The difference of a committed configuration from the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Index of the configuration that it applies to.
    #[serde(rename = "b")]
    pub base_index: u64,
    /// Index of the resulting configuration.
    #[serde(rename = "i")]
    pub index: u64,
    /// Generation of the resulting configuration.
    #[serde(rename = "g")]
    pub generation: u64,
    /// The difference of the documents.
    #[serde(rename = "d")]
    pub document: DocumentDelta,
    /// All versions in service of the resulting configuration. Empty, and then not written, where the sender knows none: those of
    /// the base stay.
    #[serde(default, rename = "v", skip_serializing_if = "ServiceVersions::is_empty")]
    pub service_versions: ServiceVersions,
    /// All roll-outs of the resulting configuration; empty, and then not written, where there was none.
    #[serde(default, rename = "o", skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
}

impl Delta for ConfigurationDelta {
    type Position = u64;

    fn base(&self) -> u64 {
        self.base_index
    }
}

/// Where the core is, according to the newest epoch record that a sidecar has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreHint {
    /// Term of the epoch record; the record of the later term wins.
    #[serde(rename = "t")]
    pub term: u64,
    /// Position of the record within its term.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Address of the primary for internal messages.
    #[serde(rename = "p")]
    pub primary: SocketAddrV4,
    /// Addresses of all members, the primary included.
    #[serde(rename = "m")]
    pub members: Vec<SocketAddrV4>,
}

impl CoreHint {
    /// Whether this record is later than `other`.
    pub(crate) fn supersedes(&self, other: &CoreHint) -> bool {
        (self.term, self.sequence) > (other.term, other.sequence)
    }
}

/// Summary of one sidecar's state, exchanged in anti-entropy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Id of the request; a response repeats it.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// Index of the configuration in force; 0 for none.
    #[serde(rename = "i")]
    pub index: u64,
    /// Hashes of the endpoint registry.
    #[serde(rename = "r")]
    pub registry: RegistryDigest,
    /// Where the core is, if known.
    #[serde(rename = "c")]
    pub core: Option<CoreHint>,
    /// Random sample of the sender's partial view.
    #[serde(rename = "s")]
    pub sample: Vec<PeerDescriptor>,
}

/// Messages of dissemination. Each may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Opens an exchange: the sender's digest.
    #[serde(rename = "Ask")]
    DigestRequest(Digest),
    /// Answers a [`GossipMessage::DigestRequest`].
    #[serde(rename = "Answer")]
    DigestResponse {
        /// The responder's digest; `request_id` is that of the request.
        digest: Digest,
        /// Age of the responder's configuration at the time of the response: how long ago, in ms, it was known to contain
        /// everything acknowledged. None where it isn't known.
        fresh_age_ms: Option<u32>,
    },
    /// The sender has a configuration of this index.
    Announce {
        /// Index of the announced configuration.
        index: u64,
    },
    /// Requests the configuration, if the receiver's is newer than `have`.
    Fetch {
        /// Index of the sender's configuration; 0 for none.
        have: u64,
        /// Whether the sender understands [`GossipMessage::ConfigurationDeltas`]. Absent in messages of earlier builds, and
        /// then not written either.
        #[serde(default, rename = "deltas", skip_serializing_if = "std::ops::Not::not")]
        accepts_deltas: bool,
    },
    /// Transfers a configuration.
    Configuration(CommittedConfiguration),
    /// Transfers a configuration as the differences from that of the requester, oldest first. Only an answer to a fetch that
    /// accepts them.
    ConfigurationDeltas(Vec<Arc<ConfigurationDelta>>),
    /// Endpoint records: changed ones being broadcast, or those of buckets in which two digests differ.
    Records(Vec<EndpointRecord>),
}

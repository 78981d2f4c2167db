//! Endpoint records and the order in which they supersede each other.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The state of an endpoint. The order of variants matters: of two states with the same sequence number, the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// The heartbeats have stopped. A later heartbeat refutes this state.
    #[serde(rename = "Silent")]
    Expired,
    /// The endpoint has deregistered, or its address belongs to another endpoint. Final.
    #[serde(rename = "Gone")]
    Removed,
}

impl EndpointState {
    /// Returns whether the endpoint is considered alive: ready or draining.
    pub(crate) fn is_live(self) -> bool {
        self < EndpointState::Expired
    }
}

/// The known state of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Instance id of the endpoint, new at each start.
    #[serde(rename = "i")]
    pub id: String,
    /// Name of the service that the endpoint belongs to.
    #[serde(rename = "s")]
    pub service: String,
    /// Address at which the endpoint accepts requests.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Zone that the endpoint runs in; empty if it reports none.
    #[serde(rename = "z")]
    pub zone: String,
    /// Number of requests that the endpoint processes concurrently.
    #[serde(rename = "c")]
    pub capacity: u32,
    /// State as of the heartbeat with the number `sequence`.
    #[serde(rename = "t")]
    pub state: EndpointState,
    /// Sequence number of the heartbeat that led to this state.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Software version of the endpoint. Empty if unknown, because the endpoint does not report it or a sidecar of an earlier
    /// build forwarded the record. Omitted from the encoding when empty.
    #[serde(rename = "v", default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

impl EndpointRecord {
    /// Returns whether this record replaces `other`, a record of the same endpoint. Removal is final. Otherwise the later
    /// heartbeat wins, and for the same heartbeat the later state. This is a strict order, so all sidecars converge regardless of
    /// the order in which records arrive.
    pub(crate) fn supersedes(&self, other: &EndpointRecord) -> bool {
        other.state != EndpointState::Removed
            && (self.state == EndpointState::Removed
                || (self.sequence, self.state) > (other.sequence, other.state))
    }
}

/// A heartbeat sent by an endpoint. Distinct from [`EndpointRecord`], because records come from any sidecar and heartbeats only
/// from the endpoint itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The endpoint's own description of its state.
    pub record: EndpointRecord,
}

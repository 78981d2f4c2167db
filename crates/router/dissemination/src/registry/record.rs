//! Records of endpoints and their order.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The state of an endpoint. The order of variants matters: of two states of the same sequence the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Completes the requests in flight; takes no new ones.
    Draining,
    /// Its heartbeats have stopped. A later heartbeat refutes this.
    #[serde(rename = "Silent")]
    Expired,
    /// It has deregistered, or its address has another owner. Final.
    #[serde(rename = "Gone")]
    Removed,
}

impl EndpointState {
    /// Whether the endpoint is taken to be alive: ready or draining.
    pub(crate) fn is_live(self) -> bool {
        self < EndpointState::Expired
    }
}

/// What is known of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its instance id, new at each start.
    #[serde(rename = "i")]
    pub id: String,
    /// The service that it serves.
    #[serde(rename = "s")]
    pub service: String,
    /// Address that it listens on.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Requests that it processes concurrently.
    #[serde(rename = "c")]
    pub capacity: u32,
    /// Its state.
    #[serde(rename = "t")]
    pub state: EndpointState,
    /// Sequence of the heartbeat that brought this state.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Version of its software. Empty where it isn't known: in records of endpoints that don't report it, or that a sidecar of
    /// an earlier build passed on; then not written either.
    #[serde(rename = "v", default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

impl EndpointRecord {
    /// Whether this record replaces `other`, one of the same endpoint. Removal is final; else the later heartbeat wins, and of
    /// the same heartbeat the later state. A strict order, so that all sidecars converge whatever order records arrive in.
    pub(crate) fn supersedes(&self, other: &EndpointRecord) -> bool {
        other.state != EndpointState::Removed
            && (self.state == EndpointState::Removed
                || (self.sequence, self.state) > (other.sequence, other.state))
    }
}

/// A heartbeat as an endpoint sends it. A type apart from the record: records come from any sidecar, a heartbeat from the
/// endpoint itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// What the endpoint says of itself.
    pub record: EndpointRecord,
}

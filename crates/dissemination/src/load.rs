//! The load of an endpoint, as sidecars tell it to each other.

use serde::{Deserialize, Serialize};

/// What is out at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Names the endpoint: a hash of its id.
    pub endpoint: u64,
    /// Prompt tokens of requests that have no answer yet.
    pub unread_tokens: u32,
    /// Requests out.
    pub in_flight: u32,
}

//! Messages of load reporting, between sidecars and the primary.

use passrelay_dissemination::EndpointLoad;
use serde::{Deserialize, Serialize};

/// A message of load reporting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// A sidecar reports its own load.
    #[serde(rename = "Tell")]
    Report {
        /// Identifies the report at the sidecar; the totals repeat it.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Load of the endpoints at which the sidecar has requests in flight, or outcomes since its last report.
        loads: Vec<EndpointLoad>,
    },
    /// The primary responds with the totals over all sidecars.
    #[serde(rename = "Sums")]
    Totals {
        /// Id of the report that this responds to.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Number of sidecars with a recent report.
        sidecars: u32,
        /// Load of the endpoints with requests in flight or recent outcomes at any sidecar, ordered by endpoint.
        loads: Vec<EndpointLoad>,
    },
}

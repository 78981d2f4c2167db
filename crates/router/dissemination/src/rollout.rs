//! What sidecars and the controller of a roll-out exchange: outcomes of requests by version, and shares of traffic.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Latencies are counted in buckets, each wider than the one before it by the square root of 2; the first ends at 1 ms.
const LATENCY_BUCKETS: usize = 28;

/// Outcomes of requests to the endpoints of one version. Counts only grow, so that a report may be lost or come twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedTally", into = "PackedTally")]
pub struct RequestTally {
    /// Requests that ended, whatever they ended with.
    pub ended: u32,
    /// Of these, those that failed: an error of the endpoint, or no complete answer.
    pub failed: u32,
    /// Requests by latency; without trailing zeros.
    pub latencies: Vec<u32>,
}

/// A tally as it is sent: ended, failed, the first bucket that isn't empty, and the counts from there on. Reports have to fit into a
/// datagram.
#[derive(Serialize, Deserialize)]
struct PackedTally(u32, u32, u8, Vec<u32>);

impl From<RequestTally> for PackedTally {
    fn from(tally: RequestTally) -> Self {
        let first = tally.latencies.iter().take_while(|count| **count == 0).count();
        PackedTally(tally.ended, tally.failed, first as u8, tally.latencies[first..].to_vec())
    }
}

impl From<PackedTally> for RequestTally {
    fn from(packed: PackedTally) -> Self {
        let PackedTally(ended, failed, first, counts) = packed;
        let zeros = std::iter::repeat_n(0, usize::from(first).min(LATENCY_BUCKETS));
        let latencies = zeros.chain(counts).take(LATENCY_BUCKETS).collect();
        RequestTally { ended, failed, latencies }
    }
}

impl RequestTally {
    /// Requests that were counted, ended or not.
    pub fn requests(&self) -> u32 {
        self.ended.max(self.latencies.iter().sum())
    }

    /// A request has ended.
    pub fn record_end(&mut self, failed: bool) {
        self.ended = self.ended.saturating_add(1);
        self.failed = self.failed.saturating_add(u32::from(failed));
    }

    /// A request had a latency.
    pub fn record_latency(&mut self, latency: Duration) {
        let bucket = bucket_of(latency);
        if self.latencies.len() <= bucket {
            self.latencies.resize(bucket + 1, 0);
        }
        self.latencies[bucket] = self.latencies[bucket].saturating_add(1);
    }

    /// Adds what another sidecar counted.
    pub fn merge(&mut self, other: &RequestTally) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        if self.latencies.len() < other.latencies.len() {
            self.latencies.resize(other.latencies.len(), 0);
        }
        for (count, more) in self.latencies.iter_mut().zip(&other.latencies) {
            *count = count.saturating_add(*more);
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let half_octaves = 2.0 * (latency.as_secs_f64() * 1_000.0).max(1.0).log2();
    (half_octaves as usize).min(LATENCY_BUCKETS - 1)
}

/// Size class of the requests of a load test, whatever their size.
pub const LOAD_TEST_SIZE_CLASS: u8 = 0x80;

/// What a latency measures; requests are compared with those of the same kind only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LatencyMeasure {
    /// Until the first part of the answer's body.
    #[serde(rename = "F")]
    FirstByte,
    /// Until the end of the answer.
    #[serde(rename = "C")]
    Complete,
}

/// Requests that are alike: on one route, with about as much of the prompt to be read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(String, u8, LatencyMeasure)", into = "(String, u8, LatencyMeasure)")]
pub struct RequestClass {
    /// Name of the route.
    pub route: String,
    /// Class of the prompt tokens that have to be read, 0 for the fewest.
    pub size_class: u8,
    /// What the latencies measure.
    pub measure: LatencyMeasure,
}

impl From<(String, u8, LatencyMeasure)> for RequestClass {
    fn from((route, size_class, measure): (String, u8, LatencyMeasure)) -> Self {
        RequestClass { route, size_class, measure }
    }
}

impl From<RequestClass> for (String, u8, LatencyMeasure) {
    fn from(class: RequestClass) -> Self {
        (class.route, class.size_class, class.measure)
    }
}

/// Outcomes of requests that are alike, at both versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassOutcomes {
    /// The requests.
    #[serde(rename = "c")]
    pub class: RequestClass,
    /// At the version in service before the roll-out.
    #[serde(rename = "b")]
    pub base: RequestTally,
    /// At the new version.
    #[serde(rename = "t")]
    pub target: RequestTally,
}

/// What a sidecar reports of one roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The roll-out.
    pub id: u64,
    /// For how long this process has known of it, in ms: a lower bound of its age.
    pub known_for_ms: u64,
    /// Whether the new version is in service here.
    pub switched: bool,
    /// Requests in flight from here at other versions of the service.
    pub base_in_flight: u32,
    /// All outcomes since this process knows of the roll-out.
    pub outcomes: Vec<ClassOutcomes>,
}

/// A share of a service's requests for the new version, as a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The roll-out.
    pub id: u64,
    /// Share of the requests, in thousandths.
    pub share_per_mille: u16,
    /// Share of the new version's endpoints that get them, in thousandths; one at least.
    pub spread_per_mille: u16,
    /// Requests of a load test: so many of the router's next ones go to one endpoint of each version, together with those of all other
    /// routers. A router takes part once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_test: Option<u16>,
}

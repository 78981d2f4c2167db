//! Types exchanged between sidecars and the rollout controller: request outcomes per version, and traffic shares.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of latency buckets. Each bucket is wider than the one before it by a factor of the square root of 2; the first ends
/// at 1 ms.
const LATENCY_BUCKETS: usize = 28;

/// Outcome counts of requests to the endpoints of one version. The counts are cumulative, so a report may be lost or duplicated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedTally", into = "PackedTally")]
pub struct RequestTally {
    /// Number of requests that ended, with any outcome.
    pub ended: u32,
    /// Number of ended requests that failed: the endpoint returned an error, or the response was incomplete.
    pub failed: u32,
    /// Number of requests per latency bucket, without trailing zeros.
    pub latencies: Vec<u32>,
}

/// Encoded form of a [`RequestTally`]: ended, failed, index of the first non-empty bucket, and the counts from that bucket on.
/// Leading zeros are omitted because a report has to fit into a datagram.
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
    /// Returns the number of counted requests, including those that have a latency but have not ended.
    pub fn requests(&self) -> u32 {
        self.ended.max(self.latencies.iter().sum())
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self, failed: bool) {
        self.ended = self.ended.saturating_add(1);
        self.failed = self.failed.saturating_add(u32::from(failed));
    }

    /// Counts the latency of a request.
    pub fn record_latency(&mut self, latency: Duration) {
        let bucket = latency_bucket(latency);
        if self.latencies.len() <= bucket {
            self.latencies.resize(bucket + 1, 0);
        }
        self.latencies[bucket] = self.latencies[bucket].saturating_add(1);
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &RequestTally) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        if self.latencies.len() < other.latencies.len() {
            self.latencies.resize(other.latencies.len(), 0);
        }
        for (count, other_count) in self.latencies.iter_mut().zip(&other.latencies) {
            *count = count.saturating_add(*other_count);
        }
    }
}

/// Returns the index of the bucket that a latency is counted in.
fn latency_bucket(latency: Duration) -> usize {
    let half_octaves = 2.0 * (latency.as_secs_f64() * 1_000.0).max(1.0).log2();
    (half_octaves as usize).min(LATENCY_BUCKETS - 1)
}

/// Size class of all load-test requests, regardless of the prompt's size.
pub const LOAD_TEST_SIZE_CLASS: u8 = 0x80;

/// Interval that a latency covers. Only latencies of the same interval are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LatencyMeasure {
    /// Until the first chunk of the response body.
    #[serde(rename = "F")]
    FirstByte,
    /// Until the end of the response.
    #[serde(rename = "C")]
    Complete,
}

/// A class of comparable requests: same route, similar number of prompt tokens to prefill.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(String, u8, LatencyMeasure)", into = "(String, u8, LatencyMeasure)")]
pub struct RequestClass {
    /// Name of the route.
    pub route: String,
    /// Class by the number of prompt tokens to prefill, 0 for the fewest; or [`LOAD_TEST_SIZE_CLASS`].
    pub size_class: u8,
    /// Interval that the latencies cover.
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

/// Outcomes of one request class at the base version and the target version of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassOutcomes {
    /// Class of the counted requests.
    #[serde(rename = "c")]
    pub class: RequestClass,
    /// Outcomes at the version that was in service before the rollout.
    #[serde(rename = "b")]
    pub base: RequestTally,
    /// Outcomes at the version being rolled out.
    #[serde(rename = "t")]
    pub target: RequestTally,
}

/// A sidecar's report on one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Identifier of the rollout.
    pub id: u64,
    /// How long the reporting process has known of the rollout, in milliseconds; a lower bound of the rollout's age.
    pub known_for_ms: u64,
    /// Whether the target version is in service at the reporting sidecar.
    pub switched: bool,
    /// Number of the sidecar's requests in flight at other versions of the service.
    pub base_in_flight: u32,
    /// Cumulative outcomes since the reporting process learned of the rollout.
    pub outcomes: Vec<ClassOutcomes>,
}

/// A leased share of a service's requests that a router may send to the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Identifier of the rollout.
    pub id: u64,
    /// Share of the service's requests, in thousandths.
    pub share_per_mille: u16,
    /// Share of the target version's endpoints that receive these requests, in thousandths; at least one endpoint does.
    pub spread_per_mille: u16,
    /// Number of the router's next requests to use for a load test. They go to a single endpoint of each version, together with
    /// those of all other routers. A router takes part once. `None` if no load test is requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_test: Option<u16>,
}

//! Heartbeats that endpoints send to this sidecar. They are not disseminated; only the resulting state changes are.

use super::EndpointRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which an unchanged record is broadcast again. Each broadcast reaches every sidecar several times, so refreshes
/// have to be rare when there are many endpoints.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// The last heartbeat of one endpoint.
#[derive(Debug)]
struct LocalHeartbeat {
    received_at: Duration,
    sequence: u64,
    /// When the endpoint's record was last broadcast from here.
    broadcast_at: Duration,
}

/// An endpoint whose heartbeats have stopped, with the sequence number of the last one.
#[derive(Debug)]
pub(super) struct StoppedEndpoint {
    pub(super) id: String,
    pub(super) sequence: u64,
}

/// The last heartbeat of each endpoint that sends its heartbeats here.
#[derive(Debug, Default)]
pub(super) struct LocalHeartbeats {
    /// Heartbeats by endpoint id; ordered, because expired records are broadcast in this order.
    last: BTreeMap<String, LocalHeartbeat>,
}

impl LocalHeartbeats {
    pub(super) fn contains(&self, id: &str) -> bool {
        self.last.contains_key(id)
    }

    /// Returns the sequence number of the last heartbeat of an endpoint.
    pub(super) fn sequence(&self, id: &str) -> Option<u64> {
        self.last.get(id).map(|heartbeat| heartbeat.sequence)
    }

    /// Returns whether the record of an endpoint has to be broadcast, either as a refresh or for the first time from here.
    pub(super) fn is_refresh_due(&self, now: Duration, id: &str) -> bool {
        self.last
            .get(id)
            .is_none_or(|heartbeat| now.saturating_sub(heartbeat.broadcast_at) >= REFRESH_INTERVAL)
    }

    /// Records a heartbeat. `broadcast` tells whether its record is broadcast now.
    pub(super) fn record(&mut self, now: Duration, record: &EndpointRecord, broadcast: bool) {
        let last_broadcast = self.last.get(&record.id).map(|heartbeat| heartbeat.broadcast_at);
        let broadcast_at = last_broadcast.filter(|_| !broadcast).unwrap_or(now);
        let heartbeat = LocalHeartbeat { received_at: now, sequence: record.sequence, broadcast_at };
        self.last.insert(record.id.clone(), heartbeat);
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.last.remove(id);
    }

    /// Removes and returns the endpoints without a heartbeat for longer than `timeout`.
    pub(super) fn remove_stopped(&mut self, now: Duration, timeout: Duration) -> Vec<StoppedEndpoint> {
        let stopped: Vec<StoppedEndpoint> = self
            .last
            .iter()
            .filter(|(_, heartbeat)| now.saturating_sub(heartbeat.received_at) > timeout)
            .map(|(id, heartbeat)| StoppedEndpoint { id: id.clone(), sequence: heartbeat.sequence })
            .collect();
        for endpoint in &stopped {
            self.last.remove(&endpoint.id);
        }
        stopped
    }
}

//! Expiry of endpoints whose heartbeats have stopped, and removal of tombstones.

use super::{EndpointRecord, EndpointState, Entry, Registry};
use std::time::Duration;

/// A live record from another sidecar expires if it is not refreshed for this long, which is more than three refresh
/// intervals.
const STALE_RECORD_TIMEOUT: Duration = Duration::from_secs(2_100);
/// A restored record expires if no heartbeat or other sidecar confirms it within this time.
const RESTORED_RECORD_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Records of expired and removed endpoints are kept as tombstones for this long, so that late heartbeats and records are
/// recognized as such.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

impl Entry {
    /// Returns how long the record stays valid without a local heartbeat.
    fn timeout(&self) -> Duration {
        if self.restored {
            RESTORED_RECORD_TIMEOUT
        } else {
            STALE_RECORD_TIMEOUT
        }
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.changed_at)
    }
}

impl Registry {
    /// Expires endpoints whose heartbeats have stopped and removes old tombstones. Returns the changed records to broadcast:
    /// those of endpoints that sent their heartbeats here. Other records expire at each sidecar independently.
    pub fn expire(&mut self, now: Duration) -> Vec<EndpointRecord> {
        let changed = self.expire_stopped(now);
        self.expire_unrefreshed(now);
        self.remove_tombstones(now);
        changed
    }

    /// Expires endpoints whose local heartbeats have stopped.
    fn expire_stopped(&mut self, now: Duration) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for stopped in self.local_heartbeats.remove_stopped(now, self.heartbeat_timeout) {
            let Some(entry) = self.entries.get(&stopped.id) else { continue };
            let expired = EndpointRecord {
                state: EndpointState::Expired,
                sequence: stopped.sequence,
                ..entry.record.clone()
            };
            if expired.supersedes(&entry.record) {
                self.put(now, expired.clone());
                changed.push(expired);
            }
        }
        changed
    }

    /// Expires endpoints without local heartbeats whose records no other sidecar has refreshed.
    fn expire_unrefreshed(&mut self, now: Duration) {
        let mut expired = 0;
        for (id, entry) in &mut self.entries {
            let unrefreshed = entry.record.state.is_live()
                && !self.local_heartbeats.contains(id)
                && entry.age(now) > entry.timeout();
            if unrefreshed {
                entry.record.state = EndpointState::Expired;
                entry.changed_at = now;
                expired += 1;
            }
        }
        self.record_changes(expired);
    }

    fn remove_tombstones(&mut self, now: Duration) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.record.state.is_live() || entry.age(now) < TOMBSTONE_RETENTION);
        if self.entries.len() != before {
            self.record_changes(1);
        }
    }
}

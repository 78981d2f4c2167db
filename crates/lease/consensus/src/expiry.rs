//! Detects sessions and leases that were not renewed in time.
//!
//! A voter counts from when it *applied* a renewal, on its own clock, which is later than when the holder
//! sent it. Whichever voter counts, even after a restart or a change of leader, the holder's period therefore
//! ends first. [`crate::client`] implements the holder's side of this guarantee.

use crate::lease_table::{Entry, Event, Holder, LeaseTable};
use crate::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay before an entry without effect is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of entries proposed per check, so that ten thousand leases that end in one second don't
/// delay the renewals behind them.
const MAX_ENTRIES_PER_CHECK: usize = 2048;
/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// When each session was last renewed, and when each lease was granted, evicted or locked, on this voter's
/// clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    lock_delay: Duration,
    last_renewal: BTreeMap<SessionId, Duration>,
    granted_at: BTreeMap<String, (Token, Duration)>,
    next_check: Duration,
}

impl ExpiryTracker {
    /// Creates an empty tracker. A lease whose holder expired stays locked for `lock_delay`.
    pub fn new(lock_delay: Duration) -> ExpiryTracker {
        ExpiryTracker { lock_delay, ..ExpiryTracker::default() }
    }

    /// Restarts all timers from the table, after a restart or a snapshot. Every session counts as renewed
    /// now.
    pub fn reset(&mut self, table: &LeaseTable, now: Duration) {
        self.last_renewal = table.sessions().keys().map(|s| (*s, now)).collect();
        self.granted_at = table
            .leases()
            .iter()
            .filter_map(|(name, lease)| match lease.holder {
                Holder::Free => None,
                Holder::Held { token, .. } | Holder::Evicted { token, .. } | Holder::Locked { token } => {
                    Some((name.clone(), (token, now)))
                }
            })
            .collect();
    }

    /// Updates the timers after an applied entry.
    pub fn record(&mut self, event: &Event, now: Duration) {
        match event {
            Event::Opened(session) | Event::Renewed(session) => {
                self.last_renewal.insert(*session, now);
            }
            Event::Ended(session) => {
                self.last_renewal.remove(session);
            }
            Event::Granted { grant, .. } => {
                self.granted_at.insert(grant.lease.clone(), (grant.token, now));
            }
            Event::Evicted { lease, token } | Event::Locked { lease, token } => {
                self.granted_at.insert(lease.clone(), (*token, now));
            }
            Event::Freed(lease) => {
                self.granted_at.remove(lease);
            }
        }
    }

    /// Returns the entries that are due. Only the leader proposes them, to save messages; proposals from any
    /// voter would be safe.
    pub fn due_entries(&mut self, table: &LeaseTable, now: Duration) -> Vec<Entry> {
        if now < self.next_check {
            return Vec::new();
        }
        let over = |granted_at: Duration, ms: u64| now >= granted_at + Duration::from_millis(ms);
        let mut due = Vec::new();
        for (session, last_renewal) in &self.last_renewal {
            let Some(known) = table.sessions().get(session) else { continue };
            if over(*last_renewal, known.ttl_ms) {
                due.push(Entry::ExpireSession { session: *session, renewals: known.renewals });
            }
        }
        for (lease, (token, granted_at)) in &self.granted_at {
            match table.leases().get(lease).map(|l| l.holder) {
                Some(Holder::Held { session, token: held, ttl_ms }) if held == *token => {
                    let Some(known) = table.sessions().get(&session) else { continue };
                    let last_renewal =
                        self.last_renewal.get(&session).copied().unwrap_or(now).max(*granted_at);
                    if over(last_renewal, ttl_ms) && !over(last_renewal, known.ttl_ms) {
                        let lease = lease.clone();
                        due.push(Entry::ExpireLease { lease, token: held, renewals: known.renewals });
                    }
                }
                // Counted from the eviction, since the holder sent every renewal that listed this grant
                // before it.
                Some(Holder::Evicted { token: held, ttl_ms, .. })
                    if held == *token && over(*granted_at, ttl_ms) =>
                {
                    due.push(Entry::ExpireLease { lease: lease.clone(), token: held, renewals: 0 });
                }
                Some(Holder::Locked { token: locked })
                    if locked == *token && now >= *granted_at + self.lock_delay =>
                {
                    due.push(Entry::Unlock { lease: lease.clone(), token: locked });
                }
                _ => {}
            }
        }
        due.truncate(MAX_ENTRIES_PER_CHECK);
        self.next_check = now + if due.is_empty() { CHECK_INTERVAL } else { REPROPOSE_INTERVAL };
        due
    }
}

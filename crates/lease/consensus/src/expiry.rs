//! A voter's watch over sessions that fell silent.
//!
//! A voter counts from when it *applied* a renewal, on its own clock, and that is later than when the holder
//! sent it. So whichever voter counts, after a restart or a change of leader too, the holder's time is over
//! before the voter's is. The other half of the promise is the holder's: [`crate::client`].

use crate::lease_table::{Entry, Event, Holder, LeaseTable};
use crate::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// A proposal that nothing came of is made again after so long.
const REPROPOSE_INTERVAL: Duration = Duration::from_millis(500);
/// Most proposals in one look, so that ten thousand leases that end in one second don't stop the renewals
/// behind them.
const MAX_ENTRIES_PER_CHECK: usize = 2048;
/// How often it looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// When each session was last last_renewal, and when each lease was granted or locked, on this voter's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    lock_delay: Duration,
    last_renewal: BTreeMap<SessionId, Duration>,
    granted_at: BTreeMap<String, (Token, Duration)>,
    next_check: Duration,
}

impl ExpiryTracker {
    /// A watch that knows nothing yet. A lease whose holder vanished is locked for `lock_delay`.
    pub fn new(lock_delay: Duration) -> ExpiryTracker {
        ExpiryTracker { lock_delay, ..ExpiryTracker::default() }
    }

    /// Starts all over with this table, as at a start or when a snapshot came: everyone was last_renewal just now.
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

    /// Takes in what an entry brought about.
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

    /// What is due by now. Only the leader proposes it, to save messages; it would be safe from any voter.
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
                // Counted from the eviction: every renewal that named this grant had left before it.
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

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
const AGAIN: Duration = Duration::from_millis(500);
/// Most proposals in one look, so that ten thousand leases that end in one second don't stop the renewals
/// behind them.
const MOST_AT_ONCE: usize = 2048;
/// How often it looks.
const LOOK: Duration = Duration::from_millis(50);

/// When each session was last heard, and when each lease was granted or locked, on this voter's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryWatch {
    lock_delay: Duration,
    heard: BTreeMap<SessionId, Duration>,
    since: BTreeMap<String, (Token, Duration)>,
    next_look: Duration,
}

impl ExpiryWatch {
    /// A watch that knows nothing yet. A lease whose holder vanished is locked for `lock_delay`.
    pub fn new(lock_delay: Duration) -> ExpiryWatch {
        ExpiryWatch { lock_delay, ..ExpiryWatch::default() }
    }

    /// Starts all over with this table, as at a start or when a snapshot came: everyone was heard just now.
    pub fn reset(&mut self, table: &LeaseTable, now: Duration) {
        self.heard = table.sessions().keys().map(|s| (*s, now)).collect();
        self.since = table
            .leases()
            .iter()
            .filter_map(|(name, lease)| match lease.holder {
                Holder::Free => None,
                Holder::Held { token, .. } | Holder::Leaving { token, .. } | Holder::Locked { token } => {
                    Some((name.clone(), (token, now)))
                }
            })
            .collect();
    }

    /// Takes in what an entry brought about.
    pub fn note(&mut self, event: &Event, now: Duration) {
        match event {
            Event::Opened(session) | Event::Renewed(session) => {
                self.heard.insert(*session, now);
            }
            Event::Ended(session) => {
                self.heard.remove(session);
            }
            Event::Granted { grant, .. } => {
                self.since.insert(grant.lease.clone(), (grant.token, now));
            }
            Event::Evicted { lease, token } | Event::Locked { lease, token } => {
                self.since.insert(lease.clone(), (*token, now));
            }
            Event::Freed(lease) => {
                self.since.remove(lease);
            }
        }
    }

    /// What is due by now. Only the leader proposes it, to save messages; it would be safe from any voter.
    pub fn due(&mut self, table: &LeaseTable, now: Duration) -> Vec<Entry> {
        if now < self.next_look {
            return Vec::new();
        }
        let over = |since: Duration, ms: u64| now >= since + Duration::from_millis(ms);
        let mut due = Vec::new();
        for (session, heard) in &self.heard {
            let Some(known) = table.sessions().get(session) else { continue };
            if over(*heard, known.ttl_ms) {
                due.push(Entry::Expire { session: *session, renewals: known.renewals });
            }
        }
        for (lease, (token, since)) in &self.since {
            match table.leases().get(lease).map(|l| l.holder) {
                Some(Holder::Held { session, token: held, ttl_ms }) if held == *token => {
                    let Some(known) = table.sessions().get(&session) else { continue };
                    let heard = self.heard.get(&session).copied().unwrap_or(now).max(*since);
                    if over(heard, ttl_ms) && !over(heard, known.ttl_ms) {
                        let lease = lease.clone();
                        due.push(Entry::Lapse { lease, token: held, renewals: known.renewals });
                    }
                }
                // Counted from the eviction: every renewal that named this grant had left before it.
                Some(Holder::Leaving { token: held, ttl_ms, .. })
                    if held == *token && over(*since, ttl_ms) =>
                {
                    due.push(Entry::Lapse { lease: lease.clone(), token: held, renewals: 0 });
                }
                Some(Holder::Locked { token: locked })
                    if locked == *token && now >= *since + self.lock_delay =>
                {
                    due.push(Entry::Unlock { lease: lease.clone(), token: locked });
                }
                _ => {}
            }
        }
        due.truncate(MOST_AT_ONCE);
        self.next_look = now + if due.is_empty() { LOOK } else { AGAIN };
        due
    }
}

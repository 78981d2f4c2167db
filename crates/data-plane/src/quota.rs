//! The tokens that this sidecar holds of each tenant's quota, spent by requests and filled by grants.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time over which demand is averaged.
const DEMAND_OVER: Duration = Duration::from_secs(2);
/// Tokens are held ahead for this long at the demand seen.
const AHEAD_S: f64 = 0.5;
/// A question without an answer after this is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(80);
/// A grant is taken for spent this much before its end.
const MARGIN: Duration = Duration::from_millis(50);

/// One grant: what is left of it and when it ends.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    ends: Duration,
}

/// What is held of one tenant's quota.
#[derive(Debug, Default)]
struct Share {
    held: VecDeque<Held>,
    demand_per_s: f64,
    demand_at: Duration,
    /// Tokens that waiting requests need.
    waiting: u64,
    asked_at: Option<Duration>,
    /// The grantor gave less than was wanted at this time.
    short_at: Option<Duration>,
}

impl Share {
    fn available(&self, now: Duration) -> u64 {
        self.held.iter().filter(|h| h.ends > now).map(|h| h.tokens).sum()
    }

    fn expire(&mut self, now: Duration) {
        self.held.retain(|h| h.ends > now && h.tokens > 0);
    }

    fn note_demand(&mut self, now: Duration, tokens: u64) {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        let span = DEMAND_OVER.as_secs_f64();
        self.demand_per_s = self.demand_per_s * (-elapsed / span).exp() + tokens as f64 / span;
        self.demand_at = now;
    }

    fn demand(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s * (-elapsed / DEMAND_OVER.as_secs_f64()).exp()
    }
}

/// All tenants' shares, by a key that the caller chooses.
#[derive(Debug, Default)]
pub struct QuotaShares {
    shares: HashMap<u64, Share>,
}

impl QuotaShares {
    /// Notes that a request needs tokens.
    pub fn want(&mut self, now: Duration, tenant: u64, tokens: u64) {
        let share = self.shares.entry(tenant).or_default();
        share.note_demand(now, tokens);
        share.waiting += tokens;
    }

    /// A request that wanted tokens stops waiting, whether it got them or not.
    pub fn stop_waiting(&mut self, tenant: u64, tokens: u64) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.waiting = share.waiting.saturating_sub(tokens);
        }
    }

    /// Spends tokens if so many are held, oldest grants first.
    pub fn spend(&mut self, now: Duration, tenant: u64, tokens: u64) -> bool {
        let Some(share) = self.shares.get_mut(&tenant) else { return false };
        share.expire(now);
        if share.available(now) < tokens {
            return false;
        }
        let mut left = tokens;
        for held in &mut share.held {
            let taken = held.tokens.min(left);
            held.tokens -= taken;
            left -= taken;
        }
        true
    }

    /// Gives back tokens of a request that was never sent.
    pub fn give_back(&mut self, now: Duration, tenant: u64, tokens: u64) {
        if let Some(held) = self.shares.get_mut(&tenant).and_then(|s| s.held.back_mut()) {
            if held.ends > now {
                held.tokens += tokens;
            }
        }
    }

    /// Whether the grantor lately gave less than was wanted.
    pub fn is_short(&self, tenant: u64, since: Duration) -> bool {
        self.shares.get(&tenant).and_then(|s| s.short_at).is_some_and(|at| at >= since)
    }

    /// The tokens to ask the grantor for now, by tenant.
    pub fn questions(&mut self, now: Duration) -> Vec<(u64, u64)> {
        let mut wanted = Vec::new();
        for (tenant, share) in &mut self.shares {
            share.expire(now);
            let asked = share.asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_AGAIN_AFTER);
            let ahead = (share.demand(now) * AHEAD_S) as u64;
            let available = share.available(now);
            let low = available < share.waiting + ahead / 2;
            if low && !asked {
                share.asked_at = Some(now);
                wanted.push((*tenant, share.waiting + ahead - available));
            }
        }
        wanted
    }

    /// Takes in a grant that was asked for at `asked_at` and may be spent for `lasts` from then on.
    pub fn granted(
        &mut self,
        now: Duration,
        asked_at: Duration,
        lasts: Duration,
        tenant: u64,
        wanted: u64,
        tokens: u64,
    ) {
        let share = self.shares.entry(tenant).or_default();
        share.asked_at = None;
        if tokens < wanted {
            share.short_at = Some(now);
        }
        let ends = (asked_at + lasts).saturating_sub(MARGIN);
        if ends > now && tokens > 0 {
            share.held.push_back(Held { tokens, ends });
        }
    }

    /// Drops tenants that no longer exist.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.shares.retain(|tenant, _| keep(*tenant));
    }
}

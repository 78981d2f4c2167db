//! The tokens that this sidecar holds of each tenant's quota, spent by requests and filled by grants.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// A question without an answer after this is asked again; the grantor may be gone.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(60);
/// A grant is taken for spent this much before its end.
const MARGIN: Duration = Duration::from_millis(50);
/// A reserve may be spent for this long after the grant that it came with.
const RESERVE_LASTS: Duration = Duration::from_secs(6);
/// While the grantor hasn't answered for this long, requests don't wait for it.
const GRANTOR_GONE: Duration = Duration::from_millis(250);

/// Questions whose answers still count.
const OPEN_QUESTIONS: usize = 256;

/// One grant: what is left of it and when it ends.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    ends: Duration,
}

/// What the grantor gives of one tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// The tenant.
    pub tenant: u64,
    /// Tokens granted.
    pub tokens: u64,
    /// Tokens that may be spent besides while no grantor answers.
    pub reserve: u64,
}

/// What is held of one tenant's quota.
#[derive(Debug, Default)]
struct Share {
    held: VecDeque<Held>,
    /// Tokens that waiting requests need.
    waiting: u64,
    asked_at: Option<Duration>,
    /// The first question that has had no answer.
    unanswered_since: Option<Duration>,
    /// The grantor gave less than was wanted at this time.
    short_at: Option<Duration>,
    reserve: u64,
    reserve_at: Duration,
    /// Tokens spent of reserves that the grantor doesn't know of yet.
    overdrawn: u64,
}

impl Share {
    fn available(&self, now: Duration) -> u64 {
        self.held.iter().filter(|h| h.ends > now).map(|h| h.tokens).sum()
    }

    fn expire(&mut self, now: Duration) {
        self.held.retain(|h| h.ends > now && h.tokens > 0);
    }

    fn spend_held(&mut self, now: Duration, tokens: u64) -> bool {
        self.expire(now);
        if self.available(now) < tokens {
            return false;
        }
        let mut left = tokens;
        for held in &mut self.held {
            let taken = held.tokens.min(left);
            held.tokens -= taken;
            left -= taken;
        }
        true
    }

    fn take(&mut self, now: Duration, wanted: u64, grant: Grant, ends: Duration) {
        self.asked_at = None;
        self.unanswered_since = None;
        if grant.tokens < wanted {
            self.short_at = Some(now);
        }
        self.reserve = grant.reserve;
        self.reserve_at = now;
        if ends > now && grant.tokens > 0 {
            self.held.push_back(Held { tokens: grant.tokens, ends });
        }
    }

    fn spend_reserve(&mut self, now: Duration, tokens: u64) -> bool {
        let valid = now.saturating_sub(self.reserve_at) < RESERVE_LASTS;
        if !valid || self.reserve < tokens {
            return false;
        }
        self.reserve -= tokens;
        self.overdrawn += tokens;
        true
    }
}

/// A question to the grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Its number, which the answer repeats.
    pub request_id: u64,
    /// Tenants, and tokens wanted.
    pub wanted: Vec<(u64, u64)>,
    /// Tenants, and tokens spent of reserves that no answered question has told.
    pub overdrawn: Vec<(u64, u64)>,
}

/// A question that has no answer yet.
#[derive(Debug)]
struct Open {
    asked_at: Duration,
    question: Question,
}

/// All tenants' shares, by a key that the caller chooses.
#[derive(Debug)]
pub struct QuotaShares {
    /// How long a grant may be spent, from the moment at which it was asked for.
    grants_last: Duration,
    shares: HashMap<u64, Share>,
    open: BTreeMap<u64, Open>,
    last_nonce: u64,
}

impl QuotaShares {
    /// No shares yet, of grants that may be spent for a time after they were asked for.
    pub fn new(grants_last: Duration) -> Self {
        QuotaShares { grants_last, shares: HashMap::new(), open: BTreeMap::new(), last_nonce: 0 }
    }

    /// Notes that a request waits for tokens.
    pub fn want(&mut self, tenant: u64, tokens: u64) {
        self.shares.entry(tenant).or_default().waiting += tokens;
    }

    /// A request that wanted tokens stops waiting, whether it got them or not.
    pub fn stop_waiting(&mut self, tenant: u64, tokens: u64) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.waiting = share.waiting.saturating_sub(tokens);
        }
    }

    /// Spends tokens if so many are held, oldest grants first; out of the reserve where the grantor doesn't answer.
    pub fn spend(&mut self, now: Duration, tenant: u64, tokens: u64) -> bool {
        let Some(share) = self.shares.get_mut(&tenant) else { return false };
        let gone = share.unanswered_since.is_some_and(|at| now.saturating_sub(at) >= ASK_AGAIN_AFTER);
        share.spend_held(now, tokens) || (gone && share.spend_reserve(now, tokens))
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

    /// Whether the grantor has been silent for so long that waiting for it makes no sense.
    pub fn is_deserted(&self, tenant: u64, now: Duration) -> bool {
        let since = self.shares.get(&tenant).and_then(|s| s.unanswered_since);
        since.is_some_and(|at| now.saturating_sub(at) >= GRANTOR_GONE)
    }

    /// What to ask the grantor now, if anything is wanted.
    pub fn question(&mut self, now: Duration) -> Option<Question> {
        let mut question =
            Question { request_id: self.last_nonce + 1, wanted: Vec::new(), overdrawn: Vec::new() };
        for (tenant, share) in &mut self.shares {
            share.expire(now);
            let asked = share.asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_AGAIN_AFTER);
            let available = share.available(now);
            if share.waiting > available && !asked {
                share.asked_at = Some(now);
                share.unanswered_since.get_or_insert(now);
                question.wanted.push((*tenant, share.waiting - available));
                if share.overdrawn > 0 {
                    question.overdrawn.push((*tenant, share.overdrawn));
                }
            }
        }
        if question.wanted.is_empty() {
            return None;
        }
        self.last_nonce = question.request_id;
        self.open.insert(question.request_id, Open { asked_at: now, question: question.clone() });
        while self.open.len() > OPEN_QUESTIONS {
            self.open.pop_first();
        }
        Some(question)
    }

    /// Takes in the answer to a question; what isn't named in it was not granted.
    pub fn answered(&mut self, now: Duration, request_id: u64, granted: &[Grant]) {
        let Some(Open { asked_at, question }) = self.open.remove(&request_id) else { return };
        let ends = (asked_at + self.grants_last).saturating_sub(MARGIN);
        for (tenant, wanted) in question.wanted {
            let Some(share) = self.shares.get_mut(&tenant) else { continue };
            let none = Grant { tenant, tokens: 0, reserve: 0 };
            let grant = granted.iter().find(|g| g.tenant == tenant).copied().unwrap_or(none);
            let told =
                question.overdrawn.iter().find(|(of, _)| *of == tenant).map_or(0, |(_, tokens)| *tokens);
            share.overdrawn = share.overdrawn.saturating_sub(told);
            share.take(now, wanted, grant, ends);
        }
    }

    /// Drops tenants that no longer exist.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.shares.retain(|tenant, _| keep(*tenant));
    }
}

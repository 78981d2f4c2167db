//! A process's session with the fleet, without I/O, and what it may believe to hold.
//!
//! All belief comes from one place: the answer to a renewal. It lists what the session held when the voters
//! agreed on that renewal, and it is good for the time to live *from when the renewal left*, shortened for
//! clocks that drift. A granted wish or a hint is only a reason to renew at once. So an answer that was held
//! up anywhere, or comes from a voter that lags, can make the belief shorter but never longer.

use crate::lease_table::{Grant, Op, Refusal, Reply};
use crate::mutant::{is, Mutant};
use crate::wire::{Answer, Say};
use crate::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// The bound on how fast or slow any clock of the fleet runs, in percent.
pub const DRIFT_PERCENT: u32 = 10;
/// What isn't answered within this time is asked of another voter.
const PATIENCE: Duration = Duration::from_millis(800);
/// A refused name is tried again after so long: the process that had it may have died.
const NAME_AGAIN: Duration = Duration::from_millis(500);
/// Renewals under way that are remembered.
const MOST_UNDER_WAY: usize = 32;

/// The part of a time to live that a holder may believe in, if voters wait all of it: with clocks off by
/// [`DRIFT_PERCENT`], the holder's slow one and the voter's fast one.
pub fn belief(ttl: Duration) -> Duration {
    ttl * (100 - DRIFT_PERCENT) / (100 + DRIFT_PERCENT)
}

/// Leave to act under a lease. What acts takes one, so that nothing can act without the token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    lease: String,
    token: Token,
    until: Duration,
}

impl Guard {
    /// The header that hands the token to a target over HTTP.
    pub const HEADER: &'static str = "X-Fence-Token";
    /// The environment variable that hands the token to a command.
    pub const VARIABLE: &'static str = "PASSRELAY_LEASE_TOKEN";

    /// The lease.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// The token: a target that keeps the highest it has seen refuses all older ones.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Until when nobody else holds the lease, on the clock that the client was given.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// An effect inside the fleet: done only if the voters find the lease still held under this token.
    pub fn effect(&self, note: &str) -> Op {
        Op::Effect { lease: self.lease.clone(), token: self.token, note: note.to_owned() }
    }
}

/// What a process hears of its session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum News {
    /// The session is open.
    Opened(SessionId),
    /// Another process has the name; it is tried again.
    NameTaken,
    /// A wish was answered. `Granted` alone gives no leave to act: [`Client::guard`] does.
    Answered(u64, Reply),
    /// It holds this from now on.
    Holds(Grant),
    /// It no longer holds this.
    Lost(Grant),
    /// It no longer stands in line for this, and doesn't hold it: a grant came and went unseen.
    LeftOut(String),
    /// The session ended at the voters'; a new one is opened. Wishes that stood in line are gone.
    Ended,
    /// To `List`, `Status`, `Watch` and `Change`; and who votes.
    Told(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wish {
    seq: u64,
    op: Op,
    sent: Duration,
}

/// A process's session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    name: String,
    nonce: u64,
    ttl: Duration,
    session: Option<SessionId>,
    linked: bool,
    closed: bool,
    /// Since when something has been waited for without an answer of any kind.
    waiting: Option<Duration>,
    not_now: bool,
    open_at: Duration,
    count: u64,
    answered: u64,
    under_way: BTreeMap<u64, Duration>,
    /// When the last renewal that was answered left.
    base: Duration,
    renew_at: Duration,
    held: BTreeMap<String, Grant>,
    /// Leases let go: believed in again only by a renewal that left after the letting go was answered.
    dropped: BTreeMap<String, Option<u64>>,
    /// Leases stood in line for, with the last renewal that had left when the line was joined.
    lines: BTreeMap<String, u64>,
    seq: u64,
    wishes: std::collections::VecDeque<Wish>,
    says: Vec<Say>,
    news: Vec<News>,
}

impl Client {
    /// A process of this name; `nonce` is drawn anew at each start.
    pub fn new(name: &str, nonce: u64, ttl: Duration) -> Client {
        Client {
            name: name.to_owned(),
            nonce,
            ttl,
            session: None,
            linked: false,
            closed: false,
            waiting: None,
            not_now: false,
            open_at: Duration::ZERO,
            count: 0,
            answered: 0,
            under_way: BTreeMap::new(),
            base: Duration::ZERO,
            renew_at: Duration::ZERO,
            held: BTreeMap::new(),
            dropped: BTreeMap::new(),
            lines: BTreeMap::new(),
            seq: 0,
            wishes: std::collections::VecDeque::new(),
            says: Vec::new(),
            news: Vec::new(),
        }
    }

    /// The session's time to live.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// The session, if one is open.
    pub fn session(&self) -> Option<SessionId> {
        self.session
    }

    /// Leave to act under a lease now, if it is held beyond doubt.
    pub fn guard(&self, lease: &str, now: Duration) -> Option<Guard> {
        let grant = self.held.get(lease)?;
        // Guards against a belief that outlives the session, which takes all its leases along when it expires.
        let until = self.base + belief(Duration::from_millis(grant.ttl_ms).min(self.ttl));
        let (lease, token) = (grant.lease.clone(), grant.token);
        (now < until).then_some(Guard { lease, token, until })
    }

    /// Whether the last list named the lease, though there may be no leave to act now.
    pub fn listed(&self, lease: &str) -> bool {
        self.held.contains_key(lease)
    }

    /// Leave to act under each lease that is held beyond doubt now.
    pub fn guards(&self, now: Duration) -> Vec<Guard> {
        self.held.keys().filter_map(|lease| self.guard(lease, now)).collect()
    }

    /// Wants something; the answer comes as [`News::Answered`] with this number. What is let go is not
    /// believed in from this moment.
    pub fn ask(&mut self, op: Op, now: Duration) -> u64 {
        if let Op::Release { lease } | Op::Abandon { lease } | Op::Transfer { lease, .. } = &op {
            self.held.remove(lease);
            self.dropped.insert(lease.clone(), None);
        }
        self.seq += 1;
        self.wishes.push_back(Wish { seq: self.seq, op, sent: now });
        if self.wishes.len() == 1 {
            self.send_wish(now);
        }
        self.seq
    }

    /// Says that the session ends. Nothing is believed in from this moment, and no other session is opened.
    pub fn close(&mut self) {
        self.closed = true;
        self.held.clear();
        if let Some(session) = self.session.take() {
            self.says.push(Say::Close { session });
        }
    }

    /// A link to a voter is up.
    pub fn up(&mut self, now: Duration) {
        (self.linked, self.waiting, self.not_now) = (true, None, false);
        match self.session {
            None => self.open(now),
            Some(_) => {
                self.renew(now);
                self.send_wish(now);
            }
        }
    }

    /// The link is down; another is to be found.
    pub fn down(&mut self) {
        (self.linked, self.waiting) = (false, None);
    }

    /// Whether the driver should leave this voter for another: it says nothing, or cannot serve.
    pub fn wants_another(&self, now: Duration) -> bool {
        !is(Mutant::NeverLeaves)
            && self.linked
            && (self.not_now || self.waiting.is_some_and(|since| now >= since + PATIENCE))
    }

    fn open(&mut self, now: Duration) {
        // Guards against a session that nobody is behind, left open by the very turn that closed the last one.
        if self.linked && !self.closed {
            let ttl_ms = self.ttl.as_millis() as u64;
            self.says.push(Say::Open { name: self.name.clone(), nonce: self.nonce, ttl_ms });
            self.waiting.get_or_insert(now);
            self.open_at = now + PATIENCE;
        }
    }

    fn renew(&mut self, now: Duration) {
        let Some(session) = self.session.filter(|_| self.linked) else { return };
        self.count += 1;
        self.under_way.insert(self.count, now);
        if self.under_way.len() > MOST_UNDER_WAY {
            self.under_way.pop_first();
        }
        self.says.push(Say::Renew { session, count: self.count });
        self.waiting.get_or_insert(now);
        let shortest = self.held.values().map(|g| Duration::from_millis(g.ttl_ms)).min();
        self.renew_at = now + shortest.map_or(self.ttl, |s| s.min(self.ttl)) / 4;
    }

    fn send_wish(&mut self, now: Duration) {
        let Some(session) = self.session.filter(|_| self.linked) else { return };
        let Some(wish) = self.wishes.front_mut() else { return };
        wish.sent = now;
        self.says.push(Say::Ask { session, seq: wish.seq, op: wish.op.clone() });
        self.waiting.get_or_insert(now);
        // Behind it on the same link, so that one round brings the grant and the leave to act.
        if matches!(wish.op, Op::Acquire { .. }) {
            self.renew(now);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        if !self.linked {
            return;
        }
        match self.session {
            None if now >= self.open_at => self.open(now),
            Some(_) if now >= self.renew_at => self.renew(now),
            _ => {}
        }
        if self.wishes.front().is_some_and(|w| now >= w.sent + PATIENCE) {
            self.send_wish(now);
        }
    }

    /// A voter says something.
    pub fn receive(&mut self, answer: Answer, now: Duration) {
        match answer {
            Answer::NotNow => self.not_now = true,
            Answer::Open { nonce, reply } if nonce == self.nonce && self.session.is_none() => {
                self.waiting = None;
                match reply {
                    Reply::Opened { session } => {
                        self.session = Some(session);
                        self.answered = self.count;
                        self.under_way.clear();
                        self.news.push(News::Opened(session));
                        self.renew(now);
                        self.send_wish(now);
                    }
                    _ => {
                        self.open_at = now + NAME_AGAIN;
                        self.news.push(News::NameTaken);
                    }
                }
            }
            Answer::Renew { session, count, reply } if Some(session) == self.session => match reply {
                Reply::Renewed { holds, waits, .. } => self.renewed(count, holds, &waits, now),
                Reply::Refused(Refusal::NoSession) => self.ended(now),
                _ => {}
            },
            Answer::Ask { session, seq, reply } if Some(session) == self.session => {
                if reply == Reply::Refused(Refusal::NoSession) {
                    return self.ended(now);
                }
                self.wish_answered(seq, reply, now);
            }
            Answer::Hint { session } if Some(session) == self.session => self.renew(now),
            Answer::List { .. }
            | Answer::Status { .. }
            | Answer::Change { .. }
            | Answer::Changed { .. }
            | Answer::Voters(_) => {
                self.news.push(News::Told(answer));
            }
            _ => {}
        }
    }

    fn renewed(&mut self, count: u64, holds: Vec<Grant>, waits: &[String], now: Duration) {
        // Guards against an older list on top of a newer one.
        let Some(sent) = self.under_way.get(&count).copied().filter(|_| count > self.answered) else {
            return;
        };
        self.answered = count;
        self.under_way.retain(|c, _| *c > count);
        let counted = if is(Mutant::CountedFromAnswer) { now } else { sent };
        self.base = self.base.max(counted);
        self.waiting = self.under_way.values().next().copied();
        self.dropped.retain(|_, at| at.is_none_or(|at| count <= at));
        let lines = std::mem::take(&mut self.lines);
        for (lease, at) in lines {
            if count <= at || waits.contains(&lease) {
                self.lines.insert(lease, at);
            } else if !holds.iter().any(|g| g.lease == lease) {
                self.news.push(News::LeftOut(lease));
            }
        }
        let before = std::mem::take(&mut self.held);
        for grant in
            holds.into_iter().filter(|g| is(Mutant::BelievesReleased) || !self.dropped.contains_key(&g.lease))
        {
            self.held.insert(grant.lease.clone(), grant);
        }
        for (lease, grant) in &before {
            if self.held.get(lease) != Some(grant) {
                self.news.push(News::Lost(grant.clone()));
            }
        }
        let fresh: Vec<Grant> =
            self.held.values().filter(|g| before.get(&g.lease) != Some(g)).cloned().collect();
        for grant in fresh {
            // A grant with a shorter time to live than those before is renewed in its own time.
            self.renew_at = self.renew_at.min(now + Duration::from_millis(grant.ttl_ms) / 4);
            self.news.push(News::Holds(grant));
        }
    }

    fn wish_answered(&mut self, seq: u64, reply: Reply, now: Duration) {
        if self.wishes.front().map(|w| w.seq) != Some(seq) {
            return;
        }
        let Some(wish) = self.wishes.pop_front() else { return };
        self.waiting = self.under_way.values().next().copied();
        match &wish.op {
            Op::Release { lease } | Op::Abandon { lease } | Op::Transfer { lease, .. } => {
                self.lines.remove(lease);
                self.dropped.insert(lease.clone(), Some(self.count));
            }
            // A grant, too, may have come and gone before its answer got here.
            Op::Acquire { lease, .. } if matches!(reply, Reply::Waiting | Reply::Granted(_)) => {
                self.lines.insert(lease.clone(), self.count);
            }
            _ => {}
        }
        if let Reply::Granted(grant) = &reply {
            if is(Mutant::GrantBelieved) {
                self.base = now;
                self.held.insert(grant.lease.clone(), grant.clone());
            } else if self.held.get(&grant.lease) != Some(grant) {
                self.renew(now);
            }
        }
        self.news.push(News::Answered(seq, reply));
        self.send_wish(now);
    }

    fn ended(&mut self, now: Duration) {
        self.session = None;
        for grant in std::mem::take(&mut self.held).into_values() {
            self.news.push(News::Lost(grant));
        }
        self.dropped.clear();
        self.lines.clear();
        self.waiting = None;
        self.news.push(News::Ended);
        self.open(now);
    }

    /// What is to be said to the voter.
    pub fn says(&mut self) -> Vec<Say> {
        std::mem::take(&mut self.says)
    }

    /// What happened.
    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }
}

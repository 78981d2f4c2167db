//! A process's session with the fleet, without I/O, and what it may believe to hold.
//!
//! All belief comes from one place: the answer to a renewal. It lists what the session held when the voters
//! agreed on that renewal, and it is good for the time to live *from when the renewal left*, shortened for
//! clocks that drift. A granted wish or a hint is only a reason to renew at once. So an answer that was held
//! up anywhere, or comes from a voter that lags, can make the belief shorter but never longer.

use crate::lease_table::{Grant, Op, Refusal, Reply};
use crate::mutant::{is_active, Mutant};
use crate::wire::{ClientRequest, ClientResponse};
use crate::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// The bound on how fast or slow any clock of the fleet runs, in percent.
pub const DRIFT_PERCENT: u32 = 10;
/// What isn't answered within this time is asked of another voter.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// A refused name is tried again after so long: the process that had it may have died.
const NAME_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Renewals under way that are remembered.
const MAX_UNANSWERED_RENEWALS: usize = 32;

/// The part of a time to live that a holder may believe in, if voters wait all of it: with clocks off by
/// [`DRIFT_PERCENT`], the holder's slow one and the voter's fast one.
pub fn safe_term(ttl: Duration) -> Duration {
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
    pub fn valid_until(&self) -> Duration {
        self.until
    }

    /// An effect inside the fleet: done only if the voters find the lease still held under this token.
    pub fn effect(&self, note: &str) -> Op {
        Op::Effect { lease: self.lease.clone(), token: self.token, note: note.to_owned() }
    }
}

/// What a process hears of its session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientEvent {
    /// The session is open.
    SessionOpened(SessionId),
    /// Another process has the name; it is tried again.
    NameTaken,
    /// A wish was answered. `Granted` alone gives no leave to act: [`Client::guard`] does.
    Answered(u64, Reply),
    /// It holds this from now on.
    LeaseAcquired(Grant),
    /// It no longer holds this.
    LeaseLost(Grant),
    /// It no longer stands in line for this, and doesn't hold it: a grant came and went unseen.
    GrantMissed(String),
    /// The session ended at the voters'; a new one is opened. Wishes that stood in line are gone.
    SessionEnded,
    /// To `List`, `Status`, `Watch` and `Change`; and who votes.
    Response(ClientResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOperation {
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
    is_connected: bool,
    closed: bool,
    /// Since when something has been waited for without an answer of any kind.
    waiting_since: Option<Duration>,
    voter_unavailable: bool,
    open_at: Duration,
    count: u64,
    answered: u64,
    unanswered_renewals: BTreeMap<u64, Duration>,
    /// When the last renewal that was answered left.
    valid_from: Duration,
    renew_at: Duration,
    held: BTreeMap<String, Grant>,
    /// Leases let go: believed in again only by a renewal that left after the letting go was answered.
    released: BTreeMap<String, Option<u64>>,
    /// Leases stood in line for, with the last renewal that had left when the line was joined.
    queued: BTreeMap<String, u64>,
    seq: u64,
    operations: std::collections::VecDeque<PendingOperation>,
    requests: Vec<ClientRequest>,
    events: Vec<ClientEvent>,
}

impl Client {
    /// A process of this name; `nonce` is drawn anew at each start.
    pub fn new(name: &str, nonce: u64, ttl: Duration) -> Client {
        Client {
            name: name.to_owned(),
            nonce,
            ttl,
            session: None,
            is_connected: false,
            closed: false,
            waiting_since: None,
            voter_unavailable: false,
            open_at: Duration::ZERO,
            count: 0,
            answered: 0,
            unanswered_renewals: BTreeMap::new(),
            valid_from: Duration::ZERO,
            renew_at: Duration::ZERO,
            held: BTreeMap::new(),
            released: BTreeMap::new(),
            queued: BTreeMap::new(),
            seq: 0,
            operations: std::collections::VecDeque::new(),
            requests: Vec::new(),
            events: Vec::new(),
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
        let until = self.valid_from + safe_term(Duration::from_millis(grant.ttl_ms).min(self.ttl));
        let (lease, token) = (grant.lease.clone(), grant.token);
        (now < until).then_some(Guard { lease, token, until })
    }

    /// Whether the last list named the lease, though there may be no leave to act now.
    pub fn in_last_renewal(&self, lease: &str) -> bool {
        self.held.contains_key(lease)
    }

    /// Leave to act under each lease that is held beyond doubt now.
    pub fn guards(&self, now: Duration) -> Vec<Guard> {
        self.held.keys().filter_map(|lease| self.guard(lease, now)).collect()
    }

    /// Wants something; the answer comes as [`ClientEvent::Answered`] with this number. What is let go is not
    /// believed in from this moment.
    pub fn request(&mut self, op: Op, now: Duration) -> u64 {
        if let Op::Release { lease } | Op::Abandon { lease } | Op::Transfer { lease, .. } = &op {
            self.held.remove(lease);
            self.released.insert(lease.clone(), None);
        }
        self.seq += 1;
        self.operations.push_back(PendingOperation { seq: self.seq, op, sent: now });
        if self.operations.len() == 1 {
            self.send_operation(now);
        }
        self.seq
    }

    /// Says that the session ends. Nothing is believed in from this moment, and no other session is opened.
    pub fn close(&mut self) {
        self.closed = true;
        self.held.clear();
        if let Some(session) = self.session.take() {
            self.requests.push(ClientRequest::CloseSession { session });
        }
    }

    /// A link to a voter is up.
    pub fn connected(&mut self, now: Duration) {
        (self.is_connected, self.waiting_since, self.voter_unavailable) = (true, None, false);
        match self.session {
            None => self.open(now),
            Some(_) => {
                self.renew(now);
                self.send_operation(now);
            }
        }
    }

    /// The link is down; another is to be found.
    pub fn disconnected(&mut self) {
        (self.is_connected, self.waiting_since) = (false, None);
    }

    /// Whether the driver should leave this voter for another: it says nothing, or cannot serve.
    pub fn should_switch_voter(&self, now: Duration) -> bool {
        !is_active(Mutant::NeverLeaves)
            && self.is_connected
            && (self.voter_unavailable
                || self.waiting_since.is_some_and(|since| now >= since + RESPONSE_TIMEOUT))
    }

    fn open(&mut self, now: Duration) {
        // Guards against a session that nobody is behind, left open by the very turn that closed the last one.
        if self.is_connected && !self.closed {
            let ttl_ms = self.ttl.as_millis() as u64;
            self.requests.push(ClientRequest::OpenSession {
                name: self.name.clone(),
                nonce: self.nonce,
                ttl_ms,
            });
            self.waiting_since.get_or_insert(now);
            self.open_at = now + RESPONSE_TIMEOUT;
        }
    }

    fn renew(&mut self, now: Duration) {
        let Some(session) = self.session.filter(|_| self.is_connected) else { return };
        self.count += 1;
        self.unanswered_renewals.insert(self.count, now);
        if self.unanswered_renewals.len() > MAX_UNANSWERED_RENEWALS {
            self.unanswered_renewals.pop_first();
        }
        self.requests.push(ClientRequest::RenewSession { session, count: self.count });
        self.waiting_since.get_or_insert(now);
        let shortest = self.held.values().map(|g| Duration::from_millis(g.ttl_ms)).min();
        self.renew_at = now + shortest.map_or(self.ttl, |s| s.min(self.ttl)) / 4;
    }

    fn send_operation(&mut self, now: Duration) {
        let Some(session) = self.session.filter(|_| self.is_connected) else { return };
        let Some(pending) = self.operations.front_mut() else { return };
        pending.sent = now;
        self.requests.push(ClientRequest::Operation { session, seq: pending.seq, op: pending.op.clone() });
        self.waiting_since.get_or_insert(now);
        // Behind it on the same link, so that one round brings the grant and the leave to act.
        if matches!(pending.op, Op::Acquire { .. }) {
            self.renew(now);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        if !self.is_connected {
            return;
        }
        match self.session {
            None if now >= self.open_at => self.open(now),
            Some(_) if now >= self.renew_at => self.renew(now),
            _ => {}
        }
        if self.operations.front().is_some_and(|w| now >= w.sent + RESPONSE_TIMEOUT) {
            self.send_operation(now);
        }
    }

    /// A voter says something.
    pub fn receive(&mut self, answer: ClientResponse, now: Duration) {
        match answer {
            ClientResponse::Unavailable => self.voter_unavailable = true,
            ClientResponse::SessionOpened { nonce, reply }
                if nonce == self.nonce && self.session.is_none() =>
            {
                self.waiting_since = None;
                match reply {
                    Reply::Opened { session } => {
                        self.session = Some(session);
                        self.answered = self.count;
                        self.unanswered_renewals.clear();
                        self.events.push(ClientEvent::SessionOpened(session));
                        self.renew(now);
                        self.send_operation(now);
                    }
                    _ => {
                        self.open_at = now + NAME_RETRY_INTERVAL;
                        self.events.push(ClientEvent::NameTaken);
                    }
                }
            }
            ClientResponse::SessionRenewed { session, count, reply } if Some(session) == self.session => {
                match reply {
                    Reply::Renewed { held, waiting, .. } => self.renewed(count, held, &waiting, now),
                    Reply::Refused(Refusal::NoSession) => self.session_ended(now),
                    _ => {}
                }
            }
            ClientResponse::Operation { session, seq, reply } if Some(session) == self.session => {
                if reply == Reply::Refused(Refusal::NoSession) {
                    return self.session_ended(now);
                }
                self.operation_answered(seq, reply, now);
            }
            ClientResponse::RenewHint { session } if Some(session) == self.session => self.renew(now),
            ClientResponse::List { .. }
            | ClientResponse::Status { .. }
            | ClientResponse::LeaseChanged { .. }
            | ClientResponse::MembershipChanged { .. }
            | ClientResponse::Voters(_) => {
                self.events.push(ClientEvent::Response(answer));
            }
            _ => {}
        }
    }

    fn renewed(&mut self, count: u64, held: Vec<Grant>, waiting: &[String], now: Duration) {
        // Guards against an older list on top of a newer one.
        let Some(sent) = self.unanswered_renewals.get(&count).copied().filter(|_| count > self.answered)
        else {
            return;
        };
        self.answered = count;
        self.unanswered_renewals.retain(|c, _| *c > count);
        let counted = if is_active(Mutant::CountedFromAnswer) { now } else { sent };
        self.valid_from = self.valid_from.max(counted);
        self.waiting_since = self.unanswered_renewals.values().next().copied();
        self.released.retain(|_, at| at.is_none_or(|at| count <= at));
        let queued = std::mem::take(&mut self.queued);
        for (lease, at) in queued {
            if count <= at || waiting.contains(&lease) {
                self.queued.insert(lease, at);
            } else if !held.iter().any(|g| g.lease == lease) {
                self.events.push(ClientEvent::GrantMissed(lease));
            }
        }
        let before = std::mem::take(&mut self.held);
        for grant in held
            .into_iter()
            .filter(|g| is_active(Mutant::BelievesReleased) || !self.released.contains_key(&g.lease))
        {
            self.held.insert(grant.lease.clone(), grant);
        }
        for (lease, grant) in &before {
            if self.held.get(lease) != Some(grant) {
                self.events.push(ClientEvent::LeaseLost(grant.clone()));
            }
        }
        let fresh: Vec<Grant> =
            self.held.values().filter(|g| before.get(&g.lease) != Some(g)).cloned().collect();
        for grant in fresh {
            // A grant with a shorter time to live than those before is renewed in its own time.
            self.renew_at = self.renew_at.min(now + Duration::from_millis(grant.ttl_ms) / 4);
            self.events.push(ClientEvent::LeaseAcquired(grant));
        }
    }

    fn operation_answered(&mut self, seq: u64, reply: Reply, now: Duration) {
        if self.operations.front().map(|w| w.seq) != Some(seq) {
            return;
        }
        let Some(pending) = self.operations.pop_front() else { return };
        self.waiting_since = self.unanswered_renewals.values().next().copied();
        match &pending.op {
            Op::Release { lease } | Op::Abandon { lease } | Op::Transfer { lease, .. } => {
                self.queued.remove(lease);
                self.released.insert(lease.clone(), Some(self.count));
            }
            // A grant, too, may have come and gone before its answer got here.
            Op::Acquire { lease, .. } if matches!(reply, Reply::Waiting | Reply::Granted(_)) => {
                self.queued.insert(lease.clone(), self.count);
            }
            _ => {}
        }
        if let Reply::Granted(grant) = &reply {
            if is_active(Mutant::GrantBelieved) {
                self.valid_from = now;
                self.held.insert(grant.lease.clone(), grant.clone());
            } else if self.held.get(&grant.lease) != Some(grant) {
                self.renew(now);
            }
        }
        self.events.push(ClientEvent::Answered(seq, reply));
        self.send_operation(now);
    }

    fn session_ended(&mut self, now: Duration) {
        self.session = None;
        for grant in std::mem::take(&mut self.held).into_values() {
            self.events.push(ClientEvent::LeaseLost(grant));
        }
        self.released.clear();
        self.queued.clear();
        self.waiting_since = None;
        self.events.push(ClientEvent::SessionEnded);
        self.open(now);
    }

    /// What is to be said to the voter.
    pub fn take_requests(&mut self) -> Vec<ClientRequest> {
        std::mem::take(&mut self.requests)
    }

    /// What happened.
    pub fn take_events(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.events)
    }
}

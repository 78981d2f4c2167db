//! The client side of a session, without I/O. It decides which leases the process may consider held.
//!
//! Only the response to a renewal confirms leases. It lists what the session held when the voters committed
//! that renewal, and is valid for the time to live counted *from when the renewal was sent*, reduced to allow
//! for clock drift. A granted operation or a hint merely triggers a renewal. A delayed response, or one from
//! a voter that lags behind, can therefore shorten the confirmed period but never extend it.

use crate::lease_table::{Grant, Op, Refusal, Reply};
use crate::mutant::{is_active, Mutant};
use crate::wire::{ClientRequest, ClientResponse};
use crate::{SessionId, Token};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum deviation of the rate of any clock in the fleet, in percent.
pub const DRIFT_PERCENT: u32 = 10;
/// A request without a response for this long is sent to another voter.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a refused session name is requested again, since the process that has it may have died.
const NAME_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of unanswered renewals whose send times are kept.
const MAX_UNANSWERED_RENEWALS: usize = 32;

/// Returns the part of a time to live during which a holder may act. The voters wait for all of it, so this
/// allows for a holder's clock that is slow and a voter's clock that is fast by [`DRIFT_PERCENT`].
pub fn safe_term(ttl: Duration) -> Duration {
    ttl * (100 - DRIFT_PERCENT) / (100 + DRIFT_PERCENT)
}

/// Permission to act under a lease. Code that acts takes a `Guard`, so that it cannot act without the token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    lease: String,
    token: Token,
    until: Duration,
}

impl Guard {
    /// HTTP header that passes the token to a target.
    pub const HEADER: &'static str = "X-Fence-Token";
    /// Environment variable that passes the token to a command.
    pub const VARIABLE: &'static str = "PASSRELAY_LEASE_TOKEN";

    /// Returns the name of the lease.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// Returns the fencing token. A target that remembers the highest token it has seen can reject all older
    /// ones.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns the time until which no other process can hold the lease, on the clock passed to the client.
    pub fn valid_until(&self) -> Duration {
        self.until
    }

    /// Builds an operation that records an effect if the voters find the lease still held under this token.
    pub fn effect(&self, note: &str) -> Op {
        Op::Effect { lease: self.lease.clone(), token: self.token, note: note.to_owned() }
    }
}

/// A change of a session that the client reports to its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientEvent {
    /// A session was opened.
    SessionOpened(SessionId),
    /// Another process uses the session name. The client keeps trying.
    NameTaken,
    /// The operation of this number was answered. `Granted` alone does not permit acting on the lease;
    /// [`Client::guard`] does.
    Answered(u64, Reply),
    /// A renewal confirmed this grant.
    LeaseAcquired(Grant),
    /// The grant is no longer held.
    LeaseLost(Grant),
    /// The session neither holds the lease nor waits for it any more: a grant came and ended unnoticed.
    GrantMissed(String),
    /// The voters ended the session. The client opens a new one. The places in lease queues are lost, while
    /// operations not yet answered are sent again under the new session.
    SessionEnded,
    /// A response to a `List`, `Status`, `Watch` or `ChangeMembership` request, or the current voters.
    Response(ClientResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOperation {
    seq: u64,
    op: Op,
    sent: Duration,
}

/// The client side of a process's session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    name: String,
    nonce: u64,
    ttl: Duration,
    session: Option<SessionId>,
    is_connected: bool,
    closed: bool,
    /// When the oldest request without any response was sent.
    waiting_since: Option<Duration>,
    voter_unavailable: bool,
    open_at: Duration,
    count: u64,
    answered: u64,
    unanswered_renewals: BTreeMap<u64, Duration>,
    /// When the last confirmed renewal was sent.
    valid_from: Duration,
    renew_at: Duration,
    held: BTreeMap<String, Grant>,
    /// Leases released by this process. A lease is confirmed again only by a renewal sent after the release
    /// was answered; the value is the last renewal sent before that answer, or `None` until it arrives.
    released: BTreeMap<String, Option<u64>>,
    /// Leases that the session waits for, with the last renewal sent before it joined the queue.
    queued: BTreeMap<String, u64>,
    seq: u64,
    operations: std::collections::VecDeque<PendingOperation>,
    requests: Vec<ClientRequest>,
    events: Vec<ClientEvent>,
}

impl Client {
    /// Creates a client for a process of this name. `nonce` is a random number chosen at each start.
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

    /// Returns the time to live of the session.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Returns the open session, if there is one.
    pub fn session(&self) -> Option<SessionId> {
        self.session
    }

    /// Returns permission to act under a lease, or `None` unless it is certain to be held now.
    pub fn guard(&self, lease: &str, now: Duration) -> Option<Guard> {
        let grant = self.held.get(lease)?;
        // An expiring session loses all its leases, so a guard must not outlive the session.
        let until = self.valid_from + safe_term(Duration::from_millis(grant.ttl_ms).min(self.ttl));
        let (lease, token) = (grant.lease.clone(), grant.token);
        (now < until).then_some(Guard { lease, token, until })
    }

    /// Whether the last confirmed renewal listed the lease, even if its guard has expired.
    pub fn in_last_renewal(&self, lease: &str) -> bool {
        self.held.contains_key(lease)
    }

    /// Returns guards for all leases that are certain to be held now.
    pub fn guards(&self, now: Duration) -> Vec<Guard> {
        self.held.keys().filter_map(|lease| self.guard(lease, now)).collect()
    }

    /// Queues an operation and returns its number; [`ClientEvent::Answered`] reports the reply. A lease to be
    /// released is no longer considered held from this moment.
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

    /// Closes the session for good. No lease is considered held from this moment.
    pub fn close(&mut self) {
        self.closed = true;
        self.held.clear();
        if let Some(session) = self.session.take() {
            self.requests.push(ClientRequest::CloseSession { session });
        }
    }

    /// Handles a new connection to a voter.
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

    /// Handles the loss of the connection. The driver has to connect to another voter.
    pub fn disconnected(&mut self) {
        (self.is_connected, self.waiting_since) = (false, None);
    }

    /// Whether the driver should connect to another voter because this one is unresponsive or unavailable.
    pub fn should_switch_voter(&self, now: Duration) -> bool {
        !is_active(Mutant::NeverLeaves)
            && self.is_connected
            && (self.voter_unavailable
                || self.waiting_since.is_some_and(|since| now >= since + RESPONSE_TIMEOUT))
    }

    fn open(&mut self, now: Duration) {
        // After `close`, no new session must be opened that no process uses.
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
        // The renewal follows on the same connection, so that one round trip brings both the grant and its
        // confirmation.
        if matches!(pending.op, Op::Acquire { .. }) {
            self.renew(now);
        }
    }

    /// Sends the renewals and retries that are due.
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

    /// Handles a response from a voter.
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
        // A late response must not replace the list of a newer renewal.
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
            // A grant with a shorter time to live than the others brings the next renewal forward.
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
            // The lease may have been granted and lost again before the reply arrived.
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

    /// Takes the requests to send to the voter.
    pub fn take_requests(&mut self) -> Vec<ClientRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.events)
    }
}

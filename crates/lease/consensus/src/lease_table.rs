//! The replicated state machine: sessions, leases and fencing tokens.
//!
//! The table reads no clock. The passing of time arrives as a log entry like any other
//! ([`Entry::ExpireSession`], [`Entry::ExpireLease`], [`Entry::Unlock`]). Each of these entries carries the
//! state that its proposer saw, and has no effect if that state has changed since, for example through a
//! renewal. It is therefore safe for any voter to propose them, late or more than once.

use crate::mutant::{is_active, Mutant};
use crate::{SessionId, Token, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum length of a lease or session name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of the note of an effect, in bytes.
pub const MAX_NOTE_BYTES: usize = 1024;
/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 4096;
/// Maximum number of leases that are held, waited for, locked, or kept because of their last effect.
pub const MAX_LEASES: usize = 65_536;
/// Maximum number of sessions that wait for one lease.
pub const MAX_WAITERS: usize = 1024;
/// Allowed range of a time to live, in milliseconds.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 500..=3_600_000;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Opens a session for a process under a name.
    OpenSession {
        /// The process name, unique among open sessions.
        name: String,
        /// Random number chosen at process start; tells processes of the same name apart.
        nonce: u64,
        /// The session expires after this long without a renewal.
        ttl_ms: u64,
    },
    /// Renews a session and all of its leases.
    RenewSession {
        /// The session to renew.
        session: SessionId,
        /// Number of the renewal; grows by one with each.
        count: u64,
    },
    /// Executes an operation for a session. A repeated entry with the same `seq` gets the first reply again.
    Operation {
        /// The session that sent the operation.
        session: SessionId,
        /// Number of the operation; grows by one with each new one.
        seq: u64,
        /// The operation to execute.
        op: Op,
    },
    /// Closes a session at its own request and frees its leases at once.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
    /// Ends a session that has not renewed within its time to live.
    ExpireSession {
        /// The session to expire.
        session: SessionId,
        /// Last renewal that the proposer had seen. A later renewal makes the entry a no-op.
        renewals: u64,
    },
    /// Ends a grant whose holder has not renewed within the time to live of the lease.
    ExpireLease {
        /// Name of the lease.
        lease: String,
        /// Token of the grant to end.
        token: Token,
        /// Last renewal of the holder that the proposer had seen. A later renewal makes the entry a no-op.
        renewals: u64,
    },
    /// Ends the lock delay that follows the expiry of a holder.
    Unlock {
        /// Name of the lease.
        lease: String,
        /// Token of the expired grant.
        token: Token,
    },
    /// Marks a position in the log for a linearizable read: the voter proposes it and reads its table once
    /// the entry is applied.
    ReadMarker {
        /// The voter that performs the read.
        voter: VoterId,
        /// Number that the voter assigned to this read.
        request_id: u64,
    },
}

/// An operation that a session can request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Acquires a lease, or joins its queue if it is taken and `wait` is set.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// The grant ends after this long without a renewal.
        ttl_ms: u64,
        /// Whether to join the queue if the lease is not free.
        wait: bool,
    },
    /// Releases a lease or leaves its queue.
    Release {
        /// Name of the lease.
        lease: String,
    },
    /// Releases a lease while work done under it may still be in flight, for example after its command was
    /// killed. The lock delay applies as if the holder had expired.
    Abandon {
        /// Name of the lease.
        lease: String,
    },
    /// Hands a lease to another session, bypassing the queue.
    Transfer {
        /// Name of the lease.
        lease: String,
        /// Name of the receiving session.
        to: String,
    },
    /// Takes a lease away without the consent of its holder. Renewals no longer extend the grant, and the
    /// lease passes on once the holder can no longer consider it valid.
    Evict {
        /// Name of the lease.
        lease: String,
    },
    /// Records an effect inside the fleet if the grant is still valid.
    Effect {
        /// Name of the lease.
        lease: String,
        /// Token of the grant under which the effect takes place.
        token: Token,
        /// Text to record, at most [`MAX_NOTE_BYTES`] long.
        note: String,
    },
}

/// Why an operation was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The session has ended or never existed.
    NoSession,
    /// Another process has an open session under this name.
    NameTaken,
    /// Another session holds the lease, or the lease is locked after its holder expired.
    Held {
        /// Name of the holder, or `None` while the lease is locked.
        by: Option<String>,
    },
    /// The session does not hold the lease, or no longer holds it under this token.
    NotHeld,
    /// No open session has this name.
    UnknownSession,
    /// A name is empty, too long or contains control characters, or a time to live or note is out of bounds.
    Invalid {
        /// Description of the invalid argument.
        problem: String,
    },
    /// A capacity limit of the table is reached.
    LimitReached,
    /// An operation or renewal with a later number has already been applied.
    Stale,
}

/// The result of an [`Entry`] that came from a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open.
    Opened {
        /// Identifier of the session.
        session: SessionId,
    },
    /// The renewal was accepted.
    Renewed {
        /// Number of the renewal.
        count: u64,
        /// Leases that the session held at the renewal.
        held: Vec<Grant>,
        /// Names of the leases in whose queues the session waits.
        waiting: Vec<String>,
    },
    /// The session holds the lease.
    Granted(Grant),
    /// The session waits in the queue of the lease.
    Waiting,
    /// The operation succeeded: released, abandoned, transferred, evicted or recorded.
    Done,
    /// The request was refused.
    Refused(Refusal),
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the lease.
    pub lease: String,
    /// Fencing token of the grant.
    pub token: Token,
    /// Time to live of the grant, in milliseconds.
    pub ttl_ms: u64,
}

/// The replicated state of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Name of the process that opened it.
    pub name: String,
    nonce: u64,
    /// Time to live of the session, in milliseconds.
    pub ttl_ms: u64,
    /// Number of the last renewal; 0 before the first.
    pub renewals: u64,
    last_reply: Option<(u64, Reply)>,
    /// Leases that the session holds, has been evicted from or waits for.
    leases: BTreeSet<String>,
}

/// The current holder of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Holder {
    /// No session holds the lease.
    Free,
    /// A session holds the lease.
    Held {
        /// The holding session.
        session: SessionId,
        /// Token of the grant.
        token: Token,
        /// Time to live of the grant, in milliseconds.
        ttl_ms: u64,
    },
    /// The holder has been evicted. Renewals no longer extend the grant, but the holder may consider it valid
    /// until its time to live ends.
    Evicted {
        /// The evicted session.
        session: SessionId,
        /// Token of the grant.
        token: Token,
        /// Time to live of the grant, in milliseconds.
        ttl_ms: u64,
    },
    /// The lock delay is running: the holder expired or abandoned the lease, and requests that it sent may
    /// still arrive.
    Locked {
        /// Token of the ended grant.
        token: Token,
    },
}

/// The replicated state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The current holder.
    pub holder: Holder,
    /// Waiting sessions in order of arrival, each with the time to live it requested.
    pub queue: VecDeque<(SessionId, u64)>,
    /// Token of the last recorded effect; 0 if there is none.
    pub last_effect: Token,
    /// Note of the last recorded effect.
    pub note: String,
}

impl Default for Lease {
    fn default() -> Self {
        Lease { holder: Holder::Free, queue: VecDeque::new(), last_effect: 0, note: String::new() }
    }
}

impl Lease {
    /// Whether nothing about the lease has to be kept.
    fn is_idle(&self) -> bool {
        self.holder == Holder::Free && self.queue.is_empty() && self.last_effect == 0
    }
}

/// A change made by an applied entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A session was opened.
    Opened(SessionId),
    /// A session was renewed.
    Renewed(SessionId),
    /// A session ended.
    Ended(SessionId),
    /// A lease was granted.
    Granted {
        /// The new holder.
        session: SessionId,
        /// The new grant.
        grant: Grant,
        /// Whether another session's entry caused the grant, so that no reply tells the holder of it.
        unsolicited: bool,
    },
    /// A holder was evicted. It may consider the grant valid until its time to live ends.
    Evicted {
        /// Name of the lease.
        lease: String,
        /// Token of the grant.
        token: Token,
    },
    /// The lock delay of a lease began.
    Locked {
        /// Name of the lease.
        lease: String,
        /// Token of the ended grant.
        token: Token,
    },
    /// A lease became free with nobody waiting for it.
    Freed(String),
}

/// The replicated table of sessions and leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    sessions: BTreeMap<SessionId, Session>,
    leases: BTreeMap<String, Lease>,
    last_session: SessionId,
    last_token: Token,
}

fn check_name(what: &str, name: &str) -> Option<Refusal> {
    let problem = match name {
        "" => "is empty",
        _ if name.len() > MAX_NAME_BYTES => "is longer than 128 bytes",
        _ if name.chars().any(char::is_control) => "holds a control character",
        _ => return None,
    };
    Some(Refusal::Invalid { problem: format!("the {what}'s name {problem}") })
}

fn check_ttl(ttl_ms: u64) -> Option<Refusal> {
    let problem = format!("a time to live of {ttl_ms} ms is not between 0.5 s and an hour");
    (!TTL_MS.contains(&ttl_ms)).then_some(Refusal::Invalid { problem })
}

impl LeaseTable {
    /// Returns the open sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// Returns the leases that are held, waited for, locked, or have a recorded effect.
    pub fn leases(&self) -> &BTreeMap<String, Lease> {
        &self.leases
    }

    /// Applies an entry. Returns the reply for the session that sent it, and the changes made.
    pub fn apply(&mut self, entry: &Entry) -> (Option<Reply>, Vec<Event>) {
        let mut events = Vec::new();
        let reply = match entry {
            Entry::OpenSession { name, nonce, ttl_ms } => {
                Some(self.open_session(name, *nonce, *ttl_ms, &mut events))
            }
            Entry::RenewSession { session, count } => Some(self.renew_session(*session, *count, &mut events)),
            Entry::Operation { session, seq, op } => Some(self.operation(*session, *seq, op, &mut events)),
            Entry::CloseSession { session } => {
                self.end_session(*session, false, &mut events);
                None
            }
            Entry::ExpireSession { session, renewals } => {
                let seen = |s: &Session| s.renewals == *renewals;
                if self.sessions.get(session).is_some_and(seen) {
                    self.end_session(*session, true, &mut events);
                }
                None
            }
            Entry::ExpireLease { lease, token, renewals } => {
                let over = match self.leases.get(lease).map(|l| l.holder) {
                    Some(Holder::Held { session, token: held, .. }) => {
                        held == *token && self.sessions.get(&session).is_some_and(|s| s.renewals == *renewals)
                    }
                    Some(Holder::Evicted { token: held, .. }) => held == *token,
                    _ => false,
                };
                if over {
                    self.end_grant(lease, true, &mut events);
                }
                None
            }
            Entry::Unlock { lease, token } => {
                let locked = Holder::Locked { token: *token };
                if let Some(known) = self.leases.get_mut(lease).filter(|l| l.holder == locked) {
                    known.holder = Holder::Free;
                    self.grant_to_next(lease, &mut events);
                }
                None
            }
            Entry::ReadMarker { .. } => None,
        };
        (reply, events)
    }

    fn open_session(&mut self, name: &str, nonce: u64, ttl_ms: u64, events: &mut Vec<Event>) -> Reply {
        if let Some(refusal) = check_name("session", name).or_else(|| check_ttl(ttl_ms)) {
            return Reply::Refused(refusal);
        }
        if let Some((&session, known)) = self.sessions.iter().find(|(_, s)| s.name == name) {
            // A process that missed the first reply gets it again. Refusing other processes keeps two of them
            // from holding the same leases under one name.
            return match known.nonce == nonce {
                true => Reply::Opened { session },
                false => Reply::Refused(Refusal::NameTaken),
            };
        }
        if self.sessions.len() >= MAX_SESSIONS {
            return Reply::Refused(Refusal::LimitReached);
        }
        self.last_session += 1;
        let session = Session {
            name: name.to_owned(),
            nonce,
            ttl_ms,
            renewals: 0,
            last_reply: None,
            leases: BTreeSet::new(),
        };
        self.sessions.insert(self.last_session, session);
        events.push(Event::Opened(self.last_session));
        Reply::Opened { session: self.last_session }
    }

    fn renew_session(&mut self, session: SessionId, count: u64, events: &mut Vec<Event>) -> Reply {
        let Some(known) = self.sessions.get_mut(&session) else {
            return Reply::Refused(Refusal::NoSession);
        };
        if count <= known.renewals {
            return Reply::Refused(Refusal::Stale);
        }
        known.renewals = count;
        events.push(Event::Renewed(session));
        Reply::Renewed { count, held: self.held_by(session), waiting: self.awaited_by(session) }
    }

    /// Returns the leases in whose queues the session waits.
    fn awaited_by(&self, session: SessionId) -> Vec<String> {
        let Some(known) = self.sessions.get(&session) else { return Vec::new() };
        let waits = |name: &&String| {
            self.leases.get(*name).is_some_and(|l| l.queue.iter().any(|(s, _)| *s == session))
        };
        known.leases.iter().filter(waits).cloned().collect()
    }

    /// Returns the leases that the session holds.
    pub fn held_by(&self, session: SessionId) -> Vec<Grant> {
        let held = |name: &String| match self.leases.get(name)?.holder {
            Holder::Held { session: by, token, ttl_ms } if by == session => {
                Some(Grant { lease: name.clone(), token, ttl_ms })
            }
            _ => None,
        };
        self.sessions.get(&session).map(|s| s.leases.iter().filter_map(held).collect()).unwrap_or_default()
    }

    fn operation(&mut self, session: SessionId, seq: u64, op: &Op, events: &mut Vec<Event>) -> Reply {
        let Some(known) = self.sessions.get(&session) else { return Reply::Refused(Refusal::NoSession) };
        // A delayed duplicate must not be executed again after the operation that undid it.
        match &known.last_reply {
            Some((last, reply)) if *last == seq => return reply.clone(),
            Some((last, _)) if *last > seq => return Reply::Refused(Refusal::Stale),
            _ => {}
        }
        let reply = self.execute(session, op, events).unwrap_or_else(Reply::Refused);
        if let Some(known) = self.sessions.get_mut(&session) {
            known.last_reply = Some((seq, reply.clone()));
        }
        reply
    }

    fn execute(&mut self, session: SessionId, op: &Op, events: &mut Vec<Event>) -> Result<Reply, Refusal> {
        match op {
            Op::Acquire { lease, ttl_ms, wait } => self.acquire(session, lease, *ttl_ms, *wait, events),
            Op::Release { lease } | Op::Abandon { lease } => {
                let known = self.leases.get_mut(lease).ok_or(Refusal::NotHeld)?;
                let waiting = known.queue.len();
                known.queue.retain(|(s, _)| *s != session);
                let left = known.queue.len() < waiting;
                match known.holder {
                    Holder::Held { session: by, .. } | Holder::Evicted { session: by, .. }
                        if by == session =>
                    {
                        self.end_grant(lease, matches!(op, Op::Abandon { .. }), events);
                    }
                    _ if left => self.remove_if_idle(lease),
                    _ => return Err(Refusal::NotHeld),
                }
                self.remove_lease(session, lease);
                Ok(Reply::Done)
            }
            Op::Transfer { lease, to } => {
                let other = self.sessions.iter().find(|(_, s)| s.name == *to).map(|(id, _)| *id);
                let ttl_ms = match self.leases.get(lease).map(|l| l.holder) {
                    Some(Holder::Held { session: by, ttl_ms, .. }) if by == session => ttl_ms,
                    _ => return Err(Refusal::NotHeld),
                };
                let other = other.ok_or(Refusal::UnknownSession)?;
                if let Some(known) = self.leases.get_mut(lease) {
                    known.queue.retain(|(s, _)| *s != other);
                }
                self.remove_lease(session, lease);
                self.grant(lease, other, ttl_ms, true, events);
                Ok(Reply::Done)
            }
            Op::Evict { lease } => {
                let known = self.leases.get_mut(lease).ok_or(Refusal::NotHeld)?;
                let Holder::Held { session, token, ttl_ms } = known.holder else {
                    return Err(Refusal::NotHeld);
                };
                known.holder = Holder::Evicted { session, token, ttl_ms };
                events.push(Event::Evicted { lease: lease.clone(), token });
                Ok(Reply::Done)
            }
            Op::Effect { lease, token, note } => {
                if note.len() > MAX_NOTE_BYTES {
                    return Err(Refusal::Invalid {
                        problem: "the note is longer than 1024 bytes".to_owned(),
                    });
                }
                let known = self.leases.get_mut(lease).ok_or(Refusal::NotHeld)?;
                match known.holder {
                    Holder::Held { session: by, token: held, .. }
                        if (by == session && held == *token) || is_active(Mutant::TokenUnchecked) =>
                    {
                        (known.last_effect, known.note) = (*token, note.clone());
                        Ok(Reply::Done)
                    }
                    _ => Err(Refusal::NotHeld),
                }
            }
        }
    }

    fn acquire(
        &mut self,
        session: SessionId,
        lease: &str,
        ttl_ms: u64,
        wait: bool,
        events: &mut Vec<Event>,
    ) -> Result<Reply, Refusal> {
        if let Some(refusal) = check_name("lease", lease).or_else(|| check_ttl(ttl_ms)) {
            return Err(refusal);
        }
        if self.leases.len() >= MAX_LEASES && !self.leases.contains_key(lease) {
            return Err(Refusal::LimitReached);
        }
        let known = self.leases.entry(lease.to_owned()).or_default();
        match known.holder {
            Holder::Free => Ok(Reply::Granted(self.grant(lease, session, ttl_ms, false, events))),
            Holder::Held { session: by, token, ttl_ms } if by == session => {
                Ok(Reply::Granted(Grant { lease: lease.to_owned(), token, ttl_ms }))
            }
            _ if wait && known.queue.iter().any(|(s, _)| *s == session) => Ok(Reply::Waiting),
            _ if wait && known.queue.len() >= MAX_WAITERS => Err(Refusal::LimitReached),
            _ if wait => {
                known.queue.push_back((session, ttl_ms));
                self.add_lease(session, lease);
                Ok(Reply::Waiting)
            }
            Holder::Held { session: by, .. } | Holder::Evicted { session: by, .. } => {
                Err(Refusal::Held { by: self.sessions.get(&by).map(|s| s.name.clone()) })
            }
            Holder::Locked { .. } => Err(Refusal::Held { by: None }),
        }
    }

    /// Grants a lease to a session under a new token.
    fn grant(
        &mut self,
        lease: &str,
        session: SessionId,
        ttl_ms: u64,
        unsolicited: bool,
        events: &mut Vec<Event>,
    ) -> Grant {
        self.last_token += 1;
        let token = self.last_token;
        let known = self.leases.entry(lease.to_owned()).or_default();
        known.holder = Holder::Held { session, token, ttl_ms };
        self.add_lease(session, lease);
        let grant = Grant { lease: lease.to_owned(), token, ttl_ms };
        events.push(Event::Granted { session, grant: grant.clone(), unsolicited });
        grant
    }

    fn add_lease(&mut self, session: SessionId, lease: &str) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.leases.insert(lease.to_owned());
        }
    }

    fn remove_lease(&mut self, session: SessionId, lease: &str) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.leases.remove(lease);
        }
    }

    /// Ends the current grant. After an expiry or abandonment the lease is locked, otherwise it goes to the
    /// next session in the queue.
    fn end_grant(&mut self, lease: &str, vanished: bool, events: &mut Vec<Event>) {
        let Some(known) = self.leases.get_mut(lease) else { return };
        let (Holder::Held { token, session, .. } | Holder::Evicted { token, session, .. }) = known.holder
        else {
            return;
        };
        let waits = known.queue.iter().any(|(s, _)| *s == session);
        if !waits {
            self.remove_lease(session, lease);
        }
        let Some(known) = self.leases.get_mut(lease) else { return };
        if vanished && !is_active(Mutant::NoLockDelay) {
            known.holder = Holder::Locked { token };
            events.push(Event::Locked { lease: lease.to_owned(), token });
        } else {
            known.holder = Holder::Free;
            self.grant_to_next(lease, events);
        }
    }

    fn grant_to_next(&mut self, lease: &str, events: &mut Vec<Event>) {
        let Some(known) = self.leases.get_mut(lease) else { return };
        match known.queue.pop_front() {
            Some((session, ttl_ms)) => {
                self.grant(lease, session, ttl_ms, true, events);
            }
            None => {
                events.push(Event::Freed(lease.to_owned()));
                self.remove_if_idle(lease);
            }
        }
    }

    /// Removes a lease about which nothing has to be kept.
    fn remove_if_idle(&mut self, lease: &str) {
        if self.leases.get(lease).is_some_and(Lease::is_idle) {
            self.leases.remove(lease);
        }
    }

    /// Ends a session: removes it from every queue and ends all of its grants.
    fn end_session(&mut self, session: SessionId, vanished: bool, events: &mut Vec<Event>) {
        let Some(ended) = self.sessions.remove(&session) else { return };
        events.push(Event::Ended(session));
        for name in &ended.leases {
            let Some(lease) = self.leases.get_mut(name) else { continue };
            lease.queue.retain(|(s, _)| *s != session);
            match lease.holder {
                Holder::Held { session: by, .. } | Holder::Evicted { session: by, .. } if by == session => {
                    if is_active(Mutant::ExpiryForgets) && vanished {
                        continue;
                    }
                    self.end_grant(name, vanished, events);
                }
                _ => self.remove_if_idle(name),
            }
        }
    }
}

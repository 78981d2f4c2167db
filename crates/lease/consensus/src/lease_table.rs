//! Sessions, leases and tokens: what the voters agree on.
//!
//! The table reads no clock. That time has passed comes in as an entry like any other ([`Entry::ExpireSession`],
//! [`Entry::ExpireLease`], [`Entry::Unlock`]), and each of them names what its proposer had seen: if anything
//! happened since, a renewal above all, the entry changes nothing. So it doesn't matter who proposes it, how
//! late it comes, or how often.

use crate::mutant::{is_active, Mutant};
use crate::{SessionId, Token, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most bytes of a name, of a lease or a session.
pub const MAX_NAME_BYTES: usize = 128;
/// Most bytes of an effect's note.
pub const MAX_NOTE_BYTES: usize = 1024;
/// Most sessions at a time.
pub const MAX_SESSIONS: usize = 4096;
/// Most leases that are held, waited for, locked or remembered for their last effect.
pub const MAX_LEASES: usize = 65_536;
/// Most that wait for one lease.
pub const MAX_WAITERS: usize = 1024;
/// The shortest and the longest time to live, in ms.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 500..=3_600_000;

/// One thing that the voters agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A process begins a session under a name. `nonce` tells one process from another.
    OpenSession {
        /// The process's name.
        name: String,
        /// Drawn by the process at its start.
        nonce: u64,
        /// A session that falls silent for so long ends.
        ttl_ms: u64,
    },
    /// The session is alive, with all of its leases. `count` grows by one with each renewal.
    RenewSession {
        /// Whose.
        session: SessionId,
        /// The renewal's number.
        count: u64,
    },
    /// A session wants something. `seq` grows by one with each new wish; the same again is answered as the
    /// first time.
    Operation {
        /// Whose.
        session: SessionId,
        /// The wish's number.
        seq: u64,
        /// The wish.
        op: Op,
    },
    /// The session ends of its own will: its leases are free at once.
    CloseSession {
        /// Whose.
        session: SessionId,
    },
    /// The session has not renewed for its time to live since this renewal was seen.
    ExpireSession {
        /// Whose.
        session: SessionId,
        /// Its last renewal that the proposer had seen.
        renewals: u64,
    },
    /// The holder of a lease has not renewed for the lease's time to live.
    ExpireLease {
        /// The lease.
        lease: String,
        /// The grant that is to end.
        token: Token,
        /// The holder's last renewal that the proposer had seen.
        renewals: u64,
    },
    /// The lock delay after a holder that vanished is over.
    Unlock {
        /// The lease.
        lease: String,
        /// The grant whose holder vanished.
        token: Token,
    },
    /// Nothing but a mark in the order of things: a voter that wants to read what is true now proposes it
    /// and reads when it comes by.
    ReadMarker {
        /// The voter that reads.
        voter: VoterId,
        /// Its number for this read.
        request_id: u64,
    },
}

/// What a session may want.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// To hold a lease; to stand in line for it where `wait` says so.
    Acquire {
        /// The lease.
        lease: String,
        /// The grant ends when its holder has not renewed for so long.
        ttl_ms: u64,
        /// Stand in line if it isn't free.
        wait: bool,
    },
    /// To let a lease go, or to leave its line.
    Release {
        /// The lease.
        lease: String,
    },
    /// To let a lease go though what was done under it may still be on its way, as after a command that was
    /// killed: the lock delay comes first, as after a holder that vanished.
    Abandon {
        /// The lease.
        lease: String,
    },
    /// To hand a lease on to the session of this name, past the line.
    Transfer {
        /// The lease.
        lease: String,
        /// The name of the session that gets it.
        to: String,
    },
    /// To take a lease from whoever holds it, without its consent: renewals no longer count for it, and it
    /// goes on when the holder's last belief is over.
    Evict {
        /// The lease.
        lease: String,
    },
    /// To have an effect noted under a grant: the check of effects that take place inside the fleet.
    Effect {
        /// The lease.
        lease: String,
        /// The grant.
        token: Token,
        /// What is noted.
        note: String,
    },
}

/// Why a wish was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The session ended, or never was.
    NoSession,
    /// A session of this name lives, of another process.
    NameTaken,
    /// Another session holds the lease, or it is locked after a holder that vanished.
    Held {
        /// The holder's name; none while locked.
        by: Option<String>,
    },
    /// The asker does not hold the lease, or no longer under this token.
    NotHeld,
    /// No session of this name is alive.
    UnknownSession,
    /// A name is empty, too long or holds control characters, a time to live or a note is out of bounds.
    Invalid {
        /// What is wrong.
        problem: String,
    },
    /// A bound of the table is reached.
    LimitReached,
    /// An older wish than one already answered.
    Stale,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open.
    Opened {
        /// Its number.
        session: SessionId,
    },
    /// The renewal counts; these are the session's leases and grants.
    Renewed {
        /// The renewal's number.
        count: u64,
        /// Leases that the session holds, with token and time to live.
        held: Vec<Grant>,
        /// Leases that it stands in line for.
        waiting: Vec<String>,
    },
    /// The lease is the asker's.
    Granted(Grant),
    /// The asker stands in line.
    Waiting,
    /// Done: released, transferred or noted.
    Done,
    /// Refused.
    Refused(Refusal),
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: String,
    /// The grant's number.
    pub token: Token,
    /// Its time to live.
    pub ttl_ms: u64,
}

/// A session as the voters know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The process's name.
    pub name: String,
    nonce: u64,
    /// Its time to live.
    pub ttl_ms: u64,
    /// Its last renewal.
    pub renewals: u64,
    last_reply: Option<(u64, Reply)>,
    /// The leases that it holds, is to lose or stands in line for.
    leases: BTreeSet<String>,
}

/// Who has a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Holder {
    /// Nobody.
    Free,
    /// A session.
    Held {
        /// Whose.
        session: SessionId,
        /// The grant's number.
        token: Token,
        /// The grant's time to live.
        ttl_ms: u64,
    },
    /// A session that is to lose it: it no longer renews, and may believe until its time to live is over.
    Evicted {
        /// Whose.
        session: SessionId,
        /// The grant's number.
        token: Token,
        /// The grant's time to live.
        ttl_ms: u64,
    },
    /// Nobody yet: the holder vanished, and what it had sent out may still arrive.
    Locked {
        /// The grant whose holder vanished.
        token: Token,
    },
}

/// A lease as the voters know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who has it.
    pub holder: Holder,
    /// Who stands in line, with the time to live each asked for, in order of asking.
    pub queue: VecDeque<(SessionId, u64)>,
    /// The token of the last effect that was noted.
    pub last_effect: Token,
    /// What was noted last.
    pub note: String,
}

impl Default for Lease {
    fn default() -> Self {
        Lease { holder: Holder::Free, queue: VecDeque::new(), last_effect: 0, note: String::new() }
    }
}

impl Lease {
    /// Nothing worth remembering.
    fn is_idle(&self) -> bool {
        self.holder == Holder::Free && self.queue.is_empty() && self.last_effect == 0
    }
}

/// What an entry brought about, for those who watch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A session began.
    Opened(SessionId),
    /// A session renewed.
    Renewed(SessionId),
    /// A session ended.
    Ended(SessionId),
    /// A lease was granted.
    Granted {
        /// To whom.
        session: SessionId,
        /// What.
        grant: Grant,
        /// By an entry of another session, so that nobody's answer says it.
        unsolicited: bool,
    },
    /// A lease was taken from its holder, who may believe in it for its time to live.
    Evicted {
        /// The lease.
        lease: String,
        /// The grant.
        token: Token,
    },
    /// A lease's holder vanished; the lock delay begins.
    Locked {
        /// The lease.
        lease: String,
        /// The grant.
        token: Token,
    },
    /// A lease has no holder and nobody in line.
    Freed(String),
}

/// What the voters agree on.
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
    /// All sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// All leases that are held, waited for, locked, or under which an effect was noted.
    pub fn leases(&self) -> &BTreeMap<String, Lease> {
        &self.leases
    }

    /// Takes in one entry. Gives the answer for the session it came from, and what it brought about.
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
            // The same process again, which missed the first answer, gets it again. Guards against two
            // processes under one name holding the same leases.
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

    /// The leases that a session stands in line for.
    fn awaited_by(&self, session: SessionId) -> Vec<String> {
        let Some(known) = self.sessions.get(&session) else { return Vec::new() };
        let waits = |name: &&String| {
            self.leases.get(*name).is_some_and(|l| l.queue.iter().any(|(s, _)| *s == session))
        };
        known.leases.iter().filter(waits).cloned().collect()
    }

    /// The leases that a session holds.
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
        // Guards against a wish that was held up on its way and arrives again behind its own undoing.
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

    /// Makes a session the holder, under a new token.
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

    /// Takes a lease from its holder: locked where the holder vanished, else to the next in line.
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

    /// Drops a lease of which nothing is worth remembering.
    fn remove_if_idle(&mut self, lease: &str) {
        if self.leases.get(lease).is_some_and(Lease::is_idle) {
            self.leases.remove(lease);
        }
    }

    /// Ends a session: it leaves every line, and every lease it holds goes on.
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

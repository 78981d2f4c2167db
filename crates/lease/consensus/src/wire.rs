//! What goes between the processes of a fleet: frames of a length, a checksum, a version, the fleet's
//! identity and a message. A frame that is foreign, of another version, garbled or too long is told apart by
//! name, so that it can be counted; none of them changes anything.

use crate::lease_table::{Event, Holder, Op, Refusal, Reply};
use crate::membership::{Change, NoChange};
use crate::{SessionId, Token, VoterId};
use serde::{Deserialize, Serialize};

/// The version of the frames.
pub const VERSION: u8 = 2;
/// No frame is longer.
pub const MOST_FRAME: usize = 16 << 20;
/// Length, checksum, version, fleet.
pub const FRAME_HEAD: usize = 4 + 4 + 1 + 8;

/// What a process of the fleet says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A voter that called says who it is. Always the first.
    Hello {
        /// Its number.
        voter: VoterId,
        /// Its disk's identity.
        disk: u64,
        /// How many writes its disk has taken.
        mark: u64,
        /// Drawn at its start.
        life: u64,
        /// It knows of no voters yet.
        joins: bool,
        /// Where it listens, if it was added.
        address: Option<String>,
    },
    /// The voter that was called knows the caller, or takes it in.
    Welcome,
    /// The voter that was called doesn't let the caller vote, and why.
    Unwelcome {
        /// The reason, for people.
        reason: String,
    },
    /// Of other voters: how many writes their disks had taken, in which life.
    Marks(Vec<(VoterId, u64, u64)>),
    /// A voter's message of the consensus, sent when this many writes were lasting on its disk.
    Vote {
        /// Writes that the sender's disk had taken.
        mark: u64,
        /// The message, in the library's own form.
        message: Vec<u8>,
    },
    /// A client says something.
    Client(Say),
    /// A voter answers a client.
    Answer(Answer),
}

/// What a client says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Say {
    /// It wants a session.
    Open {
        /// The process's name.
        name: String,
        /// Drawn at its start.
        nonce: u64,
        /// Time to live of the session.
        ttl_ms: u64,
    },
    /// It is alive.
    Renew {
        /// Its session.
        session: SessionId,
        /// The renewal's number.
        count: u64,
    },
    /// It wants something.
    Ask {
        /// Its session.
        session: SessionId,
        /// The wish's number.
        seq: u64,
        /// The wish.
        op: Op,
    },
    /// It goes.
    Close {
        /// Its session.
        session: SessionId,
    },
    /// It wants to know all leases and sessions.
    List {
        /// Its number for the question.
        ticket: u64,
    },
    /// It wants to know how this voter is.
    Status {
        /// Its number for the question.
        ticket: u64,
    },
    /// It wants to hear of every change of a lease from now on.
    Watch,
    /// It wants another voter, or one less.
    Change {
        /// Its number for the wish.
        ticket: u64,
        /// The wish.
        change: Change,
    },
}

/// What a voter says to a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// To `Open`.
    Open {
        /// As asked.
        nonce: u64,
        /// The answer.
        reply: Reply,
    },
    /// To `Renew`.
    Renew {
        /// As asked.
        session: SessionId,
        /// As asked.
        count: u64,
        /// The answer.
        reply: Reply,
    },
    /// To `Ask`.
    Ask {
        /// As asked.
        session: SessionId,
        /// As asked.
        seq: u64,
        /// The answer.
        reply: Reply,
    },
    /// A lease came to a session that stood in line, or was handed to it.
    Hint {
        /// Whose.
        session: SessionId,
    },
    /// To `List`.
    List {
        /// As asked.
        ticket: u64,
        /// Of each lease: name, state, holder's name, token, how many wait, last effect's token.
        leases: Vec<LeaseRow>,
        /// Of each session: number, name, leases held.
        sessions: Vec<(SessionId, String, usize)>,
    },
    /// To `Status`.
    Status {
        /// As asked.
        ticket: u64,
        /// The voter's figures.
        status: Status,
    },
    /// After `Watch`: a lease changed.
    Change {
        /// How it is now; `free` where the voters have nothing more to remember of it.
        lease: LeaseRow,
    },
    /// The voters, with the address of each that was added: at the start of a session, and after each change.
    Voters(Vec<(VoterId, Option<String>)>),
    /// To `Change`.
    Changed {
        /// As asked.
        ticket: u64,
        /// Refused, and why.
        outcome: Result<(), NoChange>,
    },
    /// The voter cannot serve now; another may.
    NotNow,
}

/// A lease as people see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The lease.
    pub lease: String,
    /// `held`, `leaving`, `locked` or `free`.
    pub state: String,
    /// The holder's name.
    pub holder: Option<String>,
    /// The grant's number.
    pub token: Token,
    /// The grant's time to live.
    pub ttl_ms: u64,
    /// How many stand in line.
    pub waiting: usize,
    /// Token of the last effect noted.
    pub effect: Token,
}

/// A voter as people see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub voter: VoterId,
    /// `voting`, `not admitted` with a reason, or `no disk` with a reason.
    pub state: String,
    /// Whom it takes for the leader.
    pub leader: Option<VoterId>,
    /// Its disk's identity.
    pub disk: u64,
    /// The voters that it knows, with the address of each that was added.
    pub voters: Vec<(VoterId, Option<String>)>,
    /// Voters that it has a link to now.
    pub linked: Vec<VoterId>,
    /// Entries agreed on that it took in.
    pub applied: u64,
    /// Sessions.
    pub sessions: usize,
    /// Leases.
    pub leases: usize,
    /// Clients connected to it.
    pub clients: usize,
    /// Links that it closed for what came on them, by what was wrong: `too long`, `garbled`, `version`, `foreign`.
    pub refused: Vec<(String, u64)>,
}

/// What is wrong with bytes that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bad {
    /// The length is over [`MOST_FRAME`].
    TooLong,
    /// The checksum doesn't fit, or the message can't be read.
    Garbled,
    /// Another version.
    Version,
    /// Another fleet.
    Foreign,
}

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Bad::TooLong => "too long",
            Bad::Garbled => "garbled",
            Bad::Version => "version",
            Bad::Foreign => "foreign",
        })
    }
}

/// The number that a fleet's name stands for in frames.
pub fn fleet_number(name: &str) -> u64 {
    u64::from(crc32fast::hash(name.as_bytes())) << 32 | name.len() as u64
}

/// A frame as bytes.
pub fn encode(fleet: u64, frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; FRAME_HEAD];
    bytes[8] = VERSION;
    bytes[9..FRAME_HEAD].copy_from_slice(&fleet.to_le_bytes());
    let mut bytes = postcard::to_extend(frame, bytes).expect("a frame is plain data");
    let length = (bytes.len() - 8) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let sum = crc32fast::hash(&bytes[8..]);
    bytes[4..8].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// The first frame of these bytes and how many bytes it took; `None` if it is not whole yet.
///
/// # Errors
///
/// Says what is wrong; the connection is of no further use, since nobody knows where the next frame begins.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Option<(Frame, usize)>, Bad> {
    let Some(head) = bytes.get(..8) else { return Ok(None) };
    let number = |at: usize| u32::from_le_bytes(head[at..at + 4].try_into().expect("four bytes"));
    let (length, sum) = (number(0) as usize, number(4));
    if length > MOST_FRAME {
        return Err(Bad::TooLong);
    }
    let Some(body) = bytes.get(8..8 + length) else { return Ok(None) };
    if length < FRAME_HEAD - 8 || crc32fast::hash(body) != sum {
        return Err(Bad::Garbled);
    }
    if body[0] != VERSION {
        return Err(Bad::Version);
    }
    if body[1..9] != fleet.to_le_bytes() {
        return Err(Bad::Foreign);
    }
    let frame = postcard::from_bytes(&body[9..]).map_err(|_| Bad::Garbled)?;
    Ok(Some((frame, 8 + length)))
}

impl LeaseRow {
    /// A lease as people see it.
    pub fn of(table: &crate::lease_table::LeaseTable, name: &str) -> LeaseRow {
        let lease = table.leases().get(name).cloned().unwrap_or_default();
        let (state, holder, token, ttl_ms) = match lease.holder {
            Holder::Free => ("free", None, 0, 0),
            Holder::Held { session, token, ttl_ms } => ("held", Some(session), token, ttl_ms),
            Holder::Leaving { session, token, ttl_ms } => ("leaving", Some(session), token, ttl_ms),
            Holder::Locked { token } => ("locked", None, token, 0),
        };
        LeaseRow {
            lease: name.to_owned(),
            state: state.to_owned(),
            holder: holder.and_then(|s| table.sessions().get(&s)).map(|s| s.name.clone()),
            token,
            ttl_ms,
            waiting: lease.line.len(),
            effect: lease.effect,
        }
    }

    /// The lease that an event is about.
    pub fn changed(event: &Event) -> Option<&str> {
        match event {
            Event::Granted { grant, .. } => Some(&grant.lease),
            Event::Evicted { lease, .. } | Event::Locked { lease, .. } | Event::Freed(lease) => Some(lease),
            Event::Opened(_) | Event::Renewed(_) | Event::Ended(_) => None,
        }
    }
}

/// A refusal in words.
impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoSession => write!(f, "the session has ended"),
            Refusal::NameTaken => write!(f, "another process has a session under this name"),
            Refusal::Held { by: Some(name) } => write!(f, "held by {name}"),
            Refusal::Held { by: None } => write!(f, "locked: its holder vanished a moment ago"),
            Refusal::NotHeld => write!(f, "not held"),
            Refusal::NoSuchName => write!(f, "no session of this name"),
            Refusal::BadWish { problem } => write!(f, "{problem}"),
            Refusal::TooMany => write!(f, "the fleet holds as many as it can"),
            Refusal::Stale => write!(f, "overtaken by a later one"),
        }
    }
}

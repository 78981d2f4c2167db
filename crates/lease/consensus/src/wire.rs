//! What goes between the processes of a fleet: frames of a length, a checksum, a version, the fleet's
//! identity and a message. A frame that is foreign, of another version, garbled or too long is told apart by
//! name, so that it can be counted; none of them changes anything.

use crate::lease_table::{Event, Holder, Op, Refusal, Reply};
use crate::membership::{MembershipChange, MembershipError};
use crate::{SessionId, Token, VoterId};
use serde::{Deserialize, Serialize};

/// The version of the frames.
pub const PROTOCOL_VERSION: u8 = 2;
/// No frame is longer.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Length, checksum, version, fleet.
pub const FRAME_HEADER_BYTES: usize = 4 + 4 + 1 + 8;

/// What a process of the fleet says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A voter that called says who it is. Always the first.
    Hello {
        /// Its number.
        voter: VoterId,
        /// Its disk's identity.
        disk_id: u64,
        /// How many writes its disk has taken.
        write_count: u64,
        /// Drawn at its start.
        incarnation: u64,
        /// It knows of no voters yet.
        joining: bool,
        /// Where it listens, if it was added.
        address: Option<String>,
    },
    /// The voter that was called knows the caller, or takes it in.
    HelloAccepted,
    /// The voter that was called doesn't let the caller vote, and why.
    HelloRejected {
        /// The reason, for people.
        reason: String,
    },
    /// Of other voters: how many writes their disks had taken, in which life.
    WriteCounts(Vec<(VoterId, u64, u64)>),
    /// A voter's message of the consensus, sent when this many writes were lasting on its disk.
    Consensus {
        /// Writes that the sender's disk had taken.
        write_count: u64,
        /// The message, in the library's own form.
        message: Vec<u8>,
    },
    /// A client says something.
    Request(ClientRequest),
    /// A voter answers a client.
    Response(ClientResponse),
}

/// What a client says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClientRequest {
    /// It wants a session.
    OpenSession {
        /// The process's name.
        name: String,
        /// Drawn at its start.
        nonce: u64,
        /// Time to live of the session.
        ttl_ms: u64,
    },
    /// It is alive.
    RenewSession {
        /// Its session.
        session: SessionId,
        /// The renewal's number.
        count: u64,
    },
    /// It wants something.
    Operation {
        /// Its session.
        session: SessionId,
        /// The wish's number.
        seq: u64,
        /// The wish.
        op: Op,
    },
    /// It goes.
    CloseSession {
        /// Its session.
        session: SessionId,
    },
    /// It wants to know all leases and sessions.
    List {
        /// Its number for the question.
        request_id: u64,
    },
    /// It wants to know how this voter is.
    Status {
        /// Its number for the question.
        request_id: u64,
    },
    /// It wants to hear of every change of a lease from now on.
    Watch,
    /// It wants another voter, or one less.
    ChangeMembership {
        /// Its number for the wish.
        request_id: u64,
        /// The wish.
        change: MembershipChange,
    },
}

/// What a voter says to a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClientResponse {
    /// To `Open`.
    SessionOpened {
        /// As asked.
        nonce: u64,
        /// The answer.
        reply: Reply,
    },
    /// To `Renew`.
    SessionRenewed {
        /// As asked.
        session: SessionId,
        /// As asked.
        count: u64,
        /// The answer.
        reply: Reply,
    },
    /// To `Ask`.
    Operation {
        /// As asked.
        session: SessionId,
        /// As asked.
        seq: u64,
        /// The answer.
        reply: Reply,
    },
    /// A lease came to a session that stood in line, or was handed to it.
    RenewHint {
        /// Whose.
        session: SessionId,
    },
    /// To `List`.
    List {
        /// As asked.
        request_id: u64,
        /// Of each lease: name, state, holder's name, token, how many wait, last effect's token.
        leases: Vec<LeaseInfo>,
        /// Of each session: number, name, leases held.
        sessions: Vec<(SessionId, String, usize)>,
    },
    /// To `Status`.
    Status {
        /// As asked.
        request_id: u64,
        /// The voter's figures.
        status: VoterStatus,
    },
    /// After `Watch`: a lease changed.
    LeaseChanged {
        /// How it is now; `free` where the voters have nothing more to remember of it.
        lease: LeaseInfo,
    },
    /// The voters, with the address of each that was added: at the start of a session, and after each change.
    Voters(Vec<(VoterId, Option<String>)>),
    /// To `Change`.
    MembershipChanged {
        /// As asked.
        request_id: u64,
        /// Refused, and why.
        outcome: Result<(), MembershipError>,
    },
    /// The voter cannot serve now; another may.
    Unavailable,
}

/// A lease as people see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseInfo {
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
    pub last_effect_token: Token,
}

/// A voter as people see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Its number.
    pub voter: VoterId,
    /// `voting`, `not admitted` with a reason, or `no disk` with a reason.
    pub state: String,
    /// Whom it takes for the leader.
    pub leader: Option<VoterId>,
    /// Its disk's identity.
    pub disk_id: u64,
    /// The voters that it knows, with the address of each that was added.
    pub voters: Vec<(VoterId, Option<String>)>,
    /// Voters that it has a link to now.
    pub connected: Vec<VoterId>,
    /// Entries agreed on that it took in.
    pub applied: u64,
    /// Sessions.
    pub sessions: usize,
    /// Leases.
    pub leases: usize,
    /// Clients connected to it.
    pub clients: usize,
    /// Links that it closed for what came on them, by what was wrong: `too long`, `garbled`, `version`, `foreign`.
    pub rejected_links: Vec<(String, u64)>,
}

/// What is wrong with bytes that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    /// The length is over [`MAX_FRAME_BYTES`].
    TooLong,
    /// The checksum doesn't fit, or the message can't be read.
    Corrupt,
    /// Another version.
    WrongVersion,
    /// Another fleet.
    WrongFleet,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FrameError::TooLong => "too long",
            FrameError::Corrupt => "garbled",
            FrameError::WrongVersion => "version",
            FrameError::WrongFleet => "foreign",
        })
    }
}

/// The number that a fleet's name stands for in frames.
pub fn fleet_id(name: &str) -> u64 {
    u64::from(crc32fast::hash(name.as_bytes())) << 32 | name.len() as u64
}

/// A frame as bytes.
pub fn encode(fleet: u64, frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    bytes[8] = PROTOCOL_VERSION;
    bytes[9..FRAME_HEADER_BYTES].copy_from_slice(&fleet.to_le_bytes());
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
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some(head) = bytes.get(..8) else { return Ok(None) };
    let number = |at: usize| u32::from_le_bytes(head[at..at + 4].try_into().expect("four bytes"));
    let (length, sum) = (number(0) as usize, number(4));
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let Some(body) = bytes.get(8..8 + length) else { return Ok(None) };
    if length < FRAME_HEADER_BYTES - 8 || crc32fast::hash(body) != sum {
        return Err(FrameError::Corrupt);
    }
    if body[0] != PROTOCOL_VERSION {
        return Err(FrameError::WrongVersion);
    }
    if body[1..9] != fleet.to_le_bytes() {
        return Err(FrameError::WrongFleet);
    }
    let frame = postcard::from_bytes(&body[9..]).map_err(|_| FrameError::Corrupt)?;
    Ok(Some((frame, 8 + length)))
}

impl LeaseInfo {
    /// A lease as people see it.
    pub fn of(table: &crate::lease_table::LeaseTable, name: &str) -> LeaseInfo {
        let lease = table.leases().get(name).cloned().unwrap_or_default();
        let (state, holder, token, ttl_ms) = match lease.holder {
            Holder::Free => ("free", None, 0, 0),
            Holder::Held { session, token, ttl_ms } => ("held", Some(session), token, ttl_ms),
            Holder::Evicted { session, token, ttl_ms } => ("leaving", Some(session), token, ttl_ms),
            Holder::Locked { token } => ("locked", None, token, 0),
        };
        LeaseInfo {
            lease: name.to_owned(),
            state: state.to_owned(),
            holder: holder.and_then(|s| table.sessions().get(&s)).map(|s| s.name.clone()),
            token,
            ttl_ms,
            waiting: lease.queue.len(),
            last_effect_token: lease.last_effect,
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
            Refusal::UnknownSession => write!(f, "no session of this name"),
            Refusal::Invalid { problem } => write!(f, "{problem}"),
            Refusal::LimitReached => write!(f, "the fleet holds as many as it can"),
            Refusal::Stale => write!(f, "overtaken by a later one"),
        }
    }
}

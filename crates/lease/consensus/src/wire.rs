//! The protocol between the processes of a fleet. A frame consists of a length, a checksum, the protocol
//! version, the fleet identifier and a message. Frames that are too long, corrupt, of another version or of
//! another fleet are rejected and counted by cause, without any other effect.

use crate::lease_table::{Event, Holder, Op, Refusal, Reply};
use crate::membership::{MembershipChange, MembershipError};
use crate::{SessionId, Token, VoterId};
use serde::{Deserialize, Serialize};

/// The protocol version.
pub const PROTOCOL_VERSION: u8 = 2;
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Length of the frame header: length, checksum, version and fleet identifier.
pub const FRAME_HEADER_BYTES: usize = 4 + 4 + 1 + 8;

/// A message between two processes of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the connecting voter. Always the first frame on a connection between voters.
    Hello {
        /// Number of the connecting voter.
        voter: VoterId,
        /// Identity of its disk.
        disk_id: u64,
        /// Number of turns that its disk had recorded when the frame was sent.
        write_count: u64,
        /// Random number chosen when its process started.
        incarnation: u64,
        /// Whether it does not know any voters yet.
        joining: bool,
        /// Address on which it listens, if it was added to a running fleet.
        address: Option<String>,
    },
    /// Accepts the connecting voter.
    HelloAccepted,
    /// Refuses to let the connecting voter vote.
    HelloRejected {
        /// Human-readable reason.
        reason: String,
    },
    /// What the sender knows of other voters: number, disk write count, and the incarnation in which it was
    /// reached.
    WriteCounts(Vec<(VoterId, u64, u64)>),
    /// A consensus message, sent once the sender's disk had recorded this many writes.
    Consensus {
        /// Write count of the sender's disk.
        write_count: u64,
        /// The message in the encoding of the `raft` library.
        message: Vec<u8>,
    },
    /// A request from a client to a voter.
    Request(ClientRequest),
    /// A response from a voter to a client.
    Response(ClientResponse),
}

/// A client request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClientRequest {
    /// Opens a session.
    OpenSession {
        /// Name of the process.
        name: String,
        /// Random number chosen at process start.
        nonce: u64,
        /// Time to live of the session, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a session.
    RenewSession {
        /// The session to renew.
        session: SessionId,
        /// Number of the renewal.
        count: u64,
    },
    /// Requests an operation on a lease.
    Operation {
        /// The requesting session.
        session: SessionId,
        /// Number of the operation.
        seq: u64,
        /// The operation.
        op: Op,
    },
    /// Closes a session.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
    /// Lists all leases and sessions.
    List {
        /// Echoed in the response.
        request_id: u64,
    },
    /// Requests the status of this voter.
    Status {
        /// Echoed in the response.
        request_id: u64,
    },
    /// Subscribes to all further lease changes.
    Watch,
    /// Requests a change of the set of voters.
    ChangeMembership {
        /// Echoed in the response.
        request_id: u64,
        /// The requested change.
        change: MembershipChange,
    },
}

/// A voter's response to a client.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClientResponse {
    /// Response to [`ClientRequest::OpenSession`].
    SessionOpened {
        /// Nonce of the request.
        nonce: u64,
        /// Result of the request.
        reply: Reply,
    },
    /// Response to [`ClientRequest::RenewSession`].
    SessionRenewed {
        /// Session of the request.
        session: SessionId,
        /// Renewal number of the request.
        count: u64,
        /// Result of the renewal.
        reply: Reply,
    },
    /// Response to [`ClientRequest::Operation`].
    Operation {
        /// Session of the request.
        session: SessionId,
        /// Operation number of the request.
        seq: u64,
        /// Result of the operation.
        reply: Reply,
    },
    /// Tells a session that it was granted a lease it waited for or that was transferred to it, so that it
    /// renews at once.
    RenewHint {
        /// The session that was granted a lease.
        session: SessionId,
    },
    /// Response to [`ClientRequest::List`].
    List {
        /// Identifier of the request.
        request_id: u64,
        /// All leases that the table keeps.
        leases: Vec<LeaseInfo>,
        /// Number, name and count of held leases of each session.
        sessions: Vec<(SessionId, String, usize)>,
    },
    /// Response to [`ClientRequest::Status`].
    Status {
        /// Identifier of the request.
        request_id: u64,
        /// Status of the responding voter.
        status: VoterStatus,
    },
    /// Sent to subscribers of [`ClientRequest::Watch`] after a lease changed.
    LeaseChanged {
        /// The new state; `free` if the table no longer keeps the lease.
        lease: LeaseInfo,
    },
    /// The current voters, with the address of each one added to the running fleet. Sent when a session opens
    /// and after each membership change.
    Voters(Vec<(VoterId, Option<String>)>),
    /// Response to [`ClientRequest::ChangeMembership`].
    MembershipChanged {
        /// Identifier of the request.
        request_id: u64,
        /// Whether the change was made, or why it was refused.
        outcome: Result<(), MembershipError>,
    },
    /// This voter cannot serve the request now; another one may.
    Unavailable,
}

/// Human-readable state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// Name of the lease.
    pub lease: String,
    /// `held`, `leaving`, `locked` or `free`.
    pub state: String,
    /// Name of the holding session, if there is one.
    pub holder: Option<String>,
    /// Token of the current grant; 0 if the lease is free.
    pub token: Token,
    /// Time to live of the grant, in milliseconds; 0 if the lease is free or locked.
    pub ttl_ms: u64,
    /// Number of sessions in the queue.
    pub waiting: usize,
    /// Token of the last recorded effect; 0 if there is none.
    pub last_effect_token: Token,
}

/// Human-readable state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Number of the voter.
    pub voter: VoterId,
    /// `voting`, `removed`, a `waiting` state, `not admitted` with a reason, or `no disk` with a reason.
    pub state: String,
    /// The leader that the voter follows, if it knows one.
    pub leader: Option<VoterId>,
    /// Identity of the voter's disk; 0 until it is persisted.
    pub disk_id: u64,
    /// The voters that it knows, with the address of each one added to the running fleet.
    pub voters: Vec<(VoterId, Option<String>)>,
    /// Voters to which it has an outgoing connection.
    pub connected: Vec<VoterId>,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Number of open sessions.
    pub sessions: usize,
    /// Number of leases in the table.
    pub leases: usize,
    /// Number of connected clients.
    pub clients: usize,
    /// Number of connections closed because of an invalid frame, by cause: `too long`, `garbled`, `version`,
    /// `foreign`.
    pub rejected_links: Vec<(String, u64)>,
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    /// The length exceeds [`MAX_FRAME_BYTES`].
    TooLong,
    /// The checksum does not match, or the message cannot be decoded.
    Corrupt,
    /// The frame has another protocol version.
    WrongVersion,
    /// The frame belongs to another fleet.
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

/// Derives the fleet identifier in frames from the fleet's name.
pub fn fleet_id(name: &str) -> u64 {
    u64::from(crc32fast::hash(name.as_bytes())) << 32 | name.len() as u64
}

/// Encodes a frame.
pub fn encode(fleet: u64, frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    bytes[8] = PROTOCOL_VERSION;
    bytes[9..FRAME_HEADER_BYTES].copy_from_slice(&fleet.to_le_bytes());
    let mut bytes = postcard::to_extend(frame, bytes).expect("encoding a frame cannot fail");
    let length = (bytes.len() - 8) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let sum = crc32fast::hash(&bytes[8..]);
    bytes[4..8].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes the first frame in `bytes`. Returns the frame and its length in bytes, or `None` if it is
/// incomplete.
///
/// # Errors
///
/// Returns why the frame is invalid. The connection has to be closed, since the start of the next frame is
/// unknown.
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
    /// Describes the lease of this name in the table.
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

    /// Returns the name of the lease that an event changed, if any.
    pub fn changed(event: &Event) -> Option<&str> {
        match event {
            Event::Granted { grant, .. } => Some(&grant.lease),
            Event::Evicted { lease, .. } | Event::Locked { lease, .. } | Event::Freed(lease) => Some(lease),
            Event::Opened(_) | Event::Renewed(_) | Event::Ended(_) => None,
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoSession => write!(f, "the session has ended"),
            Refusal::NameTaken => write!(f, "another process has a session under this name"),
            Refusal::Held { by: Some(name) } => write!(f, "held by {name}"),
            Refusal::Held { by: None } => {
                write!(f, "locked: the lock delay after its last holder has not ended")
            }
            Refusal::NotHeld => write!(f, "not held"),
            Refusal::UnknownSession => write!(f, "no session has this name"),
            Refusal::Invalid { problem } => write!(f, "{problem}"),
            Refusal::LimitReached => {
                write!(f, "the fleet has reached its limit of sessions, leases or waiters")
            }
            Refusal::Stale => write!(f, "a later request of this session has been applied already"),
        }
    }
}

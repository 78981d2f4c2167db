//! One voter of a fleet, without I/O. It consumes frames and the current time, and produces journal records
//! and frames.
//!
//! In each turn the driver must write [`TurnOutput::record`], sync it, and only then send
//! [`TurnOutput::frames`]. If the disk fails, the driver drops the voter with all output of the turn, and
//! rebuilds it from the disk once the disk accepts writes again.

mod links;

use crate::expiry::ExpiryTracker;
use crate::lease_table::{Entry, Event, LeaseTable, Reply};
use crate::membership::{Membership, MembershipChange, MAX_VOTERS};
use crate::mutant::{is_active, Mutant};
use crate::replica::{CommittedStep, RaftStore, Replica, StorageWrite};
use crate::wire::{ClientRequest, ClientResponse, Frame, LeaseInfo, VoterStatus};
use crate::{SessionId, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Length of one tick of the consensus library.
pub const TICK: Duration = Duration::from_millis(20);
/// Maximum number of ticks made up for after a pause. More would start a series of elections after a single
/// stop.
const MAX_TICKS: u32 = 5;
/// Maximum number of clients of one voter.
pub const MAX_CLIENTS: usize = 4096;
/// Interval at which voters that haven't accepted this one get another hello, and the others get the known
/// write counts.
const GREET_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of pending reads. Older ones are dropped without a response, and clients repeat them.
const MAX_READS: usize = 256;

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Number of the voter.
    pub voter: VoterId,
    /// The founding voters; for a joining voter, the voters that it contacts.
    pub voters: Vec<VoterId>,
    /// With a new disk: whether the voter waits to be added to a running fleet instead of founding one.
    pub joining: bool,
    /// How long a lease whose holder expired stays locked.
    pub lock_delay: Duration,
    /// Identity to assign to the disk if it is new.
    pub new_disk_id: u64,
    /// Random number chosen at each process start; tells a restarted voter from one that merely reconnected.
    pub incarnation: u64,
}

/// A record of a voter's journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// First record of journals in an older format, which is no longer supported.
    Unsupported,
    /// Identifies the disk's voter. `founders` is `None` if the voter joined a running fleet or the journal
    /// was rewritten. Always the first record.
    Header { voter: VoterId, founders: Option<Vec<VoterId>>, disk_id: u64 },
    /// Number of the turn that wrote the following records.
    WriteCount(u64),
    /// Durable state of the replica.
    Write(StorageWrite),
    /// Disk of another voter and the highest write count known of it.
    Peer(VoterId, PeerState),
    /// All other voters have accepted this disk at some time.
    Admitted,
}

/// What this voter knows of another voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PeerState {
    disk_id: u64,
    /// Highest known write count, and the incarnation that reached it.
    write_count: u64,
    incarnation: u64,
}

/// Identifier of a connection, assigned by the driver.
pub type LinkId = u64;

/// The destination of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// Another voter, on the connection that this voter opened.
    Voter(VoterId),
    /// The peer that opened this connection.
    Link(LinkId),
}

/// The output of one turn.
#[derive(Debug, Default)]
pub struct TurnOutput {
    /// Journal record to make durable before the frames are sent.
    pub record: Option<Vec<u8>>,
    /// Frames to send once the record is durable.
    pub frames: Vec<(Recipient, Frame)>,
}

/// State of a connection that the peer opened.
#[derive(Clone, Debug, Default)]
struct InboundLink {
    voter: Option<VoterId>,
    /// Incarnation of the connected voter, and the highest write count received on this connection.
    incarnation: u64,
    write_count: u64,
    /// Nonce of the session that the client is opening.
    nonce: Option<u64>,
    session: Option<SessionId>,
    watching: bool,
}

/// The state of one voter.
pub struct Voter {
    config: VoterConfig,
    disk_id: u64,
    write_count: u64,
    peers: BTreeMap<VoterId, PeerState>,
    /// The voters as of the last applied entry.
    membership: Membership,
    /// Voters that have accepted this one.
    accepted_by: BTreeSet<VoterId>,
    /// Whether enough voters have accepted this one since its process started.
    may_vote: bool,
    /// Voters that are not in this voter's membership, with the addresses they report. They may have been
    /// added by an entry that this voter hasn't applied yet.
    unlisted_voters: BTreeMap<VoterId, String>,
    /// Whether all other voters have accepted this disk at some time. A lost disk thus can't pass for a new
    /// one, since every voter that has voted was known to all others before.
    admitted: bool,
    /// Why another voter refused to let this one vote.
    rejected: Option<String>,
    replica: Replica,
    table: LeaseTable,
    expiry: ExpiryTracker,
    inbound: BTreeMap<LinkId, InboundLink>,
    sessions: BTreeMap<SessionId, LinkId>,
    outbound: BTreeSet<VoterId>,
    pending_reads: BTreeMap<u64, (LinkId, u64)>,
    next_read_id: u64,
    last_tick: Duration,
    /// When to send the next hellos and write counts.
    greet_at: Duration,
    pending_records: Vec<Record>,
    /// Peers whose changed write counts can wait for the next journal record.
    unsaved_peers: BTreeSet<VoterId>,
    frames: Vec<(Recipient, Frame)>,
}

/// Encodes the records of a turn as a single journal record. A torn write must not keep part of a turn, since
/// consensus needs the term and the entries accepted in it to become durable together or not at all.
fn encode(records: &[Record]) -> Vec<u8> {
    postcard::to_stdvec(records).expect("encoding journal records cannot fail")
}

impl Voter {
    /// Restores a voter from the records of its journal; a new disk has none.
    ///
    /// # Errors
    ///
    /// Returns why the journal cannot be used for this voter.
    pub fn open(config: VoterConfig, records: &[Vec<u8>], now: Duration) -> Result<Voter, String> {
        let founders = (!config.joining).then(|| config.voters.clone());
        let begin = |founders: &Option<Vec<VoterId>>| {
            founders.as_ref().map_or_else(RaftStore::default, |founders| RaftStore::bootstrap(founders))
        };
        let (mut store, mut peers, mut write_count) = (begin(&founders), BTreeMap::new(), 0);
        let (mut stored_disk, mut admitted) = (None, false);
        let mut all: Vec<Record> = Vec::new();
        for bytes in records {
            let turn: Result<Vec<Record>, _> = postcard::from_bytes(bytes);
            all.extend(turn.map_err(|e| {
                format!("cannot decode a journal record, which may be of an older version: {e}")
            })?);
        }
        for record in all {
            match record {
                Record::Unsupported => {
                    return Err("the journal has the format of an older version".to_owned())
                }
                Record::Header { voter, founders, disk_id } => {
                    if voter != config.voter {
                        return Err(format!(
                            "the disk belongs to voter {voter}, not to voter {}",
                            config.voter
                        ));
                    }
                    (store, stored_disk) = (begin(&founders), Some(disk_id));
                }
                Record::WriteCount(number) => write_count = number,
                Record::Write(write) => store.apply(write),
                Record::Peer(voter, peer) => drop(peers.insert(voter, peer)),
                Record::Admitted => admitted = true,
            }
        }
        if stored_disk.is_none() && !records.is_empty() {
            return Err("the journal doesn't begin with a header record".to_owned());
        }
        let voter = config.voter;
        let mut pending_records = Vec::new();
        if stored_disk.is_none() {
            pending_records.push(Record::Header { voter, founders, disk_id: config.new_disk_id });
            // A joining voter needs no admission by all: the membership names its disk before it ever votes.
            admitted = config.joining;
            pending_records.extend(admitted.then_some(Record::Admitted));
        }
        let disk_id = stored_disk.unwrap_or(config.new_disk_id);
        let replica = Replica::new(voter, store)?;
        let mut voter = Voter {
            table: replica.snapshot_table(),
            membership: replica.membership().clone(),
            replica,
            expiry: ExpiryTracker::new(config.lock_delay),
            config,
            disk_id,
            write_count,
            peers,
            accepted_by: BTreeSet::new(),
            may_vote: false,
            unlisted_voters: BTreeMap::new(),
            admitted,
            rejected: None,
            inbound: BTreeMap::new(),
            sessions: BTreeMap::new(),
            outbound: BTreeSet::new(),
            pending_reads: BTreeMap::new(),
            next_read_id: 0,
            last_tick: now,
            greet_at: now,
            pending_records,
            unsaved_peers: BTreeSet::new(),
            frames: Vec::new(),
        };
        voter.apply_committed(now);
        voter.expiry.reset(&voter.table, now);
        Ok(voter)
    }

    /// Returns the table as of the last applied entry.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Returns the voters as of the last applied entry; empty while this voter waits to be added.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the other voters, or those of the configuration while this voter waits to be added.
    fn others(&self) -> Vec<VoterId> {
        let known = self.membership.voter_ids();
        let all = if known.is_empty() { &self.config.voters } else { &known };
        all.iter().copied().filter(|v| *v != self.config.voter).collect()
    }

    /// Returns the self-reported addresses of connected voters that are not in the membership.
    pub fn unlisted_voters(&self) -> &BTreeMap<VoterId, String> {
        &self.unlisted_voters
    }

    /// Whether this voter has been removed from the membership.
    fn was_removed(&self) -> bool {
        self.membership.was_removed(self.config.voter)
    }

    /// Whether this voter may vote. A removed voter continues until another voter rejects it: the others may
    /// not know yet that its removal was committed, and need its vote to find out.
    pub fn is_voting(&self) -> bool {
        self.may_vote && self.rejected.is_none() && !(is_active(Mutant::RemovedStops) && self.was_removed())
    }

    /// Lets this voter vote once enough others have accepted it. A disk that was never admitted needs all of
    /// them, any other disk a majority including itself.
    fn update_may_vote(&mut self) {
        let others = self.others();
        let needed = if self.admitted || is_active(Mutant::LostDiskVotes) {
            others.len().div_ceil(2)
        } else {
            others.len()
        };
        self.may_vote |= others.iter().filter(|v| self.accepted_by.contains(v)).count() >= needed;
        if self.is_voting() && !self.admitted {
            self.admitted = true;
            self.pending_records.push(Record::Admitted);
        }
    }

    /// Returns the leader, if it is known and this voter may vote.
    pub fn leader(&self) -> Option<VoterId> {
        self.replica.leader().filter(|_| self.is_voting())
    }

    /// Returns the status of this voter, for operators.
    pub fn status(&self) -> VoterStatus {
        let state = match &self.rejected {
            _ if self.was_removed() => "removed".to_owned(),
            Some(reason) => format!("not admitted: {reason}"),
            _ if self.membership.voter_ids().is_empty() => {
                format!("waiting to be added (fleet add --id {})", self.config.voter)
            }
            _ if self.is_voting() => "voting".to_owned(),
            None => format!("waiting to be admitted by {:?}", self.pending_acceptance()),
        };
        VoterStatus {
            voter: self.config.voter,
            state,
            leader: self.leader(),
            // An identity that isn't durable yet may change at the next start.
            disk_id: if self.write_count > 0 { self.disk_id } else { 0 },
            voters: self.voter_addresses(),
            connected: self.outbound.iter().copied().collect(),
            applied: self.replica.applied(),
            sessions: self.table.sessions().len(),
            leases: self.table.leases().len(),
            clients: self.inbound.values().filter(|g| g.voter.is_none()).count(),
            rejected_links: Vec::new(),
        }
    }

    fn pending_acceptance(&self) -> Vec<VoterId> {
        self.others().into_iter().filter(|v| !self.accepted_by.contains(v)).collect()
    }

    /// Returns the voters, with the address of each one added to the running fleet.
    fn voter_addresses(&self) -> Vec<(VoterId, Option<String>)> {
        let address = |info: &Option<crate::membership::VoterInfo>| info.as_ref().map(|p| p.address.clone());
        self.membership.members().iter().map(|(voter, info)| (*voter, address(info))).collect()
    }

    /// Advances the clock: sends periodic frames, ticks the replica and proposes expirations.
    pub fn tick(&mut self, now: Duration) {
        let turns = ((now.saturating_sub(self.last_tick)).as_millis() / TICK.as_millis()) as u32;
        if turns == 0 {
            return;
        }
        self.last_tick = if turns > MAX_TICKS { now } else { self.last_tick + TICK * turns };
        if now >= self.greet_at {
            self.greet_at = now + GREET_INTERVAL;
            self.greet_and_gossip();
        }
        if !self.is_voting() {
            return;
        }
        (0..turns.min(MAX_TICKS)).for_each(|_| self.replica.tick());
        if self.replica.is_leader() {
            for entry in self.expiry.due_entries(&self.table, now) {
                self.replica.propose(&entry);
            }
        }
        self.apply_committed(now);
    }

    /// Sends hellos to voters that haven't accepted this one, and known write counts to the others. The
    /// latter exposes a disk that was reset to an older copy even if the one voter that had seen its last
    /// writes is gone.
    fn greet_and_gossip(&mut self) {
        let counts: Vec<_> =
            self.peers.iter().map(|(v, known)| (*v, known.write_count, known.incarnation)).collect();
        for voter in self.outbound.clone() {
            if !self.accepted_by.contains(&voter) {
                self.greet(voter);
            } else if self.is_voting() {
                self.frames.push((Recipient::Voter(voter), Frame::WriteCounts(counts.clone())));
            }
        }
    }

    /// Updates peers, connections and clients after a membership change.
    fn membership_changed(&mut self) {
        self.membership = self.replica.membership().clone();
        for (voter, info) in self.membership.members() {
            let Some(info) = info.as_ref().filter(|_| *voter != self.config.voter) else { continue };
            let known = PeerState { disk_id: info.disk_id, ..PeerState::default() };
            // No voter accepts another disk under this number, even if it never met the voter.
            if self.peers.get(voter).is_none_or(|k| k.disk_id != info.disk_id) {
                self.peers.insert(*voter, known);
                self.pending_records.push(Record::Peer(*voter, known));
            }
        }
        // Closed connections are opened again and checked against the new membership.
        let unlisted_voters = std::mem::take(&mut self.unlisted_voters);
        let stays = |v: VoterId| !self.membership.was_removed(v) && !unlisted_voters.contains_key(&v);
        self.inbound.retain(|_, g| g.voter.is_none_or(stays));
        // A new voter can't start from a snapshot that doesn't include it.
        self.replica.take_snapshot(&self.table);
        self.update_may_vote();
        for link in self.inbound.iter().filter(|(_, g)| g.session.is_some()).map(|(l, _)| *l) {
            let voters = ClientResponse::Voters(self.voter_addresses());
            self.frames.push((Recipient::Link(link), Frame::Response(voters)));
        }
    }

    /// Applies everything that was committed since the last call.
    fn apply_committed(&mut self, now: Duration) {
        for step in self.replica.take_committed() {
            let entry = match step {
                CommittedStep::Snapshot(table) => {
                    self.table = table;
                    self.expiry.reset(&self.table, now);
                    continue;
                }
                CommittedStep::Entry(entry) => entry,
                CommittedStep::MembershipChanged { voter, request_id, outcome } => {
                    if let Some((link, request_id)) = Some(request_id)
                        .filter(|_| voter == self.config.voter)
                        .and_then(|t| self.pending_reads.remove(&t))
                    {
                        let answer = ClientResponse::MembershipChanged { request_id, outcome };
                        self.frames.push((Recipient::Link(link), Frame::Response(answer)));
                    }
                    continue;
                }
            };
            let (reply, events) = self.table.apply(&entry);
            events.iter().for_each(|e| self.expiry.record(e, now));
            self.answer(&entry, reply);
            self.notify_clients(&events);
        }
        if self.membership != *self.replica.membership() {
            self.membership_changed();
        }
        if self.replica.snapshot_due() {
            self.replica.take_snapshot(&self.table);
        }
    }

    /// Responds to the client that sent an entry, if it is connected to this voter.
    fn answer(&mut self, entry: &Entry, reply: Option<Reply>) {
        let (link, answer) = match (entry, reply) {
            (Entry::OpenSession { nonce, .. }, Some(reply)) => {
                let Some((link, caller_link)) =
                    self.inbound.iter_mut().find(|(_, g)| g.nonce == Some(*nonce))
                else {
                    return;
                };
                let link = *link;
                caller_link.nonce = None;
                if let Reply::Opened { session } = reply {
                    caller_link.session = Some(session);
                    self.sessions.insert(session, link);
                    let voters = ClientResponse::Voters(self.voter_addresses());
                    self.frames.push((Recipient::Link(link), Frame::Response(voters)));
                }
                (Some(link), ClientResponse::SessionOpened { nonce: *nonce, reply })
            }
            (Entry::RenewSession { session, count }, Some(reply)) => {
                let answer = ClientResponse::SessionRenewed { session: *session, count: *count, reply };
                (self.sessions.get(session).copied(), answer)
            }
            (Entry::Operation { session, seq, .. }, Some(reply)) => (
                self.sessions.get(session).copied(),
                ClientResponse::Operation { session: *session, seq: *seq, reply },
            ),
            (Entry::ReadMarker { voter, request_id }, _) if *voter == self.config.voter => {
                let Some((link, request_id)) = self.pending_reads.remove(request_id) else { return };
                let table = &self.table;
                let leases = table.leases().keys().map(|name| LeaseInfo::of(table, name)).collect();
                let held = |id: &SessionId| table.held_by(*id).len();
                let sessions =
                    table.sessions().iter().map(|(id, s)| (*id, s.name.clone(), held(id))).collect();
                (Some(link), ClientResponse::List { request_id, leases, sessions })
            }
            _ => return,
        };
        if let Some(link) = link {
            self.frames.push((Recipient::Link(link), Frame::Response(answer)));
        }
    }

    /// Notifies connected clients of grants and lease changes caused by others.
    fn notify_clients(&mut self, events: &[Event]) {
        for event in events {
            if let Event::Granted { session, unsolicited: true, .. } = event {
                if let Some(link) = self.sessions.get(session) {
                    let hint = ClientResponse::RenewHint { session: *session };
                    self.frames.push((Recipient::Link(*link), Frame::Response(hint)));
                }
            }
            if let Event::Ended(session) = event {
                self.sessions.remove(session);
            }
            let Some(lease) = LeaseInfo::changed(event) else { continue };
            for (link, _) in self.inbound.iter().filter(|(_, g)| g.watching) {
                let change = ClientResponse::LeaseChanged { lease: LeaseInfo::of(&self.table, lease) };
                self.frames.push((Recipient::Link(*link), Frame::Response(change)));
            }
        }
    }

    /// Ends a turn. Returns the record to write and the frames to send once it is durable.
    pub fn finish_turn(&mut self) -> TurnOutput {
        let writes = self.replica.take_writes();
        let mut records = std::mem::take(&mut self.pending_records);
        let has_header = matches!(records.first(), Some(Record::Header { .. }));
        if !writes.is_empty() || !records.is_empty() {
            for voter in std::mem::take(&mut self.unsaved_peers) {
                records.push(Record::Peer(voter, self.peers[&voter]));
            }
            self.write_count += 1;
            records.insert(usize::from(has_header), Record::WriteCount(self.write_count));
            records.extend(writes.into_iter().map(Record::Write));
        }
        let write_count = self.write_count;
        // The hello must be the first frame on a connection.
        let mut frames = std::mem::take(&mut self.frames);
        let messages = self.replica.take_messages();
        if self.is_voting() {
            frames.extend(
                messages
                    .into_iter()
                    .map(|(to, message)| (Recipient::Voter(to), Frame::Consensus { write_count, message })),
            );
        }
        for (_, frame) in &mut frames {
            if let Frame::Hello { write_count: said, .. } = frame {
                *said = write_count;
            }
        }
        TurnOutput { record: (!records.is_empty()).then(|| encode(&records)), frames }
    }

    /// Returns the complete durable state as one record, for a rewrite of the journal.
    pub fn to_record(&self) -> Vec<u8> {
        // The following records include everything that derived from the founders' initial state.
        let header = Record::Header { voter: self.config.voter, founders: None, disk_id: self.disk_id };
        let mut records = vec![header, Record::WriteCount(self.write_count)];
        records.extend(self.admitted.then_some(Record::Admitted));
        records.extend(self.peers.iter().map(|(voter, known)| Record::Peer(*voter, *known)));
        records.extend(self.replica.to_writes().into_iter().map(Record::Write));
        encode(&records)
    }
}

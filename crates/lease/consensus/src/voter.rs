//! One voter of a fleet, without I/O: frames and `now` go in; records for the disk and frames come out.
//!
//! The driver's duty, each turn: write [`Turn::record`], sync, and only then send [`Turn::frames`]. If the
//! disk says no, it drops the voter and everything that the turn held, and builds it anew from the disk when
//! the disk takes writes again.

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

/// One turn of the consensus library's clock.
pub const TICK: Duration = Duration::from_millis(20);
/// Turns made up for after a pause; more would be an election storm out of one stop.
const MAX_TICKS: u32 = 5;
/// Clients of one voter.
pub const MAX_CLIENTS: usize = 4096;
/// Those that haven't accepted_by a voter are asked again, and marks are passed on, after so long.
const GREET_INTERVAL: Duration = Duration::from_millis(200);
/// Reads under way at one voter; an older one goes unanswered, and is asked again.
const MAX_READS: usize = 256;

/// What a voter is told.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its number.
    pub voter: VoterId,
    /// The voters that the fleet begins with; for a voter that waits to be added, those that it asks.
    pub voters: Vec<VoterId>,
    /// On a new disk: it waits to be added to a fleet that goes on already.
    pub joining: bool,
    /// A lease whose holder vanished is given to nobody for so long.
    pub lock_delay: Duration,
    /// The config for its disk, should it be a new one.
    pub new_disk_id: u64,
    /// Drawn anew at each start: tells a voter that came back from one that only called again.
    pub incarnation: u64,
}

/// A record of a voter's journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// The first record of journals of an older form, which can't be read on.
    Unsupported,
    /// The disk is this voter's. These voters began the fleet, or nobody is known yet. Always the first.
    Header { voter: VoterId, founders: Option<Vec<VoterId>>, disk_id: u64 },
    /// The number of the turn that wrote what follows.
    WriteCount(u64),
    /// What the consensus has to remember.
    Write(StorageWrite),
    /// Another voter's disk, and the highest mark heard from it.
    Peer(VoterId, PeerState),
    /// All others have accepted_by this disk once.
    Admitted,
}

/// What is known of another voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PeerState {
    disk_id: u64,
    /// The highest mark heard of it, and the life in which it was.
    write_count: u64,
    incarnation: u64,
}

/// A connection of the driver's.
pub type LinkId = u64;

/// Where a frame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// To a voter, on the link that this voter called.
    Voter(VoterId),
    /// Back on a link that somebody called.
    Link(LinkId),
}

/// What one turn brought about.
#[derive(Debug, Default)]
pub struct TurnOutput {
    /// For the disk, as one record.
    pub record: Option<Vec<u8>>,
    /// To be sent once the records are lasting.
    pub frames: Vec<(Recipient, Frame)>,
}

/// Who is at the other end of a link.
#[derive(Clone, Debug, Default)]
struct InboundLink {
    voter: Option<VoterId>,
    /// A voter's life, and the highest mark that came on this link.
    incarnation: u64,
    write_count: u64,
    /// The nonce of the session that it wants to open.
    nonce: Option<u64>,
    session: Option<SessionId>,
    watching: bool,
}

/// One voter.
pub struct Voter {
    config: VoterConfig,
    disk_id: u64,
    write_count: u64,
    peers: BTreeMap<VoterId, PeerState>,
    /// Who votes, as of what was taken in.
    membership: Membership,
    /// Voters that let this one vote.
    accepted_by: BTreeSet<VoterId>,
    /// Enough have, in this life.
    may_vote: bool,
    /// Voters that were added, as they say, and where they listen: this one may not have heard of it yet.
    unlisted_voters: BTreeMap<VoterId, String>,
    /// All others have accepted_by its disk once. Guards against a lost disk taken for a new one: whoever has
    /// voted was known to all others before.
    admitted: bool,
    /// Why it may not vote, as another voter said.
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
    /// When those that haven't accepted_by it are asked again, and when the others are told of marks.
    greet_at: Duration,
    pending_records: Vec<Record>,
    /// Changes of `known` that can wait for the next write.
    unsaved_peers: BTreeSet<VoterId>,
    frames: Vec<(Recipient, Frame)>,
}

/// Records of one turn as one record of the journal. Guards against a torn write that keeps a part of a turn:
/// the consensus needs the round and the entries accepted in it to last together or not at all.
fn encode(records: &[Record]) -> Vec<u8> {
    postcard::to_stdvec(records).expect("records are plain data")
}

impl Voter {
    /// A voter with what its journal holds: nothing on a new disk.
    ///
    /// # Errors
    ///
    /// Says why the journal is not this voter's.
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
            all.extend(turn.map_err(|e| format!("a record of the journal (of an older version?): {e}"))?);
        }
        for record in all {
            match record {
                Record::Unsupported => return Err("the journal is of an older version".to_owned()),
                Record::Header { voter, founders, disk_id } => {
                    if voter != config.voter {
                        return Err(format!("the disk is voter {voter}'s, not voter {}'s", config.voter));
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
            return Err("the journal doesn't begin with a voter's birth".to_owned());
        }
        let voter = config.voter;
        let mut pending_records = Vec::new();
        if stored_disk.is_none() {
            pending_records.push(Record::Header { voter, founders, disk_id: config.new_disk_id });
            // One that waits to be added is known to the others by its disk before it ever votes.
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

    /// What the voters agreed on, as far as this one knows.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Who votes, as far as this one knows; nobody while it waits to be added.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The other voters; while it waits to be added, those of its file.
    fn others(&self) -> Vec<VoterId> {
        let known = self.membership.voter_ids();
        let all = if known.is_empty() { &self.config.voters } else { &known };
        all.iter().copied().filter(|v| *v != self.config.voter).collect()
    }

    /// Where voters listen that are not in the membership, as they say themselves.
    pub fn unlisted_voters(&self) -> &BTreeMap<VoterId, String> {
        &self.unlisted_voters
    }

    /// Whether it was a voter and is none any more.
    fn was_removed(&self) -> bool {
        self.membership.was_removed(self.config.voter)
    }

    /// Whether it may vote. One that was removed goes on until the others refuse it: they may not know yet that its
    /// removal was agreed on, and need its voice to find out.
    pub fn is_voting(&self) -> bool {
        self.may_vote && self.rejected.is_none() && !(is_active(Mutant::RemovedStops) && self.was_removed())
    }

    /// Votes once enough others have accepted_by it: all of them where none may know its disk yet, else as
    /// many as make a majority with it.
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

    /// The leader, if it knows one.
    pub fn leader(&self) -> Option<VoterId> {
        self.replica.leader().filter(|_| self.is_voting())
    }

    /// How it is.
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
            // A name that isn't lasting yet could be another after the next start.
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

    /// The voters, with the address of each that doesn't stand in everybody's file.
    fn voter_addresses(&self) -> Vec<(VoterId, Option<String>)> {
        let address = |info: &Option<crate::membership::VoterInfo>| info.as_ref().map(|p| p.address.clone());
        self.membership.members().iter().map(|(voter, info)| (*voter, address(info))).collect()
    }

    /// Lets time pass.
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

    /// Asks those again that haven't accepted_by it, and tells the others which marks it heard. Guards against a
    /// disk that went back to an older copy when the one voter that had heard its last writes is gone.
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

    /// The membership is another: whoever needs to know is told.
    fn membership_changed(&mut self) {
        self.membership = self.replica.membership().clone();
        for (voter, info) in self.membership.members() {
            let Some(info) = info.as_ref().filter(|_| *voter != self.config.voter) else { continue };
            let known = PeerState { disk_id: info.disk_id, ..PeerState::default() };
            // Under its number no other disk is ever accepted_by, by a voter that never heard of it either.
            if self.peers.get(voter).is_none_or(|k| k.disk_id != info.disk_id) {
                self.peers.insert(*voter, known);
                self.pending_records.push(Record::Peer(*voter, known));
            }
        }
        // Voters call again, and are looked at with what is known now.
        let unlisted_voters = std::mem::take(&mut self.unlisted_voters);
        let stays = |v: VoterId| !self.membership.was_removed(v) && !unlisted_voters.contains_key(&v);
        self.inbound.retain(|_, g| g.voter.is_none_or(stays));
        // A snapshot that doesn't name a voter is of no use to it.
        self.replica.take_snapshot(&self.table);
        self.update_may_vote();
        for link in self.inbound.iter().filter(|(_, g)| g.session.is_some()).map(|(l, _)| *l) {
            let voters = ClientResponse::Voters(self.voter_addresses());
            self.frames.push((Recipient::Link(link), Frame::Response(voters)));
        }
    }

    /// Takes in what was agreed on.
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

    /// Answers whoever an entry came from, if it is a guest of this voter.
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

    /// Tells guests of this voter what others brought about.
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

    /// Ends a turn: what is to be written, and what is to be sent when it is lasting.
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
        // A link's hello goes before anything else on it.
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

    /// All that the journal has to hold, as one record: for a rewrite once it has grown.
    pub fn to_record(&self) -> Vec<u8> {
        // What follows holds all that the founders' table became.
        let header = Record::Header { voter: self.config.voter, founders: None, disk_id: self.disk_id };
        let mut records = vec![header, Record::WriteCount(self.write_count)];
        records.extend(self.admitted.then_some(Record::Admitted));
        records.extend(self.peers.iter().map(|(voter, known)| Record::Peer(*voter, *known)));
        records.extend(self.replica.to_writes().into_iter().map(Record::Write));
        encode(&records)
    }
}

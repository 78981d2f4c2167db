//! The table kept the same on all voters, by the consensus library `raft`.
//!
//! The library reads a [`RaftStore`], which is no disk: what it wants kept becomes [`Write`]s that the driver
//! brings to the disk before anything of the same turn leaves. If the disk says no, the driver drops the
//! to_writes replica with its messages and builds it anew from what is lasting. So nothing that left was ever
//! promised by a disk that failed half way.

use crate::lease_table::{Entry, LeaseTable};
use crate::membership::{Membership, MembershipChange, MembershipError, MAX_VOTERS};
use crate::VoterId;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry as LogEntry, EntryType, HardState, Message, MessageType,
    Snapshot,
};
use raft::{Config, GetEntriesContext, RaftState, RawNode, SnapshotStatus, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// One change of what a voter has to remember.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StorageWrite {
    /// The term, the vote in it, and up to where the log is agreed on.
    HardState {
        /// The term.
        term: u64,
        /// Whom it voted for; 0 for nobody.
        vote: VoterId,
        /// Agreed on.
        commit: u64,
    },
    /// Entries, in the library's own form, in the place of all from the first one's index on.
    Append(Vec<Vec<u8>>),
    /// The table as of an entry. Older entries may be forgotten.
    Snapshot {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
        /// The voters as of it.
        membership: Membership,
        /// The table as of it.
        table: Box<LeaseTable>,
    },
    /// Entries up to this index are forgotten.
    Compact {
        /// The index.
        index: u64,
        /// That entry's term.
        term: u64,
    },
}

/// Index and term of the entry that a fleet begins with.
const BOOTSTRAP_ENTRY: (u64, u64) = (1, 1);

/// What a voter remembers, and what of it is not on its disk yet.
#[derive(Clone, Debug, Default)]
pub struct RaftStore {
    hard: HardState,
    /// Index and term of the last entry that is forgotten.
    base: (u64, u64),
    log: Vec<LogEntry>,
    /// Index, term, voters and table of the last snapshot.
    snapshot: (u64, u64, Membership, LeaseTable),
    unsynced: Vec<StorageWrite>,
}

impl RaftStore {
    /// What a voter of a new fleet remembers: the first entry, that these vote. A voter that is added later
    /// remembers nothing, so that it gets this, or what became of it, as a snapshot.
    pub fn bootstrap(voters: &[VoterId]) -> RaftStore {
        let (index, term) = BOOTSTRAP_ENTRY;
        let hard = HardState { term, commit: index, ..HardState::default() };
        let snapshot = (index, term, Membership::initial(voters), LeaseTable::default());
        RaftStore { hard, base: BOOTSTRAP_ENTRY, snapshot, ..RaftStore::default() }
    }

    /// Takes in a write, at the start from the disk.
    pub fn apply(&mut self, write: StorageWrite) {
        match write {
            StorageWrite::HardState { term, vote, commit } => {
                (self.hard.term, self.hard.vote, self.hard.commit) = (term, vote, commit);
            }
            StorageWrite::Append(entries) => {
                let read = |bytes: &Vec<u8>| LogEntry::parse_from_bytes(bytes).ok();
                let entries: Vec<LogEntry> = entries.iter().filter_map(read).collect();
                let Some(first) = entries.first() else { return };
                self.log.truncate(first.index.saturating_sub(self.base.0 + 1) as usize);
                self.log.extend(entries);
            }
            StorageWrite::Snapshot { index, term, membership, table } => {
                if self.term_of(index) != Some(term) {
                    // What is there of the log doesn't lead to the table: it is of no use behind it either.
                    self.log.clear();
                    self.base = (index, term);
                }
                self.hard.commit = self.hard.commit.max(index);
                self.snapshot = (index, term, membership, *table);
            }
            StorageWrite::Compact { index, term } => {
                if index > self.base.0 {
                    self.log.drain(..((index - self.base.0) as usize).min(self.log.len()));
                    self.base = (index, term);
                }
            }
        }
    }

    /// All of it as the fewest writes.
    pub fn to_writes(&self) -> Vec<StorageWrite> {
        let (index, term, membership, table) = self.snapshot.clone();
        let (term_now, vote, commit) = (self.hard.term, self.hard.vote, self.hard.commit);
        vec![
            StorageWrite::Snapshot {
                index: self.base.0,
                term: self.base.1,
                membership: membership.clone(),
                table: Box::default(),
            },
            StorageWrite::Append(self.log.iter().map(encode_entry).collect()),
            StorageWrite::Snapshot { index, term, membership, table: Box::new(table) },
            StorageWrite::HardState { term: term_now, vote, commit },
        ]
    }

    fn write(&mut self, write: StorageWrite) {
        self.unsynced.push(write.clone());
        self.apply(write);
    }

    fn last(&self) -> u64 {
        self.base.0 + self.log.len() as u64
    }

    fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.log.get(index.checked_sub(self.base.0 + 1)? as usize).map(|e| e.term)
    }
}

fn encode_entry(entry: &LogEntry) -> Vec<u8> {
    entry.write_to_bytes().expect("an entry is plain data")
}

/// The mirror as the library gets it.
#[derive(Clone)]
struct SharedStore(Rc<RefCell<RaftStore>>);

impl Storage for SharedStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let store = self.0.borrow();
        Ok(RaftState {
            hard_state: store.hard.clone(),
            conf_state: ConfState::from((store.snapshot.2.voter_ids(), vec![])),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<LogEntry>> {
        let store = self.0.borrow();
        if low <= store.base.0 {
            return Err(StorageError::Compacted.into());
        }
        let from = (low - store.base.0 - 1) as usize;
        let to = (high - store.base.0 - 1) as usize;
        let mut entries = store.log.get(from..to).ok_or(StorageError::Unavailable)?.to_vec();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let store = self.0.borrow();
        if index < store.base.0 {
            return Err(StorageError::Compacted.into());
        }
        store.term_of(index).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().base.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().last())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> raft::Result<Snapshot> {
        let store = self.0.borrow();
        let (index, term, membership, table) = &store.snapshot;
        if *index < wanted {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        let data = postcard::to_stdvec(&(membership, table)).expect("a table is plain data").into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (*index, *term);
        meta.set_conf_state(ConfState::from((membership.voter_ids(), vec![])));
        Ok(snapshot)
    }
}

/// Turns of the library's clock between a leader's signs of life.
const HEARTBEAT_TICKS: usize = 3;
/// Turns without a sign of life until the first voter stands for leader; each next one waits longer by
/// [`STAGGER_TICKS`]. Fixed instead of drawn, so that the same seed gives the same history.
const ELECTION_TICKS: usize = 15;
const STAGGER_TICKS: usize = 4;
/// Entries applied in since the last snapshot until the next is made.
const SNAPSHOT_INTERVAL: u64 = 2048;
/// Entries kept behind a snapshot, for voters that lag a little.
const ENTRIES_BEHIND_SNAPSHOT: u64 = 256;
/// Bytes of proposals that wait for agreement; more are dropped, and asked for again.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// One step of the agreed order.
pub enum CommittedStep {
    /// The table as of a snapshot: whatever was known before is part of it.
    Snapshot(LeaseTable),
    /// An entry.
    Entry(Entry),
    /// A change of the membership came by; [`Replica::membership`] has it.
    MembershipChanged {
        /// The voter that it was asked of.
        voter: VoterId,
        /// That voter's number for it.
        request_id: u64,
        /// Refused, and why.
        outcome: Result<(), MembershipError>,
    },
}

/// The agreed order of entries, as one voter has it.
pub struct Replica {
    node: RawNode<SharedStore>,
    store: Rc<RefCell<RaftStore>>,
    membership: Membership,
    applied: u64,
    messages: Vec<Message>,
}

impl Replica {
    /// A voter which remembers this. The first steps it gives lead from the empty table to where it was.
    ///
    /// # Errors
    ///
    /// Says what the library finds wrong.
    pub fn new(voter: VoterId, store: RaftStore) -> Result<Replica, String> {
        let (info, round) = ((voter as usize).wrapping_sub(1) % MAX_VOTERS, voter as usize / MAX_VOTERS % 2);
        let wait = ELECTION_TICKS + STAGGER_TICKS * info + STAGGER_TICKS / 2 * round;
        let (applied, membership) = (store.snapshot.0, store.snapshot.2.clone());
        let config = Config {
            id: voter,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            min_election_tick: wait,
            max_election_tick: wait + 1,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let store = Rc::new(RefCell::new(store));
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, SharedStore(store.clone()), &silent).map_err(|e| e.to_string())?;
        Ok(Replica { node, store, membership, applied, messages: Vec::new() })
    }

    /// The table as of the last snapshot: where the steps begin.
    pub fn snapshot_table(&self) -> LeaseTable {
        self.store.borrow().snapshot.3.clone()
    }

    /// One turn of the library's clock.
    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// Takes in another voter's message; one that can't be read or doesn't fit changes nothing.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        message.from == from && message.to == self.node.raft.id && self.node.step(message).is_ok()
    }

    /// The link to a voter is down: nothing of what is under way to it counts as sent.
    pub fn report_unreachable(&mut self, voter: VoterId) {
        self.node.report_unreachable(voter);
    }

    /// The leader, if this voter knows one.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Whether this voter leads.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == raft::StateRole::Leader
    }

    /// Puts an entry forward. `false` where no leader is known or too many wait: then nothing was done.
    pub fn propose(&mut self, entry: &Entry) -> bool {
        let bytes = postcard::to_stdvec(entry).expect("an entry is plain data");
        self.leader().is_some() && self.node.propose(Vec::new(), bytes).is_ok()
    }

    /// Puts a change of the membership forward. The library lets one at a time through; whoever asked hears nothing of
    /// one that it dropped, and asks again.
    pub fn propose_change(&mut self, voter: VoterId, request_id: u64, change: &MembershipChange) -> bool {
        let context = postcard::to_stdvec(&(voter, request_id, change)).expect("a change is plain data");
        let (change_type, node_id) = match change {
            MembershipChange::Add { voter, .. } => (ConfChangeType::AddNode, *voter),
            MembershipChange::Remove { voter } => (ConfChangeType::RemoveNode, *voter),
        };
        let change = ConfChange { change_type, node_id, ..ConfChange::default() };
        self.leader().is_some() && self.node.propose_conf_change(context, change).is_ok()
    }

    /// Who votes, as far as this voter knows; nobody while it waits to be added.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What was agreed on since the last call, in order.
    pub fn take_committed(&mut self) -> Vec<CommittedStep> {
        let mut steps = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let write = |write| self.store.borrow_mut().write(write);
            if *ready.snapshot() != Snapshot::default() {
                let snapshot = ready.snapshot().clone();
                let (index, term) = (snapshot.get_metadata().index, snapshot.get_metadata().term);
                if let Ok((membership, table)) =
                    postcard::from_bytes::<(Membership, LeaseTable)>(&snapshot.data)
                {
                    write(StorageWrite::Snapshot {
                        index,
                        term,
                        membership: membership.clone(),
                        table: Box::new(table.clone()),
                    });
                    (self.applied, self.membership) = (index, membership);
                    steps.push(CommittedStep::Snapshot(table));
                }
            }
            if !ready.entries().is_empty() {
                write(StorageWrite::Append(ready.entries().iter().map(encode_entry).collect()));
            }
            if let Some(hard) = ready.hs() {
                write(StorageWrite::HardState { term: hard.term, vote: hard.vote, commit: hard.commit });
            }
            let mut messages = ready.take_messages();
            messages.extend(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.apply_committed(committed, &mut steps);
            // The library may go on: nothing of this turn leaves before all of its writes are lasting.
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                let hard = self.store.borrow().hard.clone();
                self.store.borrow_mut().write(StorageWrite::HardState {
                    term: hard.term,
                    vote: hard.vote,
                    commit,
                });
            }
            messages.extend(light.take_messages());
            let committed = light.take_committed_entries();
            self.apply_committed(committed, &mut steps);
            self.node.advance_apply();
            for message in &messages {
                if message.get_msg_type() == MessageType::MsgSnapshot {
                    // A snapshot that gets lost is found out like any other message that does.
                    self.node.report_snapshot(message.to, SnapshotStatus::Finish);
                }
            }
            self.messages.extend(messages);
        }
        steps
    }

    fn apply_committed(&mut self, committed: Vec<LogEntry>, steps: &mut Vec<CommittedStep>) {
        for entry in committed {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChange {
                steps.extend(self.apply_membership_change(&entry));
                continue;
            }
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                // An entry that this version can't read changes nothing, on any voter of this version.
                if let Ok(entry) = postcard::from_bytes(&entry.data) {
                    steps.push(CommittedStep::Entry(entry));
                }
            }
        }
    }

    /// A change of the membership was agreed on. Each voter finds by itself, from the membership alone, whether it is refused.
    fn apply_membership_change(&mut self, entry: &LogEntry) -> Option<CommittedStep> {
        let (voter, request_id, change) =
            postcard::from_bytes::<(VoterId, u64, MembershipChange)>(&entry.context).ok()?;
        let outcome = self.membership.apply(&change);
        if outcome == Ok(true) {
            let change = ConfChange::parse_from_bytes(&entry.data).ok()?;
            self.node.apply_conf_change(&change).expect("the membership keeps at least one voter");
            let raft = &mut self.node.raft;
            if raft.state == raft::StateRole::Leader && !self.membership.contains(raft.id) {
                // Guards against a leader that counts itself though it no longer votes, which ends the library.
                raft.become_follower(raft.term, raft::INVALID_ID);
            }
        }
        Some(CommittedStep::MembershipChanged { voter, request_id, outcome: outcome.map(drop) })
    }

    /// The table as of now, for a snapshot, if one is due.
    pub fn snapshot_due(&self) -> bool {
        self.applied >= self.store.borrow().snapshot.0 + SNAPSHOT_INTERVAL
    }

    /// Takes a snapshot and forgets what lies well before it.
    pub fn take_snapshot(&mut self, table: &LeaseTable) {
        let mut store = self.store.borrow_mut();
        let Some(term) = store.term_of(self.applied) else { return };
        let membership = self.membership.clone();
        store.write(StorageWrite::Snapshot {
            index: self.applied,
            term,
            membership,
            table: Box::new(table.clone()),
        });
        let index = self.applied.saturating_sub(ENTRIES_BEHIND_SNAPSHOT);
        if let Some(term) = store.term_of(index) {
            store.write(StorageWrite::Compact { index, term });
        }
    }

    /// Entries applied in.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What has to be lasting before any of the messages of [`Replica::messages`] leaves.
    pub fn take_writes(&mut self) -> Vec<StorageWrite> {
        std::mem::take(&mut self.store.borrow_mut().unsynced)
    }

    /// All that has to be remembered, as the fewest writes.
    pub fn to_writes(&self) -> Vec<StorageWrite> {
        self.store.borrow().to_writes()
    }

    /// Messages for other voters.
    pub fn take_messages(&mut self) -> Vec<(VoterId, Vec<u8>)> {
        let write = |m: Message| (m.to, m.write_to_bytes().expect("a message is plain data"));
        std::mem::take(&mut self.messages).into_iter().map(write).collect()
    }
}

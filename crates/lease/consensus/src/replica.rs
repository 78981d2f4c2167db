//! Replication of the lease table on all voters, by the consensus library `raft`.
//!
//! The library reads an in-memory [`RaftStore`]. Each change that has to be durable becomes a
//! [`StorageWrite`], which the driver writes to disk before it sends any message of the same turn. If the
//! disk fails, the driver drops the whole replica with its messages and rebuilds it from what is durable. No
//! message that was sent can thus rely on a write that failed.

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

/// A change of a voter's durable state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StorageWrite {
    /// Sets the term, the vote and the commit index.
    HardState {
        /// Current term.
        term: u64,
        /// The voter that received this voter's vote in the term; 0 for none.
        vote: VoterId,
        /// Index of the last committed entry.
        commit: u64,
    },
    /// Log entries in the encoding of the library. They replace all entries from the index of the first one
    /// on.
    Append(Vec<Vec<u8>>),
    /// The table as of a log entry. Older entries are no longer needed.
    Snapshot {
        /// Index of the log entry.
        index: u64,
        /// Term of the log entry.
        term: u64,
        /// The voters as of the entry.
        membership: Membership,
        /// The table as of the entry.
        table: Box<LeaseTable>,
    },
    /// Drops the log entries up to an index.
    Compact {
        /// Index of the last dropped entry.
        index: u64,
        /// Term of that entry.
        term: u64,
    },
}

/// Index and term of the first entry of a new fleet.
const BOOTSTRAP_ENTRY: (u64, u64) = (1, 1);

/// The state of a voter, and the part of it that is not durable yet.
#[derive(Clone, Debug, Default)]
pub struct RaftStore {
    hard: HardState,
    /// Index and term of the last dropped entry.
    base: (u64, u64),
    log: Vec<LogEntry>,
    /// Index, term, voters and table of the last snapshot.
    snapshot: (u64, u64, Membership, LeaseTable),
    unsynced: Vec<StorageWrite>,
}

impl RaftStore {
    /// Creates the state of a founding voter: a first entry with these voters. A voter that is added later
    /// starts empty, so that it receives this state or its successors as a snapshot.
    pub fn bootstrap(voters: &[VoterId]) -> RaftStore {
        let (index, term) = BOOTSTRAP_ENTRY;
        let hard = HardState { term, commit: index, ..HardState::default() };
        let snapshot = (index, term, Membership::initial(voters), LeaseTable::default());
        RaftStore { hard, base: BOOTSTRAP_ENTRY, snapshot, ..RaftStore::default() }
    }

    /// Applies a write, also when replaying the journal.
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
                    // The stored log does not lead to the snapshot, so its later entries are useless too.
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

    /// Returns the shortest sequence of writes that recreates this state.
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
    entry.write_to_bytes().expect("encoding a log entry cannot fail")
}

/// Shares the store with the library.
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
        let data = postcard::to_stdvec(&(membership, table)).expect("encoding a table cannot fail").into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (*index, *term);
        meta.set_conf_state(ConfState::from((membership.voter_ids(), vec![])));
        Ok(snapshot)
    }
}

/// Ticks between the heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 3;
/// Ticks without a heartbeat until the first voter starts an election. Each following voter waits
/// [`STAGGER_TICKS`] longer. The waits are fixed instead of random, so that a seed reproduces a history.
const ELECTION_TICKS: usize = 15;
const STAGGER_TICKS: usize = 4;
/// Number of applied entries between snapshots.
const SNAPSHOT_INTERVAL: u64 = 2048;
/// Entries kept before a snapshot, for voters that are slightly behind.
const ENTRIES_BEHIND_SNAPSHOT: u64 = 256;
/// Maximum size of uncommitted proposals, in bytes. Proposals beyond it are dropped, and clients repeat their
/// requests.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// A committed change, in log order.
pub enum CommittedStep {
    /// The table of a received snapshot; replaces all earlier state.
    Snapshot(LeaseTable),
    /// A committed log entry.
    Entry(Entry),
    /// A committed membership change. [`Replica::membership`] reflects it.
    MembershipChanged {
        /// The voter that received the request.
        voter: VoterId,
        /// Number that this voter assigned to the request.
        request_id: u64,
        /// Whether the change was made, or why it was refused.
        outcome: Result<(), MembershipError>,
    },
}

/// One voter's copy of the replicated log.
pub struct Replica {
    node: RawNode<SharedStore>,
    store: Rc<RefCell<RaftStore>>,
    membership: Membership,
    applied: u64,
    messages: Vec<Message>,
}

impl Replica {
    /// Creates a replica from stored state. The first committed steps lead from the last snapshot to the
    /// stored commit index.
    ///
    /// # Errors
    ///
    /// Returns the error of the library if the state is invalid.
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

    /// Returns the table of the last snapshot, which the committed steps continue.
    pub fn snapshot_table(&self) -> LeaseTable {
        self.store.borrow().snapshot.3.clone()
    }

    /// Advances the library's clock by one tick.
    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// Handles a message from another voter. Returns `false` if it is invalid or not addressed to this voter;
    /// it has no effect then.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        message.from == from && message.to == self.node.raft.id && self.node.step(message).is_ok()
    }

    /// Reports that the connection to a voter is down and messages in flight may be lost.
    pub fn report_unreachable(&mut self, voter: VoterId) {
        self.node.report_unreachable(voter);
    }

    /// Returns the leader, if this voter knows one.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == raft::StateRole::Leader
    }

    /// Proposes an entry. Returns `false`, without effect, if no leader is known or too many proposals are
    /// pending.
    pub fn propose(&mut self, entry: &Entry) -> bool {
        let bytes = postcard::to_stdvec(entry).expect("encoding a log entry cannot fail");
        self.leader().is_some() && self.node.propose(Vec::new(), bytes).is_ok()
    }

    /// Proposes a membership change. The library lets one change through at a time. A dropped change gets no
    /// response, so the requester has to repeat it.
    pub fn propose_change(&mut self, voter: VoterId, request_id: u64, change: &MembershipChange) -> bool {
        let context = postcard::to_stdvec(&(voter, request_id, change))
            .expect("encoding a membership change cannot fail");
        let (change_type, node_id) = match change {
            MembershipChange::Add { voter, .. } => (ConfChangeType::AddNode, *voter),
            MembershipChange::Remove { voter } => (ConfChangeType::RemoveNode, *voter),
        };
        let change = ConfChange { change_type, node_id, ..ConfChange::default() };
        self.leader().is_some() && self.node.propose_conf_change(context, change).is_ok()
    }

    /// Returns the voters as of the last applied entry; empty while this voter waits to be added.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns what was committed since the last call, in log order.
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
            // The library may advance already: the driver sends no message of this turn before all of its
            // writes are durable.
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
                    // The loss of a snapshot is detected like that of any other message.
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
                // No voter of this version can decode such an entry, so all of them skip it.
                if let Ok(entry) = postcard::from_bytes(&entry.data) {
                    steps.push(CommittedStep::Entry(entry));
                }
            }
        }
    }

    /// Applies a committed membership change. Every voter decides from the replicated membership alone
    /// whether to refuse it.
    fn apply_membership_change(&mut self, entry: &LogEntry) -> Option<CommittedStep> {
        let (voter, request_id, change) =
            postcard::from_bytes::<(VoterId, u64, MembershipChange)>(&entry.context).ok()?;
        let outcome = self.membership.apply(&change);
        if outcome == Ok(true) {
            let change = ConfChange::parse_from_bytes(&entry.data).ok()?;
            self.node.apply_conf_change(&change).expect("the membership keeps at least one voter");
            let raft = &mut self.node.raft;
            if raft.state == raft::StateRole::Leader && !self.membership.contains(raft.id) {
                // A leader that is no longer a voter but still counts itself makes the library panic.
                raft.become_follower(raft.term, raft::INVALID_ID);
            }
        }
        Some(CommittedStep::MembershipChanged { voter, request_id, outcome: outcome.map(drop) })
    }

    /// Whether enough entries were applied since the last snapshot to take the next one.
    pub fn snapshot_due(&self) -> bool {
        self.applied >= self.store.borrow().snapshot.0 + SNAPSHOT_INTERVAL
    }

    /// Takes a snapshot and drops the log entries well before it.
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

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Takes the writes that must be durable before any message of [`Replica::take_messages`] is sent.
    pub fn take_writes(&mut self) -> Vec<StorageWrite> {
        std::mem::take(&mut self.store.borrow_mut().unsynced)
    }

    /// Returns the shortest sequence of writes that recreates the durable state.
    pub fn to_writes(&self) -> Vec<StorageWrite> {
        self.store.borrow().to_writes()
    }

    /// Takes the messages to send to other voters.
    pub fn take_messages(&mut self) -> Vec<(VoterId, Vec<u8>)> {
        let write = |m: Message| (m.to, m.write_to_bytes().expect("encoding a raft message cannot fail"));
        std::mem::take(&mut self.messages).into_iter().map(write).collect()
    }
}

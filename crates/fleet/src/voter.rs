//! One voter of a fleet, without I/O: frames and `now` go in; records for the disk and frames come out.
//!
//! The driver's duty, each turn: write [`Turn::record`], sync, and only then send [`Turn::frames`]. If the
//! disk says no, it drops the voter and everything that the turn held, and builds it anew from the disk when
//! the disk takes writes again.

use crate::mutant::{is, Mutant};
use crate::replica::{Mirror, Replica, Step, Write};
use crate::table::{Entry, Event, Reply, Table};
use crate::warden::Warden;
use crate::wire::{Answer, Frame, LeaseRow, Say, Status};
use crate::{SessionId, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One turn of the consensus library's clock.
pub const TICK: Duration = Duration::from_millis(20);
/// Turns made up for after a pause; more would be an election storm out of one stop.
const MOST_TICKS: u32 = 5;
/// Clients of one voter.
pub const MOST_CLIENTS: usize = 4096;
/// Reads under way at one voter; an older one goes unanswered, and is asked again.
const MOST_READS: usize = 256;

/// What a voter is told.
#[derive(Clone, Debug)]
pub struct Rank {
    /// Its number.
    pub voter: VoterId,
    /// All voters.
    pub voters: Vec<VoterId>,
    /// A lease whose holder vanished is given to nobody for so long.
    pub lock_delay: Duration,
    /// The identity for its disk, should it be a new one.
    pub new_disk: u64,
}

/// A record of a voter's journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// The disk is this voter's, of these voters. Always the first.
    Birth { voter: VoterId, voters: Vec<VoterId>, disk: u64 },
    /// The number of the turn that wrote what follows.
    Mark(u64),
    /// What the consensus has to remember.
    Write(Write),
    /// Another voter's disk, and the highest mark heard from it.
    Known { voter: VoterId, disk: u64, mark: u64 },
    /// All others have welcomed this disk once.
    Admitted,
}

/// A connection of the driver's.
pub type LinkId = u64;

/// Where a frame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// To a voter, on the link that this voter called.
    Voter(VoterId),
    /// Back on a link that somebody called.
    Link(LinkId),
}

/// What one turn brought about.
#[derive(Debug, Default)]
pub struct Turn {
    /// For the disk, as one record.
    pub record: Option<Vec<u8>>,
    /// To be sent once the records are lasting.
    pub frames: Vec<(To, Frame)>,
}

/// Who is at the other end of a link.
#[derive(Clone, Debug, Default)]
struct Guest {
    voter: Option<VoterId>,
    /// The nonce of the session that it wants to open.
    nonce: Option<u64>,
    session: Option<SessionId>,
    watches: bool,
}

/// One voter.
pub struct Voter {
    rank: Rank,
    disk: u64,
    mark: u64,
    /// Of each other voter: its disk and the highest mark heard from it.
    known: BTreeMap<VoterId, (u64, u64)>,
    /// Voters that let this one vote.
    welcomed: BTreeSet<VoterId>,
    /// All others have welcomed its disk once. Guards against a lost disk taken for a new one: whoever has
    /// voted was known to all others before.
    admitted: bool,
    /// Why it may not vote, as another voter said.
    unwelcome: Option<String>,
    replica: Replica,
    table: Table,
    warden: Warden,
    guests: BTreeMap<LinkId, Guest>,
    sessions: BTreeMap<SessionId, LinkId>,
    linked: BTreeSet<VoterId>,
    reads: BTreeMap<u64, (LinkId, u64)>,
    next_read: u64,
    ticked: Duration,
    dirty: Vec<Record>,
    /// Changes of `known` that can wait for the next write.
    heard: BTreeSet<VoterId>,
    frames: Vec<(To, Frame)>,
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
    pub fn open(rank: Rank, records: &[Vec<u8>], now: Duration) -> Result<Voter, String> {
        let (mut mirror, mut known, mut mark) = (Mirror::new(&rank.voters), BTreeMap::new(), 0);
        let (mut born, mut admitted) = (None, false);
        let mut all: Vec<Record> = Vec::new();
        for bytes in records {
            let turn: Result<Vec<Record>, _> = postcard::from_bytes(bytes);
            all.extend(turn.map_err(|e| format!("a record of the journal: {e}"))?);
        }
        for record in all {
            match record {
                Record::Birth { voter, voters, disk } => {
                    if voter != rank.voter {
                        return Err(format!("the disk is voter {voter}'s, not voter {}'s", rank.voter));
                    }
                    if voters != rank.voters {
                        return Err(format!("the disk is of voters {voters:?}, not {:?}", rank.voters));
                    }
                    born = Some(disk);
                }
                Record::Mark(number) => mark = number,
                Record::Write(write) => mirror.take(write),
                Record::Known { voter, disk, mark } => drop(known.insert(voter, (disk, mark))),
                Record::Admitted => admitted = true,
            }
        }
        if born.is_none() && !records.is_empty() {
            return Err("the journal doesn't begin with a voter's birth".to_owned());
        }
        let (voter, voters) = (rank.voter, rank.voters.clone());
        let mut dirty = Vec::new();
        if born.is_none() {
            dirty.push(Record::Birth { voter, voters: voters.clone(), disk: rank.new_disk });
        }
        let disk = born.unwrap_or(rank.new_disk);
        let replica = Replica::new(voter, mirror)?;
        let mut voter = Voter {
            table: replica.first(),
            replica,
            warden: Warden::new(rank.lock_delay),
            rank,
            disk,
            mark,
            known,
            welcomed: BTreeSet::new(),
            admitted,
            unwelcome: None,
            guests: BTreeMap::new(),
            sessions: BTreeMap::new(),
            linked: BTreeSet::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            ticked: now,
            dirty,
            heard: BTreeSet::new(),
            frames: Vec::new(),
        };
        voter.take_in(now);
        voter.warden.reset(&voter.table, now);
        Ok(voter)
    }

    /// What the voters agreed on, as far as this one knows.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether it may vote.
    pub fn votes(&self) -> bool {
        let others = self.rank.voters.len() - 1;
        let needed =
            if self.admitted || is(Mutant::LostDiskVotes) { self.rank.voters.len() / 2 } else { others };
        self.unwelcome.is_none() && self.welcomed.len() >= needed
    }

    /// The leader, if it knows one.
    pub fn leader(&self) -> Option<VoterId> {
        self.replica.leader().filter(|_| self.votes())
    }

    /// A link that this voter called is up.
    pub fn linked(&mut self, voter: VoterId) {
        self.linked.insert(voter);
        let hello = Frame::Hello { voter: self.rank.voter, disk: self.disk, mark: self.mark };
        self.frames.push((To::Voter(voter), hello));
    }

    /// A link that this voter called is down.
    pub fn unlinked(&mut self, voter: VoterId) {
        self.linked.remove(&voter);
        self.replica.unreachable(voter);
    }

    /// A link that somebody else called is down.
    pub fn gone(&mut self, link: LinkId) {
        if let Some(session) = self.guests.remove(&link).and_then(|g| g.session) {
            if self.sessions.get(&session) == Some(&link) {
                self.sessions.remove(&session);
            }
        }
        self.reads.retain(|_, (l, _)| *l != link);
    }

    /// A voter that this one called answers.
    pub fn called_back(&mut self, voter: VoterId, frame: Frame) {
        match frame {
            Frame::Welcome => {
                self.welcomed.insert(voter);
                if self.votes() && !self.admitted {
                    self.admitted = true;
                    self.dirty.push(Record::Admitted);
                }
            }
            Frame::Unwelcome { reason } => self.unwelcome = Some(format!("voter {voter}: {reason}")),
            _ => {}
        }
    }

    /// A frame came on a link that somebody called. `false` where the link is to be closed.
    pub fn receive(&mut self, link: LinkId, frame: Frame, now: Duration) -> bool {
        match frame {
            Frame::Hello { voter, disk, mark } => self.hello(link, voter, disk, mark),
            Frame::Vote { mark, message } => {
                let Some(voter) = self.guests.get(&link).and_then(|g| g.voter) else { return false };
                let known = self.known.get_mut(&voter);
                // Guards against two processes on copies of one disk: the marks of one fall behind the other's.
                let older = |highest: u64| highest > mark && !is(Mutant::LostDiskVotes);
                let Some((_, highest)) = known.filter(|(_, highest)| !older(*highest)) else { return false };
                if *highest < mark {
                    *highest = mark;
                    self.heard.insert(voter);
                }
                if self.votes() {
                    // One that is out of date is no reason to part.
                    self.replica.receive(voter, &message);
                    self.take_in(now);
                }
                true
            }
            Frame::Client(say) => {
                if !self.guests.contains_key(&link) && self.guests.len() >= MOST_CLIENTS {
                    return false;
                }
                self.say(link, say);
                self.take_in(now);
                true
            }
            Frame::Welcome | Frame::Unwelcome { .. } | Frame::Answer(_) => false,
        }
    }

    fn hello(&mut self, link: LinkId, voter: VoterId, disk: u64, mark: u64) -> bool {
        if voter == self.rank.voter || !self.rank.voters.contains(&voter) {
            let reason = format!("{voter} is not one of the other voters of {:?}", self.rank.voters);
            self.frames.push((To::Link(link), Frame::Unwelcome { reason }));
            return true;
        }
        // Guards against a voter that forgot what it promised: it would promise it again to another.
        let wrong = match self.known.get(&voter) {
            Some((known, _)) if *known != disk => {
                Some(format!("voter {voter} had another disk; remove it and add it anew"))
            }
            Some((_, highest)) if *highest > mark => Some(format!(
                "voter {voter}'s disk is an older copy (write {mark}, {highest} were heard of); remove it and \
                 add it anew"
            )),
            _ => None,
        };
        if let Some(reason) = wrong.filter(|_| !is(Mutant::LostDiskVotes)) {
            self.frames.push((To::Link(link), Frame::Unwelcome { reason }));
            return true;
        }
        // Guards against frames of an older connection that were held up: only the newest one speaks.
        self.guests.retain(|_, g| g.voter != Some(voter));
        self.guests.insert(link, Guest { voter: Some(voter), ..Guest::default() });
        if self.known.insert(voter, (disk, mark)) != Some((disk, mark)) {
            self.dirty.push(Record::Known { voter, disk, mark });
        }
        self.frames.push((To::Link(link), Frame::Welcome));
        true
    }

    fn say(&mut self, link: LinkId, say: Say) {
        let guest = self.guests.entry(link).or_default();
        let entry = match say {
            Say::Open { name, nonce, ttl_ms } => {
                guest.nonce = Some(nonce);
                Entry::Open { name, nonce, ttl_ms }
            }
            Say::Renew { session, count } => {
                self.bind(link, session);
                Entry::Renew { session, count }
            }
            Say::Ask { session, seq, op } => {
                self.bind(link, session);
                Entry::Ask { session, seq, op }
            }
            Say::Close { session } => Entry::Close { session },
            Say::List { ticket } => {
                if self.reads.len() >= MOST_READS {
                    self.reads.pop_first();
                }
                self.next_read += 1;
                self.reads.insert(self.next_read, (link, ticket));
                Entry::Mark { by: self.rank.voter, ticket: self.next_read }
            }
            Say::Status { ticket } => {
                let status = self.status();
                self.frames.push((To::Link(link), Frame::Answer(Answer::Status { ticket, status })));
                return;
            }
            Say::Watch => {
                guest.watches = true;
                return;
            }
        };
        if !self.votes() || !self.replica.propose(&entry) {
            self.frames.push((To::Link(link), Frame::Answer(Answer::NotNow)));
        }
    }

    fn bind(&mut self, link: LinkId, session: SessionId) {
        self.guests.entry(link).or_default().session = Some(session);
        self.sessions.insert(session, link);
    }

    /// How it is.
    pub fn status(&self) -> Status {
        let state = match (&self.unwelcome, self.votes()) {
            (Some(reason), _) => format!("not admitted: {reason}"),
            (None, true) => "voting".to_owned(),
            (None, false) => format!("waiting to be admitted by {:?}", self.not_yet()),
        };
        Status {
            voter: self.rank.voter,
            state,
            leader: self.leader(),
            voters: self.rank.voters.clone(),
            linked: self.linked.iter().copied().collect(),
            applied: self.replica.taken(),
            sessions: self.table.sessions().len(),
            leases: self.table.leases().len(),
            clients: self.guests.values().filter(|g| g.voter.is_none()).count(),
        }
    }

    fn not_yet(&self) -> Vec<VoterId> {
        let others = self.rank.voters.iter().filter(|v| **v != self.rank.voter);
        others.filter(|v| !self.welcomed.contains(v)).copied().collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        let turns = ((now.saturating_sub(self.ticked)).as_millis() / TICK.as_millis()) as u32;
        if turns == 0 {
            return;
        }
        self.ticked = if turns > MOST_TICKS { now } else { self.ticked + TICK * turns };
        if !self.votes() {
            return;
        }
        (0..turns.min(MOST_TICKS)).for_each(|_| self.replica.tick());
        if self.replica.leads() {
            for entry in self.warden.due(&self.table, now) {
                self.replica.propose(&entry);
            }
        }
        self.take_in(now);
    }

    /// Takes in what was agreed on.
    fn take_in(&mut self, now: Duration) {
        for step in self.replica.agreed() {
            let entry = match step {
                Step::Table(table) => {
                    self.table = table;
                    self.warden.reset(&self.table, now);
                    continue;
                }
                Step::Entry(entry) => entry,
            };
            let (reply, events) = self.table.apply(&entry);
            events.iter().for_each(|e| self.warden.note(e, now));
            self.answer(&entry, reply);
            self.tell(&events);
        }
        if self.replica.snapshot_due() {
            self.replica.snapshot(&self.table);
        }
    }

    /// Answers whoever an entry came from, if it is a guest of this voter.
    fn answer(&mut self, entry: &Entry, reply: Option<Reply>) {
        let (link, answer) = match (entry, reply) {
            (Entry::Open { nonce, .. }, Some(reply)) => {
                let Some((link, guest)) = self.guests.iter_mut().find(|(_, g)| g.nonce == Some(*nonce))
                else {
                    return;
                };
                let link = *link;
                guest.nonce = None;
                if let Reply::Opened { session } = reply {
                    guest.session = Some(session);
                    self.sessions.insert(session, link);
                }
                (Some(link), Answer::Open { nonce: *nonce, reply })
            }
            (Entry::Renew { session, count }, Some(reply)) => {
                let answer = Answer::Renew { session: *session, count: *count, reply };
                (self.sessions.get(session).copied(), answer)
            }
            (Entry::Ask { session, seq, .. }, Some(reply)) => {
                (self.sessions.get(session).copied(), Answer::Ask { session: *session, seq: *seq, reply })
            }
            (Entry::Mark { by, ticket }, _) if *by == self.rank.voter => {
                let Some((link, ticket)) = self.reads.remove(ticket) else { return };
                let table = &self.table;
                let leases = table.leases().keys().map(|name| LeaseRow::of(table, name)).collect();
                let held = |id: &SessionId| table.holds(*id).len();
                let sessions =
                    table.sessions().iter().map(|(id, s)| (*id, s.name.clone(), held(id))).collect();
                (Some(link), Answer::List { ticket, leases, sessions })
            }
            _ => return,
        };
        if let Some(link) = link {
            self.frames.push((To::Link(link), Frame::Answer(answer)));
        }
    }

    /// Tells guests of this voter what others brought about.
    fn tell(&mut self, events: &[Event]) {
        for event in events {
            if let Event::Granted { session, unasked: true, .. } = event {
                if let Some(link) = self.sessions.get(session) {
                    let hint = Answer::Hint { session: *session };
                    self.frames.push((To::Link(*link), Frame::Answer(hint)));
                }
            }
            if let Event::Ended(session) = event {
                self.sessions.remove(session);
            }
            let Some(lease) = LeaseRow::changed(event) else { continue };
            for (link, _) in self.guests.iter().filter(|(_, g)| g.watches) {
                let change = Answer::Change { lease: LeaseRow::of(&self.table, lease) };
                self.frames.push((To::Link(*link), Frame::Answer(change)));
            }
        }
    }

    /// Ends a turn: what is to be written, and what is to be sent when it is lasting.
    pub fn turn(&mut self) -> Turn {
        let writes = self.replica.writes();
        let mut records = std::mem::take(&mut self.dirty);
        let born = matches!(records.first(), Some(Record::Birth { .. }));
        if !writes.is_empty() || !records.is_empty() {
            for voter in std::mem::take(&mut self.heard) {
                let (disk, mark) = self.known[&voter];
                records.push(Record::Known { voter, disk, mark });
            }
            self.mark += 1;
            records.insert(usize::from(born), Record::Mark(self.mark));
            records.extend(writes.into_iter().map(Record::Write));
        }
        let mark = self.mark;
        // A link's hello goes before anything else on it.
        let mut frames = std::mem::take(&mut self.frames);
        let messages = self.replica.messages();
        if self.votes() {
            frames.extend(
                messages.into_iter().map(|(to, message)| (To::Voter(to), Frame::Vote { mark, message })),
            );
        }
        for (_, frame) in &mut frames {
            if let Frame::Hello { mark: said, .. } = frame {
                *said = mark;
            }
        }
        Turn { record: (!records.is_empty()).then(|| encode(&records)), frames }
    }

    /// All that the journal has to hold, as one record: for a rewrite once it has grown.
    pub fn whole(&self) -> Vec<u8> {
        let Rank { voter, voters, .. } = self.rank.clone();
        let mut records = vec![Record::Birth { voter, voters, disk: self.disk }, Record::Mark(self.mark)];
        records.extend(self.admitted.then_some(Record::Admitted));
        let known = |(&voter, &(disk, mark)): (&VoterId, &(u64, u64))| Record::Known { voter, disk, mark };
        records.extend(self.known.iter().map(known));
        records.extend(self.replica.whole().into_iter().map(Record::Write));
        encode(&records)
    }
}

//! One voter of a fleet, without I/O: frames and `now` go in; records for the disk and frames come out.
//!
//! The driver's duty, each turn: write [`Turn::record`], sync, and only then send [`Turn::frames`]. If the
//! disk says no, it drops the voter and everything that the turn held, and builds it anew from the disk when
//! the disk takes writes again.

mod links;

use crate::expiry::ExpiryWatch;
use crate::lease_table::{Entry, Event, LeaseTable, Reply};
use crate::membership::{Change, Membership, MOST_VOTERS};
use crate::mutant::{is, Mutant};
use crate::replica::{Mirror, Replica, Step, Write};
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
/// Those that haven't welcomed a voter are asked again, and marks are passed on, after so long.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// Reads under way at one voter; an older one goes unanswered, and is asked again.
const MOST_READS: usize = 256;

/// What a voter is told.
#[derive(Clone, Debug)]
pub struct VoterIdentity {
    /// Its number.
    pub voter: VoterId,
    /// The voters that the fleet begins with; for a voter that waits to be added, those that it asks.
    pub voters: Vec<VoterId>,
    /// On a new disk: it waits to be added to a fleet that goes on already.
    pub joins: bool,
    /// A lease whose holder vanished is given to nobody for so long.
    pub lock_delay: Duration,
    /// The identity for its disk, should it be a new one.
    pub new_disk: u64,
    /// Drawn anew at each start: tells a voter that came back from one that only called again.
    pub life: u64,
}

/// A record of a voter's journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// The first record of journals of an older form, which can't be read on.
    Former,
    /// The disk is this voter's. These voters began the fleet, or nobody is known yet. Always the first.
    Birth { voter: VoterId, founders: Option<Vec<VoterId>>, disk: u64 },
    /// The number of the turn that wrote what follows.
    Mark(u64),
    /// What the consensus has to remember.
    Write(Write),
    /// Another voter's disk, and the highest mark heard from it.
    Known(VoterId, Known),
    /// All others have welcomed this disk once.
    Admitted,
}

/// What is known of another voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    disk: u64,
    /// The highest mark heard of it, and the life in which it was.
    mark: u64,
    life: u64,
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
    /// A voter's life, and the highest mark that came on this link.
    life: u64,
    mark: u64,
    /// The nonce of the session that it wants to open.
    nonce: Option<u64>,
    session: Option<SessionId>,
    watches: bool,
}

/// One voter.
pub struct Voter {
    identity: VoterIdentity,
    disk: u64,
    mark: u64,
    known: BTreeMap<VoterId, Known>,
    /// Who votes, as of what was taken in.
    membership: Membership,
    /// Voters that let this one vote.
    welcomed: BTreeSet<VoterId>,
    /// Enough have, in this life.
    may_vote: bool,
    /// Voters that were added, as they say, and where they listen: this one may not have heard of it yet.
    visitors: BTreeMap<VoterId, String>,
    /// All others have welcomed its disk once. Guards against a lost disk taken for a new one: whoever has
    /// voted was known to all others before.
    admitted: bool,
    /// Why it may not vote, as another voter said.
    unwelcome: Option<String>,
    replica: Replica,
    table: LeaseTable,
    expiry: ExpiryWatch,
    guests: BTreeMap<LinkId, Guest>,
    sessions: BTreeMap<SessionId, LinkId>,
    linked: BTreeSet<VoterId>,
    reads: BTreeMap<u64, (LinkId, u64)>,
    next_read: u64,
    ticked: Duration,
    /// When those that haven't welcomed it are asked again, and when the others are told of marks.
    ask_at: Duration,
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
    pub fn open(identity: VoterIdentity, records: &[Vec<u8>], now: Duration) -> Result<Voter, String> {
        let founders = (!identity.joins).then(|| identity.voters.clone());
        let begin = |founders: &Option<Vec<VoterId>>| {
            founders.as_ref().map_or_else(Mirror::default, |founders| Mirror::founded(founders))
        };
        let (mut mirror, mut known, mut mark) = (begin(&founders), BTreeMap::new(), 0);
        let (mut born, mut admitted) = (None, false);
        let mut all: Vec<Record> = Vec::new();
        for bytes in records {
            let turn: Result<Vec<Record>, _> = postcard::from_bytes(bytes);
            all.extend(turn.map_err(|e| format!("a record of the journal (of an older version?): {e}"))?);
        }
        for record in all {
            match record {
                Record::Former => return Err("the journal is of an older version".to_owned()),
                Record::Birth { voter, founders, disk } => {
                    if voter != identity.voter {
                        return Err(format!("the disk is voter {voter}'s, not voter {}'s", identity.voter));
                    }
                    (mirror, born) = (begin(&founders), Some(disk));
                }
                Record::Mark(number) => mark = number,
                Record::Write(write) => mirror.take(write),
                Record::Known(voter, heard) => drop(known.insert(voter, heard)),
                Record::Admitted => admitted = true,
            }
        }
        if born.is_none() && !records.is_empty() {
            return Err("the journal doesn't begin with a voter's birth".to_owned());
        }
        let voter = identity.voter;
        let mut dirty = Vec::new();
        if born.is_none() {
            dirty.push(Record::Birth { voter, founders, disk: identity.new_disk });
            // One that waits to be added is known to the others by its disk before it ever votes.
            admitted = identity.joins;
            dirty.extend(admitted.then_some(Record::Admitted));
        }
        let disk = born.unwrap_or(identity.new_disk);
        let replica = Replica::new(voter, mirror)?;
        let mut voter = Voter {
            table: replica.first(),
            membership: replica.membership().clone(),
            replica,
            expiry: ExpiryWatch::new(identity.lock_delay),
            identity,
            disk,
            mark,
            known,
            welcomed: BTreeSet::new(),
            may_vote: false,
            visitors: BTreeMap::new(),
            admitted,
            unwelcome: None,
            guests: BTreeMap::new(),
            sessions: BTreeMap::new(),
            linked: BTreeSet::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            ticked: now,
            ask_at: now,
            dirty,
            heard: BTreeSet::new(),
            frames: Vec::new(),
        };
        voter.take_in(now);
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
        let known = self.membership.voters();
        let all = if known.is_empty() { &self.identity.voters } else { &known };
        all.iter().copied().filter(|v| *v != self.identity.voter).collect()
    }

    /// Where voters listen that are not in the membership, as they say themselves.
    pub fn visitors(&self) -> &BTreeMap<VoterId, String> {
        &self.visitors
    }

    /// Whether it was a voter and is none any more.
    fn removed(&self) -> bool {
        self.membership.removed(self.identity.voter)
    }

    /// Whether it may vote. One that was removed goes on until the others refuse it: they may not know yet that its
    /// removal was agreed on, and need its voice to find out.
    pub fn votes(&self) -> bool {
        self.may_vote && self.unwelcome.is_none() && !(is(Mutant::RemovedStops) && self.removed())
    }

    /// Votes once enough others have welcomed it: all of them where none may know its disk yet, else as
    /// many as make a majority with it.
    fn begin_to_vote(&mut self) {
        let others = self.others();
        let needed =
            if self.admitted || is(Mutant::LostDiskVotes) { others.len().div_ceil(2) } else { others.len() };
        self.may_vote |= others.iter().filter(|v| self.welcomed.contains(v)).count() >= needed;
        if self.votes() && !self.admitted {
            self.admitted = true;
            self.dirty.push(Record::Admitted);
        }
    }

    /// The leader, if it knows one.
    pub fn leader(&self) -> Option<VoterId> {
        self.replica.leader().filter(|_| self.votes())
    }

    /// How it is.
    pub fn status(&self) -> Status {
        let state = match &self.unwelcome {
            _ if self.removed() => "removed".to_owned(),
            Some(reason) => format!("not admitted: {reason}"),
            _ if self.membership.voters().is_empty() => {
                format!("waiting to be added (fleet add --id {})", self.identity.voter)
            }
            _ if self.votes() => "voting".to_owned(),
            None => format!("waiting to be admitted by {:?}", self.not_yet()),
        };
        Status {
            voter: self.identity.voter,
            state,
            leader: self.leader(),
            // A name that isn't lasting yet could be another after the next start.
            disk: if self.mark > 0 { self.disk } else { 0 },
            voters: self.told_voters(),
            linked: self.linked.iter().copied().collect(),
            applied: self.replica.taken(),
            sessions: self.table.sessions().len(),
            leases: self.table.leases().len(),
            clients: self.guests.values().filter(|g| g.voter.is_none()).count(),
            refused: Vec::new(),
        }
    }

    fn not_yet(&self) -> Vec<VoterId> {
        self.others().into_iter().filter(|v| !self.welcomed.contains(v)).collect()
    }

    /// The voters, with the address of each that doesn't stand in everybody's file.
    fn told_voters(&self) -> Vec<(VoterId, Option<String>)> {
        let address = |place: &Option<crate::membership::Place>| place.as_ref().map(|p| p.address.clone());
        self.membership.places().iter().map(|(voter, place)| (*voter, address(place))).collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        let turns = ((now.saturating_sub(self.ticked)).as_millis() / TICK.as_millis()) as u32;
        if turns == 0 {
            return;
        }
        self.ticked = if turns > MOST_TICKS { now } else { self.ticked + TICK * turns };
        if now >= self.ask_at {
            self.ask_at = now + ASK_AGAIN;
            self.pass_on();
        }
        if !self.votes() {
            return;
        }
        (0..turns.min(MOST_TICKS)).for_each(|_| self.replica.tick());
        if self.replica.leads() {
            for entry in self.expiry.due(&self.table, now) {
                self.replica.propose(&entry);
            }
        }
        self.take_in(now);
    }

    /// Asks those again that haven't welcomed it, and tells the others which marks it heard. Guards against a
    /// disk that went back to an older copy when the one voter that had heard its last writes is gone.
    fn pass_on(&mut self) {
        let marks: Vec<_> = self.known.iter().map(|(v, known)| (*v, known.mark, known.life)).collect();
        for voter in self.linked.clone() {
            if !self.welcomed.contains(&voter) {
                self.greet(voter);
            } else if self.votes() {
                self.frames.push((To::Voter(voter), Frame::Marks(marks.clone())));
            }
        }
    }

    /// The membership is another: whoever needs to know is told.
    fn membership_changed(&mut self) {
        self.membership = self.replica.membership().clone();
        for (voter, place) in self.membership.places() {
            let Some(place) = place.as_ref().filter(|_| *voter != self.identity.voter) else { continue };
            let known = Known { disk: place.disk, ..Known::default() };
            // Under its number no other disk is ever welcomed, by a voter that never heard of it either.
            if self.known.get(voter).is_none_or(|k| k.disk != place.disk) {
                self.known.insert(*voter, known);
                self.dirty.push(Record::Known(*voter, known));
            }
        }
        // Voters call again, and are looked at with what is known now.
        let visitors = std::mem::take(&mut self.visitors);
        let stays = |v: VoterId| !self.membership.removed(v) && !visitors.contains_key(&v);
        self.guests.retain(|_, g| g.voter.is_none_or(stays));
        // A snapshot that doesn't name a voter is of no use to it.
        self.replica.snapshot(&self.table);
        self.begin_to_vote();
        for link in self.guests.iter().filter(|(_, g)| g.session.is_some()).map(|(l, _)| *l) {
            let voters = Answer::Voters(self.told_voters());
            self.frames.push((To::Link(link), Frame::Answer(voters)));
        }
    }

    /// Takes in what was agreed on.
    fn take_in(&mut self, now: Duration) {
        for step in self.replica.agreed() {
            let entry = match step {
                Step::LeaseTable(table) => {
                    self.table = table;
                    self.expiry.reset(&self.table, now);
                    continue;
                }
                Step::Entry(entry) => entry,
                Step::Changed { by, ticket, outcome } => {
                    if let Some((link, ticket)) =
                        Some(ticket).filter(|_| by == self.identity.voter).and_then(|t| self.reads.remove(&t))
                    {
                        let answer = Answer::Changed { ticket, outcome };
                        self.frames.push((To::Link(link), Frame::Answer(answer)));
                    }
                    continue;
                }
            };
            let (reply, events) = self.table.apply(&entry);
            events.iter().for_each(|e| self.expiry.note(e, now));
            self.answer(&entry, reply);
            self.tell(&events);
        }
        if self.membership != *self.replica.membership() {
            self.membership_changed();
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
                    let voters = Answer::Voters(self.told_voters());
                    self.frames.push((To::Link(link), Frame::Answer(voters)));
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
            (Entry::Mark { by, ticket }, _) if *by == self.identity.voter => {
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
                records.push(Record::Known(voter, self.known[&voter]));
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
        // What follows holds all that the founders' table became.
        let birth = Record::Birth { voter: self.identity.voter, founders: None, disk: self.disk };
        let mut records = vec![birth, Record::Mark(self.mark)];
        records.extend(self.admitted.then_some(Record::Admitted));
        records.extend(self.known.iter().map(|(voter, known)| Record::Known(*voter, *known)));
        records.extend(self.replica.whole().into_iter().map(Record::Write));
        encode(&records)
    }
}

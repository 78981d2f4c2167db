//! A voter with its disk: what it writes is lasting before what it says leaves, and a disk that fails takes
//! the voter out at once, until the disk takes writes again.

use passrelay_lease_consensus::mutant::{is, Mutant};
use passrelay_lease_consensus::voter::{LinkId, To, Voter, VoterIdentity};
use passrelay_lease_consensus::wire::{Frame, Status};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::{Disk, Journal, JournalError};
use std::io;
use std::time::Duration;

/// The journal's name in a voter's folder.
const NAME: &str = "voter";
/// A disk that failed is tried again after so long.
const AGAIN: Duration = Duration::from_millis(500);
/// A journal is rewritten once it is this much longer than after its last rewrite.
const GROWN: u64 = 1 << 20;

/// A voter that runs.
struct Running<D> {
    voter: Voter,
    journal: Journal<D>,
    rewritten: u64,
}

/// A voter with its disk.
pub struct DurableVoter<D> {
    identity: VoterIdentity,
    /// Opens the disk, at the start and after it failed.
    disk: Box<dyn FnMut() -> io::Result<D>>,
    running: Option<Running<D>>,
    /// Why it isn't running, and when it is tried again.
    left: Option<(String, Duration)>,
}

/// What a turn brought about.
#[derive(Debug, Default)]
pub struct Outcome {
    /// To be sent.
    pub frames: Vec<(To, Frame)>,
    /// The voter left or came back: all links are to be closed, and called anew.
    pub reset: bool,
}

impl<D: Disk> DurableVoter<D> {
    /// Opens the disk and starts the voter.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the disk or with what is on it.
    pub fn open(
        identity: VoterIdentity,
        mut disk: Box<dyn FnMut() -> io::Result<D>>,
        now: Duration,
    ) -> Result<DurableVoter<D>, String> {
        let running = Some(start(&identity, &mut disk, now)?);
        Ok(DurableVoter { identity, disk, running, left: None })
    }

    /// The voter, while it runs.
    pub fn voter(&self) -> Option<&Voter> {
        self.running.as_ref().map(|s| &s.voter)
    }

    /// Why the voter doesn't run.
    pub fn left(&self) -> Option<&str> {
        self.left.as_ref().map(|(reason, _)| reason.as_str())
    }

    /// How the voter is.
    pub fn status(&self) -> Status {
        match &self.running {
            Some(running) => running.voter.status(),
            None => Status {
                voter: self.identity.voter,
                state: format!("no disk: {}", self.left().unwrap_or("")),
                ..Status::default()
            },
        }
    }

    /// A link that this voter called is up.
    pub fn linked(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.linked(voter);
        }
    }

    /// A link that this voter called is down.
    pub fn unlinked(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.unlinked(voter);
        }
    }

    /// A voter that this one called answers.
    pub fn called_back(&mut self, voter: VoterId, frame: Frame) {
        if let Some(running) = &mut self.running {
            running.voter.called_back(voter, frame);
        }
    }

    /// A link that somebody else called is down.
    pub fn gone(&mut self, link: LinkId) {
        if let Some(running) = &mut self.running {
            running.voter.gone(link);
        }
    }

    /// A frame came on a link that somebody called. `false` where the link is to be closed.
    pub fn receive(&mut self, link: LinkId, frame: Frame, now: Duration) -> bool {
        self.running.as_mut().is_some_and(|s| s.voter.receive(link, frame, now))
    }

    /// Lets time pass; a voter whose disk failed tries to come back.
    pub fn tick(&mut self, now: Duration) -> Outcome {
        if let Some(running) = &mut self.running {
            running.voter.tick(now);
        } else if self.left.as_ref().is_none_or(|(_, again)| now >= *again) {
            match start(&self.identity, &mut self.disk, now) {
                Ok(running) => {
                    (self.running, self.left) = (Some(running), None);
                    return Outcome { reset: true, ..Outcome::default() };
                }
                Err(reason) => self.left = Some((reason, now + AGAIN)),
            }
        }
        Outcome::default()
    }

    /// Ends a turn: writes what has to be lasting, then gives what may be sent.
    pub fn turn(&mut self, now: Duration) -> Outcome {
        let Some(running) = &mut self.running else { return Outcome::default() };
        let turn = running.voter.turn();
        match running.keep(turn.record) {
            Ok(()) => Outcome { frames: turn.frames, reset: false },
            Err(e) => {
                // Nothing of this turn leaves: it was never promised.
                self.running = None;
                self.left = Some((e.to_string(), now + AGAIN));
                Outcome { reset: true, ..Outcome::default() }
            }
        }
    }
}

impl<D: Disk> Running<D> {
    fn keep(&mut self, record: Option<Vec<u8>>) -> Result<(), JournalError> {
        if let Some(record) = record.filter(|_| !is(Mutant::SentUnsynced)) {
            self.journal.append(&[record])?;
        }
        if self.journal.length() > self.rewritten + GROWN {
            self.journal.rewrite(&[self.voter.whole()])?;
            self.rewritten = self.journal.length();
        }
        Ok(())
    }
}

fn start<D: Disk>(
    identity: &VoterIdentity,
    disk: &mut Box<dyn FnMut() -> io::Result<D>>,
    now: Duration,
) -> Result<Running<D>, String> {
    let disk = disk().map_err(|e| e.to_string())?;
    let (journal, records) = Journal::open(disk, NAME).map_err(|e| e.to_string())?;
    let voter = Voter::open(identity.clone(), &records, now)?;
    let rewritten = journal.length();
    Ok(Running { voter, journal, rewritten })
}

//! A voter with its disk: what it writes is lasting before what it says leaves, and a disk that fails takes
//! the voter out at once, until the disk takes writes again.

use passrelay_lease_consensus::mutant::{is_active, Mutant};
use passrelay_lease_consensus::voter::{LinkId, Recipient, Voter, VoterConfig};
use passrelay_lease_consensus::wire::{Frame, VoterStatus};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::{Disk, Journal, JournalError};
use std::io;
use std::time::Duration;

/// The journal's name in a voter's folder.
const JOURNAL_NAME: &str = "voter";
/// A disk that failed is tried again after so long.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A journal is rewritten_length once it is this much longer than after its last rewrite.
const REWRITE_GROWTH_BYTES: u64 = 1 << 20;

/// A voter that runs.
struct Running<D> {
    voter: Voter,
    journal: Journal<D>,
    rewritten_length: u64,
}

/// A voter with its disk.
pub struct DurableVoter<D> {
    config: VoterConfig,
    /// Opens the disk, at the start and after it failed.
    disk: Box<dyn FnMut() -> io::Result<D>>,
    running: Option<Running<D>>,
    /// Why it isn't running, and when it is tried again.
    failure: Option<(String, Duration)>,
}

/// What a turn brought about.
#[derive(Debug, Default)]
pub struct Outcome {
    /// To be sent.
    pub frames: Vec<(Recipient, Frame)>,
    /// The voter failure or came back: all links are to be closed, and called anew.
    pub reset: bool,
}

impl<D: Disk> DurableVoter<D> {
    /// Opens the disk and starts the voter.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the disk or with what is on it.
    pub fn open(
        config: VoterConfig,
        mut disk: Box<dyn FnMut() -> io::Result<D>>,
        now: Duration,
    ) -> Result<DurableVoter<D>, String> {
        let running = Some(start(&config, &mut disk, now)?);
        Ok(DurableVoter { config, disk, running, failure: None })
    }

    /// The voter, while it runs.
    pub fn voter(&self) -> Option<&Voter> {
        self.running.as_ref().map(|s| &s.voter)
    }

    /// Why the voter doesn't run.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_ref().map(|(reason, _)| reason.as_str())
    }

    /// How the voter is.
    pub fn status(&self) -> VoterStatus {
        match &self.running {
            Some(running) => running.voter.status(),
            None => VoterStatus {
                voter: self.config.voter,
                state: format!("no disk: {}", self.failure().unwrap_or("")),
                ..VoterStatus::default()
            },
        }
    }

    /// A link that this voter called is up.
    pub fn outbound_up(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.outbound_up(voter);
        }
    }

    /// A link that this voter called is down.
    pub fn outbound_down(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.outbound_down(voter);
        }
    }

    /// A voter that this one called answers.
    pub fn receive_from_voter(&mut self, voter: VoterId, frame: Frame) {
        if let Some(running) = &mut self.running {
            running.voter.receive_from_voter(voter, frame);
        }
    }

    /// A link that somebody else called is down.
    pub fn inbound_closed(&mut self, link: LinkId) {
        if let Some(running) = &mut self.running {
            running.voter.inbound_closed(link);
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
        } else if self.failure.as_ref().is_none_or(|(_, again)| now >= *again) {
            match start(&self.config, &mut self.disk, now) {
                Ok(running) => {
                    (self.running, self.failure) = (Some(running), None);
                    return Outcome { reset: true, ..Outcome::default() };
                }
                Err(reason) => self.failure = Some((reason, now + RETRY_INTERVAL)),
            }
        }
        Outcome::default()
    }

    /// Ends a turn: writes what has to be lasting, then gives what may be sent.
    pub fn finish_turn(&mut self, now: Duration) -> Outcome {
        let Some(running) = &mut self.running else { return Outcome::default() };
        let turn = running.voter.finish_turn();
        match running.persist(turn.record) {
            Ok(()) => Outcome { frames: turn.frames, reset: false },
            Err(e) => {
                // Nothing of this turn leaves: it was never promised.
                self.running = None;
                self.failure = Some((e.to_string(), now + RETRY_INTERVAL));
                Outcome { reset: true, ..Outcome::default() }
            }
        }
    }
}

impl<D: Disk> Running<D> {
    fn persist(&mut self, record: Option<Vec<u8>>) -> Result<(), JournalError> {
        if let Some(record) = record.filter(|_| !is_active(Mutant::SentUnsynced)) {
            self.journal.append(&[record])?;
        }
        if self.journal.length() > self.rewritten_length + REWRITE_GROWTH_BYTES {
            self.journal.rewrite(&[self.voter.to_record()])?;
            self.rewritten_length = self.journal.length();
        }
        Ok(())
    }
}

fn start<D: Disk>(
    config: &VoterConfig,
    disk: &mut Box<dyn FnMut() -> io::Result<D>>,
    now: Duration,
) -> Result<Running<D>, String> {
    let disk = disk().map_err(|e| e.to_string())?;
    let (journal, records) = Journal::open(disk, JOURNAL_NAME).map_err(|e| e.to_string())?;
    let voter = Voter::open(config.clone(), &records, now)?;
    let rewritten_length = journal.length();
    Ok(Running { voter, journal, rewritten_length })
}

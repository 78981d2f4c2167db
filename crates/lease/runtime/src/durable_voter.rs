//! A voter with its journal. Its records are durable before its frames are sent. A disk error stops the voter
//! at once, until the disk accepts writes again.

use passrelay_lease_consensus::mutant::{is_active, Mutant};
use passrelay_lease_consensus::voter::{LinkId, Recipient, Voter, VoterConfig};
use passrelay_lease_consensus::wire::{Frame, VoterStatus};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::{Disk, Journal, JournalError};
use std::io;
use std::time::Duration;

/// Name of the journal in the voter's directory.
const JOURNAL_NAME: &str = "voter";
/// Delay before a failed disk is opened again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The journal is rewritten once it has grown by more than this since the last rewrite, in bytes.
const REWRITE_GROWTH_BYTES: u64 = 1 << 20;

/// A running voter with its open journal.
struct Running<D> {
    voter: Voter,
    journal: Journal<D>,
    rewritten_length: u64,
}

/// A voter that stops when its disk fails and restarts from its journal.
pub struct DurableVoter<D> {
    config: VoterConfig,
    /// Opens the disk, at the start and after a failure.
    disk: Box<dyn FnMut() -> io::Result<D>>,
    running: Option<Running<D>>,
    /// Why the voter is not running, and when to try to restart it.
    failure: Option<(String, Duration)>,
}

/// The output of a turn or tick.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Frames to send.
    pub frames: Vec<(Recipient, Frame)>,
    /// Whether the voter stopped or restarted, so that all connections have to be closed and opened anew.
    pub reset: bool,
}

impl<D: Disk> DurableVoter<D> {
    /// Opens the disk and starts the voter.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the disk or its content.
    pub fn open(
        config: VoterConfig,
        mut disk: Box<dyn FnMut() -> io::Result<D>>,
        now: Duration,
    ) -> Result<DurableVoter<D>, String> {
        let running = Some(start(&config, &mut disk, now)?);
        Ok(DurableVoter { config, disk, running, failure: None })
    }

    /// Returns the voter while it is running.
    pub fn voter(&self) -> Option<&Voter> {
        self.running.as_ref().map(|s| &s.voter)
    }

    /// Returns why the voter is not running.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_ref().map(|(reason, _)| reason.as_str())
    }

    /// Returns the status of the voter, also while it is stopped.
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

    /// Handles a new connection that this voter opened.
    pub fn outbound_up(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.outbound_up(voter);
        }
    }

    /// Handles the loss of a connection that this voter opened.
    pub fn outbound_down(&mut self, voter: VoterId) {
        if let Some(running) = &mut self.running {
            running.voter.outbound_down(voter);
        }
    }

    /// Handles a frame from a voter on the connection that this voter opened.
    pub fn receive_from_voter(&mut self, voter: VoterId, frame: Frame) {
        if let Some(running) = &mut self.running {
            running.voter.receive_from_voter(voter, frame);
        }
    }

    /// Handles the loss of a connection that the peer opened.
    pub fn inbound_closed(&mut self, link: LinkId) {
        if let Some(running) = &mut self.running {
            running.voter.inbound_closed(link);
        }
    }

    /// Handles a frame on a connection that the peer opened. Returns `false` if the connection has to be
    /// closed.
    pub fn receive(&mut self, link: LinkId, frame: Frame, now: Duration) -> bool {
        self.running.as_mut().is_some_and(|s| s.voter.receive(link, frame, now))
    }

    /// Advances the clock, or tries to restart a stopped voter.
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

    /// Ends a turn: makes its record durable, then returns the frames to send.
    pub fn finish_turn(&mut self, now: Duration) -> Outcome {
        let Some(running) = &mut self.running else { return Outcome::default() };
        let turn = running.voter.finish_turn();
        match running.persist(turn.record) {
            Ok(()) => Outcome { frames: turn.frames, reset: false },
            Err(e) => {
                // No frame of this turn is sent, so nobody relies on the failed write.
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

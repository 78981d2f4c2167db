//! A member's disk: writes take time, and what was not synced may be lost with power.

use passrelay_control_plane::replication::{DurableState, DurableWrite, MemberId, WriteId};
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// A write that is under way.
#[derive(Debug)]
struct Pending {
    write_id: WriteId,
    write: DurableWrite,
    done_at: Duration,
}

/// How a disk is made to break its promises; each of these has to be found by the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMutation {
    /// A write is told as done before it is synced.
    AcknowledgesBeforeSync,
    /// A wiped machine keeps its identity.
    KeepsIdentityWhenWiped,
    /// What the witness has stored is lost at each restart.
    ForgetsWitness,
    /// Taken orders are lost at each restart.
    DropsAppliedChanges,
    /// That the machine was started with the whole system is forgotten when its process ends.
    ForgetsBootstrap,
}

/// The disk of one machine.
#[derive(Debug)]
pub struct Disk {
    identity: MemberId,
    /// Whether this disk was first used when the whole system was started; unknown before that.
    founding: Option<bool>,
    synced: DurableState,
    pending: VecDeque<Pending>,
    mutant: Option<DiskMutation>,
    /// Time that a sync takes.
    pub latency: Duration,
    /// Nothing ends before this time.
    pub stalled_until: Duration,
    /// Writes are refused before this time.
    pub full_until: Duration,
}

impl Disk {
    /// An empty disk.
    pub fn new(rng: &mut impl Rng, latency: Duration, mutant: Option<DiskMutation>) -> Self {
        Disk {
            identity: MemberId(rng.random_range(1..u64::MAX)),
            founding: None,
            synced: DurableState::default(),
            pending: VecDeque::new(),
            mutant,
            latency,
            stalled_until: Duration::ZERO,
            full_until: Duration::ZERO,
        }
    }

    /// Takes a write; returns when it will have ended.
    pub fn write(&mut self, now: Duration, write_id: WriteId, write: DurableWrite) -> Duration {
        let after = self.pending.back().map_or(now, |p| p.done_at.max(now));
        let done_at = after.max(self.stalled_until) + self.latency;
        self.pending.push_back(Pending { write_id, write, done_at });
        match self.mutant {
            Some(DiskMutation::AcknowledgesBeforeSync) => {
                // The sync comes much later than it is told.
                if let Some(last) = self.pending.back_mut() {
                    last.done_at = done_at + Duration::from_millis(400);
                }
                now
            }
            _ => done_at,
        }
    }

    /// A write's time is over. Returns whether it has succeeded; `None` if it was lost with the process.
    pub fn finish(&mut self, now: Duration, write_id: WriteId) -> Option<bool> {
        let refused = now < self.full_until;
        if self.mutant == Some(DiskMutation::AcknowledgesBeforeSync) {
            self.apply_until(now);
            return Some(!refused);
        }
        let index = self.pending.iter().position(|p| p.write_id == write_id)?;
        let pending = self.pending.remove(index)?;
        if !refused {
            self.apply(pending.write);
        }
        Some(!refused)
    }

    /// The process ends or power is lost: of the writes under way, a random number was done.
    pub fn crash(&mut self, now: Duration, rng: &mut impl Rng) {
        self.apply_until(now);
        let early = self.mutant == Some(DiskMutation::AcknowledgesBeforeSync);
        let done = if early { 0 } else { rng.random_range(0..=self.pending.len()) };
        for pending in std::mem::take(&mut self.pending).into_iter().take(done) {
            self.apply(pending.write);
        }
    }

    /// The disk is lost; an empty one takes its place.
    pub fn wipe(&mut self, rng: &mut impl Rng) {
        self.pending.clear();
        self.synced = DurableState::default();
        self.founding = None;
        if self.mutant != Some(DiskMutation::KeepsIdentityWhenWiped) {
            self.identity = MemberId(rng.random_range(1..u64::MAX));
        }
    }

    /// What a process finds when it starts: its identity, whether the disk was first used when the whole system was
    /// started, and the rest.
    pub fn open(&mut self, bootstrap: bool) -> (MemberId, bool, DurableState) {
        let kept = *self.founding.get_or_insert(bootstrap);
        let founding = if self.mutant == Some(DiskMutation::ForgetsBootstrap) { bootstrap } else { kept };
        match self.mutant {
            Some(DiskMutation::ForgetsWitness) => {
                if let Some(record) = &self.synced.witness.record {
                    // The record stays, so that the member takes part; the promise is gone.
                    self.synced.witness.promised = record.term;
                    self.synced.witness.promised_to = None;
                }
            }
            Some(DiskMutation::DropsAppliedChanges) => self.synced.state.applied_changes.clear(),
            _ => {}
        }
        (self.identity, founding, self.synced.clone())
    }

    fn apply_until(&mut self, now: Duration) {
        while self.pending.front().is_some_and(|p| p.done_at <= now) {
            if let Some(pending) = self.pending.pop_front() {
                self.apply(pending.write);
            }
        }
    }

    fn apply(&mut self, write: DurableWrite) {
        if let Some(witness) = write.witness {
            self.synced.witness = witness;
        }
        if let Some(state) = write.state {
            self.synced.state = (*state).clone();
        }
    }
}

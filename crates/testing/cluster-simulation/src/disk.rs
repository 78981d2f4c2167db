//! A voter's disk: writes take time, and data that was not synced may be lost in a crash.
//!
//! A disk knows nothing of the protocol beyond the two records that it stores. Each mutation breaks the contract that the
//! protocol relies on in one way, to test the checker.

use passrelay_control_plane::replication::{DurableState, DurableWrite, MemberId, WriteId};
use rand::Rng;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time from the regular completion of a write to its sync under `DiskMutation::AcknowledgesBeforeSync`.
const SYNC_DELAY_AFTER_ACK: Duration = Duration::from_millis(400);

/// A write in flight.
#[derive(Debug)]
struct PendingWrite {
    write_id: WriteId,
    write: DurableWrite,
    done_at: Duration,
}

/// A way in which a disk breaks its contract; the checker has to detect each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMutation {
    /// A write is acknowledged before it is synced.
    AcknowledgesBeforeSync,
    /// A wiped machine keeps its member id.
    KeepsIdentityWhenWiped,
    /// The witness's promise is lost at each restart.
    ForgetsWitness,
    /// The log of applied changes is lost at each restart.
    DropsAppliedChanges,
    /// The flag that the disk took part in the cluster's bootstrap is lost at each restart.
    ForgetsBootstrap,
    /// The seeds stored at the first start are overwritten at each start.
    ForgetsSeeds,
}

/// The contents of a disk that a process reads when it starts.
#[derive(Debug)]
pub struct OpenedDisk {
    /// The member id, which stays with the disk until it is wiped.
    pub identity: MemberId,
    /// Whether the disk was first used during the cluster's bootstrap.
    pub bootstrap: bool,
    /// The seeds that were configured at the disk's first use.
    pub bootstrap_seeds: Vec<SocketAddrV4>,
    /// The records that were synced before the start.
    pub state: DurableState,
}

/// The disk of one machine.
#[derive(Debug)]
pub struct Disk {
    identity: MemberId,
    /// Whether this disk was first used during the cluster's bootstrap; `None` before its first use.
    bootstrap: Option<bool>,
    /// The seeds that were configured at its first use; empty before.
    bootstrap_seeds: Vec<SocketAddrV4>,
    synced: DurableState,
    /// Writes in flight, in the order in which they complete.
    pending: VecDeque<PendingWrite>,
    mutation: Option<DiskMutation>,
    /// Time that a sync takes.
    pub latency: Duration,
    /// Writes submitted before this time complete after it.
    pub stalled_until: Duration,
    /// Writes that complete before this time fail.
    pub full_until: Duration,
}

impl Disk {
    /// Creates an empty disk with a random member id.
    pub fn new(rng: &mut impl Rng, latency: Duration, mutation: Option<DiskMutation>) -> Self {
        Disk {
            identity: MemberId(rng.random_range(1..u64::MAX)),
            bootstrap: None,
            bootstrap_seeds: Vec::new(),
            synced: DurableState::default(),
            pending: VecDeque::new(),
            mutation,
            latency,
            stalled_until: Duration::ZERO,
            full_until: Duration::ZERO,
        }
    }

    /// Submits a write and returns the time at which its completion is reported.
    pub fn write(&mut self, now: Duration, write_id: WriteId, write: DurableWrite) -> Duration {
        let after = self.pending.back().map_or(now, |pending| pending.done_at.max(now));
        let reported_at = after.max(self.stalled_until) + self.latency;
        let early = self.mutation == Some(DiskMutation::AcknowledgesBeforeSync);
        let done_at = if early { reported_at + SYNC_DELAY_AFTER_ACK } else { reported_at };
        self.pending.push_back(PendingWrite { write_id, write, done_at });
        if early {
            now
        } else {
            reported_at
        }
    }

    /// Completes a write. Returns whether it succeeded, or `None` if it was lost with the process that submitted it.
    pub fn finish(&mut self, now: Duration, write_id: WriteId) -> Option<bool> {
        let has_space = now >= self.full_until;
        if self.mutation == Some(DiskMutation::AcknowledgesBeforeSync) {
            self.apply_until(now);
            return Some(has_space);
        }
        let index = self.pending.iter().position(|pending| pending.write_id == write_id)?;
        let pending = self.pending.remove(index)?;
        if has_space {
            self.apply(pending.write);
        }
        Some(has_space)
    }

    /// Handles a crash of the process or a power loss: syncs a random number of the writes in flight, oldest first, and
    /// drops the others.
    pub fn crash(&mut self, now: Duration, rng: &mut impl Rng) {
        self.apply_until(now);
        let early = self.mutation == Some(DiskMutation::AcknowledgesBeforeSync);
        let done = if early { 0 } else { rng.random_range(0..=self.pending.len()) };
        for pending in std::mem::take(&mut self.pending).into_iter().take(done) {
            self.apply(pending.write);
        }
    }

    /// Replaces the disk with an empty one.
    pub fn wipe(&mut self, rng: &mut impl Rng) {
        self.pending.clear();
        self.synced = DurableState::default();
        self.bootstrap = None;
        if self.mutation != Some(DiskMutation::KeepsIdentityWhenWiped) {
            self.identity = MemberId(rng.random_range(1..u64::MAX));
        }
    }

    /// Returns the contents for a process that starts. `bootstrap` says whether its machine takes part in the cluster's
    /// bootstrap now; it is stored together with the seeds if the disk was never used.
    pub fn open(&mut self, bootstrap: bool, seeds: &[SocketAddrV4]) -> OpenedDisk {
        if self.bootstrap.is_none() || self.mutation == Some(DiskMutation::ForgetsSeeds) {
            self.bootstrap_seeds = seeds.to_vec();
        }
        let stored = *self.bootstrap.get_or_insert(bootstrap);
        let forgets = self.mutation == Some(DiskMutation::ForgetsBootstrap);
        match self.mutation {
            Some(DiskMutation::ForgetsWitness) => {
                if let Some(record) = &self.synced.witness.record {
                    // Keeps the record, so that the member still takes part, and drops the promise.
                    self.synced.witness.promised = record.term;
                    self.synced.witness.promised_to = None;
                }
            }
            Some(DiskMutation::DropsAppliedChanges) => self.synced.state.applied_changes.clear(),
            _ => {}
        }
        OpenedDisk {
            identity: self.identity,
            bootstrap: if forgets { bootstrap } else { stored },
            bootstrap_seeds: self.bootstrap_seeds.clone(),
            state: self.synced.clone(),
        }
    }

    fn apply_until(&mut self, now: Duration) {
        while self.pending.front().is_some_and(|pending| pending.done_at <= now) {
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

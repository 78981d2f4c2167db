//! What a simulated cluster consists of.

use crate::disk::DiskMutation;
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_dissemination::GossipMutation;
use std::time::Duration;

/// Voters from which on a cluster tolerates two failures at a time.
const VOTERS_FOR_TWO_LOSSES: usize = 5;

/// Which builds of the program the machines of a cluster run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Builds {
    /// All the current one.
    Current,
    /// Every second machine one that knows no deltas, as in the middle of an upgrade.
    Mixed,
    /// All one that knows no deltas.
    Earlier,
}

/// What a cluster consists of, and which of its parts are broken on purpose.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of voters; these are the first machines, and only they have disks.
    pub voters: usize,
    /// Number of all machines, voters included.
    pub machines: usize,
    /// Voters that may fail at the same time.
    pub tolerated_losses: usize,
    /// One-way network delay between two machines, before jitter.
    pub delay: Duration,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Bandwidth of each machine's uplink for documents, in bytes per second; 0 for unlimited. Other messages take none.
    pub link_bytes_per_s: u64,
    /// Which builds of the program the machines run.
    pub builds: Builds,
    /// Whether the primary records the version of each service.
    pub records_versions: bool,
    /// Mutation of all disks, for testing the checker.
    pub disk_mutation: Option<DiskMutation>,
    /// Mutation of the replication protocol at all voters, for testing the checker.
    pub protocol_mutation: Option<ProtocolMutation>,
    /// Mutation of gossip at all machines, for testing the checker.
    pub gossip_mutation: Option<GossipMutation>,
    /// Seed of the random number generator: the same seed and settings give the same history.
    pub seed: u64,
}

impl ClusterSettings {
    /// Whether a machine runs a build that knows no deltas.
    pub(crate) fn runs_earlier_build(&self, machine: usize) -> bool {
        match self.builds {
            Builds::Current => false,
            Builds::Mixed => machine % 2 == 1,
            Builds::Earlier => true,
        }
    }

    /// A cluster of this size without mutations, on a network that loses messages for every third seed.
    pub fn new(voters: usize, machines: usize, seed: u64) -> Self {
        ClusterSettings {
            voters,
            machines,
            tolerated_losses: if voters >= VOTERS_FOR_TWO_LOSSES { 2 } else { 1 },
            delay: Duration::from_micros(500),
            loss: if seed % 3 == 0 { 0.05 } else { 0.0 },
            link_bytes_per_s: 0,
            builds: Builds::Current,
            records_versions: false,
            disk_mutation: None,
            protocol_mutation: None,
            gossip_mutation: None,
            seed,
        }
    }
}

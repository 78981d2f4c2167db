//! Settings of a simulated cluster.

use crate::disk::DiskMutation;
use passrelay_control_plane::replication::ProtocolMutation;
use passrelay_dissemination::GossipMutation;
use std::time::Duration;

/// Minimum number of voters for a cluster to tolerate two failures at a time.
const VOTERS_FOR_TWO_LOSSES: usize = 5;

/// Builds of the program that the machines of a cluster run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Builds {
    /// All machines run the current build.
    Current,
    /// Every second machine runs a build without support for deltas, as in the middle of an upgrade.
    Mixed,
    /// All machines run a build without support for deltas.
    Earlier,
}

/// Size, network and software of a cluster, and mutations that break it on purpose.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of voters. They are the first machines, and the only ones with disks.
    pub voters: usize,
    /// Number of all machines, including voters.
    pub machines: usize,
    /// Number of voters that may fail at the same time.
    pub tolerated_losses: usize,
    /// One-way network delay between two machines, before jitter.
    pub delay: Duration,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Bandwidth of each machine's uplink for documents, in bytes per second; 0 for unlimited. Other messages use none.
    pub link_bytes_per_s: u64,
    /// Builds of the program that the machines run.
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
    /// Returns whether a machine runs a build without support for deltas.
    pub(crate) fn runs_earlier_build(&self, machine: usize) -> bool {
        match self.builds {
            Builds::Current => false,
            Builds::Mixed => machine % 2 == 1,
            Builds::Earlier => true,
        }
    }

    /// Returns settings without mutations; for every third seed, the network loses 5% of the messages.
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

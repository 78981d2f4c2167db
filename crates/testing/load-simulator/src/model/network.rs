//! The network between zones: message delays and partitions.

use crate::experiment::Network;
use crate::queue::{nanos, Nanos};
use crate::random::{Stream, Streams, UnitMean};

/// The simulated network of one run.
pub struct Net {
    config: Network,
    jitter: UnitMean,
    rng: Stream,
    /// Whether each zone is cut off from all others.
    pub cut: Vec<bool>,
}

impl Net {
    /// Creates a network without partitions.
    pub fn new(config: &Network, streams: &Streams) -> Net {
        Net {
            jitter: UnitMean::noise(config.jitter),
            rng: streams.of("network", 0),
            cut: vec![false; config.zones],
            config: config.clone(),
        }
    }

    /// Draws the one-way delay of a message between two zones.
    pub fn delay(&mut self, from: usize, to: usize) -> Nanos {
        let ms = if from == to { self.config.one_way_ms } else { self.config.cross_zone_ms };
        if ms <= 0.0 {
            return 0;
        }
        nanos(ms / 1e3 * self.jitter.draw(&mut self.rng))
    }

    /// Returns whether messages between two zones are lost.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        from != to && (self.cut[from] || self.cut[to])
    }
}

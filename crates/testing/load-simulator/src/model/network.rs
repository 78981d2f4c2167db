//! Delays between machines, and what is cut off.

use crate::experiment::Network;
use crate::queue::{nanos, Nanos};
use crate::random::{Around, Stream, Streams};

/// The network of one run.
pub struct Net {
    figures: Network,
    spread: Around,
    rng: Stream,
    /// Zones that are cut off from the others.
    pub cut: Vec<bool>,
}

impl Net {
    /// A network with these figures.
    pub fn new(figures: &Network, streams: &Streams) -> Net {
        Net {
            spread: Around::noise(figures.jitter),
            rng: streams.of("network", 0),
            cut: vec![false; figures.zones],
            figures: figures.clone(),
        }
    }

    /// How long a message takes from zone to zone, one way.
    pub fn delay(&mut self, from: usize, to: usize) -> Nanos {
        let ms = if from == to { self.figures.one_way_ms } else { self.figures.cross_zone_ms };
        if ms <= 0.0 {
            return 0;
        }
        nanos(ms / 1e3 * self.spread.draw(&mut self.rng))
    }

    /// Whether messages between these zones are lost.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        from != to && (self.cut[from] || self.cut[to])
    }
}

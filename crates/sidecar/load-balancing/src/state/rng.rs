//! The balancer's random number generator. It is seeded, so that equal events lead to equal decisions.

/// A SplitMix64 generator.
pub struct Rng(u64);

impl Rng {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// Returns the next number, uniformly distributed in `[0, 1)`.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

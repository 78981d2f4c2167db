//! Seeded random streams and the distributions of the models. Each part of a run has its own stream, so that a change
//! to one model does not shift the draws of another.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto, StandardNormal};
use serde::{Deserialize, Serialize};

/// Returns the 64-bit FNV-1a hash (Fowler, Noll, Vo), which is the same on every machine.
pub fn hash_of(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// A reproducible stream of random numbers.
pub type Stream = ChaCha8Rng;

/// The factory of all random streams of one run.
#[derive(Clone, Copy)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// Creates the streams of a seed.
    pub fn new(seed: u64) -> Self {
        Streams { seed }
    }

    /// Returns the stream of a part of the run, such as `node`, and a number within that part.
    pub fn of(&self, part: &str, number: u64) -> Stream {
        // The hash distinguishes the parts; ChaCha mixes the key.
        let hash = hash_of(part);
        let mut key = [0; 32];
        for (at, word) in [self.seed, hash, number, 0x7061_7373].into_iter().enumerate() {
            key[8 * at..8 * at + 8].copy_from_slice(&word.to_le_bytes());
        }
        Stream::from_seed(key)
    }
}

/// The family of a distribution with mean 1, as experiment files name it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Always the mean.
    Fixed,
    /// Exponential; its coefficient of variation is 1.
    #[default]
    Exponential,
    /// Log-normal, with a separately given coefficient of variation.
    Lognormal,
    /// Pareto, with a separately given coefficient of variation.
    Pareto,
}

/// A distribution with mean 1.
#[derive(Clone, Copy)]
pub enum UnitMean {
    /// Always 1.
    One,
    /// Exponential.
    Exponential,
    /// Log-normal.
    Lognormal(LogNormal<f64>),
    /// Pareto.
    Pareto(Pareto<f64>),
}

impl UnitMean {
    /// Creates a distribution with a coefficient of variation, which applies to log-normal and Pareto only. If it is 0,
    /// those two always give 1.
    pub fn new(form: Form, cv: f64) -> UnitMean {
        let cv = cv.max(0.0);
        match form {
            Form::Fixed => UnitMean::One,
            Form::Exponential => UnitMean::Exponential,
            _ if cv < 1e-9 => UnitMean::One,
            Form::Lognormal => {
                let variance = (1.0 + cv * cv).ln();
                LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(UnitMean::One, UnitMean::Lognormal)
            }
            Form::Pareto => {
                // Solves cv^2 = 1 / (a (a - 2)) for the shape a; the scale x then makes the mean a x / (a - 1) equal 1.
                let a = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new((a - 1.0) / a, a).map_or(UnitMean::One, UnitMean::Pareto)
            }
        }
    }

    /// Creates a log-normal distribution with a coefficient of variation.
    pub fn noise(cv: f64) -> UnitMean {
        UnitMean::new(Form::Lognormal, cv)
    }

    /// Draws a value; a distribution that always gives 1 consumes no random numbers.
    pub fn draw(&self, rng: &mut Stream) -> f64 {
        match self {
            UnitMean::One => 1.0,
            UnitMean::Exponential => Exp1.sample(rng),
            UnitMean::Lognormal(d) => d.sample(rng),
            UnitMean::Pareto(d) => d.sample(rng),
        }
    }
}

/// Draws from a normal distribution with mean 1, clamped at 0. Draws nothing if the spread is not positive.
pub fn gaussian_noise(spread: f64, rng: &mut Stream) -> f64 {
    if spread <= 0.0 {
        return 1.0;
    }
    let z: f64 = StandardNormal.sample(rng);
    (1.0 + spread * z).max(0.0)
}

/// Draws uniformly from `range[0]` up to `range[1]`.
pub fn uniform(range: [f64; 2], rng: &mut Stream) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

/// Rounds `mean` up with the probability of its fractional part, else down, so that the result has this mean.
pub fn round_randomly(mean: f64, rng: &mut Stream) -> u32 {
    mean as u32 + u32::from(rng.random::<f64>() < mean.fract())
}

//! Seeded random streams, one for each part of a run, so that a change to one model does not shift another's
//! draws, and the distributions that the models draw from.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto, StandardNormal};
use serde::{Deserialize, Serialize};

/// A hash that is the same on every machine: FNV-1a (Fowler, Noll, Vo).
pub fn hash_of(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// A stream of random numbers.
pub type Stream = ChaCha8Rng;

/// All streams of one run.
#[derive(Clone, Copy)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// The streams of this seed.
    pub fn new(seed: u64) -> Self {
        Streams { seed }
    }

    /// The stream of a part, such as `node`, and of a number within it.
    pub fn of(&self, part: &str, number: u64) -> Stream {
        // The hash tells the parts apart; ChaCha mixes the rest.
        let hash = hash_of(part);
        let mut key = [0; 32];
        for (at, word) in [self.seed, hash, number, 0x7061_7373].into_iter().enumerate() {
            key[8 * at..8 * at + 8].copy_from_slice(&word.to_le_bytes());
        }
        Stream::from_seed(key)
    }
}

/// The form of a distribution whose mean is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Always the mean.
    Fixed,
    /// Exponential; its coefficient of variation is 1.
    #[default]
    Exponential,
    /// Log-normal with the coefficient of variation given beside it.
    Lognormal,
    /// Pareto with the coefficient of variation given beside it.
    Pareto,
}

/// A distribution with mean 1.
#[derive(Clone, Copy)]
pub enum Around {
    /// Always 1.
    One,
    /// Exponential.
    Exponential,
    /// Log-normal.
    Lognormal(LogNormal<f64>),
    /// Pareto.
    Pareto(Pareto<f64>),
}

impl Around {
    /// A form with a coefficient of variation; with one of 0 it is always 1.
    pub fn new(form: Form, cv: f64) -> Around {
        let cv = cv.max(0.0);
        match form {
            Form::Fixed => Around::One,
            Form::Exponential => Around::Exponential,
            _ if cv < 1e-9 => Around::One,
            Form::Lognormal => {
                let variance = (1.0 + cv * cv).ln();
                LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(Around::One, Around::Lognormal)
            }
            Form::Pareto => {
                // cv^2 = 1 / (a (a - 2)), and the mean a x / (a - 1) is to be 1.
                let a = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new((a - 1.0) / a, a).map_or(Around::One, Around::Pareto)
            }
        }
    }

    /// Log-normal noise of this spread.
    pub fn noise(cv: f64) -> Around {
        Around::new(Form::Lognormal, cv)
    }

    /// Draws a value.
    pub fn draw(&self, rng: &mut Stream) -> f64 {
        match self {
            Around::One => 1.0,
            Around::Exponential => Exp1.sample(rng),
            Around::Lognormal(d) => d.sample(rng),
            Around::Pareto(d) => d.sample(rng),
        }
    }
}

/// Normal noise around 1, not under 0.
pub fn wobble(spread: f64, rng: &mut Stream) -> f64 {
    if spread <= 0.0 {
        return 1.0;
    }
    let z: f64 = StandardNormal.sample(rng);
    (1.0 + spread * z).max(0.0)
}

/// A number from `low` to `high`.
pub fn between(range: [f64; 2], rng: &mut Stream) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

/// A whole number with this mean: the whole part, and one more with the chance of the rest.
pub fn whole(mean: f64, rng: &mut Stream) -> u32 {
    mean as u32 + u32::from(rng.random::<f64>() < mean.fract())
}

//! Estimates that the policy keeps: what became of calls lately, and how long they take by the work they are
//! said to need. Plain arithmetic on what was seen; no decisions, and none of them grows.

/// What became of calls is forgotten after about this time: troubles pass.
const FORGET_S: f64 = 10.0;
/// ... and each call takes the place of this part of those before it.
const REPLACED: f64 = 0.1;

/// How many calls were served and how many came back at all, fading with time and with each call.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    served: f64,
    all: f64,
    at: f64,
}

impl Record {
    /// Nothing seen by `now`.
    pub fn new(now: f64) -> Self {
        Record { served: 0.0, all: 0.0, at: now }
    }

    /// Takes in a call that came back.
    pub fn add(&mut self, now: f64, served: bool) {
        let (was, all) = self.at(now);
        self.served = was * (1.0 - REPLACED) + f64::from(u8::from(served));
        (self.all, self.at) = (all * (1.0 - REPLACED) + 1.0, now);
    }

    /// Served, and all that came back, as far as not forgotten.
    pub fn at(&self, now: f64) -> (f64, f64) {
        let fresh = (-(now - self.at) / FORGET_S).exp();
        (self.served * fresh, self.all * fresh)
    }
}

/// Calls of a class are forgotten after about so many more.
const MEMORY: f64 = 300.0;
/// Calls before which no line is drawn.
const LEAST: f64 = 12.0;

/// A straight line through the times of calls by the work that they were said to need, both in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    n: f64,
    work: f64,
    time: f64,
    work_work: f64,
    work_time: f64,
}

impl Line {
    /// Takes in one call.
    pub fn add(&mut self, work: f64, time: f64) {
        let new = [1.0, work, time, work * work, work * time];
        let sums = [&mut self.n, &mut self.work, &mut self.time, &mut self.work_work, &mut self.work_time];
        for (sum, new) in sums.into_iter().zip(new) {
            *sum += new - *sum / MEMORY;
        }
    }

    /// The work usually asked for; `None` before enough has been seen.
    pub fn usual(&self) -> Option<f64> {
        (self.n >= LEAST).then(|| self.work / self.n)
    }

    /// The time to be expected for so much work; `None` before enough has been seen.
    pub fn at(&self, work: f64) -> Option<f64> {
        let (usual, time) = (self.usual()?, self.time / self.n);
        let spread = self.work_work / self.n - usual * usual;
        // More work takes no less time, and a call without work does not take less than none.
        let steepest = time / usual;
        let slope = (self.work_time / self.n - usual * time) / spread;
        // Calls that all ask for the same leave nothing to draw a line by.
        let slope = if spread > 1e-9 * usual * usual { slope.clamp(0.0, steepest) } else { 0.0 };
        Some(time + slope * (work - usual))
    }
}

#[cfg(test)]
mod tests;

//! Estimators with bounded state: decayed outcome counts, and a regression of service time by cost. They only compute
//! estimates from observations and make no decisions.

/// Time constant in seconds with which outcomes decay, since faults are temporary.
const OUTCOME_DECAY_S: f64 = 10.0;
/// Fraction of the earlier outcomes that each new outcome replaces.
const OUTCOME_REPLACEMENT: f64 = 0.1;

/// Decayed numbers of attempts, which are fractional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Attempts that were served.
    pub served: f64,
    /// Attempts that completed, served or not; at least `served`.
    pub completed: f64,
}

impl OutcomeCounts {
    /// Returns the sum of these counts and others.
    #[must_use]
    pub fn plus(self, other: OutcomeCounts) -> Self {
        OutcomeCounts { served: self.served + other.served, completed: self.completed + other.completed }
    }

    /// Returns the fraction of completed attempts that were served, 0 to 1; not a number without attempts.
    pub fn success_rate(self) -> f64 {
        self.served / self.completed
    }
}

/// Counts of outcomes that decay with time and with each further outcome.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeHistory {
    counts: OutcomeCounts,
    updated_at: f64,
}

impl OutcomeHistory {
    /// Creates a history without outcomes, as of `now`.
    pub fn new(now: f64) -> Self {
        OutcomeHistory { counts: OutcomeCounts::default(), updated_at: now }
    }

    /// Records a completed attempt and whether it was served.
    pub fn record(&mut self, now: f64, served: bool) {
        let earlier = self.counts(now);
        self.counts.served = earlier.served * (1.0 - OUTCOME_REPLACEMENT) + f64::from(u8::from(served));
        self.counts.completed = earlier.completed * (1.0 - OUTCOME_REPLACEMENT) + 1.0;
        self.updated_at = now;
    }

    /// Returns the counts, decayed to `now`.
    pub fn counts(&self, now: f64) -> OutcomeCounts {
        let decay = (-(now - self.updated_at) / OUTCOME_DECAY_S).exp();
        OutcomeCounts { served: self.counts.served * decay, completed: self.counts.completed * decay }
    }
}

/// Time constant of the regression, in observations.
const REGRESSION_WINDOW: f64 = 300.0;
/// Decayed number of observations below which the regression gives no estimate.
const MIN_OBSERVATIONS: f64 = 12.0;
/// Variance of the costs, relative to their squared mean, below which no slope can be estimated.
const MIN_RELATIVE_VARIANCE: f64 = 1e-9;

/// A decayed linear regression of service time by cost, both in seconds. Its fields are decayed sums.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeRegression {
    observations: f64,
    cost: f64,
    time: f64,
    cost_squared: f64,
    cost_time: f64,
}

impl ServiceTimeRegression {
    /// Adds the observation of a request with this cost and service time.
    pub fn observe(&mut self, cost: f64, time: f64) {
        let sample = [1.0, cost, time, cost * cost, cost * time];
        let sums = [
            &mut self.observations,
            &mut self.cost,
            &mut self.time,
            &mut self.cost_squared,
            &mut self.cost_time,
        ];
        for (sum, value) in sums.into_iter().zip(sample) {
            *sum += value - *sum / REGRESSION_WINDOW;
        }
    }

    /// Returns the mean cost, or `None` before there are enough observations.
    pub fn mean_cost(&self) -> Option<f64> {
        (self.observations >= MIN_OBSERVATIONS).then(|| self.cost / self.observations)
    }

    /// Returns the expected service time for this cost, or `None` before there are enough observations.
    pub fn predict(&self, cost: f64) -> Option<f64> {
        let mean_cost = self.mean_cost()?;
        let mean_time = self.time / self.observations;
        let variance = self.cost_squared / self.observations - mean_cost * mean_cost;
        // The slope is not negative: a higher cost does not take less time. Its upper bound ensures that a request
        // without cost does not take a negative time.
        let max_slope = mean_time / mean_cost;
        let slope = (self.cost_time / self.observations - mean_cost * mean_time) / variance;
        // If all costs are equal, no slope can be estimated.
        let slope = if variance > MIN_RELATIVE_VARIANCE * mean_cost * mean_cost {
            slope.clamp(0.0, max_slope)
        } else {
            0.0
        };
        Some(mean_time + slope * (cost - mean_cost))
    }
}

#[cfg(test)]
mod tests;

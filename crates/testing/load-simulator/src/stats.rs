//! Means and paired differences with confidence intervals.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with the half-width of its 95% confidence interval (Student's t).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// Arithmetic mean; NaN without values.
    pub mean: f64,
    /// Half the width of the interval; infinite for fewer than two values.
    pub half: f64,
    /// Number of values.
    pub n: usize,
}

impl Mean {
    /// Computes the mean and interval of `values`.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len();
        if n == 0 {
            return Mean { mean: f64::NAN, half: f64::INFINITY, n };
        }
        let mean = values.iter().sum::<f64>() / n as f64;
        if n == 1 {
            return Mean { mean, half: f64::INFINITY, n };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(1.96, |d| d.inverse_cdf(0.975));
        Mean { mean, half: t * (variance / n as f64).sqrt(), n }
    }
}

/// Result of a paired comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The first is better: the interval lies above 0.
    Better,
    /// The first is worse: the interval lies below 0.
    Worse,
    /// The interval contains 0.
    NoDifference,
}

impl Verdict {
    /// Judges the mean of paired differences, first minus second, where higher values are better.
    pub fn of(difference: Mean) -> Verdict {
        if difference.mean - difference.half > 0.0 {
            Verdict::Better
        } else if difference.mean + difference.half < 0.0 {
            Verdict::Worse
        } else {
            Verdict::NoDifference
        }
    }

    /// Returns the verdict as text for reports.
    pub fn words(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::NoDifference => "no difference",
        }
    }
}

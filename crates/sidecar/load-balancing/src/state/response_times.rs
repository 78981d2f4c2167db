//! Response times as this instance observes them, overall and by class.

use crate::api::ClassId;
use crate::estimate::ServiceTimeRegression;

/// Step of a running median, as a part of it, for each response.
const MEDIAN_STEP: f64 = 0.05;
/// Growth of the baseline for each response, so that an old minimum is forgotten slowly.
const BASELINE_GROWTH_PER_RESPONSE: f64 = 1.0003;
/// Smoothing factor of the mean cost, for each request with a hint.
const MEAN_COST_SMOOTHING: f64 = 0.02;

/// Response times of one class, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassResponseTimes {
    /// Running median; 0 before the first response.
    pub median: f64,
    /// Slowly growing minimum of the median: the median has to exceed a multiple of it before it shows
    /// queueing.
    pub baseline: f64,
    /// Response time by the cost that the caller expects.
    pub by_cost: ServiceTimeRegression,
}

impl Default for ClassResponseTimes {
    fn default() -> Self {
        ClassResponseTimes { median: 0.0, baseline: f64::INFINITY, by_cost: ServiceTimeRegression::default() }
    }
}

/// Response times of all classes, in seconds.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    /// Running median over all classes; 0 before the first response. The policy's time constants are
    /// multiples of it.
    pub median: f64,
    /// Mean cost of the requests with a hint, in seconds.
    pub mean_cost: Option<f64>,
    /// As long as the settings have classes.
    by_class: Vec<ClassResponseTimes>,
}

impl ResponseTimes {
    /// Nothing observed, for so many classes.
    pub fn new(classes: usize) -> Self {
        ResponseTimes { median: 0.0, mean_cost: None, by_class: vec![ClassResponseTimes::default(); classes] }
    }

    /// Adds classes without observations.
    pub fn resize(&mut self, classes: usize) {
        self.by_class.resize(classes, ClassResponseTimes::default());
    }

    /// The response times of a class.
    pub fn class(&self, class: ClassId) -> &ClassResponseTimes {
        &self.by_class[class.0]
    }

    /// Records the cost of a request that its caller expects.
    pub fn observe_cost(&mut self, cost: f64) {
        let mean = self.mean_cost.get_or_insert(cost);
        *mean += MEAN_COST_SMOOTHING * (cost - *mean);
    }

    /// Records the response time of a request with a hint.
    pub fn observe_by_cost(&mut self, class: ClassId, cost: f64, elapsed: f64) {
        self.by_class[class.0].by_cost.observe(cost, elapsed);
    }

    /// Moves the medians towards a response time.
    pub fn observe(&mut self, class: ClassId, elapsed: f64) {
        move_median(&mut self.by_class[class.0].median, elapsed);
        move_median(&mut self.median, elapsed);
    }

    /// Lets the baseline of a class grow a little, but not past its median; gives the new baseline.
    pub fn update_baseline(&mut self, class: ClassId) -> f64 {
        let times = &mut self.by_class[class.0];
        times.baseline = (times.baseline * BASELINE_GROWTH_PER_RESPONSE).min(times.median);
        times.baseline
    }
}

fn move_median(median: &mut f64, elapsed: f64) {
    let step = MEDIAN_STEP * *median;
    *median = if *median == 0.0 { elapsed } else { *median + step * (elapsed - *median).signum() };
}

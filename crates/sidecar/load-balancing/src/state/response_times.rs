//! Response times observed by this instance, overall and by class.

use crate::api::ClassId;
use crate::estimate::ServiceTimeRegression;

/// Step by which each response moves a running median, as a fraction of the median.
const MEDIAN_STEP: f64 = 0.05;
/// Factor by which the baseline grows with each response, so that an old minimum is slowly forgotten.
const BASELINE_GROWTH_PER_RESPONSE: f64 = 1.0003;
/// Smoothing factor of the mean cost, applied with each request that has a work hint.
const MEAN_COST_SMOOTHING: f64 = 0.02;

/// Response times of one class, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassResponseTimes {
    /// Running median; 0 before the first response.
    pub median: f64,
    /// Slowly growing minimum of the median; infinite before the first response. A median above a multiple of it
    /// shows queueing.
    pub baseline: f64,
    /// Regression of the response time by the cost that the caller expects.
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
    /// Mean cost of the requests with a work hint, in seconds; `None` before the first one.
    pub mean_cost: Option<f64>,
    /// Response times by class, one entry for each class in the settings.
    by_class: Vec<ClassResponseTimes>,
}

impl ResponseTimes {
    /// Creates the response times of `classes` classes, without observations.
    pub fn new(classes: usize) -> Self {
        ResponseTimes { median: 0.0, mean_cost: None, by_class: vec![ClassResponseTimes::default(); classes] }
    }

    /// Adds classes without observations, up to a total of `classes`.
    pub fn resize(&mut self, classes: usize) {
        self.by_class.resize(classes, ClassResponseTimes::default());
    }

    /// Returns the response times of a class.
    pub fn class(&self, class: ClassId) -> &ClassResponseTimes {
        &self.by_class[class.0]
    }

    /// Records the cost that the caller expects of a request.
    pub fn observe_cost(&mut self, cost: f64) {
        let mean = self.mean_cost.get_or_insert(cost);
        *mean += MEAN_COST_SMOOTHING * (cost - *mean);
    }

    /// Records the response time of a request with a work hint.
    pub fn observe_by_cost(&mut self, class: ClassId, cost: f64, elapsed: f64) {
        self.by_class[class.0].by_cost.observe(cost, elapsed);
    }

    /// Moves the overall median and the median of the class towards a response time.
    pub fn observe(&mut self, class: ClassId, elapsed: f64) {
        move_median(&mut self.by_class[class.0].median, elapsed);
        move_median(&mut self.median, elapsed);
    }

    /// Lets the baseline of a class grow by one step, but not above its median. Returns the new baseline.
    pub fn update_baseline(&mut self, class: ClassId) -> f64 {
        let times = &mut self.by_class[class.0];
        times.baseline = (times.baseline * BASELINE_GROWTH_PER_RESPONSE).min(times.median);
        times.baseline
    }
}

/// Moves a running median one step towards a response time; the first response sets it.
fn move_median(median: &mut f64, elapsed: f64) {
    let step = MEDIAN_STEP * *median;
    *median = if *median == 0.0 { elapsed } else { *median + step * (elapsed - *median).signum() };
}

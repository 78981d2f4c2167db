//! Callers: an open-loop source of calls, and the retry rules of callers.

use crate::experiment::{Callers, Experiment, Shape, Wait};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{uniform, Stream, Streams, UnitMean};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use serde::Deserialize;

/// A call with its drawn parameters and the state of its tries.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Index of its class in the experiment.
    pub class: u16,
    /// Index of its tenant in the experiment; 0 if there are no tenants.
    pub tenant: u16,
    /// Work in seconds, over all tiers, for one request at each.
    pub work: f64,
    /// When the call arrived, which is the time of the first try.
    pub arrived_at: Nanos,
    /// Value of the call if it is served in time.
    pub worth: f64,
    /// Deadline at which the caller gives up the call.
    pub give_up_at: Nanos,
    /// How long the caller waits for one try.
    pub patience: Nanos,
    /// Whether the caller waits for as long as a refusal advises.
    pub follows_advice: bool,
    /// Source of the spread of retry waits. It is drawn once per call, so that waits do not depend on other calls.
    pub wait_seed: u64,
    /// Number of tries so far.
    pub tries: u32,
    /// Number of the latest request.
    pub request: u64,
    /// Number of the current try, unique over all calls; 0 while the caller waits before a retry.
    pub current_try: u32,
}

#[derive(Deserialize)]
struct Line {
    at_s: f64,
    class: String,
    tenant: Option<String>,
    work_ms: Option<f64>,
}

/// A captured arrival: time, class, tenant, and the work in seconds if known.
type Captured = (Nanos, u16, u16, Option<f64>);

/// The source of an experiment's calls.
pub struct Source {
    rate: f64,
    experiment: Experiment,
    arrivals: Stream,
    draws: Stream,
    works: Vec<UnitMean>,
    class_sum: f64,
    tenant_sum: f64,
    /// For each tenant, the calls left in its token bucket and the time of the last refill.
    allowance: Vec<(f64, Nanos)>,
    captured: Option<std::vec::IntoIter<Captured>>,
    /// Factor on the arrival rate.
    pub rate_factor: f64,
    /// For each class, the share of calls that cost 15 times the usual work.
    pub costly_share: Vec<f64>,
}

impl Source {
    /// Creates the source and reads the experiment's file of captured arrivals, if it names one.
    ///
    /// # Errors
    ///
    /// Returns a message with the file and line if the captured arrivals cannot be read.
    pub fn new(experiment: &Experiment, streams: &Streams) -> Result<Source, String> {
        let captured = match &experiment.load.captured {
            Some(path) => Some(Self::captured(path, experiment)?.into_iter()),
            None => None,
        };
        Ok(Source {
            rate: experiment.load.rate * experiment.scale,
            arrivals: streams.of("arrivals", 0),
            draws: streams.of("calls", 0),
            works: experiment.class.iter().map(|c| UnitMean::new(c.work, c.cv)).collect(),
            class_sum: experiment.class.iter().map(|c| c.share).sum(),
            tenant_sum: experiment.tenant.iter().map(|t| t.share).sum(),
            allowance: experiment.tenant.iter().map(|t| (t.allowance_per_s, 0)).collect(),
            captured,
            rate_factor: 1.0,
            costly_share: vec![0.0; experiment.class.len()],
            experiment: experiment.clone(),
        })
    }

    fn captured(path: &str, e: &Experiment) -> Result<Vec<Captured>, String> {
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_path(path)
            .map_err(|e| format!("{path}: cannot be read: {e}"))?;
        let mut lines = Vec::new();
        for (n, line) in reader.deserialize().enumerate() {
            let at = |problem: String| format!("{path}:{}: {problem}", n + 2);
            let line: Line = line.map_err(|e| at(e.to_string()))?;
            let class = e.class.iter().position(|c| c.name == line.class);
            let class = class.ok_or_else(|| at(format!("unknown class '{}'", line.class)))?;
            let tenant = match line.tenant.filter(|t| !t.is_empty() && !e.tenant.is_empty()) {
                Some(name) => e
                    .tenant
                    .iter()
                    .position(|t| t.name == name)
                    .ok_or_else(|| at(format!("unknown tenant '{name}'")))?,
                None => 0,
            };
            let is_valid = |v: f64| v.is_finite() && v >= 0.0;
            if !is_valid(line.at_s) || !line.work_ms.is_none_or(is_valid) {
                return Err(at("at_s and work_ms must be finite and not negative".to_owned()));
            }
            lines.push((nanos(line.at_s), class as u16, tenant as u16, line.work_ms.map(|w| w / 1e3)));
        }
        lines.sort_by_key(|l| l.0);
        Ok(lines)
    }

    /// Returns the time of the next call after `now`, or `None` after the last one.
    pub fn next_at(&mut self, now: Nanos) -> Option<Nanos> {
        if let Some(lines) = &self.captured {
            return lines.as_slice().first().map(|l| l.0);
        }
        // Thinning (Lewis and Shedler 1979): candidates are drawn at the highest rate and accepted with the
        // probability that the rate at their time gives.
        let load = &self.experiment.load;
        let swing = if load.shape == Shape::Steady { 0.0 } else { load.swing };
        let max_rate = self.rate * (1.0 + swing) * self.rate_factor;
        let mut at = now;
        loop {
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            at += nanos(gap / max_rate).max(1);
            if at >= nanos(self.experiment.length_s) {
                return None;
            }
            let phase = seconds(at) / load.period_s;
            let rate = match load.shape {
                Shape::Steady => 1.0,
                Shape::Waves => 1.0 + swing * (std::f64::consts::TAU * phase).sin(),
                Shape::Bursts if phase.fract() < 0.5 => 1.0 + swing,
                Shape::Bursts => 1.0 - swing,
            };
            if self.arrivals.random::<f64>() * (1.0 + swing) < rate {
                return Some(at);
            }
        }
    }

    /// Returns the call that arrives now.
    pub fn call(&mut self, now: Nanos) -> Call {
        let e = &self.experiment;
        let line = self.captured.as_mut().and_then(Iterator::next);
        let pick = |sum: f64, shares: &mut dyn Iterator<Item = f64>, rng: &mut Stream| {
            let mut left = rng.random::<f64>() * sum;
            let mut last = 0;
            for (n, share) in shares.enumerate().filter(|(_, s)| *s > 0.0) {
                last = n;
                left -= share;
                if left < 0.0 {
                    break;
                }
            }
            last as u16
        };
        // All values are drawn for each call, including those that a captured line overrides, so that the random
        // streams stay in step.
        let drawn_class = pick(self.class_sum, &mut e.class.iter().map(|c| c.share), &mut self.draws);
        let drawn_tenant = pick(self.tenant_sum, &mut e.tenant.iter().map(|t| t.share), &mut self.draws);
        let (class, tenant) = line.as_ref().map_or((drawn_class, drawn_tenant), |l| (l.1, l.2));
        let spec = &e.class[class as usize];
        let mut work = spec.work_ms / 1e3 * self.works[class as usize].draw(&mut self.draws);
        let costly = self.draws.random::<f64>() < self.costly_share[class as usize];
        work *= if costly { 15.0 } else { 1.0 };
        let work = line.and_then(|l| l.3).unwrap_or(work);
        let patience = nanos(spec.deadline_s * uniform(e.callers.patience, &mut self.draws));
        let follows_advice = self.draws.random::<f64>() < e.callers.follow_advice;
        let wait_seed = self.draws.random();
        let worth = spec.worth * self.allowance_worth(now, tenant);
        let give_up_at = now + nanos(self.experiment.class[class as usize].deadline_s);
        Call {
            class,
            tenant,
            work,
            arrived_at: now,
            worth,
            give_up_at,
            patience,
            follows_advice,
            wait_seed,
            tries: 0,
            request: 0,
            current_try: 0,
        }
    }

    /// Returns the value factor of a tenant's call: 1 within its allowance, of which up to one second's worth may
    /// accumulate, and `over_worth` beyond it.
    fn allowance_worth(&mut self, now: Nanos, tenant: u16) -> f64 {
        let Some((left, at)) = self.allowance.get_mut(tenant as usize) else { return 1.0 };
        let spec = &self.experiment.tenant[tenant as usize];
        let rate = spec.allowance_per_s * self.experiment.scale;
        if !rate.is_finite() {
            return 1.0;
        }
        *left = (*left + rate * seconds(now - *at)).min(rate.max(1.0));
        *at = now;
        if *left >= 1.0 {
            *left -= 1.0;
            return 1.0;
        }
        spec.over_worth
    }
}

/// Result of a try as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryResult {
    /// The call was served.
    Served,
    /// The call was refused and not executed, so a retry is safe. Holds the advised wait in seconds, if any.
    Refused(Option<f64>),
    /// The call failed and may have been executed.
    Failed,
    /// No sidecar accepted the call.
    Unreachable,
    /// No answer arrived within the caller's patience.
    Nothing,
}

/// Returns how long a caller waits before it retries after a result, or `None` if it doesn't retry.
pub fn retry_wait(call: &Call, callers: &Callers, safe: bool, result: TryResult) -> Option<Nanos> {
    // Only safe calls are retried: repeating one that may have been executed would be the caller's own error.
    let retry_is_safe = safe || matches!(result, TryResult::Refused(_) | TryResult::Unreachable);
    if !retry_is_safe || result == TryResult::Served || call.tries > callers.retries {
        return None;
    }
    let wait = match (result, callers.wait) {
        (TryResult::Refused(Some(advice)), _) if call.follows_advice => advice * 1e3,
        (_, Wait::None) => 0.0,
        (_, Wait::Fixed) => callers.wait_ms,
        (_, Wait::Exponential) => callers.wait_ms * f64::from(1u32 << (call.tries - 1).min(16)),
    };
    // Spreads the wait over 0.5 to 1.5 times its length, by the call's own number.
    let spread = (call.wait_seed.rotate_left(7 * call.tries) >> 11) as f64 / (1u64 << 53) as f64;
    Some(nanos(wait / 1e3 * (0.5 + spread)))
}

//! Callers: an open loop of calls, and what each caller does when it is not served.

use crate::experiment::{Callers, Experiment, Shape, Wait};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{between, Around, Stream, Streams};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use serde::Deserialize;

/// A call as it comes in.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Position of its class.
    pub class: u16,
    /// Position of its tenant; 0 where there are none.
    pub tenant: u16,
    /// Its work in seconds, over all tiers, for one request of each.
    pub work: f64,
    /// When its first try was made.
    pub came: Nanos,
    /// What it is worth.
    pub worth: f64,
    /// When its caller gives it up.
    pub ends: Nanos,
    /// How long its caller waits for one try.
    pub patience: Nanos,
    /// Whether its caller stays away for as long as a refusal says.
    pub follows: bool,
    /// Draws its waits: one number, so that they do not depend on what others do.
    pub salt: u64,
    /// Tries so far.
    pub tries: u32,
    /// Its latest request.
    pub request: u64,
    /// Number of its present try, over all calls; 0 while its caller waits before another one.
    pub present: u32,
}

#[derive(Deserialize)]
struct Line {
    at_s: f64,
    class: String,
    tenant: Option<String>,
    work_ms: Option<f64>,
}

/// A captured arrival: when, of which class, whose, and its work, if known.
type Captured = (Nanos, u16, u16, Option<f64>);

/// Where the calls come from.
pub struct Source {
    rate: f64,
    experiment: Experiment,
    arrivals: Stream,
    picks: Stream,
    works: Vec<Around>,
    class_sum: f64,
    tenant_sum: f64,
    allowance: Vec<(f64, Nanos)>,
    captured: Option<std::vec::IntoIter<Captured>>,
    /// Times as many calls come in.
    pub storm: f64,
    /// A class of which this part costs 15 times the usual work.
    pub heavy: Vec<f64>,
}

impl Source {
    /// The source of an experiment's calls.
    ///
    /// # Errors
    ///
    /// Says what is wrong with a captured file, and in which line.
    pub fn new(experiment: &Experiment, streams: &Streams) -> Result<Source, String> {
        let captured = match &experiment.load.captured {
            Some(path) => Some(Self::captured(path, experiment)?.into_iter()),
            None => None,
        };
        Ok(Source {
            rate: experiment.load.rate * experiment.scale,
            arrivals: streams.of("arrivals", 0),
            picks: streams.of("calls", 0),
            works: experiment.class.iter().map(|c| Around::new(c.work, c.cv)).collect(),
            class_sum: experiment.class.iter().map(|c| c.share).sum(),
            tenant_sum: experiment.tenant.iter().map(|t| t.share).sum(),
            allowance: experiment.tenant.iter().map(|t| (t.allowance_per_s, 0)).collect(),
            captured,
            storm: 1.0,
            heavy: vec![0.0; experiment.class.len()],
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
            let class = class.ok_or_else(|| at(format!("there is no class '{}'", line.class)))?;
            let tenant = match line.tenant.filter(|t| !t.is_empty() && !e.tenant.is_empty()) {
                Some(name) => e
                    .tenant
                    .iter()
                    .position(|t| t.name == name)
                    .ok_or_else(|| at(format!("there is no tenant '{name}'")))?,
                None => 0,
            };
            let right = |v: f64| v.is_finite() && v >= 0.0;
            if !right(line.at_s) || !line.work_ms.is_none_or(right) {
                return Err(at("times should be finite and not negative".to_owned()));
            }
            lines.push((nanos(line.at_s), class as u16, tenant as u16, line.work_ms.map(|w| w / 1e3)));
        }
        lines.sort_by_key(|l| l.0);
        Ok(lines)
    }

    /// The time of the next call after `now`; `None` once no more come.
    pub fn next_at(&mut self, now: Nanos) -> Option<Nanos> {
        if let Some(lines) = &self.captured {
            return lines.as_slice().first().map(|l| l.0);
        }
        // Thinning (Lewis and Shedler 1979): candidates at the highest rate, kept by the rate of their time.
        let load = &self.experiment.load;
        let swing = if load.shape == Shape::Steady { 0.0 } else { load.swing };
        let top = self.rate * (1.0 + swing) * self.storm;
        let mut at = now;
        loop {
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            at += nanos(gap / top).max(1);
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

    /// The call that comes in now.
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
        // All is drawn for each call, also what a captured line says: so the streams stay in step.
        let drawn = pick(self.class_sum, &mut e.class.iter().map(|c| c.share), &mut self.picks);
        let whose = pick(self.tenant_sum, &mut e.tenant.iter().map(|t| t.share), &mut self.picks);
        let (class, tenant) = line.as_ref().map_or((drawn, whose), |l| (l.1, l.2));
        let spec = &e.class[class as usize];
        let mut work = spec.work_ms / 1e3 * self.works[class as usize].draw(&mut self.picks);
        let costly = self.picks.random::<f64>() < self.heavy[class as usize];
        work *= if costly { 15.0 } else { 1.0 };
        let work = line.and_then(|l| l.3).unwrap_or(work);
        let patience = nanos(spec.deadline_s * between(e.callers.patience, &mut self.picks));
        let follows = self.picks.random::<f64>() < e.callers.follow_advice;
        let salt = self.picks.random();
        let worth = spec.worth * self.share_worth(now, tenant);
        let ends = now + nanos(self.experiment.class[class as usize].deadline_s);
        Call {
            class,
            tenant,
            work,
            came: now,
            worth,
            ends,
            patience,
            follows,
            salt,
            tries: 0,
            request: 0,
            present: 0,
        }
    }

    /// What a tenant's call counts: 1 within its allowance, of which a second's may be saved up.
    fn share_worth(&mut self, now: Nanos, tenant: u16) -> f64 {
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

/// How a try ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused(Option<f64>),
    /// Failed.
    Failed,
    /// No sidecar was there.
    Unreachable,
    /// Nothing came within the caller's patience.
    Nothing,
}

/// When a caller tries again after this, counted from now; `None`: it gives up.
pub fn next_try(call: &Call, callers: &Callers, safe: bool, heard: Heard) -> Option<Nanos> {
    // Only what is harmless is tried again: a repeat of what may have run would be the caller's own fault.
    let harmless = safe || matches!(heard, Heard::Refused(_) | Heard::Unreachable);
    if !harmless || heard == Heard::Served || call.tries > callers.retries {
        return None;
    }
    let wait = match (heard, callers.wait) {
        (Heard::Refused(Some(advice)), _) if call.follows => advice * 1e3,
        (_, Wait::None) => 0.0,
        (_, Wait::Fixed) => callers.wait_ms,
        (_, Wait::Exponential) => callers.wait_ms * f64::from(1u32 << (call.tries - 1).min(16)),
    };
    // Half to one and a half times the wait, by the caller's own number.
    let spread = (call.salt.rotate_left(7 * call.tries) >> 11) as f64 / (1u64 << 53) as f64;
    Some(nanos(wait / 1e3 * (0.5 + spread)))
}

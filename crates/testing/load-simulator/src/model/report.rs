//! Load reports of nodes: computed periodically, delayed, noisy, and possibly missing, stale or false.

use crate::experiment::{Field, Reports};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{gaussian_noise, Stream};
use passrelay_load_balancing::LoadReport;
use rand::Rng;

/// The true load of a node, as its own counters would show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Truth {
    /// Core seconds used since the node started.
    pub busy: f64,
    /// Number of requests served since the node started.
    pub served: u64,
    /// Number of requests at the node now, waiting ones included.
    pub held: f64,
    /// Number of requests that wait for a slot now.
    pub waiting: f64,
}

/// Computes the load reports that a node sends.
pub struct Reporter {
    config: Reports,
    last: (Nanos, Truth),
    /// The report sent with answers now.
    current: Option<LoadReport>,
    /// The report that replaces `current` from the given time on.
    next: Option<(Nanos, LoadReport)>,
    /// Whether reports are frozen: no new ones are computed.
    pub stale: bool,
    /// A false utilisation that replaces the computed one.
    pub false_utilisation: Option<f64>,
    rng: Stream,
}

impl Reporter {
    /// Creates a reporter that has computed no report yet.
    pub fn new(config: Reports, rng: Stream) -> Reporter {
        Reporter {
            config,
            last: (0, Truth::default()),
            current: None,
            next: None,
            stale: false,
            false_utilisation: None,
            rng,
        }
    }

    /// Discards all state after a restart of the node.
    pub fn restart(&mut self, now: Nanos) {
        (self.last, self.current, self.next) = ((now, Truth::default()), None, None);
    }

    /// Returns the fields that reports contain.
    pub fn fields(&self) -> &[Field] {
        &self.config.fields
    }

    /// Returns the report of an idle node.
    pub fn idle(fields: &[Field]) -> LoadReport {
        Self::fill(fields, [0.0; 4])
    }

    fn fill(fields: &[Field], [util, qps, held, waiting]: [f64; 4]) -> LoadReport {
        let has = |field| fields.contains(&field);
        LoadReport {
            cpu: has(Field::Util).then_some(util),
            rps: has(Field::Qps).then_some(qps),
            in_flight: has(Field::Inflight).then_some(held),
            queued: has(Field::Queue).then_some(waiting),
            ..LoadReport::default()
        }
    }

    /// Returns the report that an answer carries now, or `None` if it carries none. A report covers the time since the
    /// last one was computed, which is at least one period.
    pub fn report(&mut self, now: Nanos, truth: &Truth, cores: f64) -> Option<LoadReport> {
        if self.config.fields.is_empty() {
            return None;
        }
        let passed = seconds(now - self.last.0);
        if !self.stale && passed >= self.config.period_ms / 1e3 {
            let noise = self.config.noise;
            let mut noisy = |v: f64| v * gaussian_noise(noise, &mut self.rng);
            let util = noisy((truth.busy - self.last.1.busy) / passed / cores).min(1.0);
            let qps = noisy((truth.served - self.last.1.served) as f64 / passed);
            let report = Self::fill(&self.config.fields, [util, qps, truth.held, truth.waiting]);
            if let Some((_, older)) = self.next.replace((now + nanos(self.config.delay_ms / 1e3), report)) {
                self.current = Some(older);
            }
            self.last = (now, *truth);
        }
        if let Some((_, report)) = self.next.take_if(|(at, _)| *at <= now) {
            self.current = Some(report);
        }
        if self.config.missing > 0.0 && self.rng.random::<f64>() < self.config.missing {
            return None;
        }
        let mut report = self.current?;
        if let Some(false_utilisation) = self.false_utilisation {
            report.cpu = report.cpu.map(|_| false_utilisation);
        }
        Some(report)
    }
}

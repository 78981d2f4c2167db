//! Load reports: worked out now and then, late, noisy, missing, stale or false.

use crate::experiment::{Field, Reports};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{wobble, Stream};
use passrelay_load_balancing::LoadReport;
use rand::Rng;

/// What is true of a node, as it would count it itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Truth {
    /// Seconds of cores in use since it started.
    pub busy: f64,
    /// Requests served since it started.
    pub served: u64,
    /// Requests held now.
    pub held: f64,
    /// Requests waiting now.
    pub waiting: f64,
}

/// Works out what a node says of itself.
pub struct Reporter {
    figures: Reports,
    last: (Nanos, Truth),
    /// The report that is out, and the one that takes its place from a time on.
    current: Option<LoadReport>,
    next: Option<(Nanos, LoadReport)>,
    /// Nothing new is worked out.
    pub stale: bool,
    /// Says this utilisation whatever is true.
    pub lie: Option<f64>,
    rng: Stream,
}

impl Reporter {
    /// A reporter with these figures.
    pub fn new(figures: Reports, rng: Stream) -> Reporter {
        Reporter {
            figures,
            last: (0, Truth::default()),
            current: None,
            next: None,
            stale: false,
            lie: None,
            rng,
        }
    }

    /// Its node has started anew.
    pub fn restart(&mut self, now: Nanos) {
        (self.last, self.current, self.next) = ((now, Truth::default()), None, None);
    }

    /// The figures that reports hold.
    pub fn fields(&self) -> &[Field] {
        &self.figures.fields
    }

    /// What a node says that believes itself idle.
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

    /// The report that an answer carries now. What is worked out covers the time since the last answer but at
    /// least one period.
    pub fn report(&mut self, now: Nanos, truth: &Truth, cores: f64) -> Option<LoadReport> {
        if self.figures.fields.is_empty() {
            return None;
        }
        let passed = seconds(now - self.last.0);
        if !self.stale && passed >= self.figures.period_ms / 1e3 {
            let noise = self.figures.noise;
            let mut noisy = |v: f64| v * wobble(noise, &mut self.rng);
            let util = noisy((truth.busy - self.last.1.busy) / passed / cores).min(1.0);
            let qps = noisy((truth.served - self.last.1.served) as f64 / passed);
            let report = Self::fill(&self.figures.fields, [util, qps, truth.held, truth.waiting]);
            if let Some((_, older)) = self.next.replace((now + nanos(self.figures.delay_ms / 1e3), report)) {
                self.current = Some(older);
            }
            self.last = (now, *truth);
        }
        if let Some((_, report)) = self.next.take_if(|(at, _)| *at <= now) {
            self.current = Some(report);
        }
        if self.figures.missing > 0.0 && self.rng.random::<f64>() < self.figures.missing {
            return None;
        }
        let mut report = self.current?;
        if let Some(lie) = self.lie {
            report.cpu = report.cpu.map(|_| lie);
        }
        Some(report)
    }
}

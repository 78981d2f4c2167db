//! Prequal: asynchronous probes in a small pool, and the hot-cold lexicographic rule.
//!
//! After Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should balance" (NSDI 2024): each request
//! sends a few probes to nodes drawn at random; answers (requests in flight, latency) stand in a pool of 16 and are
//! used up or age out; a node is hot when its requests in flight lie above a quantile of those seen. The pick is
//! the cold node of least latency, or where all are hot the one with the fewest requests in flight.
//!
//! Nodes here report what their tier's reports hold. Where that lacks requests in flight the figure is
//! estimated: own requests out, plus a utilisation above nine tenths counted as one more. Latency is that of
//! own answers. Where probes are not allowed, reports in answers fill the pool instead.

use super::{Picker, View};
use crate::random::Stream;
use passrelay_load_balancing::{Ending, LoadReport, UpstreamId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The most probes in the pool.
const POOL: usize = 16;
/// Probes for each request.
const PROBES: usize = 3;
/// A probe counts for so long.
const AGE_S: f64 = 1.0;
/// A probe is used so often; the paper derives a number from the rates.
const USES: u32 = 2;
/// The quantile of requests in flight above which a node is hot.
const HOT: f64 = 0.84;
/// So many of the latest figures are kept for the quantile.
const KEPT: usize = 128;

struct Probe {
    node: UpstreamId,
    held: f64,
    at: f64,
    uses: u32,
}

/// The pool and what it is judged by.
#[derive(Default)]
pub struct Prequal {
    pool: VecDeque<Probe>,
    held: VecDeque<f64>,
    latency: FxHashMap<UpstreamId, f64>,
}

impl Prequal {
    fn learn(&mut self, view: &View, node: UpstreamId, report: Option<LoadReport>) {
        let Some(seen) = view.get(node) else { return };
        let busy = report.and_then(|r| r.cpu).is_some_and(|u| u > 0.9);
        let own = f64::from(seen.out) + f64::from(u8::from(busy));
        let held = report.and_then(|r| r.in_flight).unwrap_or(own);
        self.held.push_back(held);
        if self.held.len() > KEPT {
            self.held.pop_front();
        }
        self.pool.retain(|p| p.node != node);
        self.pool.push_back(Probe { node, held, at: view.now, uses: 0 });
        if self.pool.len() > POOL {
            self.pool.pop_front();
        }
    }

    fn hot_above(&self) -> f64 {
        let mut held: Vec<f64> = self.held.iter().copied().collect();
        held.sort_by(f64::total_cmp);
        held.get(((held.len() as f64 - 1.0) * HOT).max(0.0) as usize).copied().unwrap_or(f64::INFINITY)
    }
}

impl Picker for Prequal {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        self.pool.retain(|p| view.now - p.at <= AGE_S && p.uses < USES && view.get(p.node).is_some());
        let hot_above = self.hot_above();
        let usable = self.pool.iter().enumerate().filter_map(|(n, p)| {
            let at = *view.at.get(&p.node)?;
            view.may(at, tried).then_some((n, at, p))
        });
        let latency = |p: &Probe| self.latency.get(&p.node).copied().unwrap_or(0.0);
        let order = |p: &Probe| if p.held > hot_above { (1, p.held) } else { (0, latency(p)) };
        let best = usable.min_by(|a, b| {
            let (a, b) = (order(a.2), order(b.2));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        // With fewer than two probes in the pool the paper falls back to a random node.
        let Some((n, at, _)) = best.filter(|_| self.pool.len() >= 2) else { return view.draw(tried, rng) };
        self.pool[n].uses += 1;
        // It is about to hold one more.
        self.pool[n].held += 1.0;
        Some(at)
    }

    fn ended(&mut self, view: &View, to: UpstreamId, ending: Ending, elapsed: f64) {
        if matches!(ending, Ending::Served | Ending::TimedOut) {
            let latency = self.latency.entry(to).or_insert(elapsed);
            *latency += 0.2 * (elapsed - *latency);
            self.learn(view, to, view.get(to).and_then(|n| n.report).map(|r| r.0));
        } else {
            self.pool.retain(|p| p.node != to);
        }
    }

    fn probes(&mut self, view: &View, rng: &mut Stream, into: &mut Vec<UpstreamId>) {
        for _ in 0..PROBES {
            into.extend(view.draw(&[], rng).map(|at| view.nodes[at].id));
        }
        into.dedup();
    }

    fn probed(&mut self, view: &View, of: UpstreamId, report: Option<LoadReport>, _elapsed: f64) {
        if report.is_some() {
            self.learn(view, of, report);
        }
    }

    fn listed(&mut self, view: &View) {
        self.latency.retain(|id, _| view.get(*id).is_some());
    }
}

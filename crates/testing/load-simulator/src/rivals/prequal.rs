//! Prequal: asynchronous probes in a small pool, and the hot-cold lexicographic rule.
//!
//! Follows Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should balance" (NSDI 2024). Each request
//! sends a few probes to nodes drawn at random. The answers (requests in flight, latency) go into a pool of 16 and
//! are used up or expire. A node is hot if its requests in flight are above a quantile of those seen. The policy
//! picks the cold node with the lowest latency or, if all are hot, the one with the fewest requests in flight.
//!
//! Nodes report only the fields of their tier's reports. If those lack the requests in flight, they are estimated as
//! the own requests in flight, plus one if the utilisation is above 0.9. Latency is that of the sidecar's own
//! attempts. If probes are not allowed, reports in answers fill the pool instead.

use super::{NodeView, Picker};
use crate::random::Stream;
use passrelay_load_balancing::{Ending, LoadReport, UpstreamId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Maximum number of probes in the pool.
const POOL_SIZE: usize = 16;
/// Number of probes sent for each request.
const PROBES_PER_REQUEST: usize = 3;
/// Seconds for which a probe stays in the pool.
const PROBE_LIFETIME_S: f64 = 1.0;
/// Number of times that a probe is used. The paper derives this number from the rates instead.
const USES_PER_PROBE: u32 = 2;
/// The quantile of requests in flight above which a node is hot.
const HOT_QUANTILE: f64 = 0.84;
/// Number of the latest values from which the quantile is computed.
const IN_FLIGHT_SAMPLES: usize = 128;

struct Probe {
    node: UpstreamId,
    in_flight: f64,
    at: f64,
    uses: u32,
}

/// The probe pool, and the values from which hot nodes and latencies are determined.
#[derive(Default)]
pub struct Prequal {
    pool: VecDeque<Probe>,
    in_flight: VecDeque<f64>,
    latency: FxHashMap<UpstreamId, f64>,
}

impl Prequal {
    fn add_probe(&mut self, view: &NodeView, node: UpstreamId, report: Option<LoadReport>) {
        let Some(seen) = view.get(node) else { return };
        let busy = report.and_then(|r| r.cpu).is_some_and(|u| u > 0.9);
        let estimate = f64::from(seen.in_flight) + f64::from(u8::from(busy));
        let in_flight = report.and_then(|r| r.in_flight).unwrap_or(estimate);
        self.in_flight.push_back(in_flight);
        if self.in_flight.len() > IN_FLIGHT_SAMPLES {
            self.in_flight.pop_front();
        }
        self.pool.retain(|p| p.node != node);
        self.pool.push_back(Probe { node, in_flight, at: view.now, uses: 0 });
        if self.pool.len() > POOL_SIZE {
            self.pool.pop_front();
        }
    }

    fn hot_threshold(&self) -> f64 {
        let mut in_flight: Vec<f64> = self.in_flight.iter().copied().collect();
        in_flight.sort_by(f64::total_cmp);
        in_flight
            .get(((in_flight.len() as f64 - 1.0) * HOT_QUANTILE).max(0.0) as usize)
            .copied()
            .unwrap_or(f64::INFINITY)
    }
}

impl Picker for Prequal {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        self.pool.retain(|p| {
            view.now - p.at <= PROBE_LIFETIME_S && p.uses < USES_PER_PROBE && view.get(p.node).is_some()
        });
        let hot_threshold = self.hot_threshold();
        let usable = self.pool.iter().enumerate().filter_map(|(n, p)| {
            let at = *view.at.get(&p.node)?;
            view.is_candidate(at, tried).then_some((n, at, p))
        });
        let latency = |p: &Probe| self.latency.get(&p.node).copied().unwrap_or(0.0);
        let order = |p: &Probe| if p.in_flight > hot_threshold { (1, p.in_flight) } else { (0, latency(p)) };
        let best = usable.min_by(|a, b| {
            let (a, b) = (order(a.2), order(b.2));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        // With fewer than two probes in the pool the paper falls back to a random node.
        let Some((n, at, _)) = best.filter(|_| self.pool.len() >= 2) else {
            return view.draw_candidate(tried, rng);
        };
        self.pool[n].uses += 1;
        // Accounts for the request that is about to be sent.
        self.pool[n].in_flight += 1.0;
        Some(at)
    }

    fn ended(&mut self, view: &NodeView, to: UpstreamId, ending: Ending, elapsed: f64) {
        if matches!(ending, Ending::Served | Ending::TimedOut) {
            let latency = self.latency.entry(to).or_insert(elapsed);
            *latency += 0.2 * (elapsed - *latency);
            self.add_probe(view, to, view.get(to).and_then(|n| n.report).map(|r| r.0));
        } else {
            self.pool.retain(|p| p.node != to);
        }
    }

    fn probes(&mut self, view: &NodeView, rng: &mut Stream, into: &mut Vec<UpstreamId>) {
        for _ in 0..PROBES_PER_REQUEST {
            into.extend(view.draw_candidate(&[], rng).map(|at| view.nodes[at].id));
        }
        into.dedup();
    }

    fn probed(&mut self, view: &NodeView, of: UpstreamId, report: Option<LoadReport>, _elapsed: f64) {
        if report.is_some() {
            self.add_probe(view, of, report);
        }
    }

    fn listed(&mut self, view: &NodeView) {
        self.latency.retain(|id, _| view.get(*id).is_some());
    }
}

//! What a run is measured by: worth answered in time, latency, and why worth was lost.

use crate::experiment::Experiment;
use crate::model::caller::Call;
use crate::observer::Tally;
use crate::queue::{seconds, Nanos};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Latency is counted in microseconds, up to ten minutes, to three digits.
const MOST_US: u64 = 600_000_000;
/// The worst stretch is looked for among stretches of this length.
const WORST_WINDOW_S: u64 = 10;
/// The most stretches that are counted apart; longer runs are counted in longer ones than a second.
const MOST_TICKS: f64 = 3600.0;

/// Why a call earned nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Refused, and never sent to a node.
    RefusedUnsent,
    /// Refused after attempts that never ran.
    RefusedAfterAttempts,
    /// A node answered with an error.
    NodeError,
    /// A tier behind the node failed.
    TierBehind,
    /// The connection to the node broke.
    NodeLost,
    /// The node did not answer in time.
    NodeSilent,
    /// Served, but after the aim.
    Late,
    /// No sidecar was there.
    NoSidecar,
    /// The sidecar died with it.
    SidecarLost,
    /// Its caller gave up.
    GivenUp,
}

impl Cause {
    /// In words, for tables.
    pub fn words(self) -> &'static str {
        match self {
            Cause::RefusedUnsent => "refused before any attempt",
            Cause::RefusedAfterAttempts => "refused after attempts",
            Cause::NodeError => "node answered an error",
            Cause::TierBehind => "tier behind the node failed",
            Cause::NodeLost => "connection to the node broke",
            Cause::NodeSilent => "node silent until the deadline",
            Cause::Late => "served after the aim",
            Cause::NoSidecar => "no sidecar reachable",
            Cause::SidecarLost => "sidecar died with it",
            Cause::GivenUp => "caller gave up",
        }
    }
}

/// Worth asked for and earned, and how many calls that was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Calls.
    pub calls: u64,
    /// Calls served, in time or not.
    pub served: u64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Worth {
    fn add(&mut self, worth: f64, earned: bool, served: bool) {
        self.calls += 1;
        self.served += u64::from(served);
        self.asked += worth;
        self.earned += if earned { worth } else { 0.0 };
    }

    /// The part earned; 1 where nothing was asked.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// Latency of served calls in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Latency {
    /// The figures of a histogram in microseconds.
    pub fn of(h: &Histogram<u64>) -> Latency {
        if h.is_empty() {
            return Latency::default();
        }
        let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
        Latency {
            mean: h.mean() / 1e3,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: h.max() as f64 / 1e3,
        }
    }
}

/// One stretch of a run (a second, where it lasts up to an hour), by when calls came in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth asked for and earned.
    pub worth: Worth,
    /// Median latency of served calls in milliseconds.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// How busy one node was and what it held, second by second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// Its number.
    pub node: u32,
    /// Its tier.
    pub tier: String,
    /// Its kind.
    pub kind: String,
    /// The part of its cores that was in use.
    pub util: Vec<f32>,
    /// Requests that it held.
    pub held: Vec<u32>,
}

/// What a run came to. The same experiment, policy and seed give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment.
    pub experiment: String,
    /// What decided.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The goal: weighted parts of the worth earned.
    pub goal: f64,
    /// The part of the worth earned over the whole run.
    pub whole: f64,
    /// ... in the worst 10 s.
    pub worst_window: f64,
    /// ... of the worst-served class.
    pub worst_class: f64,
    /// ... of the worst-served tenant.
    pub worst_tenant: f64,
    /// The part of calls served.
    pub served_share: f64,
    /// Latency over all calls that were served.
    pub latency_ms: Latency,
    /// By class.
    pub classes: BTreeMap<String, (Worth, Latency)>,
    /// By tenant.
    pub tenants: BTreeMap<String, Worth>,
    /// Worth lost by cause.
    pub lost: BTreeMap<Cause, f64>,
    /// Worth lost by cause, for each class.
    pub lost_by_class: BTreeMap<String, BTreeMap<Cause, f64>>,
    /// By second, or by longer stretches where the run lasts over an hour; left out where nobody asks for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
    /// Requests at sidecars of all tiers.
    pub requests: Tally,
    /// Rules that did not hold, and how often.
    pub broken: BTreeMap<String, u64>,
    /// Seconds for which cores of nodes were in use, since each node last started.
    pub busy_s: f64,
    /// Events of the run.
    pub events: u64,
    /// The most that stood in the queue.
    pub longest_queue: u64,
    /// By node, if asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeLoad>,
}

struct Tick {
    worth: Worth,
    latency: Histogram<u64>,
}

/// Counts as a run goes on.
pub struct Meter {
    warm_up: Nanos,
    /// Length of one stretch that is counted apart.
    tick: Nanos,
    aims: Vec<f64>,
    latency: Histogram<u64>,
    by_class: Vec<(Worth, Histogram<u64>)>,
    by_tenant: Vec<Worth>,
    lost: BTreeMap<Cause, f64>,
    lost_by_class: Vec<BTreeMap<Cause, f64>>,
    seconds: Vec<Tick>,
    /// By node.
    pub nodes: Vec<NodeLoad>,
}

fn histogram() -> Histogram<u64> {
    let mut h = Histogram::new(3).expect("three digits are within the crate's bounds");
    h.auto(true);
    h
}

impl Meter {
    /// A meter for this experiment.
    pub fn new(experiment: &Experiment) -> Meter {
        let classes = experiment.class.len();
        Meter {
            warm_up: crate::queue::nanos(experiment.warm_up_s),
            tick: (experiment.length_s / MOST_TICKS).ceil().max(1.0) as Nanos * 1_000_000_000,
            aims: experiment.class.iter().map(|c| c.aim_s).collect(),
            latency: histogram(),
            by_class: (0..classes).map(|_| (Worth::default(), histogram())).collect(),
            by_tenant: vec![Worth::default(); experiment.tenant.len()],
            lost: BTreeMap::new(),
            lost_by_class: vec![BTreeMap::new(); classes],
            seconds: Vec::new(),
            nodes: Vec::new(),
        }
    }

    /// A call is over: served at `now`, or lost for a cause.
    pub fn over(&mut self, now: Nanos, call: &Call, cause: Option<Cause>) {
        if call.came < self.warm_up {
            return;
        }
        let took = now - call.came;
        let class = call.class as usize;
        let late = seconds(took) > self.aims[class];
        let cause = cause.or(late.then_some(Cause::Late));
        let served = cause.is_none_or(|c| c == Cause::Late);
        let earned = cause.is_none();
        let second = (call.came / self.tick) as usize;
        while self.seconds.len() <= second {
            let mut latency = Histogram::new(2).expect("two digits are within the crate's bounds");
            latency.auto(true);
            self.seconds.push(Tick { worth: Worth::default(), latency });
        }
        self.seconds[second].worth.add(call.worth, earned, served);
        self.by_class[class].0.add(call.worth, earned, served);
        if let Some(tenant) = self.by_tenant.get_mut(call.tenant as usize) {
            tenant.add(call.worth, earned, served);
        }
        if served {
            let us = (took / 1000).clamp(1, MOST_US);
            for h in [&mut self.latency, &mut self.by_class[class].1, &mut self.seconds[second].latency] {
                h.record(us).expect("a histogram that grows takes any value under its bound");
            }
        }
        if let Some(cause) = cause {
            *self.lost.entry(cause).or_default() += call.worth;
            *self.lost_by_class[class].entry(cause).or_default() += call.worth;
        }
    }

    /// The figures of the run so far.
    pub fn outcome(&self, e: &Experiment, policy: &str, seed: u64) -> Outcome {
        let total = |worths: &mut dyn Iterator<Item = Worth>| {
            worths.fold(Worth::default(), |s, w| Worth {
                calls: s.calls + w.calls,
                served: s.served + w.served,
                asked: s.asked + w.asked,
                earned: s.earned + w.earned,
            })
        };
        let all = total(&mut self.by_class.iter().map(|c| c.0));
        let least =
            |shares: &mut dyn Iterator<Item = f64>, none: f64| shares.reduce(f64::min).unwrap_or(none);
        let whole = all.share();
        let counted = &self.seconds[((self.warm_up / self.tick) as usize).min(self.seconds.len())..];
        let long = (WORST_WINDOW_S * 1_000_000_000).div_ceil(self.tick) as usize;
        let windows = counted.windows(long.min(counted.len().max(1)));
        let worst_window = least(&mut windows.map(|w| total(&mut w.iter().map(|t| t.worth)).share()), whole);
        let asked = |w: &&Worth| w.asked > 0.0;
        let worst_class =
            least(&mut self.by_class.iter().map(|c| &c.0).filter(asked).map(Worth::share), whole);
        let worst_tenant = least(&mut self.by_tenant.iter().filter(asked).map(Worth::share), whole);
        let g = &e.goal;
        let parts = [
            (g.whole, whole),
            (g.worst_window, worst_window),
            (g.worst_class, worst_class),
            (g.worst_tenant, worst_tenant),
        ];
        let weight: f64 = parts.iter().map(|p| p.0).sum();
        Outcome {
            experiment: e.name.clone(),
            policy: policy.to_owned(),
            seed,
            goal: parts.iter().map(|p| p.0 * p.1).sum::<f64>() / weight,
            whole,
            worst_window,
            worst_class,
            worst_tenant,
            served_share: if all.calls > 0 { all.served as f64 / all.calls as f64 } else { 1.0 },
            latency_ms: Latency::of(&self.latency),
            classes: (e.class.iter().zip(&self.by_class))
                .map(|(c, (worth, h))| (c.name.clone(), (*worth, Latency::of(h))))
                .collect(),
            tenants: e.tenant.iter().zip(&self.by_tenant).map(|(t, w)| (t.name.clone(), *w)).collect(),
            lost: self.lost.clone(),
            lost_by_class: (e.class.iter().zip(&self.lost_by_class))
                .filter(|(_, lost)| !lost.is_empty())
                .map(|(c, lost)| (c.name.clone(), lost.clone()))
                .collect(),
            seconds: (self.seconds.iter())
                .map(|t| {
                    let l = Latency::of(&t.latency);
                    Second { worth: t.worth, p50: l.p50, p99: l.p99 }
                })
                .collect(),
            requests: Tally::default(),
            broken: BTreeMap::new(),
            busy_s: 0.0,
            events: 0,
            longest_queue: 0,
            nodes: self.nodes.clone(),
        }
    }
}

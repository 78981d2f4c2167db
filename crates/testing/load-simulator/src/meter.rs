//! Measurement of a run: worth of the calls answered in time, latency, and causes of lost worth.

use crate::experiment::Experiment;
use crate::model::caller::Call;
use crate::observer::Tally;
use crate::queue::{seconds, Nanos};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Upper bound of recorded latencies in microseconds, ten minutes. They are recorded to three significant digits.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Length in seconds of the windows among which the worst is searched.
const WORST_WINDOW_S: u64 = 10;
/// Maximum number of intervals that are counted separately. Runs longer than this many seconds use intervals longer
/// than a second.
const MAX_INTERVALS: f64 = 3600.0;

/// Why a call earned no worth.
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
    /// Served, but later than the aim of its class.
    Late,
    /// No sidecar was reachable.
    NoSidecar,
    /// The sidecar stopped while it held the call.
    SidecarLost,
    /// The caller gave up.
    GivenUp,
}

impl Cause {
    /// Returns the cause as text for tables.
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

/// Worth requested and earned, with the number of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls served, in time or not.
    pub served: u64,
    /// Total worth of the calls.
    pub asked: f64,
    /// Worth of the calls served in time.
    pub earned: f64,
}

impl Worth {
    fn add(&mut self, worth: f64, earned: bool, served: bool) {
        self.calls += 1;
        self.served += u64::from(served);
        self.asked += worth;
        self.earned += if earned { worth } else { 0.0 };
    }

    /// Returns the fraction earned; 1 if there was nothing to earn.
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
    /// Maximum.
    pub max: f64,
}

impl Latency {
    /// Computes the statistics of a histogram in microseconds; all are 0 if it is empty.
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

/// One interval of a run (a second if the run lasts up to an hour), for the calls that arrived in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth of the calls that arrived in the interval.
    pub worth: Worth,
    /// Median latency of served calls in milliseconds.
    pub p50: f64,
    /// 99th percentile latency of served calls in milliseconds.
    pub p99: f64,
}

/// Utilisation of one node and the requests at it, for each second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// Index of the node.
    pub node: u32,
    /// Name of its tier.
    pub tier: String,
    /// Name of its kind.
    pub kind: String,
    /// Fraction of its cores in use during each second.
    pub util: Vec<f32>,
    /// Number of requests at the node at the end of each second.
    pub held: Vec<u32>,
}

/// Result of a run. The same experiment, policy and seed give the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the experiment.
    pub experiment: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Goal value: the weighted mean of the four fractions below, with the experiment's weights.
    pub goal: f64,
    /// Fraction of the worth earned over the whole run.
    pub whole: f64,
    /// Fraction of the worth earned in the worst 10 s.
    pub worst_window: f64,
    /// Fraction of the worth earned in the worst-served class.
    pub worst_class: f64,
    /// Fraction of the worth earned for the worst-served tenant.
    pub worst_tenant: f64,
    /// Fraction of the calls served, in time or not.
    pub served_share: f64,
    /// Latency of all served calls, in milliseconds.
    pub latency_ms: Latency,
    /// Worth and latency by class name.
    pub classes: BTreeMap<String, (Worth, Latency)>,
    /// Worth by tenant name.
    pub tenants: BTreeMap<String, Worth>,
    /// Worth lost by cause.
    pub lost: BTreeMap<Cause, f64>,
    /// Worth lost by class name and cause.
    pub lost_by_class: BTreeMap<String, BTreeMap<Cause, f64>>,
    /// Results by second, or by longer intervals if the run lasts over an hour; empty unless requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
    /// Request counts of the sidecars of all tiers.
    pub requests: Tally,
    /// Number of violations by rule.
    pub broken: BTreeMap<String, u64>,
    /// Core seconds used by all nodes, each since its last start.
    pub busy_s: f64,
    /// Number of simulation events.
    pub events: u64,
    /// Largest number of events that were queued at once.
    pub longest_queue: u64,
    /// Load by node; empty unless requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeLoad>,
}

struct Interval {
    worth: Worth,
    latency: Histogram<u64>,
}

/// Collects the measurements of a run.
pub struct Meter {
    warm_up: Nanos,
    /// Length of one interval that is counted separately.
    tick: Nanos,
    aims: Vec<f64>,
    latency: Histogram<u64>,
    by_class: Vec<(Worth, Histogram<u64>)>,
    by_tenant: Vec<Worth>,
    lost: BTreeMap<Cause, f64>,
    lost_by_class: Vec<BTreeMap<Cause, f64>>,
    seconds: Vec<Interval>,
    /// Load by node, recorded only if requested.
    pub nodes: Vec<NodeLoad>,
}

fn histogram() -> Histogram<u64> {
    let mut h = Histogram::new(3).expect("3 significant digits are valid");
    h.auto(true);
    h
}

impl Meter {
    /// Creates a meter for the classes, tenants and length of an experiment.
    pub fn new(experiment: &Experiment) -> Meter {
        let classes = experiment.class.len();
        Meter {
            warm_up: crate::queue::nanos(experiment.warm_up_s),
            tick: (experiment.length_s / MAX_INTERVALS).ceil().max(1.0) as Nanos * 1_000_000_000,
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

    /// Records the end of a call: served at `now`, or lost for a cause. Calls that arrived during the warm-up are
    /// ignored.
    pub fn call_ended(&mut self, now: Nanos, call: &Call, cause: Option<Cause>) {
        if call.arrived_at < self.warm_up {
            return;
        }
        let latency = now - call.arrived_at;
        let class = call.class as usize;
        let late = seconds(latency) > self.aims[class];
        let cause = cause.or(late.then_some(Cause::Late));
        let served = cause.is_none_or(|c| c == Cause::Late);
        let earned = cause.is_none();
        let second = (call.arrived_at / self.tick) as usize;
        while self.seconds.len() <= second {
            let mut latency = Histogram::new(2).expect("2 significant digits are valid");
            latency.auto(true);
            self.seconds.push(Interval { worth: Worth::default(), latency });
        }
        self.seconds[second].worth.add(call.worth, earned, served);
        self.by_class[class].0.add(call.worth, earned, served);
        if let Some(tenant) = self.by_tenant.get_mut(call.tenant as usize) {
            tenant.add(call.worth, earned, served);
        }
        if served {
            let us = (latency / 1000).clamp(1, MAX_LATENCY_US);
            for h in [&mut self.latency, &mut self.by_class[class].1, &mut self.seconds[second].latency] {
                h.record(us).expect("a resizing histogram accepts any value up to its bound");
            }
        }
        if let Some(cause) = cause {
            *self.lost.entry(cause).or_default() += call.worth;
            *self.lost_by_class[class].entry(cause).or_default() += call.worth;
        }
    }

    /// Computes the results of the run so far.
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
        let lowest =
            |shares: &mut dyn Iterator<Item = f64>, none: f64| shares.reduce(f64::min).unwrap_or(none);
        let whole = all.share();
        let counted = &self.seconds[((self.warm_up / self.tick) as usize).min(self.seconds.len())..];
        let window_length = (WORST_WINDOW_S * 1_000_000_000).div_ceil(self.tick) as usize;
        let windows = counted.windows(window_length.min(counted.len().max(1)));
        let worst_window = lowest(&mut windows.map(|w| total(&mut w.iter().map(|t| t.worth)).share()), whole);
        let asked = |w: &&Worth| w.asked > 0.0;
        let worst_class =
            lowest(&mut self.by_class.iter().map(|c| &c.0).filter(asked).map(Worth::share), whole);
        let worst_tenant = lowest(&mut self.by_tenant.iter().filter(asked).map(Worth::share), whole);
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

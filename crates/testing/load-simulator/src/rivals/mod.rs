//! Rivals of the decision module: published ways to pick a node, each behind the same trait and told only what a
//! sidecar may know.
//!
//! What none of their sources says (the node list, retries, refusals, what to do with a node that cannot be
//! reached) is the same shell for all of them, [`Shell`]:
//! it sends to nodes that the list has in service; leaves one out for a second after a connection to it failed
//! or broke (Finagle's failure accrual has 5 failures and 5 s or more; one failure suits a fleet this small);
//! tries again, at another node, what is safe or never ran, within a budget of one repeat for five requests
//! (Finagle's `RetryBudget` default); and refuses what it cannot send. It holds nothing and refuses nothing for
//! want of room, as none of the sources do.

mod ewma;
mod oracle;
mod prequal;
mod simple;
mod weighted;

pub use ewma::PeakEwma;
pub use oracle::{Oracle, Sights, True};
pub use prequal::Prequal;
pub use simple::{LeastRequests, Random, RoundRobin, TwoChoices};
pub use weighted::WeightedRoundRobin;

use passrelay_load_balancing::dispatcher::Decider;
use passrelay_load_balancing::{
    Action, Balancer, Ending, EndpointEntry, EndpointState, Event, Idempotency, LoadReport, Outcome,
    RequestId, Settings, SettingsError, UpstreamId,
};
use rand::Rng;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

use crate::random::{Stream, Streams};

/// For how long a node is left out after a connection to it failed.
const AVOID_S: f64 = 1.0;
/// Repeats earned by each request, and the most that can be saved up.
const REPEATS: (f64, f64) = (0.2, 20.0);
/// A call for the node list that failed is made again after this time.
const ASK_AGAIN_S: f64 = 0.5;

/// What decides in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// passrelay's own module.
    Passrelay,
    /// Any node, with equal chances.
    Random,
    /// One after another.
    RoundRobin,
    /// The fewest own requests out.
    LeastRequests,
    /// The better of two drawn at random.
    TwoChoices,
    /// Two choices by decaying peak latency times requests out.
    PeakEwma,
    /// Weighted turns by requests a second over utilisation.
    WeightedRoundRobin,
    /// Probes in a pool, hot and cold.
    Prequal,
    /// Sees the true state of all nodes; no sidecar can.
    Oracle,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 9] = [
        Policy::Passrelay,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastRequests,
        Policy::TwoChoices,
        Policy::PeakEwma,
        Policy::WeightedRoundRobin,
        Policy::Prequal,
        Policy::Oracle,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Passrelay => "passrelay",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastRequests => "least-requests",
            Policy::TwoChoices => "two-choices",
            Policy::PeakEwma => "peak-ewma",
            Policy::WeightedRoundRobin => "weighted-round-robin",
            Policy::Prequal => "prequal",
            Policy::Oracle => "oracle",
        }
    }

    /// Where it comes from.
    pub fn source(self) -> &'static str {
        match self {
            Policy::Passrelay => "the module in crates/sidecar/load-balancing",
            Policy::Random => "the baseline of every comparison",
            Policy::RoundRobin => "Nginx's and Envoy's default, without weights",
            Policy::LeastRequests => "join the shortest queue, by what one copy knows",
            Policy::TwoChoices => "Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001",
            Policy::PeakEwma => "Finagle's aperture/p2c PeakEwma balancer",
            Policy::WeightedRoundRobin => "gRPC proposal A58, weighted_round_robin over ORCA reports",
            Policy::Prequal => "Wydrowski et al., Load is not what you should balance, NSDI 2024",
            Policy::Oracle => "an upper bound: least true backlog",
        }
    }

    /// A decider of this kind.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings make no sense.
    pub fn decider(
        self,
        settings: &Settings,
        seed: u64,
        streams: &Streams,
        sights: &Sights,
    ) -> Result<Box<dyn Decider>, SettingsError> {
        fn shell<P: Picker + 'static>(picker: P, settings: &Settings, rng: Stream) -> Box<dyn Decider> {
            Box::new(Shell::new(picker, settings.clone(), rng))
        }
        let rng = streams.of("rival", seed);
        Ok(match self {
            Policy::Passrelay => Box::new(Balancer::new(settings.clone(), seed, 0.0)?),
            Policy::Random => shell(Random, settings, rng),
            Policy::RoundRobin => shell(RoundRobin::default(), settings, rng),
            Policy::LeastRequests => shell(LeastRequests::default(), settings, rng),
            Policy::TwoChoices => shell(TwoChoices, settings, rng),
            Policy::PeakEwma => shell(PeakEwma::default(), settings, rng),
            Policy::WeightedRoundRobin => shell(WeightedRoundRobin::default(), settings, rng),
            Policy::Prequal => shell(Prequal::default(), settings, rng),
            Policy::Oracle => shell(Oracle::new(sights.clone()), settings, rng),
        })
    }
}

/// What the shell knows of a node.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: UpstreamId,
    /// Own requests out.
    pub out: u32,
    /// Left out until then.
    pub avoid_until: f64,
    /// The latest report, and when it came.
    pub report: Option<(LoadReport, f64)>,
    /// When it was first on the list.
    pub since: f64,
}

/// The nodes in service, as the shell knows them.
#[derive(Default)]
pub struct View {
    /// In the order in which they came.
    pub nodes: Vec<Seen>,
    at: FxHashMap<UpstreamId, usize>,
    /// The clock.
    pub now: f64,
}

impl View {
    /// A node that is in service.
    pub fn get(&self, id: UpstreamId) -> Option<&Seen> {
        self.at.get(&id).map(|at| &self.nodes[*at])
    }

    fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Seen> {
        self.at.get(&id).map(|at| &mut self.nodes[*at])
    }

    /// Whether a request that was at `tried` may go to the node at this position.
    pub fn may(&self, at: usize, tried: &[UpstreamId]) -> bool {
        let node = &self.nodes[at];
        self.now >= node.avoid_until && !tried.contains(&node.id)
    }

    /// The position of a node that the request may go to, drawn with equal chances.
    pub fn draw(&self, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let n = self.nodes.len();
        if n == 0 {
            return None;
        }
        for _ in 0..8 {
            let at = rng.random_range(0..n);
            if self.may(at, tried) {
                return Some(at);
            }
        }
        let from = rng.random_range(0..n);
        (0..n).map(|i| (from + i) % n).find(|at| self.may(*at, tried))
    }

    fn put(&mut self, entry: &EndpointEntry) {
        if entry.state == EndpointState::Running {
            if !self.at.contains_key(&entry.upstream) {
                self.at.insert(entry.upstream, self.nodes.len());
                let since = self.now;
                let (id, out, avoid_until) = (entry.upstream, 0, f64::NEG_INFINITY);
                self.nodes.push(Seen { id, out, avoid_until, report: None, since });
            }
        } else if let Some(at) = self.at.remove(&entry.upstream) {
            self.nodes.swap_remove(at);
            if let Some(moved) = self.nodes.get(at) {
                self.at.insert(moved.id, at);
            }
        }
    }
}

/// A way to pick a node.
pub trait Picker {
    /// Picks the position of a node in `view` for a request that was at `tried` before.
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize>;
    /// A request was sent there.
    fn sent(&mut self, _view: &View, _to: UpstreamId) {}
    /// An attempt has ended.
    fn ended(&mut self, _view: &View, _to: UpstreamId, _ending: Ending, _elapsed: f64) {}
    /// Nodes to probe after a request was taken.
    fn probes(&mut self, _view: &View, _rng: &mut Stream, _into: &mut Vec<UpstreamId>) {}
    /// A probe has ended.
    fn probed(&mut self, _view: &View, _of: UpstreamId, _report: Option<LoadReport>, _elapsed: f64) {}
    /// The node list has changed.
    fn listed(&mut self, _view: &View) {}
}

struct Open {
    idempotency: Idempotency,
    deadline: f64,
    tried: Vec<UpstreamId>,
    out: u32,
    may_have_run: bool,
}

/// What all rivals have in common round their way to pick.
pub struct Shell<P> {
    picker: P,
    settings: Settings,
    view: View,
    open: FxHashMap<RequestId, Open>,
    repeats: f64,
    asked: bool,
    rng: Stream,
    probes: Vec<UpstreamId>,
}

impl<P: Picker> Shell<P> {
    /// A shell round a picker.
    pub fn new(picker: P, settings: Settings, rng: Stream) -> Self {
        let (view, open) = (View::default(), FxHashMap::default());
        Shell { picker, settings, view, open, repeats: 1.0, asked: false, rng, probes: Vec::new() }
    }

    fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let spent = open.tried.len() as u32 >= self.settings.max_attempts;
        if spent || self.view.now + self.settings.tick >= open.deadline {
            return false;
        }
        let Some(at) = self.picker.pick(&self.view, &open.tried, &mut self.rng) else { return false };
        let to = self.view.nodes[at].id;
        self.view.nodes[at].out += 1;
        open.tried.push(to);
        open.out += 1;
        self.picker.sent(&self.view, to);
        actions.push(Action::Send { id, upstream: to, timeout: None });
        true
    }

    /// The final answer of a request that is not served.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let retry_after = self.settings.send_retry_after.then_some(self.settings.max_retry_after);
        actions.push(if !open.may_have_run || open.idempotency == Idempotency::Idempotent {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    fn outcome(&mut self, o: &Outcome, actions: &mut Vec<Action>) {
        let now = self.view.now;
        if let Some(node) = self.view.get_mut(o.upstream) {
            node.out = node.out.saturating_sub(1);
            if let Some(report) = o.report {
                node.report = Some((report, now));
            }
            if matches!(o.ending, Ending::ConnectFailed | Ending::ConnectionLost) {
                node.avoid_until = now + AVOID_S;
            }
        }
        self.picker.ended(&self.view, o.upstream, o.ending, o.elapsed);
        let Some(open) = self.open.get_mut(&o.id) else { return };
        open.out = open.out.saturating_sub(1);
        open.may_have_run |= !o.ending.never_ran();
        if o.last {
            self.open.remove(&o.id);
            return;
        }
        if open.out > 0 {
            return;
        }
        let ran = open.may_have_run;
        let again = !ran || open.idempotency == Idempotency::Idempotent && self.repeats >= 1.0;
        if again && self.send(o.id, actions) {
            self.repeats -= f64::from(u8::from(ran));
        } else {
            self.end(o.id, actions);
        }
    }

    fn listed(&mut self, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        entries.iter().for_each(|e| self.view.put(e));
        if !std::mem::replace(&mut self.asked, true) {
            actions.push(Action::Subscribe);
        }
        self.picker.listed(&self.view);
    }
}

impl<P: Picker> Decider for Shell<P> {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.view.now = now.max(self.view.now);
        match event {
            Event::EndpointList(entries) => {
                let on = entries.iter().filter(|e| e.state == EndpointState::Running).map(|e| e.upstream);
                let on: BTreeSet<UpstreamId> = on.collect();
                let known = self.view.nodes.iter().map(|n| n.id);
                let gone: Vec<UpstreamId> = known.filter(|id| !on.contains(id)).collect();
                for id in gone {
                    let (zone, cell) = (self.settings.zone, 0);
                    self.view.put(&EndpointEntry {
                        upstream: id,
                        zone,
                        cell,
                        state: EndpointState::Removed,
                        started: None,
                    });
                }
                self.listed(&entries, actions);
            }
            Event::EndpointChanges(entries) => self.listed(&entries, actions),
            Event::EndpointListFailed => actions.push(Action::Wake { after: ASK_AGAIN_S, token: 1 }),
            Event::Wake(1) => actions.push(Action::Subscribe),
            Event::Wake(_) | Event::ResponseStarted { .. } => {}
            Event::Request { id, class, client_timeout, .. } => {
                let idempotency =
                    self.settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |c| c.idempotency);
                let (deadline, tried) = (self.view.now + client_timeout, Vec::new());
                self.open.insert(id, Open { idempotency, deadline, tried, out: 0, may_have_run: false });
                self.repeats = (self.repeats + REPEATS.0).min(REPEATS.1);
                if !self.send(id, actions) {
                    self.end(id, actions);
                }
                if self.settings.allow_health_checks {
                    self.picker.probes(&self.view, &mut self.rng, &mut self.probes);
                    actions.extend(self.probes.drain(..).map(Action::HealthCheck));
                }
            }
            Event::Outcome(o) => self.outcome(&o, actions),
            Event::ClientDisconnected(id) => {
                self.open.remove(&id);
            }
            Event::HealthCheckEnded { upstream, ending, elapsed, report } => {
                let report = report.filter(|_| ending == Ending::Served);
                self.picker.probed(&self.view, upstream, report, elapsed);
            }
        }
    }
}

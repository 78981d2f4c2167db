//! Alternative load balancing policies for comparison with the decision module: published ways to pick a node, each
//! behind the same trait and limited to what a sidecar can know (except for the oracle).
//!
//! Everything that the publications leave open (the node list, retries, refusals, unreachable nodes) is handled by
//! one common wrapper, [`PolicyShell`]. It sends to nodes that the list reports as running. It excludes a node for a
//! second after a connection to it failed or broke; Finagle's failure accrual uses 5 failures and 5 s or more, but
//! one failure suits a fleet this small. It retries, at another node, requests that are idempotent or were never
//! executed, within a budget of one retry for five requests (Finagle's `RetryBudget` default). It refuses requests
//! that it cannot send. It neither queues requests nor refuses them for lack of capacity, as none of the publications
//! do.

mod ewma;
mod oracle;
mod prequal;
mod simple;
mod weighted;

pub use ewma::PeakEwma;
pub use oracle::{Oracle, TrueState, TrueStates};
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

/// Seconds for which a node is excluded after a connection to it failed or broke.
const FAILED_NODE_PAUSE_S: f64 = 1.0;
/// Retry budget earned by each request, and the most that can accumulate.
const RETRY_BUDGET: (f64, f64) = (0.2, 20.0);
/// Seconds after which a failed call for the node list is repeated.
const LIST_RETRY_S: f64 = 0.5;

/// The load balancing policy of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The decision module of passrelay.
    Passrelay,
    /// A node drawn uniformly.
    Random,
    /// All nodes in turn.
    RoundRobin,
    /// The node with the fewest of the sidecar's own requests in flight.
    LeastRequests,
    /// The better of two nodes drawn at random.
    TwoChoices,
    /// Two choices by decaying peak latency times own requests in flight.
    PeakEwma,
    /// Turns weighted by requests per second over utilisation.
    WeightedRoundRobin,
    /// A pool of probe results with the hot-cold rule.
    Prequal,
    /// The least true backlog. An upper bound, as no sidecar can know it.
    Oracle,
}

impl Policy {
    /// All policies, in the order of the variants.
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

    /// Returns the policy's name on the command line.
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

    /// Returns the publication or implementation that the policy follows.
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

    /// Creates the decider of one sidecar. `true_states` is read by the oracle only.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the decision module rejects the settings.
    pub fn decider(
        self,
        settings: &Settings,
        seed: u64,
        streams: &Streams,
        true_states: &TrueStates,
    ) -> Result<Box<dyn Decider>, SettingsError> {
        fn shell<P: Picker + 'static>(picker: P, settings: &Settings, rng: Stream) -> Box<dyn Decider> {
            Box::new(PolicyShell::new(picker, settings.clone(), rng))
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
            Policy::Oracle => shell(Oracle::new(true_states.clone()), settings, rng),
        })
    }
}

/// What a sidecar knows of a node.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// Id of the node.
    pub id: UpstreamId,
    /// Number of own requests in flight to it.
    pub in_flight: u32,
    /// Time until which the node is excluded after a failed connection.
    pub excluded_until: f64,
    /// The latest load report and when it arrived.
    pub report: Option<(LoadReport, f64)>,
    /// When the node was added to the view.
    pub listed_at: f64,
}

/// The running nodes as the sidecar knows them.
#[derive(Default)]
pub struct NodeView {
    /// The nodes. New ones are appended, and a removed one is replaced by the last.
    pub nodes: Vec<KnownNode>,
    at: FxHashMap<UpstreamId, usize>,
    /// Current time in seconds; never goes back.
    pub now: f64,
}

impl NodeView {
    /// Returns a node by its id if it is running.
    pub fn get(&self, id: UpstreamId) -> Option<&KnownNode> {
        self.at.get(&id).map(|at| &self.nodes[*at])
    }

    fn get_mut(&mut self, id: UpstreamId) -> Option<&mut KnownNode> {
        self.at.get(&id).map(|at| &mut self.nodes[*at])
    }

    /// Returns whether the node at index `at` is not excluded and not among `tried`, where the request was sent before.
    pub fn is_candidate(&self, at: usize, tried: &[UpstreamId]) -> bool {
        let node = &self.nodes[at];
        self.now >= node.excluded_until && !tried.contains(&node.id)
    }

    /// Draws the index of a node that a request may go to. After 8 failed draws, returns the next such node after a
    /// random index, or `None` if there is none.
    pub fn draw_candidate(&self, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let n = self.nodes.len();
        if n == 0 {
            return None;
        }
        for _ in 0..8 {
            let at = rng.random_range(0..n);
            if self.is_candidate(at, tried) {
                return Some(at);
            }
        }
        let from = rng.random_range(0..n);
        (0..n).map(|i| (from + i) % n).find(|at| self.is_candidate(*at, tried))
    }

    fn apply(&mut self, entry: &EndpointEntry) {
        if entry.state == EndpointState::Running {
            if !self.at.contains_key(&entry.upstream) {
                self.at.insert(entry.upstream, self.nodes.len());
                let listed_at = self.now;
                let (id, in_flight, excluded_until) = (entry.upstream, 0, f64::NEG_INFINITY);
                self.nodes.push(KnownNode { id, in_flight, excluded_until, report: None, listed_at });
            }
        } else if let Some(at) = self.at.remove(&entry.upstream) {
            self.nodes.swap_remove(at);
            if let Some(moved) = self.nodes.get(at) {
                self.at.insert(moved.id, at);
            }
        }
    }
}

/// A rule for picking a node.
pub trait Picker {
    /// Picks the index of a node in `view` for a request that was sent to `tried` before.
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize>;
    /// Called after a request was sent to a node.
    fn sent(&mut self, _view: &NodeView, _to: UpstreamId) {}
    /// Called after an attempt has ended.
    fn ended(&mut self, _view: &NodeView, _to: UpstreamId, _ending: Ending, _elapsed: f64) {}
    /// Appends the nodes to probe after a request has arrived.
    fn probes(&mut self, _view: &NodeView, _rng: &mut Stream, _into: &mut Vec<UpstreamId>) {}
    /// Called after a probe has ended.
    fn probed(&mut self, _view: &NodeView, _of: UpstreamId, _report: Option<LoadReport>, _elapsed: f64) {}
    /// Called after the node list has changed.
    fn listed(&mut self, _view: &NodeView) {}
}

/// A request that has not been answered.
struct PendingRequest {
    idempotency: Idempotency,
    deadline: f64,
    tried: Vec<UpstreamId>,
    in_flight: u32,
    may_have_run: bool,
}

/// The request handling that all alternative policies share around their picker.
pub struct PolicyShell<P> {
    picker: P,
    settings: Settings,
    view: NodeView,
    pending: FxHashMap<RequestId, PendingRequest>,
    retry_budget: f64,
    subscribed: bool,
    rng: Stream,
    probes: Vec<UpstreamId>,
}

impl<P: Picker> PolicyShell<P> {
    /// Creates the request handling around a picker, with an empty node list.
    pub fn new(picker: P, settings: Settings, rng: Stream) -> Self {
        let (view, pending) = (NodeView::default(), FxHashMap::default());
        PolicyShell {
            picker,
            settings,
            view,
            pending,
            retry_budget: 1.0,
            subscribed: false,
            rng,
            probes: Vec::new(),
        }
    }

    fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let spent = pending.tried.len() as u32 >= self.settings.max_attempts;
        if spent || self.view.now + self.settings.tick >= pending.deadline {
            return false;
        }
        let Some(at) = self.picker.pick(&self.view, &pending.tried, &mut self.rng) else { return false };
        let to = self.view.nodes[at].id;
        self.view.nodes[at].in_flight += 1;
        pending.tried.push(to);
        pending.in_flight += 1;
        self.picker.sent(&self.view, to);
        actions.push(Action::Send { id, upstream: to, timeout: None });
        true
    }

    /// Answers a request that was not served: a rejection if repeating it is safe, else a failure.
    fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let retry_after = self.settings.send_retry_after.then_some(self.settings.max_retry_after);
        actions.push(if !pending.may_have_run || pending.idempotency == Idempotency::Idempotent {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    fn outcome(&mut self, o: &Outcome, actions: &mut Vec<Action>) {
        let now = self.view.now;
        if let Some(node) = self.view.get_mut(o.upstream) {
            node.in_flight = node.in_flight.saturating_sub(1);
            if let Some(report) = o.report {
                node.report = Some((report, now));
            }
            if matches!(o.ending, Ending::ConnectFailed | Ending::ConnectionLost) {
                node.excluded_until = now + FAILED_NODE_PAUSE_S;
            }
        }
        self.picker.ended(&self.view, o.upstream, o.ending, o.elapsed);
        let Some(pending) = self.pending.get_mut(&o.id) else { return };
        pending.in_flight = pending.in_flight.saturating_sub(1);
        pending.may_have_run |= !o.ending.never_ran();
        if o.last {
            self.pending.remove(&o.id);
            return;
        }
        if pending.in_flight > 0 {
            return;
        }
        let ran = pending.may_have_run;
        let retry = !ran || pending.idempotency == Idempotency::Idempotent && self.retry_budget >= 1.0;
        if retry && self.send(o.id, actions) {
            self.retry_budget -= f64::from(u8::from(ran));
        } else {
            self.finish_unserved(o.id, actions);
        }
    }

    fn listed(&mut self, entries: &[EndpointEntry], actions: &mut Vec<Action>) {
        entries.iter().for_each(|e| self.view.apply(e));
        if !std::mem::replace(&mut self.subscribed, true) {
            actions.push(Action::Subscribe);
        }
        self.picker.listed(&self.view);
    }
}

impl<P: Picker> Decider for PolicyShell<P> {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.view.now = now.max(self.view.now);
        match event {
            Event::EndpointList(entries) => {
                let running =
                    entries.iter().filter(|e| e.state == EndpointState::Running).map(|e| e.upstream);
                let running: BTreeSet<UpstreamId> = running.collect();
                let known = self.view.nodes.iter().map(|n| n.id);
                let removed: Vec<UpstreamId> = known.filter(|id| !running.contains(id)).collect();
                for id in removed {
                    let (zone, cell) = (self.settings.zone, 0);
                    self.view.apply(&EndpointEntry {
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
            Event::EndpointListFailed => actions.push(Action::Wake { after: LIST_RETRY_S, token: 1 }),
            Event::Wake(1) => actions.push(Action::Subscribe),
            Event::Wake(_) | Event::ResponseStarted { .. } => {}
            Event::Request { id, class, client_timeout, .. } => {
                let idempotency =
                    self.settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |c| c.idempotency);
                let (deadline, tried) = (self.view.now + client_timeout, Vec::new());
                self.pending.insert(
                    id,
                    PendingRequest { idempotency, deadline, tried, in_flight: 0, may_have_run: false },
                );
                self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
                if !self.send(id, actions) {
                    self.finish_unserved(id, actions);
                }
                if self.settings.allow_health_checks {
                    self.picker.probes(&self.view, &mut self.rng, &mut self.probes);
                    actions.extend(self.probes.drain(..).map(Action::HealthCheck));
                }
            }
            Event::Outcome(o) => self.outcome(&o, actions),
            Event::ClientDisconnected(id) => {
                self.pending.remove(&id);
            }
            Event::HealthCheckEnded { upstream, ending, elapsed, report } => {
                let report = report.filter(|_| ending == Ending::Served);
                self.picker.probed(&self.view, upstream, report, elapsed);
            }
        }
    }
}

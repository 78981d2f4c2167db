//! The observer checks the rules from events on the simulated network and at the nodes. It shares no code with the
//! deciders and uses no information from them.

use crate::experiment::Rules;
use crate::queue::{nanos, seconds, Nanos};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of events recorded for one request.
const MAX_EVENTS: usize = 48;

/// A rule that every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each accepted request gets exactly one final answer, in time.
    OneAnswer,
    /// A request that is not safe to repeat never runs twice, and is refused only if it never ran.
    RunOnce,
    /// No new request is sent to a node that the sidecar knows to drain or to be removed.
    Drain,
    /// No cold node is overloaded.
    Cold,
    /// The number of requests accepted equals the number served, refused, failed, given up and lost.
    Conservation,
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// A sidecar accepted it.
    Taken {
        /// Index of the sidecar.
        sidecar: u32,
    },
    /// The first byte of an attempt was sent.
    Sent {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Index of the node.
        node: u32,
    },
    /// A node began to work on an attempt.
    Begun {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Index of the node.
        node: u32,
    },
    /// The sidecar learned that an attempt had ended.
    Ended {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Result of the attempt.
        ending: passrelay_load_balancing::Ending,
    },
    /// The caller disconnected.
    Gone,
    /// The final answer was a success.
    Served,
    /// The final answer was a refusal.
    Refused,
    /// The final answer was a failure.
    Failed,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Seed of the run.
    pub seed: u64,
    /// Simulated time of the violation.
    pub at: Nanos,
    /// What happened, in one sentence.
    pub description: String,
    /// The first events of the request, up to a limit; empty if the violation concerns no request.
    pub events: Vec<(Nanos, RequestEvent)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {:?} violated at {:.6} s with seed {}: {}",
            self.rule,
            seconds(self.at),
            self.seed,
            self.description
        )?;
        for (at, event) in &self.events {
            write!(f, "\n  {:.6} s  {event:?}", seconds(*at))?;
        }
        Ok(())
    }
}

impl std::error::Error for Violation {}

struct TrackedRequest {
    sidecar: u32,
    deadline: Nanos,
    safe: bool,
    answered: bool,
    runs: u32,
    in_flight: u32,
    events: Vec<(Nanos, RequestEvent)>,
}

/// Counts of the requests at the sidecars of all tiers, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that a sidecar accepted.
    pub taken: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose callers disconnected first.
    pub gone: u64,
    /// Requests lost with a sidecar that stopped.
    pub lost: u64,
    /// Attempts sent to nodes.
    pub sent: u64,
    /// Attempts that a node began to work on.
    pub begun: u64,
}

/// Checks the rules during one run.
pub struct Observer {
    seed: u64,
    answer_slack: Nanos,
    drain_grace: Nanos,
    requests: FxHashMap<u64, TrackedRequest>,
    /// When a sidecar learned that a node accepts no new requests, by sidecar and node.
    closed_nodes: FxHashMap<(u32, u32), Nanos>,
    tally: Tally,
    violations: Vec<Violation>,
    counts: std::collections::BTreeMap<Rule, u64>,
}

impl Observer {
    /// Creates the observer of a run; `seed` is named in violations.
    pub fn new(rules: &Rules, seed: u64) -> Observer {
        Observer {
            seed,
            answer_slack: nanos(rules.answer_slack_ms / 1e3),
            drain_grace: nanos(rules.drain_grace_s),
            requests: FxHashMap::default(),
            closed_nodes: FxHashMap::default(),
            tally: Tally::default(),
            violations: Vec::new(),
            counts: std::collections::BTreeMap::new(),
        }
    }

    fn record_violation(&mut self, rule: Rule, at: Nanos, description: String, id: Option<u64>) {
        *self.counts.entry(rule).or_default() += 1;
        if self.violations.len() < 8 {
            let events =
                id.and_then(|id| self.requests.get(&id)).map(|w| w.events.clone()).unwrap_or_default();
            self.violations.push(Violation { rule, seed: self.seed, at, description, events });
        }
    }

    /// Returns the first violations, at most 8.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of violations of each rule.
    pub fn counts(&self) -> &std::collections::BTreeMap<Rule, u64> {
        &self.counts
    }

    /// Returns the request counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    fn record_event(&mut self, at: Nanos, id: u64, event: RequestEvent) -> Option<&mut TrackedRequest> {
        let w = self.requests.get_mut(&id)?;
        if w.events.len() < MAX_EVENTS {
            w.events.push((at, event));
        }
        Some(w)
    }

    fn remove_if_done(&mut self, id: u64) {
        // Kept while an attempt is in flight, as it could still begin a second run.
        if self.requests.get(&id).is_some_and(|w| w.answered && w.in_flight == 0) {
            self.requests.remove(&id);
        }
    }

    /// Records that a sidecar accepted a request, whose caller waits until `deadline`.
    pub fn request_accepted(&mut self, at: Nanos, id: u64, sidecar: u32, deadline: Nanos, safe: bool) {
        self.tally.taken += 1;
        let events = vec![(at, RequestEvent::Taken { sidecar })];
        self.requests.insert(
            id,
            TrackedRequest { sidecar, deadline, safe, answered: false, runs: 0, in_flight: 0, events },
        );
    }

    /// Records that the first byte of an attempt was sent.
    pub fn sent(&mut self, at: Nanos, id: u64, attempt: u32, node: u32) {
        self.tally.sent += 1;
        let Some(w) = self.record_event(at, id, RequestEvent::Sent { attempt, node }) else { return };
        w.in_flight += 1;
        let (sidecar, answered) = (w.sidecar, w.answered);
        if answered {
            let description = format!("request {id:x} was sent to node {node} after its final answer");
            self.record_violation(Rule::OneAnswer, at, description, Some(id));
        }
        if self
            .closed_nodes
            .get(&(sidecar, node))
            .is_some_and(|learned_at| at > learned_at + self.drain_grace)
        {
            let description = format!(
                "sidecar {sidecar} sent request {id:x} to node {node}, which it knows to accept no new requests"
            );
            self.record_violation(Rule::Drain, at, description, Some(id));
        }
    }

    /// Records that a node began to work on an attempt.
    pub fn work_begun(&mut self, at: Nanos, id: u64, attempt: u32, node: u32) {
        self.tally.begun += 1;
        let Some(w) = self.record_event(at, id, RequestEvent::Begun { attempt, node }) else { return };
        w.runs += 1;
        if w.runs > 1 && !w.safe {
            let description =
                format!("request {id:x}, which is not safe to repeat, ran again at node {node}");
            self.record_violation(Rule::RunOnce, at, description, Some(id));
        }
    }

    /// Records the end of an attempt, after which no work on it can begin.
    pub fn ended(&mut self, at: Nanos, id: u64, attempt: u32, ending: passrelay_load_balancing::Ending) {
        if let Some(w) = self.record_event(at, id, RequestEvent::Ended { attempt, ending }) {
            w.in_flight = w.in_flight.saturating_sub(1);
        }
        self.remove_if_done(id);
    }

    /// Records that the caller of a request disconnected.
    pub fn caller_left(&mut self, at: Nanos, id: u64) {
        let Some(w) = self.record_event(at, id, RequestEvent::Gone) else { return };
        if !std::mem::replace(&mut w.answered, true) {
            self.tally.gone += 1;
        }
        self.remove_if_done(id);
    }

    /// Records the final answer of a request.
    pub fn answered(&mut self, at: Nanos, id: u64, answer: RequestEvent) {
        match answer {
            RequestEvent::Served => self.tally.served += 1,
            RequestEvent::Refused => self.tally.refused += 1,
            _ => self.tally.failed += 1,
        }
        let answer_slack = self.answer_slack;
        let Some(w) = self.record_event(at, id, answer) else {
            let description = format!("request {id:x} was answered, but is not waiting for an answer");
            return self.record_violation(Rule::OneAnswer, at, description, None);
        };
        let (answered_before, late) = (w.answered, at > w.deadline + answer_slack);
        let ran = answer == RequestEvent::Refused && w.runs > 0 && !w.safe;
        w.answered = true;
        if answered_before {
            self.record_violation(
                Rule::OneAnswer,
                at,
                format!("request {id:x} was answered twice"),
                Some(id),
            );
        }
        if late {
            self.record_violation(
                Rule::OneAnswer,
                at,
                format!("request {id:x} was answered too late"),
                Some(id),
            );
        }
        if ran {
            let description = format!("request {id:x} was refused as safe to repeat, but had already run");
            self.record_violation(Rule::RunOnce, at, description, Some(id));
        }
        self.remove_if_done(id);
    }

    /// Records that a sidecar learned whether a node accepts new requests.
    pub fn node_announced(&mut self, at: Nanos, sidecar: u32, node: u32, accepts_new: bool) {
        if accepts_new {
            self.closed_nodes.remove(&(sidecar, node));
        } else {
            self.closed_nodes.entry((sidecar, node)).or_insert(at);
        }
    }

    /// Records that a sidecar stopped and lost its requests and its node list.
    pub fn sidecar_stopped(&mut self, sidecar: u32) {
        self.closed_nodes.retain(|(s, _), _| *s != sidecar);
        let mut lost = 0;
        self.requests.retain(|_, w| {
            lost += u64::from(w.sidecar == sidecar && !w.answered);
            w.sidecar != sidecar
        });
        self.tally.lost += lost;
    }

    /// Records that a cold node was overloaded.
    pub fn cold_node_overloaded(&mut self, at: Nanos, node: u32) {
        self.record_violation(Rule::Cold, at, format!("node {node} was overloaded while it was cold"), None);
    }

    /// Checks at the end of the run that no request is unanswered and that the counts add up.
    pub fn finish(&mut self, at: Nanos) {
        let mut waiting: Vec<u64> =
            self.requests.iter().filter(|(_, w)| !w.answered).map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in &waiting {
            self.record_violation(
                Rule::OneAnswer,
                at,
                format!("request {id:x} was never answered"),
                Some(*id),
            );
        }
        let t = self.tally;
        let ended = t.served + t.refused + t.failed + t.gone + t.lost;
        if t.taken != ended + waiting.len() as u64 {
            self.record_violation(
                Rule::Conservation,
                at,
                format!("{} requests accepted, {ended} ended: {t:?}", t.taken),
                None,
            );
        }
    }
}

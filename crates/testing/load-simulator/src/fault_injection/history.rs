//! The observations of one run, and the checker for them. All times are true time in seconds. The checker sees
//! beliefs, acts and acknowledgements only; it has no knowledge of sessions, voters or logs.

use std::collections::BTreeMap;
use std::fmt;

/// An interval in which a process believed that it held a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Belief {
    /// The process's name; a restarted process counts as a different one.
    pub process: String,
    /// Name of the lease.
    pub lease: String,
    /// Fencing token of the grant.
    pub token: u64,
    /// The first time at which the belief was observed.
    pub from: f64,
    /// When the belief ended.
    pub to: f64,
}

/// An effect on a target outside the fleet, made by a process that checked its lease first.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    /// The process that acted.
    pub process: String,
    /// Name of the lease.
    pub lease: String,
    /// Fencing token that the act carried.
    pub token: u64,
    /// When the process checked that it held the lease.
    pub checked: f64,
    /// When the act reached the target.
    pub arrived: f64,
    /// Whether a target that stores the highest token seen accepted it.
    pub accepted: bool,
}

/// An effect that the fleet itself recorded for a lease and acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct AcknowledgedEffect {
    /// The process that requested it.
    pub process: String,
    /// Name of the lease.
    pub lease: String,
    /// Fencing token of the grant.
    pub token: u64,
    /// When the process sent the request.
    pub requested: f64,
    /// When the acknowledgement reached the process.
    pub answered: f64,
}

/// All observations of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Beliefs of all processes, in any order.
    pub beliefs: Vec<Belief>,
    /// Acts that reached a target, in any order.
    pub acts: Vec<Act>,
    /// Effects that the fleet acknowledged, in any order.
    pub acknowledged: Vec<AcknowledgedEffect>,
    /// For each lease, the token of the last effect that the fleet has stored at the end of the run.
    pub last_effects: BTreeMap<String, u64>,
    /// Processes that got no lease although a majority of voters could communicate for long enough.
    pub starved: Vec<String>,
    /// An act that takes at most this long from check to target must arrive before a newer holder believes; in
    /// seconds.
    pub grace: f64,
}

/// A broken rule, with the part of the history that proves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Description of the broken rule.
    pub rule: &'static str,
    /// The observations that prove it, in order of time.
    pub evidence: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rule)?;
        self.evidence.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}

impl fmt::Display for Belief {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Belief { process, lease, token, from, to } = self;
        write!(f, "{from:.6} to {to:.6} {process} believes that it holds {lease} under token {token}")
    }
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Act { process, lease, token, checked, arrived, accepted } = self;
        let verdict = if *accepted { "accepted" } else { "refused" };
        write!(
            f,
            "{arrived:.6} act of {process} on {lease} under token {token}, checked {checked:.6}: {verdict}"
        )
    }
}

impl fmt::Display for AcknowledgedEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AcknowledgedEffect { process, lease, token, requested, answered } = self;
        write!(
            f,
            "{requested:.6} to {answered:.6} effect of {process} on {lease} acknowledged under token {token}"
        )
    }
}

/// Returns all violations found in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_mutual_exclusion(history, &mut violations);
    check_fencing(history, &mut violations);
    check_acknowledged_effects(history, &mut violations);
    for process in &history.starved {
        violations
            .push(Violation { rule: "a waiting process never got a lease", evidence: vec![process.clone()] });
    }
    violations
}

/// Checks that beliefs of two holders never overlap and that a later holder has a higher token.
fn check_mutual_exclusion(history: &History, violations: &mut Vec<Violation>) {
    let mut beliefs: Vec<&Belief> = history.beliefs.iter().collect();
    beliefs.sort_by(|a, b| (&a.lease, a.from).partial_cmp(&(&b.lease, b.from)).expect("times are never NaN"));
    // The earlier belief that ends last: a belief that overlaps any earlier one overlaps this one.
    let mut latest_ending: Option<&Belief> = None;
    for belief in beliefs {
        if let Some(before) = latest_ending.filter(|b| b.lease == belief.lease) {
            let same = before.token == belief.token && before.process == belief.process;
            let evidence = || vec![before.to_string(), belief.to_string()];
            if !same && belief.from < before.to {
                violations
                    .push(Violation { rule: "two processes held one lease at once", evidence: evidence() });
            } else if belief.token < before.token || (belief.token == before.token && !same) {
                violations.push(Violation {
                    rule: "a later grant does not have a higher token",
                    evidence: evidence(),
                });
            }
        }
        if latest_ending.is_none_or(|b| b.lease != belief.lease || b.to <= belief.to) {
            latest_ending = Some(belief);
        }
    }
}

/// Checks that a target that stores the highest token accepts no older one, and that a target without fencing sees
/// no act of an older holder once a newer one believes, unless the act was under way for longer than the grace
/// period.
fn check_fencing(history: &History, violations: &mut Vec<Violation>) {
    let mut acts: Vec<&Act> = history.acts.iter().collect();
    acts.sort_by(|a, b| a.arrived.partial_cmp(&b.arrived).expect("times are never NaN"));
    let mut highest: BTreeMap<&String, &Act> = BTreeMap::new();
    for act in acts {
        match highest.get(&act.lease) {
            Some(newer) if newer.token > act.token && act.accepted => violations.push(Violation {
                rule: "an act with an older token was accepted after a newer one",
                evidence: vec![newer.to_string(), act.to_string()],
            }),
            Some(newer) if newer.token >= act.token => {}
            _ if act.accepted => drop(highest.insert(&act.lease, act)),
            _ => {}
        }
        if act.arrived - act.checked > history.grace {
            continue;
        }
        let newer = |b: &&Belief| b.lease == act.lease && b.token > act.token && b.from < act.arrived;
        if let Some(belief) = history.beliefs.iter().find(newer) {
            violations.push(Violation {
                rule: "an act within the grace period arrived when a newer holder already believed",
                evidence: vec![belief.to_string(), act.to_string()],
            });
        }
    }
}

/// Checks that acknowledged effects are in the order of their tokens and that the fleet lost none of them.
fn check_acknowledged_effects(history: &History, violations: &mut Vec<Violation>) {
    let mut acknowledged: Vec<&AcknowledgedEffect> = history.acknowledged.iter().collect();
    acknowledged.sort_by(|a, b| a.requested.partial_cmp(&b.requested).expect("times are never NaN"));
    for (at, effect) in acknowledged.iter().enumerate() {
        let before =
            acknowledged[..at].iter().filter(|n| n.lease == effect.lease && n.answered <= effect.requested);
        if let Some(newer) = before.max_by_key(|n| n.token).filter(|n| n.token > effect.token) {
            violations.push(Violation {
                rule: "an older effect was acknowledged after a newer one",
                evidence: vec![newer.to_string(), effect.to_string()],
            });
        }
        let stored_token = history.last_effects.get(&effect.lease).copied().unwrap_or(0);
        if stored_token < effect.token {
            let stored = format!("at the end the fleet has stored token {stored_token}");
            violations.push(Violation {
                rule: "an acknowledged effect was lost",
                evidence: vec![effect.to_string(), stored],
            });
        }
    }
}

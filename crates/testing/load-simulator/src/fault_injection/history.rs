//! What was observed in a run, and the checker. It knows beliefs, acts and acknowledgements by true time,
//! and nothing of sessions, voters or logs.

use std::collections::BTreeMap;
use std::fmt;

/// A process believed that it holds a lease, from and until true times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Belief {
    /// Which process; a restarted one is another.
    pub process: String,
    /// The lease.
    pub lease: String,
    /// The grant.
    pub token: u64,
    /// The first time that it was seen to believe.
    pub from: f64,
    /// When its belief ended.
    pub to: f64,
}

/// An effect outside the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    /// Who acted.
    pub process: String,
    /// The lease.
    pub lease: String,
    /// The grant that it carried.
    pub token: u64,
    /// When the process checked that it holds the lease.
    pub checked: f64,
    /// When the act reached the target.
    pub arrived: f64,
    /// Whether a target that keeps the highest token took it.
    pub accepted: bool,
}

/// An effect that the fleet itself acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct Noted {
    /// Who asked.
    pub process: String,
    /// The lease.
    pub lease: String,
    /// The grant.
    pub token: u64,
    /// When it was asked for.
    pub asked: f64,
    /// When it was acknowledged.
    pub answered: f64,
}

/// All that was observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Beliefs.
    pub beliefs: Vec<Belief>,
    /// Acts.
    pub acts: Vec<Act>,
    /// Acknowledged effects.
    pub noted: Vec<Noted>,
    /// At the end, for each lease: the token of the last effect that the fleet remembers.
    pub remembered: BTreeMap<String, u64>,
    /// Processes that got nothing though a majority could talk for long enough.
    pub stuck: Vec<String>,
    /// An act that takes no longer from check to target than this must not meet a newer holder.
    pub grace: f64,
}

/// What is wrong, with the part of the history that shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// The observations that show it, in order of time.
    pub shows: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rule)?;
        self.shows.iter().try_for_each(|line| write!(f, "\n  {line}"))
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
        let taken = if *accepted { "taken" } else { "refused" };
        write!(
            f,
            "{arrived:.6} act of {process} on {lease} under token {token}, checked {checked:.6}: {taken}"
        )
    }
}

impl fmt::Display for Noted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Noted { process, lease, token, asked, answered } = self;
        write!(f, "{asked:.6} to {answered:.6} {process} has an effect on {lease} noted under token {token}")
    }
}

/// Everything that is wrong with a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut wrong = Vec::new();
    one_holder(history, &mut wrong);
    acts_in_order(history, &mut wrong);
    notes_in_order(history, &mut wrong);
    for process in &history.stuck {
        wrong.push(Violation { rule: "a waiting process was never served", shows: vec![process.clone()] });
    }
    wrong
}

/// Beliefs of two holders never overlap, and a later holder has a higher token.
fn one_holder(history: &History, wrong: &mut Vec<Violation>) {
    let mut beliefs: Vec<&Belief> = history.beliefs.iter().collect();
    beliefs.sort_by(|a, b| (&a.lease, a.from).partial_cmp(&(&b.lease, b.from)).expect("times are numbers"));
    // The belief before it that lasts longest: any overlap is an overlap with that one.
    let mut longest: Option<&Belief> = None;
    for belief in beliefs {
        if let Some(before) = longest.filter(|b| b.lease == belief.lease) {
            let same = before.token == belief.token && before.process == belief.process;
            let shows = || vec![before.to_string(), belief.to_string()];
            if !same && belief.from < before.to {
                wrong.push(Violation { rule: "two processes held one lease at once", shows: shows() });
            } else if belief.token < before.token || (belief.token == before.token && !same) {
                wrong.push(Violation { rule: "a later grant has no higher token", shows: shows() });
            }
        }
        if longest.is_none_or(|b| b.lease != belief.lease || b.to <= belief.to) {
            longest = Some(belief);
        }
    }
}

/// A target that keeps the highest token takes none that is older; and a target that keeps nothing sees none
/// of an older holder once a newer one believes, unless the act was under way for longer than the grace.
fn acts_in_order(history: &History, wrong: &mut Vec<Violation>) {
    let mut acts: Vec<&Act> = history.acts.iter().collect();
    acts.sort_by(|a, b| a.arrived.partial_cmp(&b.arrived).expect("times are numbers"));
    let mut highest: BTreeMap<&String, &Act> = BTreeMap::new();
    for act in acts {
        match highest.get(&act.lease) {
            Some(newer) if newer.token > act.token && act.accepted => wrong.push(Violation {
                rule: "an older effect was taken after a newer one",
                shows: vec![newer.to_string(), act.to_string()],
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
            wrong.push(Violation {
                rule: "a prompt act arrived when a newer holder already believed",
                shows: vec![belief.to_string(), act.to_string()],
            });
        }
    }
}

/// Acknowledged effects stand in order of their tokens, and none is forgotten.
fn notes_in_order(history: &History, wrong: &mut Vec<Violation>) {
    let mut noted: Vec<&Noted> = history.noted.iter().collect();
    noted.sort_by(|a, b| a.asked.partial_cmp(&b.asked).expect("times are numbers"));
    for (at, note) in noted.iter().enumerate() {
        let before = noted[..at].iter().filter(|n| n.lease == note.lease && n.answered <= note.asked);
        if let Some(newer) = before.max_by_key(|n| n.token).filter(|n| n.token > note.token) {
            wrong.push(Violation {
                rule: "an older effect was noted after a newer one",
                shows: vec![newer.to_string(), note.to_string()],
            });
        }
        let remembered = history.remembered.get(&note.lease).copied().unwrap_or(0);
        if remembered < note.token {
            let end = format!("at the end the fleet remembers token {remembered}");
            wrong.push(Violation {
                rule: "an acknowledged effect was forgotten",
                shows: vec![note.to_string(), end],
            });
        }
    }
}

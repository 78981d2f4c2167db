//! The observer: checks the rules from outside, from what happens on the emulated network and at the nodes. It
//! shares no code with the deciders and takes nothing that they say of themselves.

use crate::experiment::Rules;
use crate::queue::{nanos, seconds, Nanos};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The most events kept of one request.
const MOST_EVENTS: usize = 48;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request that was taken has one final answer, in time.
    OneAnswer,
    /// What must never run twice doesn't, and is refused only where it never ran.
    RunOnce,
    /// Nothing new goes to a node that is known to drain or to be gone.
    Drain,
    /// No cold node is pushed over.
    Cold,
    /// What was asked is what was served, refused, failed or given up.
    Conservation,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A sidecar took it.
    Taken {
        /// The sidecar.
        sidecar: u32,
    },
    /// An attempt's first byte went out.
    Sent {
        /// Its number.
        attempt: u32,
        /// The node.
        node: u32,
    },
    /// A node began to work on it.
    Begun {
        /// The attempt's number.
        attempt: u32,
        /// The node.
        node: u32,
    },
    /// An attempt's end was told to the sidecar.
    Ended {
        /// Its number.
        attempt: u32,
        /// How it ended.
        ending: passrelay_load_balancing::Ending,
    },
    /// Its caller went away.
    Gone,
    /// The final answer.
    Served,
    /// The final answer.
    Refused,
    /// The final answer.
    Failed,
}

/// A rule that did not hold.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Which rule.
    pub rule: Rule,
    /// Seed of the run.
    pub seed: u64,
    /// When.
    pub at: Nanos,
    /// What happened.
    pub what: String,
    /// The last events of the request, where it is about one.
    pub events: Vec<(Nanos, Note)>,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {:?} broken at {:.6} s with seed {}: {}",
            self.rule,
            seconds(self.at),
            self.seed,
            self.what
        )?;
        for (at, note) in &self.events {
            write!(f, "\n  {:.6} s  {note:?}", seconds(*at))?;
        }
        Ok(())
    }
}

impl std::error::Error for Broken {}

struct Watched {
    sidecar: u32,
    deadline: Nanos,
    safe: bool,
    answered: bool,
    runs: u32,
    out: u32,
    events: Vec<(Nanos, Note)>,
}

/// What was asked and how it ended, over all requests to sidecars.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their callers.
    pub gone: u64,
    /// Lost with a sidecar that died.
    pub lost: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts that a node began to work on.
    pub begun: u64,
}

/// Watches one run.
pub struct Observer {
    seed: u64,
    slack: Nanos,
    grace: Nanos,
    open: FxHashMap<u64, Watched>,
    /// When a sidecar was told that a node wants nothing new.
    told: FxHashMap<(u32, u32), Nanos>,
    tally: Tally,
    broken: Vec<Broken>,
    counts: std::collections::BTreeMap<Rule, u64>,
}

impl Observer {
    /// An observer of a run with this seed.
    pub fn new(rules: &Rules, seed: u64) -> Observer {
        Observer {
            seed,
            slack: nanos(rules.answer_slack_ms / 1e3),
            grace: nanos(rules.drain_grace_s),
            open: FxHashMap::default(),
            told: FxHashMap::default(),
            tally: Tally::default(),
            broken: Vec::new(),
            counts: std::collections::BTreeMap::new(),
        }
    }

    fn break_rule(&mut self, rule: Rule, at: Nanos, what: String, id: Option<u64>) {
        *self.counts.entry(rule).or_default() += 1;
        if self.broken.len() < 8 {
            let events = id.and_then(|id| self.open.get(&id)).map(|w| w.events.clone()).unwrap_or_default();
            self.broken.push(Broken { rule, seed: self.seed, at, what, events });
        }
    }

    /// The first rules that did not hold.
    pub fn broken(&self) -> &[Broken] {
        &self.broken
    }

    /// How often each rule did not hold.
    pub fn counts(&self) -> &std::collections::BTreeMap<Rule, u64> {
        &self.counts
    }

    /// What was counted.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    fn note(&mut self, at: Nanos, id: u64, note: Note) -> Option<&mut Watched> {
        let w = self.open.get_mut(&id)?;
        if w.events.len() < MOST_EVENTS {
            w.events.push((at, note));
        }
        Some(w)
    }

    fn forget(&mut self, id: u64) {
        // Kept while an attempt is out: a second run may still come.
        if self.open.get(&id).is_some_and(|w| w.answered && w.out == 0) {
            self.open.remove(&id);
        }
    }

    /// A sidecar has taken a request; its caller waits until `deadline`.
    pub fn taken(&mut self, at: Nanos, id: u64, sidecar: u32, deadline: Nanos, safe: bool) {
        self.tally.taken += 1;
        let events = vec![(at, Note::Taken { sidecar })];
        self.open.insert(id, Watched { sidecar, deadline, safe, answered: false, runs: 0, out: 0, events });
    }

    /// An attempt's first byte goes out.
    pub fn sent(&mut self, at: Nanos, id: u64, attempt: u32, node: u32) {
        self.tally.sent += 1;
        let Some(w) = self.note(at, id, Note::Sent { attempt, node }) else { return };
        w.out += 1;
        let (sidecar, answered) = (w.sidecar, w.answered);
        if answered {
            let what = format!("request {id:x} was sent to node {node} after its final answer");
            self.break_rule(Rule::OneAnswer, at, what, Some(id));
        }
        if self.told.get(&(sidecar, node)).is_some_and(|told| at > told + self.grace) {
            let what =
                format!("sidecar {sidecar} sent request {id:x} to node {node}, which it knows to drain");
            self.break_rule(Rule::Drain, at, what, Some(id));
        }
    }

    /// A node begins to work on an attempt.
    pub fn begun(&mut self, at: Nanos, id: u64, attempt: u32, node: u32) {
        self.tally.begun += 1;
        let Some(w) = self.note(at, id, Note::Begun { attempt, node }) else { return };
        w.runs += 1;
        if w.runs > 1 && !w.safe {
            let what = format!("request {id:x}, which must never run twice, runs again at node {node}");
            self.break_rule(Rule::RunOnce, at, what, Some(id));
        }
    }

    /// An attempt is over: nothing of it can begin any more.
    pub fn ended(&mut self, at: Nanos, id: u64, attempt: u32, ending: passrelay_load_balancing::Ending) {
        if let Some(w) = self.note(at, id, Note::Ended { attempt, ending }) {
            w.out = w.out.saturating_sub(1);
        }
        self.forget(id);
    }

    /// The caller of a request has gone away.
    pub fn gone(&mut self, at: Nanos, id: u64) {
        let Some(w) = self.note(at, id, Note::Gone) else { return };
        if !std::mem::replace(&mut w.answered, true) {
            self.tally.gone += 1;
        }
        self.forget(id);
    }

    /// The final answer of a request.
    pub fn answered(&mut self, at: Nanos, id: u64, answer: Note) {
        match answer {
            Note::Served => self.tally.served += 1,
            Note::Refused => self.tally.refused += 1,
            _ => self.tally.failed += 1,
        }
        let slack = self.slack;
        let Some(w) = self.note(at, id, answer) else {
            let what = format!("request {id:x} was answered, but nobody waits for it");
            return self.break_rule(Rule::OneAnswer, at, what, None);
        };
        let (again, late) = (w.answered, at > w.deadline + slack);
        let ran = answer == Note::Refused && w.runs > 0 && !w.safe;
        w.answered = true;
        if again {
            self.break_rule(Rule::OneAnswer, at, format!("request {id:x} was answered twice"), Some(id));
        }
        if late {
            self.break_rule(Rule::OneAnswer, at, format!("request {id:x} was answered too late"), Some(id));
        }
        if ran {
            let what = format!("request {id:x} was refused as harmless to repeat, but it had run");
            self.break_rule(Rule::RunOnce, at, what, Some(id));
        }
        self.forget(id);
    }

    /// A sidecar has been told of a node.
    pub fn told(&mut self, at: Nanos, sidecar: u32, node: u32, wants_new: bool) {
        if wants_new {
            self.told.remove(&(sidecar, node));
        } else {
            self.told.entry((sidecar, node)).or_insert(at);
        }
    }

    /// A sidecar has died with all that it had taken and been told.
    pub fn died(&mut self, sidecar: u32) {
        self.told.retain(|(s, _), _| *s != sidecar);
        let mut lost = 0;
        self.open.retain(|_, w| {
            lost += u64::from(w.sidecar == sidecar && !w.answered);
            w.sidecar != sidecar
        });
        self.tally.lost += lost;
    }

    /// A cold node has been pushed over.
    pub fn fell(&mut self, at: Nanos, node: u32) {
        self.break_rule(Rule::Cold, at, format!("node {node} was pushed over while it was cold"), None);
    }

    /// The run is over: nobody may still wait, and the counts have to add up.
    pub fn end(&mut self, at: Nanos) {
        let mut waiting: Vec<u64> =
            self.open.iter().filter(|(_, w)| !w.answered).map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in &waiting {
            self.break_rule(Rule::OneAnswer, at, format!("request {id:x} was never answered"), Some(*id));
        }
        let t = self.tally;
        let ended = t.served + t.refused + t.failed + t.gone + t.lost;
        if t.taken != ended + waiting.len() as u64 {
            self.break_rule(
                Rule::Conservation,
                at,
                format!("{} requests taken, {ended} ended: {t:?}", t.taken),
                None,
            );
        }
    }
}

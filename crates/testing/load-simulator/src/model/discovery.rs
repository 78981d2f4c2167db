//! Discovery: one service for a tier's node list, which answers calls one after another.

use crate::experiment::Discovery as Figures;
use crate::queue::{nanos, Nanos};
use passrelay_load_balancing::{EndpointEntry, EndpointState, UpstreamId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// What one call brings.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// The version of the list.
    pub seq: u64,
    /// The whole list.
    pub whole: bool,
    /// The nodes, by their number, and when they last started.
    pub lines: Vec<Line>,
}

/// A line of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Number of the node.
    pub node: u32,
    /// Its zone.
    pub zone: usize,
    /// Its condition.
    pub condition: EndpointState,
    /// When it last started.
    pub born: Option<Nanos>,
}

impl Line {
    /// The line as the module takes it, on the clock of a sidecar that started at `began`.
    pub fn entry(&self, began: Nanos) -> EndpointEntry {
        EndpointEntry {
            upstream: UpstreamId(u64::from(self.node)),
            zone: ZoneId(self.zone),
            cell: 0,
            state: self.condition,
            started: self.born.map(|b| (b as f64 - began as f64) / 1e9),
        }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It fails at this time.
    Fails(Nanos),
    /// Its turn comes at this time.
    At(Nanos),
}

/// One tier's list and those who watch it.
pub struct Discovery {
    figures: Figures,
    lines: BTreeMap<u32, Line>,
    seq: u64,
    changes: VecDeque<(u64, Line)>,
    free_at: Nanos,
    /// It does not answer.
    pub down: bool,
    /// Sidecars whose watch is open, with the number of the call and the version that they know.
    pub watches: Vec<(u32, u64, u64)>,
}

impl Discovery {
    /// A list of these nodes, of version 1.
    pub fn new(figures: &Figures, lines: impl Iterator<Item = Line>) -> Discovery {
        Discovery {
            figures: figures.clone(),
            lines: lines.map(|l| (l.node, l)).collect(),
            seq: 1,
            changes: VecDeque::new(),
            free_at: 0,
            down: false,
            watches: Vec::new(),
        }
    }

    /// A call's turn: calls are answered one after another, and one that waits too long fails.
    pub fn turn(&mut self, now: Nanos) -> Turn {
        if self.down {
            return Turn::Fails(now);
        }
        let begins = self.free_at.max(now);
        let patience = nanos(self.figures.timeout_ms / 1e3);
        if begins - now > patience {
            return Turn::Fails(now + patience);
        }
        self.free_at = begins + nanos(self.figures.call_ms / 1e3);
        Turn::At(self.free_at)
    }

    /// Writes a change down; who watches has to be answered.
    pub fn publish(&mut self, line: Line) {
        self.seq += 1;
        if line.condition == EndpointState::Removed {
            self.lines.remove(&line.node);
        } else {
            self.lines.insert(line.node, line);
        }
        self.changes.push_back((self.seq, line));
        while self.changes.len() > self.figures.history {
            self.changes.pop_front();
        }
    }

    /// Whether there is anything newer than this version.
    pub fn has_news(&self, since: u64) -> bool {
        self.seq > since
    }

    /// What someone is told who knows this version: what changed, or the whole list after a gap.
    pub fn tell(&self, since: Option<u64>) -> Told {
        let oldest = self.changes.front().map_or(self.seq + 1, |(seq, _)| *seq);
        match since {
            Some(since) if since + 1 >= oldest => Told {
                seq: self.seq,
                whole: false,
                lines: self.changes.iter().filter(|(seq, _)| *seq > since).map(|(_, l)| *l).collect(),
            },
            _ => Told { seq: self.seq, whole: true, lines: self.lines.values().copied().collect() },
        }
    }

    /// How long a watch stays open.
    pub fn watch_for(&self) -> Nanos {
        nanos(self.figures.watch_s)
    }
}

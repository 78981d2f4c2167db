//! The discovery service of a tier: it serves the tier's node list and answers calls one after another.

use crate::experiment::Discovery as DiscoveryConfig;
use crate::queue::{nanos, Nanos};
use passrelay_load_balancing::{EndpointEntry, EndpointState, UpstreamId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// The answer to one discovery call.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Version of the list after this update.
    pub seq: u64,
    /// Whether this is the full list rather than the changes since a version.
    pub is_full: bool,
    /// The nodes of the list, or the changes in order of their versions.
    pub entries: Vec<ListEntry>,
}

/// The state of one node in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    /// Index of the node in the run.
    pub node: u32,
    /// Zone of the node.
    pub zone: usize,
    /// State that is announced for the node.
    pub condition: EndpointState,
    /// When the node last started; `None` if that was before the run.
    pub started_at: Option<Nanos>,
}

impl ListEntry {
    /// Converts this to the form that the load balancing module takes, on the clock of a sidecar that started at
    /// `began`.
    pub fn entry(&self, began: Nanos) -> EndpointEntry {
        EndpointEntry {
            upstream: UpstreamId(u64::from(self.node)),
            zone: ZoneId(self.zone),
            cell: 0,
            state: self.condition,
            started: self.started_at.map(|b| (b as f64 - began as f64) / 1e9),
        }
    }
}

/// When and how a call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTurn {
    /// The call fails at this time.
    FailsAt(Nanos),
    /// The call is answered at this time.
    AnsweredAt(Nanos),
}

/// A tier's node list, its recent changes and its open watches.
pub struct Discovery {
    config: DiscoveryConfig,
    entries: BTreeMap<u32, ListEntry>,
    seq: u64,
    changes: VecDeque<(u64, ListEntry)>,
    /// When the service has answered all calls so far.
    free_at: Nanos,
    /// Whether the service fails all calls.
    pub down: bool,
    /// Open watches: the sidecar, the number of its call and the version that it knows.
    pub watches: Vec<(u32, u64, u64)>,
}

impl Discovery {
    /// Creates a list of these nodes, with version 1.
    pub fn new(config: &DiscoveryConfig, entries: impl Iterator<Item = ListEntry>) -> Discovery {
        Discovery {
            config: config.clone(),
            entries: entries.map(|l| (l.node, l)).collect(),
            seq: 1,
            changes: VecDeque::new(),
            free_at: 0,
            down: false,
            watches: Vec::new(),
        }
    }

    /// Queues a call. Calls are answered one after another, and one that would wait longer than the timeout fails.
    pub fn schedule_call(&mut self, now: Nanos) -> CallTurn {
        if self.down {
            return CallTurn::FailsAt(now);
        }
        let starts_at = self.free_at.max(now);
        let timeout = nanos(self.config.timeout_ms / 1e3);
        if starts_at - now > timeout {
            return CallTurn::FailsAt(now + timeout);
        }
        self.free_at = starts_at + nanos(self.config.call_ms / 1e3);
        CallTurn::AnsweredAt(self.free_at)
    }

    /// Records a change as a new version. The caller has to answer the open watches.
    pub fn publish(&mut self, entry: ListEntry) {
        self.seq += 1;
        if entry.condition == EndpointState::Removed {
            self.entries.remove(&entry.node);
        } else {
            self.entries.insert(entry.node, entry);
        }
        self.changes.push_back((self.seq, entry));
        while self.changes.len() > self.config.history {
            self.changes.pop_front();
        }
    }

    /// Returns whether the list has changed since version `since`.
    pub fn has_changes(&self, since: u64) -> bool {
        self.seq > since
    }

    /// Returns the changes since a known version, or the full list if none is known or the history no longer reaches
    /// back to it.
    pub fn update_since(&self, since: Option<u64>) -> ListUpdate {
        let oldest = self.changes.front().map_or(self.seq + 1, |(seq, _)| *seq);
        match since {
            Some(since) if since + 1 >= oldest => ListUpdate {
                seq: self.seq,
                is_full: false,
                entries: self.changes.iter().filter(|(seq, _)| *seq > since).map(|(_, l)| *l).collect(),
            },
            _ => {
                ListUpdate { seq: self.seq, is_full: true, entries: self.entries.values().copied().collect() }
            }
        }
    }

    /// Returns how long a watch stays open.
    pub fn watch_duration(&self) -> Nanos {
        nanos(self.config.watch_s)
    }
}

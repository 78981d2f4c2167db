//! Random histories of configuration changes: operators, faults, a final fault, and the checker's result.
//!
//! All random numbers of a history derive from its seed. `operator` implements the operators' client, `schedule` the events
//! of each scenario, `recovery` the final fault and the reads after it. The properties that must hold are defined only in
//! `checker`.

mod operator;
mod recovery;
mod schedule;

use crate::checker::{ChangeId, Checker, Violation};
use crate::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use crate::faults::FaultInjector;
use operator::{version_in, AcknowledgedChange, CallPurpose, PendingChange};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which a new cluster has to be ready for the first change.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which a cluster without faults has to acknowledge a change.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the processes' freshness claims are checked and operators retry.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Probability that an answer to an operator is lost.
const LOST_ANSWER_PROBABILITY: f64 = 0.2;

/// The workload and faults of a history, in addition to faults of single machines within the tolerance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No additional faults.
    Mixed,
    /// Partitions of up to half of the voters for up to 25 s, in one or both directions.
    LongPartitions,
    /// The primary is partitioned from the other voters for seconds, in one or both directions, while operators call it
    /// more often than other machines.
    IsolatedPrimaries,
    /// Operators use the same generation for different changes, and resend acknowledged changes at any later time.
    Races,
    /// Voters are replaced, some of them return, and another is lost soon after; at times all crash at once.
    Repairs,
    /// Hundreds of changes are made over slow links while a voter is down.
    ManyChanges,
    /// As `ManyChanges`, and the voter's disk is slow, full or stalled once it is back.
    ManyChangesOnBadDisk,
    /// Crashes, partitions and power losses occur before the cluster has bootstrapped.
    Bootstrap,
    /// As `Bootstrap`, while the list of seeds changes: machines that restart receive a different list.
    BootstrapWithOtherSeeds,
}

/// Settings of a history.
#[derive(Clone, Debug)]
pub struct HistorySettings {
    /// Machines, network and mutations.
    pub cluster: ClusterSettings,
    /// Workload and additional faults.
    pub scenario: Scenario,
    /// A lost voter counts as lost for this long after its return, and has to catch up within this time.
    pub catch_up_time: Duration,
    /// Time from the end of the scenario's initial phase to the final fault.
    pub duration: Duration,
    /// Bytes of padding in each document, as a single string.
    pub padding: usize,
    /// Number of items in each document, of about 100 bytes each, that no change modifies.
    pub items: usize,
}

/// The result of a history.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Violated properties; empty for a correct cluster.
    pub violations: Vec<Violation>,
    /// Number of changes acknowledged.
    pub acknowledged: usize,
    /// Longest time from when a change was first sent to its acknowledgement.
    pub max_acknowledge_time: Duration,
    /// One line per machine on its final state; empty if there are no violations.
    pub machine_states: Vec<String>,
}

struct History {
    settings: HistorySettings,
    cluster: Cluster,
    checker: Checker,
    faults: FaultInjector,
    /// Purpose of each operator call in flight.
    calls: BTreeMap<CallKey, CallPurpose>,
    next_change: u64,
    /// Changes that were sent and have no final answer yet.
    pending: Vec<PendingChange>,
    /// Acknowledged changes, in the order of their first acknowledgement.
    acknowledged: Vec<AcknowledgedChange>,
    /// The newest generation that operators know, on which they base new changes.
    known_generation: u64,
    outcome: Outcome,
    /// The generation returned by the last answered read.
    last_read: Option<u64>,
    /// The machine that operators call more often than others in some scenarios.
    preferred_machine: usize,
    /// Whether the cluster is recovering from the final fault, during which no answer is lost.
    is_recovering: bool,
    /// Probability that an answer to an operator is lost.
    lost_answer_probability: f64,
}

/// Runs a history and returns its outcome.
pub fn simulate(settings: &HistorySettings) -> Outcome {
    let mut history = History::new(settings.clone());
    if matches!(settings.scenario, Scenario::Bootstrap | Scenario::BootstrapWithOtherSeeds) {
        history.run_faulty_bootstrap();
    } else {
        history.advance(BOOTSTRAP_TIMEOUT);
    }
    if matches!(settings.scenario, Scenario::ManyChanges | Scenario::ManyChangesOnBadDisk) {
        history.run_many_changes();
    }
    let until = history.cluster.now() + settings.duration;
    while history.cluster.now() < until {
        history.run_interval();
    }
    history.inject_final_fault();
    history.read_back();
    history.finish()
}

impl History {
    fn new(settings: HistorySettings) -> Self {
        History {
            cluster: Cluster::new(settings.cluster.clone()),
            checker: Checker::default(),
            faults: FaultInjector::new(settings.cluster.tolerated_losses, settings.catch_up_time),
            calls: BTreeMap::new(),
            next_change: 1,
            pending: Vec::new(),
            acknowledged: Vec::new(),
            known_generation: 0,
            outcome: Outcome::default(),
            last_read: None,
            preferred_machine: settings.cluster.machines - 1,
            is_recovering: false,
            lost_answer_probability: LOST_ANSWER_PROBABILITY,
            settings,
        }
    }

    /// Advances to `until`, polling at each `POLL_INTERVAL`.
    fn advance(&mut self, until: Duration) {
        while self.cluster.now() < until {
            let next = (self.cluster.now() + POLL_INTERVAL).min(until);
            self.advance_to(next);
        }
    }

    /// Advances to `until` and polls once.
    fn advance_to(&mut self, until: Duration) {
        while let Some(observations) = self.cluster.step(until) {
            self.observe(observations);
        }
        self.check_freshness();
        self.faults.apply_due(&mut self.cluster);
        self.retry_changes();
    }

    fn check_freshness(&mut self) {
        for machine in 0..self.cluster.len() {
            let Some(process) = self.cluster.process(machine) else { continue };
            let configuration = process.gossip().configuration();
            let generation = configuration.map_or(0, |configuration| configuration.generation);
            if let Some(fresh_at) = self.cluster.fresh_at(machine) {
                self.checker.freshness_claimed(machine, generation, fresh_at);
            }
        }
    }

    fn observe(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            match observation {
                Observation::Configured { machine, incarnation, configuration } => {
                    let change = version_in(&configuration.document).change;
                    self.checker.configured(machine, incarnation, &configuration, change);
                }
                Observation::Answered { call, answer } => self.handle_answer(call, &answer),
                Observation::QuotaGranted { .. }
                | Observation::AnnouncementConfirmed { .. }
                | Observation::RolloutSharesGranted { .. } => {}
            }
        }
    }

    fn finish(mut self) -> Outcome {
        self.checker.finish();
        if !self.checker.violations.is_empty() {
            let machines = 0..self.cluster.len();
            self.outcome.machine_states = machines.map(|machine| self.cluster.describe(machine)).collect();
        }
        self.outcome.violations = self.checker.violations;
        self.outcome
    }
}

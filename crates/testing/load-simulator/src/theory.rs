//! Closed forms of queueing theory, and comparison of the simulator with them.

use crate::experiment::{ClassSpec, Discipline, Experiment, Kind, Limits, Load, Network, Reports, Tier};
use crate::random::Form;
use crate::rivals::Policy;
use crate::world::{play, RunError, RunOptions};
use rayon::prelude::*;
use serde::Serialize;
use std::ops::Range;

/// Mean work of a call in the simulated systems, in seconds.
const WORK_S: f64 = 0.01;

/// Returns the mean time in an M/M/1 system, in mean service times.
pub fn mm1(load: f64) -> f64 {
    1.0 / (1.0 - load)
}

/// Returns the probability that a call waits in an M/M/c system (Erlang C). `load` is the load of each server.
pub fn erlang_c(servers: u32, load: f64) -> f64 {
    let offered = load * f64::from(servers);
    // Erlang B by its recursion, which neither overflows nor loses precision.
    let blocked = (1..=servers).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Returns the mean time in an M/M/c system, in mean service times.
pub fn mmc(servers: u32, load: f64) -> f64 {
    1.0 + erlang_c(servers, load) / (f64::from(servers) * (1.0 - load))
}

/// Returns the mean time in a first-come-first-served M/G/1 system (Pollaczek-Khinchine), in mean service times. `cv`
/// is the coefficient of variation of the service time.
pub fn mg1(load: f64, cv: f64) -> f64 {
    1.0 + load * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// Returns the mean time if each call joins the shortest of `choices` queues drawn among very many (Mitzenmacher 2001,
/// for `choices` of 2 and more), in mean service times.
pub fn supermarket(choices: u32, load: f64) -> f64 {
    let d = f64::from(choices);
    let term = |i: i32| load.powf((d.powi(i) - d) / (d - 1.0));
    (1..64).map(term).take_while(|t| *t > 1e-18).sum()
}

/// A system with a closed form.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "system")]
pub enum System {
    /// One core, exponential work, first come first served.
    Mm1,
    /// Several cores, exponential work, first come first served.
    Mmc {
        /// Number of cores.
        cores: u32,
    },
    /// One core, log-normal work, first come first served.
    Mg1 {
        /// Coefficient of variation of the work.
        cv: f64,
    },
    /// One core shared equally by all requests, log-normal work. The mean is that of M/M/1 for any distribution of
    /// work.
    Shared {
        /// Coefficient of variation of the work.
        cv: f64,
    },
    /// Two choices among many nodes, by own requests in flight.
    TwoChoices {
        /// Number of nodes.
        nodes: usize,
    },
}

impl System {
    /// Returns the system's name for tables.
    pub fn name(self) -> String {
        match self {
            System::Mm1 => "M/M/1".to_owned(),
            System::Mmc { cores } => format!("M/M/{cores} (Erlang C)"),
            System::Mg1 { cv } => format!("M/G/1, cv {cv} (Pollaczek-Khinchine)"),
            System::Shared { cv } => format!("M/G/1 shared, cv {cv}"),
            System::TwoChoices { nodes } => format!("two choices, {nodes} nodes (Mitzenmacher)"),
        }
    }

    /// Returns the theoretical mean time in the system, in mean service times.
    pub fn expected(self, load: f64) -> f64 {
        match self {
            System::Mm1 | System::Shared { .. } => mm1(load),
            System::Mmc { cores } => mmc(cores, load),
            System::Mg1 { cv } => mg1(load, cv),
            System::TwoChoices { .. } => supermarket(2, load),
        }
    }

    /// Returns the theoretical 99th percentile in mean service times, or `None` if there is no simple closed form.
    pub fn expected_p99(self, load: f64) -> Option<f64> {
        (self == System::Mm1).then(|| mm1(load) * 100.0_f64.ln())
    }

    /// Creates an experiment that simulates the system for about `calls` calls.
    pub fn experiment(self, load: f64, calls: f64) -> Experiment {
        let (cores, nodes) = match self {
            System::Mmc { cores } => (cores, 1),
            System::TwoChoices { nodes } => (1, nodes),
            _ => (1, 1),
        };
        let (form, cv) = match self {
            System::Mg1 { cv } | System::Shared { cv } => (Form::Lognormal, cv),
            _ => (Form::Exponential, 1.0),
        };
        let shared = matches!(self, System::Shared { .. });
        let rate = load * f64::from(cores) * nodes as f64 / WORK_S;
        let kind = Kind {
            count: nodes,
            cores,
            discipline: if shared { Discipline::Shared } else { Discipline::Fifo },
            slots: 1 << 24,
            connections: 1 << 24,
            ..Kind::default()
        };
        let class = ClassSpec {
            name: "call".to_owned(),
            work_ms: WORK_S * 1e3,
            work: form,
            cv,
            aim_s: 600.0,
            deadline_s: 600.0,
            ..ClassSpec::default()
        };
        Experiment {
            name: self.name(),
            length_s: calls / rate,
            warm_up_s: 0.02 * calls / rate,
            scale: 1.0,
            load: Load { rate, ..Load::default() },
            network: Network { one_way_ms: 0.0, jitter: 0.0, ..Network::default() },
            limits: Limits { conn_idle_s: 1e6, ..Limits::default() },
            tier: vec![Tier {
                name: "only".to_owned(),
                kind: vec![kind],
                report: Reports { fields: Vec::new(), ..Reports::default() },
                ..Tier::default()
            }],
            class: vec![class],
            ..Experiment::default()
        }
    }

    fn policy(self) -> Policy {
        match self {
            System::TwoChoices { .. } => Policy::TwoChoices,
            _ => Policy::RoundRobin,
        }
    }
}

/// One system at one load: theoretical and simulated values.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The system under comparison.
    pub system: System,
    /// Load of each server.
    pub load: f64,
    /// Theoretical mean time, in mean service times.
    pub expected: f64,
    /// Simulated mean time, in mean service times.
    pub emulated: f64,
    /// Theoretical 99th percentile in mean service times, if there is a simple closed form.
    pub expected_p99: Option<f64>,
    /// Simulated 99th percentile, in mean service times.
    pub emulated_p99: f64,
    /// Number of calls after the warm-up, over all seeds.
    pub calls: u64,
}

impl Point {
    /// Returns the relative error of the simulated mean.
    pub fn error(&self) -> f64 {
        self.emulated / self.expected - 1.0
    }

    /// Returns the relative error of the simulated 99th percentile, if theory gives one.
    pub fn error_p99(&self) -> Option<f64> {
        self.expected_p99.map(|e| self.emulated_p99 / e - 1.0)
    }
}

/// Simulates a system at a load with about `calls` calls for each seed, and averages over the seeds.
///
/// # Errors
///
/// Returns the error of the first run that fails.
pub fn measure(system: System, load: f64, calls: f64, seeds: Range<u64>) -> Result<Point, RunError> {
    let experiment = system.experiment(load, calls);
    let options = RunOptions { strict: true, ..RunOptions::default() };
    let outcomes = seeds
        .into_par_iter()
        .map(|seed| play(&experiment, system.policy(), seed, options))
        .collect::<Result<Vec<_>, _>>()?;
    let mean = |f: &dyn Fn(&crate::meter::Outcome) -> f64| {
        outcomes.iter().map(f).sum::<f64>() / outcomes.len().max(1) as f64 / (WORK_S * 1e3)
    };
    Ok(Point {
        system,
        load,
        expected: system.expected(load),
        emulated: mean(&|o| o.latency_ms.mean),
        expected_p99: system.expected_p99(load),
        emulated_p99: mean(&|o| o.latency_ms.p99),
        calls: outcomes.iter().flat_map(|o| o.classes.values()).map(|(w, _)| w.calls).sum(),
    })
}

/// Returns the systems and loads of the full table.
pub fn table() -> Vec<(System, f64)> {
    let systems = [
        System::Mm1,
        System::Mmc { cores: 4 },
        System::Mg1 { cv: 0.5 },
        System::Mg1 { cv: 1.5 },
        System::Shared { cv: 1.5 },
        System::TwoChoices { nodes: 500 },
    ];
    let loads = [0.3, 0.6, 0.8, 0.9, 0.95];
    systems.into_iter().flat_map(|s| loads.map(|l| (s, l))).collect()
}

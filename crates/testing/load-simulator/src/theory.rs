//! Closed forms of queueing theory, and the emulator held against them.

use crate::experiment::{ClassSpec, Discipline, Experiment, Kind, Limits, Load, Network, Reports, Tier};
use crate::random::Form;
use crate::rivals::Policy;
use crate::world::{play, RunError, Wanted};
use rayon::prelude::*;
use serde::Serialize;
use std::ops::Range;

/// Mean work of a call in the worlds played here, in seconds.
const WORK_S: f64 = 0.01;

/// Mean time in an M/M/1 system, in mean service times.
pub fn mm1(load: f64) -> f64 {
    1.0 / (1.0 - load)
}

/// The chance that a call waits in an M/M/c system (Erlang C); `load` is that of each server.
pub fn erlang_c(servers: u32, load: f64) -> f64 {
    let offered = load * f64::from(servers);
    // Erlang B by its recursion, which neither overflows nor loses digits.
    let blocked = (1..=servers).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Mean time in an M/M/c system, in mean service times.
pub fn mmc(servers: u32, load: f64) -> f64 {
    1.0 + erlang_c(servers, load) / (f64::from(servers) * (1.0 - load))
}

/// Mean time in an M/G/1 system, first come first served (Pollaczek-Khinchine), in mean service times; `cv` is
/// the coefficient of variation of the service time.
pub fn mg1(load: f64, cv: f64) -> f64 {
    1.0 + load * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// Mean time with `choices` queues drawn for each call among very many (Mitzenmacher 2001, for `choices` of 2 and
/// more), in mean service times.
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
    /// Several cores.
    Mmc {
        /// How many.
        cores: u32,
    },
    /// One core, log-normal work, first come first served.
    Mg1 {
        /// Coefficient of variation of the work.
        cv: f64,
    },
    /// One core shared by all, log-normal work: the mean is that of M/M/1 whatever the work's form.
    Shared {
        /// Coefficient of variation of the work.
        cv: f64,
    },
    /// Two choices among many nodes, by requests out.
    TwoChoices {
        /// How many nodes.
        nodes: usize,
    },
}

impl System {
    /// Its name for tables.
    pub fn name(self) -> String {
        match self {
            System::Mm1 => "M/M/1".to_owned(),
            System::Mmc { cores } => format!("M/M/{cores} (Erlang C)"),
            System::Mg1 { cv } => format!("M/G/1, cv {cv} (Pollaczek-Khinchine)"),
            System::Shared { cv } => format!("M/G/1 shared, cv {cv}"),
            System::TwoChoices { nodes } => format!("two choices, {nodes} nodes (Mitzenmacher)"),
        }
    }

    /// The mean time in the system in mean service times.
    pub fn expected(self, load: f64) -> f64 {
        match self {
            System::Mm1 | System::Shared { .. } => mm1(load),
            System::Mmc { cores } => mmc(cores, load),
            System::Mg1 { cv } => mg1(load, cv),
            System::TwoChoices { .. } => supermarket(2, load),
        }
    }

    /// The 99th percentile in mean service times, where there is a simple closed form.
    pub fn expected_p99(self, load: f64) -> Option<f64> {
        (self == System::Mm1).then(|| mm1(load) * 100.0_f64.ln())
    }

    /// An experiment that plays it for about so many calls.
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

/// One system at one load: what theory says and what the emulator gives.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The system.
    pub system: System,
    /// Load of each server.
    pub load: f64,
    /// Mean time by theory, in mean service times.
    pub expected: f64,
    /// Mean time as emulated.
    pub emulated: f64,
    /// 99th percentile by theory, where there is a simple form.
    pub expected_p99: Option<f64>,
    /// 99th percentile as emulated.
    pub emulated_p99: f64,
    /// Calls counted.
    pub calls: u64,
}

impl Point {
    /// How far the emulated mean lies from theory, as a part of it.
    pub fn error(&self) -> f64 {
        self.emulated / self.expected - 1.0
    }

    /// The same of the 99th percentile.
    pub fn error_p99(&self) -> Option<f64> {
        self.expected_p99.map(|e| self.emulated_p99 / e - 1.0)
    }
}

/// Plays a system at a load with these seeds, `calls` calls each, and takes the mean over them.
///
/// # Errors
///
/// Passes on why a run could not be played.
pub fn measure(system: System, load: f64, calls: f64, seeds: Range<u64>) -> Result<Point, RunError> {
    let experiment = system.experiment(load, calls);
    let wanted = Wanted { strict: true, ..Wanted::default() };
    let outcomes = seeds
        .into_par_iter()
        .map(|seed| play(&experiment, system.policy(), seed, wanted))
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

/// The systems and loads of the full table.
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

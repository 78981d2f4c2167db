//! The command line of the load simulator.

mod faults;
mod sockets;

use self::faults::{inject_crowd, inject_leases, inject_timed};
use self::sockets::{calibrate, demo, fleet, floor, load, program, stop_flag};
use crate::experiment::{Experiment, ExperimentError};
use crate::fault_injection::{crowd, processes, timed};
use crate::plot;
use crate::results::{self, series, Job, Keep, Row};
use crate::rivals::Policy;
use crate::sockets::fleet::Fleet;
use crate::sockets::load::{Live, Load};
use crate::sockets::{bench, sidecar_config};
use crate::world::{play, Mutant as WorldMutant, RunError, RunOptions};
use crate::{tables, theory};
use clap::{Args, Parser, Subcommand, ValueEnum};
use passrelay_lease_consensus::mutant::Mutant;
use passrelay_test_support::free_address;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Simulates fleets behind passrelay and compares load balancing policies.
///
/// Exit codes: 0 success; 1 a file cannot be read or written; 2 the command line or an experiment is invalid; 3 a rule
/// was violated.
#[derive(Parser)]
#[command(name = "passrelay-load-simulator", version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum FaultInjection {
    /// Runs real processes of the program with relays between them, and injects faults. Exits with code 1 if the
    /// history that the target recorded shows a violation. Ctrl-C ends the run with all of its processes.
    Leases {
        /// Seed of the faults.
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Seconds during which faults are injected.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Number of voters.
        #[arg(long, default_value_t = 5)]
        voters: usize,
        /// Number of lease holders.
        #[arg(long, default_value_t = 8)]
        holders: usize,
        /// Path of the passrelay program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measures, without link faults, the time of a grant and the resources that voters use while many clients hold
    /// many leases.
    Crowd {
        /// Number of voters.
        #[arg(long, default_value_t = 3)]
        voters: usize,
        /// Number of clients.
        #[arg(long, default_value_t = 300)]
        clients: usize,
        /// Number of leases of each client.
        #[arg(long, default_value_t = 10)]
        leases: usize,
        /// Seconds for which the clients hold their leases.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Number of grants of a free lease that are timed first.
        #[arg(long, default_value_t = 1000)]
        grants: usize,
        /// Number of times that the leader is killed afterwards, while all leases are held.
        #[arg(long, default_value_t = 0)]
        kills: usize,
        /// Path of the passrelay program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// The command that holders run under their lease.
    #[command(hide = true)]
    Act,
    /// Simulates many runs, each drawn from a seed. Exits with code 1 if one shows a violation.
    Timed {
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Number of runs.
        #[arg(long, default_value_t = 1000)]
        histories: u64,
        /// Number of clients, on half as many leases.
        #[arg(long, default_value_t = timed::DEFAULT_CLIENTS)]
        clients: usize,
        /// Runs a deliberately broken variant, to show that the checker detects it.
        #[arg(long)]
        mutant: Option<String>,
    },
}

#[derive(Subcommand)]
enum Command {
    /// Runs one experiment once and prints its outcome.
    Run(Run),
    /// Runs an experiment with many settings, policies and seeds, on all cores.
    Sweep(Sweep),
    /// Compares policies over experiments and seeds, paired by seed, with confidence intervals.
    Compare(Compare),
    /// Explains where a run lost worth: by cause, class, tenant, time and node.
    Explain(Run),
    /// Plots a run, a sweep or a comparison, as SVG or PNG by the file's extension.
    #[command(subcommand)]
    Plot(Plot),
    /// Lists the experiments of a folder and the policies.
    List {
        /// The folder.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    /// Validates experiments and reports each error with its line and column.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Shows the real sidecar under load for half a minute, with simulated nodes of which one crashes in the middle.
    Demo {
        /// Path of the passrelay program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Injects faults between a fleet's processes and checks the history of their leases.
    #[command(subcommand, visible_alias = "siege")]
    FaultInjection(FaultInjection),
    /// Starts the first tier's nodes and discovery of an experiment on loopback, with its troubles.
    Fleet {
        /// The experiment's file.
        file: PathBuf,
        /// Seconds after which the command ends by itself.
        #[arg(long, default_value_t = 3600.0)]
        seconds: f64,
        /// The seed, in place of the experiment's own.
        #[arg(long)]
        seed: Option<u64>,
        /// File to which the configuration of a sidecar for this fleet, listening on a free port, is written.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Sends an experiment's open-loop load to a running sidecar on loopback.
    Load {
        /// The experiment's file.
        file: PathBuf,
        /// Address on which the sidecar listens.
        #[arg(long)]
        to: std::net::SocketAddr,
        /// The seed, in place of the experiment's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the outcome as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Runs an experiment's first tier in simulation and on loopback with the real program, and compares them.
    Calibrate {
        /// The experiment's file.
        file: PathBuf,
        /// Path of the passrelay program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The seed, in place of the experiment's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Sets a key of the experiment.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Prints both outcomes as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measures the throughput of the sidecar, of a bare relay and without a relay, with nodes that answer at once.
    Floor {
        /// Path of the passrelay program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Number of nodes.
        #[arg(long, default_value_t = 8)]
        nodes: usize,
        /// Number of callers, each with one request in flight.
        #[arg(long, default_value_t = 32)]
        callers: usize,
        /// Measures instead the sidecar without and with this fleet file, in turn.
        #[arg(long, value_name = "FILE")]
        fleet: Option<PathBuf>,
        /// Number of rounds of all measurements.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Prints the rounds as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Compares the simulator with closed forms of queueing theory.
    Theory {
        /// Number of calls of each run.
        #[arg(long, default_value_t = 2e6)]
        calls: f64,
        /// Number of seeds of each point; their mean is compared.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// Only systems whose names contain this text.
        #[arg(long, default_value = "")]
        system: String,
        /// Prints the points as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
struct Run {
    /// The experiment's file.
    file: PathBuf,
    /// Load balancing policy.
    #[arg(long, value_enum, default_value_t = Policy::Passrelay)]
    policy: Policy,
    /// The seed, in place of the experiment's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Sets a key of the experiment, such as load.rate=80 or tier.front.kind.std.count=6.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Prints the outcome as JSON; the same experiment, policy and seed give the same bytes.
    #[arg(long)]
    json: bool,
    /// Also records the load of each node for every second.
    #[arg(long)]
    nodes: bool,
    /// Continues when a rule is violated, and counts the violations.
    #[arg(long)]
    lenient: bool,
    /// Prints only errors to standard error.
    #[arg(long)]
    quiet: bool,
}

#[derive(Args)]
struct Sweep {
    /// The experiment's file.
    file: PathBuf,
    /// A key and its values, such as load.rate=20,40,80; several make a grid.
    #[arg(long = "vary", value_name = "KEY=V1,V2,...", required = true)]
    vary: Vec<String>,
    /// Load balancing policy.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "passrelay")]
    policy: Vec<Policy>,
    /// Number of seeds, starting with the experiment's own.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Sets a key for all runs.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Stores each run in this file, one JSON object per line; runs that it holds are not repeated.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Prints the rows as JSON lines.
    #[arg(long)]
    json: bool,
    /// Shows no progress on standard error.
    #[arg(long)]
    quiet: bool,
}

#[derive(Args)]
struct Compare {
    /// The experiments' files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The policies; all if none is named.
    #[arg(long, value_enum, value_delimiter = ',')]
    policy: Vec<Policy>,
    /// The policy that the others are compared with.
    #[arg(long, value_enum, default_value_t = Policy::Passrelay)]
    baseline: Policy,
    /// Number of seeds, starting with each experiment's own.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Sets a key for all runs.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Stores each run in this file; runs that it holds are not repeated.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Prints the comparison as JSON.
    #[arg(long)]
    json: bool,
    /// Shows no progress on standard error.
    #[arg(long)]
    quiet: bool,
}

#[derive(Subcommand)]
enum Plot {
    /// Median and 99th percentile of latency over time, for one run.
    Latency {
        /// The run.
        #[command(flatten)]
        run: Run,
        /// The file to write.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// Utilisation of each node as a heat map, for one run.
    Nodes {
        /// The run.
        #[command(flatten)]
        run: Run,
        /// The file to write.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// Goal by policy over a key that a sweep has varied.
    Goal {
        /// The sweep's file.
        results: PathBuf,
        /// The key.
        #[arg(long)]
        over: String,
        /// The file to write.
        #[arg(long, short)]
        out: PathBuf,
    },
    /// The goals of a comparison as bars.
    Compare {
        /// The comparison's file.
        results: PathBuf,
        /// The file to write.
        #[arg(long, short)]
        out: PathBuf,
    },
}

impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Self] {
        &Policy::ALL
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(clap::builder::PossibleValue::new(self.name()).help(self.source()))
    }
}

/// Exit code and message of a failed command.
struct Failure(u8, String);

impl From<ExperimentError> for Failure {
    fn from(e: ExperimentError) -> Self {
        Failure(2, e.to_string())
    }
}

impl From<RunError> for Failure {
    fn from(e: RunError) -> Self {
        let code = if matches!(e, RunError::RuleViolated(_)) { 3 } else { 2 };
        Failure(code, e.to_string())
    }
}

impl From<results::SeriesError> for Failure {
    fn from(e: results::SeriesError) -> Self {
        match e {
            results::SeriesError::Run(..) => Failure(2, e.to_string()),
            _ => Failure(1, e.to_string()),
        }
    }
}

impl From<plot::PlotError> for Failure {
    fn from(e: plot::PlotError) -> Self {
        Failure(1, e.to_string())
    }
}

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(run) => one_run(&run),
        Command::Sweep(sweep) => do_sweep(&sweep),
        Command::Compare(compare) => do_compare(&compare),
        Command::Explain(run) => explain(&run),
        Command::Plot(plot) => do_plot(plot),
        Command::List { folder } => list(&folder),
        Command::Check { files } => check(&files),
        Command::Demo { program } => demo(program),
        Command::FaultInjection(FaultInjection::Act) => processes::act().map_err(|e| Failure(1, e)),
        Command::FaultInjection(FaultInjection::Leases {
            seed,
            seconds,
            voters,
            holders,
            program: named,
        }) => inject_leases(seed, seconds, voters, holders, named),
        Command::FaultInjection(FaultInjection::Crowd {
            voters,
            clients,
            leases,
            seconds,
            grants,
            kills,
            program: named,
        }) => program(named).and_then(|program| {
            inject_crowd(&crowd::Plan { program, voters, clients, leases, seconds, grants, kills })
        }),
        Command::FaultInjection(FaultInjection::Timed { seed, histories, clients, mutant }) => {
            inject_timed(seed, histories, clients, mutant.as_deref())
        }
        Command::Fleet { file, seconds, seed, config } => fleet(&file, seconds, seed, config.as_deref()),
        Command::Load { file, to, seed, json } => load(&file, to, seed, json),
        Command::Calibrate { file, program, seed, set, json } => calibrate(&file, program, seed, &set, json),
        Command::Floor { program, fleet, nodes, callers, rounds, seconds, json } => {
            floor(program, fleet.as_deref(), nodes, callers, rounds, seconds, json)
        }
        Command::Theory { calls, seeds, system, json } => do_theory(calls, seeds, &system, json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, text)) => {
            eprintln!("passrelay-load-simulator: {text}");
            ExitCode::from(code)
        }
    }
}

/// Writes to standard output. A closed pipe is not an error.
fn print(text: &str) -> Result<(), Failure> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Failure(1, format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}

fn json(value: &impl serde::Serialize) -> Result<String, Failure> {
    let text = serde_json::to_string_pretty(value);
    text.map(|t| t + "\n").map_err(|e| Failure(1, format!("cannot be written as JSON: {e}")))
}

fn pairs(set: &[String]) -> Result<Vec<(String, String)>, Failure> {
    let pair = |s: &String| {
        let pair = s.split_once('=').map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
        pair.filter(|(k, _)| !k.is_empty()).ok_or_else(|| Failure(2, format!("'{s}' should be KEY=VALUE")))
    };
    set.iter().map(pair).collect()
}

fn outcome(run: &Run, nodes: bool) -> Result<crate::meter::Outcome, Failure> {
    let experiment = Experiment::read(&run.file, &pairs(&run.set)?)?;
    let seed = run.seed.unwrap_or(experiment.seed);
    let began = Instant::now();
    // Other policies do not know the rules, so only violations by the decision module end the run.
    let strict = !run.lenient && run.policy == Policy::Passrelay;
    let outcome =
        play(&experiment, run.policy, seed, RunOptions { nodes, strict, mutant: WorldMutant::None })?;
    if !run.quiet {
        let took = began.elapsed().as_secs_f64();
        let memory = peak_memory_mb().map_or(String::new(), |mb| format!(", {mb:.0} MB at most"));
        eprintln!(
            "{:.2} s for {} events ({:.0} a second){memory}",
            took,
            outcome.events,
            outcome.events as f64 / took.max(1e-9)
        );
    }
    Ok(outcome)
}

/// Returns the peak resident memory of this process in MiB, if the system reports it.
fn peak_memory_mb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024.0)
}

fn one_run(run: &Run) -> Result<(), Failure> {
    let outcome = outcome(run, run.nodes)?;
    print(&if run.json { json(&outcome)? } else { tables::outcome(&outcome) })
}

fn explain(run: &Run) -> Result<(), Failure> {
    let outcome = outcome(run, true)?;
    print(&if run.json { json(&outcome)? } else { tables::explain(&outcome) })
}

/// Returns all combinations of the values of the varied keys.
fn grid(vary: &[String]) -> Result<Vec<Vec<(String, String)>>, Failure> {
    let mut grid = vec![Vec::new()];
    for (key, values) in pairs(vary)? {
        let values: Vec<&str> = values.split(',').map(str::trim).filter(|v| !v.is_empty()).collect();
        if values.is_empty() {
            return Err(Failure(2, format!("--vary {key}: there are no values")));
        }
        grid = grid
            .into_iter()
            .flat_map(|set: Vec<(String, String)>| {
                let with = |v: &&str| {
                    let mut set = set.clone();
                    set.push((key.clone(), (*v).to_owned()));
                    set
                };
                values.iter().map(with).collect::<Vec<_>>()
            })
            .collect();
    }
    Ok(grid)
}

fn jobs(
    file: &Path,
    set: &[(String, String)],
    vary: &[(String, String)],
    policies: &[Policy],
    seeds: u64,
) -> Result<Vec<Job>, Failure> {
    let over: Vec<_> = set.iter().chain(vary).cloned().collect();
    let experiment = Experiment::read(file, &over)?;
    let first = experiment.seed;
    let job = |policy: &Policy, seed| Job {
        experiment: experiment.clone(),
        set: vary.to_vec(),
        policy: *policy,
        seed,
    };
    Ok((first..first + seeds)
        .flat_map(|seed| policies.iter().map(move |p| (p, seed)))
        .map(|(p, s)| job(p, s))
        .collect())
}

fn do_sweep(sweep: &Sweep) -> Result<(), Failure> {
    let set = pairs(&sweep.set)?;
    let mut all = Vec::new();
    for vary in grid(&sweep.vary)? {
        all.extend(jobs(&sweep.file, &set, &vary, &sweep.policy, sweep.seeds)?);
    }
    let rows = series(&all, sweep.out.as_deref(), Keep { seconds: false, quiet: sweep.quiet })?;
    if !sweep.json {
        return print(&tables::sweep(&rows));
    }
    let mut text = String::new();
    for row in &rows {
        text.push_str(&serde_json::to_string(row).map_err(|e| Failure(1, e.to_string()))?);
        text.push('\n');
    }
    print(&text)
}

fn do_compare(compare: &Compare) -> Result<(), Failure> {
    let set = pairs(&compare.set)?;
    let mut policies = if compare.policy.is_empty() { Policy::ALL.to_vec() } else { compare.policy.clone() };
    if !policies.contains(&compare.baseline) {
        policies.insert(0, compare.baseline);
    }
    let mut all = Vec::new();
    for file in &compare.files {
        all.extend(jobs(file, &set, &[], &policies, compare.seeds)?);
    }
    let rows = series(&all, compare.out.as_deref(), Keep { seconds: false, quiet: compare.quiet })?;
    let compared = tables::compared(&rows, compare.baseline.name());
    print(&if compare.json {
        json(&compared)?
    } else {
        tables::comparison(&compared, compare.baseline.name())
    })
}

fn rows(path: &Path) -> Result<Vec<Row>, Failure> {
    Ok(results::read(path)?.0)
}

fn do_plot(plot: Plot) -> Result<(), Failure> {
    match plot {
        Plot::Latency { run, out } => plot::latency(&outcome(&run, false)?, &out)?,
        Plot::Nodes { run, out } => plot::nodes(&outcome(&run, true)?, &out)?,
        Plot::Goal { results, over, out } => plot::goal_over(&rows(&results)?, &over, &out)?,
        Plot::Compare { results, out } => {
            plot::comparison(&tables::compared(&rows(&results)?, Policy::Passrelay.name()), &out)?;
        }
    }
    Ok(())
}

fn list(folder: &Path) -> Result<(), Failure> {
    let entries = std::fs::read_dir(folder).map_err(|e| Failure(1, format!("{}: {e}", folder.display())))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|e| Some(e.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "toml"))
        .collect();
    files.sort();
    let mut text = String::from("experiments\n");
    for file in files {
        let about = match Experiment::read(&file, &[]) {
            Ok(e) => e.about,
            Err(e) => format!("FAULTY: {e}"),
        };
        text.push_str(&format!("  {:36} {about}\n", file.display().to_string()));
    }
    text.push_str("\npolicies\n");
    for policy in Policy::ALL {
        text.push_str(&format!("  {:36} {}\n", policy.name(), policy.source()));
    }
    print(&text)
}

fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let faults: Vec<String> =
        files.iter().filter_map(|f| Experiment::read(f, &[]).err()).map(|e| e.to_string()).collect();
    if faults.is_empty() {
        return print(&format!("{} experiments are in order\n", files.len()));
    }
    Err(Failure(2, faults.join("\npassrelay-load-simulator: ")))
}

fn do_theory(calls: f64, seeds: u64, only: &str, as_json: bool) -> Result<(), Failure> {
    if !(1e3..=1e9).contains(&calls) || !(1..=1000).contains(&seeds) {
        return Err(Failure(2, "--calls should be 1e3 to 1e9 and --seeds 1 to 1000".to_owned()));
    }
    // Each point has its own seeds: with shared ones, a chance deviation would appear in the whole table.
    let selected = theory::table().into_iter().enumerate().filter(|(_, (s, _))| s.name().contains(only));
    let points = selected.map(|(n, (system, load))| {
        let first = n as u64 * seeds;
        theory::measure(system, load, calls, first..first + seeds)
    });
    let points = points.collect::<Result<Vec<_>, _>>()?;
    print(&if as_json { json(&points)? } else { tables::theory(&points) })
}

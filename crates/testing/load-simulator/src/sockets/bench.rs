//! The measurements on sockets: throughput of the sidecar against a bare relay, and an experiment run both in
//! simulation and on loopback.

use super::fleet::Fleet;
use super::floor::Floor;
use super::hammer::{hammer, ClosedLoopResult, FastNodes};
use super::load::{Live, Load};
use super::program::{cpu_of, Program};
use super::sidecar_config;
use crate::experiment::Experiment;
use crate::meter::Outcome;
use crate::rivals::Policy;
use crate::world::{play, RunOptions};
use passrelay_test_support::free_address;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The component between callers and nodes in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Between {
    /// The sidecar.
    Sidecar,
    /// The sidecar as a member of a fleet.
    Member,
    /// The bare relay.
    Floor,
    /// Nothing: callers connect to nodes directly.
    Straight,
}

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Round {
    /// The component that was measured.
    pub between: Between,
    /// Requests served per second.
    pub per_second: f64,
    /// Number of requests with another answer than 200.
    pub others: u64,
    /// CPU time of the component per request in microseconds; `None` if it is unknown or there is no component.
    pub cpu_us: Option<f64>,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds.
    pub p99_us: u64,
}

/// Measures the sidecar, the bare relay and direct connections in turn, `rounds` times, with nodes that answer at once.
/// With a fleet file, measures the sidecar without and with it in turn instead.
///
/// # Errors
///
/// Returns an error if a port cannot be bound, the program does not start, or a connection breaks.
pub fn floor(
    program: &Path,
    fleet: Option<&Path>,
    nodes: usize,
    callers: usize,
    rounds: usize,
    time: Duration,
    mut show: impl FnMut(&Round),
) -> io::Result<Vec<Round>> {
    let fast_nodes = FastNodes::start(nodes)?;
    let mut all = Vec::new();
    let kinds: &[Between] = match fleet {
        None => &[Between::Sidecar, Between::Floor, Between::Straight],
        Some(_) => &[Between::Sidecar, Between::Member],
    };
    for _ in 0..rounds {
        for &between in kinds {
            let mut from = None;
            let (result, cpu) = match between {
                Between::Sidecar | Between::Member => {
                    let listen = free_address()?;
                    let mut config = hammer_config(listen, fast_nodes.discovery)?;
                    config["fleet"] = serde_json::json!(fleet.filter(|_| between == Between::Member));
                    let sidecar = Program::start(program, &config)?;
                    let result = hammer(&[listen], callers, time, || from = sidecar.cpu_s())?;
                    (result, sidecar.cpu_s())
                }
                Between::Floor => {
                    let floor = Floor::start(fast_nodes.addresses.clone())?;
                    let result = hammer(&[floor.address], callers, time, || from = thread_cpu("floor"))?;
                    (result, thread_cpu("floor"))
                }
                Between::Straight => (hammer(&fast_nodes.addresses, callers, time, || ())?, None),
            };
            let ClosedLoopResult { served, others, seconds, latency } = result;
            let round = Round {
                between,
                per_second: served as f64 / seconds.max(1e-9),
                others,
                cpu_us: cpu.zip(from).map(|(to, from)| (to - from) * 1e6 / (served + others).max(1) as f64),
                p50_us: latency.value_at_quantile(0.5),
                p99_us: latency.value_at_quantile(0.99),
            };
            show(&round);
            all.push(round);
        }
    }
    Ok(all)
}

/// Returns the CPU time in seconds of a thread of this process by its name, if the system reports it.
fn thread_cpu(name: &str) -> Option<f64> {
    let tasks = std::fs::read_dir("/proc/self/task").ok()?;
    let named = |path: &Path| std::fs::read_to_string(path.join("comm")).is_ok_and(|n| n.trim() == name);
    let task = tasks.filter_map(|t| Some(t.ok()?.path())).find(|p| named(p))?;
    cpu_of(&task.join("stat").display().to_string())
}

fn hammer_config(listen: SocketAddr, discovery: SocketAddr) -> io::Result<serde_json::Value> {
    let text =
        "[load]\nrate = 1\n[[tier]]\nname = \"only\"\n[[tier.kind]]\n[[class]]\nname = \"look\"\naim_s = 5\n\
                [[tenant]]\nname = \"acme\"";
    let e = Experiment::parse(text).map_err(io::Error::other)?;
    Ok(sidecar_config(&e, 0, listen, discovery, 7))
}

/// Outcomes of the same experiment in simulation and on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct Calibration {
    /// Outcome of the simulation.
    pub emulated: Outcome,
    /// Outcome on loopback with the real program.
    pub sockets: Outcome,
    /// Largest delay with which the load generator sent a call, in seconds.
    pub late_s: f64,
}

/// Reduces an experiment to one tier with one sidecar, which is what can run on sockets.
pub fn one_tier(e: &Experiment, tier: usize) -> Experiment {
    let mut e = e.clone();
    let name = e.tier[tier].name.clone();
    e.trouble.retain(|t| t.tier.as_deref().is_none_or(|n| n == name));
    e.tier = vec![e.tier[tier].clone()];
    e.tier[0].sidecars = 1;
    e.network.zones = 1;
    // The delay of a message between two processes on loopback.
    (e.network.one_way_ms, e.network.jitter) = (0.05, 0.2);
    e
}

/// Runs the first tier of an experiment on loopback with the real program.
///
/// # Errors
///
/// Returns a message if the fleet, the sidecar or the load fails.
pub fn on_sockets(
    program: &Path,
    e: &Experiment,
    seed: u64,
    stop: &AtomicBool,
    show: impl FnMut(&Live),
) -> Result<(Outcome, Live), String> {
    let listen = free_address().map_err(|e| format!("no free address for the sidecar: {e}"))?;
    let fleet =
        Fleet::start(e, 0, seed).map_err(|e| format!("the simulated fleet cannot be started: {e}"))?;
    let config = sidecar_config(e, 0, listen, fleet.discovery, seed);
    let _sidecar = Program::start(program, &config).map_err(|e| e.to_string())?;
    let mut load = Load::new(e, listen, seed)?;
    let outcome = load.play(stop, show).map_err(|e| e.to_string())?;
    Ok((outcome, load.live()))
}

/// Runs the first tier of an experiment in simulation and on loopback.
///
/// # Errors
///
/// Returns a message if one of the runs fails.
pub fn calibrate(
    program: &Path,
    e: &Experiment,
    seed: u64,
    show: impl FnMut(&Live),
) -> Result<Calibration, String> {
    let e = one_tier(e, 0);
    let emulated = play(&e, Policy::Passrelay, seed, RunOptions::default()).map_err(|e| e.to_string())?;
    let (sockets, live) = on_sockets(program, &e, seed, &AtomicBool::new(false), show)?;
    Ok(Calibration { emulated, sockets, late_s: live.late_s })
}

//! Measures the cost of leases: voters as processes, many clients in this process, and the resources that the voters
//! use meanwhile.

use super::{spawn_without_output, voter_statuses};
use crate::sockets::program::cpu_of;
use hdrhistogram::Histogram;
use passrelay_lease_consensus::client::ClientEvent;
use passrelay_lease_consensus::lease_table::Op;
use passrelay_lease_runtime::fleet_client::FleetClient;
use passrelay_lease_runtime::fleet_config::FleetConfig as Fleet;
use passrelay_lease_runtime::now;
use passrelay_test_support::free_address;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the program that runs the voters.
    pub program: PathBuf,
    /// Number of voters.
    pub voters: usize,
    /// Number of clients.
    pub clients: usize,
    /// Number of leases that each client holds.
    pub leases: usize,
    /// Seconds for which the clients hold all their leases.
    pub seconds: f64,
    /// Number of grants of a free lease that are timed, one after another.
    pub grants: usize,
    /// Number of times that the leader is killed after that, while all leases are held.
    pub kills: usize,
}

/// Results of a measurement.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from the request for a free lease until the client may act under it: median, 99th percentile and maximum,
    /// in ms.
    pub grant_ms: (f64, f64, f64),
    /// Time until all clients held all their leases, in seconds.
    pub all_held: f64,
    /// CPU cores used by each voter while the leases were held.
    pub cores: Vec<f64>,
    /// Bytes per second over the loopback interface, in both directions of all links.
    pub bytes: f64,
    /// Each voter's resident memory in MiB, after a tenth of the holding time and at its end.
    pub memory: Vec<(f64, f64)>,
    /// Number of leases lost before the first kill.
    pub lost: usize,
    /// Time from each kill of the leader to the next grant of a free lease, in seconds.
    pub after_kill: Vec<f64>,
    /// Number of leases lost from the first kill on.
    pub lost_to_kills: usize,
}

/// The voter processes and their folder. Dropping it kills the voters and deletes the folder.
struct Voters {
    program: PathBuf,
    folder: PathBuf,
    children: Vec<Child>,
}

impl Drop for Voters {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Voters {
    fn start_voter(&self, id: usize) -> Result<Child, String> {
        let mut command = Command::new(&self.program);
        command.args(["voter", "--id", &id.to_string(), "--fleet"]).arg(self.folder.join("fleet.toml"));
        spawn_without_output(&mut command).map_err(|e| format!("{}: {e}", self.program.display()))
    }

    /// Returns the leader's id if all voters are voting and agree on the leader.
    fn leader(&self) -> Option<usize> {
        let voters = voter_statuses(&self.program, &self.folder.join("fleet.toml"))?;
        let leader = voters.first()?["leader"].as_u64()?;
        let agrees = |v: &serde_json::Value| v["state"] == "voting" && v["leader"] == leader;
        voters.iter().all(agrees).then_some(leader as usize)
    }
}

fn start(plan: &Plan) -> Result<(Voters, Fleet), String> {
    let folder = std::env::temp_dir().join(format!("passrelay-crowd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (program, children) = (plan.program.clone(), Vec::new());
    let mut voters = Voters { program, folder: folder.clone(), children };
    let mut text = "fleet = \"crowd\"\n".to_owned();
    for id in 1..=plan.voters {
        let address = free_address().map_err(|e| format!("no free address for voter {id}: {e}"))?;
        text += &format!("[[voter]]\nid = {id}\naddress = \"{address}\"\n");
    }
    let file = folder.join("fleet.toml");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    for id in 1..=plan.voters {
        let child = voters.start_voter(id)?;
        voters.children.push(child);
    }
    Ok((voters, Fleet::read(&file).map_err(|e| e.to_string())?))
}

/// Returns a process's resident memory in MiB, or 0 if it cannot be read.
fn resident_memory_mib(pid: u32) -> f64 {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
    let line = |text: &str| {
        let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok()
    };
    status.ok().and_then(|text| line(&text)).unwrap_or(0.0) / 1024.0
}

/// Returns the number of bytes that the loopback interface has received since boot.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

fn acquire(lease: String) -> Op {
    Op::Acquire { lease, ttl_ms: 10_000, wait: true }
}

/// Times grants of a free lease, each from the request until the client may act under it, in µs.
fn time_grants(plan: &Plan, fleet: &Fleet, stop: &AtomicBool) -> Result<Histogram<u64>, String> {
    let mut member = FleetClient::new(fleet, "one", Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut times = Histogram::new(3).map_err(|e| e.to_string())?;
    let lease = "free".to_owned();
    while (times.len() as usize) < plan.grants && !stop.load(Ordering::Relaxed) {
        let began = now();
        member.client.request(acquire(lease.clone()), began);
        while member.client.guard(&lease, now()).is_none() && !stop.load(Ordering::Relaxed) {
            member.poll(Duration::from_millis(10)).map_err(|e| e.to_string())?;
        }
        // The first request also waits for the voters to start and for a session, so grants of a second or more are not
        // recorded.
        if member.client.session().is_some() && began + Duration::from_secs(1) > now() {
            times.record((now() - began).as_micros() as u64).map_err(|e| e.to_string())?;
        }
        let release = member.client.request(Op::Release { lease: lease.clone() }, now());
        let mut released = false;
        while !released && !stop.load(Ordering::Relaxed) {
            let news = member.poll(Duration::from_millis(10)).map_err(|e| e.to_string())?;
            released = news.iter().any(|n| matches!(n, ClientEvent::Answered(seq, _) if *seq == release));
        }
    }
    member.client.close();
    member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
    Ok(times)
}

/// The clients, with the number of grants and losses that they were told of so far.
struct Crowd {
    members: Vec<FleetClient>,
    held: usize,
    lost: usize,
}

impl Crowd {
    /// Steps all clients once, then sleeps for the rest of 5 ms, which leaves the cores to the voters.
    fn step_all(&mut self) -> Result<(), String> {
        let began = now();
        for member in &mut self.members {
            for event in member.poll(Duration::ZERO).map_err(|e| e.to_string())? {
                match event {
                    ClientEvent::LeaseAcquired(_) => self.held += 1,
                    ClientEvent::LeaseLost(_) => self.lost += 1,
                    _ => {}
                }
            }
        }
        std::thread::sleep(Duration::from_millis(5).saturating_sub(now() - began));
        Ok(())
    }
}

/// Kills the leader, times the next grant of a free lease in seconds, and restarts the voter. Returns `None` if the
/// leader was not found before `stop`.
fn kill_leader(
    voters: &mut Voters,
    fleet: &Fleet,
    crowd: &mut Crowd,
    stop: &AtomicBool,
) -> Result<Option<f64>, String> {
    let mut last_query = now();
    let leader = loop {
        crowd.step_all()?;
        if now() >= last_query + Duration::from_millis(200) {
            if let Some(leader) = voters.leader() {
                break leader;
            }
            last_query = now();
        }
        if stop.load(Ordering::Relaxed) {
            return Ok(None);
        }
    };
    let mut member = FleetClient::new(fleet, "after", Duration::from_secs(2)).map_err(|e| e.to_string())?;
    while member.client.session().is_none() && !stop.load(Ordering::Relaxed) {
        member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
        crowd.step_all()?;
    }
    let child = &mut voters.children[leader - 1];
    child.kill().and_then(|()| child.wait()).map_err(|e| e.to_string())?;
    let killed = now();
    member.client.request(acquire("after".to_owned()), killed);
    while member.client.guard("after", now()).is_none() && !stop.load(Ordering::Relaxed) {
        member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
        crowd.step_all()?;
    }
    let elapsed = (now() - killed).as_secs_f64();
    member.client.close();
    member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
    voters.children[leader - 1] = voters.start_voter(leader)?;
    Ok(Some(elapsed))
}

/// Runs the measurement; setting `stop` ends it early.
///
/// # Errors
///
/// Returns a message if a file, address, voter or client fails, or if `stop` was set before all leases were held.
pub fn play(plan: &Plan, stop: &AtomicBool) -> Result<Outcome, String> {
    let (mut voters, fleet) = start(plan)?;
    let times = time_grants(plan, &fleet, stop)?;
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    let mut outcome = Outcome { grant_ms: (ms(0.5), ms(0.99), ms(1.0)), ..Outcome::default() };
    let mut crowd = Crowd { members: Vec::new(), held: 0, lost: 0 };
    for client in 0..plan.clients {
        let name = format!("client-{client}");
        let mut member =
            FleetClient::new(&fleet, &name, Duration::from_secs(10)).map_err(|e| e.to_string())?;
        for lease in 0..plan.leases {
            member.client.request(acquire(format!("{name}-{lease}")), now());
        }
        crowd.members.push(member);
    }
    let pids: Vec<u32> = voters.children.iter().map(Child::id).collect();
    let cpu =
        || pids.iter().map(|pid| cpu_of(&format!("/proc/{pid}/stat")).unwrap_or(0.0)).collect::<Vec<f64>>();
    let memory = || pids.iter().map(|pid| resident_memory_mib(*pid)).collect::<Vec<f64>>();
    let wanted = plan.clients * plan.leases;
    let began = now();
    let mut holding: Option<(Duration, Vec<f64>, f64)> = None;
    let mut early_memory = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        crowd.step_all()?;
        match &holding {
            None if crowd.held >= wanted => {
                outcome.all_held = (now() - began).as_secs_f64();
                holding = Some((now(), cpu(), loopback_bytes()));
            }
            Some((since, ..)) => {
                let elapsed = (now() - *since).as_secs_f64();
                if early_memory.is_empty() && elapsed >= plan.seconds / 10.0 {
                    early_memory = memory();
                }
                if elapsed >= plan.seconds {
                    break;
                }
            }
            None => {}
        }
    }
    let (since, cpu_at_start, bytes_at_start) =
        holding.ok_or("the measurement was stopped before all leases were held")?;
    let elapsed = (now() - since).as_secs_f64();
    outcome.cores = cpu().iter().zip(&cpu_at_start).map(|(a, b)| (a - b) / elapsed).collect();
    outcome.bytes = (loopback_bytes() - bytes_at_start) / elapsed;
    outcome.memory = early_memory.into_iter().zip(memory()).collect();
    outcome.lost = crowd.lost;
    for _ in 0..plan.kills {
        outcome.after_kill.extend(kill_leader(&mut voters, &fleet, &mut crowd, stop)?);
    }
    outcome.lost_to_kills = crowd.lost - outcome.lost;
    Ok(outcome)
}

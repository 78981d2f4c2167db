//! What leases cost: real voters, a crowd of clients in this process, and what the voters use meanwhile.

use super::{start_quietly, voters_of};
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

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Voters.
    pub voters: usize,
    /// Clients.
    pub clients: usize,
    /// Leases that each one holds.
    pub leases: usize,
    /// Seconds for which they hold them.
    pub seconds: f64,
    /// Grants of a free lease that are timed, one after another.
    pub grants: usize,
    /// Kills of the leader after that, while all leases are held.
    pub kills: usize,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// From the wish for a free lease to the leave to act: median, 99th percentile and highest, in ms.
    pub grant_ms: (f64, f64, f64),
    /// Until all clients held all their leases, in seconds.
    pub all_held: f64,
    /// Each voter's share of a core while the leases were held.
    pub cores: Vec<f64>,
    /// Bytes a second over loopback, in both directions of all links.
    pub bytes: f64,
    /// Each voter's resident memory in MiB: a tenth into the time and at its end.
    pub memory: Vec<(f64, f64)>,
    /// Leases lost while nothing was wrong.
    pub lost: usize,
    /// From each kill of the leader to the next grant of a free lease, in seconds.
    pub after_kill: Vec<f64>,
    /// Leases lost from the first kill on.
    pub lost_to_kills: usize,
}

/// Voters as processes with their folder; gone when dropped.
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
    fn vote(&self, id: usize) -> Result<Child, String> {
        let mut command = Command::new(&self.program);
        command.args(["voter", "--id", &id.to_string(), "--fleet"]).arg(self.folder.join("fleet.toml"));
        start_quietly(&mut command).map_err(|e| format!("{}: {e}", self.program.display()))
    }

    /// The leader, once all vote under one.
    fn leader(&self) -> Option<usize> {
        let voters = voters_of(&self.program, &self.folder.join("fleet.toml"))?;
        let leader = voters.first()?["leader"].as_u64()?;
        let votes = |v: &serde_json::Value| v["state"] == "voting" && v["leader"] == leader;
        voters.iter().all(votes).then_some(leader as usize)
    }
}

fn start(plan: &Plan) -> Result<(Voters, Fleet), String> {
    let folder = std::env::temp_dir().join(format!("passrelay-crowd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let (program, children) = (plan.program.clone(), Vec::new());
    let mut voters = Voters { program, folder: folder.clone(), children };
    let mut text = "fleet = \"crowd\"\n".to_owned();
    for id in 1..=plan.voters {
        let address = free_address().map_err(|e| e.to_string())?;
        text += &format!("[[voter]]\nid = {id}\naddress = \"{address}\"\n");
    }
    let file = folder.join("fleet.toml");
    std::fs::write(&file, text).map_err(|e| e.to_string())?;
    for id in 1..=plan.voters {
        let child = voters.vote(id)?;
        voters.children.push(child);
    }
    Ok((voters, Fleet::read(&file).map_err(|e| e.to_string())?))
}

fn memory_of(pid: u32) -> f64 {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
    let line = |text: &str| {
        let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok()
    };
    status.ok().and_then(|text| line(&text)).unwrap_or(0.0) / 1024.0
}

/// Bytes that loopback has carried.
fn carried() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

fn acquire(lease: String) -> Op {
    Op::Acquire { lease, ttl_ms: 10_000, wait: true }
}

/// Times grants of a free lease, each from the wish to the leave to act.
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
        // The first one waits for the voters to begin and for a session.
        if member.client.session().is_some() && began + Duration::from_secs(1) > now() {
            times.record((now() - began).as_micros() as u64).map_err(|e| e.to_string())?;
        }
        let wish = member.client.request(Op::Release { lease: lease.clone() }, now());
        let mut released = false;
        while !released && !stop.load(Ordering::Relaxed) {
            let events = member.poll(Duration::from_millis(10)).map_err(|e| e.to_string())?;
            released = events.iter().any(|n| matches!(n, ClientEvent::Answered(seq, _) if *seq == wish));
        }
    }
    member.client.close();
    member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
    Ok(times)
}

/// The crowd, and what it has heard so far.
struct Crowd {
    members: Vec<FleetClient>,
    held: usize,
    lost: usize,
}

impl Crowd {
    /// All are looked after, then nothing is done for the rest of 5 ms: that leaves the cores to the voters.
    fn round(&mut self) -> Result<(), String> {
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

/// Kills the leader, and times the next grant of a free lease.
fn kill_leader(
    voters: &mut Voters,
    fleet: &Fleet,
    crowd: &mut Crowd,
    stop: &AtomicBool,
) -> Result<Option<f64>, String> {
    let mut asked = now();
    let leader = loop {
        crowd.round()?;
        if now() >= asked + Duration::from_millis(200) {
            if let Some(leader) = voters.leader() {
                break leader;
            }
            asked = now();
        }
        if stop.load(Ordering::Relaxed) {
            return Ok(None);
        }
    };
    let mut member = FleetClient::new(fleet, "after", Duration::from_secs(2)).map_err(|e| e.to_string())?;
    while member.client.session().is_none() && !stop.load(Ordering::Relaxed) {
        member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
        crowd.round()?;
    }
    let child = &mut voters.children[leader - 1];
    child.kill().and_then(|()| child.wait()).map_err(|e| e.to_string())?;
    let killed = now();
    member.client.request(acquire("after".to_owned()), killed);
    while member.client.guard("after", now()).is_none() && !stop.load(Ordering::Relaxed) {
        member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
        crowd.round()?;
    }
    let passed = (now() - killed).as_secs_f64();
    member.client.close();
    member.poll(Duration::ZERO).map_err(|e| e.to_string())?;
    voters.children[leader - 1] = voters.vote(leader)?;
    Ok(Some(passed))
}

/// Measures; `stop` ends it early.
///
/// # Errors
///
/// Says what can't be started or read.
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
    let memory = || pids.iter().map(|pid| memory_of(*pid)).collect::<Vec<f64>>();
    let wanted = plan.clients * plan.leases;
    let began = now();
    let mut from: Option<(Duration, Vec<f64>, f64)> = None;
    let mut early = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        crowd.round()?;
        match &from {
            None if crowd.held >= wanted => {
                outcome.all_held = (now() - began).as_secs_f64();
                from = Some((now(), cpu(), carried()));
            }
            Some((since, ..)) => {
                let passed = (now() - *since).as_secs_f64();
                if early.is_empty() && passed >= plan.seconds / 10.0 {
                    early = memory();
                }
                if passed >= plan.seconds {
                    break;
                }
            }
            None => {}
        }
    }
    let (since, cpu_then, carried_then) = from.ok_or("ended before all leases were held")?;
    let passed = (now() - since).as_secs_f64();
    outcome.cores = cpu().iter().zip(&cpu_then).map(|(a, b)| (a - b) / passed).collect();
    outcome.bytes = (carried() - carried_then) / passed;
    outcome.memory = early.into_iter().zip(memory()).collect();
    outcome.lost = crowd.lost;
    for _ in 0..plan.kills {
        outcome.after_kill.extend(kill_leader(&mut voters, &fleet, &mut crowd, stop)?);
    }
    outcome.lost_to_kills = crowd.lost - outcome.lost;
    Ok(outcome)
}

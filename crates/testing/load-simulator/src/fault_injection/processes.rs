//! Fault injection with real processes. Voters and lease holders run the program itself, their links go through
//! relays, and faults are drawn from a seed. The holders' commands act on a target in this process, which records the
//! history.

use super::history::{check, Act, Belief, History, Violation};
use super::relay::Relay;
use super::{spawn_without_output, voter_statuses};
use crate::random::Streams;
use passrelay_lease_runtime::{boot_time as now, TEST_CLOCK};
use passrelay_test_support::free_address;
use rand::Rng;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the program that runs voters and holders.
    pub program: PathBuf,
    /// Command that holders run under their lease: a program that calls [`act`], with its arguments.
    pub command: Vec<String>,
    /// Number of voters.
    pub voters: usize,
    /// Number of holders, which compete for half as many leases.
    pub holders: usize,
    /// Seconds during which faults are injected.
    pub seconds: f64,
    /// Seed of the faults, clocks and hold times.
    pub seed: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations that the checker found; empty for a correct run.
    pub violations: Vec<Violation>,
    /// Log of the injected faults, in order of time.
    pub faults: Vec<String>,
    /// Number of voters that were replaced.
    pub replaced: usize,
    /// Number of grants under which a holder acted.
    pub grants: usize,
    /// Number of acts that reached the target, and how many of them it refused for an old token.
    pub acts: (usize, usize),
}

/// Time to live of the leases.
const TTL: &str = "1500ms";
/// The fleet's lock delay, in ms.
const LOCK_DELAY_MS: u64 = 300;
/// Time within which every holder has to get a lease after the last fault, and all voters have to vote after their
/// start.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Environment variable with the target's address, for a holder's command.
const TARGET: &str = "FAULT_TARGET";
/// Environment variable with the process name under which a holder's command acts.
const PROCESS: &str = "FAULT_PROCESS";
/// Environment variable with the time in ms for which a holder's command acts.
const HOLD_MS: &str = "FAULT_HOLD_MS";
/// Interval between the acts of a holder's command.
const ACT_EVERY: Duration = Duration::from_millis(10);

/// The holders' command: acts on the target under a process's name until its time is over. All parameters come from
/// environment variables.
///
/// # Errors
///
/// Returns a message if the target cannot be reached or an environment variable is missing or invalid.
pub fn act() -> Result<(), String> {
    let variable = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
    let (target, process) = (variable(TARGET)?, variable(PROCESS)?);
    let hold = Duration::from_millis(
        variable(HOLD_MS)?.parse().map_err(|_| format!("{HOLD_MS} is not a whole number of milliseconds"))?,
    );
    let (lease, token) = (variable("PASSRELAY_LEASE")?, variable("PASSRELAY_LEASE_TOKEN")?);
    let mut socket =
        TcpStream::connect(&target).map_err(|e| format!("cannot connect to target {target}: {e}"))?;
    let _ = socket.set_nodelay(true);
    let end = now() + hold;
    while now() < end {
        let line = format!("{process} {lease} {token} {}\n", now().as_secs_f64());
        socket.write_all(line.as_bytes()).map_err(|e| e.to_string())?;
        thread::sleep(ACT_EVERY);
    }
    // All acts have to arrive before this returns, because the lease is released afterwards.
    socket.shutdown(Shutdown::Write).map_err(|e| e.to_string())?;
    socket.read_to_end(&mut Vec::new()).map_err(|e| e.to_string())?;
    Ok(())
}

/// The highest token of each lease, and every act in order of arrival.
type TargetLog = (BTreeMap<String, u64>, Vec<Act>);

/// A target that stores the highest token of each lease and records every act.
struct Target {
    address: SocketAddr,
    acts: Arc<Mutex<TargetLog>>,
}

impl Target {
    fn start() -> std::io::Result<Target> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Target { address: listener.local_addr()?, acts: Arc::default() };
        let acts = target.acts.clone();
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let acts = acts.clone();
                thread::spawn(move || {
                    for line in BufReader::new(socket).lines().map_while(Result::ok) {
                        let words: Vec<&str> = line.split(' ').collect();
                        let [process, lease, token, sent] = words[..] else { return };
                        let (Ok(token), Ok(sent)) = (token.parse::<u64>(), sent.parse()) else { return };
                        let (highest, seen) =
                            &mut *acts.lock().expect("no thread panics while holding the lock");
                        let known = highest.entry(lease.to_owned()).or_insert(0);
                        let accepted = token >= *known;
                        *known = token.max(*known);
                        let (process, lease) = (process.to_owned(), lease.to_owned());
                        // Taken under the lock, so that arrival times have the order of the token checks.
                        let arrived = now().as_secs_f64();
                        seen.push(Act { process, lease, token, checked: sent, arrived, accepted });
                    }
                });
            }
        });
        Ok(target)
    }
}

/// Sends a signal to a process by name, such as `STOP`.
fn signal(child: u32, name: &str) {
    // An error is ignored, as the process may have ended meanwhile.
    let _ =
        Command::new("kill").args([&format!("-{name}"), &child.to_string()]).stderr(Stdio::null()).status();
}

/// A child process, killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Index of the caller side of a link for processes whose configuration file does not list the voter.
const UNLISTED_CALLER: usize = usize::MAX;

/// The folder, addresses, relays and configuration files of a run, deleted on drop. A replaced voter leaves its slot,
/// its address and its relays to its successor, which has another id.
struct Testbed {
    folder: PathBuf,
    /// The address on which the voter of each slot listens.
    voter_addresses: Vec<SocketAddr>,
    /// Relays by caller and by the slot of the voter called.
    relays: BTreeMap<(usize, usize), Relay>,
    /// The configuration file of each process: voters, holders, then the operator.
    config_files: Vec<PathBuf>,
    /// The id of the voter in each slot.
    voter_ids: Mutex<Vec<usize>>,
    /// The slot whose voter is being replaced, and the stage of the replacement.
    replacing: Mutex<Option<(usize, Stage)>>,
}

/// Stage of a voter's replacement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The voter's disk is lost, and the voter has to be removed.
    Lost,
    /// The voter is removed, and its successor has to be started.
    Removed,
    /// The successor runs and has to be added.
    Started,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Testbed {
    /// Creates the relays and writes a configuration file for each process, which lists the voters under the addresses
    /// of that process's own relays.
    fn new(plan: &Plan) -> std::io::Result<Testbed> {
        let folder =
            std::env::temp_dir().join(format!("passrelay-faults-{}-{}", std::process::id(), plan.seed));
        std::fs::create_dir_all(&folder)?;
        let voter_addresses: Vec<SocketAddr> =
            (0..plan.voters).map(|_| free_address()).collect::<Result<_, _>>()?;
        let mut relays = BTreeMap::new();
        for from in (0..plan.voters + plan.holders).chain([UNLISTED_CALLER]) {
            for (to, address) in voter_addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                relays.insert((from, to), Relay::start(*address)?);
            }
        }
        // The last file is the operator's. It lists the voters' own addresses, so no link fault affects the operator.
        let config_files =
            (0..=plan.voters + plan.holders).map(|p| folder.join(format!("{p}.toml"))).collect();
        let voter_ids = Mutex::new((1..=plan.voters).collect());
        let testbed =
            Testbed { folder, voter_addresses, relays, config_files, voter_ids, replacing: Mutex::new(None) };
        testbed.write_files()?;
        Ok(testbed)
    }

    fn write_files(&self) -> std::io::Result<()> {
        let voter_ids = self.voter_ids.lock().expect("no thread panics while holding the lock").clone();
        for (from, file) in self.config_files.iter().enumerate() {
            let mut text = format!("fleet = \"faults\"\nlock_delay_ms = {LOCK_DELAY_MS}\n");
            for (to, address) in self.voter_addresses.iter().enumerate() {
                let address = self.relays.get(&(from, to)).map_or(*address, |relay| relay.address);
                let _ = write!(text, "[[voter]]\nid = {}\naddress = \"{address}\"\n", voter_ids[to]);
            }
            // Written and renamed, so that no process reads a partial file.
            std::fs::write(file.with_extension("new"), text)?;
            std::fs::rename(file.with_extension("new"), file)?;
        }
        Ok(())
    }

    /// Waits until all voters vote. A fleet starts once each voter has been accepted by all others.
    fn wait_until_all_vote(&self, plan: &Plan) -> Result<(), String> {
        let deadline = now() + RECOVERY_TIMEOUT;
        while now() < deadline {
            let voters = voter_statuses(&plan.program, self.operator_config()).unwrap_or_default();
            if voters.iter().filter(|v| v["state"] == "voting").count() == plan.voters {
                return Ok(());
            }
        }
        Err(format!("not all voters were voting within {RECOVERY_TIMEOUT:?} of their start"))
    }

    fn operator_config(&self) -> &Path {
        self.config_files.last().expect("the operator has a configuration file")
    }

    fn voter_id(&self, slot: usize) -> usize {
        self.voter_ids.lock().expect("no thread panics while holding the lock")[slot]
    }

    fn data_folder(&self, slot: usize) -> PathBuf {
        self.folder.join(format!("fleet-data/voter-{}", self.voter_id(slot)))
    }

    /// Starts the voter of a slot on a clock of its own, up to 10 % fast or slow, as the guarantees allow, and up to a
    /// day ahead.
    fn start_voter(&self, plan: &Plan, slot: usize) -> std::io::Result<Process> {
        let (number, mut command) = (self.voter_id(slot), Command::new(&plan.program));
        command.env(TEST_CLOCK, clock_setting(plan.seed, &format!("voter {number}")));
        command.args(["voter", "--id", &number.to_string(), "--fleet"]).arg(&self.config_files[slot]);
        command.args((number > plan.voters).then_some("--join"));
        Ok(Process(spawn_without_output(&mut command)?))
    }

    fn stage(&self) -> Option<(usize, Stage)> {
        *self.replacing.lock().expect("no thread panics while holding the lock")
    }

    fn set_stage(&self, stage: Option<(usize, Stage)>) {
        *self.replacing.lock().expect("no thread panics while holding the lock") = stage;
    }

    /// Acts as the operator until `end`: removes voters that lost their disks and adds their successors, retrying until
    /// it succeeds.
    fn run_operator(&self, plan: &Plan, end: &AtomicBool) {
        let file = self.operator_config();
        while !end.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let Some((slot, stage)) = self.stage() else { continue };
            let mut command = Command::new(&plan.program);
            let number = self.voter_id(slot).to_string();
            match stage {
                Stage::Lost => command.args(["fleet", "remove", "--id", &number, "--fleet"]).arg(file),
                Stage::Removed => continue,
                Stage::Started => {
                    let address = self.relays[&(UNLISTED_CALLER, slot)].address.to_string();
                    command
                        .args(["fleet", "add", "--id", &number, "--address", &address, "--fleet"])
                        .arg(file)
                }
            };
            let done = run_to_end(&mut command, end, |_| {}).is_some_and(|status| status.success());
            match stage {
                Stage::Lost if done => {
                    let mut voter_ids =
                        self.voter_ids.lock().expect("no thread panics while holding the lock");
                    voter_ids[slot] = voter_ids.iter().max().expect("there is at least one voter") + 1;
                    drop(voter_ids);
                    if self.write_files().is_ok() {
                        self.set_stage(Some((slot, Stage::Removed)));
                    }
                }
                Stage::Started if done => self.set_stage(None),
                _ => {}
            }
        }
    }
}

/// Returns the value of [`TEST_CLOCK`] for a process: the clock's rate and its offset in seconds. The rate is often
/// close to 10 % fast or slow, the bound up to which the guarantees hold.
fn clock_setting(seed: u64, process: &str) -> String {
    let mut random = Streams::new(seed).of(process, 0);
    let rate = match random.random_range(0..4) {
        0 => 0.902,
        1 => 1.098,
        _ => random.random_range(0.902..1.098),
    };
    format!("{rate},{}", random.random_range(0.0..86_400.0))
}

/// Runs a command to its end, or kills it once `end` is set. Calls `started` with the process id.
fn run_to_end(
    command: &mut Command,
    end: &AtomicBool,
    started: impl FnOnce(u32),
) -> Option<std::process::ExitStatus> {
    let mut child = spawn_without_output(command).ok()?;
    started(child.id());
    loop {
        match child.try_wait() {
            Ok(None) if end.load(Ordering::Relaxed) => {
                let _ = child.kill();
                return child.wait().ok();
            }
            Ok(None) => thread::sleep(Duration::from_millis(5)),
            status => return status.ok().flatten(),
        }
    }
}

impl Testbed {
    /// Simulates a full disk: lets the files of a voter's process grow by `room` more bytes. `None` lifts the limit.
    fn limit_file_size(&self, voter: usize, voters: &[Option<Process>], room: Option<u64>) {
        let Some(process) = &voters[voter] else { return };
        let folder = self.data_folder(voter);
        let length = |entry: std::fs::DirEntry| entry.metadata().map_or(0, |m| m.len());
        let max_hold = std::fs::read_dir(folder).into_iter().flatten().flatten().map(length).max();
        let current = room.map(|room| max_hold.unwrap_or(0) + room);
        let pid = rustix::process::Pid::from_raw(process.0.id() as i32);
        // An error is ignored, as the process may have ended meanwhile.
        let _ = rustix::process::prlimit(
            pid,
            rustix::process::Resource::Fsize,
            rustix::process::Rlimit { current, maximum: None },
        );
    }
}

/// Current state of a holder, shared between its thread and the fault injection.
#[derive(Default)]
struct Holder {
    /// Id of its current process, 0 between two processes.
    pid: AtomicU32,
    /// Number of processes started so far.
    run: AtomicU32,
}

/// Runs one holder: starts `lease run` again and again until `end` is set.
fn run_holder(
    plan: &Plan,
    file: &Path,
    number: usize,
    target: SocketAddr,
    holder: &Holder,
    end: &AtomicBool,
) {
    let mut random = Streams::new(plan.seed).of("holder", number as u64);
    let lease = format!("lease-{}", number / 2);
    while !end.load(Ordering::Relaxed) {
        let run = holder.run.fetch_add(1, Ordering::Relaxed) + 1;
        let max_hold = if random.random_bool(0.4) { 9000 } else { 1500 };
        let hold = random.random_range(50..max_hold).to_string();
        let mut command = Command::new(&plan.program);
        command.args(["lease", "run", &lease, "--ttl", TTL, "--wait", "20s", "--fleet"]).arg(file).arg("--");
        command.args(&plan.command).env(TARGET, target.to_string()).env(HOLD_MS, hold);
        command.env(PROCESS, format!("holder-{number}.{run}"));
        command.env(TEST_CLOCK, clock_setting(plan.seed, &format!("holder {number}.{run}")));
        run_to_end(&mut command, end, |pid| holder.pid.store(pid, Ordering::Relaxed));
        holder.pid.store(0, Ordering::Relaxed);
    }
}

/// Runs voters and holders under faults and checks the history; setting `stop` ends the run early.
///
/// # Errors
///
/// Returns a message if a relay, the target or a voter cannot be started, or if the voters don't start voting.
pub fn play(plan: &Plan, stop: &AtomicBool) -> Result<Outcome, String> {
    let testbed = Testbed::new(plan).map_err(|e| format!("cannot set up relays and fleet files: {e}"))?;
    let target = Target::start().map_err(|e| format!("cannot start the target: {e}"))?;
    let mut voters: Vec<Option<Process>> = Vec::new();
    for voter in 0..plan.voters {
        voters.push(Some(
            testbed.start_voter(plan, voter).map_err(|e| format!("{}: {e}", plan.program.display()))?,
        ));
    }
    testbed.wait_until_all_vote(plan)?;
    let holders: Vec<Holder> = (0..plan.holders).map(|_| Holder::default()).collect();
    let (end, mut faults, mut suspensions) = (AtomicBool::new(false), Vec::new(), Vec::new());
    let mut starved = Vec::new();
    thread::scope(|scope| {
        for (number, holder) in holders.iter().enumerate() {
            let (file, end, address) = (&testbed.config_files[plan.voters + number], &end, target.address);
            scope.spawn(move || run_holder(plan, file, number, address, holder, end));
        }
        scope.spawn(|| testbed.run_operator(plan, &end));
        inject_faults(plan, &testbed, &mut voters, &holders, stop, &mut faults, &mut suspensions);
        let faults_ended = now().as_secs_f64();
        let unserved = || {
            let (_, acts) = &*target.acts.lock().expect("no thread panics while holding the lock");
            // Reads only the acts since then. Acts that arrive meanwhile wait for this lock and get a later arrival
            // time, so a longer scan would make them look late.
            let recent = acts.iter().rev().take_while(|a| a.arrived > faults_ended);
            let recent: Vec<&str> =
                recent.filter(|a| a.checked > faults_ended).map(|a| a.process.as_str()).collect();
            let served = |number: &usize| {
                let name = format!("holder-{number}.");
                recent.iter().any(|process| process.starts_with(&name))
            };
            (0..plan.holders).filter(|n| !served(n)).collect::<Vec<_>>()
        };
        let deadline = now() + RECOVERY_TIMEOUT;
        while now() < deadline && !unserved().is_empty() && !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
        if !stop.load(Ordering::Relaxed) {
            starved = unserved()
                .iter()
                .map(|n| format!("holder-{n}, within {RECOVERY_TIMEOUT:?} after the faults"))
                .collect();
        }
        end.store(true, Ordering::Relaxed);
    });
    drop(voters);
    let (_, acts) =
        std::mem::take(&mut *target.acts.lock().expect("no thread panics while holding the lock"));
    let refused = acts.iter().filter(|a| !a.accepted).count();
    let history = history_of(acts, &suspensions, starved);
    let highest = (0..plan.voters).map(|slot| testbed.voter_id(slot)).max().unwrap_or(0);
    Ok(Outcome {
        replaced: highest.saturating_sub(plan.voters),
        grants: history.beliefs.len(),
        acts: (history.acts.len(), refused),
        violations: check(&history),
        faults,
    })
}

/// Injects random faults until the plan's time is over or `stop` is set, then undoes those still active. Logs them in
/// `faults`, and in `suspensions` the name and time of each suspended holder.
fn inject_faults(
    plan: &Plan,
    testbed: &Testbed,
    voters: &mut [Option<Process>],
    holders: &[Holder],
    stop: &AtomicBool,
    faults: &mut Vec<String>,
    suspensions: &mut Vec<(String, f64)>,
) {
    let mut random = Streams::new(plan.seed).of("faults", 0);
    let started_at = now();
    let mut undo: Vec<(Duration, Undo)> = Vec::new();
    let until = started_at + Duration::from_secs_f64(plan.seconds);
    let mut next = started_at + Duration::from_secs(3);
    while now() < until && !stop.load(Ordering::Relaxed) {
        let due: Vec<Undo>;
        (due, undo) = split_due(undo, now());
        due.into_iter().for_each(|u| u.carry_out(plan, testbed, voters));
        if let Some((slot, Stage::Removed)) = testbed.stage() {
            voters[slot] = None;
            voters[slot] = testbed.start_voter(plan, slot).ok();
            testbed.set_stage(Some((slot, Stage::Started)));
            faults.push(format!(
                "{:.3} voter {} started, waiting to be added",
                now().as_secs_f64(),
                testbed.voter_id(slot)
            ));
        }
        if now() >= next {
            next = now() + Duration::from_millis(random.random_range(50..900));
            let voter = random.random_range(0..plan.voters);
            let holder = random.random_range(0..plan.holders);
            let after = now() + Duration::from_millis(random.random_range(50..2500));
            let fault = match random.random_range(0..100) {
                0..35 => {
                    let from = random.random_range(0..plan.voters + plan.holders);
                    let directions = [[true, false], [false, true], [true, true]][random.random_range(0..3)];
                    let isolate = random.random_bool(0.3);
                    for (link, relay) in &testbed.relays {
                        let affected = is_affected(*link, (!isolate).then_some(from), voter);
                        if affected {
                            // On a link opened by another process, the voter's outgoing direction is the relay's
                            // direction back.
                            let reversed = isolate && link.1 == voter;
                            for (direction, blocked) in directions.iter().enumerate() {
                                let direction = if reversed { 1 - direction } else { direction };
                                relay.faults.blocked[direction].store(*blocked, Ordering::Relaxed);
                            }
                        }
                    }
                    undo.push((after, Undo::RestoreLinks(if isolate { None } else { Some(from) }, voter)));
                    let links = if isolate { "all links".to_owned() } else { format!("link from {from}") };
                    format!("{links} of voter {} cut, outgoing and incoming: {directions:?}", voter + 1)
                }
                35..38 if testbed.stage().is_none() => {
                    voters[voter] = None;
                    // If the folder cannot be deleted, this is a restart of the voter with its data.
                    let _ = std::fs::remove_dir_all(testbed.data_folder(voter));
                    testbed.set_stage(Some((voter, Stage::Lost)));
                    undo.push((after, Undo::Restart(voter)));
                    format!("voter {} lost its disk and is being replaced", testbed.voter_id(voter))
                }
                35..45 => {
                    testbed.relays.iter().filter(|(l, _)| l.0 == voter || l.1 == voter).for_each(|(_, r)| {
                        r.faults.drop_count.fetch_add(1, Ordering::Relaxed);
                    });
                    format!("connections of voter {} dropped", voter + 1)
                }
                45..60 => {
                    voters[voter] = None;
                    undo.push((after, Undo::Restart(voter)));
                    format!("voter {} killed", voter + 1)
                }
                60..63 => {
                    voters.iter_mut().for_each(|v| *v = None);
                    (0..plan.voters).for_each(|v| undo.push((after, Undo::Restart(v))));
                    "all voters killed".to_owned()
                }
                63..69 => {
                    // Fills the disks of one or two voters, at once or in the middle of a later record.
                    let two = random.random_bool(0.4);
                    let room = if random.random_bool(0.5) { 0 } else { random.random_range(1..4096) };
                    let full = [Some(voter), two.then_some((voter + 1) % plan.voters)];
                    for voter in full.into_iter().flatten() {
                        testbed.limit_file_size(voter, voters, Some(room));
                        undo.push((after, Undo::LiftDiskLimit(voter)));
                    }
                    format!(
                        "disk of voter {} (next voter too: {two}) full after {room} more bytes",
                        voter + 1
                    )
                }
                69..77 => {
                    let Some(pid) = voters[voter].as_ref().map(|v| v.0.id()) else { continue };
                    signal(pid, "STOP");
                    undo.push((after, Undo::Resume(pid)));
                    format!("voter {} suspended", voter + 1)
                }
                77..87 => {
                    let pid = holders[holder].pid.load(Ordering::Relaxed);
                    if pid == 0 {
                        continue;
                    }
                    let run = holders[holder].run.load(Ordering::Relaxed);
                    suspensions.push((format!("holder-{holder}.{run}"), now().as_secs_f64()));
                    signal(pid, "STOP");
                    // Often longer than the lease's time to live, so that its command, which keeps running, and the
                    // next holder's both act on the target.
                    undo.push((
                        after + Duration::from_millis(random.random_range(500..5000)),
                        Undo::Resume(pid),
                    ));
                    format!("holder {holder} suspended, its command keeps running")
                }
                87..95 => {
                    let pid = holders[holder].pid.load(Ordering::Relaxed);
                    if pid == 0 {
                        continue;
                    }
                    signal(pid, "KILL");
                    format!("holder {holder} killed")
                }
                _ => {
                    let delay = random.random_range(1..40);
                    testbed.relays.values().for_each(|r| r.faults.delay_ms.store(delay, Ordering::Relaxed));
                    undo.push((after, Undo::RemoveDelay));
                    format!("links delayed by {delay} ms per 64 bytes")
                }
            };
            faults.push(format!("{:.3} {fault}", now().as_secs_f64()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    undo.extend(
        (0..plan.voters).flat_map(|v| [Undo::RestoreLinks(None, v), Undo::Restart(v)]).map(|u| (until, u)),
    );
    undo.into_iter().for_each(|(_, u)| u.carry_out(plan, testbed, voters));
}

/// Returns whether a fault applies to a link: any link of `voter` without `from`, else only that from `from` to `voter`
/// and that of unlisted callers.
fn is_affected(link: (usize, usize), from: Option<usize>, voter: usize) -> bool {
    match from {
        None => link.0 == voter || link.1 == voter,
        Some(from) => link.1 == voter && (link.0 == from || link.0 == UNLISTED_CALLER),
    }
}

/// The end of a fault.
enum Undo {
    RestoreLinks(Option<usize>, usize),
    Restart(usize),
    Resume(u32),
    LiftDiskLimit(usize),
    RemoveDelay,
}

/// Separates the faults that end by `time` from the later ones.
fn split_due(undo: Vec<(Duration, Undo)>, time: Duration) -> (Vec<Undo>, Vec<(Duration, Undo)>) {
    let (due, later): (Vec<_>, Vec<_>) = undo.into_iter().partition(|(at, _)| *at <= time);
    (due.into_iter().map(|(_, u)| u).collect(), later)
}

impl Undo {
    fn carry_out(self, plan: &Plan, testbed: &Testbed, voters: &mut [Option<Process>]) {
        match self {
            Undo::RestoreLinks(from, voter) => {
                for (link, relay) in &testbed.relays {
                    if is_affected(*link, from, voter) {
                        relay.faults.blocked.iter().for_each(|c| c.store(false, Ordering::Relaxed));
                    }
                }
            }
            // A voter that cannot be started stays down, and the end of the run reveals it.
            Undo::Restart(voter) if voters[voter].is_none() => {
                voters[voter] = testbed.start_voter(plan, voter).ok()
            }
            Undo::Restart(_) => {}
            Undo::Resume(pid) => signal(pid, "CONT"),
            Undo::LiftDiskLimit(voter) => testbed.limit_file_size(voter, voters, None),
            Undo::RemoveDelay => {
                testbed.relays.values().for_each(|r| r.faults.delay_ms.store(0, Ordering::Relaxed));
            }
        }
    }
}

/// Builds the history from the acts that the target recorded. A suspended holder process could check nothing from then
/// on, so what its command did later counts as unchecked, and only the fencing rule applies to it.
fn history_of(mut acts: Vec<Act>, suspensions: &[(String, f64)], starved: Vec<String>) -> History {
    let mut beliefs: BTreeMap<(String, u64), Belief> = BTreeMap::new();
    for act in &mut acts {
        let suspended_at =
            suspensions.iter().filter(|(p, _)| *p == act.process).map(|(_, at)| *at).fold(f64::MAX, f64::min);
        if act.checked >= suspended_at {
            act.checked = f64::MIN;
            continue;
        }
        let belief = beliefs.entry((act.process.clone(), act.token)).or_insert_with(|| Belief {
            process: act.process.clone(),
            lease: act.lease.clone(),
            token: act.token,
            from: act.checked,
            to: act.checked,
        });
        belief.to = belief.to.max(act.checked);
    }
    let beliefs = beliefs.into_values().collect();
    History { beliefs, acts, starved, grace: LOCK_DELAY_MS as f64 / 1000.0 / 1.1, ..History::default() }
}

//! Fault injection with real processes: voters and holders of leases are the program itself, links go through relays,
//! and faults are drawn from a seed. The holders' commands act on a target here, which writes the history.

use super::history::{check, Act, Belief, History, Violation};
use super::relay::Relay;
use super::{start_quietly, voters_of};
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

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// The holders' command: a program that calls [`act`], with its arguments.
    pub command: Vec<String>,
    /// Voters.
    pub voters: usize,
    /// Holders, on half as many leases.
    pub holders: usize,
    /// Seconds of faults.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What is wrong.
    pub violations: Vec<Violation>,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// Voters that were replaced.
    pub replaced: usize,
    /// Grants under which something was done.
    pub grants: usize,
    /// Acts that reached the target, and those of them that it refused as too old.
    pub acts: (usize, usize),
}

/// The time to live of the leases, and what a wait for one takes at most.
const TTL: &str = "1500ms";
/// The lock delay, in ms.
const LOCK_DELAY_MS: u64 = 300;
/// After the last fault everyone gets a lease within this time.
const HEALING: Duration = Duration::from_secs(25);
/// What a holder's command finds in its environment: where it acts, in whose name, for how long.
const TARGET: &str = "FAULT_TARGET";
const PROCESS: &str = "FAULT_PROCESS";
const HOLD_MS: &str = "FAULT_HOLD_MS";
/// How often a holder's command acts.
const ACT_EVERY: Duration = Duration::from_millis(10);

/// Acts in a process's name on a target until its time is over: the holders' command. What it needs is in the
/// environment.
///
/// # Errors
///
/// Fails where the target can't be reached or something is not in the environment.
pub fn act() -> Result<(), String> {
    let variable = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
    let (target, process) = (variable(TARGET)?, variable(PROCESS)?);
    let longest =
        Duration::from_millis(variable(HOLD_MS)?.parse().map_err(|_| format!("{HOLD_MS}: no number"))?);
    let (lease, token) = (variable("PASSRELAY_LEASE")?, variable("PASSRELAY_LEASE_TOKEN")?);
    let mut socket = TcpStream::connect(target).map_err(|e| e.to_string())?;
    let _ = socket.set_nodelay(true);
    let end = now() + longest;
    while now() < end {
        let line = format!("{process} {lease} {token} {}\n", now().as_secs_f64());
        socket.write_all(line.as_bytes()).map_err(|e| e.to_string())?;
        thread::sleep(ACT_EVERY);
    }
    // Whoever lets a lease go has to know first that all it did has arrived.
    socket.shutdown(Shutdown::Write).map_err(|e| e.to_string())?;
    socket.read_to_end(&mut Vec::new()).map_err(|e| e.to_string())?;
    Ok(())
}

/// The highest token of each lease, and every act.
type Seen = (BTreeMap<String, u64>, Vec<Act>);

/// The target: it keeps the highest token of each lease, and writes down every act.
struct Target {
    address: SocketAddr,
    acts: Arc<Mutex<Seen>>,
}

impl Target {
    fn start() -> std::io::Result<Target> {
        let door = TcpListener::bind("127.0.0.1:0")?;
        let target = Target { address: door.local_addr()?, acts: Arc::default() };
        let acts = target.acts.clone();
        thread::spawn(move || {
            for socket in door.incoming().map_while(Result::ok) {
                let acts = acts.clone();
                thread::spawn(move || {
                    for line in BufReader::new(socket).lines().map_while(Result::ok) {
                        let words: Vec<&str> = line.split(' ').collect();
                        let [process, lease, token, sent] = words[..] else { return };
                        let (Ok(token), Ok(sent)) = (token.parse::<u64>(), sent.parse()) else { return };
                        let (highest, seen) = &mut *acts.lock().expect("nobody panics with it");
                        let known = highest.entry(lease.to_owned()).or_insert(0);
                        let accepted = token >= *known;
                        *known = token.max(*known);
                        let (process, lease) = (process.to_owned(), lease.to_owned());
                        // Under the lock, so that the order of times is the order of the checks.
                        let arrived = now().as_secs_f64();
                        seen.push(Act { process, lease, token, checked: sent, arrived, accepted });
                    }
                });
            }
        });
        Ok(target)
    }
}

fn signal(child: u32, name: &str) {
    // A process that has ended meanwhile has nothing to be told.
    let _ =
        Command::new("kill").args([&format!("-{name}"), &child.to_string()]).stderr(Stdio::null()).status();
}

/// A process of the run; it ends with this.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// In the place of a caller: anybody whose file doesn't name the voter.
const ANYBODY: usize = usize::MAX;

/// Everything on one machine that a run uses; gone when dropped. A voter that is replaced leaves its durable, its
/// address and its relays to the next, which has another number.
struct Field {
    folder: PathBuf,
    real: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
    files: Vec<PathBuf>,
    /// The number of the voter in each durable.
    numbers: Mutex<Vec<usize>>,
    /// The durable whose voter is being replaced, and how far that is.
    replacing: Mutex<Option<(usize, Stage)>>,
}

/// How far the replacement of a voter is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Its disk is lost, and it is to be removed.
    Lost,
    /// It is removed; the next one is to be started.
    Removed,
    /// The next one runs, and is to be added.
    Started,
}

impl Drop for Field {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Field {
    /// A file for each process, in which the others stand behind relays of that process's own.
    fn new(plan: &Plan) -> std::io::Result<Field> {
        let folder =
            std::env::temp_dir().join(format!("passrelay-faults-{}-{}", std::process::id(), plan.seed));
        std::fs::create_dir_all(&folder)?;
        let real: Vec<SocketAddr> = (0..plan.voters).map(|_| free_address()).collect::<Result<_, _>>()?;
        let mut relays = BTreeMap::new();
        for from in (0..plan.voters + plan.holders).chain([ANYBODY]) {
            for (to, address) in real.iter().enumerate().filter(|(to, _)| *to != from) {
                relays.insert((from, to), Relay::start(*address)?);
            }
        }
        // The last one is the operator's, which no fault keeps from the voters.
        let files = (0..=plan.voters + plan.holders).map(|p| folder.join(format!("{p}.toml"))).collect();
        let numbers = Mutex::new((1..=plan.voters).collect());
        let field = Field { folder, real, relays, files, numbers, replacing: Mutex::new(None) };
        field.write_files()?;
        Ok(field)
    }

    fn write_files(&self) -> std::io::Result<()> {
        let numbers = self.numbers.lock().expect("nobody panics with it").clone();
        for (from, file) in self.files.iter().enumerate() {
            let mut text = format!("fleet = \"faults\"\nlock_delay_ms = {LOCK_DELAY_MS}\n");
            for (to, address) in self.real.iter().enumerate() {
                let address = self.relays.get(&(from, to)).map_or(*address, |relay| relay.address);
                let _ = write!(text, "[[voter]]\nid = {}\naddress = \"{address}\"\n", numbers[to]);
            }
            // Nobody reads half of one.
            std::fs::write(file.with_extension("new"), text)?;
            std::fs::rename(file.with_extension("new"), file)?;
        }
        Ok(())
    }

    /// A fleet begins once each voter has been welcomed by all others.
    fn until_all_vote(&self, plan: &Plan) -> Result<(), String> {
        let last = now() + HEALING;
        while now() < last {
            let voters = voters_of(&plan.program, self.operators_file()).unwrap_or_default();
            if voters.iter().filter(|v| v["state"] == "voting").count() == plan.voters {
                return Ok(());
            }
        }
        Err(format!("not all voters voted within {HEALING:?} of their start"))
    }

    fn operators_file(&self) -> &Path {
        self.files.last().expect("there is one")
    }

    fn number(&self, durable: usize) -> usize {
        self.numbers.lock().expect("nobody panics with it")[durable]
    }

    fn data(&self, durable: usize) -> PathBuf {
        self.folder.join(format!("fleet-data/voter-{}", self.number(durable)))
    }

    /// Starts a voter, on a clock of its own: up to a tenth fast or slow, as the bound allows, and up to a day ahead.
    fn voter(&self, plan: &Plan, durable: usize) -> std::io::Result<Process> {
        let (number, mut command) = (self.number(durable), Command::new(&plan.program));
        command.env(TEST_CLOCK, clock(plan.seed, &format!("voter {number}")));
        command.args(["voter", "--id", &number.to_string(), "--fleet"]).arg(&self.files[durable]);
        command.args((number > plan.voters).then_some("--join"));
        Ok(Process(start_quietly(&mut command)?))
    }

    fn stage(&self) -> Option<(usize, Stage)> {
        *self.replacing.lock().expect("nobody panics with it")
    }

    fn set_stage(&self, stage: Option<(usize, Stage)>) {
        *self.replacing.lock().expect("nobody panics with it") = stage;
    }

    /// The operator: removes voters that lost their disks and adds those in their place, trying until it is done.
    fn operate(&self, plan: &Plan, end: &AtomicBool) {
        let file = self.operators_file();
        while !end.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let Some((durable, stage)) = self.stage() else { continue };
            let mut command = Command::new(&plan.program);
            let number = self.number(durable).to_string();
            match stage {
                Stage::Lost => command.args(["fleet", "remove", "--id", &number, "--fleet"]).arg(file),
                Stage::Removed => continue,
                Stage::Started => {
                    let address = self.relays[&(ANYBODY, durable)].address.to_string();
                    command
                        .args(["fleet", "add", "--id", &number, "--address", &address, "--fleet"])
                        .arg(file)
                }
            };
            let done = until_end(&mut command, end, |_| {}).is_some_and(|status| status.success());
            match stage {
                Stage::Lost if done => {
                    let mut numbers = self.numbers.lock().expect("nobody panics with it");
                    numbers[durable] = numbers.iter().max().expect("there are some") + 1;
                    drop(numbers);
                    if self.write_files().is_ok() {
                        self.set_stage(Some((durable, Stage::Removed)));
                    }
                }
                Stage::Started if done => self.set_stage(None),
                _ => {}
            }
        }
    }
}

/// How a process's clock runs, often close to the bound that the promise is given for.
fn clock(seed: u64, process: &str) -> String {
    let mut random = Streams::new(seed).of(process, 0);
    let rate = match random.random_range(0..4) {
        0 => 0.902,
        1 => 1.098,
        _ => random.random_range(0.902..1.098),
    };
    format!("{rate},{}", random.random_range(0.0..86_400.0))
}

/// Runs a command to its end, or kills it when the run ends; `started` gets its process.
fn until_end(
    command: &mut Command,
    end: &AtomicBool,
    started: impl FnOnce(u32),
) -> Option<std::process::ExitStatus> {
    let mut child = start_quietly(command).ok()?;
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

impl Field {
    /// Lets the files of a voter's process grow by so many bytes more and then no further, as on a full disk.
    fn limit(&self, voter: usize, voters: &[Option<Process>], room: Option<u64>) {
        let Some(process) = &voters[voter] else { return };
        let folder = self.data(voter);
        let length = |entry: std::fs::DirEntry| entry.metadata().map_or(0, |m| m.len());
        let longest = std::fs::read_dir(folder).into_iter().flatten().flatten().map(length).max();
        let current = room.map(|room| longest.unwrap_or(0) + room);
        let pid = rustix::process::Pid::from_raw(process.0.id() as i32);
        // One that has ended meanwhile has no files that could grow.
        let _ = rustix::process::prlimit(
            pid,
            rustix::process::Resource::Fsize,
            rustix::process::Rlimit { current, maximum: None },
        );
    }
}

/// What is known of a holder while the run goes on.
#[derive(Default)]
struct Holder {
    /// Its process, 0 between two.
    pid: AtomicU32,
    /// Runs so far.
    run: AtomicU32,
}

/// Holds leases, one run of the program after another, until told to end.
fn keep_holding(
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
        let longest = if random.random_bool(0.4) { 9000 } else { 1500 };
        let hold = random.random_range(50..longest).to_string();
        let mut command = Command::new(&plan.program);
        command.args(["lease", "run", &lease, "--ttl", TTL, "--wait", "20s", "--fleet"]).arg(file).arg("--");
        command.args(&plan.command).env(TARGET, target.to_string()).env(HOLD_MS, hold);
        command.env(PROCESS, format!("holder-{number}.{run}"));
        command.env(TEST_CLOCK, clock(plan.seed, &format!("holder {number}.{run}")));
        until_end(&mut command, end, |pid| holder.pid.store(pid, Ordering::Relaxed));
        holder.pid.store(0, Ordering::Relaxed);
    }
}

/// Plays a run; `stop` ends it early.
///
/// # Errors
///
/// Says what can't be started.
pub fn play(plan: &Plan, stop: &AtomicBool) -> Result<Outcome, String> {
    let field = Field::new(plan).map_err(|e| e.to_string())?;
    let target = Target::start().map_err(|e| e.to_string())?;
    let mut voters: Vec<Option<Process>> = Vec::new();
    for voter in 0..plan.voters {
        voters.push(Some(field.voter(plan, voter).map_err(|e| format!("{}: {e}", plan.program.display()))?));
    }
    field.until_all_vote(plan)?;
    let holders: Vec<Holder> = (0..plan.holders).map(|_| Holder::default()).collect();
    let (end, mut faults, mut stops) = (AtomicBool::new(false), Vec::new(), Vec::new());
    let mut stuck = Vec::new();
    thread::scope(|scope| {
        for (number, holder) in holders.iter().enumerate() {
            let (file, end, address) = (&field.files[plan.voters + number], &end, target.address);
            scope.spawn(move || keep_holding(plan, file, number, address, holder, end));
        }
        scope.spawn(|| field.operate(plan, &end));
        rage(plan, &field, &mut voters, &holders, stop, &mut faults, &mut stops);
        let healed = now().as_secs_f64();
        let unserved = || {
            let (_, acts) = &*target.acts.lock().expect("nobody panics with it");
            // Only the latest: acts that come meanwhile wait for this look, and would seem to arrive late.
            let late = acts.iter().rev().take_while(|a| a.arrived > healed);
            let late: Vec<&str> = late.filter(|a| a.checked > healed).map(|a| a.process.as_str()).collect();
            let served = |number: &usize| {
                let name = format!("holder-{number}.");
                late.iter().any(|process| process.starts_with(&name))
            };
            (0..plan.holders).filter(|n| !served(n)).collect::<Vec<_>>()
        };
        let last = now() + HEALING;
        while now() < last && !unserved().is_empty() && !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
        if !stop.load(Ordering::Relaxed) {
            stuck = unserved()
                .iter()
                .map(|n| format!("holder-{n}, within {HEALING:?} after the faults"))
                .collect();
        }
        end.store(true, Ordering::Relaxed);
    });
    drop(voters);
    let (_, acts) = std::mem::take(&mut *target.acts.lock().expect("nobody panics with it"));
    let refused = acts.iter().filter(|a| !a.accepted).count();
    let history = observed(acts, &stops, stuck);
    let highest = (0..plan.voters).map(|durable| field.number(durable)).max().unwrap_or(0);
    Ok(Outcome {
        replaced: highest.saturating_sub(plan.voters),
        grants: history.beliefs.len(),
        acts: (history.acts.len(), refused),
        violations: check(&history),
        faults,
    })
}

/// The faults.
fn rage(
    plan: &Plan,
    field: &Field,
    voters: &mut [Option<Process>],
    holders: &[Holder],
    stop: &AtomicBool,
    faults: &mut Vec<String>,
    stops: &mut Vec<(String, f64)>,
) {
    let mut random = Streams::new(plan.seed).of("faults", 0);
    let began = now();
    let mut undo: Vec<(Duration, Undo)> = Vec::new();
    let until = began + Duration::from_secs_f64(plan.seconds);
    let mut next = began + Duration::from_secs(3);
    while now() < until && !stop.load(Ordering::Relaxed) {
        let due: Vec<Undo>;
        (due, undo) = split(undo, now());
        due.into_iter().for_each(|u| u.carry_out(plan, field, voters));
        if let Some((durable, Stage::Removed)) = field.stage() {
            voters[durable] = None;
            voters[durable] = field.voter(plan, durable).ok();
            field.set_stage(Some((durable, Stage::Started)));
            faults.push(format!(
                "{:.3} voter {} waits to be added",
                now().as_secs_f64(),
                field.number(durable)
            ));
        }
        if now() >= next {
            next = now() + Duration::from_millis(random.random_range(50..900));
            let voter = random.random_range(0..plan.voters);
            let holder = random.random_range(0..plan.holders);
            let after = now() + Duration::from_millis(random.random_range(50..2500));
            let what = match random.random_range(0..100) {
                0..35 => {
                    let from = random.random_range(0..plan.voters + plan.holders);
                    let ways = [[true, false], [false, true], [true, true]][random.random_range(0..3)];
                    let alone = random.random_bool(0.3);
                    for (link, relay) in &field.relays {
                        let between = concerns(*link, (!alone).then_some(from), voter);
                        if between {
                            // For a link that others called, the way there is the way back.
                            let turned = alone && link.1 == voter;
                            for (way, cut) in ways.iter().enumerate() {
                                let way = if turned { 1 - way } else { way };
                                relay.wrong.cut[way].store(*cut, Ordering::Relaxed);
                            }
                        }
                    }
                    undo.push((after, Undo::Heal(if alone { None } else { Some(from) }, voter)));
                    let of = if alone { "all links".to_owned() } else { format!("link from {from}") };
                    format!("{of} of voter {} cut, out and in: {ways:?}", voter + 1)
                }
                35..38 if field.stage().is_none() => {
                    voters[voter] = None;
                    // One that can't be removed would be no lost disk, but a voter like before.
                    let _ = std::fs::remove_dir_all(field.data(voter));
                    field.set_stage(Some((voter, Stage::Lost)));
                    undo.push((after, Undo::Start(voter)));
                    format!("voter {} lost its disk, and is replaced", field.number(voter))
                }
                35..45 => {
                    field.relays.iter().filter(|(l, _)| l.0 == voter || l.1 == voter).for_each(|(_, r)| {
                        r.wrong.dropped.fetch_add(1, Ordering::Relaxed);
                    });
                    format!("connections of voter {} dropped", voter + 1)
                }
                45..60 => {
                    voters[voter] = None;
                    undo.push((after, Undo::Start(voter)));
                    format!("voter {} killed", voter + 1)
                }
                60..63 => {
                    voters.iter_mut().for_each(|v| *v = None);
                    (0..plan.voters).for_each(|v| undo.push((after, Undo::Start(v))));
                    "all voters killed".to_owned()
                }
                63..69 => {
                    // The disks of one or two, at once or in the middle of the next record.
                    let two = random.random_bool(0.4);
                    let room = if random.random_bool(0.5) { 0 } else { random.random_range(1..4096) };
                    let full = [Some(voter), two.then_some((voter + 1) % plan.voters)];
                    for voter in full.into_iter().flatten() {
                        field.limit(voter, voters, Some(room));
                        undo.push((after, Undo::Room(voter)));
                    }
                    format!("disk of voter {} (and the next: {two}) full after {room} bytes", voter + 1)
                }
                69..77 => {
                    let Some(pid) = voters[voter].as_ref().map(|v| v.0.id()) else { continue };
                    signal(pid, "STOP");
                    undo.push((after, Undo::Go(pid)));
                    format!("voter {} stopped", voter + 1)
                }
                77..87 => {
                    let pid = holders[holder].pid.load(Ordering::Relaxed);
                    if pid == 0 {
                        continue;
                    }
                    let run = holders[holder].run.load(Ordering::Relaxed);
                    stops.push((format!("holder-{holder}.{run}"), now().as_secs_f64()));
                    signal(pid, "STOP");
                    // Often longer than its lease, so that its command meets the next holder's at the target.
                    undo.push((after + Duration::from_millis(random.random_range(500..5000)), Undo::Go(pid)));
                    format!("holder {holder} stopped, its command goes on")
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
                    field.relays.values().for_each(|r| r.wrong.delay_ms.store(delay, Ordering::Relaxed));
                    undo.push((after, Undo::Delay));
                    format!("delays of {delay} ms for each 64 bytes")
                }
            };
            faults.push(format!("{:.3} {what}", now().as_secs_f64()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    undo.extend((0..plan.voters).flat_map(|v| [Undo::Heal(None, v), Undo::Start(v)]).map(|u| (until, u)));
    undo.into_iter().for_each(|(_, u)| u.carry_out(plan, field, voters));
}

/// Whether a link is one of a voter's, or the one to it from this process.
fn concerns(link: (usize, usize), from: Option<usize>, voter: usize) -> bool {
    match from {
        None => link.0 == voter || link.1 == voter,
        Some(from) => link.1 == voter && (link.0 == from || link.0 == ANYBODY),
    }
}

enum Undo {
    Heal(Option<usize>, usize),
    Start(usize),
    Go(u32),
    Room(usize),
    Delay,
}

fn split(undo: Vec<(Duration, Undo)>, time: Duration) -> (Vec<Undo>, Vec<(Duration, Undo)>) {
    let (due, later): (Vec<_>, Vec<_>) = undo.into_iter().partition(|(at, _)| *at <= time);
    (due.into_iter().map(|(_, u)| u).collect(), later)
}

impl Undo {
    fn carry_out(self, plan: &Plan, field: &Field, voters: &mut [Option<Process>]) {
        match self {
            Undo::Heal(from, voter) => {
                for (link, relay) in &field.relays {
                    if concerns(*link, from, voter) {
                        relay.wrong.cut.iter().for_each(|c| c.store(false, Ordering::Relaxed));
                    }
                }
            }
            // One that can't be started now is missing, which the end of the run shows.
            Undo::Start(voter) if voters[voter].is_none() => voters[voter] = field.voter(plan, voter).ok(),
            Undo::Start(_) => {}
            Undo::Go(pid) => signal(pid, "CONT"),
            Undo::Room(voter) => field.limit(voter, voters, None),
            Undo::Delay => {
                field.relays.values().for_each(|r| r.wrong.delay_ms.store(0, Ordering::Relaxed));
            }
        }
    }
}

/// The history that the target saw. A run of a holder that was stopped could check nothing from then on: only
/// the fence holds for what its command did later.
fn observed(mut acts: Vec<Act>, stops: &[(String, f64)], stuck: Vec<String>) -> History {
    let mut beliefs: BTreeMap<(String, u64), Belief> = BTreeMap::new();
    for act in &mut acts {
        let stopped =
            stops.iter().filter(|(p, _)| *p == act.process).map(|(_, at)| *at).fold(f64::MAX, f64::min);
        if act.checked >= stopped {
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
    History { beliefs, acts, stuck, grace: LOCK_DELAY_MS as f64 / 1000.0 / 1.1, ..History::default() }
}

//! Voters and holders of leases as processes of the program, with faults between them.

use passrelay_load_simulator::fault_injection::crowd;
use passrelay_load_simulator::fault_injection::processes::{act, play, Plan};
use passrelay_test_support::{
    config, free_address, node_entry, response, wait_until, Discovery, Message, Relay, Server,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

/// A fleet of three voters in a folder of its own.
struct Fleet {
    folder: PathBuf,
    voters: Vec<Option<Child>>,
}

impl Fleet {
    fn start() -> Fleet {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("passrelay-lease-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let voter = |id| format!("[[voter]]\nid = {id}\naddress = \"{}\"\n", free_address().unwrap());
        let voters: String = (1..=3).map(voter).collect();
        let text = format!("fleet = \"test\"\nlock_delay_ms = 200\n{voters}");
        std::fs::write(folder.join("fleet.toml"), text).unwrap();
        let mut fleet = Fleet { folder, voters: vec![None, None, None] };
        (1..=3).for_each(|id| fleet.vote(id));
        // All of them, not a majority: one that not all others have welcomed yet can't vote when these are killed.
        wait_until("all vote", || {
            let status = fleet.status();
            status["majority"] == true && (0..3).all(|at| status["voters"][at]["state"] == "voting")
        });
        fleet
    }

    fn file(&self) -> PathBuf {
        self.folder.join("fleet.toml")
    }

    fn vote(&mut self, id: usize) {
        self.start_voter(id, &self.file(), false);
    }

    fn start_voter(&mut self, id: usize, file: &Path, joins: bool) {
        let mut command = Command::new(PROGRAM);
        command.args(["voter", "--id", &id.to_string(), "--fleet"]).arg(file).stderr(Stdio::null());
        command.args(joins.then_some("--join"));
        self.voters.resize_with(self.voters.len().max(id), || None);
        self.voters[id - 1] = Some(command.spawn().unwrap());
    }

    /// Starts one more voter under a new number and puts it in the place of another in the file.
    fn join(&mut self, id: usize, instead_of: usize) {
        let file = std::fs::read_to_string(self.file()).unwrap();
        let entry = format!("id = {instead_of}\n");
        let at = file.find(&entry).unwrap();
        let rest =
            file[at..].split_once("[[voter]]").map_or(String::new(), |(_, rest)| format!("[[voter]]{rest}"));
        let fresh = format!("id = {id}\naddress = \"{}\"\n", free_address().unwrap());
        std::fs::write(self.file(), format!("{}{fresh}{rest}", &file[..at])).unwrap();
        self.start_voter(id, &self.file(), true);
    }

    fn kill(&mut self, id: usize) {
        if let Some(mut voter) = self.voters[id - 1].take() {
            voter.kill().unwrap();
            voter.wait().unwrap();
        }
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        let (before, after) = match words.iter().position(|w| *w == "--") {
            Some(at) => words.split_at(at),
            None => (words, &[][..]),
        };
        command.args(before).arg("--fleet").arg(self.file()).args(after);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn ask(&self, words: &[&str]) -> Output {
        self.command(words).output().unwrap()
    }

    fn status(&self) -> Value {
        serde_json::from_slice(&self.ask(&["fleet", "status", "--output", "json"]).stdout).unwrap()
    }

    fn until_whole(&self) {
        wait_until("a majority votes", || self.status()["majority"] == true);
    }

    /// The token that a command sees under a lease.
    fn token(&self, lease: &str) -> u64 {
        let said = self.ask(&["lease", "run", lease, "--", "sh", "-c", "echo $PASSRELAY_LEASE_TOKEN"]);
        String::from_utf8(said.stdout).unwrap().trim().parse().unwrap()
    }

    fn shown(&self, lease: &str) -> Value {
        let said = self.ask(&["lease", "show", lease, "--output", "json"]);
        serde_json::from_slice(&said.stdout).unwrap_or(Value::Null)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (1..=self.voters.len()).for_each(|id| self.kill(id));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([&format!("-{name}"), &child.id().to_string()])
        .status()
        .unwrap()
        .success());
}

fn exists(pid: &str) -> bool {
    // A zombie has no command line any more.
    std::fs::read(Path::new("/proc").join(pid).join("cmdline")).is_ok_and(|c| !c.is_empty())
}

#[test]
fn a_command_runs_under_a_growing_token_and_its_code_is_the_programs() {
    let fleet = Fleet::start();
    let first = fleet.token("nightly");
    assert!(fleet.token("nightly") > first);
    assert_eq!(fleet.ask(&["lease", "run", "nightly", "--", "sh", "-c", "exit 7"]).status.code(), Some(7));
    let mut holder = fleet.command(&["lease", "run", "nightly", "--", "sleep", "60"]).spawn().unwrap();
    wait_until("the lease is held", || fleet.shown("nightly")["state"] == "held");
    let refused = fleet.ask(&["lease", "run", "nightly", "--wait", "0s", "--", "true"]);
    assert_eq!(refused.status.code(), Some(124));
    assert!(String::from_utf8(refused.stderr).unwrap().contains("held by lease-run-"));
    // Let go at SIGTERM, which the command gets too.
    signal(&holder, "TERM");
    assert_eq!(holder.wait().unwrap().code(), Some(128 + 15));
    wait_until("it is free", || fleet.shown("nightly").is_null());
    assert_eq!(fleet.ask(&["lease", "release", "nightly"]).status.code(), Some(1), "nobody holds it");
}

// Guards against a lease that a dead process keeps, and a command that outlives the process that held it.
#[test]
fn after_a_holders_death_the_next_one_holds_and_the_dead_ones_command_is_gone() {
    let fleet = Fleet::start();
    let pid_file = fleet.folder.join("pid");
    let script = format!("echo $$ > {}; exec sleep 60", pid_file.display());
    let words = ["lease", "run", "job", "--ttl", "1s", "--", "sh", "-c", &script];
    let mut holder = fleet.command(&words).spawn().unwrap();
    wait_until("the command runs", || std::fs::read_to_string(&pid_file).is_ok_and(|p| p.ends_with('\n')));
    let pid = std::fs::read_to_string(&pid_file).unwrap().trim().to_owned();
    holder.kill().unwrap();
    let began = Instant::now();
    assert!(fleet.token("job") > 1);
    // Time to live, lock delay, and a second.
    assert!(began.elapsed() < Duration::from_millis(1000 + 200 + 1000), "{:?}", began.elapsed());
    assert!(!exists(&pid), "the dead holder's command goes on");
    holder.wait().unwrap();
}

// Guards against a holder that was stopped for longer than its lease and goes on as if it still held it.
#[test]
fn a_holder_that_was_stopped_past_its_lease_ends_its_command_when_it_goes_on() {
    let fleet = Fleet::start();
    let words = ["lease", "run", "job", "--ttl", "1s", "--", "sleep", "60"];
    let mut holder = fleet.command(&words).spawn().unwrap();
    wait_until("the lease is held", || fleet.shown("job")["state"] == "held");
    signal(&holder, "STOP");
    let next = fleet.token("job");
    signal(&holder, "CONT");
    assert_eq!(holder.wait().unwrap().code(), Some(123));
    assert!(next > 1);
}

// Guards against a grant forgotten, or a token given twice, when all voters go down together; and against a
// voter that lost its disk taking part again, by which two majorities could be had.
#[test]
fn tokens_grow_through_the_death_of_all_voters_and_a_lost_disk_is_refused_by_name() {
    let mut fleet = Fleet::start();
    let before = fleet.token("job");
    (1..=3).for_each(|id| fleet.kill(id));
    (1..=3).for_each(|id| fleet.vote(id));
    fleet.until_whole();
    assert!(fleet.token("job") > before);
    fleet.kill(2);
    std::fs::remove_dir_all(fleet.folder.join("fleet-data/voter-2")).unwrap();
    fleet.vote(2);
    let state = |fleet: &Fleet| fleet.status()["voters"][1]["state"].as_str().unwrap_or("").to_owned();
    wait_until("voter 2 is refused", || {
        state(&fleet).contains("voter 2 had another disk; remove it and add it anew")
    });
    assert!(fleet.token("job") > before + 1, "the two others go on");
    // Without one of them there is no majority, and nothing is granted.
    fleet.kill(3);
    let refused = fleet.ask(&["lease", "run", "job", "--wait", "0s", "--", "true"]);
    assert_eq!(refused.status.code(), Some(125));
    fleet.vote(3);
    fleet.until_whole();
    assert!(fleet.token("job") > before + 2);
}

// Guards against a voter that its full disk ends, or that votes on without it: the system signals a file that has
// grown to its limit, and the half of a record that still fitted must not be read as one.
#[test]
fn a_voter_whose_disk_is_full_says_so_and_comes_back_by_itself() {
    let fleet = Fleet::start();
    let before = fleet.token("job");
    let room = |voter: usize, bytes: Option<u64>| {
        let pid = fleet.voters[voter - 1].as_ref().map(|v| v.id() as i32).unwrap();
        let limit = rustix::process::Rlimit { current: bytes, maximum: None };
        let pid = rustix::process::Pid::from_raw(pid);
        rustix::process::prlimit(pid, rustix::process::Resource::Fsize, limit).unwrap();
    };
    let state = |voter: usize| fleet.status()["voters"][voter - 1]["state"].as_str().unwrap_or("").to_owned();
    room(2, Some(100));
    assert!(fleet.token("job") > before, "the two others go on");
    wait_until("voter 2 says that its disk is full", || state(2).starts_with("no disk: "));
    // Two of three: nothing can be lasting on a majority, so nothing is granted.
    room(3, Some(100));
    let refused = fleet.ask(&["lease", "run", "job", "--wait", "0s", "--", "true"]);
    assert_eq!(refused.status.code(), Some(125));
    room(2, None);
    fleet.until_whole();
    let after = fleet.token("job");
    assert!(after > before + 1);
    room(3, None);
    wait_until("all vote", || (1..=3).all(|voter| state(voter) == "voting"));
    assert!(fleet.token("job") > after);
}

// Guards against a lost disk that takes the fleet down with the next one: a voter is replaced while the others go
// on, one after another until none of the first is left, and everything acknowledged is still there.
#[test]
fn every_voter_is_replaced_in_turn_and_a_removed_one_stays_out() {
    let mut fleet = Fleet::start();
    let mut token = fleet.token("job");
    let first = fleet.file().with_extension("first");
    std::fs::copy(fleet.file(), &first).unwrap();
    for (old, new) in [(1, 4), (2, 5), (3, 6)] {
        fleet.kill(old);
        std::fs::remove_dir_all(fleet.folder.join(format!("fleet-data/voter-{old}"))).unwrap();
        let removed = fleet.ask(&["fleet", "remove", "--id", &old.to_string()]);
        assert_eq!(removed.status.code(), Some(0), "{removed:?}");
        fleet.join(new, old);
        let added = || fleet.ask(&["fleet", "add", "--id", &new.to_string(), "--output", "json"]);
        wait_until("the new voter answers", || fleet.status().to_string().contains("waiting to be added"));
        let said = added();
        assert_eq!(said.status.code(), Some(0), "{said:?}");
        assert_eq!(added().status.code(), Some(0), "asked for twice, it is done once");
        fleet.until_whole();
        let next = fleet.token("job");
        assert!(next > token, "replacing {old} by {new}: {next} after {token}");
        token = next;
    }
    assert_eq!(fleet.status()["voters"][0]["voters"], serde_json::json!([4, 5, 6]));
    // One of the first with its disk lost, under its old number: it finds nobody who takes it in.
    fleet.start_voter(3, &first, false);
    fleet.kill(6);
    assert!(fleet.token("job") > token, "two of three go on");
    let used = fleet.ask(&["fleet", "remove", "--id", "5"]);
    assert_eq!(used.status.code(), Some(1), "without it no majority would vote");
    assert!(String::from_utf8(used.stderr).unwrap().contains("no majority"));
}

#[test]
fn a_fleets_file_that_is_wrong_is_named_with_its_line() {
    let fleet = Fleet::start();
    std::fs::write(fleet.file(), "fleet = \"f\"\n[[voter]]\nid = 1\naddress = \"here\"\n").unwrap();
    let said = fleet.ask(&["lease", "list"]);
    assert_eq!(said.status.code(), Some(2));
    let text = String::from_utf8(said.stderr).unwrap();
    assert!(text.contains("fleet.toml:4: voter.address: should be address:port, is 'here'"), "{text}");
}

// Guards against a crowd that loses leases where nothing is wrong, as when renewals wait behind each other, or where only
// the leader dies.
#[test]
fn a_crowd_holds_all_its_leases_through_the_death_of_the_leader() {
    let plan = crowd::Plan {
        program: PROGRAM.into(),
        voters: 3,
        clients: 40,
        leases: 5,
        seconds: 3.0,
        grants: 20,
        kills: 2,
    };
    let outcome = crowd::play(&plan, &AtomicBool::new(false)).unwrap();
    assert_eq!((outcome.lost, outcome.lost_to_kills, outcome.after_kill.len()), (0, 0, 2));
    assert!(outcome.after_kill.iter().all(|s| *s < 5.0), "{outcome:?}");
    assert!(outcome.grant_ms.0 > 0.0 && outcome.bytes > 0.0 && outcome.memory.len() == 3, "{outcome:?}");
}

// Guards against a question that waits for as long as the voter that it went to is stopped, a watch that goes silent
// with its voter, and bytes from strangers that nobody hears of.
#[test]
fn a_watch_and_questions_go_on_past_a_stopped_voter_and_strangers_are_counted() {
    let fleet = Fleet::start();
    let mut watch = fleet.command(&["lease", "watch", "--output", "json"]).spawn().unwrap();
    let seen = Arc::new(Mutex::new(Vec::<Value>::new()));
    let (lines, out) = (seen.clone(), watch.stdout.take().unwrap());
    let reader = std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            lines.lock().unwrap().push(serde_json::from_str(&line).unwrap());
        }
    });
    let state = |token: u64, state: &str| {
        let seen = seen.lock().unwrap();
        seen.iter().any(|row| row["state"] == state && (state == "free" || row["token"] == token))
    };
    for stopped in 0..3 {
        // Whichever voter the watch is with is stopped once.
        signal(fleet.voters[stopped].as_ref().unwrap(), "STOP");
        let began = Instant::now();
        let mut holder = fleet.command(&["lease", "run", "watched", "--", "sleep", "60"]).spawn().unwrap();
        wait_until("the lease is held", || fleet.shown("watched")["state"] == "held");
        let token = fleet.shown("watched")["token"].as_u64().unwrap();
        wait_until("the grant is seen", || state(token, "held"));
        assert!(began.elapsed() < Duration::from_secs(9), "{:?}", began.elapsed());
        signal(&holder, "TERM");
        holder.wait().unwrap();
        signal(fleet.voters[stopped].as_ref().unwrap(), "CONT");
    }
    wait_until("its end is seen", || state(0, "free"));
    signal(&watch, "TERM");
    assert_eq!(watch.wait().unwrap().code(), Some(0));
    reader.join().unwrap();
    let text = std::fs::read_to_string(fleet.file()).unwrap();
    let address = text.split('"').find(|word| word.starts_with("127.")).unwrap().to_owned();
    let mut stranger = std::net::TcpStream::connect(address).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\nHost: somebody else's\r\n\r\n").unwrap();
    let mut rest = Vec::new();
    // Closed, not answered.
    let _ = std::io::Read::read_to_end(&mut stranger, &mut rest);
    assert!(rest.is_empty());
    assert_eq!(fleet.status()["voters"][0]["refused_links"], json!({ "too long": 1 }));
}

/// Threads and descriptors of a process.
fn threads_and_descriptors(pid: u32) -> (usize, usize) {
    let count = |what| std::fs::read_dir(format!("/proc/{pid}/{what}")).unwrap().count();
    (count("task"), count("fd"))
}

// Guards against a fleet layer that costs anything where it is off, and one that requests wait for where it is on.
#[test]
fn a_sidecar_takes_part_only_where_its_configuration_says_so_and_requests_never_wait_for_it() {
    let fleet = Fleet::start();
    let node = Server::start(|_| response(200, "X-Load-Report: rps=3,cpu=0.5\r\n", b"done"));
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let config = |name: &str, file: Option<PathBuf>| {
        let mut config = config(discovery.server.address);
        config["name"] = json!(name);
        config["operator"] = json!(free_address().unwrap().to_string());
        config["fleet"] = json!(file);
        config
    };
    let (off, on) = (config("off", None), config("on", Some(fleet.file())));
    let alone = Relay::start(PROGRAM, &off);
    let member = Relay::start(PROGRAM, &on);
    let sessions = || {
        let said = fleet.ask(&["lease", "list", "--output", "json"]);
        let list: Value = serde_json::from_slice(&said.stdout).unwrap_or_default();
        let names = list["sessions"].as_array().cloned().unwrap_or_default();
        names.iter().map(|s| s["process"].as_str().unwrap_or("").to_owned()).collect::<Vec<_>>()
    };
    wait_until("the member has a session", || sessions() == ["on"]);
    alone.wait_until_ready();
    member.wait_until_ready();
    let (without, with) = (threads_and_descriptors(alone.pid()), threads_and_descriptors(member.pid()));
    assert_eq!((without.0, with.0), (1, 2));
    // A poller, its waker's pair in two descriptors at the most, and the link to one voter.
    assert!(with.1 > without.1 && with.1 <= without.1 + 4, "{without:?} {with:?}");
    let status = |config: &Value| {
        let mut admin = std::net::TcpStream::connect(config["operator"].as_str().unwrap()).unwrap();
        admin.write_all(b"GET /status HTTP/1.1\r\n\r\n").unwrap();
        let said = Message::read(&mut BufReader::new(admin)).unwrap();
        serde_json::from_slice::<Value>(&said.body).unwrap()["fleet"].clone()
    };
    assert_eq!(status(&off), Value::Null);
    assert!(status(&on)["session"].as_u64().is_some_and(|s| s > 0));
    // All voters stand still: the session is of no use, and requests are served as before.
    fleet.voters.iter().flatten().for_each(|voter| signal(voter, "STOP"));
    for _ in 0..200 {
        let began = Instant::now();
        assert_eq!(member.call("look", 5.0).status(), 200);
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    fleet.voters.iter().flatten().for_each(|voter| signal(voter, "CONT"));
    wait_until("the member has a session again", || sessions() == ["on"]);
    drop(alone);
    // A planned end closes the session, long before its time to live is over.
    member.signal("TERM");
    let began = Instant::now();
    wait_until("the session is closed", || sessions().is_empty());
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
}

/// The holders' command of the fault injection below: this test program again.
#[test]
fn holders_act() {
    if std::env::var_os("FAULT_TARGET").is_some() {
        act().unwrap();
    }
}

// Guards the promises with real processes, links and disks: faults by fixed seeds, and a checker that knows
// only what the target saw.
#[test]
fn fault_injection_shows_no_two_holders_and_nobody_stuck() {
    let this = std::env::current_exe().unwrap().to_string_lossy().into_owned();
    let command = [this.as_str(), "--exact", "holders_act"].map(str::to_owned).to_vec();
    for seed in [1, 2] {
        let plan = Plan {
            program: PROGRAM.into(),
            command: command.clone(),
            voters: 3,
            holders: 4,
            seconds: 12.0,
            seed,
        };
        let outcome = play(&plan, &AtomicBool::new(false)).unwrap();
        let wrong: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(wrong.is_empty(), "seed {seed}: {}\n{}", wrong.join("\n"), outcome.faults.join("\n"));
        assert!(outcome.grants > 4 && outcome.acts.0 > 100, "too little happened: {outcome:?}");
    }
}

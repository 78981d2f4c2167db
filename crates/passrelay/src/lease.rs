//! `passrelay lease`: commands for holding and inspecting leases.

use crate::output::Output;
use crate::query::{ask, NO_MAJORITY, QUERY_TIMEOUT};
use crate::signals::termination_flag;
use clap::Subcommand;
use passrelay_lease_consensus::client::{safe_term, ClientEvent, Guard};
use passrelay_lease_consensus::lease_table::{LeaseTable, Op, Refusal, Reply, TTL_MS};
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse, LeaseInfo};
use passrelay_lease_runtime::fleet_client::FleetClient;
use passrelay_lease_runtime::fleet_config::FleetConfig;
use passrelay_lease_runtime::{now, random_id};
use rustix::process::{kill_process_group, Pid, Signal};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::error::Error;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, ExitCode, ExitStatus};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Exit code if the lease was lost while the command ran; the command was ended before that.
const LOST: u8 = 123;
/// Exit code if the lease was not granted.
const NOT_GRANTED: u8 = 124;
/// Maximum time to wait for an event.
const POLL_TIMEOUT: Duration = Duration::from_millis(20);

/// Subcommands of `lease`.
#[derive(Subcommand)]
pub enum Command {
    /// Runs a command while this process holds a lease, and ends it before the lease could pass to another
    /// process.
    ///
    /// The command finds the name of the lease in PASSRELAY_LEASE and the token in PASSRELAY_LEASE_TOKEN. The
    /// targets that it acts on should remember the highest token they have seen and reject older ones. If the
    /// lease is not renewed, the command and all processes in its group get SIGTERM early and later SIGKILL.
    /// Exit code: that of the command, or 128 plus the number of the signal that ended it; 123 lease lost;
    /// 124 not granted; 125 no majority of voters.
    Run {
        /// Name of the lease.
        name: String,
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Time to live: the lease passes on after this long without a renewal. In s or ms, as in 10s or
        /// 800ms.
        #[arg(long, default_value = "10s", value_parser = parse_duration)]
        ttl: Duration,
        /// Maximum time to wait in the queue; 0s tries once.
        #[arg(long, default_value = "1h", value_parser = parse_duration)]
        wait: Duration,
        /// Unique name of this process in the fleet; random by default.
        #[arg(long)]
        process: Option<String>,
        /// The command and its arguments.
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
    /// Lists all leases. Exit code 125 if no majority responds.
    List {
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Shows one lease. Exit code 1 if it is free and the fleet keeps nothing about it.
    Show {
        /// Name of the lease.
        name: String,
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Prints all leases, then a line for each change, until SIGTERM or SIGINT.
    Watch {
        /// Only this lease.
        name: Option<String>,
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Takes a lease from its holder. It passes on once the holder can no longer consider it valid, at the
    /// latest after its time to live and the lock delay. Exit code 1 if nobody holds it.
    Release {
        /// Name of the lease.
        name: String,
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
    },
    /// Replaces itself with the command, which is killed when the parent process ends.
    #[command(hide = true)]
    Become {
        /// Process id of the expected parent.
        #[arg(long)]
        child_of: u32,
        /// The command and its arguments.
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
}

/// Parses a duration such as `10s` or `800ms`.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || format!("'{text}' should be a number with ms, s, m or h, as in 10s");
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(invalid)?;
    let number: f64 = text[..at].parse().map_err(|_| invalid())?;
    let unit = match &text[at..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(invalid()),
    };
    Duration::try_from_secs_f64(number * unit).map_err(|_| invalid())
}

/// Runs a subcommand of `lease`.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { name, fleet, ttl, wait, process, command } => {
            if !TTL_MS.contains(&(ttl.as_millis() as u64)) {
                return Err(format!("--ttl: {ttl:?} is not between 500ms and 1h").into());
            }
            let fleet_config = FleetConfig::read(&fleet)?;
            let process = process.unwrap_or_else(|| format!("lease-run-{:016x}", random_id()));
            run_under_lease(&fleet_config, &name, ttl, wait, &process, &command)
        }
        Command::List { fleet, output } => list(&FleetConfig::read(&fleet)?, None, output),
        Command::Show { name, fleet, output } => list(&FleetConfig::read(&fleet)?, Some(&name), output),
        Command::Watch { name, fleet, output } => watch(&FleetConfig::read(&fleet)?, name.as_deref(), output),
        Command::Release { name, fleet } => release(&FleetConfig::read(&fleet)?, &name),
        Command::Become { child_of, command } => {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
            // The parent may have died before the death signal was set.
            if rustix::process::getppid().map(Pid::as_raw_nonzero).map(|p| p.get() as u32) != Some(child_of) {
                return Err(format!("process {child_of}, which holds the lease, has ended").into());
            }
            let (program, arguments) = command.split_first().ok_or("lease become: the command is missing")?;
            let error = std::process::Command::new(program).args(arguments).exec();
            eprintln!("passrelay: {program}: {error}");
            Ok(ExitCode::from(127))
        }
    }
}

fn row(lease: &LeaseInfo) -> Value {
    json!({
        "lease": lease.lease, "state": lease.state, "holder": lease.holder, "token": lease.token,
        "ttl_ms": lease.ttl_ms, "waiting": lease.waiting, "last_effect_token": lease.last_effect_token,
    })
}

/// Formats a lease as a line of the table.
fn line(lease: &LeaseInfo) -> String {
    let holder = lease.holder.as_deref().unwrap_or("-");
    format!("{:<32} {:<8} {:>10} {:>8}  {holder}", lease.lease, lease.state, lease.token, lease.waiting)
}

fn list(fleet_config: &FleetConfig, only: Option<&str>, output: Output) -> Result<ExitCode, Box<dyn Error>> {
    let Some(ClientResponse::List { leases, sessions, .. }) =
        ask(fleet_config, ClientRequest::List { request_id: 1 }, QUERY_TIMEOUT)?
    else {
        eprintln!("passrelay: no majority of voters answered within {} s", QUERY_TIMEOUT.as_secs());
        return Ok(ExitCode::from(NO_MAJORITY));
    };
    let leases: Vec<LeaseInfo> =
        leases.into_iter().filter(|l| only.is_none_or(|name| l.lease == name)).collect();
    let missing = only.is_some() && leases.is_empty();
    match output {
        Output::Json if only.is_some() => println!("{}", leases.first().map_or(Value::Null, row)),
        Output::Json => {
            let rows: Vec<Value> = leases.iter().map(row).collect();
            let session = |(id, name, held): &(u64, String, usize)| json!({"session": id, "process": name, "leases": held});
            let sessions: Vec<Value> = sessions.iter().map(session).collect();
            println!("{}", json!({ "leases": rows, "sessions": sessions }));
        }
        Output::Text if missing => println!("{} is free", only.unwrap_or("")),
        Output::Text => {
            println!("{:<32} {:<8} {:>10} {:>8}  holder", "lease", "state", "token", "waiting");
            leases.iter().for_each(|lease| println!("{}", line(lease)));
        }
    }
    Ok(ExitCode::from(u8::from(missing)))
}

fn watch(fleet_config: &FleetConfig, only: Option<&str>, output: Output) -> Result<ExitCode, Box<dyn Error>> {
    let terminate = termination_flag()?;
    let mut fleet_client = FleetClient::new(fleet_config, "watch", Duration::from_secs(5))?;
    // Both are sent again to each new voter; the list contains what changed in between.
    fleet_client.add_query(ClientRequest::Watch);
    fleet_client.add_query(ClientRequest::List { request_id: 1 });
    let mut known: BTreeMap<String, LeaseInfo> = BTreeMap::new();
    let mut alive = now();
    while !terminate.load(Ordering::Relaxed) {
        if now() >= alive + Duration::from_secs(1) {
            alive = now();
            fleet_client.send(&ClientRequest::Status { request_id: 1 });
        }
        let mut rows = Vec::new();
        for event in fleet_client.poll(POLL_TIMEOUT)? {
            match event {
                ClientEvent::Response(ClientResponse::LeaseChanged { lease }) => rows.push(lease),
                ClientEvent::Response(ClientResponse::List { leases, .. }) => {
                    let missing = |name: &&String| !leases.iter().any(|l| l.lease == **name);
                    let free = |name: &String| LeaseInfo::of(&LeaseTable::default(), name);
                    rows.extend(known.keys().filter(missing).map(free));
                    rows.extend(leases);
                }
                _ => {}
            }
        }
        for lease in rows.into_iter().filter(|l| only.is_none_or(|name| l.lease == name)) {
            let before = match lease.state.as_str() {
                "free" if lease.last_effect_token == 0 => known.remove(&lease.lease),
                _ => known.insert(lease.lease.clone(), lease.clone()),
            };
            if before.as_ref() != Some(&lease) {
                match output {
                    Output::Json => println!("{}", row(&lease)),
                    Output::Text => println!("{}", line(&lease)),
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn release(fleet_config: &FleetConfig, name: &str) -> Result<ExitCode, Box<dyn Error>> {
    let mut fleet_client =
        FleetClient::new(fleet_config, &format!("release-{:016x}", random_id()), Duration::from_secs(5))?;
    let request = fleet_client.client.request(Op::Evict { lease: name.to_owned() }, now());
    let end = now() + QUERY_TIMEOUT;
    while now() < end {
        for event in fleet_client.poll(POLL_TIMEOUT)? {
            match event {
                ClientEvent::Answered(seq, Reply::Refused(refusal)) if seq == request => {
                    eprintln!("passrelay: {name}: {refusal}");
                    return Ok(ExitCode::FAILURE);
                }
                ClientEvent::Answered(seq, _) if seq == request => {
                    fleet_client.client.close();
                    fleet_client.poll(POLL_TIMEOUT)?;
                    return Ok(ExitCode::SUCCESS);
                }
                _ => {}
            }
        }
    }
    eprintln!("passrelay: no majority of voters answered within {} s", QUERY_TIMEOUT.as_secs());
    Ok(ExitCode::from(NO_MAJORITY))
}

/// A command that runs under a lease, in a process group of its own.
struct LeasedCommand {
    child: Child,
    group: Option<Pid>,
    term_sent: bool,
}

impl LeasedCommand {
    fn start(guard: &Guard, command: &[String]) -> Result<LeasedCommand, Box<dyn Error>> {
        // Starts the command through this program, which asks the system to kill it when this process dies.
        let child = std::process::Command::new(std::env::current_exe()?)
            .args(["lease", "become", "--child-of", &std::process::id().to_string(), "--"])
            .args(command)
            .env("PASSRELAY_LEASE", guard.lease())
            .env(Guard::VARIABLE, guard.token().to_string())
            .process_group(0)
            .spawn()?;
        let group = Pid::from_raw(child.id() as i32);
        Ok(LeasedCommand { child, group, term_sent: false })
    }

    fn signal(&self, signal: Signal) {
        if let Some(group) = self.group {
            // The process group may have ended already.
            let _ = kill_process_group(group, signal);
        }
    }

    /// Ends the command in time. SIGTERM is sent when less than 2/5 of the safe term is left, SIGKILL when
    /// less than 1/8 is left, so that the command has ended before the term does.
    fn enforce_deadline(&mut self, left: Duration, ttl: Duration) {
        let term = safe_term(ttl);
        if left < term / 8 {
            self.signal(Signal::KILL);
        } else if left < term * 2 / 5 && !self.term_sent {
            self.term_sent = true;
            self.signal(Signal::TERM);
        }
    }
}

fn exit_code(status: ExitStatus) -> u8 {
    let code = status.code().or_else(|| status.signal().map(|s| 128 + s)).unwrap_or(1);
    u8::try_from(code).unwrap_or(1)
}

fn run_under_lease(
    fleet_config: &FleetConfig,
    name: &str,
    ttl: Duration,
    wait: Duration,
    process: &str,
    command: &[String],
) -> Result<ExitCode, Box<dyn Error>> {
    let terminate = termination_flag()?;
    let mut fleet_client = FleetClient::new(fleet_config, process, ttl.max(Duration::from_secs(2)))?;
    let acquire =
        || Op::Acquire { lease: name.to_owned(), ttl_ms: ttl.as_millis() as u64, wait: !wait.is_zero() };
    fleet_client.client.request(acquire(), now());
    let (mut end, mut answered) = (now() + wait.max(Duration::from_secs(5)), false);
    let guard = loop {
        for event in fleet_client.poll(POLL_TIMEOUT)? {
            match event {
                ClientEvent::Answered(_, Reply::Refused(Refusal::NoSession)) => {}
                ClientEvent::Answered(_, Reply::Refused(refusal)) => {
                    eprintln!("passrelay: {name}: {refusal}");
                    leave(&mut fleet_client, name, false)?;
                    return Ok(ExitCode::from(NOT_GRANTED));
                }
                ClientEvent::Answered(..) => answered = true,
                ClientEvent::SessionEnded | ClientEvent::GrantMissed(_) | ClientEvent::LeaseLost(_) => {
                    fleet_client.client.request(acquire(), now());
                }
                _ => {}
            }
        }
        if let Some(guard) = fleet_client.client.guard(name, now()) {
            break guard;
        }
        if terminate.load(Ordering::Relaxed) {
            end = Duration::ZERO;
        }
        if now() >= end {
            let why = if answered { "not granted in time" } else { "no majority of voters answered" };
            eprintln!("passrelay: {name}: {why}");
            leave(&mut fleet_client, name, false)?;
            return Ok(ExitCode::from(if answered { NOT_GRANTED } else { NO_MAJORITY }));
        }
    };
    let token = guard.token();
    let mut command_process = LeasedCommand::start(&guard, command)?;
    let mut lost = false;
    let status = loop {
        fleet_client.poll(POLL_TIMEOUT)?;
        let time = now();
        // A different token means that another process may have held the lease in between.
        let guard = fleet_client.client.guard(name, time).filter(|g| g.token() == token);
        match &guard {
            Some(guard) => command_process.enforce_deadline(guard.valid_until().saturating_sub(time), ttl),
            None => command_process.signal(Signal::KILL),
        }
        lost |= command_process.term_sent || guard.is_none();
        if terminate.swap(false, Ordering::Relaxed) {
            command_process.signal(Signal::TERM);
        }
        if let Some(status) = command_process.child.try_wait()? {
            // Other processes in the command's group must not outlive the lease either.
            command_process.signal(Signal::KILL);
            break status;
        }
    };
    // Requests of a killed command may still be in flight when the next holder starts.
    let killed = status.signal().is_some();
    leave(&mut fleet_client, name, killed)?;
    if lost {
        eprintln!("passrelay: {name}: the lease was lost while the command ran; the command was ended");
        return Ok(ExitCode::from(LOST));
    }
    Ok(ExitCode::from(exit_code(status)))
}

/// Releases the lease and closes the session. It waits for at most a second, since both expire anyway. After
/// interrupted work the lock delay applies.
fn leave(fleet_client: &mut FleetClient, name: &str, cut_short: bool) -> Result<(), Box<dyn Error>> {
    let lease = name.to_owned();
    let request = if cut_short { Op::Abandon { lease } } else { Op::Release { lease } };
    let request = fleet_client.client.request(request, now());
    let end = now() + Duration::from_secs(1);
    while now() < end {
        let events = fleet_client.poll(POLL_TIMEOUT)?;
        if events.iter().any(|n| matches!(n, ClientEvent::Answered(seq, _) if *seq == request)) {
            break;
        }
    }
    fleet_client.client.close();
    fleet_client.poll(Duration::ZERO)?;
    Ok(())
}

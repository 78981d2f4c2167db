//! `passrelay voter` and `passrelay fleet`: running, showing and changing the voters of a fleet.

use crate::output::Output;
use crate::query::{ask, NO_MAJORITY, QUERY_TIMEOUT};
use crate::signals::termination_flag;
use clap::Subcommand;
use passrelay_lease_consensus::membership::{MembershipChange, MembershipError, VoterInfo};
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse, VoterStatus};
use passrelay_lease_runtime::fleet_config::FleetConfig;
use passrelay_lease_runtime::now;
use passrelay_lease_runtime::voter_loop::VoterLoop;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// A voter without a response for this long is reported as silent.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Subcommands of `fleet`.
#[derive(Subcommand)]
pub enum Command {
    /// Shows each voter. Exit code 0 if a majority votes under one leader, 1 otherwise.
    Status {
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Adds a voter that was started with `voter --join` and joining. Numbers are never reused: a voter that
    /// lost its disk is removed and returns under a new number. Exit code 0 once it votes, 1 if it is refused
    /// or doesn't respond, 125 if no majority responds.
    Add {
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Number of the voter, higher than all numbers used before.
        #[arg(long)]
        id: u64,
        /// Address of the voter; by default the one in the file.
        #[arg(long)]
        address: Option<SocketAddr>,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Removes a voter permanently. Exit code 0 once it is removed, 1 if it is refused, 125 if no majority
    /// responds.
    Remove {
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Number of the voter.
        #[arg(long)]
        id: u64,
        /// Remove it even if those of the remaining voters that vote now are no majority.
        #[arg(long)]
        force: bool,
        /// Output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
}

/// Runs a voter until SIGTERM.
pub fn vote(file: &Path, id: u64, joining: bool) -> Result<ExitCode, Box<dyn Error>> {
    let fleet_config = FleetConfig::read(file)?;
    let end = termination_flag()?;
    // SIGXFSZ, sent when a file reaches its size limit, ends the process by default. With a handler the write
    // fails instead, like on a full disk.
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())?;
    let mut voting = VoterLoop::open(&fleet_config, id, joining)?;
    let mut log = |event: &str, values: &str| {
        eprintln!("t={:.3} level=info name=voter-{id} event={event} {values}", now().as_secs_f64());
    };
    log("listening", &format!("fleet={:?} address={}", fleet_config.fleet, fleet_config.voters[&id]));
    voting.run(&end, &mut log)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a subcommand of `fleet`.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Status { fleet, output } => status(&FleetConfig::read(&fleet)?, output),
        Command::Add { fleet, id, address, output } => add(&FleetConfig::read(&fleet)?, id, address, output),
        Command::Remove { fleet, id, force, output } => {
            remove(&FleetConfig::read(&fleet)?, id, force, output)
        }
    }
}

/// Requests the status of one voter. Returns `None` if it doesn't respond.
fn status_of(
    fleet_config: &FleetConfig,
    voter: u64,
    address: SocketAddr,
) -> Result<Option<VoterStatus>, Box<dyn Error>> {
    let single_voter = FleetConfig { voters: BTreeMap::from([(voter, address)]), ..fleet_config.clone() };
    match ask(&single_voter, ClientRequest::Status { request_id: 1 }, STATUS_TIMEOUT)? {
        Some(ClientResponse::Status { status, .. }) => Ok(Some(status)),
        _ => Ok(None),
    }
}

/// A voter's number, address and status, or `None` if it didn't respond.
type Row = (u64, SocketAddr, Option<VoterStatus>);

/// Returns the status of all voters in the membership, or of those in the file if no voter knows the
/// membership.
fn statuses(fleet_config: &FleetConfig) -> Result<Vec<Row>, Box<dyn Error>> {
    let mut rows: Vec<Row> = Vec::new();
    for (voter, address) in &fleet_config.voters {
        rows.push((*voter, *address, status_of(fleet_config, *voter, *address)?));
    }
    let voting = rows.iter().filter_map(|(.., s)| s.as_ref()).filter(|s| s.state == "voting");
    let Some(voters) = voting.max_by_key(|s| s.applied).map(|s| s.voters.clone()) else { return Ok(rows) };
    for (voter, address) in &voters {
        let learned = address.as_ref().and_then(|a| a.parse().ok());
        if let Some(address) = learned.filter(|_| !fleet_config.voters.contains_key(voter)) {
            rows.push((*voter, address, status_of(fleet_config, *voter, address)?));
        }
    }
    // A removed voter that is still in the file is not reported as missing.
    rows.retain(|(voter, _, status)| status.is_some() || voters.iter().any(|(v, _)| v == voter));
    Ok(rows)
}

/// Whether a majority of these voters votes under one leader.
fn has_majority(rows: &[Row]) -> bool {
    let votes = |leader: u64| {
        let under = |s: &VoterStatus| s.state == "voting" && s.leader == Some(leader);
        rows.iter().filter(|(.., s)| s.as_ref().is_some_and(under)).count()
    };
    let voters = rows.iter().filter(|(.., s)| s.as_ref().is_none_or(|s| s.state != "removed")).count();
    rows.iter().any(|(voter, ..)| votes(*voter) > voters / 2)
}

/// Requests a membership change until it is answered, since the fleet may drop a request without a response.
fn change(
    fleet_config: &FleetConfig,
    change: &MembershipChange,
) -> Result<Option<Result<(), MembershipError>>, Box<dyn Error>> {
    let end = now() + QUERY_TIMEOUT;
    while now() < end {
        let log = ClientRequest::ChangeMembership { request_id: 1, change: change.clone() };
        if let Some(ClientResponse::MembershipChanged { outcome, .. }) =
            ask(fleet_config, log, STATUS_TIMEOUT)?
        {
            return Ok(Some(outcome));
        }
    }
    Ok(None)
}

/// Prints the outcome of a membership change and returns the exit code.
fn report_outcome(
    what: &str,
    id: u64,
    outcome: &Option<Result<(), MembershipError>>,
    output: Output,
) -> Result<ExitCode, Box<dyn Error>> {
    let (done, why, code) = match outcome {
        Some(Ok(())) => (true, None, 0),
        Some(Err(no)) => (false, Some(no.to_string()), 1),
        None => (
            false,
            Some(format!("no majority of voters answered within {} s", QUERY_TIMEOUT.as_secs())),
            NO_MAJORITY,
        ),
    };
    match output {
        Output::Json => println!("{}", json!({ "voter": id, what: done, "problem": why })),
        Output::Text if done => println!("voter {id} {what}"),
        Output::Text => {}
    }
    if let Some(why) = why {
        eprintln!("passrelay: voter {id}: {why}");
    }
    Ok(ExitCode::from(code))
}

fn add(
    fleet_config: &FleetConfig,
    id: u64,
    address: Option<SocketAddr>,
    output: Output,
) -> Result<ExitCode, Box<dyn Error>> {
    let address = address
        .or_else(|| fleet_config.voters.get(&id).copied())
        .ok_or_else(|| format!("voter {id} is not in the fleet's file: give its address with --address"))?;
    let joining = status_of(fleet_config, id, address)?.ok_or_else(|| {
        format!("no voter responds at {address}: start it first, with voter --id {id} --join")
    })?;
    if joining.voter != id {
        return Err(format!("voter {} listens at {address}, not voter {id}", joining.voter).into());
    }
    if joining.disk_id == 0 {
        return Err(format!("voter {id} has no disk that takes writes: {}", joining.state).into());
    }
    let info = VoterInfo { address: address.to_string(), disk_id: joining.disk_id };
    let mut others = fleet_config.clone();
    others.voters.remove(&id);
    let outcome = change(&others, &MembershipChange::Add { voter: id, info })?;
    if outcome == Some(Ok(())) {
        let end = now() + QUERY_TIMEOUT;
        while status_of(fleet_config, id, address)?.is_none_or(|s| s.state != "voting") {
            if now() >= end {
                return Err(format!("voter {id} was added, but doesn't vote yet: see fleet status").into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    report_outcome("added", id, &outcome, output)
}

fn remove(
    fleet_config: &FleetConfig,
    id: u64,
    force: bool,
    output: Output,
) -> Result<ExitCode, Box<dyn Error>> {
    let rows = statuses(fleet_config)?;
    let remain: Vec<Row> = rows.into_iter().filter(|(voter, ..)| *voter != id).collect();
    let vote = remain.iter().filter(|(.., s)| s.as_ref().is_some_and(|s| s.state == "voting")).count();
    // A fleet without a majority can agree on nothing, not even on adding the voter again.
    if !force && vote <= remain.len() / 2 {
        return Err(format!(
            "without voter {id} only {vote} of {} voters vote now, which is no majority: bring others back first",
            remain.len()
        )
        .into());
    }
    let mut others = fleet_config.clone();
    others.voters = remain.iter().map(|(voter, address, _)| (*voter, *address)).collect();
    report_outcome("removed", id, &change(&others, &MembershipChange::Remove { voter: id })?, output)
}

fn status(fleet_config: &FleetConfig, output: Output) -> Result<ExitCode, Box<dyn Error>> {
    let rows = statuses(fleet_config)?;
    let has_majority = has_majority(&rows);
    match output {
        Output::Json => {
            let row = |(voter, address, status): &Row| {
                let mut row = json!({ "voter": voter, "address": address.to_string(), "state": "silent" });
                if let Some(s) = status {
                    row["state"] = json!(s.state);
                    row["leader"] = json!(s.leader);
                    row["applied"] = json!(s.applied);
                    row["sessions"] = json!(s.sessions);
                    row["leases"] = json!(s.leases);
                    row["clients"] = json!(s.clients);
                    row["refused_links"] =
                        json!(s.rejected_links.iter().cloned().collect::<BTreeMap<_, _>>());
                    row["linked"] = json!(s.connected);
                    row["voters"] = json!(s.voters.iter().map(|(voter, _)| voter).collect::<Vec<_>>());
                }
                row
            };
            let voters: Vec<Value> = rows.iter().map(row).collect();
            println!(
                "{}",
                json!({ "fleet": fleet_config.fleet, "majority": has_majority, "voters": voters })
            );
        }
        Output::Text => {
            println!("voter  address                state");
            for (voter, address, status) in &rows {
                let how = status.as_ref().map_or_else(
                    || "silent".to_owned(),
                    |s| {
                        let leader = s.leader.map_or_else(|| "-".to_owned(), |l| l.to_string());
                        let refused: u64 = s.rejected_links.iter().map(|(_, count)| count).sum();
                        let refused =
                            if refused > 0 { format!(", {refused} links refused") } else { String::new() };
                        format!(
                            "{}; leader {leader}, {} sessions, {} leases, {} entries{refused}",
                            s.state, s.sessions, s.leases, s.applied
                        )
                    },
                );
                println!("{voter:<6} {:<22} {how}", address.to_string());
            }
            println!(
                "{}",
                if has_majority { "a majority votes" } else { "NO MAJORITY: no lease can be had" }
            );
        }
    }
    Ok(ExitCode::from(u8::from(!has_majority)))
}

//! Voters, and what they tell of themselves.

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

/// A voter that says nothing for so long is reported as silent.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// What can be asked of a fleet.
#[derive(Subcommand)]
pub enum Command {
    /// Shows each voter. Exit code 0 where a majority votes under one leader, 1 where not.
    Status {
        /// The fleet's file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// How to print it.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Adds a voter that was started with `voter --join` and waits. A number is never given twice: one that lost its
    /// disk is removed and comes back under a new one. Exit code 0 once it votes, 1 where it is refused or doesn't
    /// answer, 125 where no majority does.
    Add {
        /// The fleet's file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Its number, higher than any that a voter ever had.
        #[arg(long)]
        id: u64,
        /// Where it listens; as the file says if it is not given.
        #[arg(long)]
        address: Option<SocketAddr>,
        /// How to print it.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Removes a voter for good. Exit code 0 once it is removed, 1 where it is refused, 125 where no majority answers.
    Remove {
        /// The fleet's file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Its number.
        #[arg(long)]
        id: u64,
        /// Also where those that remain are no majority of voters that vote now.
        #[arg(long)]
        force: bool,
        /// How to print it.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
}

/// Votes until SIGTERM.
pub fn vote(file: &Path, id: u64, joining: bool) -> Result<ExitCode, Box<dyn Error>> {
    let fleet_config = FleetConfig::read(file)?;
    let end = termination_flag()?;
    // Guards against the system's way of saying that a file has grown to its limit, which is to end the process:
    // taken in, it leaves the write an error like any other of a full disk.
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())?;
    let mut voting = VoterLoop::open(&fleet_config, id, joining)?;
    let mut log = |event: &str, values: &str| {
        eprintln!("t={:.3} level=info name=voter-{id} event={event} {values}", now().as_secs_f64());
    };
    log("listening", &format!("fleet={:?} address={}", fleet_config.fleet, fleet_config.voters[&id]));
    voting.run(&end, &mut log)?;
    Ok(ExitCode::SUCCESS)
}

/// Does what was asked of the fleet.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Status { fleet, output } => status(&FleetConfig::read(&fleet)?, output),
        Command::Add { fleet, id, address, output } => add(&FleetConfig::read(&fleet)?, id, address, output),
        Command::Remove { fleet, id, force, output } => {
            remove(&FleetConfig::read(&fleet)?, id, force, output)
        }
    }
}

/// What one voter says of itself; `None` where it is silent.
fn status_of(
    fleet_config: &FleetConfig,
    voter: u64,
    address: SocketAddr,
) -> Result<Option<VoterStatus>, Box<dyn Error>> {
    let alone = FleetConfig { voters: BTreeMap::from([(voter, address)]), ..fleet_config.clone() };
    match ask(&alone, ClientRequest::Status { request_id: 1 }, STATUS_TIMEOUT)? {
        Some(ClientResponse::Status { status, .. }) => Ok(Some(status)),
        _ => Ok(None),
    }
}

/// A voter with its address and what it says of itself.
type Row = (u64, SocketAddr, Option<VoterStatus>);

/// What all voters log of themselves: those that the fleet agreed on as far as one tells, else those of the file.
fn statuses(fleet_config: &FleetConfig) -> Result<Vec<Row>, Box<dyn Error>> {
    let mut rows: Vec<Row> = Vec::new();
    for (voter, address) in &fleet_config.voters {
        rows.push((*voter, *address, status_of(fleet_config, *voter, *address)?));
    }
    let told = rows.iter().filter_map(|(.., s)| s.as_ref()).filter(|s| s.state == "voting");
    let Some(voters) = told.max_by_key(|s| s.applied).map(|s| s.voters.clone()) else { return Ok(rows) };
    for (voter, address) in &voters {
        let told = address.as_ref().and_then(|a| a.parse().ok());
        if let Some(address) = told.filter(|_| !fleet_config.voters.contains_key(voter)) {
            rows.push((*voter, address, status_of(fleet_config, *voter, address)?));
        }
    }
    // One of the file that was removed is not missed.
    rows.retain(|(voter, _, status)| status.is_some() || voters.iter().any(|(v, _)| v == voter));
    Ok(rows)
}

/// Whether a majority of these votes under one leader.
fn majority(rows: &[Row]) -> bool {
    let votes = |leader: u64| {
        let under = |s: &VoterStatus| s.state == "voting" && s.leader == Some(leader);
        rows.iter().filter(|(.., s)| s.as_ref().is_some_and(under)).count()
    };
    let voters = rows.iter().filter(|(.., s)| s.as_ref().is_none_or(|s| s.state != "removed")).count();
    rows.iter().any(|(voter, ..)| votes(*voter) > voters / 2)
}

/// Asks for a change of the membership until it is answered: one that was dropped on its way is asked for again.
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

/// Tells how a change went.
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
        .ok_or_else(|| format!("voter {id} is not in the fleet's file: --address says where it listens"))?;
    let waits = status_of(fleet_config, id, address)?.ok_or_else(|| {
        format!("no voter answers at {address}: start it first, with voter --id {id} --join")
    })?;
    if waits.voter != id {
        return Err(format!("at {address} listens voter {}, not voter {id}", waits.voter).into());
    }
    if waits.disk_id == 0 {
        return Err(format!("voter {id} has no disk that takes writes: {}", waits.state).into());
    }
    let info = VoterInfo { address: address.to_string(), disk_id: waits.disk_id };
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
    // Guards against a fleet that can agree on nothing any more, not even on taking the voter back.
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
    let has_majority = majority(&rows);
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

//! Voters, and what they tell of themselves.

use crate::cli::Output;
use clap::Subcommand;
use passrelay_fleet::client::News;
use passrelay_fleet::wire::{Answer, Say, Status};
use passrelay_links::member::Member;
use passrelay_links::now;
use passrelay_links::plan::Plan;
use passrelay_links::voting::Voting;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// A voter that says nothing for so long is reported as silent.
const SILENT: Duration = Duration::from_secs(2);
/// How long a question waits for a majority.
pub const UNANSWERED: Duration = Duration::from_secs(10);
/// Nobody answered.
pub const NO_MAJORITY: u8 = 125;

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
}

/// Votes until SIGTERM.
pub fn vote(file: &Path, id: u64) -> Result<ExitCode, Box<dyn Error>> {
    let plan = Plan::read(file)?;
    let end = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, end.clone())?;
    }
    // Guards against the system's way of saying that a file has grown to its limit, which is to end the process:
    // taken in, it leaves the write an error like any other of a full disk.
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())?;
    let mut voting = Voting::open(&plan, id)?;
    let mut say = |event: &str, values: &str| {
        eprintln!("t={:.3} level=info name=voter-{id} event={event} {values}", now().as_secs_f64());
    };
    say("listening", &format!("fleet={:?} address={}", plan.fleet, plan.voters[&id]));
    voting.run(&end, &mut say)?;
    Ok(ExitCode::SUCCESS)
}

/// Asks one question of the fleet; `None` where no answer came in time.
pub fn ask(plan: &Plan, say: Say, longest: Duration) -> Result<Option<Answer>, Box<dyn Error>> {
    let mut member = Member::new(plan, "question", Duration::from_secs(5))?;
    member.question(say);
    let end = now() + longest;
    while now() < end {
        for news in member.step(Duration::from_millis(20))? {
            if let News::Told(answer) = news {
                return Ok(Some(answer));
            }
        }
    }
    Ok(None)
}

/// Does what was asked of the fleet.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    let Command::Status { fleet, output } = command;
    let plan = Plan::read(&fleet)?;
    let mut rows = Vec::new();
    for (voter, address) in &plan.voters {
        let alone = Plan { voters: BTreeMap::from([(*voter, *address)]), ..plan.clone() };
        let status = match ask(&alone, Say::Status { ticket: 1 }, SILENT)? {
            Some(Answer::Status { status, .. }) => Some(status),
            _ => None,
        };
        rows.push((*voter, *address, status));
    }
    let leads = |leader: u64| {
        let votes = |s: &Status| s.state == "voting" && s.leader == Some(leader);
        rows.iter().filter(|(_, _, s)| s.as_ref().is_some_and(votes)).count() > plan.voters.len() / 2
    };
    let whole = plan.voters.keys().any(|v| leads(*v));
    match output {
        Output::Json => {
            let row = |(voter, address, status): &(u64, std::net::SocketAddr, Option<Status>)| {
                let mut row = json!({ "voter": voter, "address": address.to_string(), "state": "silent" });
                if let Some(s) = status {
                    row["state"] = json!(s.state);
                    row["leader"] = json!(s.leader);
                    row["applied"] = json!(s.applied);
                    row["sessions"] = json!(s.sessions);
                    row["leases"] = json!(s.leases);
                    row["clients"] = json!(s.clients);
                    row["linked"] = json!(s.linked);
                }
                row
            };
            let voters: Vec<Value> = rows.iter().map(row).collect();
            println!("{}", json!({ "fleet": plan.fleet, "majority": whole, "voters": voters }));
        }
        Output::Text => {
            println!("voter  address                state");
            for (voter, address, status) in &rows {
                let how = status.as_ref().map_or_else(
                    || "silent".to_owned(),
                    |s| {
                        let leader = s.leader.map_or_else(|| "-".to_owned(), |l| l.to_string());
                        format!(
                            "{}; leader {leader}, {} sessions, {} leases, {} entries",
                            s.state, s.sessions, s.leases, s.applied
                        )
                    },
                );
                println!("{voter:<6} {:<22} {how}", address.to_string());
            }
            println!("{}", if whole { "a majority votes" } else { "NO MAJORITY: no lease can be had" });
        }
    }
    Ok(ExitCode::from(u8::from(!whole)))
}

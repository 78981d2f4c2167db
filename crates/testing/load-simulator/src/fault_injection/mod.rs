//! Fault injection into a fleet: leases under faults of every kind, in simulated time and with real processes, and a
//! checker that knows nothing of how leases are made.

pub mod clock;
pub mod crowd;
pub mod history;
pub mod processes;
pub mod relay;
pub mod timed;

use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Starts a process of a run, whose streams nobody reads.
fn start_quietly(command: &mut Command) -> std::io::Result<Child> {
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()
}

/// What the voters of a fleet's file say of themselves.
fn voters_of(program: &Path, file: &Path) -> Option<Vec<serde_json::Value>> {
    let mut command = Command::new(program);
    command.args(["fleet", "status", "--output", "json", "--fleet"]).arg(file).stdin(Stdio::null());
    let status: serde_json::Value = serde_json::from_slice(&command.output().ok()?.stdout).ok()?;
    status["voters"].as_array().cloned()
}

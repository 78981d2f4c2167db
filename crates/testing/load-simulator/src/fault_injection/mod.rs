//! Fault injection for leases, in simulated time and with real processes, and a checker for the recorded histories.
//! The checker is independent of the lease implementation.

pub mod clock;
pub mod crowd;
pub mod history;
pub mod processes;
pub mod relay;
pub mod timed;

use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Spawns a process with all standard streams connected to the null device.
fn spawn_without_output(command: &mut Command) -> std::io::Result<Child> {
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()
}

/// Returns the rows that `fleet status` prints for the voters in a fleet file, or `None` if the command's output
/// cannot be read.
fn voter_statuses(program: &Path, fleet_file: &Path) -> Option<Vec<serde_json::Value>> {
    let mut command = Command::new(program);
    command.args(["fleet", "status", "--output", "json", "--fleet"]).arg(fleet_file).stdin(Stdio::null());
    let status: serde_json::Value = serde_json::from_slice(&command.output().ok()?.stdout).ok()?;
    status["voters"].as_array().cloned()
}

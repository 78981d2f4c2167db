//! `passrelay rollout`: moves a service to another version.

use crate::config::ask;
use clap::Subcommand;
use hyper::Method;
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Subcommands of `rollout`.
#[derive(Subcommand)]
pub enum Command {
    /// Starts a rollout. Exit code 3 if it is refused, 4 if the outcome is unknown; the same request can
    /// safely be repeated.
    Start {
        /// Name of the service in the configuration.
        service: String,
        /// The version that the new endpoints report as their generation.
        version: String,
        /// Time within which the rollout has to be completed or rolled back, in seconds.
        #[arg(long, value_name = "SECONDS")]
        deadline: f64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Prints state, version, phase and reason of a service's rollout, as JSON. Exit code 3 if there was
    /// none, 4 if the outcome is unknown.
    Status {
        /// Name of the service.
        service: String,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

/// Runs a subcommand of `rollout`.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Start { service, version, deadline, at } => {
            let order = json!({ "backend": service, "target-version": version, "deadline-s": deadline });
            ask(at, Method::POST, "/rollouts", None, order.to_string())
        }
        Command::Status { service, at } => {
            ask(at, Method::GET, &format!("/rollouts/{service}"), None, String::new())
        }
    }
}

//! `passrelay rollout`: operators move a service to another version.

use crate::config::ask;
use clap::Subcommand;
use hyper::Method;
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Words after `rollout`.
#[derive(Subcommand)]
pub enum Command {
    /// Orders a roll-out. Exit code 3 where it is refused, 4 without a clear answer: the same order can be sent again.
    Start {
        /// The service, as the configuration names it.
        service: String,
        /// The version that its endpoints report as their generation.
        version: String,
        /// Time within which it has to be completed or rolled back, in seconds.
        #[arg(long, value_name = "SECONDS")]
        deadline: f64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Prints state, version, phase and reason of a service's roll-out, as JSON. Exit code 3 where there was none, 4 without a clear
    /// answer.
    Status {
        /// The service.
        service: String,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

/// Does what the words say.
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

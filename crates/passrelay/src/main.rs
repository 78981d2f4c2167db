//! The `passrelay` program: a load-balancing sidecar, a router process, and the commands that operate their
//! fleets.

mod cli;
mod config;
mod fleet;
mod lease;
mod output;
mod query;
mod rollout;
mod signals;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main(std::env::args().skip(1))
}

//! One sidecar. Its settings come from the environment and the file that it names.

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

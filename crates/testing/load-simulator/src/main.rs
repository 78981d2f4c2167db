//! The command line program of the load simulator.

use std::process::ExitCode;

fn main() -> ExitCode {
    passrelay_load_simulator::cli::main()
}

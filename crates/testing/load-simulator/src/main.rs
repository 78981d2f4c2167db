//! The laboratory's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    passrelay_load_simulator::cli::main()
}

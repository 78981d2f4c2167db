//! One sidecar. Its settings come from the environment and the file that it names.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    passrelay::cli::main(std::env::args().skip(1))
}

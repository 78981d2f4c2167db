//! Runs balancer instances for a simulator, over its line protocol on standard input and output.
//!
//! `wire` parses and prints the protocol, `host` holds the instances, and `main` loops over the lines.

mod host;
mod wire;

use host::{Host, Reply};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Name of the program in its error messages.
const PROGRAM: &str = "passrelay-simulator-adapter";

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                eprintln!("{PROGRAM}: line {number}: cannot read standard input as UTF-8 text: {error}");
                return ExitCode::FAILURE;
            }
        }
        match host.handle_line(line.trim_end_matches(['\n', '\r'])) {
            Ok(Reply::Incomplete) => {}
            Ok(Reply::Complete) => {
                let reply = host.take_reply();
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    eprintln!("{PROGRAM}: line {number}: cannot write the reply to standard output");
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("{PROGRAM}: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

//! `passrelay config` and `passrelay status`: what operators do with a fleet.

use clap::Subcommand;
use hyper::Method;
use passrelay_configuration::{parse_document, Configuration};
use passrelay_node::operator::{call, ControlCall};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code where a document is faulty or an order is refused.
const REFUSED: u8 = 3;
/// Exit code where no clear answer came: the order may have been taken, the same one can be sent again.
const UNCLEAR: u8 = 4;

/// Words after `config`.
#[derive(Subcommand)]
pub enum Command {
    /// Checks a whole configuration and tells every fault with its place. Exit code 3 where there is one.
    Check {
        /// The document, JSON.
        file: PathBuf,
    },
    /// Prints the newest configuration.
    Get {
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Replaces the whole configuration. Exit code 3 where it is refused, 4 without a clear answer.
    Put {
        /// The document, JSON.
        file: PathBuf,
        /// The generation that it builds on; 0 for the first.
        #[arg(long)]
        base: u64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Changes items by name. Exit codes as for put.
    Patch {
        /// The change, JSON.
        file: PathBuf,
        /// The generation that it builds on.
        #[arg(long)]
        base: u64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

/// Does what the words say.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Check { file } => check(&file),
        Command::Get { at } => ask(at, Method::GET, "/config", None, String::new()),
        Command::Put { file, base, at } => {
            ask(at, Method::PUT, "/config", Some(base), std::fs::read_to_string(file)?)
        }
        Command::Patch { file, base, at } => {
            ask(at, Method::PATCH, "/config", Some(base), std::fs::read_to_string(file)?)
        }
    }
}

/// Prints what a sidecar knows of its fleet.
pub fn status(at: SocketAddr) -> Result<ExitCode, Box<dyn Error>> {
    ask(at, Method::GET, "/status", None, String::new())
}

fn check(file: &Path) -> Result<ExitCode, Box<dyn Error>> {
    let bytes = std::fs::read(file)?;
    match parse_document(&bytes).and_then(|document| Configuration::read(&document)) {
        Ok(configuration) => {
            let (routes, services) = (configuration.routes.len(), configuration.services.len());
            println!("generation {}: {routes} routes, {services} services", configuration.generation);
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => {
            for fault in &faults.0 {
                println!("{}: {fault}", file.display());
            }
            Ok(ExitCode::from(REFUSED))
        }
    }
}

fn ask(
    at: SocketAddr,
    method: Method,
    path: &'static str,
    if_match: Option<u64>,
    body: String,
) -> Result<ExitCode, Box<dyn Error>> {
    let (status, text) = call(at, ControlCall { method, path, if_match, body })?;
    println!("{text}");
    Ok(match status {
        200..=299 => ExitCode::SUCCESS,
        400..=499 => ExitCode::from(REFUSED),
        _ => ExitCode::from(UNCLEAR),
    })
}

//! `passrelay config` and `passrelay status`: operator commands for a router fleet.

use crate::output::Output;
use clap::Subcommand;
use hyper::Method;
use passrelay_configuration::{parse_document, Configuration, Difference, ValidationErrors};
use passrelay_node::control_client::{call, ControlCall, ControlResponse};
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code if the documents differ.
const DIFFERS: u8 = 1;
/// Exit code if a document is invalid or a request is refused.
const REFUSED: u8 = 3;
/// Exit code if the outcome is unknown: the request may have been applied, and can safely be repeated.
pub const UNCLEAR: u8 = 4;

/// Subcommands of `config`.
#[derive(Subcommand)]
pub enum Command {
    /// Validates a complete configuration and prints every error with its location. Exit code 3 if there are
    /// any.
    Check {
        /// Path of the document, JSON.
        file: PathBuf,
    },
    /// Prints the current configuration.
    Get {
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Prints which items a document would add (+), remove (-) or change (~) in the current configuration.
    /// Exit code 1 if there are any.
    Diff {
        /// Path of the document, JSON.
        file: PathBuf,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// With json: the change in the format that patch accepts. Exit code 3 if no patch can make it.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Replaces the complete configuration. Exit code 3 if it is refused, 4 if the outcome is unknown.
    Put {
        /// Path of the document, JSON.
        file: PathBuf,
        /// The generation that the document is based on; 0 for the first.
        #[arg(long)]
        base: u64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Changes items by name. Exit codes as for put.
    Patch {
        /// Path of the change, JSON.
        file: PathBuf,
        /// The generation that the change is based on.
        #[arg(long)]
        base: u64,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

/// Runs a subcommand of `config`.
pub fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Check { file } => check(&file),
        Command::Get { at } => ask(at, Method::GET, "/config", None, String::new()),
        Command::Diff { file, at, output } => diff(&file, at, output),
        Command::Put { file, base, at } => {
            ask(at, Method::PUT, "/config", Some(base), std::fs::read_to_string(file)?)
        }
        Command::Patch { file, base, at } => {
            ask(at, Method::PATCH, "/config", Some(base), std::fs::read_to_string(file)?)
        }
    }
}

/// Prints the status of a sidecar and its fleet.
pub fn status(at: SocketAddr) -> Result<ExitCode, Box<dyn Error>> {
    ask(at, Method::GET, "/status", None, String::new())
}

/// Reads and validates a document. The inner error lists what is invalid in it.
fn read_document(file: &Path) -> Result<Result<Value, ValidationErrors>, Box<dyn Error>> {
    let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let checked =
        parse_document(&bytes).and_then(|document| Configuration::read(&document).map(|_| document));
    Ok(checked)
}

fn print_faults(file: &Path, faults: &ValidationErrors) -> ExitCode {
    for fault in &faults.0 {
        println!("{}: {fault}", file.display());
    }
    ExitCode::from(REFUSED)
}

fn check(file: &Path) -> Result<ExitCode, Box<dyn Error>> {
    match read_document(file)?.and_then(|document| Configuration::read(&document)) {
        Ok(configuration) => {
            let (routes, services) = (configuration.routes.len(), configuration.services.len());
            println!("generation {}: {routes} routes, {services} services", configuration.generation);
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => Ok(print_faults(file, &faults)),
    }
}

fn diff(file: &Path, at: SocketAddr, output: Output) -> Result<ExitCode, Box<dyn Error>> {
    let later = match read_document(file)? {
        Ok(later) => later,
        Err(faults) => return Ok(print_faults(file, &faults)),
    };
    let get =
        ControlCall { method: Method::GET, path: "/config".to_owned(), if_match: None, body: String::new() };
    let ControlResponse { status, body: text } = call(at, get)?;
    let current = match status {
        200..=299 => parse_document(text.as_bytes())?,
        404 => Value::Null,
        _ => {
            println!("{text}");
            return Ok(ExitCode::from(UNCLEAR));
        }
    };
    let difference = Difference::between(&current, &later);
    let generation = later.get("generation").and_then(Value::as_u64).unwrap_or_default();
    match output {
        Output::Json if !difference.is_patchable() => {
            println!("tenants: no patch adds an empty list or removes the list, put the whole configuration");
            return Ok(ExitCode::from(REFUSED));
        }
        Output::Json => println!("{}", difference.patch(generation)),
        Output::Text => difference.items.iter().for_each(|item| println!("{item}")),
    }
    Ok(ExitCode::from(if difference.items.is_empty() { 0 } else { DIFFERS }))
}

/// Sends a request to a sidecar's control address, prints the response and derives the exit code from its
/// status.
pub fn ask(
    at: SocketAddr,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: String,
) -> Result<ExitCode, Box<dyn Error>> {
    let ControlResponse { status, body: text } =
        call(at, ControlCall { method, path: path.to_owned(), if_match, body })?;
    println!("{text}");
    Ok(match status {
        200..=299 => ExitCode::SUCCESS,
        400..=499 => ExitCode::from(REFUSED),
        _ => ExitCode::from(UNCLEAR),
    })
}

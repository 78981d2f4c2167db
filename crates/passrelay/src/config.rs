//! `passrelay config` and `passrelay status`: what operators do with a fleet.

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

/// Exit code where documents differ.
const DIFFERS: u8 = 1;
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
    /// Prints which items of the newest configuration a document would add (+), remove (-) or change (~). Exit code 1
    /// where there are any.
    Diff {
        /// The document, JSON.
        file: PathBuf,
        /// Control address of any sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// As json: the change that patch takes.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
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
        Command::Diff { file, at, output } => diff(&file, at, output),
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

/// A document that was read and checked, or its faults.
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
        Output::Json => println!("{}", difference.patch(generation)),
        Output::Text => difference.items.iter().for_each(|item| println!("{item}")),
    }
    Ok(ExitCode::from(if difference.items.is_empty() { 0 } else { DIFFERS }))
}

/// Makes a call, prints its answer and tells by the exit code how it ended.
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

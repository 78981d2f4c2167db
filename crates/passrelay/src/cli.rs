//! The command line. Without a subcommand the program runs as a sidecar.

use crate::{config, fleet, lease, rollout};
use clap::{Parser, Subcommand};
use passrelay_lease_runtime::background_client::BackgroundClient;
use passrelay_lease_runtime::fleet_config::{FleetConfig, FleetConfigError};
use passrelay_node::control_client::CallError;
use passrelay_sidecar_proxy::Sidecar;
use passrelay_sidecar_settings::Config;
use serde_json::json;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing sidecar, and the coordination services of its fleets.
///
/// Without a subcommand it serves as a sidecar: RELAY_CONFIG names the settings file; RELAY_NAME,
/// RELAY_LISTEN, RELAY_DISCOVERY and RELAY_OPERATOR override its values.
#[derive(Parser)]
#[command(name = "passrelay", version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves as a sidecar (the default).
    Run,
    /// Serves as a process of the router fleet: PASSRELAY_CONFIG names the settings file.
    Node,
    /// Reads and changes the configuration of a router fleet.
    #[command(subcommand)]
    Config(config::Command),
    /// Rolls out versions of a router fleet's services.
    #[command(subcommand)]
    Rollout(rollout::Command),
    /// Prints the status of a sidecar's router fleet, as JSON.
    Status {
        /// Control address of the sidecar.
        #[arg(long, value_name = "ADDRESS")]
        at: std::net::SocketAddr,
    },
    /// Prints the version.
    Version,
    /// Votes on the fleet's leases until SIGTERM. Exit code 1 if the disk or the address can't be used.
    Voter {
        /// The fleet's configuration file.
        #[arg(long, value_name = "FILE")]
        fleet: PathBuf,
        /// Number of this voter in the file.
        #[arg(long)]
        id: u64,
        /// With a new disk: wait to be added to a running fleet (fleet add) instead of founding one.
        #[arg(long)]
        join: bool,
    },
    /// Holds and shows leases, which let one process of the fleet act at a time.
    #[command(subcommand)]
    Lease(lease::Command),
    /// Shows and changes the fleet's voters.
    #[command(subcommand)]
    Fleet(fleet::Command),
}

/// Parses the arguments and runs the subcommand.
pub fn main(arguments: impl Iterator<Item = String>) -> ExitCode {
    let words: Vec<String> = arguments.collect();
    let command = match words.as_slice() {
        [] => Command::Run,
        _ => match Cli::try_parse_from(std::iter::once("passrelay".to_owned()).chain(words)) {
            Ok(cli) => cli.command.unwrap_or(Command::Run),
            Err(e) => {
                let _ = e.print();
                return ExitCode::from(if e.use_stderr() { 2 } else { 0 });
            }
        },
    };
    let done = match command {
        Command::Run => run().map(|()| ExitCode::SUCCESS),
        Command::Node => node().map(|()| ExitCode::SUCCESS),
        Command::Config(command) => config::run(command),
        Command::Rollout(command) => rollout::run(command),
        Command::Status { at } => config::status(at),
        Command::Version => {
            println!("passrelay {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Command::Voter { fleet, id, join } => fleet::vote(&fleet, id, join),
        Command::Lease(command) => lease::run(command),
        Command::Fleet(command) => fleet::run(command),
    };
    done.unwrap_or_else(|e| {
        eprintln!("passrelay: {e}");
        ExitCode::from(exit_code(&*e))
    })
}

/// Returns the exit code of a command that failed with this error.
fn exit_code(error: &(dyn Error + 'static)) -> u8 {
    if error.is::<FleetConfigError>() {
        // Tells the caller to correct the configuration file.
        return 2;
    }
    match error.downcast_ref() {
        // The order may have been taken.
        Some(CallError::MalformedResponse { .. }) => config::UNCLEAR,
        _ => 1,
    }
}

fn node() -> Result<(), Box<dyn Error>> {
    let format = simplelog::ConfigBuilder::new()
        .set_time_level(simplelog::LevelFilter::Off)
        .set_thread_level(simplelog::LevelFilter::Off)
        .set_target_level(simplelog::LevelFilter::Off)
        .set_location_level(simplelog::LevelFilter::Off)
        .add_filter_allow_str("passrelay")
        .build();
    simplelog::WriteLogger::init(log::LevelFilter::Info, format, std::io::stderr())?;
    passrelay_node::run()?;
    Ok(())
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    // Without a fleet, no thread, socket or file is added to the sidecar.
    let background_client = match &config.fleet {
        Some(file) => Some(BackgroundClient::start(&FleetConfig::read(file)?, &config.name)?),
        None => None,
    };
    let mut sidecar = Sidecar::open(config)?;
    if let Some(background_client) = &background_client {
        let status = background_client.status();
        sidecar.set_fleet_status(Box::new(move || {
            json!({ "session": status.session(), "sessions": status.sessions_opened(), "name_taken": status.name_taken() })
        }));
    }
    sidecar.run()?;
    Ok(())
}

//! The command line: a word for what to do, `run` if there is none.

use passrelay_settings::Config;
use passrelay_sidecar::Sidecar;
use std::error::Error;
use std::process::ExitCode;

const USAGE: &str = "usage: passrelay [run | help | version]

run      serve as a sidecar (also without any word); RELAY_CONFIG names the file with the settings,
         RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY go before what it says
help     print this
version  print the version
";

/// Does what the arguments say.
pub fn main(arguments: impl Iterator<Item = String>) -> ExitCode {
    let words: Vec<String> = arguments.collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] | ["run"] => match run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("passrelay: {e}");
                ExitCode::FAILURE
            }
        },
        ["help" | "--help" | "-h"] => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        ["version" | "--version" | "-V"] => {
            println!("passrelay {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("passrelay: cannot make sense of '{}'\n{USAGE}", words.join(" "));
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    Sidecar::open(Config::from_env()?)?.run()?;
    Ok(())
}

//! The fleet's configuration file, which lists the voters and their addresses. All processes of a fleet can
//! share one file.

use passrelay_lease_consensus::lease_table::MAX_NAME_BYTES;
use passrelay_lease_consensus::VoterId;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// An error in the fleet's configuration file.
#[derive(Debug, PartialEq, Eq)]
pub struct FleetConfigError {
    /// Path of the configuration file.
    pub file: PathBuf,
    /// Line of the error, if it is known.
    pub line: Option<usize>,
    /// Description of the error, with the key it concerns.
    pub problem: String,
}

impl fmt::Display for FleetConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for FleetConfigError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    fleet: Spanned<String>,
    data: Option<PathBuf>,
    lock_delay_ms: Option<Spanned<u64>>,
    #[serde(rename = "voter")]
    voters: Spanned<Vec<VoterEntry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterEntry {
    id: Spanned<u64>,
    address: Spanned<String>,
}

/// The validated configuration of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Name of the fleet, from which the fleet identifier in every frame is derived.
    pub fleet: String,
    /// Address of each voter.
    pub voters: BTreeMap<VoterId, SocketAddr>,
    /// Directory below which each voter keeps its journal, in one of its own.
    pub data: PathBuf,
    /// How long a lease whose holder expired stays locked.
    pub lock_delay: Duration,
}

impl FleetConfig {
    /// Reads and validates the configuration file.
    ///
    /// # Errors
    ///
    /// Returns the line and the key of the error.
    pub fn read(file: &Path) -> Result<FleetConfig, FleetConfigError> {
        let error = |line, problem| FleetConfigError { file: file.to_owned(), line, problem };
        let text = std::fs::read_to_string(file).map_err(|e| error(None, e.to_string()))?;
        FleetConfig::parse(&text, file.parent()).map_err(|(line, problem)| error(line, problem))
    }

    fn parse(text: &str, folder: Option<&Path>) -> Result<FleetConfig, (Option<usize>, String)> {
        let line = |at: usize| Some(text[..at].matches('\n').count() + 1);
        let written: FleetFile = toml::from_str(text)
            .map_err(|e| (e.span().and_then(|s| line(s.start)), e.message().to_owned()))?;
        let fleet = written.fleet.get_ref().clone();
        if fleet.is_empty() || fleet.len() > MAX_NAME_BYTES {
            let at = line(written.fleet.span().start);
            return Err((at, "fleet: should be a name of 1 to 128 bytes".to_owned()));
        }
        let mut voters: BTreeMap<VoterId, SocketAddr> = BTreeMap::new();
        for voter in written.voters.get_ref() {
            let (id, address) = (*voter.id.get_ref(), voter.address.get_ref());
            let at = line(voter.id.span().start);
            if id == 0 {
                return Err((at, "voter.id: should be 1 or more".to_owned()));
            }
            let parsed = address.parse().map_err(|_| {
                let problem = format!("voter.address: should be address:port, is '{address}'");
                (line(voter.address.span().start), problem)
            })?;
            if voters.values().any(|known| *known == parsed) {
                let at = line(voter.address.span().start);
                return Err((at, format!("voter.address: {address} is listed twice")));
            }
            if voters.insert(id, parsed).is_some() {
                return Err((at, format!("voter.id: {id} is listed twice")));
            }
        }
        if ![1, 3, 5, 7].contains(&voters.len()) {
            let problem = format!("voter: there should be 1, 3, 5 or 7 voters, there are {}", voters.len());
            return Err((line(written.voters.span().start), problem));
        }
        let lock_delay_ms = match &written.lock_delay_ms {
            None => 1000,
            Some(ms) if *ms.get_ref() <= 60_000 => *ms.get_ref(),
            Some(ms) => {
                return Err((line(ms.span().start), "lock_delay_ms: should be 60000 or less".to_owned()))
            }
        };
        let data = written.data.unwrap_or_else(|| PathBuf::from("fleet-data"));
        let data = folder.map_or_else(|| data.clone(), |b| b.join(&data));
        Ok(FleetConfig { fleet, voters, data, lock_delay: Duration::from_millis(lock_delay_ms) })
    }
}

#[cfg(test)]
mod tests;

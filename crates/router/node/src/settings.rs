//! The settings file of a process: lines of the form `a.b=value`, list items separated by commas.

use passrelay_control_plane::quota::QuotaBounds;
use std::collections::HashMap;
use std::fs::File;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The variable that names the settings file.
pub const PATH_VARIABLE: &str = "PASSRELAY_CONFIG";

/// Why a process can't start with its settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The variable isn't set.
    #[error("the variable {PATH_VARIABLE} has to name the settings file")]
    NoPath,
    /// The file can't be opened.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file isn't made of lines `key=value`.
    #[error("{path}: {problem}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        problem: String,
    },
    /// A key has no usable value.
    #[error("{path}: {key}: has the value '{value}', should be {expected}")]
    BadValue {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What is expected.
        expected: &'static str,
    },
    /// A key that has to be there is missing.
    #[error("{path}: {key}: is missing")]
    Missing {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
    },
}

/// What a process is told at its start and after SIGHUP. Unknown keys are skipped.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine, for logs.
    pub node_name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where clients connect, if this role serves them.
    pub listen_front: Option<SocketAddrV4>,
    /// Where readiness is asked for.
    pub listen_readiness: Option<SocketAddrV4>,
    /// Where endpoints and operators call, if this role serves them.
    pub listen_control: Option<SocketAddrV4>,
    /// Port for messages between sidecars, the same on all machines.
    pub internal_port: u16,
    /// Machines that can be asked for others.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Whether this machine counts among those whose loss is bounded.
    pub counts_for_quorum: bool,
    /// Where this process may keep files, if it has a disk.
    pub data_dir: Option<PathBuf>,
    /// Counted machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// Time between heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Time within which a removed key has to be out of force everywhere.
    pub revoke: Duration,
    /// Whether that binds machines that are cut off, too.
    pub strict_revocation: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Most arrivals beyond the first of each request, as a part of the requests.
    pub retry_budget_ratio: f64,
    /// How far quotas may be overshot.
    pub quota_bounds: QuotaBounds,
}

impl NodeSettings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with file and key.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::read(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with file and key.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file =
            File::open(path).map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let values = java_properties::read(BufReader::new(file))
            .map_err(|e| SettingsError::Malformed { path: path.to_owned(), problem: e.to_string() })?;
        Lines { path, values }.settings()
    }

    /// Address of this process for messages between sidecars.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_port)
    }

    /// Addresses of the seeds for messages between sidecars.
    pub fn internal_seeds(&self) -> Vec<SocketAddrV4> {
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.internal_port)).collect()
    }
}

struct Lines<'a> {
    path: &'a Path,
    values: HashMap<String, String>,
}

impl Lines<'_> {
    fn settings(&self) -> Result<NodeSettings, SettingsError> {
        let address = "an address such as 10.0.0.4:8080";
        let ports: Vec<u16> = self.list("internal-ports", "two ports such as 7680,7695")?;
        let internal_port = *ports.first().ok_or_else(|| self.missing("internal-ports"))?;
        Ok(NodeSettings {
            node_name: self.text("node-name").unwrap_or("sidecar").to_owned(),
            zone: self.text("zone").unwrap_or_default().to_owned(),
            ip: self.value("ip", "an IPv4 address")?.ok_or_else(|| self.missing("ip"))?,
            listen_front: self.value("listen.front", address)?,
            listen_readiness: self.value("listen.readiness", address)?,
            listen_control: self.value("listen.control", address)?,
            internal_port,
            seeds: self.list("seeds", "addresses separated by commas")?,
            bootstrap: self.flag("bootstrap")?,
            counts_for_quorum: self.flag("counts-for-quorum")?,
            data_dir: self.text("data-dir").filter(|d| !d.is_empty()).map(PathBuf::from),
            tolerated_losses: self.value("fault-tolerance.machines", "a whole number")?.unwrap_or(0),
            heartbeat: self.span("heartbeat-ms", 1.0, 1_200.0)?,
            revoke: self.span("bounds.revoke-ms", 1.0, 5_000.0)?,
            strict_revocation: self.flag("bounds.strict-revocation")?,
            grace: self.span("bounds.grace-s", 1_000.0, 8.0)?,
            retry_budget_ratio: self.number("bounds.retry-budget-ratio", 0.2)?,
            quota_bounds: QuotaBounds {
                window_s: self.number("bounds.quota-window-s", 8.0)?,
                overshoot: self.number("bounds.quota-overshoot", 0.1)?,
                slack: self.number("bounds.quota-slack", 0.0)?,
            },
        })
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.trim())
    }

    fn missing(&self, key: &str) -> SettingsError {
        SettingsError::Missing { path: self.path.to_owned(), key: key.to_owned() }
    }

    fn bad(&self, key: &str, value: &str, expected: &'static str) -> SettingsError {
        let (key, value) = (key.to_owned(), value.to_owned());
        SettingsError::BadValue { path: self.path.to_owned(), key, value, expected }
    }

    fn value<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Option<T>, SettingsError> {
        match self.text(key) {
            None | Some("") => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.bad(key, text, expected)),
        }
    }

    fn list<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Vec<T>, SettingsError> {
        let items = self.text(key).unwrap_or_default().split(',').map(str::trim).filter(|i| !i.is_empty());
        items.map(|item| item.parse().map_err(|_| self.bad(key, item, expected))).collect()
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.value(key, "true or false")?.unwrap_or(false))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let expected = "a number from 0 up";
        let number: f64 = self.value(key, expected)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        Err(self.bad(key, &number.to_string(), expected))
    }

    /// A span in units of `unit_ms`.
    fn span(&self, key: &str, unit_ms: f64, default: f64) -> Result<Duration, SettingsError> {
        Ok(Duration::from_secs_f64(self.number(key, default)? * unit_ms / 1_000.0))
    }
}

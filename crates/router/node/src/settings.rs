//! The settings file of a process: lines of the form `a.b=value`, with list items separated by commas.
//!
//! All keys, their units and their defaults are defined in this module.

use passrelay_control_plane::quota::QuotaBounds;
use passrelay_control_plane::rollout::ExposureBound;
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "PASSRELAY_CONFIG";

/// The item of `contracts` that lets operators change the version of a service by rollout orders.
const ROLLOUT_CONTRACT: &str = "rollout";
/// Bytes in a unit of `limits.memory-mb`.
const BYTES_PER_MB: u64 = 1_000_000;
/// Default of `limits.memory-mb`.
const DEFAULT_MEMORY_MB: u32 = 160;
/// Default of `limits.max-fds`.
const DEFAULT_MAX_DESCRIPTORS: u32 = 4_100;

/// Error in the settings of a process.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[error("the environment variable {SETTINGS_PATH_VARIABLE} is not set; it must hold the path of the settings file")]
    PathNotSet,
    /// The file cannot be opened.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file does not consist of lines `key=value`.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// The parser's error.
        source: java_properties::PropertiesError,
    },
    /// A key has an invalid value.
    #[error("{path}: {key}: has the value '{value}', should be {expected}")]
    InvalidValue {
        /// Path of the settings file.
        path: PathBuf,
        /// Name of the key.
        key: String,
        /// The invalid value.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// A required key is missing.
    #[error("{path}: {key}: is missing")]
    Missing {
        /// Path of the settings file.
        path: PathBuf,
        /// Name of the key.
        key: String,
    },
}

/// Settings of a process, read at startup and after SIGHUP. Unknown keys are ignored.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine in log lines.
    pub node_name: String,
    /// Failure domain that the machine is in; empty if not set.
    pub zone: String,
    /// Address of the machine for internal messages.
    pub ip: Ipv4Addr,
    /// Address for client connections, if this process serves clients.
    pub listen_front: Option<SocketAddrV4>,
    /// Address for readiness probes by the platform, if any.
    pub listen_readiness: Option<SocketAddrV4>,
    /// Address for calls of endpoints and operators, if this process serves them.
    pub listen_control: Option<SocketAddrV4>,
    /// Port for internal messages, the same on all machines.
    pub internal_port: u16,
    /// Addresses of machines through which this process discovers the fleet; their ports are ignored.
    pub seeds: Vec<SocketAddrV4>,
    /// Memory of the machine for this process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of descriptors that this process may have open.
    pub max_descriptors: usize,
    /// Whether the fleet as a whole starts for the first time.
    pub bootstrap: bool,
    /// Whether this machine is a voter, so that its loss counts against `tolerated_losses`.
    pub counts_for_quorum: bool,
    /// Directory of the store, if this machine has a disk.
    pub data_dir: Option<PathBuf>,
    /// Number of voters that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Whether operators change the version of a service by rollout orders (`contracts` contains `rollout`).
    pub rollouts_enabled: bool,
    /// Bound on the requests that a version may receive before it is judged.
    pub exposure_bound: ExposureBound,
    /// Interval at which an endpoint sends heartbeats.
    pub heartbeat_interval: Duration,
    /// Time within which a configuration change has to be in force on all machines in contact with the core.
    pub config_apply_bound: Duration,
    /// Time within which a revoked key has to be rejected everywhere.
    pub revocation_bound: Duration,
    /// Whether the revocation bound also holds on machines that are partitioned from the core.
    pub strict_revocation: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Maximum number of retries, as a fraction of the requests.
    pub retry_budget_ratio: f64,
    /// Bounds on how far a quota may be exceeded.
    pub quota_bounds: QuotaBounds,
}

impl NodeSettings {
    /// Reads the file whose path is in the environment variable `SETTINGS_PATH_VARIABLE`.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with path and key.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_PATH_VARIABLE).ok_or(SettingsError::PathNotSet)?;
        Self::read(Path::new(&path))
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with path and key.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file =
            File::open(path).map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let values = java_properties::read(BufReader::new(file))
            .map_err(|source| SettingsError::Malformed { path: path.to_owned(), source })?;
        SettingsFile { path, values }.parse()
    }

    /// Returns the address of this process for internal messages.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_port)
    }

    /// Returns the addresses of the seeds for internal messages.
    pub fn internal_seeds(&self) -> Vec<SocketAddrV4> {
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.internal_port)).collect()
    }
}

/// The key-value pairs of a settings file, with lookups that report path and key in their errors.
struct SettingsFile<'a> {
    path: &'a Path,
    values: HashMap<String, String>,
}

impl SettingsFile<'_> {
    fn parse(&self) -> Result<NodeSettings, SettingsError> {
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
            memory_bytes: self.positive("limits.memory-mb", DEFAULT_MEMORY_MB)?.saturating_mul(BYTES_PER_MB),
            max_descriptors: usize::try_from(self.positive("limits.max-fds", DEFAULT_MAX_DESCRIPTORS)?)
                .unwrap_or(usize::MAX),
            bootstrap: self.flag("bootstrap")?,
            counts_for_quorum: self.flag("counts-for-quorum")?,
            data_dir: self.text("data-dir").filter(|text| !text.is_empty()).map(PathBuf::from),
            tolerated_losses: self.value("fault-tolerance.machines", "a whole number")?.unwrap_or(0),
            rollouts_enabled: self.has_contract(ROLLOUT_CONTRACT),
            exposure_bound: ExposureBound {
                ratio: self.number("bounds.exposure-ratio", 0.1)?,
                slack: self.number("bounds.exposure-slack", 0.0)?,
            },
            heartbeat_interval: self.duration("heartbeat-ms", 1.0, 1_200.0)?,
            config_apply_bound: self.duration("bounds.config-apply-ms", 1.0, 2_500.0)?,
            revocation_bound: self.duration("bounds.revoke-ms", 1.0, 5_000.0)?,
            strict_revocation: self.flag("bounds.strict-revocation")?,
            grace_period: self.duration("bounds.grace-s", 1_000.0, 8.0)?,
            retry_budget_ratio: self.number("bounds.retry-budget-ratio", 0.2)?,
            quota_bounds: QuotaBounds {
                window_s: self.number("bounds.quota-window-s", 8.0)?,
                overshoot: self.number("bounds.quota-overshoot", 0.1)?,
                slack: self.number("bounds.quota-slack", 0.0)?,
            },
        })
    }

    /// Returns the trimmed value of a key, possibly empty, or `None` if the key is missing.
    fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.trim())
    }

    /// Returns whether `contracts` contains an item.
    fn has_contract(&self, name: &str) -> bool {
        let contracts = self.text("contracts").unwrap_or_default();
        contracts.split(',').any(|contract| contract.trim() == name)
    }

    fn missing(&self, key: &str) -> SettingsError {
        SettingsError::Missing { path: self.path.to_owned(), key: key.to_owned() }
    }

    fn invalid_value(&self, key: &str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::InvalidValue {
            path: self.path.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            expected,
        }
    }

    /// Returns the parsed value of a key, or `None` if it is missing or empty.
    fn value<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Option<T>, SettingsError> {
        match self.text(key) {
            None | Some("") => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.invalid_value(key, text, expected)),
        }
    }

    /// Returns the parsed items of a list, empty if the key is missing.
    fn list<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Vec<T>, SettingsError> {
        let items =
            self.text(key).unwrap_or_default().split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| self.invalid_value(key, item, expected))).collect()
    }

    /// Returns a flag, false if the key is missing.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.value(key, "true or false")?.unwrap_or(false))
    }

    /// Returns a whole number greater than zero, `default` if the key is missing. A fraction is cut off.
    fn positive(&self, key: &str, default: u32) -> Result<u64, SettingsError> {
        let number = self.number(key, f64::from(default))?;
        if number < 1.0 {
            return Err(self.invalid_value(key, &number.to_string(), "a number from 1 up"));
        }
        Ok(number as u64)
    }

    /// Returns a finite, non-negative number, `default` if the key is missing.
    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let expected = "a number from 0 up";
        let number: f64 = self.value(key, expected)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        Err(self.invalid_value(key, &number.to_string(), expected))
    }

    /// Returns a duration given in units of `unit_ms` milliseconds. `default` is in the same unit.
    fn duration(&self, key: &str, unit_ms: f64, default: f64) -> Result<Duration, SettingsError> {
        Ok(Duration::from_secs_f64(self.number(key, default)? * unit_ms / 1_000.0))
    }
}

/// The settings in force, replaced as a whole after SIGHUP. Settings that are used only at startup have no further
/// effect.
pub struct CurrentSettings {
    settings: RefCell<NodeSettings>,
}

impl CurrentSettings {
    /// Creates the holder with the settings read at startup.
    pub fn new(settings: NodeSettings) -> Self {
        CurrentSettings { settings: RefCell::new(settings) }
    }

    /// Borrows the settings in force. Must not be held across an await, because `replace` would panic.
    pub fn borrow(&self) -> Ref<'_, NodeSettings> {
        self.settings.borrow()
    }

    /// Replaces the settings in force.
    pub fn replace(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = settings;
    }
}

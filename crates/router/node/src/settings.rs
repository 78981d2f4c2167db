//! The settings file of a process: lines of the form `a.b=value`, list items separated by commas.
//!
//! Only this module knows the keys, their units and their defaults.

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

/// The environment variable that names the settings file.
pub const PATH_VARIABLE: &str = "PASSRELAY_CONFIG";

/// The contract under which versions of a service are moved by orders.
const ROLLOUT_CONTRACT: &str = "rollout";

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
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not made of lines `key=value`.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: java_properties::PropertiesError,
    },
    /// A key has an invalid value.
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
    /// A required key is missing.
    #[error("{path}: {key}: is missing")]
    Missing {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
    },
}

/// Settings of a process, read at its start and after SIGHUP. Unknown keys are ignored.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine, for logs.
    pub node_name: String,
    /// The failure domain it is in.
    pub zone: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where clients connect, if this process serves them.
    pub listen_front: Option<SocketAddrV4>,
    /// Where the platform probes readiness.
    pub listen_readiness: Option<SocketAddrV4>,
    /// Where endpoints and operators call, if this process serves them.
    pub listen_control: Option<SocketAddrV4>,
    /// Port for messages between processes, the same on all machines.
    pub internal_port: u16,
    /// Machines from which the membership is discovered.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole fleet starts for the first time.
    pub bootstrap: bool,
    /// Whether this machine is a voter: its loss counts against `tolerated_losses`.
    pub counts_for_quorum: bool,
    /// Directory for the store, if this machine has a disk.
    pub data_dir: Option<PathBuf>,
    /// Voters that may be lost at one time.
    pub tolerated_losses: usize,
    /// Whether versions of a service are moved by the operators' orders (`rollout` among the contracts).
    pub orders_versions: bool,
    /// What a version may get before it is judged.
    pub exposure_bound: ExposureBound,
    /// Interval between heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Bound within which a change has to be in force at all machines in touch.
    pub config_apply: Duration,
    /// Bound within which a revoked key has to be out of force everywhere.
    pub revoke: Duration,
    /// Whether the bound also holds on machines that are partitioned from the core.
    pub strict_revocation: bool,
    /// Grace period between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Maximum number of retries, as a fraction of the requests.
    pub retry_budget_ratio: f64,
    /// Bounds on exceeding a quota.
    pub quota_bounds: QuotaBounds,
}

impl NodeSettings {
    /// Reads the file that the environment variable names.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with file and key.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::read(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with file and key.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file =
            File::open(path).map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let values = java_properties::read(BufReader::new(file))
            .map_err(|source| SettingsError::Malformed { path: path.to_owned(), source })?;
        SettingsFile { path, values }.parse()
    }

    /// Address of this process for messages between processes.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_port)
    }

    /// Addresses of the seeds for messages between processes.
    pub fn internal_seeds(&self) -> Vec<SocketAddrV4> {
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.internal_port)).collect()
    }
}

/// The parsed lines of a settings file, for lookups that report file and key in their errors.
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
            bootstrap: self.flag("bootstrap")?,
            counts_for_quorum: self.flag("counts-for-quorum")?,
            data_dir: self.text("data-dir").filter(|text| !text.is_empty()).map(PathBuf::from),
            tolerated_losses: self.value("fault-tolerance.machines", "a whole number")?.unwrap_or(0),
            orders_versions: self.has_contract(ROLLOUT_CONTRACT),
            exposure_bound: ExposureBound {
                ratio: self.number("bounds.exposure-ratio", 0.1)?,
                slack: self.number("bounds.exposure-slack", 0.0)?,
            },
            heartbeat: self.duration("heartbeat-ms", 1.0, 1_200.0)?,
            config_apply: self.duration("bounds.config-apply-ms", 1.0, 2_500.0)?,
            revoke: self.duration("bounds.revoke-ms", 1.0, 5_000.0)?,
            strict_revocation: self.flag("bounds.strict-revocation")?,
            grace: self.duration("bounds.grace-s", 1_000.0, 8.0)?,
            retry_budget_ratio: self.number("bounds.retry-budget-ratio", 0.2)?,
            quota_bounds: QuotaBounds {
                window_s: self.number("bounds.quota-window-s", 8.0)?,
                overshoot: self.number("bounds.quota-overshoot", 0.1)?,
                slack: self.number("bounds.quota-slack", 0.0)?,
            },
        })
    }

    /// The trimmed value of a key, possibly empty.
    fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.trim())
    }

    /// Whether a contract is in force.
    fn has_contract(&self, name: &str) -> bool {
        let contracts = self.text("contracts").unwrap_or_default();
        contracts.split(',').any(|contract| contract.trim() == name)
    }

    fn missing(&self, key: &str) -> SettingsError {
        SettingsError::Missing { path: self.path.to_owned(), key: key.to_owned() }
    }

    fn bad_value(&self, key: &str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::BadValue {
            path: self.path.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            expected,
        }
    }

    /// The parsed value of a key; none where it is missing or empty.
    fn value<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Option<T>, SettingsError> {
        match self.text(key) {
            None | Some("") => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.bad_value(key, text, expected)),
        }
    }

    /// The parsed items of a list; empty where the key is missing.
    fn list<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Vec<T>, SettingsError> {
        let items =
            self.text(key).unwrap_or_default().split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| self.bad_value(key, item, expected))).collect()
    }

    /// A flag, off where the key is missing.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.value(key, "true or false")?.unwrap_or(false))
    }

    /// A finite number that is not negative.
    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let expected = "a number from 0 up";
        let number: f64 = self.value(key, expected)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        Err(self.bad_value(key, &number.to_string(), expected))
    }

    /// A duration in units of `unit_ms` milliseconds.
    fn duration(&self, key: &str, unit_ms: f64, default: f64) -> Result<Duration, SettingsError> {
        Ok(Duration::from_secs_f64(self.number(key, default)? * unit_ms / 1_000.0))
    }
}

/// The settings in force, replaced whole at SIGHUP. What is used only at the start keeps the value of the
/// start.
pub struct CurrentSettings {
    settings: RefCell<NodeSettings>,
}

impl CurrentSettings {
    /// The settings of the start.
    pub fn new(settings: NodeSettings) -> Self {
        CurrentSettings { settings: RefCell::new(settings) }
    }

    /// The settings in force. Not to be held across an await: `replace` would panic.
    pub fn borrow(&self) -> Ref<'_, NodeSettings> {
        self.settings.borrow()
    }

    /// Puts other settings in force.
    pub fn replace(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = settings;
    }
}

//! Parsing, validation and defaults of the configuration.
//!
//! A sidecar gets its settings as nested JSON, the simulator's host as `path=value` pairs. JSON is flattened into
//! pairs, so that both go through the same checks.

use crate::node_list::NodeListUpdate;
use passrelay_load_balancing::{
    Class, DedupScope, EndpointEntry, Idempotency, Settings, Tenant, TenantId, ZoneId,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Descriptors reserved for the standard streams, the poller, signals, the listeners and discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum memory per connection, in KiB: one buffer and its bookkeeping.
const MAX_CONNECTION_KIB: usize = 96;
/// Maximum number of classes in one run, retired ones included. Without a limit, the table would grow with
/// every reload.
const MAX_CLASSES: usize = 256;

/// An invalid configuration: the key at fault and the problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the key, or name of the environment variable.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn invalid<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}

/// Names from the settings; the position of a name is its id.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the request classes, empty for retired ones.
    pub classes: Vec<String>,
    /// Names of the tenants, empty if the service has none.
    pub tenants: Vec<String>,
    zones: Vec<String>,
}

impl Names {
    /// Returns the id of a zone. A new name gets the next free id.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        ZoneId(known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        }))
    }

    /// Returns the tenant of a request: `None` if the service has no tenants or the request names none.
    ///
    /// # Errors
    ///
    /// Returns the name if it is not in the settings.
    pub fn tenant_id(&self, name: Option<&str>) -> Result<Option<TenantId>, String> {
        let Some(name) = name.filter(|_| !self.tenants.is_empty()) else { return Ok(None) };
        let known = self.tenants.iter().position(|tenant| tenant == name);
        known.map(|index| Some(TenantId(index))).ok_or_else(|| name.to_owned())
    }
}

/// The settings of the balancer, and what the program around it needs beside them.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names of classes, tenants and zones, by id.
    pub names: Names,
    /// Longest time that a client of each class waits, in seconds.
    pub deadlines: Vec<f64>,
    /// Time after which a node closes an idle connection, in seconds.
    pub node_idle_timeout: f64,
    /// How late a final response may be, in seconds.
    pub answer_slack: f64,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Name of the service's tier, for the log.
    pub tier: String,
}

/// Settings as `path=value` pairs.
struct SettingPairs(BTreeMap<String, String>);

impl SettingPairs {
    /// Returns the value of a key; `None` if it is absent, empty or `-`.
    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|value| *value != "-" && !value.is_empty())
    }

    fn number<T: FromStr>(&self, key: &str, default: T) -> Result<T, ConfigError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        text.parse().or_else(|_| invalid(key, format!("has the value '{text}', which is not a valid number")))
    }

    /// Returns a duration in seconds that the program itself uses: finite and not negative.
    fn duration(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        let value = self.number(key, default)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        invalid(key, format!("should be finite and not negative, is {value}"))
    }

    fn flag(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        match self.text(key) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => invalid(key, format!("should be true or false, is '{other}'")),
        }
    }

    fn list(&self, key: &str) -> Vec<String> {
        self.text(key).map(|value| value.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }

    /// Parses the class `Classes.index`. Returns its name, its rules and the longest time that its clients wait.
    fn class(&self, index: usize) -> Result<(String, Class, f64), ConfigError> {
        let key = |field: &str| format!("Classes.{index}.{field}");
        let defaults = Class::default();
        let scope = match self.text(&key("DedupScope")) {
            Some("all") | None => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            Some(other) => {
                return invalid(
                    &key("DedupScope"),
                    format!("unknown scope '{other}', should be all, zone or cell"),
                )
            }
        };
        let idempotency = match self.text(&key("Idempotency")) {
            Some("read_like") => Idempotency::Idempotent,
            Some("idempotency_key") => {
                Idempotency::Keyed { scope, window: self.number(&key("RepeatWindow"), 0.0)? }
            }
            Some("non_idempotent") | None => Idempotency::NonIdempotent,
            Some(other) => {
                return invalid(
                    &key("Idempotency"),
                    format!(
                        "unknown value '{other}', should be read_like, idempotency_key or non_idempotent"
                    ),
                )
            }
        };
        let name = self.text(&key("Name")).map(str::to_owned);
        let name = name.map_or_else(|| invalid(&key("Name"), "is missing"), Ok)?;
        if let Some(text) = self.text(&key("GiveUp")) {
            // A deadline of zero would reject every request of the class.
            if !text.parse::<f64>().is_ok_and(|seconds| seconds.is_finite() && seconds > 0.0) {
                return invalid(
                    &key("GiveUp"),
                    format!("should be a positive number of seconds, is '{text}'"),
                );
            }
        }
        let class = Class {
            latency_target: self
                .number(&key("Aim"), self.number(&key("GiveUp"), defaults.latency_target)?)?,
            latency_target_per_work: self.number(&key("AimStretch"), defaults.latency_target_per_work)?,
            value: self.number(&key("Gain"), defaults.value)?,
            late_value: self.number(&key("LateValue"), defaults.late_value)?,
            idempotency,
        };
        let deadline = self.duration(&key("GiveUp"), class.latency_target.max(0.0))?;
        Ok((name, class, deadline))
    }
}

impl ServiceSettings {
    /// Returns these settings with those of a reload applied. An unchanged class keeps its position, a changed or
    /// new one is appended, and one that is no longer configured is retired (its name becomes empty), so that
    /// accepted requests keep the rules under which they were accepted. The tick does not change.
    ///
    /// # Errors
    ///
    /// Fails if the run would have more than 256 classes.
    pub fn reloaded_with(&self, new: ServiceSettings) -> Result<ServiceSettings, ConfigError> {
        let mut merged = self.clone();
        let is_unchanged = |index: usize, old: usize| {
            new.settings.classes[index] == self.settings.classes[old]
                && new.deadlines[index] == self.deadlines[old]
        };
        let kept_positions: Vec<Option<usize>> = (0..new.names.classes.len())
            .map(|index| {
                self.names
                    .classes
                    .iter()
                    .position(|name| *name == new.names.classes[index])
                    .filter(|&old| is_unchanged(index, old))
            })
            .collect();
        for (old, name) in merged.names.classes.iter_mut().enumerate() {
            if !kept_positions.contains(&Some(old)) {
                name.clear();
            }
        }
        for (index, kept_position) in kept_positions.iter().enumerate() {
            if kept_position.is_none() {
                merged.names.classes.push(new.names.classes[index].clone());
                merged.settings.classes.push(new.settings.classes[index].clone());
                merged.deadlines.push(new.deadlines[index]);
            }
        }
        if merged.settings.classes.len() > MAX_CLASSES {
            return invalid(
                "settings.Classes",
                format!("would bring the classes of this run to over {MAX_CLASSES}; restart to take them"),
            );
        }
        let classes = std::mem::take(&mut merged.settings.classes);
        merged.settings = Settings { classes, tick: self.settings.tick, ..new.settings };
        merged.names.tenants = new.names.tenants;
        (merged.node_idle_timeout, merged.answer_slack, merged.max_open_requests) =
            (new.node_idle_timeout, new.answer_slack, new.max_open_requests);
        Ok(merged)
    }

    /// Returns the deadlines of the classes that new requests may use, in seconds.
    pub fn active_deadlines(&self) -> impl Iterator<Item = f64> + '_ {
        self.names
            .classes
            .iter()
            .zip(&self.deadlines)
            .filter(|(name, _)| !name.is_empty())
            .map(|(_, deadline)| *deadline)
    }

    /// Returns the position of a class that new requests may use; `None` for unknown and retired classes.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|class| !class.is_empty() && class == name)
    }

    /// Parses settings given as `path=value` pairs. Unknown keys are skipped, absent ones get defaults.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key.
    pub fn from_pairs(pairs: &[&str]) -> Result<ServiceSettings, ConfigError> {
        let mut map = BTreeMap::new();
        for pair in pairs.iter().filter(|pair| !pair.is_empty() && **pair != "-") {
            let Some((key, value)) = pair.split_once('=') else {
                return invalid(pair, "a setting should be path=value");
            };
            map.insert(key.to_owned(), value.to_owned());
        }
        ServiceSettings::from_setting_pairs(&SettingPairs(map))
    }

    /// Parses settings given as nested JSON. Unknown keys are skipped, absent ones get defaults.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key.
    pub fn from_json(value: &Value) -> Result<ServiceSettings, ConfigError> {
        if !value.is_object() {
            return invalid("settings", "should be an object");
        }
        let mut map = BTreeMap::new();
        flatten("", value, &mut map);
        ServiceSettings::from_setting_pairs(&SettingPairs(map))
            .map_err(|e| ConfigError { key: format!("settings.{}", e.key), ..e })
    }

    fn from_setting_pairs(pairs: &SettingPairs) -> Result<ServiceSettings, ConfigError> {
        let mut names = Names { zones: pairs.list("Dcs"), ..Names::default() };
        let zone = names.zone_id(pairs.text("Az").unwrap_or(""));
        let (mut classes, mut deadlines, mut tenants) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..pairs.number("Classes.count", 0)? {
            let (name, class, deadline) = pairs.class(index)?;
            names.classes.push(name);
            classes.push(class);
            deadlines.push(deadline);
        }
        for index in 0..pairs.number("Tenants.count", 0)? {
            names.tenants.push(pairs.text(&format!("Tenants.{index}.Name")).unwrap_or("").to_owned());
            let quota_per_s = pairs.number(&format!("Tenants.{index}.AllowancePerS"), f64::INFINITY)?;
            tenants.push(Tenant { quota_per_s });
        }
        let fields = pairs.list("Report.Fields");
        let reported = |field| fields.iter().any(|name| name == field);
        let defaults = Settings::default();
        let settings = Settings {
            instances: pairs.number("Balancers", defaults.instances)?,
            rank: pairs.number("Rank", defaults.rank)?,
            classes,
            tenants,
            over_quota_value: pairs.number("OverShareWorth", defaults.over_quota_value)?,
            value_by_work: pairs.text("CountedBy") == Some("work"),
            zone,
            price_cross_zone: pairs.number("Deductions.CrossZone", defaults.price_cross_zone)?,
            price_health_check: pairs.number("Deductions.Probe", defaults.price_health_check)?,
            list_by_subscription: pairs.text("RegistryMode") == Some("ask"),
            list_validity: pairs.number("Rules.AskEvery", defaults.list_validity)?,
            reports_in_answers: pairs.text("Report.Source").is_none_or(|source| source == "piggyback"),
            reports_concurrency: reported("active"),
            reports_queue: reported("active") && reported("waiting"),
            allow_health_checks: pairs.flag("Limits.Probes", defaults.allow_health_checks)?,
            allow_cancel: pairs.flag("Limits.Cancel", defaults.allow_cancel)?,
            allow_concurrent_attempts: pairs
                .flag("Limits.MayDuplicate", defaults.allow_concurrent_attempts)?,
            max_attempts: pairs.number("Limits.AttemptsCap", defaults.max_attempts)?,
            send_retry_after: pairs.flag("Limits.RetryAfter", defaults.send_retry_after)?,
            max_retry_after: pairs.number("Limits.MaxRetryAfter", defaults.max_retry_after)?,
            connect_timeout: pairs.number("Limits.ConnectTimeout", defaults.connect_timeout)?,
            drain_grace: pairs.number("Rules.DrainGrace", defaults.drain_grace)?,
            slow_start_capacity: pairs.number("Rules.ColdFrom", defaults.slow_start_capacity)?,
            slow_start_duration: pairs.number("Rules.WarmWithin", defaults.slow_start_duration)?,
            overload_factor: pairs.number("Rules.OverloadFactor", defaults.overload_factor)?,
            overload_window: pairs.number("Rules.Fall", defaults.overload_window)?,
            tick: pairs.number("Tick", defaults.tick)?,
        };
        if let Err(e) = settings.validate() {
            return invalid(&format!("setting {}", e.name), e.problem);
        }
        let layer: usize = pairs.number("Layer", 0)?;
        Ok(ServiceSettings {
            settings,
            names,
            deadlines,
            node_idle_timeout: pairs.duration("Limits.ConnIdle", 30.0)?,
            answer_slack: pairs.duration("Rules.AnswerSlack", 0.02)?,
            max_open_requests: pairs.number("Limits.MaxOpen", usize::MAX)?,
            tier: pairs.list("Layers").get(layer).cloned().unwrap_or_else(|| layer.to_string()),
        })
    }
}

/// Flattens nested JSON into pairs: plain lists are joined by commas, lists of objects become a count and
/// their numbered items.
fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(key, v)| flatten(&join(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(index, v)| flatten(&join(&index.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let to_text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
            pairs.insert(path.to_owned(), items.iter().map(to_text).collect::<Vec<_>>().join(","));
        }
        Value::String(text) => {
            pairs.insert(path.to_owned(), text.clone());
        }
        other => {
            pairs.insert(path.to_owned(), other.to_string());
        }
    }
}

/// The complete configuration of one sidecar.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the sidecar.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the operators' interface, if there is one.
    pub operator: Option<SocketAddr>,
    /// File that describes the fleet, if this sidecar takes part in one.
    pub fleet: Option<PathBuf>,
    /// Seed of the random number generator; written as hex digits.
    pub seed: u64,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of connections to nodes.
    pub max_upstreams: usize,
    /// Number of clients whose connections may wait to be accepted. Their unread bytes count as memory.
    pub max_waiting_clients: usize,
    /// The node list as this sidecar last knew it, if any; written as `known`.
    pub known_nodes: Option<NodeListUpdate>,
    /// Settings of the service.
    pub service: ServiceSettings,
    /// File that the configuration was read from, if any; it is read again on SIGHUP.
    pub file: Option<String>,
}

impl Config {
    /// Reads the file named by `RELAY_CONFIG`. The other environment variables override it where they are set.
    ///
    /// # Errors
    ///
    /// Returns the first variable or key that is missing or invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let env = |key: &str| std::env::var(key).ok().filter(|v| !v.is_empty());
        let Some(path) = env("RELAY_CONFIG") else { return invalid("RELAY_CONFIG", "is not set") };
        let from_variable = |variable| env(variable).map(Value::String);
        let overrides = [
            ("name", from_variable("RELAY_NAME")),
            ("listen", from_variable("RELAY_LISTEN")),
            ("discovery", from_variable("RELAY_DISCOVERY")),
            ("operator", from_variable("RELAY_OPERATOR")),
        ];
        Config::read(path, overrides)
    }

    /// Reads the configuration file again. Its address of discovery takes precedence over the environment, which
    /// cannot change while the program runs; the sidecar's name and address do not change.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing or invalid.
    pub fn reload(file: &str, name: &str, listen: SocketAddr) -> Result<Config, ConfigError> {
        let text = |value: String| Some(Value::String(value));
        Config::read(file.to_owned(), [("name", text(name.to_owned())), ("listen", text(listen.to_string()))])
    }

    fn read<const N: usize>(
        path: String,
        overrides: [(&str, Option<Value>); N],
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(&path)
            .or_else(|e| invalid("RELAY_CONFIG", format!("cannot read '{path}': {e}")))?;
        let mut file: Value = serde_json::from_str(&text)
            .or_else(|e| invalid("RELAY_CONFIG", format!("is not JSON: {e}, in '{path}'")))?;
        if !file.is_object() {
            return invalid("RELAY_CONFIG", format!("should hold a JSON object, in '{path}'"));
        }
        for (key, value) in overrides {
            if let Some(value) = value {
                file[key] = value;
            }
        }
        Ok(Config { file: Some(path), ..Config::from_json(&file)? })
    }

    /// Parses the configuration from JSON.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing or invalid.
    pub fn from_json(file: &Value) -> Result<Config, ConfigError> {
        let text = |key: &str| match file[key].as_str() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => invalid(key, "is missing, empty or not text"),
        };
        let address = |key: &str| {
            let value = text(key)?;
            value.parse().or_else(|_| invalid(key, format!("should be address:port, is '{value}'")))
        };
        let seed = match &file["seed"] {
            Value::Null => 0,
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .or_else(|_| invalid("seed", format!("should be hex digits, is '{hex}'")))?,
            other => other
                .as_u64()
                .map_or_else(|| invalid("seed", format!("should be hex digits, is {other}")), Ok)?,
        };
        let limit = |key: &str, default: u64| match &file["limits"][key] {
            Value::Null => Ok(default as usize),
            v => match v.as_u64() {
                Some(n) if n > 0 => Ok(n as usize),
                _ => invalid(&format!("limits.{key}"), format!("should be a whole number above 0, is {v}")),
            },
        };
        let sockets = limit("sockets", 1024)?;
        let memory_mb = limit("memory_mb", 192)?;
        // Connections get at most half of the memory, so that the sidecar is not killed for exceeding its
        // limit.
        let max_by_memory = memory_mb * 512 / MAX_CONNECTION_KIB;
        let connections = sockets.saturating_sub(RESERVED_DESCRIPTORS).min(max_by_memory);
        if connections < 4 {
            return invalid(
                "limits",
                format!("leave no room for connections: {sockets} sockets, {memory_mb} MB"),
            );
        }
        let known_nodes = match &file["known"] {
            Value::Null => None,
            list => Some(
                NodeListUpdate::parse(list)
                    .map_err(|problem| ConfigError { key: "known".to_owned(), problem })?,
            ),
        };
        let service = ServiceSettings::from_json(&file["settings"])?;
        let operator = match &file["operator"] {
            Value::Null => None,
            _ => Some(address("operator")?),
        };
        let fleet = match &file["fleet"] {
            Value::Null => None,
            _ => Some(PathBuf::from(text("fleet")?)),
        };
        Ok(Config {
            name: text("name")?.to_owned(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            operator,
            fleet,
            seed,
            max_waiting_clients: max_by_memory,
            max_clients: connections / 2,
            max_upstreams: connections - connections / 2,
            known_nodes,
            service,
            file: None,
        })
    }
}

/// A node list entry whose zone is still a name.
#[derive(Clone, Debug)]
pub struct UnresolvedEntry {
    /// The entry; its zone is not set yet.
    pub entry: EndpointEntry,
    /// Name of the entry's zone.
    pub zone_name: String,
}

impl Names {
    /// Sets the zone ids of node list entries.
    pub fn resolve_zones(&mut self, entries: &[UnresolvedEntry]) -> Vec<EndpointEntry> {
        entries
            .iter()
            .map(|unresolved| EndpointEntry { zone: self.zone_id(&unresolved.zone_name), ..unresolved.entry })
            .collect()
    }
}

/// Returns the line number of the file `path` at which the key of `error` stands, as precisely as it can be
/// told: for invalid JSON, the line at which the parser stopped; otherwise the line that contains the last
/// part of the key, or the Nth such line for a key in the Nth item of a list. Returns 0 if neither is found.
pub fn error_line(path: &str, error: &ConfigError) -> usize {
    if let Some(at) = error.problem.find(" at line ") {
        return error.problem[at + 9..].split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    }
    let Ok(text) = std::fs::read_to_string(path) else { return 0 };
    let parts: Vec<&str> = error.key.split('.').collect();
    let Some(last) = parts.iter().rev().find(|p| p.parse::<usize>().is_err()) else { return 0 };
    let item = parts.iter().rev().find_map(|p| p.parse::<usize>().ok()).unwrap_or(0);
    let quoted = format!("\"{last}\"");
    let mut lines = text.lines().enumerate().filter(|(_, l)| l.contains(&quoted)).map(|(n, _)| n + 1);
    let first = lines.clone().next().unwrap_or(0);
    lines.nth(item).unwrap_or(first)
}

#[cfg(test)]
mod tests;

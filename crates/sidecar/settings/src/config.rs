//! The one place where configuration is read, checked and given defaults.
//!
//! A sidecar is told its settings as nested JSON, the simulator's host as `path=value` pairs. Both are
//! brought into the form of pairs and go through the same checks.

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

/// Descriptors kept free for standard streams, the poller, signals, the gate and discovery.
const SPARE_SOCKETS: usize = 24;
/// What one connection may cost at most: a buffer and a little beside it, in KiB.
const CONNECTION_KIB: usize = 96;
/// Classes, retired ones among them, that the settings of one run may come to. Guards against a table that
/// grows with each reload without end.
const MOST_CLASSES: usize = 256;

/// A key of the configuration and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn wrong<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}

/// The names that the settings give, by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
    zones: Vec<String>,
}

impl Names {
    /// The number of a zone; a new name gets a new number.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|z| z == name);
        ZoneId(known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        }))
    }

    /// The tenant of a request: `None` where the site has none, an error where the name is unknown.
    ///
    /// # Errors
    ///
    /// Returns the name that is not in the settings.
    pub fn tenant_id(&self, name: Option<&str>) -> Result<Option<TenantId>, String> {
        let Some(name) = name.filter(|_| !self.tenants.is_empty()) else { return Ok(None) };
        let known = self.tenants.iter().position(|t| t == name);
        known.map(|t| Some(TenantId(t))).ok_or_else(|| name.to_owned())
    }
}

/// The settings as the module takes them, and what the program round it needs beside.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// For the decision module.
    pub settings: Settings,
    /// Names by position.
    pub names: Names,
    /// The longest time that a client of each class waits.
    pub deadlines: Vec<f64>,
    /// A node closes a connection that has been idle for so long.
    pub node_idle_timeout: f64,
    /// How late a final answer may come.
    pub answer_slack: f64,
    /// Most open requests.
    pub max_open_requests: usize,
    /// The tier's name, for the log.
    pub tier: String,
}

/// `path=value` pairs of the settings.
struct Pairs(BTreeMap<String, String>);

impl Pairs {
    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|v| *v != "-" && !v.is_empty())
    }

    fn get<T: FromStr>(&self, key: &str, default: T) -> Result<T, ConfigError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        text.parse().or_else(|_| wrong(key, format!("has the value '{text}'")))
    }

    /// A span that the program itself uses: finite and not negative.
    fn span(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        let value = self.get(key, default)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        wrong(key, "should be finite and not negative")
    }

    fn flag(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        match self.text(key) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => wrong(key, format!("should be true or false, is '{other}'")),
        }
    }

    fn list(&self, key: &str) -> Vec<String> {
        self.text(key).map(|v| v.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }

    fn class(&self, at: usize) -> Result<(String, Class, f64), ConfigError> {
        let key = |k: &str| format!("Classes.{at}.{k}");
        let d = Class::default();
        let scope = match self.text(&key("DedupScope")) {
            Some("all") | None => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            Some(other) => return wrong(&key("DedupScope"), format!("unknown repeat scope '{other}'")),
        };
        let idempotency = match self.text(&key("Idempotency")) {
            Some("read_like") => Idempotency::Idempotent,
            Some("idempotency_key") => {
                Idempotency::Keyed { scope, window: self.get(&key("RepeatWindow"), 0.0)? }
            }
            Some("non_idempotent") | None => Idempotency::NonIdempotent,
            Some(other) => return wrong(&key("Idempotency"), format!("unknown repeat rule '{other}'")),
        };
        let name = self.text(&key("Name")).map(str::to_owned);
        let name = name.map_or_else(|| wrong(&key("Name"), "is missing"), Ok)?;
        if let Some(text) = self.text(&key("GiveUp")) {
            // A deadline of nothing would refuse every request of the class.
            if !text.parse::<f64>().is_ok_and(|g| g.is_finite() && g > 0.0) {
                return wrong(&key("GiveUp"), format!("should be a positive number of seconds, is '{text}'"));
            }
        }
        let class = Class {
            latency_target: self.get(&key("Aim"), self.get(&key("GiveUp"), d.latency_target)?)?,
            latency_target_per_work: self.get(&key("AimStretch"), d.latency_target_per_work)?,
            value: self.get(&key("Gain"), d.value)?,
            late_value: self.get(&key("LateValue"), d.late_value)?,
            idempotency,
        };
        let deadlines = self.span(&key("GiveUp"), class.latency_target.max(0.0))?;
        Ok((name, class, deadlines))
    }
}

impl ServiceSettings {
    /// The settings of a later generation, laid over these: a class that is the same keeps its position, a
    /// changed or new one comes at the end, and one that is no longer named is retired (its name is left
    /// empty), so that requests already taken keep the rules that they came under. The tick stays.
    ///
    /// # Errors
    ///
    /// Fails where the classes of the run would come to more than 256.
    pub fn reloaded_with(&self, new: ServiceSettings) -> Result<ServiceSettings, ConfigError> {
        let mut merged = self.clone();
        let same = |at: usize, old: usize| {
            new.settings.classes[at] == self.settings.classes[old] && new.deadlines[at] == self.deadlines[old]
        };
        let kept: Vec<Option<usize>> = (0..new.names.classes.len())
            .map(|at| {
                self.names
                    .classes
                    .iter()
                    .position(|n| *n == new.names.classes[at])
                    .filter(|&old| same(at, old))
            })
            .collect();
        for (old, name) in merged.names.classes.iter_mut().enumerate() {
            if !kept.contains(&Some(old)) {
                name.clear();
            }
        }
        for (at, kept) in kept.iter().enumerate() {
            if kept.is_none() {
                merged.names.classes.push(new.names.classes[at].clone());
                merged.settings.classes.push(new.settings.classes[at].clone());
                merged.deadlines.push(new.deadlines[at]);
            }
        }
        if merged.settings.classes.len() > MOST_CLASSES {
            return wrong(
                "settings.Classes",
                format!("would bring the classes of this run to over {MOST_CLASSES}; restart to take them"),
            );
        }
        let classes = std::mem::take(&mut merged.settings.classes);
        merged.settings = Settings { classes, tick: self.settings.tick, ..new.settings };
        merged.names.tenants = new.names.tenants;
        (merged.node_idle_timeout, merged.answer_slack, merged.max_open_requests) =
            (new.node_idle_timeout, new.answer_slack, new.max_open_requests);
        Ok(merged)
    }

    /// The deadlines of the classes that new requests may name.
    pub fn active_deadlines(&self) -> impl Iterator<Item = f64> + '_ {
        self.names.classes.iter().zip(&self.deadlines).filter(|(name, _)| !name.is_empty()).map(|(_, d)| *d)
    }

    /// The position of a class that new requests may name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|c| !c.is_empty() && c == name)
    }

    /// Reads settings given as `path=value` pairs. Unknown keys are skipped, absent ones get defaults.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong.
    pub fn from_pairs(pairs: &[&str]) -> Result<ServiceSettings, ConfigError> {
        let mut map = BTreeMap::new();
        for pair in pairs.iter().filter(|p| !p.is_empty() && **p != "-") {
            let Some((key, value)) = pair.split_once('=') else {
                return wrong(pair, "a setting should be path=value");
            };
            map.insert(key.to_owned(), value.to_owned());
        }
        ServiceSettings::read(&Pairs(map))
    }

    /// Reads settings given as nested JSON.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong.
    pub fn from_json(value: &Value) -> Result<ServiceSettings, ConfigError> {
        if !value.is_object() {
            return wrong("settings", "should be an object");
        }
        let mut map = BTreeMap::new();
        flatten("", value, &mut map);
        ServiceSettings::read(&Pairs(map))
            .map_err(|e| ConfigError { key: format!("settings.{}", e.key), ..e })
    }

    fn read(p: &Pairs) -> Result<ServiceSettings, ConfigError> {
        let mut names = Names { zones: p.list("Dcs"), ..Names::default() };
        let zone = names.zone_id(p.text("Az").unwrap_or(""));
        let (mut classes, mut deadlines, mut tenants) = (Vec::new(), Vec::new(), Vec::new());
        for at in 0..p.get("Classes.count", 0)? {
            let (name, class, longest) = p.class(at)?;
            names.classes.push(name);
            classes.push(class);
            deadlines.push(longest);
        }
        for at in 0..p.get("Tenants.count", 0)? {
            names.tenants.push(p.text(&format!("Tenants.{at}.Name")).unwrap_or("").to_owned());
            let allowance_per_s = p.get(&format!("Tenants.{at}.AllowancePerS"), f64::INFINITY)?;
            tenants.push(Tenant { quota_per_s: allowance_per_s });
        }
        let fields = p.list("Report.Fields");
        let reported = |field| fields.iter().any(|f| f == field);
        let d = Settings::default();
        let settings = Settings {
            instances: p.get("Balancers", d.instances)?,
            rank: p.get("Rank", d.rank)?,
            classes,
            tenants,
            over_quota_value: p.get("OverShareWorth", d.over_quota_value)?,
            value_by_work: p.text("CountedBy") == Some("work"),
            zone,
            price_cross_zone: p.get("Deductions.CrossZone", d.price_cross_zone)?,
            price_health_check: p.get("Deductions.Probe", d.price_health_check)?,
            list_by_subscription: p.text("RegistryMode") == Some("ask"),
            list_validity: p.get("Rules.AskEvery", d.list_validity)?,
            reports_in_answers: p.text("Report.Source").is_none_or(|s| s == "piggyback"),
            reports_concurrency: reported("active"),
            reports_queue: reported("active") && reported("waiting"),
            allow_health_checks: p.flag("Limits.Probes", d.allow_health_checks)?,
            allow_cancel: p.flag("Limits.Cancel", d.allow_cancel)?,
            allow_concurrent_attempts: p.flag("Limits.MayDuplicate", d.allow_concurrent_attempts)?,
            max_attempts: p.get("Limits.AttemptsCap", d.max_attempts)?,
            send_retry_after: p.flag("Limits.RetryAfter", d.send_retry_after)?,
            max_retry_after: p.get("Limits.MaxRetryAfter", d.max_retry_after)?,
            connect_timeout: p.get("Limits.ConnectTimeout", d.connect_timeout)?,
            drain_grace: p.get("Rules.DrainGrace", d.drain_grace)?,
            slow_start_capacity: p.get("Rules.ColdFrom", d.slow_start_capacity)?,
            slow_start_duration: p.get("Rules.WarmWithin", d.slow_start_duration)?,
            overload_factor: p.get("Rules.OverloadFactor", d.overload_factor)?,
            overload_window: p.get("Rules.Fall", d.overload_window)?,
            tick: p.get("Tick", d.tick)?,
        };
        if let Err(e) = settings.validate() {
            return wrong(&format!("setting {}", e.name), e.problem);
        }
        let layer: usize = p.get("Layer", 0)?;
        Ok(ServiceSettings {
            settings,
            names,
            deadlines,
            node_idle_timeout: p.span("Limits.ConnIdle", 30.0)?,
            answer_slack: p.span("Rules.AnswerSlack", 0.02)?,
            max_open_requests: p.get("Limits.MaxOpen", usize::MAX)?,
            tier: p.list("Layers").get(layer).cloned().unwrap_or_else(|| layer.to_string()),
        })
    }
}

/// Nested JSON as pairs: plain lists joined by commas, lists of objects as a count and their items.
fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(key, v)| flatten(&below(key), v, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, v)| flatten(&below(&at.to_string()), v, into));
        }
        Value::Array(items) => {
            let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
            into.insert(path.to_owned(), items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        Value::String(text) => {
            into.insert(path.to_owned(), text.clone());
        }
        other => {
            into.insert(path.to_owned(), other.to_string());
        }
    }
}

/// Everything that one sidecar is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub operator: Option<SocketAddr>,
    /// The fleet's file, if this sidecar takes part in a fleet.
    pub fleet: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// Most connections to callers.
    pub max_clients: usize,
    /// Most connections to nodes.
    pub max_upstreams: usize,
    /// The node list as this sidecar last had it.
    pub known_nodes: Option<NodeListUpdate>,
    /// The settings.
    pub service: ServiceSettings,
    /// The file that all of this was read from, if any; it is read again at SIGHUP.
    pub file: Option<String>,
}

impl Config {
    /// Reads the file named by `RELAY_CONFIG`; the other variables, where set, go before what it says.
    ///
    /// # Errors
    ///
    /// Names the first variable or key that is missing or wrong.
    pub fn from_env() -> Result<Config, ConfigError> {
        let env = |key: &str| std::env::var(key).ok().filter(|v| !v.is_empty());
        let Some(path) = env("RELAY_CONFIG") else { return wrong("RELAY_CONFIG", "is not set") };
        let given = |variable| env(variable).map(Value::String);
        let over = [
            ("name", given("RELAY_NAME")),
            ("listen", given("RELAY_LISTEN")),
            ("discovery", given("RELAY_DISCOVERY")),
            ("operator", given("RELAY_OPERATOR")),
        ];
        Config::read(path, over)
    }

    /// Reads the file again that this configuration came from. What it says of discovery goes before the
    /// environment, which cannot change while the program runs; its name and address stay as they are.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or wrong.
    pub fn reload(file: &str, name: &str, listen: SocketAddr) -> Result<Config, ConfigError> {
        let text = |value: String| Some(Value::String(value));
        Config::read(file.to_owned(), [("name", text(name.to_owned())), ("listen", text(listen.to_string()))])
    }

    fn read<const N: usize>(path: String, over: [(&str, Option<Value>); N]) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(&path)
            .or_else(|e| wrong("RELAY_CONFIG", format!("cannot read '{path}': {e}")))?;
        let mut file: Value =
            serde_json::from_str(&text).or_else(|e| wrong("RELAY_CONFIG", format!("is not JSON: {e}")))?;
        if !file.is_object() {
            return wrong("RELAY_CONFIG", "should hold a JSON object");
        }
        for (key, value) in over {
            if let Some(value) = value {
                file[key] = value;
            }
        }
        Ok(Config { file: Some(path), ..Config::from_json(&file)? })
    }

    /// Reads the configuration from JSON.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or wrong.
    pub fn from_json(file: &Value) -> Result<Config, ConfigError> {
        let text = |key: &str| match file[key].as_str() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => wrong(key, "is missing or not text"),
        };
        let address = |key: &str| {
            let value = text(key)?;
            value.parse().or_else(|_| wrong(key, format!("should be address:port, is '{value}'")))
        };
        let seed = match &file["seed"] {
            Value::Null => 0,
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .or_else(|_| wrong("seed", format!("should be hex digits, is '{hex}'")))?,
            other => other.as_u64().map_or_else(|| wrong("seed", "should be hex digits"), Ok)?,
        };
        let limit = |key: &str, default: u64| match &file["limits"][key] {
            Value::Null => Ok(default as usize),
            v => match v.as_u64() {
                Some(n) if n > 0 => Ok(n as usize),
                _ => wrong(&format!("limits.{key}"), format!("should be a whole number above 0, is {v}")),
            },
        };
        let sockets = limit("sockets", 1024)?;
        let memory_mb = limit("memory_mb", 192)?;
        // Guards against the kill for memory: half of it at most goes to connections.
        let connections = sockets.saturating_sub(SPARE_SOCKETS).min(memory_mb * 512 / CONNECTION_KIB);
        if connections < 4 {
            return wrong("limits", "leave no room for connections");
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
            max_clients: connections / 2,
            max_upstreams: connections - connections / 2,
            known_nodes,
            service,
            file: None,
        })
    }
}

/// A list line whose zone is still a name.
#[derive(Clone, Debug)]
pub struct UnresolvedEntry {
    /// The line, its zone not yet set.
    pub entry: EndpointEntry,
    /// The name of its zone.
    pub zone_name: String,
}

impl Names {
    /// Gives list lines the zone numbers of these settings.
    pub fn resolve_zones(&mut self, items: &[UnresolvedEntry]) -> Vec<EndpointEntry> {
        items.iter().map(|i| EndpointEntry { zone: self.zone_id(&i.zone_name), ..i.entry }).collect()
    }
}

/// The line of a file on which the key of an error stands, as near as can be told: for a file that is no
/// JSON the line that the reader stopped at; else the line that names the key's last part, the Nth such
/// line for a key in the Nth item of a list. 0 where neither is found.
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

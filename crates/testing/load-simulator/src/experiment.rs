//! Experiment files: their format in TOML, parsing, and validation errors with line and column.

mod check;
mod place;
mod tier;

use crate::random::Form;
use passrelay_load_balancing::{Class, Idempotency, Settings, Tenant, ZoneId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

pub use tier::{Cancel, Discipline, Field, Jam, Kind, Reports, Tier};

use place::{line_and_column, locate, with_nearest};

/// Maximum number of nodes of one run.
pub const MAX_NODES: usize = 200_000;

/// An error in an experiment, with its position if known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentError {
    /// The experiment's file; `None` if it was parsed from a text.
    pub file: Option<String>,
    /// Line and column, both from 1, if they are known.
    pub place: Option<(usize, usize)>,
    /// Description of the error, usually with the key.
    pub problem: String,
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.as_deref().unwrap_or("experiment");
        match self.place {
            Some((line, column)) => write!(f, "{file}:{line}:{column}: {}", self.problem),
            None => write!(f, "{file}: {}", self.problem),
        }
    }
}

impl std::error::Error for ExperimentError {}

/// An experiment: a fleet, the calls to it, and the troubles that it meets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment; by default that of the file.
    pub name: String,
    /// Purpose of the experiment, in one sentence.
    pub about: String,
    /// Seconds during which calls arrive. Calls in progress at the end are still answered.
    pub length_s: f64,
    /// Seconds from the start whose arriving calls are not measured.
    pub warm_up_s: f64,
    /// Seed of all random streams, unless the command line sets one.
    pub seed: u64,
    /// Factor on the number of nodes, the number of first-tier sidecars and the rate of calls.
    pub scale: f64,
    /// The arrival process of calls.
    pub load: Load,
    /// Patience and retries of callers.
    pub callers: Callers,
    /// Message delays and zones.
    pub network: Network,
    /// The service that provides the node lists.
    pub discovery: Discovery,
    /// What sidecars are allowed to do.
    pub limits: Limits,
    /// Parameters of the rules that the observer checks.
    pub rules: Rules,
    /// Weights of the parts of the goal.
    pub goal: Goal,
    /// The tiers, in the order in which calls reach them.
    pub tier: Vec<Tier>,
    /// The classes of calls.
    pub class: Vec<ClassSpec>,
    /// The tenants; if empty, calls belong to no tenant.
    pub tenant: Vec<TenantSpec>,
    /// The faults and load changes of the run.
    pub trouble: Vec<Trouble>,
}

/// The arrival process of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean number of new calls per second, without retries.
    pub rate: f64,
    /// Shape of the rate over time.
    pub shape: Shape,
    /// Relative amplitude of the rate's changes, 0 to 1.
    pub swing: f64,
    /// Period of the rate's changes, in seconds.
    pub period_s: f64,
    /// A CSV file with the columns `at_s`, `class`, `tenant` and `work_ms` (the last two may be empty),
    /// used instead of random arrivals.
    pub captured: Option<String>,
}

/// Shape of the rate of calls over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// A Poisson process of constant rate.
    #[default]
    Steady,
    /// The rate follows a sine wave.
    Waves,
    /// The rate alternates between high and low in each period.
    Bursts,
}

impl Default for Load {
    fn default() -> Self {
        Load { rate: 0.0, shape: Shape::Steady, swing: 0.3, period_s: 20.0, captured: None }
    }
}

/// Patience and retries of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Maximum number of retries of a call.
    pub retries: u32,
    /// Rule for the wait before a retry.
    pub wait: Wait,
    /// The wait in milliseconds, or the first one of an exponential sequence.
    pub wait_ms: f64,
    /// Fraction of callers that wait for as long as a refusal advises.
    pub follow_advice: f64,
    /// Range of the fraction of the class's deadline after which a caller gives up a try, drawn for each call.
    pub patience: [f64; 2],
    /// Whether retries are marked as such to the sidecar.
    pub mark_repeats: bool,
    /// Seconds after which the front layer notices that a sidecar has stopped or restarted.
    pub front_notice_s: f64,
    /// Whether a request to the next tier carries the caller's remaining time. Otherwise it carries the full deadline
    /// of its class.
    pub pass_budget: bool,
}

/// Rule for the wait before a retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wait {
    /// No wait.
    None,
    /// The same wait before each retry.
    #[default]
    Fixed,
    /// The wait doubles with each retry.
    Exponential,
}

impl Default for Callers {
    fn default() -> Self {
        Callers {
            retries: 0,
            wait: Wait::Fixed,
            wait_ms: 200.0,
            follow_advice: 0.5,
            patience: [1.0, 1.0],
            mark_repeats: false,
            front_notice_s: 2.0,
            pass_budget: true,
        }
    }
}

/// Message delays and zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way delay within a zone.
    pub one_way_ms: f64,
    /// Coefficient of variation of the delay.
    pub jitter: f64,
    /// One-way delay between zones.
    pub cross_zone_ms: f64,
    /// Number of zones; nodes and sidecars are assigned to them in turn.
    pub zones: usize,
}

impl Default for Network {
    fn default() -> Self {
        Network { one_way_ms: 0.2, jitter: 0.2, cross_zone_ms: 10.0, zones: 1 }
    }
}

/// The service that provides the node lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Range of the delay in seconds until a node's change is published, drawn for each change.
    pub notice_s: [f64; 2],
    /// Service time of a call; calls are served one after another.
    pub call_ms: f64,
    /// Longest time that a call waits for service; it fails after that.
    pub timeout_ms: f64,
    /// Seconds after which a watch without changes is answered.
    pub watch_s: f64,
    /// Number of changes that are kept. A client that is further behind gets the full list.
    pub history: usize,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { notice_s: [1.3, 4.8], call_ms: 0.5, timeout_ms: 1000.0, watch_s: 20.0, history: 256 }
    }
}

/// What sidecars are allowed to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub duplicates: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether nodes may be probed.
    pub probes: bool,
    /// Longest retry advice in refusals, in seconds; 0 for no advice.
    pub retry_after_s: f64,
    /// Time within which a connection has to be established.
    pub connect_timeout_ms: f64,
    /// Idle time in seconds after which a connection is closed.
    pub conn_idle_s: f64,
    /// Length of a tick; timers fire on whole ticks.
    pub tick_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            attempts: 4,
            duplicates: true,
            cancel: true,
            probes: false,
            retry_after_s: 2.0,
            connect_timeout_ms: 150.0,
            conn_idle_s: 30.0,
            tick_ms: 5.0,
        }
    }
}

/// Parameters of the rules that the observer checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Time after the caller's deadline within which a final answer is still allowed.
    pub answer_slack_ms: f64,
    /// Seconds after which no new request may be sent to a node that is known to drain or to be removed.
    pub drain_grace_s: f64,
    /// A cold node fails if it is sent more than this multiple of its capacity within `fall_s`, plus some slack.
    pub overload_factor: f64,
    /// Window in seconds for `overload_factor`.
    pub fall_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { answer_slack_ms: 20.0, drain_grace_s: 2.5, overload_factor: 3.0, fall_s: 1.5 }
    }
}

/// Weights of the fractions of earned worth in the goal. They need not add up to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Weight of the whole run.
    pub whole: f64,
    /// Weight of the worst 10 s.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal { whole: 0.45, worst_window: 0.15, worst_class: 0.3, worst_tenant: 0.1 }
    }
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of the calls; the shares need not add up to 1.
    pub share: f64,
    /// Mean work over all tiers, for one request at each.
    pub work_ms: f64,
    /// Distribution of the work.
    pub work: Form,
    /// Coefficient of variation of the work, for log-normal and Pareto.
    pub cv: f64,
    /// Coefficient of variation of the work between attempts of one request.
    pub attempt_noise: f64,
    /// Time within which an answer earns its full worth; a later one earns none.
    pub aim_s: f64,
    /// Time after which callers give up a call.
    pub deadline_s: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Whether a request may be executed more than once.
    pub safe: bool,
}

impl Default for ClassSpec {
    fn default() -> Self {
        ClassSpec {
            name: String::new(),
            share: 1.0,
            work_ms: 100.0,
            work: Form::Exponential,
            cv: 1.0,
            attempt_noise: 0.0,
            aim_s: 2.5,
            deadline_s: 6.0,
            worth: 1.0,
            safe: true,
        }
    }
}

/// A tenant, to which calls belong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantSpec {
    /// Name of the tenant.
    pub name: String,
    /// Share of the calls; the shares need not add up to 1.
    pub share: f64,
    /// Calls per second, without retries, that have their full worth.
    pub allowance_per_s: f64,
    /// Fraction of the worth that calls beyond `allowance_per_s` have.
    pub over_worth: f64,
}

impl Default for TenantSpec {
    fn default() -> Self {
        TenantSpec { name: String::new(), share: 1.0, allowance_per_s: f64::INFINITY, over_worth: 0.2 }
    }
}

/// A fault or load change during the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Kind of the trouble.
    pub kind: TroubleKind,
    /// Seconds from the start of the run at which it begins.
    pub from_s: f64,
    /// Duration in seconds.
    #[serde(default = "Trouble::usual_length")]
    pub for_s: f64,
    /// Name of the affected tier; the first one if absent.
    #[serde(default)]
    pub tier: Option<String>,
    /// Fraction of the tier's nodes that are affected, at least one node.
    #[serde(default = "Trouble::usual_part")]
    pub part: f64,
    /// Strength, with the meaning that [`TroubleKind`] gives; a default of the kind if absent.
    #[serde(default)]
    pub size: Option<f64>,
    /// Name of the affected class; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Index of the affected zone.
    #[serde(default)]
    pub zone: usize,
    /// Whether restarted nodes get new ids at their old addresses.
    #[serde(default)]
    pub new_ids: bool,
}

impl Trouble {
    fn usual_length() -> f64 {
        15.0
    }

    fn usual_part() -> f64 {
        0.1
    }

    /// Returns the size, or the default of the kind.
    pub fn size(&self) -> f64 {
        self.size.unwrap_or(match self.kind {
            TroubleKind::Slow => 5.0,
            TroubleKind::FailFast => 0.7,
            TroubleKind::HeavyTail => 0.02,
            TroubleKind::Storm => 3.0,
            TroubleKind::StaleReports | TroubleKind::FalseReports => 0.0,
            _ => 1.0,
        })
    }
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Nodes run `size` times slower.
    Slow,
    /// Nodes fail `size` of their requests at once.
    FailFast,
    /// Nodes report that they are idle, accept requests and never answer.
    Gray,
    /// Nodes become jammed, as if they had held too many requests.
    Jam,
    /// Nodes crash and restart cold when the trouble ends.
    Crash,
    /// Nodes are cut off from the network in both directions.
    Cut,
    /// All nodes and sidecars of a zone are cut off from the other zones.
    ZoneCut,
    /// Nodes keep sending the reports from the beginning of the trouble.
    StaleReports,
    /// Nodes report a utilisation of `size`.
    FalseReports,
    /// All nodes of the tier drain and restart one after another, the last one by the end of the trouble.
    RollingRelease,
    /// The first tier's sidecars stop, and restart when the trouble ends with the node list from the start of the run.
    SidecarRestart,
    /// The discovery service of the tier fails all calls.
    DiscoveryDown,
    /// `size` of a class's requests cost 15 times the usual work.
    HeavyTail,
    /// The rate of calls is multiplied by `size`.
    Storm,
}

impl Experiment {
    /// Reads and validates a file. `over` lists keys and values that override the file's, in the form that [`set`]
    /// takes.
    ///
    /// # Errors
    ///
    /// Returns an error with the file, the position if known, and the problem.
    pub fn read(path: &Path, over: &[(String, String)]) -> Result<Experiment, ExperimentError> {
        let file = path.display().to_string();
        let named = |e: ExperimentError| ExperimentError { file: Some(file.clone()), ..e };
        let text = std::fs::read_to_string(path).map_err(|e| {
            let problem = format!("cannot be read: {e}");
            ExperimentError { file: Some(file.clone()), place: None, problem }
        })?;
        let mut experiment = Experiment::parse_with(&text, over).map_err(named)?;
        if experiment.name.is_empty() {
            experiment.name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        }
        if let Some(captured) = &experiment.load.captured {
            // The path is relative to the experiment's file, not to the working directory.
            let beside = path.parent().unwrap_or(Path::new(".")).join(captured);
            experiment.load.captured = Some(beside.display().to_string());
        }
        Ok(experiment)
    }

    /// Parses and validates a text.
    ///
    /// # Errors
    ///
    /// Returns an error with the position if known, and the problem.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        Experiment::parse_with(text, &[])
    }

    fn parse_with(text: &str, over: &[(String, String)]) -> Result<Experiment, ExperimentError> {
        let fault = |problem: String, place| ExperimentError { file: None, place, problem };
        let placed = |e: toml::de::Error| {
            let place = e.span().map(|s| line_and_column(text, s.start));
            fault(with_nearest(e.message()), place)
        };
        let mut experiment: Experiment = toml::from_str(text).map_err(placed)?;
        if !over.is_empty() {
            let mut table: toml::Table = text.parse().map_err(placed)?;
            for (path, value) in over {
                set(&mut table, path, value).map_err(|problem| fault(problem, None))?;
            }
            experiment =
                table.try_into().map_err(|e: toml::de::Error| fault(with_nearest(e.message()), None))?;
        }
        if experiment.scale == 0.0 {
            experiment.scale = 1.0;
        }
        if experiment.length_s == 0.0 {
            experiment.length_s = 60.0;
        }
        experiment
            .check()
            .map_err(|(path, problem)| fault(format!("{path}: {problem}"), locate(text, &path)))?;
        Ok(experiment)
    }

    /// Returns the index of the tier that a trouble affects.
    pub fn tier_of(&self, trouble: &Trouble) -> usize {
        let name = trouble.tier.as_deref();
        name.and_then(|n| self.tier.iter().position(|t| t.name == n)).unwrap_or(0)
    }

    /// Returns a number of nodes or sidecars at the experiment's scale; at least 1 unless `count` is 0.
    pub fn scaled(&self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            ((count as f64 * self.scale).round() as usize).max(1)
        }
    }

    /// Returns the decision module's settings for a sidecar in front of a tier.
    pub fn settings(&self, tier: usize, balancers: usize, rank: usize, zone: usize) -> Settings {
        let (limits, rules) = (&self.limits, &self.rules);
        let cold = self.tier[tier].kind.iter();
        let has = |field| self.tier[tier].report.fields.contains(&field);
        Settings {
            instances: balancers,
            rank,
            classes: self
                .class
                .iter()
                .map(|c| Class {
                    latency_target: c.aim_s,
                    value: c.worth,
                    idempotency: if c.safe { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
                    ..Class::default()
                })
                .collect(),
            tenants: self.tenant.iter().map(|t| Tenant { quota_per_s: t.allowance_per_s }).collect(),
            over_quota_value: self.tenant.first().map_or(1.0, |t| t.over_worth),
            zone: ZoneId(zone),
            price_health_check: 0.01,
            list_by_subscription: true,
            reports_in_answers: true,
            reports_concurrency: has(Field::Inflight),
            reports_queue: has(Field::Inflight) && has(Field::Queue),
            allow_health_checks: limits.probes,
            allow_cancel: limits.cancel,
            allow_concurrent_attempts: limits.duplicates,
            max_attempts: limits.attempts,
            send_retry_after: limits.retry_after_s > 0.0,
            max_retry_after: limits.retry_after_s,
            connect_timeout: limits.connect_timeout_ms / 1e3,
            drain_grace: rules.drain_grace_s,
            slow_start_capacity: cold.clone().map(|k| k.cold_from).fold(1.0, f64::min),
            slow_start_duration: cold.map(|k| k.cold_s).fold(0.001, f64::max),
            overload_factor: rules.overload_factor,
            overload_window: rules.fall_s,
            tick: limits.tick_ms / 1e3,
            ..Settings::default()
        }
    }
}

/// Sets a key of an experiment. The path has the form `load.rate` or `tier.0.kind.1.count`, or names a list's entry
/// instead of its index, as in `tier.front.kind.slow.count`.
///
/// # Errors
///
/// Returns a message if a part of the path does not exist or the value cannot be parsed.
pub fn set(table: &mut toml::Table, path: &str, value: &str) -> Result<(), String> {
    let parsed: toml::Table = format!("v = {value}")
        .parse()
        .or_else(|_| format!("v = {value:?}").parse())
        .map_err(|_| format!("{path}: '{value}' is not a valid value"))?;
    let value = parsed.get("v").cloned().ok_or_else(|| format!("{path}: there is not a valid value"))?;
    let (above, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut here = table;
    let mut steps = above.split('.').filter(|s| !s.is_empty());
    while let Some(step) = steps.next() {
        let next = here.entry(step).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        here = match next {
            toml::Value::Table(table) => table,
            toml::Value::Array(items) => {
                let which =
                    steps.next().ok_or_else(|| format!("{path}: '{step}' is a list; name an entry"))?;
                let named = |v: &toml::Value| v.get("name").and_then(|n| n.as_str()) == Some(which);
                let at = which.parse().ok().or_else(|| items.iter().position(named));
                at.and_then(|at: usize| items.get_mut(at))
                    .and_then(toml::Value::as_table_mut)
                    .ok_or_else(|| format!("{path}: there is no '{which}' in '{step}'"))?
            }
            _ => return Err(format!("{path}: '{step}' is a value and has no keys")),
        };
    }
    here.insert(last.to_owned(), value);
    Ok(())
}

//! An experiment as its file describes it: TOML, checked, with the place of each fault.

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

/// The most nodes of one run.
pub const MOST_NODES: usize = 200_000;

/// What is wrong with an experiment, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentError {
    /// The file, if there is one.
    pub file: Option<String>,
    /// Line and column, both from 1, where they are known.
    pub place: Option<(usize, usize)>,
    /// What is wrong.
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

/// An experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// What it is called.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long calls come in; what is under way then is still answered.
    pub length_s: f64,
    /// Calls that come in before this time do not count.
    pub warm_up_s: f64,
    /// Seed of all random streams, where the command line names none.
    pub seed: u64,
    /// Multiplies the nodes, the sidecars of the first tier and the rate of calls.
    pub scale: f64,
    /// The arrivals.
    pub load: Load,
    /// How callers behave.
    pub callers: Callers,
    /// Delays and zones.
    pub network: Network,
    /// The service that tells the node lists.
    pub discovery: Discovery,
    /// What a sidecar may do.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// The weights of the goal.
    pub goal: Goal,
    /// The tiers, the one that callers reach first.
    pub tier: Vec<Tier>,
    /// The classes of calls.
    pub class: Vec<ClassSpec>,
    /// Who calls; none: callers have no names.
    pub tenant: Vec<TenantSpec>,
    /// What goes wrong.
    pub trouble: Vec<Trouble>,
}

/// The arrivals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// First tries a second, on average.
    pub rate: f64,
    /// How the rate moves.
    pub shape: Shape,
    /// By how much of itself the rate swings, 0 to 1.
    pub swing: f64,
    /// How long one swing takes.
    pub period_s: f64,
    /// A CSV file with the columns `at_s`, `class`, `tenant` and `work_ms` (the last two may be empty), in place
    /// of drawn arrivals.
    pub captured: Option<String>,
}

/// How the rate of calls moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// A Poisson process of one rate.
    #[default]
    Steady,
    /// The rate follows a sine.
    Waves,
    /// The rate jumps between high and low.
    Bursts,
}

impl Default for Load {
    fn default() -> Self {
        Load { rate: 0.0, shape: Shape::Steady, swing: 0.3, period_s: 20.0, captured: None }
    }
}

/// How callers behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Tries after the first.
    pub retries: u32,
    /// How long a caller waits before another try.
    pub wait: Wait,
    /// The wait, or the first of growing ones.
    pub wait_ms: f64,
    /// The part of callers that stays away for as long as a refusal says.
    pub follow_advice: f64,
    /// A try is given up after this part of the class's deadline, drawn for each caller.
    pub patience: [f64; 2],
    /// Repeats are marked as such.
    pub mark_repeats: bool,
    /// The front notices so late that a sidecar has died or come back.
    pub front_notice_s: f64,
    /// A call carries how much time its caller has left; otherwise its class's whole deadline.
    pub pass_budget: bool,
}

/// How long a caller waits before another try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wait {
    /// Not at all.
    None,
    /// Always the same.
    #[default]
    Fixed,
    /// Twice as long each time.
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

/// Delays and zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way, within a zone.
    pub one_way_ms: f64,
    /// Spread of the delay, as its coefficient of variation.
    pub jitter: f64,
    /// One way, between zones.
    pub cross_zone_ms: f64,
    /// Zones; nodes and sidecars are dealt round them.
    pub zones: usize,
}

impl Default for Network {
    fn default() -> Self {
        Network { one_way_ms: 0.2, jitter: 0.2, cross_zone_ms: 10.0, zones: 1 }
    }
}

/// The service that tells the node lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// It hears so late of what happens to a node, drawn anew each time.
    pub notice_s: [f64; 2],
    /// It takes so long for each answer, one after another.
    pub call_ms: f64,
    /// A call that has waited so long for its turn fails.
    pub timeout_ms: f64,
    /// A watch is answered after this time at the latest.
    pub watch_s: f64,
    /// Changes that it remembers; who asks for older ones gets the whole list.
    pub history: usize,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { notice_s: [1.3, 4.8], call_ms: 0.5, timeout_ms: 1000.0, watch_s: 20.0, history: 256 }
    }
}

/// What a sidecar may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Attempts of one request.
    pub attempts: u32,
    /// Two attempts of one request may be out together.
    pub duplicates: bool,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Refused callers are told when to come again, at most after this; 0: they are not told.
    pub retry_after_s: f64,
    /// A connection has to be up within this time.
    pub connect_timeout_ms: f64,
    /// A connection is closed when it has been idle for so long.
    pub conn_idle_s: f64,
    /// Timers fire on whole ticks.
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

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// A final answer may go out so long after the caller's deadline.
    pub answer_slack_ms: f64,
    /// After this time nothing new may go to a node that is known to drain.
    pub drain_grace_s: f64,
    /// A cold node falls over when it is sent more than this multiple of what it can do...
    pub overload_factor: f64,
    /// ... within this time.
    pub fall_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { answer_slack_ms: 20.0, drain_grace_s: 2.5, overload_factor: 3.0, fall_s: 1.5 }
    }
}

/// The weights of the goal; what they add up to is the whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Of the whole run.
    pub whole: f64,
    /// Of the worst 10 s.
    pub worst_window: f64,
    /// Of the worst-served class.
    pub worst_class: f64,
    /// Of the worst-served tenant.
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
    /// Its name.
    pub name: String,
    /// Its part of the calls; the parts need not add up to 1.
    pub share: f64,
    /// Its mean work over all tiers, for one request of each tier.
    pub work_ms: f64,
    /// How its work is spread.
    pub work: Form,
    /// The coefficient of variation of its work, for log-normal and Pareto.
    pub cv: f64,
    /// Spread between two attempts of the same request.
    pub attempt_noise: f64,
    /// An answer within this time has its whole worth, a later one none.
    pub aim_s: f64,
    /// Callers wait so long.
    pub deadline_s: f64,
    /// What an answer is worth.
    pub worth: f64,
    /// It may run again.
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

/// Who calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the calls; the parts need not add up to 1.
    pub share: f64,
    /// First tries a second that are worth their whole worth; what comes beyond is worth `over_worth` of it.
    pub allowance_per_s: f64,
    /// See `allowance_per_s`.
    pub over_worth: f64,
}

impl Default for TenantSpec {
    fn default() -> Self {
        TenantSpec { name: String::new(), share: 1.0, allowance_per_s: f64::INFINITY, over_worth: 0.2 }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What it is.
    pub kind: TroubleKind,
    /// When it begins.
    pub from_s: f64,
    /// How long it lasts.
    #[serde(default = "Trouble::usual_length")]
    pub for_s: f64,
    /// The tier that it strikes, by name; the first if there is none.
    #[serde(default)]
    pub tier: Option<String>,
    /// The part of the tier's nodes, at least one.
    #[serde(default = "Trouble::usual_part")]
    pub part: f64,
    /// How strong it is; what that means stands at each kind.
    #[serde(default)]
    pub size: Option<f64>,
    /// The class that it strikes, by name; all if there is none.
    #[serde(default)]
    pub class: Option<String>,
    /// The zone that it strikes.
    #[serde(default)]
    pub zone: usize,
    /// Nodes that come back do so under new ids, at the old addresses.
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

    /// The size, or what is usual for the kind.
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

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Nodes run `size` times slower.
    Slow,
    /// Nodes fail `size` of their requests at once.
    FailFast,
    /// Nodes report that they are idle, take requests and never answer.
    Gray,
    /// Nodes are jammed as if they had been crowded.
    Jam,
    /// Nodes die; they come back cold when the trouble ends.
    Crash,
    /// Nodes are cut off: nothing reaches them and nothing comes back.
    Cut,
    /// All nodes and sidecars of a zone are cut off from the other zones.
    ZoneCut,
    /// Nodes report what they reported when it began.
    StaleReports,
    /// Nodes report a utilisation of `size`.
    FalseReports,
    /// Nodes of the tier drain and restart one after another, so that the last is back at the end.
    RollingRelease,
    /// The first tier's sidecars die and come back when the trouble ends, with the list that they had at the
    /// start.
    SidecarRestart,
    /// Discovery is down.
    DiscoveryDown,
    /// `size` of a class's requests cost 15 times the usual work.
    HeavyTail,
    /// `size` times as many calls come in.
    Storm,
}

impl Experiment {
    /// Reads and checks a file; keys may be set beside it, as [`set`] takes them.
    ///
    /// # Errors
    ///
    /// Names the file, the place and what is wrong.
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
            // Beside the experiment, wherever the command is started.
            let beside = path.parent().unwrap_or(Path::new(".")).join(captured);
            experiment.load.captured = Some(beside.display().to_string());
        }
        Ok(experiment)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// Names the place and what is wrong.
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

    /// Position of the tier that a trouble strikes.
    pub fn tier_of(&self, trouble: &Trouble) -> usize {
        let name = trouble.tier.as_deref();
        name.and_then(|n| self.tier.iter().position(|t| t.name == n)).unwrap_or(0)
    }

    /// A number of nodes or sidecars at this experiment's scale.
    pub fn scaled(&self, count: usize) -> usize {
        if count == 0 {
            0
        } else {
            ((count as f64 * self.scale).round() as usize).max(1)
        }
    }

    /// What a sidecar in front of this tier is told.
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

/// Sets a key of an experiment, given as a path: `load.rate`, `tier.0.kind.1.count`, or with the name of a
/// list's entry in place of its number, `tier.front.kind.slow.count`.
///
/// # Errors
///
/// Says which part of the path is not there, or that the value is none.
pub fn set(table: &mut toml::Table, path: &str, value: &str) -> Result<(), String> {
    let parsed: toml::Table = format!("v = {value}")
        .parse()
        .or_else(|_| format!("v = {value:?}").parse())
        .map_err(|_| format!("{path}: '{value}' is no value"))?;
    let value = parsed.get("v").cloned().ok_or_else(|| format!("{path}: there is no value"))?;
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
            _ => return Err(format!("{path}: '{step}' holds a value, no keys")),
        };
    }
    here.insert(last.to_owned(), value);
    Ok(())
}

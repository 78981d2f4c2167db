//! Tiers: the properties, faults and load reports of their nodes.

use super::*;

/// A tier of nodes that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tier {
    /// Name of the tier.
    pub name: String,
    /// Number of sidecars, for the first tier only. Each node has a sidecar of its own for the next tier.
    pub sidecars: usize,
    /// Fraction of a call's work done for each request at this tier.
    pub work: f64,
    /// Range of the mean number of calls that a request at the previous tier makes to this one, one after another.
    pub calls: [f64; 2],
    /// Kinds of nodes in the tier.
    pub kind: Vec<Kind>,
    /// Load reports in the tier's answers.
    pub report: Reports,
}

impl Default for Tier {
    fn default() -> Self {
        Tier {
            name: String::new(),
            sidecars: 1,
            work: 1.0,
            calls: [1.0, 1.0],
            kind: Vec::new(),
            report: Reports::default(),
        }
    }
}

/// A kind of node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind.
    pub name: String,
    /// Number of nodes.
    pub count: usize,
    /// Cores of each node.
    pub cores: u32,
    /// Speed of a core; at 1 it does one second of work per second.
    pub speed: f64,
    /// Coefficient of variation of the speed between nodes.
    pub speed_spread: f64,
    /// How requests share the cores.
    pub discipline: Discipline,
    /// Maximum number of requests in progress at once.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are rejected.
    pub waiting: usize,
    /// Number of requests at the node beyond which it becomes less efficient; 0 for never.
    pub crowd_at: f64,
    /// Relative slowdown for each request beyond `crowd_at`.
    pub crowd_cost: f64,
    /// Makes the node slow after it held too many requests for some time; absent for never.
    pub jam: Option<Jam>,
    /// Fraction of its speed that a node has when it starts.
    pub cold_from: f64,
    /// Seconds over which the speed grows linearly from `cold_from` to its full value.
    pub cold_s: f64,
    /// Fraction of requests that fail without any injected fault.
    pub error_rate: f64,
    /// Which work the end of a connection stops.
    pub cancel: Cancel,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Work to accept a connection.
    pub handshake_ms: f64,
    /// Number of round trips to establish a connection.
    pub handshake_trips: f64,
    /// Work to answer a probe.
    pub probe_ms: f64,
}

/// How requests share the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Discipline {
    /// All requests in progress share all cores equally.
    #[default]
    Shared,
    /// Each core works on one request at a time, first come, first served.
    Fifo,
}

/// Which work of a node the end of a connection stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cancel {
    /// No work.
    None,
    /// Requests that wait for a slot.
    #[default]
    Waiting,
    /// Waiting requests and those in progress.
    Running,
}

/// A jam: a node becomes slow after holding too many requests, and stays slow until it has held few for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Jam {
    /// Number of requests per core from which a jam can begin.
    pub at: f64,
    /// Seconds for which `at` has to be reached before the jam begins.
    pub over_s: f64,
    /// Factor by which a jammed node is slower.
    pub slower: f64,
    /// Number of requests per core below which the node can recover.
    pub below: f64,
    /// Seconds for which the load has to stay under `below` before the jam ends.
    pub rest_s: f64,
    /// Maximum duration of a jam in seconds.
    pub most_s: f64,
}

impl Default for Jam {
    fn default() -> Self {
        Jam { at: 6.0, over_s: 2.0, slower: 2.5, below: 0.4, rest_s: 3.0, most_s: 25.0 }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: String::new(),
            count: 1,
            cores: 1,
            speed: 1.0,
            speed_spread: 0.0,
            discipline: Discipline::Shared,
            slots: 30,
            waiting: 2,
            crowd_at: 0.0,
            crowd_cost: 0.0,
            jam: None,
            cold_from: 1.0,
            cold_s: 0.0,
            error_rate: 0.0,
            cancel: Cancel::Waiting,
            connections: 800,
            handshake_ms: 0.0,
            handshake_trips: 2.0,
            probe_ms: 0.15,
        }
    }
}

/// The load reports in a tier's answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// Fields of a report: `util`, `qps`, `inflight`, `queue`. Empty for no reports.
    pub fields: Vec<Field>,
    /// Minimum interval at which a node computes a new report.
    pub period_ms: f64,
    /// Delay until a computed report is sent.
    pub delay_ms: f64,
    /// Standard deviation of the relative noise of utilisation and rate.
    pub noise: f64,
    /// Fraction of answers without a report.
    pub missing: f64,
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Field {
    /// Utilisation of the cores, 0 to 1.
    Util,
    /// Requests served per second.
    Qps,
    /// Requests at the node, waiting ones included.
    Inflight,
    /// Requests that wait for a slot.
    Queue,
}

impl Default for Reports {
    fn default() -> Self {
        Reports {
            fields: vec![Field::Qps, Field::Util],
            period_ms: 180.0,
            delay_ms: 60.0,
            noise: 0.1,
            missing: 0.0,
        }
    }
}

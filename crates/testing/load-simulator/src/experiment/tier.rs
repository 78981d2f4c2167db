//! Tiers: their nodes, how these work and fail, what they report.

use super::*;

/// A tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Sidecars in front of the first tier. Each node of a tier has one of its own for the next.
    pub sidecars: usize,
    /// The part of a call's work that it does for each request.
    pub work: f64,
    /// How many calls a request of the tier above makes to this one, one after another.
    pub calls: [f64; 2],
    /// Its kinds of nodes.
    pub kind: Vec<Kind>,
    /// The load reports in its answers.
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
    /// Its name.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core; 1 does a second's work in a second.
    pub speed: f64,
    /// Spread of the speed between nodes, as its coefficient of variation.
    pub speed_spread: f64,
    /// How requests share the cores.
    pub discipline: Discipline,
    /// Requests in work at one time.
    pub slots: usize,
    /// Requests that wait for a slot; what comes beyond is turned away.
    pub waiting: usize,
    /// Holding more requests than this makes it less efficient; 0: never.
    pub crowd_at: f64,
    /// By this part of its speed for each such request.
    pub crowd_cost: f64,
    /// Turns slow when crowded for some time, if this is given.
    pub jam: Option<Jam>,
    /// A node that has just started has this part of its speed...
    pub cold_from: f64,
    /// ... and all of it after this time, growing evenly.
    pub cold_s: f64,
    /// The part of requests that fails by itself.
    pub error_rate: f64,
    /// What the end of a connection stops.
    pub cancel: Cancel,
    /// Connections that it accepts.
    pub connections: usize,
    /// Work for each new connection.
    pub handshake_ms: f64,
    /// Round trips until a new connection is up.
    pub handshake_trips: f64,
    /// Work for a probe.
    pub probe_ms: f64,
}

/// How requests share the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Discipline {
    /// All at once, in equal parts.
    #[default]
    Shared,
    /// One a core, first come, first served.
    Fifo,
}

/// What the end of a connection stops at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cancel {
    /// Nothing.
    None,
    /// Work that has not begun.
    #[default]
    Waiting,
    /// Also work that runs.
    Running,
}

/// A node that turns slow when crowded and stays so until it has been idle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Jam {
    /// Requests held for each core ...
    pub at: f64,
    /// ... for so long.
    pub over_s: f64,
    /// How many times slower it gets.
    pub slower: f64,
    /// It recovers once it has held fewer than this for each core ...
    pub below: f64,
    /// ... for so long, ...
    pub rest_s: f64,
    /// ... or after this time whatever happens.
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
    /// Which figures they hold: `util`, `qps`, `inflight`, `queue`. None: no reports.
    pub fields: Vec<Field>,
    /// How often a node works them out.
    pub period_ms: f64,
    /// How late they come out.
    pub delay_ms: f64,
    /// Spread of their noise.
    pub noise: f64,
    /// The part of answers that lacks them.
    pub missing: f64,
}

/// A figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Field {
    /// How busy the cores are, 0 to 1.
    Util,
    /// Requests served a second.
    Qps,
    /// Requests held.
    Inflight,
    /// Requests waiting.
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

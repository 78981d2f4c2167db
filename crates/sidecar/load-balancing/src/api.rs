//! The interface of the decision module: settings, events, actions and the ids they use.
//!
//! Times are seconds on the caller's own clock, which only moves forward; spans are seconds too.

use std::fmt;

/// A request, named by the caller; an id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An upstream: one server process slot. A restart keeps the id, a replacement has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Position of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone; equal numbers are the same zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Which upstreams drop a repeated keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every upstream.
    All,
    /// Upstreams in the zone of the first attempt that may have run.
    Zone,
    /// Upstreams in the cell of that attempt.
    Cell,
}

/// What may follow an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Running twice is harmless.
    Safe,
    /// Repeats are dropped within a scope for a time.
    Keyed {
        /// Who drops repeats.
        scope: DedupScope,
        /// For how long after the first attempt that may have run.
        window: f64,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// Whether another attempt may begin so many seconds after the first one that may have run.
    pub fn allows_repeat(self, after: f64) -> bool {
        match self {
            Effect::Safe => true,
            Effect::Keyed { window, .. } => after < window,
            Effect::Unsafe => false,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub aim: f64,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// The worth of one request.
    pub gain: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// A tenant with its allowance over all balancers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second inside its share; infinite when there is no bound.
    pub allowance_per_s: f64,
}

/// Everything told at the start. [`Settings::default`] describes a lone copy with one safe class.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Copies of the balancer in this tier; 1 by default.
    pub balancers: usize,
    /// The number of this copy among them, from 0; 0 by default.
    pub rank: usize,
    /// The classes; one safe class by default.
    pub classes: Vec<Class>,
    /// The tenants; none by default.
    pub tenants: Vec<Tenant>,
    /// Worth, as a part, of a request past its tenant's allowance; 1 by default.
    pub over_share_worth: f64,
    /// Worth counts per unit of work instead of per request; false by default.
    pub worth_by_work: bool,
    /// The zone of this copy; zone 0 by default.
    pub zone: ZoneId,
    /// Price of one attempt in another zone, for each first try; 0 by default.
    pub price_cross_zone: f64,
    /// Price of one probe for each first try; 0 by default.
    pub price_probe: f64,
    /// News of the server list comes only when asked for; false by default.
    pub ask_for_list: bool,
    /// Without news for this long a copy in ask mode counts as informed; 10 by default.
    pub ask_every: f64,
    /// Reports come in answers (false: only in probe results); true by default.
    pub reports_in_answers: bool,
    /// Reports carry the requests an upstream holds; false by default.
    pub reports_held: bool,
    /// ... and how many of these wait, so that a spare worker shows; false by default.
    pub reports_queue: bool,
    /// Probes are allowed; false by default.
    pub probes: bool,
    /// Cancelling an attempt is allowed; false by default.
    pub cancel: bool,
    /// Two attempts of one request may be out together; false by default.
    pub duplicates: bool,
    /// The most attempts of one request; 3 by default.
    pub max_attempts: u32,
    /// Clients are told when to come back; false by default.
    pub retry_after: bool,
    /// The longest such wait that is honoured; 0 by default.
    pub max_retry_after: f64,
    /// A connection not made after this counts as failed; 0.25 by default.
    pub connect_timeout: f64,
    /// Sends to a draining upstream must have stopped after this; 1 by default.
    pub drain_grace: f64,
    /// A cold upstream has at least this part of its capacity; 0.2 by default.
    pub cold_from: f64,
    /// A cold upstream is warm after this; 20 by default.
    pub warm_within: f64,
    /// A cold upstream sent more than this multiple of its capacity falls over; 2 by default.
    pub overload_factor: f64,
    /// The window over which that is counted; 2 by default.
    pub fall: f64,
    /// The shortest time between two batches of events; 0.001 by default.
    pub tick: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            rank: 0,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            zone: ZoneId(0),
            price_cross_zone: 0.0,
            price_probe: 0.0,
            ask_for_list: false,
            ask_every: 10.0,
            reports_in_answers: true,
            reports_held: false,
            reports_queue: false,
            probes: false,
            cancel: false,
            duplicates: false,
            max_attempts: 3,
            retry_after: false,
            max_retry_after: 0.0,
            connect_timeout: 0.25,
            drain_grace: 1.0,
            cold_from: 0.2,
            warm_within: 20.0,
            overload_factor: 2.0,
            fall: 2.0,
            tick: 0.001,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class { aim: 1.0, aim_stretch: 0.0, gain: 1.0, late_value: 0.0, effect: Effect::Safe }
    }
}

impl Settings {
    /// The worth of the dearest class; never 0.
    pub(crate) fn top_gain(&self) -> f64 {
        self.classes.iter().map(|c| c.gain).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// The worth of a class as a part of the dearest one's.
    pub fn worth_part(&self, class: ClassId) -> f64 {
        self.classes.get(class.0).map_or(1.0, |c| c.gain / self.top_gain())
    }

    /// Checks that the settings make sense.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] naming the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad = |name: &'static str, problem: &'static str| Err(SettingsError { name, problem });
        let spans = [
            ("ask_every", self.ask_every),
            ("connect_timeout", self.connect_timeout),
            ("drain_grace", self.drain_grace),
            ("warm_within", self.warm_within),
            ("overload_factor", self.overload_factor),
            ("fall", self.fall),
            ("tick", self.tick),
            ("max_retry_after", self.max_retry_after),
            ("price_cross_zone", self.price_cross_zone),
            ("price_probe", self.price_probe),
        ];
        if self.balancers == 0 {
            return bad("balancers", "must be at least 1");
        }
        if self.classes.is_empty() {
            return bad("classes", "must not be empty");
        }
        if self.max_attempts == 0 {
            return bad("max_attempts", "must be at least 1");
        }
        if let Some((name, _)) = spans.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return bad(name, "must be finite and not negative");
        }
        let shares = [("cold_from", self.cold_from), ("over_share_worth", self.over_share_worth)];
        if let Some((name, _)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return bad(name, "must lie between 0 and 1");
        }
        for c in &self.classes {
            let numbers = [c.aim, c.aim_stretch, c.gain, c.late_value];
            if numbers.iter().any(|v| !v.is_finite() || *v < 0.0) {
                return bad("classes", "aims, gains and late values must be finite and not negative");
            }
            if matches!(c.effect, Effect::Keyed { window, .. } if !window.is_finite() || window < 0.0) {
                return bad("classes", "a repeat window must be finite and not negative");
            }
        }
        if self.tenants.iter().any(|t| t.allowance_per_s.is_nan() || t.allowance_per_s < 0.0) {
            return bad("tenants", "an allowance must not be negative");
        }
        Ok(())
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub name: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.name, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// A load report; a field that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests being handled.
    pub active: Option<f64>,
    /// Requests in the queue.
    pub waiting: Option<f64>,
    /// Part of the CPU in use, 0 to 1.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds.
    pub avg_ms: Option<f64>,
    /// Requests served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub err_rps: Option<f64>,
}

/// What the server list says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Running.
    On,
    /// Finishing its work; nothing new may be sent.
    Fading,
    /// Taken away.
    Off,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell; upstreams of a cell share their memory of keys.
    pub cell: u64,
    /// Its condition.
    pub condition: Condition,
    /// When it last started, if that was not long ago.
    pub started: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Delivered,
    /// An error from the upstream; it may have run.
    AppError,
    /// Rejected unseen; it never ran.
    Shed,
    /// No answer in time; it may have run.
    Expired,
    /// No connection; it never ran.
    DialFailed,
    /// The connection broke; it may have run.
    Dropped,
    /// Withdrawn; it may have run.
    Revoked,
    /// Never dispatched; it never ran.
    Unused,
}

impl Ending {
    /// True when the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Shed | Ending::DialFailed | Ending::Unused)
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The upstream it went to.
    pub upstream: UpstreamId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub elapsed: f64,
    /// The request is over and nothing more is owed.
    pub last: bool,
    /// A load report that came along.
    pub report: Option<Report>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole server list; who is absent has been removed.
    FullList(Vec<Entry>),
    /// Changed entries of the server list.
    ListChanges(Vec<Entry>),
    /// A call for the list failed or the subscription broke.
    ListFailed,
    /// A request came in and is owed one final answer.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// Time until the client gives this try up.
        ttl: f64,
        /// Its work as expected, in seconds, if known.
        work_hint: Option<f64>,
        /// The client says that this is a repeat.
        repeat: bool,
    },
    /// A streamed answer has begun; the attempt is the client's now.
    StreamBegan {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended; one for each [`Action::Send`].
    Outcome(Outcome),
    /// The client is gone; nothing more is owed.
    Gone(RequestId),
    /// A wake-up asked for with [`Action::Wake`].
    Wake(u64),
    /// The result of [`Action::Probe`].
    Probed {
        /// The upstream.
        upstream: UpstreamId,
        /// How the probe ended.
        ending: Ending,
        /// Time since it was sent.
        elapsed: f64,
        /// A load report that came along.
        report: Option<Report>,
    },
}

/// What the caller is to do, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Time-out; `None` until the client gives up.
        patience: Option<f64>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: declined, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away, if that is told.
        retry_after: Option<f64>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Wake`] with this token.
    Wake {
        /// Time from now.
        after: f64,
        /// Handed back as it is.
        token: u64,
    },
    /// Probe an upstream.
    Probe(UpstreamId),
    /// Subscribe to changes of the server list.
    Watch,
}

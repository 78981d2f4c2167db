//! What the policy keeps: plain state, no decisions.

use crate::api::{ClassId, Entry, Report, RequestId, Settings, SettingsError, UpstreamId};
use crate::estimate::{Line, Record};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Calls that a tenant may save up at a copy, however small the copy's share of its allowance.
const SAVED: f64 = 6.0;
/// The mean of calls in flight runs over this many typical times.
const SMOOTH: f64 = 4.0;
/// Part of the way that an upstream's pace goes to that of its latest call, and the mean work to the latest.
const PACE_STEP: f64 = 0.1;
const MEAN_STEP: f64 = 0.02;

/// One server as this copy sees it.
pub struct Upstream {
    pub entry: Entry,
    pub factor: f64,
    /// By class: one tally for all would let a class spend the turns that another has saved up.
    pub tally: Vec<f64>,
    pub refreshed: f64,
    pub calls: u32,
    /// The latest report, when it came, and how many own attempts were out then.
    pub report: Option<(Report, f64, usize)>,
    /// When each own attempt now out was sent, the earliest first.
    pub out: Vec<(RequestId, u32, f64)>,
    /// Their work together, and how long a call takes here for each second that it takes on average.
    pub load: f64,
    pub pace: f64,
    /// When it last answered anything.
    pub heard: f64,
    pub fails: u32,
    /// Connections that broke under a request since the last answer.
    pub breaks: u32,
    pub ejected_until: f64,
    pub suspect_until: f64,
    /// The factor that its reports spoke for on average.
    pub usual: f64,
    /// While cold, no further call before this.
    pub cold_until: f64,
    pub health: f64,
    /// By class: what became of its latest calls.
    pub record: Vec<Record>,
    pub probing: Option<f64>,
    /// Stands aside for now: silent, ejected, or in a zone that is cut off.
    pub shunned: bool,
    /// Among those that this copy keeps to.
    pub home: bool,
}

/// One attempt of a request; `out` until its outcome came, `may_have_run` unless that proved otherwise.
pub struct Attempt {
    pub entry: Entry,
    pub sent: f64,
    pub out: bool,
    pub may_have_run: bool,
    pub withdrawn: bool,
}

pub struct Request {
    pub class: ClassId,
    pub arrived: f64,
    pub aim_at: f64,
    pub deadline: f64,
    pub worth: f64,
    /// Its work as its caller sees it, if told.
    pub work: Option<f64>,
    /// How long it will take; infinite where that is past the time it has, whoever gets it.
    pub needs: f64,
    /// Its class may run again.
    pub safe: bool,
    pub attempts: Vec<Attempt>,
    pub held: bool,
    pub done: bool,
}

impl Upstream {
    /// Requests that it holds: the last report, corrected by own calls sent and answered since.
    pub fn holds(&self) -> Option<f64> {
        let (report, _, out_then) = self.report?;
        let held = report.active.or(report.waiting).filter(|v| v.is_finite())?;
        Some((held + self.out.len() as f64 - out_then as f64).max(self.out.len() as f64))
    }

    /// What has become of its calls of a class: served, and all that came back, as far as not forgotten.
    pub fn served(&self, class: ClassId, now: f64) -> (f64, f64) {
        self.record.get(class.0).map_or((0.0, 0.0), |r| r.at(now))
    }

    /// A call of a class came back, served or not.
    pub fn came_back(&mut self, class: ClassId, now: f64, served: bool) {
        if self.record.len() <= class.0 {
            self.record.resize(class.0 + 1, Record::new(now));
        }
        self.record[class.0].add(now, served);
    }

    /// An attempt of a request goes out to it.
    pub fn sent(&mut self, id: RequestId, attempt: u32, load: f64, now: f64) {
        self.out.push((id, attempt, now));
        self.load += load;
        self.calls += 1;
    }

    /// It has ended.
    pub fn ended(&mut self, id: RequestId, attempt: u32, load: f64) {
        self.out.retain(|(r, n, _)| (*r, *n) != (id, attempt));
        // Nothing out is no load, whatever sums of fractions say.
        self.load = if self.out.is_empty() { 0.0 } else { self.load - load };
    }

    /// A call took so much for each second that it takes on average.
    pub fn learn_pace(&mut self, pace: f64) {
        self.pace += PACE_STEP * (pace.clamp(0.2, 5.0) - self.pace);
    }

    /// An upstream of which nothing is known but its list entry.
    pub fn new(entry: Entry, factor: f64) -> Self {
        Upstream {
            entry,
            factor,
            tally: Vec::new(),
            refreshed: f64::NEG_INFINITY,
            calls: 0,
            report: None,
            out: Vec::new(),
            load: 0.0,
            pace: 1.0,
            heard: f64::NEG_INFINITY,
            fails: 0,
            breaks: 0,
            ejected_until: f64::NEG_INFINITY,
            suspect_until: f64::NEG_INFINITY,
            usual: factor,
            cold_until: f64::NEG_INFINITY,
            health: 1.0,
            record: Vec::new(),
            probing: None,
            shunned: false,
            home: false,
        }
    }
}

/// What is to be known of a request that waits to be sent. Most worth first, among equals the newest.
#[derive(Clone, Copy)]
pub struct Held {
    pub id: RequestId,
    pub class: ClassId,
    pub arrived: f64,
    pub aim_at: f64,
    pub deadline: f64,
    pub worth: f64,
    pub needs: f64,
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> Ordering {
        let worth = other.worth.total_cmp(&self.worth);
        worth.then(other.arrived.total_cmp(&self.arrived)).then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Held {}

impl Request {
    /// What it adds to the load of an upstream: its work, or 1 where that is not told.
    pub fn load(&self) -> f64 {
        self.work.unwrap_or(1.0)
    }

    fn as_held(&self, id: RequestId) -> Held {
        let Request { class, arrived, aim_at, deadline, worth, needs, .. } = *self;
        Held { id, class, arrived, aim_at, deadline, worth, needs }
    }
}

/// Requests by id. Those that wait to be sent stand apart in their order, so that nothing has to be looked through
/// or sorted for each event.
#[derive(Default)]
pub struct Requests {
    all: BTreeMap<RequestId, Request>,
    held: BTreeSet<Held>,
    /// Requests that are owed an answer and may run again.
    pub open_safe: usize,
}

impl Requests {
    /// A new request, which waits to be sent.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.open_safe += usize::from(request.safe);
        self.held.insert(request.as_held(id));
        self.all.insert(id, request);
    }

    pub fn get(&self, id: &RequestId) -> Option<&Request> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.all.get_mut(id)
    }

    /// Those that wait to be sent, in their order.
    pub fn held(&self) -> &BTreeSet<Held> {
        &self.held
    }

    /// It waits to be sent, or no longer does.
    pub fn hold(&mut self, id: RequestId, held: bool) {
        let Some(r) = self.all.get_mut(&id) else { return };
        r.held = held;
        if held && !r.done {
            self.held.insert(r.as_held(id));
        } else {
            self.held.remove(&r.as_held(id));
        }
    }

    /// Nothing more is owed.
    pub fn settle(&mut self, id: RequestId) {
        let Some(r) = self.all.get_mut(&id) else { return };
        self.open_safe -= usize::from(r.safe && !r.done);
        r.done = true;
        self.hold(id, false);
    }

    pub fn remove(&mut self, id: &RequestId) {
        self.settle(*id);
        self.all.remove(id);
    }
}

impl std::ops::Index<&RequestId> for Requests {
    type Output = Request;

    fn index(&self, id: &RequestId) -> &Request {
        &self.all[id]
    }
}

/// A small seeded generator (SplitMix64).
pub struct Rng(pub u64);

impl Rng {
    /// The next number from 0 up to 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The decisions of one balancer copy: a state machine without I/O, driven by the caller's clock.
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) rng: Rng,
    pub(crate) now: f64,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) requests: Requests,
    /// Workers an upstream has, learned from reports of those with a queue.
    pub(crate) workers: Option<f64>,
    /// Median time of a served answer, by class, and over all.
    pub(crate) typical: Vec<f64>,
    /// The shortest that the median has lately been, by class: it has to grow past that before it tells of queues.
    pub(crate) quickest: Vec<f64>,
    /// By class: how long a call takes by the work that its caller tells.
    pub(crate) times: Vec<Line>,
    /// Mean work of the calls whose callers tell it.
    pub(crate) mean_work: Option<f64>,
    pub(crate) median: f64,
    /// When warm upstreams served a call within the last window of `Settings::fall`, and how many each did.
    pub(crate) served_at: VecDeque<f64>,
    pub(crate) warm_serves: f64,
    /// Requests in flight that this copy may have where workers are unknown.
    pub(crate) limit: f64,
    /// Upstreams that could be sent to when the limit was last set or scaled.
    pub(crate) able: f64,
    pub(crate) last_cut: f64,
    /// Copies that keep to an upstream, this one among them.
    pub(crate) copies: f64,
    /// Mean of own calls in flight, and when it was reckoned.
    pub(crate) load: f64,
    pub(crate) load_at: f64,
    pub(crate) retry_tokens: f64,
    /// Probes that may be sent at once.
    pub(crate) probe_tokens: f64,
    pub(crate) last_probe: f64,
    pub(crate) allowance: Vec<(f64, f64)>,
    pub(crate) list_waits: u32,
    pub(crate) next_wake: f64,
}

impl Balancer {
    /// A new copy. `seed` sets it apart from other copies; `now` starts its clock.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings make no sense.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer {
            typical: vec![0.0; settings.classes.len()],
            quickest: vec![f64::INFINITY; settings.classes.len()],
            times: vec![Line::default(); settings.classes.len()],
            mean_work: None,
            allowance: settings.tenants.iter().map(|t| (t.allowance_per_s, now)).collect(),
            rng: Rng(seed),
            now,
            upstreams: BTreeMap::new(),
            requests: Requests::default(),
            workers: None,
            median: 0.0,
            served_at: VecDeque::new(),
            warm_serves: 0.0,
            limit: 0.0,
            able: 0.0,
            last_cut: now,
            copies: 1.0,
            load: 0.0,
            load_at: now,
            retry_tokens: 1.0,
            probe_tokens: 0.0,
            last_probe: now,
            list_waits: 0,
            next_wake: f64::INFINITY,
            set: settings,
        })
    }

    /// Upstreams for each copy: what all copies send together must not grow with their number.
    pub(crate) fn per_copy(&self) -> f64 {
        self.upstreams.len() as f64 / self.set.balancers as f64
    }

    /// Calls in flight as a mean over some typical times, so that a copy's limit may lie under one call.
    pub(crate) fn load(&self) -> f64 {
        self.load * (-(self.now - self.load_at) / (SMOOTH * self.median).max(self.set.tick)).exp()
    }

    /// The part of the calls of a class that was served, over all upstreams.
    pub(crate) fn served(&self, class: ClassId) -> f64 {
        let records = self.upstreams.values().map(|u| u.served(class, self.now));
        let (served, all) = records.fold((3.0, 3.0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
        served / all
    }

    /// Whether a request is inside its tenant's share, of which it then uses up one. A second's allowance may be
    /// saved up.
    pub(crate) fn use_allowance(&mut self, tenant: usize, allowance_per_s: f64) -> bool {
        let rate = allowance_per_s / self.set.balancers as f64;
        let (left, at) = self.allowance[tenant];
        let left = (left + rate * (self.now - at)).min(rate.max(SAVED));
        let inside = left >= 1.0;
        self.allowance[tenant] = (left - f64::from(u8::from(inside)), self.now);
        inside
    }

    /// One more call in flight.
    pub(crate) fn add_load(&mut self) {
        (self.load, self.load_at) = (self.load() + 1.0 / SMOOTH, self.now);
    }

    /// Takes in the work that a caller tells.
    pub(crate) fn learn_work(&mut self, work: f64) {
        let mean = self.mean_work.get_or_insert(work);
        *mean += MEAN_STEP * (work - *mean);
    }

    /// Takes the settings of a later generation. Classes keep their positions, so that requests already
    /// taken keep the rules of their class; a changed class comes under a new position at the end. The
    /// tick stays: the timers already set count in it.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings make no sense or would take classes away.
    pub fn retune(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.validate()?;
        if settings.classes.len() < self.set.classes.len() {
            return Err(SettingsError { name: "classes", problem: "may be added to, not taken away" });
        }
        self.typical.resize(settings.classes.len(), 0.0);
        self.quickest.resize(settings.classes.len(), f64::INFINITY);
        self.times.resize(settings.classes.len(), Line::default());
        // New classes start their turns at a random place, as those of the start did, and no old tally moves.
        let (classes, start) =
            (settings.classes.len(), self.upstreams.values().map(|u| u.factor).fold(1.0, f64::max));
        for u in self.upstreams.values_mut() {
            while u.tally.len() < classes {
                u.tally.push(self.rng.next() * start);
            }
        }
        let now = self.now;
        self.allowance.resize(settings.tenants.len(), (f64::INFINITY, now));
        for (allowance, tenant) in self.allowance.iter_mut().zip(&settings.tenants) {
            allowance.0 = tenant.allowance_per_s;
        }
        self.set = Settings { tick: self.set.tick, ..settings };
        Ok(())
    }
}

//! Model of a node with cores, request slots and a queue, and of everything that slows it down.
//!
//! Work on the cores is tracked in virtual time. Every unit of work that runs gets the same share of the node's
//! speed, so a unit that needs `w` more seconds of work is done once the virtual clock has advanced by `w`. A change
//! of speed or of the number of running units changes only the rate of the virtual clock.

use super::report::{Reporter, Truth};
use crate::experiment::{Cancel, Discipline, Kind, Reports, Rules};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{uniform, Stream, Streams, UnitMean};
use rand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

/// Tolerance in seconds for the rounding of times to whole nanoseconds.
const ROUNDING: f64 = 4e-9;
/// Interval in seconds at which the speed of a cold node is updated.
pub const COLD_UPDATE_S: f64 = 0.1;
/// Work that a cold node takes beyond its overload bound before it fails, in seconds at speed 1 for each core. The
/// slack absorbs random variation, which is large for a bound on few requests.
const COLD_OVERLOAD_SLACK_S: f64 = 0.5;

/// A request at a node.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request and of the attempt.
    pub key: (u64, u32),
    /// Index of the sidecar that sent it, and the number of that sidecar's start.
    pub from: (u32, u32),
    /// Index of its class in the experiment.
    pub class: u16,
    /// Index of its tenant in the experiment.
    pub tenant: u16,
    /// Work of the call over all tiers, in seconds, for one request at each.
    pub work: f64,
    /// Time until which its caller waits.
    pub deadline: Nanos,
    /// Number of the job, unique at this node.
    pub number: u64,
    /// Work between two calls to the next tier, in seconds at speed 1.
    pub piece: f64,
    /// Number of calls to the next tier still to be made.
    pub calls: u32,
    /// Whether it ends in an error.
    pub fails: bool,
    /// Whether it waits for a slot.
    pub waits: bool,
}

/// A unit of work that runs on the cores.
#[derive(Clone, Copy)]
struct Running {
    /// Virtual time at which it is done.
    end: f64,
    number: u64,
    /// Index of its job; `None` for connection setup and probes.
    job: Option<usize>,
}

impl Ord for Running {
    fn cmp(&self, other: &Self) -> Ordering {
        other.end.total_cmp(&self.end).then(other.number.cmp(&self.number))
    }
}

impl PartialOrd for Running {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Running {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Running {}

/// Result of offering a request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Rejected without any work.
    Shed,
    /// Accepted, with its index in [`Node::jobs`]; it waits for a slot or its work has begun.
    Taken(usize),
    /// The request has overloaded the node while it was cold, and the node fails.
    Overloaded {
        /// Whether at least two thirds of the work came from sidecars that had been informed of the node's start.
        informed: bool,
    },
}

/// The faults injected into a node.
#[derive(Clone, Debug, Default)]
pub struct NodeFaults {
    /// Factor by which the node is slower.
    pub slow: Option<f64>,
    /// Share of requests that fail at once, and the class that this affects; `None` for all classes.
    pub fails: Option<(f64, Option<u16>)>,
    /// Whether the node accepts requests and never answers them.
    pub gray: bool,
    /// Whether the node is cut off from the network in both directions.
    pub cut: bool,
}

/// Lifecycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Up,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Its process does not run.
    Down,
}

/// A simulated node.
pub struct Node {
    /// Index of its tier in the experiment.
    pub tier: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Address on which it listens; a successor may take it over.
    pub address: u32,
    /// Properties that it shares with the nodes of its kind.
    pub kind: Kind,
    /// Speed of each core when warm and without faults.
    pub speed: f64,
    /// Lifecycle state.
    pub state: State,
    /// Number of its current process; connections opened to an earlier one are dead.
    pub life: u32,
    /// When it last started; `None` if that was before the run.
    pub started_at: Option<Nanos>,
    /// Faults injected now.
    pub faults: NodeFaults,
    /// Index of its sidecar for calls to the next tier, if any.
    pub sidecar: Option<u32>,
    /// Number of open connections.
    pub connections: usize,
    /// Accepted requests that are not finished.
    pub jobs: Slab<Job>,
    /// Keys of requests that got a slot after waiting, until the observer has been informed.
    pub newly_begun: Vec<(u64, u32)>,
    /// Core seconds used at the last sample of utilisation.
    pub busy_at_sample: f64,
    by_key: FxHashMap<(u64, u32), usize>,
    waiting: VecDeque<usize>,
    in_slots: usize,
    running: BinaryHeap<Running>,
    /// Jobs with their work that wait for a core, for the FIFO discipline.
    ready: VecDeque<(usize, f64)>,
    virtual_now: f64,
    updated_at: Nanos,
    /// Number of the latest completion event; events with an older number are ignored.
    pub generation: u64,
    last_number: u64,
    crowded_since: Option<Nanos>,
    calm_since: Option<Nanos>,
    jammed_at: Option<Nanos>,
    /// Work that arrived while the node was cold: time, amount, and whether its sidecar had been informed of the start.
    cold_work: VecDeque<(Nanos, f64, bool)>,
    cold_sum: f64,
    truth: Truth,
    reporter: Reporter,
    rng: Stream,
}

impl Node {
    /// Creates a warm node. Its speed is drawn, so nodes of one kind differ.
    pub fn new(
        number: u64,
        tier: usize,
        zone: usize,
        kind: &Kind,
        reports: &Reports,
        streams: &Streams,
    ) -> Node {
        let mut rng = streams.of("node", number);
        let speed = kind.speed * UnitMean::noise(kind.speed_spread).draw(&mut rng);
        Node {
            tier,
            zone,
            address: number as u32,
            kind: kind.clone(),
            speed,
            state: State::Up,
            life: 0,
            started_at: None,
            faults: NodeFaults::default(),
            sidecar: None,
            connections: 0,
            jobs: Slab::new(),
            newly_begun: Vec::new(),
            busy_at_sample: 0.0,
            by_key: FxHashMap::default(),
            waiting: VecDeque::new(),
            in_slots: 0,
            running: BinaryHeap::new(),
            ready: VecDeque::new(),
            virtual_now: 0.0,
            updated_at: 0,
            generation: 0,
            last_number: 0,
            crowded_since: None,
            calm_since: None,
            jammed_at: None,
            cold_work: VecDeque::new(),
            cold_sum: 0.0,
            truth: Truth::default(),
            reporter: Reporter::new(reports.clone(), streams.of("report", number)),
            rng,
        }
    }

    /// Returns the number of requests at the node, waiting ones included.
    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether its process runs.
    pub fn is_running(&self) -> bool {
        self.state != State::Down
    }

    /// Returns the fraction of its full speed that it has reached since its start.
    pub fn warm_up_factor(&self, now: Nanos) -> f64 {
        let (Some(started_at), true) = (self.started_at, self.kind.cold_s > 0.0) else { return 1.0 };
        let age = seconds(now.saturating_sub(started_at)) / self.kind.cold_s;
        (self.kind.cold_from + (1.0 - self.kind.cold_from) * age).min(1.0)
    }

    /// Returns the current speed of each core.
    pub fn pace(&self, now: Nanos) -> f64 {
        let over =
            if self.kind.crowd_at > 0.0 { (self.held() as f64 - self.kind.crowd_at).max(0.0) } else { 0.0 };
        let jam = match &self.kind.jam {
            Some(jam) if self.jammed_at.is_some() => jam.slower,
            _ if self.jammed_at.is_some() => 2.5,
            _ => 1.0,
        };
        self.speed * self.warm_up_factor(now)
            / (jam * self.faults.slow.unwrap_or(1.0) * (1.0 + self.kind.crowd_cost * over))
    }

    fn cores(&self) -> f64 {
        f64::from(self.kind.cores)
    }

    /// Returns the rate of the virtual clock.
    fn rate(&self, now: Nanos) -> f64 {
        let n = self.running.len() as f64;
        if n == 0.0 || self.faults.gray {
            return 0.0;
        }
        self.pace(now) * (self.cores() / n).min(1.0)
    }

    /// Advances the virtual clock to `now`. Must be called before any change of the speed or of the running work.
    pub fn catch_up(&mut self, now: Nanos) {
        let passed = seconds(now - self.updated_at);
        if passed > 0.0 {
            let rate = self.rate(self.updated_at);
            self.virtual_now += passed * rate;
            let busy = if rate > 0.0 { (self.running.len() as f64).min(self.cores()) } else { 0.0 };
            self.truth.busy += busy * passed;
        }
        self.updated_at = now;
        if self.running.is_empty() {
            // Keeps the clock small enough that no nanosecond is lost in rounding.
            self.virtual_now = 0.0;
        }
    }

    /// Returns when the next unit of work is done at the current rate, with the generation by which a later change can
    /// invalidate this.
    pub fn next_done(&mut self, now: Nanos) -> Option<(Nanos, u64)> {
        self.generation += 1;
        let rate = self.rate(now);
        let first = self.running.peek().filter(|_| rate > 0.0)?;
        let after = ((first.end - self.virtual_now).max(0.0) / rate * 1e9).ceil();
        // A cold node gets faster while it works, so the rate is updated after a short interval.
        let next_update = if self.warm_up_factor(now) < 1.0 { nanos(COLD_UPDATE_S) } else { Nanos::MAX / 4 };
        Some((now + (after as Nanos).min(next_update), self.generation))
    }

    /// Removes the units of work that are done by `now` and appends their jobs to `into`.
    pub fn done(&mut self, now: Nanos, into: &mut Vec<usize>) {
        self.catch_up(now);
        while self.running.peek().is_some_and(|r| r.end <= self.virtual_now + ROUNDING) {
            if let Some(Running { job: Some(job), .. }) = self.running.pop() {
                into.push(job);
            }
            self.start_ready();
        }
    }

    fn start_ready(&mut self) {
        while self.running.len() < self.kind.cores as usize {
            let Some((job, work)) = self.ready.pop_front() else { return };
            if self.jobs.contains(job) {
                self.run(Some(job), work);
            }
        }
    }

    fn run(&mut self, job: Option<usize>, work: f64) {
        self.last_number += 1;
        self.running.push(Running { end: self.virtual_now + work, number: self.last_number, job });
    }

    /// Starts a job's next piece of work, or queues it if the discipline is FIFO and all cores are busy.
    pub fn start_piece(&mut self, job: usize) {
        let Some(work) = self.jobs.get(job).map(|j| j.piece) else { return };
        let full = self.running.len() >= self.kind.cores as usize;
        if self.kind.discipline == Discipline::Fifo && full {
            self.ready.push_back((job, work));
        } else {
            self.run(Some(job), work);
        }
    }

    /// Adds work that belongs to no request, for a connection or a probe.
    pub fn add_background_work(&mut self, now: Nanos, work: f64) {
        if work > 0.0 && !self.faults.gray {
            self.catch_up(now);
            self.run(None, work);
        }
    }

    /// Accepts or rejects a request. `usual` is the usual work of its class here, so that a single costly request
    /// does not overload a cold node. `informed` is whether its sidecar knows when the node last started.
    pub fn admit(
        &mut self,
        now: Nanos,
        mut job: Job,
        usual: f64,
        informed: bool,
        rules: &Rules,
    ) -> Admission {
        self.catch_up(now);
        if self.add_cold_work(now, usual, informed, rules) {
            let informed_work: f64 = self.cold_work.iter().filter(|w| w.2).map(|w| w.1).sum();
            return Admission::Overloaded { informed: informed_work >= self.cold_sum * 2.0 / 3.0 };
        }
        let full = self.in_slots >= self.kind.slots && self.waiting.len() >= self.kind.waiting;
        if self.state != State::Up || full {
            return Admission::Shed;
        }
        if let Some((share, class)) = self.faults.fails {
            if class.is_none_or(|c| c == job.class) && self.rng.random::<f64>() < share {
                // An injected failure happens after 2 % of the work.
                job.fails = true;
                job.calls = 0;
                job.piece *= 0.02;
            }
        }
        job.fails |= self.kind.error_rate > 0.0 && self.rng.random::<f64>() < self.kind.error_rate;
        self.last_number += 1;
        job.number = self.last_number;
        job.waits = self.in_slots >= self.kind.slots;
        let (key, waits) = (job.key, job.waits);
        let at = self.jobs.insert(job);
        self.by_key.insert(key, at);
        if waits {
            self.waiting.push_back(at);
        } else {
            self.in_slots += 1;
            self.start_piece(at);
        }
        self.update_jam(now);
        Admission::Taken(at)
    }

    /// Adds work that arrives at a cold node. Returns whether the node is overloaded by it.
    fn add_cold_work(&mut self, now: Nanos, work: f64, informed: bool, rules: &Rules) -> bool {
        let warm_up_factor = self.warm_up_factor(now);
        if warm_up_factor >= 1.0 {
            self.cold_work.clear();
            self.cold_sum = 0.0;
            return false;
        }
        self.cold_work.push_back((now, work, informed));
        self.cold_sum += work;
        let from = now.saturating_sub(nanos(rules.fall_s));
        while let Some((_, old, _)) = self.cold_work.front().copied().filter(|w| w.0 < from) {
            self.cold_work.pop_front();
            self.cold_sum -= old;
        }
        let capacity = self.speed * warm_up_factor * self.cores();
        self.cold_sum > rules.overload_factor * capacity * rules.fall_s + COLD_OVERLOAD_SLACK_S * self.cores()
    }

    /// Starts or ends a jam according to the number of requests held. Returns when to check again.
    pub fn update_jam(&mut self, now: Nanos) -> Option<Nanos> {
        let jam = self.kind.jam.clone()?;
        let held = self.held() as f64 / self.cores();
        if let Some(since) = self.jammed_at {
            let is_calm = held < jam.below;
            self.calm_since = if is_calm { Some(self.calm_since.unwrap_or(now)) } else { None };
            let rested = self.calm_since.map(|r| r + nanos(jam.rest_s));
            let end = rested.unwrap_or(Nanos::MAX).min(since + nanos(jam.most_s));
            if now < end {
                return Some(end);
            }
            self.catch_up(now);
            (self.jammed_at, self.calm_since, self.crowded_since) = (None, None, None);
        }
        if held < jam.at {
            self.crowded_since = None;
            return None;
        }
        let jams_at = self.crowded_since.get_or_insert(now).saturating_add(nanos(jam.over_s));
        if now >= jams_at {
            self.jam(now);
            return Some(now + nanos(jam.most_s));
        }
        Some(jams_at)
    }

    /// Starts a jam, as if too many requests had been held for too long.
    pub fn jam(&mut self, now: Nanos) {
        self.catch_up(now);
        (self.jammed_at, self.calm_since) = (Some(now), None);
    }

    /// Removes a job and gives its slot to the next job that waits.
    pub fn remove(&mut self, now: Nanos, at: usize) -> Option<Job> {
        self.catch_up(now);
        let job = self.jobs.try_remove(at)?;
        self.by_key.remove(&job.key);
        if job.waits {
            self.waiting.retain(|w| *w != at);
        } else {
            self.in_slots -= 1;
            if let Some(next) = self.waiting.pop_front() {
                self.in_slots += 1;
                self.jobs[next].waits = false;
                self.newly_begun.push(self.jobs[next].key);
                self.start_piece(next);
            }
        }
        Some(job)
    }

    /// Handles the end of an attempt's connection. Depending on the kind's `cancel` setting, this stops the job,
    /// which is then returned.
    pub fn cancel(&mut self, now: Nanos, key: (u64, u32)) -> Option<Job> {
        let at = *self.by_key.get(&key)?;
        let waits = self.jobs[at].waits;
        match self.kind.cancel {
            Cancel::Running => {}
            Cancel::Waiting if waits => {}
            _ => return None,
        }
        self.catch_up(now);
        let rest: Vec<Running> = self.running.drain().filter(|r| r.job != Some(at)).collect();
        self.running = rest.into();
        self.ready.retain(|(job, _)| *job != at);
        self.start_ready();
        self.remove(now, at)
    }

    /// Ends its process and returns the jobs lost with it.
    pub fn terminate(&mut self, now: Nanos) -> Vec<Job> {
        self.catch_up(now);
        self.state = State::Down;
        self.life += 1;
        self.generation += 1;
        let lost = std::mem::take(&mut self.jobs).into_iter().map(|(_, job)| job).collect();
        self.by_key.clear();
        self.waiting.clear();
        self.running.clear();
        self.ready.clear();
        self.cold_work.clear();
        (self.in_slots, self.connections, self.cold_sum) = (0, 0, 0.0);
        (self.jammed_at, self.crowded_since, self.calm_since) = (None, None, None);
        lost
    }

    /// Starts its process, cold.
    pub fn start(&mut self, now: Nanos) {
        self.catch_up(now);
        (self.state, self.started_at) = (State::Up, Some(now));
        self.truth = Truth::default();
        self.reporter.restart(now);
    }

    /// Counts one more served request.
    pub fn served(&mut self) {
        self.truth.served += 1;
    }

    /// Returns the load report that an answer carries, if any. A gray node reports itself as idle.
    pub fn report(&mut self, now: Nanos) -> Option<passrelay_load_balancing::LoadReport> {
        self.catch_up(now);
        self.truth.held = self.held() as f64;
        self.truth.waiting = self.waiting.len() as f64;
        if self.faults.gray {
            return Some(Reporter::idle(self.reporter.fields()));
        }
        self.reporter.report(now, &self.truth, self.cores())
    }

    /// Returns the reporter, for injecting stale or false reports.
    pub fn reporter(&mut self) -> &mut Reporter {
        &mut self.reporter
    }

    /// Returns the core seconds used since the start.
    pub fn busy(&mut self, now: Nanos) -> f64 {
        self.catch_up(now);
        self.truth.busy
    }

    /// Draws the work of one attempt at this node, in seconds at speed 1. Returns the work of each of the equal pieces
    /// before, between and after the calls to the next tier, and the number of these calls.
    pub fn draw_pieces(&mut self, work: f64, attempt_noise: f64, calls: [f64; 2]) -> (f64, u32) {
        let noise =
            if attempt_noise > 0.0 { UnitMean::noise(attempt_noise).draw(&mut self.rng) } else { 1.0 };
        let mean = uniform(calls, &mut self.rng);
        let calls = crate::random::round_randomly(mean, &mut self.rng);
        (work * noise / f64::from(calls + 1), calls)
    }
}

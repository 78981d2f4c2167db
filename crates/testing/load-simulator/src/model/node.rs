//! A node: cores, slots and a waiting room, and all that makes it slower.
//!
//! Work on the cores is kept in virtual time: every piece that runs gets the same part of the node's speed, so a
//! piece that needs `w` more seconds of work is done once the virtual clock has moved on by `w`. A change of speed
//! or of the number of pieces changes how fast the virtual clock runs, and nothing else.

use super::report::{Reporter, Truth};
use crate::experiment::{Cancel, Discipline, Kind, Reports, Rules};
use crate::queue::{nanos, seconds, Nanos};
use crate::random::{between, Around, Stream, Streams};
use rand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

/// What rounds away when times are turned into whole nanoseconds.
const ROUNDING: f64 = 4e-9;
/// While a node is cold its speed is looked at anew so often.
pub const COLD_LOOK_S: f64 = 0.1;
/// Work that a cold node takes beyond its bound before it falls over, in seconds at speed 1 for each core: slack
/// for chance, as a bound on few requests needs it.
const FALL_SLACK_S: f64 = 0.5;

/// One request at a node.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request and the number of the attempt.
    pub key: (u64, u32),
    /// The sidecar that sent it, and that sidecar's life.
    pub from: (u32, u32),
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// Work of the whole call, in seconds for one request of each tier.
    pub work: f64,
    /// Until when its caller waits.
    pub deadline: Nanos,
    /// Number of the job, never used again at this node.
    pub number: u64,
    /// Pieces of work that are still to be done, in seconds.
    pub piece: f64,
    /// Calls to the next tier that are still to be made.
    pub calls: u32,
    /// It ends in an error.
    pub fails: bool,
    /// It waits for a slot.
    pub waits: bool,
}

/// What runs on the cores.
#[derive(Clone, Copy)]
struct Running {
    /// The virtual time at which it is done.
    end: f64,
    number: u64,
    /// The job, or none for work about connections and probes.
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

/// Whether a request was let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Turned away unseen.
    Shed,
    /// Taken, under this key; it waits for a slot or its work has begun.
    Taken(usize),
    /// Taken, and the node has been pushed over by it; told: two thirds of the work came from sidecars that had
    /// been told of its start.
    Fell {
        /// See above.
        told: bool,
    },
}

/// What is wrong with a node just now.
#[derive(Clone, Debug, Default)]
pub struct Ills {
    /// So many times slower.
    pub slow: Option<f64>,
    /// Fails this part of a class's requests at once, or of all.
    pub fails: Option<(f64, Option<u16>)>,
    /// Takes requests and never answers.
    pub gray: bool,
    /// Nothing reaches it and nothing comes back.
    pub cut: bool,
}

/// How a node gets on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// Its process does not run.
    Down,
}

/// One node.
pub struct Node {
    /// Its tier.
    pub tier: usize,
    /// Its zone.
    pub zone: usize,
    /// Where it listens; a successor may take it over.
    pub address: u32,
    /// Its kind.
    pub kind: Kind,
    /// Its own speed.
    pub speed: f64,
    /// How it gets on.
    pub state: State,
    /// Which life of it this is; connections to an earlier one are dead.
    pub life: u32,
    /// When it last started; none: long ago.
    pub born: Option<Nanos>,
    /// What is wrong with it.
    pub ills: Ills,
    /// Its sidecar for the next tier.
    pub sidecar: Option<u32>,
    /// Open connections.
    pub connections: usize,
    /// Requests that it holds.
    pub jobs: Slab<Job>,
    /// Requests that had waited and have got a slot, until that is noted.
    pub begun: Vec<(u64, u32)>,
    /// Seconds of cores in use when that was last noted.
    pub sampled: f64,
    by_key: FxHashMap<(u64, u32), usize>,
    waiting: VecDeque<usize>,
    in_slots: usize,
    running: BinaryHeap<Running>,
    /// First come, first served: pieces that wait for a core.
    ready: VecDeque<(usize, f64)>,
    virtual_now: f64,
    looked: Nanos,
    /// Which of the completions put in the queue is still true.
    pub generation: u64,
    numbers: u64,
    crowded_since: Option<Nanos>,
    rested_since: Option<Nanos>,
    jammed_at: Option<Nanos>,
    /// Work that came in while it was cold: when, how much, and whether from a sidecar that knew.
    cold_work: VecDeque<(Nanos, f64, bool)>,
    cold_sum: f64,
    truth: Truth,
    reporter: Reporter,
    rng: Stream,
}

impl Node {
    /// A node that has run for long. Its speed is its own; nodes of one kind differ.
    pub fn new(
        number: u64,
        tier: usize,
        zone: usize,
        kind: &Kind,
        reports: &Reports,
        streams: &Streams,
    ) -> Node {
        let mut rng = streams.of("node", number);
        let speed = kind.speed * Around::noise(kind.speed_spread).draw(&mut rng);
        Node {
            tier,
            zone,
            address: number as u32,
            kind: kind.clone(),
            speed,
            state: State::Up,
            life: 0,
            born: None,
            ills: Ills::default(),
            sidecar: None,
            connections: 0,
            jobs: Slab::new(),
            begun: Vec::new(),
            sampled: 0.0,
            by_key: FxHashMap::default(),
            waiting: VecDeque::new(),
            in_slots: 0,
            running: BinaryHeap::new(),
            ready: VecDeque::new(),
            virtual_now: 0.0,
            looked: 0,
            generation: 0,
            numbers: 0,
            crowded_since: None,
            rested_since: None,
            jammed_at: None,
            cold_work: VecDeque::new(),
            cold_sum: 0.0,
            truth: Truth::default(),
            reporter: Reporter::new(reports.clone(), streams.of("report", number)),
            rng,
        }
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    /// Its process runs and can be reached.
    pub fn is_there(&self) -> bool {
        self.state != State::Down
    }

    /// The part of its speed that it has got to since it started.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let (Some(born), true) = (self.born, self.kind.cold_s > 0.0) else { return 1.0 };
        let age = seconds(now.saturating_sub(born)) / self.kind.cold_s;
        (self.kind.cold_from + (1.0 - self.kind.cold_from) * age).min(1.0)
    }

    /// Speed of each core just now.
    pub fn pace(&self, now: Nanos) -> f64 {
        let over =
            if self.kind.crowd_at > 0.0 { (self.held() as f64 - self.kind.crowd_at).max(0.0) } else { 0.0 };
        let jam = match &self.kind.jam {
            Some(jam) if self.jammed_at.is_some() => jam.slower,
            _ if self.jammed_at.is_some() => 2.5,
            _ => 1.0,
        };
        self.speed * self.warmth(now)
            / (jam * self.ills.slow.unwrap_or(1.0) * (1.0 + self.kind.crowd_cost * over))
    }

    fn cores(&self) -> f64 {
        f64::from(self.kind.cores)
    }

    /// How fast the virtual clock runs.
    fn rate(&self, now: Nanos) -> f64 {
        let n = self.running.len() as f64;
        if n == 0.0 || self.ills.gray {
            return 0.0;
        }
        self.pace(now) * (self.cores() / n).min(1.0)
    }

    /// Brings the virtual clock up to now. Has to come before anything that changes the speed or the pieces.
    pub fn catch_up(&mut self, now: Nanos) {
        let passed = seconds(now - self.looked);
        if passed > 0.0 {
            let rate = self.rate(self.looked);
            self.virtual_now += passed * rate;
            let busy = if rate > 0.0 { (self.running.len() as f64).min(self.cores()) } else { 0.0 };
            self.truth.busy += busy * passed;
        }
        self.looked = now;
        if self.running.is_empty() {
            // Guards against a clock so far on that a nanosecond is lost in rounding.
            self.virtual_now = 0.0;
        }
    }

    /// When the next piece is done as things are now, with the number that tells whether this still holds.
    pub fn next_done(&mut self, now: Nanos) -> Option<(Nanos, u64)> {
        self.generation += 1;
        let rate = self.rate(now);
        let first = self.running.peek().filter(|_| rate > 0.0)?;
        let after = ((first.end - self.virtual_now).max(0.0) / rate * 1e9).ceil();
        // A cold node gets faster while it works: it is looked at again soon.
        let look = if self.warmth(now) < 1.0 { nanos(COLD_LOOK_S) } else { Nanos::MAX / 4 };
        Some((now + (after as Nanos).min(look), self.generation))
    }

    /// The pieces that are done by now: the jobs whose piece it was.
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
        self.numbers += 1;
        self.running.push(Running { end: self.virtual_now + work, number: self.numbers, job });
    }

    /// Puts a job's next piece on the cores, or behind others that wait for them.
    pub fn start_piece(&mut self, job: usize) {
        let Some(work) = self.jobs.get(job).map(|j| j.piece) else { return };
        let full = self.running.len() >= self.kind.cores as usize;
        if self.kind.discipline == Discipline::Fifo && full {
            self.ready.push_back((job, work));
        } else {
            self.run(Some(job), work);
        }
    }

    /// Work that is nobody's request: for a connection or a probe.
    pub fn chore(&mut self, now: Nanos, work: f64) {
        if work > 0.0 && !self.ills.gray {
            self.catch_up(now);
            self.run(None, work);
        }
    }

    /// Takes a request or turns it away. `usual` is what a request of its class usually costs here: a
    /// cold node is not pushed over by one costly request. `told`: its sidecar knows when the node last started.
    pub fn admit(&mut self, now: Nanos, mut job: Job, usual: f64, told: bool, rules: &Rules) -> Admission {
        self.catch_up(now);
        if self.weigh_cold(now, usual, told, rules) {
            let knowing: f64 = self.cold_work.iter().filter(|w| w.2).map(|w| w.1).sum();
            return Admission::Fell { told: knowing >= self.cold_sum * 2.0 / 3.0 };
        }
        let full = self.in_slots >= self.kind.slots && self.waiting.len() >= self.kind.waiting;
        if self.state != State::Up || full {
            return Admission::Shed;
        }
        if let Some((share, class)) = self.ills.fails {
            if class.is_none_or(|c| c == job.class) && self.rng.random::<f64>() < share {
                // It fails before it has done much.
                job.fails = true;
                job.calls = 0;
                job.piece *= 0.02;
            }
        }
        job.fails |= self.kind.error_rate > 0.0 && self.rng.random::<f64>() < self.kind.error_rate;
        self.numbers += 1;
        job.number = self.numbers;
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
        self.watch_crowd(now);
        Admission::Taken(at)
    }

    /// Counts work that comes to a cold node; true once it has been pushed over.
    fn weigh_cold(&mut self, now: Nanos, work: f64, told: bool, rules: &Rules) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.cold_work.clear();
            self.cold_sum = 0.0;
            return false;
        }
        self.cold_work.push_back((now, work, told));
        self.cold_sum += work;
        let from = now.saturating_sub(nanos(rules.fall_s));
        while let Some((_, old, _)) = self.cold_work.front().copied().filter(|w| w.0 < from) {
            self.cold_work.pop_front();
            self.cold_sum -= old;
        }
        let can = self.speed * warmth * self.cores();
        self.cold_sum > rules.overload_factor * can * rules.fall_s + FALL_SLACK_S * self.cores()
    }

    /// Looks whether it turns slow or recovers; gives when to look again.
    pub fn watch_crowd(&mut self, now: Nanos) -> Option<Nanos> {
        let jam = self.kind.jam.clone()?;
        let held = self.held() as f64 / self.cores();
        if let Some(since) = self.jammed_at {
            let resting = held < jam.below;
            self.rested_since = if resting { Some(self.rested_since.unwrap_or(now)) } else { None };
            let rested = self.rested_since.map(|r| r + nanos(jam.rest_s));
            let end = rested.unwrap_or(Nanos::MAX).min(since + nanos(jam.most_s));
            if now < end {
                return Some(end);
            }
            self.catch_up(now);
            (self.jammed_at, self.rested_since, self.crowded_since) = (None, None, None);
        }
        if held < jam.at {
            self.crowded_since = None;
            return None;
        }
        let turns = self.crowded_since.get_or_insert(now).saturating_add(nanos(jam.over_s));
        if now >= turns {
            self.jam(now);
            return Some(now + nanos(jam.most_s));
        }
        Some(turns)
    }

    /// Turns it slow, as if it had been crowded.
    pub fn jam(&mut self, now: Nanos) {
        self.catch_up(now);
        (self.jammed_at, self.rested_since) = (Some(now), None);
    }

    /// Takes a job out; the next that waits gets its slot.
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
                self.begun.push(self.jobs[next].key);
                self.start_piece(next);
            }
        }
        Some(job)
    }

    /// The connection of an attempt has ended: what that stops depends on the kind. Gives the job that is over.
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

    /// Its process ends; what it held is lost.
    pub fn die(&mut self, now: Nanos) -> Vec<Job> {
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
        (self.jammed_at, self.crowded_since, self.rested_since) = (None, None, None);
        lost
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: Nanos) {
        self.catch_up(now);
        (self.state, self.born) = (State::Up, Some(now));
        self.truth = Truth::default();
        self.reporter.restart(now);
    }

    /// One more request was served.
    pub fn served(&mut self) {
        self.truth.served += 1;
    }

    /// The load report that an answer carries.
    pub fn report(&mut self, now: Nanos) -> Option<passrelay_load_balancing::LoadReport> {
        self.catch_up(now);
        self.truth.held = self.held() as f64;
        self.truth.waiting = self.waiting.len() as f64;
        if self.ills.gray {
            return Some(Reporter::idle(self.reporter.fields()));
        }
        self.reporter.report(now, &self.truth, self.cores())
    }

    /// The reporter, for troubles.
    pub fn reporter(&mut self) -> &mut Reporter {
        &mut self.reporter
    }

    /// Seconds of cores in use so far.
    pub fn busy(&mut self, now: Nanos) -> f64 {
        self.catch_up(now);
        self.truth.busy
    }

    /// Work of one attempt at this node, in seconds at speed 1, in pieces before and after the calls it makes.
    pub fn pieces(&mut self, work: f64, attempt_noise: f64, calls: [f64; 2]) -> (f64, u32) {
        let noise = if attempt_noise > 0.0 { Around::noise(attempt_noise).draw(&mut self.rng) } else { 1.0 };
        let mean = between(calls, &mut self.rng);
        let calls = crate::random::whole(mean, &mut self.rng);
        (work * noise / f64::from(calls + 1), calls)
    }
}

//! The dispatcher between a protocol and the decision module.
//!
//! It turns what happened into the module's events, has the module's actions carried out by a [`Transport`],
//! and sees to it that every request gets exactly one final answer. Nothing here knows of sockets or of a wire format,
//! so that a second protocol goes through the same decisions and keeps the same rules.

use crate::api::{
    Action, ClassId, Condition, Effect, Ending, Entry, Event, Outcome, Report, RequestId, Settings,
    SettingsError, TenantId, UpstreamId,
};
use crate::state::Balancer;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The token of a wake-up that the module has not asked for.
const LAST_LOOK: u64 = u64::MAX;

/// The final answer for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The node's answer to this attempt, as it is.
    Served {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Declined; trying again is harmless.
    Refused {
        /// When to come again, in seconds.
        retry_after: Option<f64>,
    },
    /// Failed, with no promise.
    Failed {
        /// It failed for want of time.
        late: bool,
    },
    /// Failed: the request itself is at fault.
    Faulty,
}

/// A timer that the dispatcher wants to get back through [`Dispatcher::timer_fired`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// The module's own.
    Wake(u64),
    /// The caller of this request gives up.
    Deadline(RequestId),
    /// An attempt's own time-out.
    Patience(RequestId, u32),
}

/// What a protocol does for the dispatcher. No call may come back into the dispatcher.
pub trait Transport {
    /// Sends an attempt. Unless it is withdrawn, one [`Dispatcher::outcome`] must follow.
    fn send(&mut self, id: RequestId, attempt: u32, to: UpstreamId);
    /// Stops waiting for an attempt, of which nothing more is to be told.
    fn withdraw(&mut self, id: RequestId, attempt: u32);
    /// Gives the caller its one final answer.
    fn answer(&mut self, id: RequestId, answer: Answer);
    /// Probes a node; one [`Dispatcher::probed`] must follow.
    fn probe(&mut self, node: UpstreamId);
    /// Asks discovery for changes from now on.
    fn watch(&mut self);
    /// Sets a timer for the first tick at or after this time.
    fn set_timer(&mut self, at: f64, timer: Timer);
}

/// What decides behind the dispatcher: takes what happened and says what is to be done. The sidecar's is
/// [`Balancer`]; others may take its place, for comparison, and are held to the same answers.
pub trait Decider {
    /// Takes one event at time `now` and adds what is to be done to `actions`.
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>);

    /// Takes the settings of a later generation; see [`Balancer::retune`]. One that cannot keeps its own.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings cannot be taken; nothing is changed then.
    fn retune(&mut self, _settings: &Settings) -> Result<(), SettingsError> {
        Ok(())
    }
}

impl Decider for Balancer {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn retune(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        Balancer::retune(self, settings.clone())
    }
}

impl<D: Decider + ?Sized> Decider for Box<D> {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        (**self).handle(now, event, actions);
    }

    fn retune(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        (**self).retune(settings)
    }
}

/// A request as its caller put it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// How long the caller will wait.
    pub budget: f64,
    /// The work that the caller expects of it, in seconds, if it says so.
    pub work: Option<f64>,
    /// The caller says that it is a repeat.
    pub repeat: bool,
}

/// A request that is owed one answer, and what was sent for it.
struct Request {
    deadline: f64,
    answered: bool,
    /// Attempts that the settings of its arrival allow: a later generation does not change them.
    max_attempts: usize,
    /// What its class allows after an attempt that may have run, as it was at its arrival.
    effect: Effect,
    attempts: Vec<Attempt>,
}

struct Attempt {
    to: UpstreamId,
    sent: f64,
    out: bool,
    may_have_run: bool,
    ending: Option<Ending>,
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Callers that went away first.
    pub gone: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts that brought no answer to serve.
    pub turned: u64,
    /// Finals that the dispatcher had to give because the module had not.
    pub forced: u64,
}

/// The module, or another decider, with all that it is owed and owes.
pub struct Dispatcher<D = Balancer> {
    decider: D,
    requests: HashMap<RequestId, Request>,
    /// Nodes that may get something new.
    open: BTreeSet<UpstreamId>,
    next_id: u64,
    tick: f64,
    max_attempts: usize,
    retry_after: Option<f64>,
    /// What each class allows after an attempt that may have run.
    effects: Vec<Effect>,
    actions: Vec<Action>,
    backlog: VecDeque<Event>,
    counts: Counts,
}

impl Dispatcher {
    /// A dispatcher round a new copy of the module whose clock stands at 0.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings make no sense.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Dispatcher::round(Balancer::new(settings.clone(), seed, 0.0)?, settings))
    }
}

impl<D: Decider> Dispatcher<D> {
    /// A dispatcher round this decider.
    pub fn round(decider: D, settings: &Settings) -> Self {
        Dispatcher {
            decider,
            requests: HashMap::new(),
            open: BTreeSet::new(),
            next_id: 0,
            tick: settings.tick,
            max_attempts: settings.max_attempts as usize,
            retry_after: settings.retry_after.then_some(settings.max_retry_after),
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            actions: Vec::new(),
            backlog: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Takes the settings of a later generation for requests that come from now on; those already taken
    /// keep their class and their number of attempts.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] where the decider cannot take them; nothing is changed then.
    pub fn retune(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        self.decider.retune(settings)?;
        self.max_attempts = settings.max_attempts as usize;
        self.retry_after = settings.retry_after.then_some(settings.max_retry_after);
        self.effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(())
    }

    /// Whether there is a node that may get something new.
    pub fn is_ready(&self) -> bool {
        !self.open.is_empty()
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests that still wait for their answer.
    pub fn owed(&self) -> usize {
        let c = &self.counts;
        (c.taken - c.served - c.refused - c.failed - c.gone) as usize
    }

    /// How long a refused caller should stay away, where callers are told.
    pub fn retry_after(&self) -> Option<f64> {
        self.retry_after
    }

    /// The id of the next request, for a transport that has to know it before [`Dispatcher::arrive`].
    pub fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// Takes a request; its clock starts now.
    pub fn arrive(&mut self, now: f64, id: RequestId, arrival: Arrival, transport: &mut dyn Transport) {
        let Arrival { class, tenant, budget, work, repeat } = arrival;
        let deadline = now + budget;
        self.counts.taken += 1;
        let effect = self.effects.get(class.0).copied().unwrap_or(Effect::Unsafe);
        let (max_attempts, attempts) = (self.max_attempts, Vec::new());
        self.requests.insert(id, Request { deadline, answered: false, max_attempts, effect, attempts });
        // One tick early: the answer after an expired attempt has to be there in time.
        transport.set_timer(deadline - self.tick, Timer::Deadline(id));
        let ttl = budget;
        self.feed(now, Event::Request { id, class, tenant, ttl, work_hint: work, repeat }, transport);
    }

    /// The caller has gone away. What is out for it still gets its outcome.
    pub fn gone(&mut self, now: f64, id: RequestId, transport: &mut dyn Transport) {
        let Some(d) = self.requests.get_mut(&id).filter(|d| !d.answered) else { return };
        d.answered = true;
        self.counts.gone += 1;
        self.feed(now, Event::Gone(id), transport);
        self.forget(id);
    }

    /// Time left for an attempt whose connection has come up, or `None` if it must not be sent any more:
    /// its client has left or its time is over, by now the node is known to drain, or an earlier attempt may have
    /// run and the time for repeats is over.
    pub fn may_send(&self, now: f64, id: RequestId, attempt: u32) -> Option<f64> {
        let d = self.requests.get(&id).filter(|d| !d.answered && now + self.tick < d.deadline)?;
        let sent = d.attempts.get(attempt as usize)?;
        // Guards against a repeat past its window: between the decision and this moment a connection came up.
        let ran = d.attempts[..attempt as usize].iter().find(|p| p.may_have_run);
        if ran.is_some_and(|p| !d.effect.allows_repeat(now + self.tick - p.sent)) {
            return None;
        }
        // Guards against a send past the drain limit: it counts from the first byte, not from the decision.
        (sent.out && self.open.contains(&sent.to)).then_some(d.deadline - now)
    }

    /// An attempt has ended. Later words on the same attempt are passed over.
    pub fn outcome(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        ending: Ending,
        report: Option<Report>,
        transport: &mut dyn Transport,
    ) {
        if let Some(event) = self.close(now, id, attempt, ending, report, transport) {
            self.feed(now, event, transport);
        }
        self.forget(id);
    }

    /// A node has said that the request itself is at fault. Guards against sending it round, and against
    /// blaming the nodes for it: its request fails at once, and to the module it has gone.
    pub fn turn_back(&mut self, now: f64, id: RequestId, attempt: u32, transport: &mut dyn Transport) {
        self.finish(id, Answer::Faulty, transport);
        self.feed(now, Event::Gone(id), transport);
        self.outcome(now, id, attempt, Ending::Revoked, None, transport);
    }

    /// Strikes an attempt off and gives its event; the first that is delivered is the request's answer.
    fn close(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        ending: Ending,
        report: Option<Report>,
        transport: &mut dyn Transport,
    ) -> Option<Event> {
        let d = self.requests.get_mut(&id)?;
        let sent = d.attempts.get_mut(attempt as usize).filter(|p| p.out)?;
        sent.out = false;
        sent.may_have_run = !ending.never_ran();
        sent.ending = Some(ending);
        let (upstream, elapsed) = (sent.to, (now - sent.sent).max(0.0));
        if ending != Ending::Delivered {
            self.counts.turned += 1;
        } else if !d.answered {
            d.answered = true;
            self.counts.served += 1;
            transport.answer(id, Answer::Served { attempt });
        }
        let last = d.answered;
        Some(Event::Outcome(Outcome { id, attempt, upstream, ending, elapsed, last, report }))
    }

    /// A probe has ended.
    pub fn probed(
        &mut self,
        now: f64,
        upstream: UpstreamId,
        ending: Ending,
        elapsed: f64,
        report: Option<Report>,
        transport: &mut dyn Transport,
    ) {
        self.feed(now, Event::Probed { upstream, ending, elapsed, report }, transport);
    }

    /// News of the node list: the whole of it or what changed.
    pub fn told(&mut self, now: f64, whole: bool, entries: Vec<Entry>, transport: &mut dyn Transport) {
        if whole {
            // Who is absent has been removed.
            self.open.clear();
        }
        for e in &entries {
            if e.condition == Condition::On {
                self.open.insert(e.upstream);
            } else {
                self.open.remove(&e.upstream);
            }
        }
        self.feed(now, if whole { Event::FullList(entries) } else { Event::ListChanges(entries) }, transport);
    }

    /// A call for the node list has failed.
    pub fn untold(&mut self, now: f64, transport: &mut dyn Transport) {
        self.feed(now, Event::ListFailed, transport);
    }

    /// A timer set through [`Transport::set_timer`] has come due.
    pub fn timer_fired(&mut self, now: f64, timer: Timer, transport: &mut dyn Transport) {
        match timer {
            Timer::Wake(token) => self.feed(now, Event::Wake(token), transport),
            Timer::Patience(id, attempt) => self.expire(now, id, attempt, transport),
            Timer::Deadline(id) => {
                let Some(d) = self.requests.get(&id) else { return };
                for attempt in 0..d.attempts.len() as u32 {
                    self.expire(now, id, attempt, transport);
                }
                if self.requests.get(&id).is_some_and(|d| !d.answered) {
                    // Guards against taking the answer out of the module's hands: what it still holds at the
                    // last tick it ends by itself when it looks.
                    self.feed(now, Event::Wake(LAST_LOOK), transport);
                }
                self.force(now, id, transport);
            }
        }
    }

    fn expire(&mut self, now: f64, id: RequestId, attempt: u32, transport: &mut dyn Transport) {
        let out = |d: &Request| d.attempts.get(attempt as usize).is_some_and(|p| p.out);
        if self.requests.get(&id).is_some_and(out) {
            transport.withdraw(id, attempt);
            self.outcome(now, id, attempt, Ending::Expired, None, transport);
        }
    }

    /// The last resort at the deadline: a request whom the module has not answered is answered here.
    fn force(&mut self, now: f64, id: RequestId, transport: &mut dyn Transport) {
        let Some(d) = self.requests.get(&id).filter(|d| !d.answered) else { return };
        let ran = d.attempts.iter().any(|p| p.may_have_run);
        let out: Vec<u32> = (0..d.attempts.len() as u32).filter(|n| d.attempts[*n as usize].out).collect();
        self.counts.forced += 1;
        self.finish(
            id,
            if ran {
                Answer::Failed { late: true }
            } else {
                Answer::Refused { retry_after: self.retry_after }
            },
            transport,
        );
        self.feed(now, Event::Gone(id), transport);
        // Sent by the module in answer to the last expiry, with no time left.
        for attempt in out {
            self.expire(now, id, attempt, transport);
        }
        self.forget(id);
    }

    /// Hands an event to the module and carries out what it asks for, until nothing is left to do.
    fn feed(&mut self, now: f64, event: Event, transport: &mut dyn Transport) {
        self.backlog.push_back(event);
        while let Some(event) = self.backlog.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.decider.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, transport);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: f64, action: Action, transport: &mut dyn Transport) {
        match action {
            Action::Send { id, upstream, patience } => self.send(now, id, upstream, patience, transport),
            Action::Cancel { id, attempt } => {
                let out = |d: &Request| d.attempts.get(attempt as usize).is_some_and(|p| p.out);
                if self.requests.get(&id).is_some_and(out) {
                    transport.withdraw(id, attempt);
                    let event = self.close(now, id, attempt, Ending::Revoked, None, transport);
                    self.backlog.extend(event);
                }
            }
            Action::Refuse { id, retry_after } => self.finish(id, Answer::Refused { retry_after }, transport),
            Action::Fail { id } => {
                let expired = |d: &Request| d.attempts.iter().any(|p| p.ending == Some(Ending::Expired));
                let late = self.requests.get(&id).is_some_and(expired);
                self.finish(id, Answer::Failed { late }, transport);
            }
            Action::Wake { after, token } => transport.set_timer(now + after, Timer::Wake(token)),
            Action::Probe(node) => transport.probe(node),
            Action::Watch => transport.watch(),
        }
    }

    fn send(
        &mut self,
        now: f64,
        id: RequestId,
        to: UpstreamId,
        patience: Option<f64>,
        transport: &mut dyn Transport,
    ) {
        let Some(d) = self.requests.get_mut(&id) else { return };
        let attempt = d.attempts.len() as u32;
        let in_time = now + self.tick < d.deadline;
        let allowed = !d.answered && d.attempts.len() < d.max_attempts && in_time;
        d.attempts.push(Attempt { to, sent: now, out: true, may_have_run: true, ending: None });
        if !allowed || !self.open.contains(&to) {
            let event = self.close(now, id, attempt, Ending::Unused, None, transport);
            self.backlog.extend(event);
            return;
        }
        self.counts.attempts += 1;
        if let Some(p) = patience.filter(|p| *p > 0.0 && now + *p < d.deadline) {
            transport.set_timer(now + p, Timer::Patience(id, attempt));
        }
        transport.send(id, attempt, to);
    }

    /// Gives the one final answer; a request that has had it gets nothing more.
    fn finish(&mut self, id: RequestId, answer: Answer, transport: &mut dyn Transport) {
        let Some(d) = self.requests.get_mut(&id).filter(|d| !d.answered) else { return };
        d.answered = true;
        match answer {
            Answer::Refused { .. } => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        transport.answer(id, answer);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|d| d.answered && d.attempts.iter().all(|p| !p.out)) {
            self.requests.remove(&id);
        }
    }
}

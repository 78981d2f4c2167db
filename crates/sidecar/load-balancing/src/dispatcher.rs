//! The dispatcher between a protocol and the decision module.
//!
//! It turns what a protocol observes into the decider's events, has the decider's actions carried out by a
//! [`Transport`], and ensures that every request gets exactly one final answer, whatever the decider does. Nothing here
//! knows of sockets or of a wire format, so that a second protocol goes through the same decisions and the same rules.
//! It does not decide which node gets a request or whether to retry.

mod attempts;
mod decider;
mod request;
mod transport;

pub use decider::Decider;
pub use transport::{Answer, Timer, Transport};

use crate::api::{
    Action, ClassId, Ending, EndpointEntry, EndpointState, Event, Idempotency, LoadReport, RequestId,
    Settings, SettingsError, TenantId, UpstreamId,
};
use crate::state::Balancer;
use attempts::AttemptEnd;
use request::Request;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Token of a wake-up that the decider has not asked for: its last chance to answer before the deadline.
const WAKE_BEFORE_DEADLINE: u64 = u64::MAX;

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Seconds until the client gives up.
    pub client_timeout: f64,
    /// The work that the client expects of it, in seconds, if known.
    pub work_hint: Option<f64>,
    /// The client marked it as a repeat.
    pub repeat: bool,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that arrived; the sum of the next four and the open ones.
    pub arrived: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected first.
    pub disconnected: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that ended without an answer to serve.
    pub unserved_attempts: u64,
    /// Final answers by the dispatcher, because the decider had given none by the deadline.
    pub forced: u64,
}

/// Time and transport of one call into the dispatcher.
struct Context<'a> {
    now: f64,
    transport: &'a mut dyn Transport,
}

/// A decider with the requests that are owed an answer and the attempts whose outcomes are due.
pub struct Dispatcher<D = Balancer> {
    decider: D,
    requests: HashMap<RequestId, Request>,
    /// Nodes that may be sent new attempts: those that run by the latest endpoint list.
    open: BTreeSet<UpstreamId>,
    /// The last id that was assigned.
    next_id: u64,
    tick: f64,
    max_attempts: usize,
    /// Seconds after which a rejected client may retry, if that is sent.
    retry_after: Option<f64>,
    /// By class, what it allows after an attempt that may have run.
    effects: Vec<Idempotency>,
    /// Reused for each event; empty between events.
    actions: Vec<Action>,
    /// Events that resulted from actions; empty between calls.
    backlog: VecDeque<Event>,
    counts: Counts,
}

impl Dispatcher {
    /// A dispatcher with a new balancer whose clock starts at 0.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for settings that are invalid.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Dispatcher::with_decider(Balancer::new(settings.clone(), seed, 0.0)?, settings))
    }
}

impl<D: Decider> Dispatcher<D> {
    /// A dispatcher with this decider.
    pub fn with_decider(decider: D, settings: &Settings) -> Self {
        let mut dispatcher = Dispatcher {
            decider,
            requests: HashMap::new(),
            open: BTreeSet::new(),
            next_id: 0,
            tick: settings.tick,
            max_attempts: 0,
            retry_after: None,
            effects: Vec::new(),
            actions: Vec::new(),
            backlog: VecDeque::new(),
            counts: Counts::default(),
        };
        dispatcher.apply_settings(settings);
        dispatcher
    }

    /// Replaces the settings by those of a later generation, for requests that arrive from now on; earlier ones keep
    /// their class and their maximum number of attempts.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the decider can't apply them; nothing is changed then.
    pub fn update_settings(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        self.decider.update_settings(settings)?;
        self.apply_settings(settings);
        Ok(())
    }

    fn apply_settings(&mut self, settings: &Settings) {
        self.max_attempts = settings.max_attempts as usize;
        self.retry_after = settings.send_retry_after.then_some(settings.max_retry_after);
        self.effects = settings.classes.iter().map(|class| class.idempotency).collect();
    }

    /// Whether there is a node that may be sent new attempts.
    pub fn has_running_upstream(&self) -> bool {
        !self.open.is_empty()
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        let counts = &self.counts;
        (counts.arrived - counts.served - counts.rejected - counts.failed - counts.disconnected) as usize
    }

    /// Seconds after which a rejected client may retry, where that is sent.
    pub fn retry_after(&self) -> Option<f64> {
        self.retry_after
    }

    /// Assigns the id of the next request, for a transport that needs it before [`Dispatcher::request_arrived`].
    pub fn assign_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// A request arrives; its deadline counts from now.
    pub fn request_arrived(
        &mut self,
        now: f64,
        id: RequestId,
        arrival: Arrival,
        transport: &mut dyn Transport,
    ) {
        let Arrival { class, tenant, client_timeout, work_hint, repeat } = arrival;
        let deadline = now + client_timeout;
        self.counts.arrived += 1;
        let request = Request {
            deadline,
            answered: false,
            max_attempts: self.max_attempts,
            idempotency: self.effects.get(class.0).copied().unwrap_or(Idempotency::NonIdempotent),
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        // One tick early: the answer after an expired attempt has to arrive in time.
        transport.set_timer(deadline - self.tick, Timer::Deadline(id));
        let event = Event::Request { id, class, tenant, client_timeout, work_hint, repeat };
        self.feed(event, &mut Context { now, transport });
    }

    /// The client has disconnected. The outcomes of attempts in flight are still due.
    pub fn client_disconnected(&mut self, now: f64, id: RequestId, transport: &mut dyn Transport) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        self.counts.disconnected += 1;
        self.feed(Event::ClientDisconnected(id), &mut Context { now, transport });
        self.forget(id);
    }

    /// An attempt has ended. Further outcomes of the same attempt are ignored.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        ending: Ending,
        report: Option<LoadReport>,
        transport: &mut dyn Transport,
    ) {
        let end = AttemptEnd { id, attempt, ending, report };
        self.finish_attempt(&end, &mut Context { now, transport });
    }

    /// A node has answered that the request itself is invalid. It fails at once, and to the decider its client has
    /// disconnected: the request is not retried, and no node is blamed for it.
    pub fn fail_invalid(&mut self, now: f64, id: RequestId, attempt: u32, transport: &mut dyn Transport) {
        let mut context = Context { now, transport };
        self.finish(id, Answer::Invalid, &mut context);
        self.feed(Event::ClientDisconnected(id), &mut context);
        let end = AttemptEnd { id, attempt, ending: Ending::Cancelled, report: None };
        self.finish_attempt(&end, &mut context);
    }

    /// A health check has ended.
    pub fn health_check_ended(
        &mut self,
        now: f64,
        upstream: UpstreamId,
        ending: Ending,
        elapsed: f64,
        report: Option<LoadReport>,
        transport: &mut dyn Transport,
    ) {
        let event = Event::HealthCheckEnded { upstream, ending, elapsed, report };
        self.feed(event, &mut Context { now, transport });
    }

    /// The endpoint list has changed: `entries` are all of it if `full`, else those that changed.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        full: bool,
        entries: Vec<EndpointEntry>,
        transport: &mut dyn Transport,
    ) {
        if full {
            // Absent nodes have been removed.
            self.open.clear();
        }
        for entry in &entries {
            if entry.state == EndpointState::Running {
                self.open.insert(entry.upstream);
            } else {
                self.open.remove(&entry.upstream);
            }
        }
        let event = if full { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) };
        self.feed(event, &mut Context { now, transport });
    }

    /// A call for the endpoint list has failed.
    pub fn discovery_failed(&mut self, now: f64, transport: &mut dyn Transport) {
        self.feed(Event::EndpointListFailed, &mut Context { now, transport });
    }

    /// A timer set through [`Transport::set_timer`] has fired.
    pub fn timer_fired(&mut self, now: f64, timer: Timer, transport: &mut dyn Transport) {
        let mut context = Context { now, transport };
        match timer {
            Timer::Wake(token) => self.feed(Event::Wake(token), &mut context),
            Timer::AttemptTimeout(id, attempt) => self.expire(id, attempt, &mut context),
            Timer::Deadline(id) => self.reach_deadline(id, &mut context),
        }
    }

    /// Expires all attempts of a request and ensures that it is answered.
    fn reach_deadline(&mut self, id: RequestId, context: &mut Context<'_>) {
        let Some(request) = self.requests.get(&id) else { return };
        for attempt in 0..request.attempts.len() as u32 {
            self.expire(id, attempt, context);
        }
        if self.requests.get(&id).is_some_and(|request| !request.answered) {
            // The decider goes first: what is still pending at the last tick it answers itself.
            self.feed(Event::Wake(WAKE_BEFORE_DEADLINE), context);
        }
        self.force_answer(id, context);
    }

    /// The last resort at the deadline: answers a request that the decider has not answered.
    fn force_answer(&mut self, id: RequestId, context: &mut Context<'_>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.answered) else { return };
        let in_flight = request.attempts_in_flight();
        let answer = if request.may_have_run() {
            Answer::Failed { timed_out: true }
        } else {
            Answer::Rejected { retry_after: self.retry_after }
        };
        self.counts.forced += 1;
        self.finish(id, answer, context);
        self.feed(Event::ClientDisconnected(id), context);
        // Attempts that the decider sent in response to the last expiry, with no time left.
        for attempt in in_flight {
            self.expire(id, attempt, context);
        }
        self.forget(id);
    }

    /// Passes an event to the decider and applies its actions, until no event results from them.
    fn feed(&mut self, event: Event, context: &mut Context<'_>) {
        self.backlog.push_back(event);
        while let Some(event) = self.backlog.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.decider.handle(context.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action, context);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, action: Action, context: &mut Context<'_>) {
        match action {
            Action::Send { id, upstream, timeout } => self.send(id, upstream, timeout, context),
            Action::Cancel { id, attempt } => self.cancel(id, attempt, context),
            Action::Reject { id, retry_after } => {
                self.finish(id, Answer::Rejected { retry_after }, context);
            }
            Action::Fail { id } => {
                let timed_out = self.requests.get(&id).is_some_and(Request::has_expired);
                self.finish(id, Answer::Failed { timed_out }, context);
            }
            Action::Wake { after, token } => {
                context.transport.set_timer(context.now + after, Timer::Wake(token));
            }
            Action::HealthCheck(node) => context.transport.health_check(node),
            Action::Subscribe => context.transport.subscribe(),
        }
    }

    /// Gives the one final answer; a request that has had it gets no other.
    fn finish(&mut self, id: RequestId, answer: Answer, context: &mut Context<'_>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        match answer {
            Answer::Rejected { .. } => self.counts.rejected += 1,
            _ => self.counts.failed += 1,
        }
        context.transport.answer(id, answer);
        self.forget(id);
    }

    /// Removes a request once it is answered and no outcome is due.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(Request::is_finished) {
            self.requests.remove(&id);
        }
    }
}

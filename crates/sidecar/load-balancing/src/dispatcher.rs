//! The dispatcher between a protocol implementation and a [`Decider`].
//!
//! It translates what a protocol observes into the decider's events, passes the decider's actions to a [`Transport`],
//! and ensures that every request gets exactly one final answer, whatever the decider does. It has no knowledge of
//! sockets or of a wire format, so that further protocols share the same decisions and rules. The choice of the
//! upstream for a request, and of retries, is up to the decider.

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

/// Token of a wake-up that the decider did not request: its last chance to answer a request before the deadline.
const WAKE_BEFORE_DEADLINE: u64 = u64::MAX;

/// A request as its client sent it, for [`Dispatcher::request_arrived`].
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Class of the request, which determines its priority, its latency target and its retries.
    pub class: ClassId,
    /// Tenant whose quota the request uses; `None` without one.
    pub tenant: Option<TenantId>,
    /// Seconds from the arrival until the client gives up.
    pub client_timeout: f64,
    /// Work in seconds that the client expects the request to take, if it sent such a hint.
    pub work_hint: Option<f64>,
    /// Whether the client marked the request as a repeat of an earlier one.
    pub repeat: bool,
}

/// Counters of requests and attempts since the dispatcher was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that arrived: the sum of the next four counters and of the open requests.
    pub arrived: u64,
    /// Requests that got an upstream's answer.
    pub served: u64,
    /// Requests rejected with a final answer that allows the client a retry.
    pub rejected: u64,
    /// Requests that failed, invalid ones included.
    pub failed: u64,
    /// Requests whose client disconnected before the final answer.
    pub disconnected: u64,
    /// Attempts passed to the transport.
    pub attempts: u64,
    /// Attempts that ended without an answer for the client, including those that were never sent.
    pub unserved_attempts: u64,
    /// Final answers given by the dispatcher itself because the decider had given none by the deadline.
    pub forced: u64,
}

/// Time and transport of one call to the dispatcher.
struct Context<'a> {
    now: f64,
    transport: &'a mut dyn Transport,
}

/// A decider, together with the requests that have no final answer yet or still have an attempt in flight.
pub struct Dispatcher<D = Balancer> {
    decider: D,
    requests: HashMap<RequestId, Request>,
    /// Upstreams that may be sent new attempts: those that are running by the latest endpoint list.
    running: BTreeSet<UpstreamId>,
    /// The latest id returned by [`Dispatcher::assign_id`]; 0 before the first one.
    last_id: u64,
    tick: f64,
    max_attempts: usize,
    /// Seconds after which a rejected client may retry; `None` if rejections carry no such time.
    retry_after: Option<f64>,
    /// By class: whether a request may be sent again after an attempt that may have run.
    idempotency: Vec<Idempotency>,
    /// Buffer for the decider's actions, reused for each event; empty between events.
    actions: Vec<Action>,
    /// Events that have resulted from actions and are not handled yet; empty between calls.
    event_queue: VecDeque<Event>,
    counts: Counts,
}

impl Dispatcher {
    /// Creates a dispatcher with a new [`Balancer`] whose clock starts at 0.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings are invalid.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Dispatcher::with_decider(Balancer::new(settings.clone(), seed, 0.0)?, settings))
    }
}

impl<D: Decider> Dispatcher<D> {
    /// Creates a dispatcher with this decider and these settings, which are not checked.
    pub fn with_decider(decider: D, settings: &Settings) -> Self {
        let mut dispatcher = Dispatcher {
            decider,
            requests: HashMap::new(),
            running: BTreeSet::new(),
            last_id: 0,
            tick: settings.tick,
            max_attempts: 0,
            retry_after: None,
            idempotency: Vec::new(),
            actions: Vec::new(),
            event_queue: VecDeque::new(),
            counts: Counts::default(),
        };
        dispatcher.apply_settings(settings);
        dispatcher
    }

    /// Replaces the settings by those of a later generation. Requests that have arrived before keep the idempotency of
    /// their class and their maximum number of attempts.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the decider can't apply the settings. Nothing is changed in that case.
    pub fn update_settings(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        self.decider.update_settings(settings)?;
        self.apply_settings(settings);
        Ok(())
    }

    fn apply_settings(&mut self, settings: &Settings) {
        self.max_attempts = settings.max_attempts as usize;
        self.retry_after = settings.send_retry_after.then_some(settings.max_retry_after);
        self.idempotency = settings.classes.iter().map(|class| class.idempotency).collect();
    }

    /// Returns whether any upstream may be sent new attempts.
    pub fn has_running_upstream(&self) -> bool {
        !self.running.is_empty()
    }

    /// Returns the counters since the dispatcher was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        let counts = &self.counts;
        (counts.arrived - counts.served - counts.rejected - counts.failed - counts.disconnected) as usize
    }

    /// Returns the seconds after which a rejected client may retry, or `None` if rejections carry no such time.
    pub fn retry_after(&self) -> Option<f64> {
        self.retry_after
    }

    /// Assigns an id to the next request, for a transport that needs it before [`Dispatcher::request_arrived`].
    pub fn assign_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Handles the arrival of a request, whose deadline counts from `now`.
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
            idempotency: self.idempotency.get(class.0).copied().unwrap_or(Idempotency::NonIdempotent),
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        // One tick early, so that the answer that follows the time-out of the last attempt arrives in time.
        transport.set_timer(deadline - self.tick, Timer::Deadline(id));
        let event = Event::Request { id, class, tenant, client_timeout, work_hint, repeat };
        self.process_event(event, &mut Context { now, transport });
    }

    /// Handles the disconnection of a request's client. The outcomes of attempts in flight are still expected.
    pub fn client_disconnected(&mut self, now: f64, id: RequestId, transport: &mut dyn Transport) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        self.counts.disconnected += 1;
        self.process_event(Event::ClientDisconnected(id), &mut Context { now, transport });
        self.remove_if_finished(id);
    }

    /// Handles the end of an attempt. Any further end of the same attempt is ignored.
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

    /// Fails a request at once after an upstream has answered that the request itself is invalid. To the decider, the
    /// client has disconnected and the attempt was cancelled, so that the request is not retried and the answer does
    /// not count against the upstream.
    pub fn fail_invalid(&mut self, now: f64, id: RequestId, attempt: u32, transport: &mut dyn Transport) {
        let mut context = Context { now, transport };
        self.answer(id, Answer::Invalid, &mut context);
        self.process_event(Event::ClientDisconnected(id), &mut context);
        let end = AttemptEnd { id, attempt, ending: Ending::Cancelled, report: None };
        self.finish_attempt(&end, &mut context);
    }

    /// Handles the result of a health check, `elapsed` seconds after it was sent.
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
        self.process_event(event, &mut Context { now, transport });
    }

    /// Handles an update of the endpoint list. If `full`, `entries` is the complete list; otherwise it contains the
    /// entries that have changed.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        full: bool,
        entries: Vec<EndpointEntry>,
        transport: &mut dyn Transport,
    ) {
        if full {
            // Upstreams that are not in the full list have been removed.
            self.running.clear();
        }
        for entry in &entries {
            if entry.state == EndpointState::Running {
                self.running.insert(entry.upstream);
            } else {
                self.running.remove(&entry.upstream);
            }
        }
        let event = if full { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) };
        self.process_event(event, &mut Context { now, transport });
    }

    /// Handles a failed call for the endpoint list.
    pub fn discovery_failed(&mut self, now: f64, transport: &mut dyn Transport) {
        self.process_event(Event::EndpointListFailed, &mut Context { now, transport });
    }

    /// Handles the expiry of a timer that was set with [`Transport::set_timer`].
    pub fn timer_fired(&mut self, now: f64, timer: Timer, transport: &mut dyn Transport) {
        let mut context = Context { now, transport };
        match timer {
            Timer::Wake(token) => self.process_event(Event::Wake(token), &mut context),
            Timer::AttemptTimeout(id, attempt) => self.time_out_attempt(id, attempt, &mut context),
            Timer::Deadline(id) => self.handle_deadline(id, &mut context),
        }
    }

    /// Ends all attempts of a request by time-out and ensures that it is answered.
    fn handle_deadline(&mut self, id: RequestId, context: &mut Context<'_>) {
        let Some(request) = self.requests.get(&id) else { return };
        for attempt in 0..request.attempts.len() as u32 {
            self.time_out_attempt(id, attempt, context);
        }
        if self.requests.get(&id).is_some_and(|request| !request.answered) {
            // The decider goes first: it answers requests that are still pending at the last tick.
            self.process_event(Event::Wake(WAKE_BEFORE_DEADLINE), context);
        }
        self.force_answer(id, context);
    }

    /// Answers a request at its deadline if the decider has not answered it.
    fn force_answer(&mut self, id: RequestId, context: &mut Context<'_>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.answered) else { return };
        let in_flight = request.attempts_in_flight();
        let answer = if request.may_have_run() {
            Answer::Failed { timed_out: true }
        } else {
            Answer::Rejected { retry_after: self.retry_after }
        };
        self.counts.forced += 1;
        self.answer(id, answer, context);
        self.process_event(Event::ClientDisconnected(id), context);
        // Attempts that the decider sent in response to the last time-out, with no time left.
        for attempt in in_flight {
            self.time_out_attempt(id, attempt, context);
        }
        self.remove_if_finished(id);
    }

    /// Passes an event to the decider and applies the resulting actions, then does the same for the events that result
    /// from these, until none is left.
    fn process_event(&mut self, event: Event, context: &mut Context<'_>) {
        self.event_queue.push_back(event);
        while let Some(event) = self.event_queue.pop_front() {
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
            Action::Send { id, upstream, timeout } => self.send_attempt(id, upstream, timeout, context),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt, context),
            Action::Reject { id, retry_after } => {
                self.answer(id, Answer::Rejected { retry_after }, context);
            }
            Action::Fail { id } => {
                let timed_out = self.requests.get(&id).is_some_and(Request::has_timed_out);
                self.answer(id, Answer::Failed { timed_out }, context);
            }
            Action::Wake { after, token } => {
                context.transport.set_timer(context.now + after, Timer::Wake(token));
            }
            Action::HealthCheck(upstream) => context.transport.health_check(upstream),
            Action::Subscribe => context.transport.subscribe(),
        }
    }

    /// Gives a request its final answer. A request that has one already gets no other.
    fn answer(&mut self, id: RequestId, answer: Answer, context: &mut Context<'_>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        match answer {
            Answer::Rejected { .. } => self.counts.rejected += 1,
            _ => self.counts.failed += 1,
        }
        context.transport.answer(id, answer);
        self.remove_if_finished(id);
    }

    /// Removes a request once it is answered and has no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(Request::is_finished) {
            self.requests.remove(&id);
        }
    }
}

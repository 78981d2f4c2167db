//! Attempts of the dispatcher: send, time-out, cancellation and outcome.

use super::request::Attempt;
use super::{Answer, Context, Decider, Dispatcher, Timer};
use crate::api::{Ending, Event, LoadReport, Outcome, RequestId, UpstreamId};

/// The end of an attempt, reported by the transport, by a timer, or by the dispatcher itself.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub ending: Ending,
    pub report: Option<LoadReport>,
}

impl<D: Decider> Dispatcher<D> {
    /// Returns the time left in seconds for an attempt whose connection has been established, or `None` if the attempt
    /// must not be sent any more: because its request has been answered, its client has disconnected or its time is
    /// over, because the upstream is no longer running, or because an earlier attempt may have run and the time for
    /// repeats is over.
    pub fn may_send(&self, now: f64, id: RequestId, attempt: u32) -> Option<f64> {
        let request = self.requests.get(&id)?;
        if request.answered || now + self.tick >= request.deadline {
            return None;
        }
        let sent = request.attempts.get(attempt as usize)?;
        // Checked again here, since establishing the connection takes time after the decision: a repeat must not be
        // sent after its window.
        let earlier = &request.attempts[..attempt as usize];
        let first_run = earlier.iter().find(|attempt| attempt.may_have_run);
        if first_run.is_some_and(|run| !request.idempotency.allows_repeat(now + self.tick - run.sent_at)) {
            return None;
        }
        // Nor may an attempt be sent after the drain limit, which applies to the first byte of the request.
        (sent.in_flight && self.running.contains(&sent.upstream)).then_some(request.deadline - now)
    }

    /// Sends an attempt that the decider requested. If it may not be sent, it ends at once as [`Ending::NotSent`].
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<f64>,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        let deadline = request.deadline;
        let in_time = now + self.tick < deadline;
        let allowed = !request.answered && request.attempts.len() < request.max_attempts && in_time;
        request.attempts.push(Attempt {
            upstream,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
            ending: None,
        });
        if !allowed || !self.running.contains(&upstream) {
            let end = AttemptEnd { id, attempt, ending: Ending::NotSent, report: None };
            let event = self.end_attempt(&end, context);
            self.event_queue.extend(event);
            return;
        }
        self.counts.attempts += 1;
        if let Some(timeout) = timeout.filter(|timeout| *timeout > 0.0 && now + *timeout < deadline) {
            context.transport.set_timer(now + timeout, Timer::AttemptTimeout(id, attempt));
        }
        context.transport.send(id, attempt, upstream);
    }

    /// Cancels an attempt in flight that the decider no longer wants.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32, context: &mut Context<'_>) {
        if self.is_in_flight(id, attempt) {
            context.transport.cancel(id, attempt);
            let end = AttemptEnd { id, attempt, ending: Ending::Cancelled, report: None };
            let event = self.end_attempt(&end, context);
            self.event_queue.extend(event);
        }
    }

    /// Ends an attempt in flight by a time-out. An attempt that has ended already is ignored.
    pub(super) fn time_out_attempt(&mut self, id: RequestId, attempt: u32, context: &mut Context<'_>) {
        if self.is_in_flight(id, attempt) {
            context.transport.cancel(id, attempt);
            let end = AttemptEnd { id, attempt, ending: Ending::TimedOut, report: None };
            self.finish_attempt(&end, context);
        }
    }

    /// Ends an attempt and reports its outcome to the decider. An attempt that has ended already is ignored.
    pub(super) fn finish_attempt(&mut self, end: &AttemptEnd, context: &mut Context<'_>) {
        if let Some(event) = self.end_attempt(end, context) {
            self.process_event(event, context);
        }
        self.remove_if_finished(end.id);
    }

    /// Ends an attempt and returns the resulting event. The first attempt of a request that is served is its final
    /// answer. Returns `None` if the attempt has ended already.
    fn end_attempt(&mut self, end: &AttemptEnd, context: &mut Context<'_>) -> Option<Event> {
        let AttemptEnd { id, attempt, ending, report } = *end;
        let request = self.requests.get_mut(&id)?;
        let sent = request.attempts.get_mut(attempt as usize).filter(|sent| sent.in_flight)?;
        sent.in_flight = false;
        sent.may_have_run = !ending.never_ran();
        sent.ending = Some(ending);
        let upstream = sent.upstream;
        let elapsed = (context.now - sent.sent_at).max(0.0);
        if ending != Ending::Served {
            self.counts.unserved_attempts += 1;
        } else if !request.answered {
            request.answered = true;
            self.counts.served += 1;
            context.transport.answer(id, Answer::Served { attempt });
        }
        let last = request.answered;
        Some(Event::Outcome(Outcome { id, attempt, upstream, ending, elapsed, last, report }))
    }

    fn is_in_flight(&self, id: RequestId, attempt: u32) -> bool {
        self.requests.get(&id).is_some_and(|request| request.is_in_flight(attempt))
    }
}

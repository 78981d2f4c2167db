//! The life of an attempt: send, time-out, cancellation, outcome.

use super::request::Attempt;
use super::{Answer, Context, Decider, Dispatcher, Timer};
use crate::api::{Ending, Event, LoadReport, Outcome, RequestId, UpstreamId};

/// End of an attempt, as the transport or a timer reports it.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub ending: Ending,
    pub report: Option<LoadReport>,
}

impl<D: Decider> Dispatcher<D> {
    /// Time left in seconds for an attempt whose connection is established, or `None` if it must not be sent any
    /// more: its client has disconnected or its time is over, the node drains by now, or an earlier attempt may have
    /// run and the time for repeats is over.
    pub fn may_send(&self, now: f64, id: RequestId, attempt: u32) -> Option<f64> {
        let request = self.requests.get(&id)?;
        if request.answered || now + self.tick >= request.deadline {
            return None;
        }
        let sent = request.attempts.get(attempt as usize)?;
        // Checked again here, since establishing the connection takes time after the decision: no repeat after its
        // window ...
        let earlier = &request.attempts[..attempt as usize];
        let first_run = earlier.iter().find(|earlier| earlier.may_have_run);
        if first_run.is_some_and(|run| !request.idempotency.allows_repeat(now + self.tick - run.sent_at)) {
            return None;
        }
        // ... and no send after the drain limit, which counts from the first byte.
        (sent.in_flight && self.open.contains(&sent.to)).then_some(request.deadline - now)
    }

    /// Sends an attempt as the decider asks; one that may not be sent ends at once, without a send.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        to: UpstreamId,
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
            to,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
            ending: None,
        });
        if !allowed || !self.open.contains(&to) {
            let end = AttemptEnd { id, attempt, ending: Ending::NotSent, report: None };
            let event = self.end_attempt(&end, context);
            self.backlog.extend(event);
            return;
        }
        self.counts.attempts += 1;
        if let Some(timeout) = timeout.filter(|timeout| *timeout > 0.0 && now + *timeout < deadline) {
            context.transport.set_timer(now + timeout, Timer::AttemptTimeout(id, attempt));
        }
        context.transport.send(id, attempt, to);
    }

    /// Cancels an attempt in flight as the decider asks.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32, context: &mut Context<'_>) {
        if self.is_in_flight(id, attempt) {
            context.transport.cancel(id, attempt);
            let end = AttemptEnd { id, attempt, ending: Ending::Cancelled, report: None };
            let event = self.end_attempt(&end, context);
            self.backlog.extend(event);
        }
    }

    /// Ends an attempt in flight by a time-out.
    pub(super) fn expire(&mut self, id: RequestId, attempt: u32, context: &mut Context<'_>) {
        if self.is_in_flight(id, attempt) {
            context.transport.cancel(id, attempt);
            let end = AttemptEnd { id, attempt, ending: Ending::TimedOut, report: None };
            self.finish_attempt(&end, context);
        }
    }

    /// Ends an attempt and reports its outcome to the decider. An attempt that has ended already is ignored.
    pub(super) fn finish_attempt(&mut self, end: &AttemptEnd, context: &mut Context<'_>) {
        if let Some(event) = self.end_attempt(end, context) {
            self.feed(event, context);
        }
        self.forget(end.id);
    }

    /// Ends an attempt and returns its event; the first that is delivered is the request's answer.
    fn end_attempt(&mut self, end: &AttemptEnd, context: &mut Context<'_>) -> Option<Event> {
        let AttemptEnd { id, attempt, ending, report } = *end;
        let request = self.requests.get_mut(&id)?;
        let sent = request.attempts.get_mut(attempt as usize).filter(|sent| sent.in_flight)?;
        sent.in_flight = false;
        sent.may_have_run = !ending.never_ran();
        sent.ending = Some(ending);
        let upstream = sent.to;
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

//! Operators' calls: passed on to the primary, judged there, answered once what the answer rests on is certain.

use super::Coordinator;
use crate::configuration_change::{Rejection, Verdict};
use crate::messages::{Action, CallId, Message, OperatorAnswer, OperatorMessage, OperatorRequest};
use crate::replication::Replica;
use passrelay_dissemination::{CoreHint, Peer};
use std::net::SocketAddrV4;
use std::time::Duration;

/// An operator's call that has no answer after this is told to go elsewhere.
const CALL_PATIENCE: Duration = Duration::from_millis(850);
/// A call that was passed on is passed on again after this.
const RELAY_AGAIN_AFTER: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    Local(CallId),
    Remote(Peer, CallId),
}

pub(super) enum Step {
    /// Not yet judged: this process doesn't lead, or doesn't yet.
    Open { relayed: Option<Relayed> },
    /// An acknowledgement that waits for a commit.
    Commit { term: u64, index: u64, generation: u64 },
    /// A refusal that waits for a commit and a confirmation.
    Refuse { term: u64, index: u64, judged_at: Duration, refusal: Rejection },
    /// A read that waits for a confirmation.
    Read { term: u64, asked_at: Duration },
    /// An order of which nobody can tell any more whether it was taken.
    HistoryTruncated { term: u64 },
}

/// To whom a call was passed on, and when.
pub(super) struct Relayed {
    to: SocketAddrV4,
    at: Duration,
}

pub(super) struct Call {
    caller: Caller,
    request: OperatorRequest,
    began: Duration,
    step: Step,
}

impl Coordinator {
    pub(super) fn take_call(
        &mut self,
        now: Duration,
        caller: Caller,
        request: OperatorRequest,
        actions: &mut Vec<Action>,
    ) {
        if self.calls.iter().any(|c| c.caller == caller) {
            return;
        }
        self.calls.push(Call { caller, request, began: now, step: Step::Open { relayed: None } });
        self.advance_calls(now, actions);
    }

    pub(super) fn answer_local(&mut self, call: CallId, answer: OperatorAnswer, actions: &mut Vec<Action>) {
        let before = self.calls.len();
        self.calls.retain(|c| c.caller != Caller::Local(call));
        if self.calls.len() != before {
            actions.push(Action::Answer { call, answer });
        }
    }

    pub(super) fn advance_calls(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut calls = std::mem::take(&mut self.calls);
        let mut waiting = Vec::new();
        for mut call in calls.drain(..) {
            match self.advance_call(now, &mut call, actions) {
                Some(answer) => self.answer(call.caller, answer, actions),
                None if now.saturating_sub(call.began) >= CALL_PATIENCE => {
                    let answer = OperatorAnswer::unavailable("no primary answered in time, ask again");
                    self.answer(call.caller, answer, actions);
                }
                None => waiting.push(call),
            }
        }
        waiting.append(&mut self.calls);
        self.calls = waiting;
    }

    pub(super) fn answer(&self, caller: Caller, answer: OperatorAnswer, actions: &mut Vec<Action>) {
        match caller {
            Caller::Local(call) => actions.push(Action::Answer { call, answer }),
            Caller::Remote(asker, call) => {
                let message = Message::Operator(OperatorMessage::Answer { call, answer });
                actions.push(self.answer_to(asker, message));
            }
        }
    }

    pub(super) fn advance_call(
        &mut self,
        now: Duration,
        call: &mut Call,
        actions: &mut Vec<Action>,
    ) -> Option<OperatorAnswer> {
        if matches!(call.step, Step::Open { .. }) {
            if self.replica.as_ref().is_some_and(Replica::is_established) {
                call.step = self.judge(now, &call.request, actions)?;
            } else {
                self.relay(now, call, actions);
                return None;
            }
        }
        self.finish(&call.step)
    }

    /// Passes a call on to the primary, if another machine is that.
    pub(super) fn relay(&self, now: Duration, call: &mut Call, actions: &mut Vec<Action>) {
        let Step::Open { relayed } = &mut call.step else { return };
        let Caller::Local(id) = call.caller else { return };
        let Some(primary) =
            self.gossip.core().map(|c: &CoreHint| c.primary).filter(|p| *p != self.own.address)
        else {
            return;
        };
        let waits = |r: &Relayed| r.to == primary && now.saturating_sub(r.at) < RELAY_AGAIN_AFTER;
        if !relayed.as_ref().is_some_and(waits) {
            *relayed = Some(Relayed { to: primary, at: now });
            let message = OperatorMessage::Call { call: id, request: call.request.clone() };
            actions.push(self.send(primary, Message::Operator(message)));
        }
    }

    /// What is to become of a call on an established primary. `None` where the order can't be taken just now.
    pub(super) fn judge(
        &mut self,
        now: Duration,
        request: &OperatorRequest,
        actions: &mut Vec<Action>,
    ) -> Option<Step> {
        let replica = self.replica.as_mut()?;
        let state = replica.state().clone();
        let (term, index) = (state.version.term, state.version.index);
        let OperatorRequest::Change(order) = request else {
            replica.request_confirmation();
            return Some(Step::Read { term, asked_at: now });
        };
        let same_number = replica.mutation().is_applied_by_generation(order, &state);
        let verdict = if same_number { Verdict::AlreadyApplied } else { order.judge(&state) };
        let step = match verdict {
            Verdict::HistoryTruncated => Step::HistoryTruncated { term },
            Verdict::AlreadyApplied => Step::Commit { term, index, generation: state.generation },
            Verdict::Reject(refusal) => {
                replica.request_confirmation();
                Step::Refuse { term, index, judged_at: now, refusal }
            }
            Verdict::Apply { generation, document, order } => {
                let mut replica_actions = Vec::new();
                let index = replica.propose(now, generation, document, order, &mut replica_actions)?;
                self.carry_replica(replica_actions, actions);
                Step::Commit { term, index, generation }
            }
        };
        Some(step)
    }

    /// The answer to a judged call, once it may be given.
    pub(super) fn finish(&self, step: &Step) -> Option<OperatorAnswer> {
        let replica = self.replica.as_ref()?;
        let judged_in = match step {
            Step::Open { .. } => return None,
            Step::Commit { term, .. }
            | Step::Refuse { term, .. }
            | Step::Read { term, .. }
            | Step::HistoryTruncated { term } => *term,
        };
        let committed = replica.committed().filter(|_| replica.is_established());
        let Some(committed) = committed.filter(|c| c.version.term == judged_in) else {
            return Some(OperatorAnswer::unavailable("the primary changed, ask again"));
        };
        match step {
            Step::Open { .. } => None,
            Step::HistoryTruncated { .. } => Some(OperatorAnswer::unavailable(
                "the order is too old to tell whether it was taken, read first",
            )),
            Step::Commit { index, generation, .. } => {
                (committed.version.index >= *index).then(|| OperatorAnswer::acknowledged(*generation))
            }
            Step::Refuse { index, judged_at, refusal, .. } => {
                let confirmed =
                    replica.confirmed_at() >= Some(*judged_at) || replica.mutation().rejects_unconfirmed();
                (committed.version.index >= *index && confirmed)
                    .then(|| OperatorAnswer::fault(refusal.status(), &refusal.to_string()))
            }
            Step::Read { asked_at, .. } => {
                let confirmed =
                    replica.confirmed_at() >= Some(*asked_at) || replica.mutation().reads_unconfirmed();
                confirmed.then(|| match &committed.document {
                    Some(document) => OperatorAnswer { status: 200, body: document.clone() },
                    None => OperatorAnswer::fault(404, "there is no configuration yet"),
                })
            }
        }
    }
}

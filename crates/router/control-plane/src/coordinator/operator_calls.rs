//! Operator calls: they are forwarded to the primary, evaluated there, and answered once the answer is safe to give.
//!
//! A call is a state machine:
//!
//! ```text
//! Open --evaluated by the established primary--> AwaitCommit                 change applied, now or before
//!  |                                             AwaitRejectionConfirmation  change does not apply
//!  |                                             AwaitReadConfirmation       read
//!  |                                             AwaitMajority               rollout accepted, now or before
//!  |                                             AwaitOrderRejection         rollout not accepted
//!  |                                             AwaitRolloutRead            read of a rollout
//!  |                                             HistoryTruncated            undecidable: unavailable
//!  +--on any other process: forwarded to the primary, whose answer completes it
//! ```
//!
//! Safety: a change is evaluated against the primary's newest state, which may not be committed yet. An acknowledgement
//! waits until that state is committed. A rejection waits for that too, and then until a quorum has confirmed, at or
//! after the evaluation, that there is no later primary; a read waits for such a confirmation and serves the committed
//! state. Without the confirmation, a deposed primary could answer from an old state. If the term changes while a call
//! waits, its evaluation is void and the operator has to retry.
//!
//! Retrying a call is safe at any step: a change is recognised by its digest ([`ConfigurationChange::evaluate`]).
//! Nothing here is durable.

#[cfg(test)]
mod tests;

use super::context::Context;
use super::operator_outcome::{OperatorError, OperatorOutcome, OperatorReply};
use super::rollouts::ControllerLifecycle;
use crate::configuration_change::{ConfigurationChange, Rejection, Verdict};
use crate::messages::{Action, CallId, Message, OperatorAnswer, OperatorMessage, OperatorRequest};
use crate::replication::{Replica, ReplicatedState, StateVersion};
use crate::rollout::{self, OrderRejection, OrderVerdict};
use passrelay_configuration::RolloutOrder;
use passrelay_dissemination::{Gossip, Peer};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Timeout of a call. The operator then receives status 503 and retries at another process. Operators are guaranteed an
/// answer within one second, so the timeout is below that.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);
/// Interval at which a call is forwarded again to the same primary, since messages may be lost. Two retries fit into
/// [`CALL_TIMEOUT`].
const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The parts of the coordinator that operator calls depend on.
pub(super) struct CoreView<'a> {
    /// The replica of this process; `None` unless it is a voter whose disk is open.
    replica: Option<&'a mut Replica>,
    /// Address of the primary, if known through gossip.
    primary: Option<SocketAddrV4>,
    /// The rollout controller of this process.
    rollouts: &'a ControllerLifecycle,
}

impl<'a> CoreView<'a> {
    pub(super) fn new(
        replica: Option<&'a mut Replica>,
        gossip: &Gossip,
        rollouts: &'a ControllerLifecycle,
    ) -> Self {
        CoreView { replica, primary: gossip.core().map(|core| core.primary), rollouts }
    }

    fn established_replica(&mut self) -> Option<&mut Replica> {
        self.replica.as_deref_mut().filter(|replica| replica.is_established())
    }
}

/// The origin of a call. It identifies the call, so that a forwarded call that arrives twice counts once.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    /// An operator connected to this process.
    Local(CallId),
    /// Another process, to which the operator is connected.
    Forwarded { origin: Peer, call: CallId },
}

/// The pending calls of this process.
#[derive(Default)]
pub(super) struct OperatorCalls {
    /// In order of arrival, one per caller.
    pending: Vec<Call>,
}

impl OperatorCalls {
    /// Adds a call and advances all calls. Ignores a duplicate of a pending call.
    pub(super) fn submit(
        &mut self,
        core: CoreView<'_>,
        caller: Caller,
        request: OperatorRequest,
        context: &mut Context<'_>,
    ) {
        if self.pending.iter().any(|call| call.caller == caller) {
            return;
        }
        let state = CallState::Open { forwarded: None };
        self.pending.push(Call { caller, request, submitted_at: context.now(), state });
        self.advance(core, context);
    }

    /// Handles the primary's answer to a call forwarded by this process. Ignores later answers to the same call.
    pub(super) fn complete_forwarded(
        &mut self,
        call: CallId,
        answer: OperatorAnswer,
        context: &mut Context<'_>,
    ) {
        let pending_before = self.pending.len();
        self.pending.retain(|pending| pending.caller != Caller::Local(call));
        if self.pending.len() != pending_before {
            context.push(Action::Answer { call, answer });
        }
    }

    /// Advances every call as far as possible, and answers those that are complete or have timed out.
    pub(super) fn advance(&mut self, mut core: CoreView<'_>, context: &mut Context<'_>) {
        for mut call in std::mem::take(&mut self.pending) {
            match call.advance(&mut core, context) {
                Some(outcome) => call.answer(outcome, context),
                None if call.is_timed_out(context.now()) => call.answer(Err(OperatorError::Timeout), context),
                None => self.pending.push(call),
            }
        }
    }
}

/// A call that has not been answered yet.
struct Call {
    caller: Caller,
    request: OperatorRequest,
    submitted_at: Duration,
    state: CallState,
}

impl Call {
    /// Makes the next transition, if it is possible now. Returns the outcome if the call is complete.
    fn advance(&mut self, core: &mut CoreView<'_>, context: &mut Context<'_>) -> Option<OperatorOutcome> {
        if matches!(self.state, CallState::Open { .. }) {
            let rollouts = core.rollouts;
            match core.established_replica() {
                Some(replica) => self.state = evaluate(&self.request, replica, rollouts, context)?,
                None => {
                    self.forward(core.primary, context);
                    return None;
                }
            }
        }
        self.state.outcome(core.replica.as_deref()?)
    }

    /// Sends a local call to the primary, if that is another process: immediately to a new primary, at intervals to the
    /// same one. Forwarded calls are not forwarded again, since two processes that each regard the other as the primary
    /// would forward them in a loop.
    fn forward(&mut self, primary: Option<SocketAddrV4>, context: &mut Context<'_>) {
        let CallState::Open { forwarded } = &mut self.state else { return };
        let Caller::Local(call) = self.caller else { return };
        let Some(primary) = primary.filter(|primary| *primary != context.own().address) else { return };
        let now = context.now();
        if forwarded.as_ref().is_some_and(|forwarded| forwarded.is_in_flight(now, primary)) {
            return;
        }
        *forwarded = Some(Forwarded { to: primary, sent_at: now });
        let message = OperatorMessage::Call { call, request: self.request.clone() };
        context.send(primary, Message::Operator(message));
    }

    fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.submitted_at) >= CALL_TIMEOUT
    }

    fn answer(&self, outcome: OperatorOutcome, context: &mut Context<'_>) {
        let answer = OperatorAnswer::from(outcome);
        match self.caller {
            Caller::Local(call) => context.push(Action::Answer { call, answer }),
            Caller::Forwarded { origin, call } => {
                let message = OperatorMessage::Answer { call, answer };
                context.respond(origin, Message::Operator(message));
            }
        }
    }
}

/// The most recent forwarding of a call.
struct Forwarded {
    to: SocketAddrV4,
    sent_at: Duration,
}

impl Forwarded {
    /// Returns whether an answer of `primary` may still be in transit.
    fn is_in_flight(&self, now: Duration, primary: SocketAddrV4) -> bool {
        self.to == primary && now.saturating_sub(self.sent_at) < FORWARD_RETRY_INTERVAL
    }
}

/// The state of a call. All states except `Open` are reached only on the primary of the term that they contain, and are
/// void in any other term.
enum CallState {
    /// Not evaluated: this process is not the established primary, or not yet.
    Open { forwarded: Option<Forwarded> },
    /// A change that is acknowledged once the state at `position` is committed.
    AwaitCommit { position: StateVersion, generation: u64 },
    /// A rollout order that is acknowledged once the state at `position` is committed and on a majority of disks.
    AwaitMajority { position: StateVersion },
    /// A rollout order that is rejected once the state at `position` is committed and a quorum has confirmed the
    /// primary at or after `evaluated_at`.
    AwaitOrderRejection { position: StateVersion, evaluated_at: Duration, rejection: OrderRejection },
    /// A read of a rollout that is served once a quorum has confirmed the primary at or after `requested_at` and the
    /// committed state is on a majority of disks.
    AwaitRolloutRead { term: u64, requested_at: Duration, service: String },
    /// A change that is rejected once the state at `position` is committed and a quorum has confirmed the primary at or
    /// after `evaluated_at`.
    AwaitRejectionConfirmation { position: StateVersion, evaluated_at: Duration, rejection: Rejection },
    /// A read that is served once a quorum has confirmed the primary at or after `requested_at`.
    AwaitReadConfirmation { term: u64, requested_at: Duration },
    /// A change that may have been applied and since been dropped from the history.
    HistoryTruncated { term: u64 },
}

impl CallState {
    /// Returns the outcome, once the call can safely be answered with it.
    fn outcome(&self, replica: &Replica) -> Option<OperatorOutcome> {
        let term = self.evaluated_term()?;
        let committed = replica.committed().filter(|_| replica.is_established());
        let Some(committed) = committed.filter(|committed| committed.version.term == term) else {
            return Some(Err(OperatorError::PrimaryChanged));
        };
        match self {
            CallState::Open { .. } => None,
            CallState::AwaitCommit { position, generation } => (committed.version.index >= position.index)
                .then_some(Ok(OperatorReply::Acknowledged { generation: *generation })),
            CallState::AwaitRejectionConfirmation { position, evaluated_at, rejection } => {
                let confirmed =
                    replica.confirmed_at() >= Some(*evaluated_at) || replica.mutation().rejects_unconfirmed();
                (committed.version.index >= position.index && confirmed)
                    .then(|| Err(OperatorError::Rejected(rejection.clone())))
            }
            CallState::AwaitReadConfirmation { requested_at, .. } => {
                let confirmed =
                    replica.confirmed_at() >= Some(*requested_at) || replica.mutation().reads_unconfirmed();
                confirmed.then(|| read(committed))
            }
            CallState::AwaitMajority { position } => {
                let is_durable = committed.version.index >= position.index
                    && replica.is_durable_on_majority(position.index);
                is_durable.then_some(Ok(OperatorReply::RolloutAccepted))
            }
            CallState::AwaitOrderRejection { position, evaluated_at, rejection } => {
                let confirmed = replica.confirmed_at() >= Some(*evaluated_at);
                (committed.version.index >= position.index && confirmed)
                    .then(|| Err(OperatorError::OrderRejected(rejection.clone())))
            }
            CallState::AwaitRolloutRead { requested_at, service, .. } => {
                let confirmed = replica.confirmed_at() >= Some(*requested_at);
                (confirmed && replica.is_durable_on_majority(committed.version.index))
                    .then(|| read_rollout(committed, service))
            }
            CallState::HistoryTruncated { .. } => Some(Err(OperatorError::HistoryTruncated)),
        }
    }

    /// Returns the term of the primary that evaluated the call; `None` for an open call.
    fn evaluated_term(&self) -> Option<u64> {
        match self {
            CallState::Open { .. } => None,
            CallState::AwaitCommit { position, .. }
            | CallState::AwaitMajority { position }
            | CallState::AwaitOrderRejection { position, .. }
            | CallState::AwaitRejectionConfirmation { position, .. } => Some(position.term),
            CallState::AwaitReadConfirmation { term, .. }
            | CallState::AwaitRolloutRead { term, .. }
            | CallState::HistoryTruncated { term } => Some(*term),
        }
    }
}

/// Returns the outcome of a confirmed read of the configuration.
fn read(committed: &ReplicatedState) -> OperatorOutcome {
    let document = committed.document.clone().ok_or(OperatorError::NotConfigured)?;
    Ok(OperatorReply::Document(document))
}

/// Returns the outcome of a confirmed read of a service's rollout.
fn read_rollout(committed: &ReplicatedState, service: &str) -> OperatorOutcome {
    let rollouts = committed.rollouts.get(service);
    let rollout = rollouts.and_then(|rollouts| rollouts.all().next()).ok_or(OperatorError::NoRollout)?;
    Ok(OperatorReply::Rollout(rollout.clone()))
}

/// Evaluates a request on an established primary. Returns `None` if a change cannot be proposed at the moment; the call
/// then stays open.
fn evaluate(
    request: &OperatorRequest,
    replica: &mut Replica,
    rollouts: &ControllerLifecycle,
    context: &mut Context<'_>,
) -> Option<CallState> {
    match request {
        OperatorRequest::Read => {
            replica.request_confirmation();
            let term = replica.state().version.term;
            Some(CallState::AwaitReadConfirmation { term, requested_at: context.now() })
        }
        OperatorRequest::Change(change) => evaluate_change(change, replica, context),
        OperatorRequest::OrderRollout(order) => evaluate_order(order, replica, rollouts, context),
        OperatorRequest::ReadRollout { service } => {
            replica.request_confirmation();
            let term = replica.state().version.term;
            let service = service.clone();
            Some(CallState::AwaitRolloutRead { term, requested_at: context.now(), service })
        }
    }
}

/// Evaluates a rollout order against the newest state, committed or not.
fn evaluate_order(
    order: &RolloutOrder,
    replica: &mut Replica,
    rollouts: &ControllerLifecycle,
    context: &mut Context<'_>,
) -> Option<CallState> {
    let now = context.now();
    let state = replica.state().clone();
    let position = state.version;
    if !rollouts.is_enabled() {
        let rejection = OrderRejection::RolloutsNotEnabled;
        return Some(CallState::AwaitOrderRejection { position, evaluated_at: now, rejection });
    }
    match rollout::evaluate_order(order, &state, |id| rollouts.age(now, id)) {
        OrderVerdict::AlreadyAccepted => Some(CallState::AwaitMajority { position }),
        OrderVerdict::Reject(rejection) => {
            replica.request_confirmation();
            Some(CallState::AwaitOrderRejection { position, evaluated_at: now, rejection })
        }
        OrderVerdict::Accept(accepted) => {
            let versions = state.service_versions.clone();
            let index = context.step_replica(replica, |replica, actions| {
                replica.propose_rollouts(now, accepted, versions, actions)
            })?;
            Some(CallState::AwaitMajority { position: StateVersion { term: position.term, index } })
        }
    }
}

/// Evaluates a change against the newest state, committed or not: a change is proposed on top of its predecessor
/// without waiting for that one to be committed.
fn evaluate_change(
    change: &ConfigurationChange,
    replica: &mut Replica,
    context: &mut Context<'_>,
) -> Option<CallState> {
    let now = context.now();
    let state = replica.state().clone();
    let position = state.version;
    let is_applied_by_generation = replica.mutation().is_applied_by_generation(change, &state);
    let verdict = if is_applied_by_generation { Verdict::AlreadyApplied } else { change.evaluate(&state) };
    match verdict {
        Verdict::HistoryTruncated => Some(CallState::HistoryTruncated { term: position.term }),
        Verdict::AlreadyApplied => Some(CallState::AwaitCommit { position, generation: state.generation }),
        Verdict::Reject(rejection) => {
            replica.request_confirmation();
            Some(CallState::AwaitRejectionConfirmation { position, evaluated_at: now, rejection })
        }
        Verdict::Apply { generation, document, applied_change } => {
            let index = context.step_replica(replica, |replica, actions| {
                replica.propose(now, generation, document, applied_change, actions)
            })?;
            let position = StateVersion { term: position.term, index };
            Some(CallState::AwaitCommit { position, generation })
        }
    }
}

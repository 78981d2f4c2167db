//! Operator calls: forwarded to the primary, adjudicated there, and answered once the answer is safe to give.
//!
//! A call is a state machine:
//!
//! ```text
//! Open --adjudicated by the established primary--> AwaitCommit                  change applied, now or before
//!  |                                               AwaitRejectionConfirmation  change does not apply
//!  |                                               AwaitReadConfirmation       read
//!  |                                               HistoryTruncated            undecidable: unavailable
//!  +--on any other process: forwarded to the primary, whose answer completes it
//! ```
//!
//! Safety: a change is adjudicated against the primary's newest state, which may not be committed yet. An
//! acknowledgement waits until that state is committed. A rejection waits for that too, and then until a quorum has
//! confirmed, at or after the adjudication, that there is no later primary; a read waits for such a confirmation and
//! serves the committed state. Without the confirmation a deposed primary could answer from an old state.
//! If the term changes while a call waits, its adjudication is void and the operator has to retry.
//!
//! Calls are retried at any step without harm: a change is recognised by its digest
//! ([`ConfigurationChange::adjudicate`]). Nothing here is durable.

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

/// Timeout of a call; then 503, and the operator retries elsewhere. Operators are promised an answer within a second,
/// so this stays below it.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);
/// Interval at which a call is forwarded again to the same primary: messages may be lost. Two retries fit into
/// [`CALL_TIMEOUT`].
const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// What operator calls see of the core.
pub(super) struct Core<'a> {
    /// The replica of this process, on voters.
    replica: Option<&'a mut Replica>,
    /// Address of the primary, as far as gossip knows it.
    primary: Option<SocketAddrV4>,
    /// The controller of roll-outs.
    rollouts: &'a ControllerLifecycle,
}

impl<'a> Core<'a> {
    pub(super) fn new(
        replica: Option<&'a mut Replica>,
        gossip: &Gossip,
        rollouts: &'a ControllerLifecycle,
    ) -> Self {
        Core { replica, primary: gossip.core().map(|core| core.primary), rollouts }
    }

    fn established_replica(&mut self) -> Option<&mut Replica> {
        self.replica.as_deref_mut().filter(|replica| replica.is_established())
    }
}

/// Where a call came from. Identifies the call: a forwarded one that arrives twice is one call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    /// An operator connected to this process.
    Local(CallId),
    /// Another process, which has the operator's connection.
    Forwarded { origin: Peer, call: CallId },
}

/// The calls of this process that are not answered yet.
#[derive(Default)]
pub(super) struct OperatorCalls {
    /// In order of arrival, one per caller.
    pending: Vec<Call>,
}

impl OperatorCalls {
    /// Adds a call and advances all calls. A duplicate of a pending call is ignored.
    pub(super) fn submit(
        &mut self,
        core: Core<'_>,
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

    /// The primary has answered a forwarded call. Later answers to the same call are ignored.
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

    /// Advances every call as far as possible, and answers those that are complete or timed out.
    pub(super) fn advance(&mut self, mut core: Core<'_>, context: &mut Context<'_>) {
        for mut call in std::mem::take(&mut self.pending) {
            match call.advance(&mut core, context) {
                Some(outcome) => call.answer(outcome, context),
                None if call.is_timed_out(context.now()) => call.answer(Err(OperatorError::Timeout), context),
                None => self.pending.push(call),
            }
        }
    }
}

/// A call that is not answered yet.
struct Call {
    caller: Caller,
    request: OperatorRequest,
    submitted_at: Duration,
    state: CallState,
}

impl Call {
    /// Takes the next transition, if it is possible now. Returns the outcome of a call that is complete.
    fn advance(&mut self, core: &mut Core<'_>, context: &mut Context<'_>) -> Option<OperatorOutcome> {
        if matches!(self.state, CallState::Open { .. }) {
            let rollouts = core.rollouts;
            match core.established_replica() {
                Some(replica) => self.state = adjudicate(&self.request, replica, rollouts, context)?,
                None => {
                    self.forward(core.primary, context);
                    return None;
                }
            }
        }
        self.state.outcome(core.replica.as_deref()?)
    }

    /// Sends a local call to the primary, if another process is that: at once to a new primary, at intervals to the
    /// same. Forwarded calls are not forwarded again: two processes that each regard the other as the primary
    /// would loop.
    fn forward(&mut self, primary: Option<SocketAddrV4>, context: &mut Context<'_>) {
        let CallState::Open { forwarded } = &mut self.state else { return };
        let Caller::Local(call) = self.caller else { return };
        let Some(primary) = primary.filter(|primary| *primary != context.own().address) else { return };
        let now = context.now();
        if forwarded.as_ref().is_some_and(|forwarded| forwarded.is_in_flight(now, primary)) {
            return;
        }
        *forwarded = Some(Forwarded { to: primary, at: now });
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

/// The last forwarding of a call.
struct Forwarded {
    to: SocketAddrV4,
    at: Duration,
}

impl Forwarded {
    /// Whether an answer of this primary may still be on its way.
    fn is_in_flight(&self, now: Duration, primary: SocketAddrV4) -> bool {
        self.to == primary && now.saturating_sub(self.at) < FORWARD_RETRY_INTERVAL
    }
}

/// How far a call has got. All states but `Open` are reached only on the primary of the term that they name, and are
/// void in any other term.
enum CallState {
    /// Not adjudicated: this process is not the established primary, or not yet.
    Open { forwarded: Option<Forwarded> },
    /// A change that is acknowledged once the state at `position` is committed.
    AwaitCommit { position: StateVersion, generation: u64 },
    /// An order of a roll-out, acknowledged once the state at `position` is committed and on a majority of disks.
    AwaitMajority { position: StateVersion },
    /// An order that is rejected once a quorum has confirmed the primary at or after `adjudicated_at`.
    AwaitOrderRejection { position: StateVersion, adjudicated_at: Duration, rejection: OrderRejection },
    /// A read of a roll-out, served once a quorum has confirmed the primary at or after `requested_at` and the state is on a majority
    /// of disks.
    AwaitRolloutRead { term: u64, requested_at: Duration, service: String },
    /// A rejection, valid once the state at `position` is committed and a quorum has confirmed the primary at or after
    /// `adjudicated_at`.
    AwaitRejectionConfirmation { position: StateVersion, adjudicated_at: Duration, rejection: Rejection },
    /// A read, served once a quorum has confirmed the primary at or after `requested_at`.
    AwaitReadConfirmation { term: u64, requested_at: Duration },
    /// A change that may have been applied and dropped from the history since.
    HistoryTruncated { term: u64 },
}

impl CallState {
    /// The outcome, once it is safe to answer with.
    fn outcome(&self, replica: &Replica) -> Option<OperatorOutcome> {
        let term = self.adjudicated_term()?;
        let committed = replica.committed().filter(|_| replica.is_established());
        let Some(committed) = committed.filter(|committed| committed.version.term == term) else {
            return Some(Err(OperatorError::PrimaryChanged));
        };
        match self {
            CallState::Open { .. } => None,
            CallState::AwaitCommit { position, generation } => (committed.version.index >= position.index)
                .then_some(Ok(OperatorReply::Acknowledged { generation: *generation })),
            CallState::AwaitRejectionConfirmation { position, adjudicated_at, rejection } => {
                let confirmed = replica.confirmed_at() >= Some(*adjudicated_at)
                    || replica.mutation().rejects_unconfirmed();
                (committed.version.index >= position.index && confirmed)
                    .then(|| Err(OperatorError::Rejected(rejection.clone())))
            }
            CallState::AwaitReadConfirmation { requested_at, .. } => {
                let confirmed =
                    replica.confirmed_at() >= Some(*requested_at) || replica.mutation().reads_unconfirmed();
                confirmed.then(|| read(committed))
            }
            CallState::AwaitMajority { position } => {
                let is_durable =
                    committed.version.index >= position.index && replica.is_on_majority(position.index);
                is_durable.then_some(Ok(OperatorReply::RolloutAccepted))
            }
            CallState::AwaitOrderRejection { position, adjudicated_at, rejection } => {
                let confirmed = replica.confirmed_at() >= Some(*adjudicated_at);
                (committed.version.index >= position.index && confirmed)
                    .then(|| Err(OperatorError::OrderRejected(rejection.clone())))
            }
            CallState::AwaitRolloutRead { requested_at, service, .. } => {
                let confirmed = replica.confirmed_at() >= Some(*requested_at);
                (confirmed && replica.is_on_majority(committed.version.index))
                    .then(|| read_rollout(committed, service))
            }
            CallState::HistoryTruncated { .. } => Some(Err(OperatorError::HistoryTruncated)),
        }
    }

    /// The term of the primary that adjudicated the call.
    fn adjudicated_term(&self) -> Option<u64> {
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

/// A confirmed read of the committed state.
fn read(committed: &ReplicatedState) -> OperatorOutcome {
    let document = committed.document.clone().ok_or(OperatorError::NotConfigured)?;
    Ok(OperatorReply::Document(document))
}

/// A confirmed read of a service's roll-out.
fn read_rollout(committed: &ReplicatedState, service: &str) -> OperatorOutcome {
    let rollouts = committed.rollouts.get(service);
    let rollout = rollouts.and_then(|rollouts| rollouts.all().next()).ok_or(OperatorError::NoRollout)?;
    Ok(OperatorReply::Rollout(rollout.clone()))
}

/// Adjudicates a request on an established primary. `None` if a change cannot be proposed right now; the call stays open.
fn adjudicate(
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
        OperatorRequest::Change(change) => adjudicate_change(change, replica, context),
        OperatorRequest::OrderRollout(order) => adjudicate_order(order, replica, rollouts, context),
        OperatorRequest::ReadRollout { service } => {
            replica.request_confirmation();
            let term = replica.state().version.term;
            let service = service.clone();
            Some(CallState::AwaitRolloutRead { term, requested_at: context.now(), service })
        }
    }
}

/// Adjudicates an order of a roll-out against the newest state, committed or not.
fn adjudicate_order(
    order: &RolloutOrder,
    replica: &mut Replica,
    rollouts: &ControllerLifecycle,
    context: &mut Context<'_>,
) -> Option<CallState> {
    let now = context.now();
    let state = replica.state().clone();
    let position = state.version;
    if !rollouts.is_enabled() {
        let rejection = OrderRejection::NotInContract;
        return Some(CallState::AwaitOrderRejection { position, adjudicated_at: now, rejection });
    }
    match rollout::adjudicate(order, &state, |id| rollouts.age(now, id)) {
        OrderVerdict::AlreadyAccepted => Some(CallState::AwaitMajority { position }),
        OrderVerdict::Reject(rejection) => {
            replica.request_confirmation();
            Some(CallState::AwaitOrderRejection { position, adjudicated_at: now, rejection })
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

/// Adjudicates a change against the newest state, committed or not: changes are proposed one on the other without
/// waiting for the commit of the one before.
fn adjudicate_change(
    change: &ConfigurationChange,
    replica: &mut Replica,
    context: &mut Context<'_>,
) -> Option<CallState> {
    let now = context.now();
    let state = replica.state().clone();
    let position = state.version;
    let same_number = replica.mutation().is_applied_by_generation(change, &state);
    let verdict = if same_number { Verdict::AlreadyApplied } else { change.adjudicate(&state) };
    match verdict {
        Verdict::HistoryTruncated => Some(CallState::HistoryTruncated { term: position.term }),
        Verdict::AlreadyApplied => Some(CallState::AwaitCommit { position, generation: state.generation }),
        Verdict::Reject(rejection) => {
            replica.request_confirmation();
            Some(CallState::AwaitRejectionConfirmation { position, adjudicated_at: now, rejection })
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

//! Operator calls on a process that is not the primary: forwarding, completion and timeout.

use super::{Caller, CoreView, OperatorCalls};
use crate::coordinator::context::Context;
use crate::coordinator::rollouts::ControllerLifecycle;
use crate::messages::{Action, CallId, Envelope, Message, OperatorAnswer, OperatorMessage, OperatorRequest};
use passrelay_dissemination::{Incarnation, Peer};
use rstest::rstest;
use std::net::SocketAddrV4;
use std::time::Duration;

const CALL: CallId = CallId(7);
/// Port of the process under test. The addresses of all processes differ only in the port.
const OWN_PORT: u16 = 1;
const PRIMARY: u16 = 2;
const NEXT_PRIMARY: u16 = 3;
const TIMEOUT_BODY: &str = r#"{"error":"no primary answered in time, ask again"}"#;

fn address(port: u16) -> SocketAddrV4 {
    format!("10.0.0.1:{port}").parse().unwrap()
}

fn process(port: u16) -> Peer {
    Peer { address: address(port), incarnation: Incarnation(u64::from(port)) }
}

/// Runs a step at `at_ms` on a process without a replica that knows `primary`. Returns the emitted actions.
fn step(at_ms: u64, primary: Option<u16>, step: impl FnOnce(CoreView<'_>, &mut Context<'_>)) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut context = Context::new(Duration::from_millis(at_ms), process(OWN_PORT), &mut actions);
    let rollouts = ControllerLifecycle::new(None);
    step(CoreView { replica: None, primary: primary.map(address), rollouts: &rollouts }, &mut context);
    actions
}

fn submit(calls: &mut OperatorCalls, at_ms: u64, primary: Option<u16>, caller: Caller) -> Vec<Action> {
    step(at_ms, primary, |core, context| calls.submit(core, caller, OperatorRequest::Read, context))
}

fn advance(calls: &mut OperatorCalls, at_ms: u64, primary: Option<u16>) -> Vec<Action> {
    step(at_ms, primary, |core, context| calls.advance(core, context))
}

fn complete(calls: &mut OperatorCalls, answer: &OperatorAnswer) -> Vec<Action> {
    step(100, Some(PRIMARY), |_, context| calls.complete_forwarded(CALL, answer.clone(), context))
}

/// Returns the action that forwards the call to the process at `port`.
fn forwarded_to(port: u16) -> Vec<Action> {
    let message = Message::Operator(OperatorMessage::Call { call: CALL, request: OperatorRequest::Read });
    let envelope = Envelope { sender: process(OWN_PORT).incarnation, addressee: None, message };
    vec![Action::Send { to: address(port), envelope }]
}

#[test]
fn a_local_call_is_forwarded_at_once_and_retried_at_intervals() {
    let mut calls = OperatorCalls::default();
    assert_eq!(submit(&mut calls, 0, Some(PRIMARY), Caller::Local(CALL)), forwarded_to(PRIMARY));
    assert_eq!(advance(&mut calls, 299, Some(PRIMARY)), []);
    assert_eq!(advance(&mut calls, 300, Some(PRIMARY)), forwarded_to(PRIMARY));
    assert_eq!(advance(&mut calls, 310, Some(NEXT_PRIMARY)), forwarded_to(NEXT_PRIMARY));
}

#[rstest]
#[case::no_primary_known(None, Caller::Local(CALL))]
#[case::own_address_is_the_primary(Some(OWN_PORT), Caller::Local(CALL))]
#[case::already_forwarded(Some(PRIMARY), Caller::Forwarded { origin: process(NEXT_PRIMARY), call: CALL })]
fn a_call_that_cannot_be_forwarded_stays_open(#[case] primary: Option<u16>, #[case] caller: Caller) {
    let mut calls = OperatorCalls::default();
    assert_eq!(submit(&mut calls, 0, primary, caller), []);
    assert_eq!(calls.pending.len(), 1);
}

#[test]
fn a_duplicate_of_a_pending_call_is_ignored() {
    let mut calls = OperatorCalls::default();
    let caller = Caller::Forwarded { origin: process(NEXT_PRIMARY), call: CALL };
    submit(&mut calls, 0, None, caller);
    submit(&mut calls, 10, None, caller);
    assert_eq!(calls.pending.len(), 1);
}

#[test]
fn the_answer_of_the_primary_completes_a_call_once() {
    let mut calls = OperatorCalls::default();
    submit(&mut calls, 0, Some(PRIMARY), Caller::Local(CALL));
    let answer = OperatorAnswer { status: 200, body: "{}".into() };
    assert_eq!(complete(&mut calls, &answer), [Action::Answer { call: CALL, answer: answer.clone() }]);
    assert_eq!(complete(&mut calls, &answer), []);
}

#[test]
fn a_local_call_times_out_as_unavailable() {
    let mut calls = OperatorCalls::default();
    submit(&mut calls, 0, None, Caller::Local(CALL));
    assert_eq!(advance(&mut calls, 849, None), []);
    let answer = OperatorAnswer { status: 503, body: TIMEOUT_BODY.into() };
    assert_eq!(advance(&mut calls, 850, None), [Action::Answer { call: CALL, answer }]);
    assert_eq!(advance(&mut calls, 860, None), []);
}

#[test]
fn the_timeout_of_a_forwarded_call_is_reported_to_the_incarnation_that_forwarded_it() {
    let mut calls = OperatorCalls::default();
    let origin = process(NEXT_PRIMARY);
    submit(&mut calls, 0, None, Caller::Forwarded { origin, call: CALL });
    let answer = OperatorAnswer { status: 503, body: TIMEOUT_BODY.into() };
    let message = Message::Operator(OperatorMessage::Answer { call: CALL, answer });
    let envelope =
        Envelope { sender: process(OWN_PORT).incarnation, addressee: Some(origin.incarnation), message };
    assert_eq!(advance(&mut calls, 850, None), [Action::Send { to: origin.address, envelope }]);
}

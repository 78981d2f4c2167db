//! The dispatcher with a module whose actions the test writes: what it lets out and when.

use passrelay_load_balancing::dispatcher::{Answer, Arrival, Decider, Dispatcher, Timer, Transport};
use passrelay_load_balancing::*;

mod common;
use common::{entry, settings};

/// Sends each request to node 1, and retries it at node 2 when that attempt ends.
struct Twice;

impl Decider for Twice {
    fn handle(&mut self, _now: f64, event: Event, actions: &mut Vec<Action>) {
        let (id, to) = match event {
            Event::Request { id, .. } => (id, 1),
            Event::Outcome(Outcome { id, attempt: 0, .. }) => (id, 2),
            _ => return,
        };
        actions.push(Action::Send { id, upstream: UpstreamId(to), timeout: None });
    }
}

/// The idempotency of a class whose repeats are dropped within this window.
fn keyed(window: f64) -> Idempotency {
    Idempotency::Keyed { scope: DedupScope::All, window }
}

/// A transport that does nothing.
struct Idle;

impl Transport for Idle {
    fn send(&mut self, _: RequestId, _: u32, _: UpstreamId) {}
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn answer(&mut self, _: RequestId, _: Answer) {}
    fn health_check(&mut self, _: UpstreamId) {}
    fn subscribe(&mut self) {}
    fn set_timer(&mut self, _: f64, _: Timer) {}
}

/// A dispatcher with one request of a class with this idempotency, whose first attempt ended this way at 0.1 s.
fn repeated(idempotency: Idempotency, ending: Ending) -> (Dispatcher<Twice>, RequestId) {
    let mut dispatcher = Dispatcher::with_decider(Twice, &settings(idempotency));
    dispatcher.update_endpoints(0.0, true, vec![entry(1), entry(2)], &mut Idle);
    let id = dispatcher.assign_id();
    let arrival =
        Arrival { class: ClassId(0), tenant: None, client_timeout: 2.0, work_hint: None, repeat: false };
    dispatcher.request_arrived(0.0, id, arrival, &mut Idle);
    assert!(dispatcher.may_send(0.0, id, 0).is_some());
    dispatcher.attempt_ended(0.1, id, 0, ending, None, &mut Idle);
    (dispatcher, id)
}

// Guards against a repeat that is sent after its window: it was decided in time, but connected later. The
// window counts from the first attempt that may have run, and each class's own idempotency says how long it is.
#[test]
fn a_repeat_is_sent_only_within_the_window_of_its_class() {
    let cases = [
        (keyed(0.5), Ending::ConnectionLost, 0.4, true),
        (keyed(0.5), Ending::ConnectionLost, 0.5, false),
        (keyed(0.5), Ending::TimedOut, 0.6, false),
        // After an attempt that never ran, it is no repeat.
        (keyed(0.5), Ending::NotSent, 0.6, true),
        (Idempotency::Idempotent, Ending::ConnectionLost, 1.5, true),
        (Idempotency::NonIdempotent, Ending::ConnectionLost, 0.2, false),
        (Idempotency::NonIdempotent, Ending::ConnectFailed, 0.2, true),
    ];
    for (idempotency, ending, at, wanted) in cases {
        let (dispatcher, id) = repeated(idempotency, ending);
        assert_eq!(dispatcher.may_send(at, id, 1).is_some(), wanted, "{idempotency:?}, {ending:?} at {at}");
    }
}

// Guards against applying the window of a configuration that came after the request.
#[test]
fn a_request_keeps_the_window_of_its_arrival() {
    let (mut dispatcher, id) = repeated(keyed(0.5), Ending::ConnectionLost);
    dispatcher.update_settings(&settings(keyed(5.0))).unwrap();
    assert!(dispatcher.may_send(0.4, id, 1).is_some());
    assert!(dispatcher.may_send(0.6, id, 1).is_none());
}

// Guards against an attempt sent for a client that disconnected during connection set-up, to a node that drains by then,
// or after the request's deadline.
#[test]
fn no_attempt_is_sent_for_a_disconnected_client_or_to_a_draining_node() {
    let (mut dispatcher, id) = repeated(Idempotency::Idempotent, Ending::NotSent);
    assert!(dispatcher.may_send(0.2, id, 1).is_some());
    assert!(dispatcher.may_send(2.0, id, 1).is_none());
    dispatcher.update_endpoints(0.2, true, vec![entry(1)], &mut Idle);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
    let (mut dispatcher, id) = repeated(Idempotency::Idempotent, Ending::NotSent);
    dispatcher.client_disconnected(0.2, id, &mut Idle);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
}

//! The dispatcher with a scripted decider: which attempts may be sent, and when.

use passrelay_load_balancing::dispatcher::{Answer, Arrival, Decider, Dispatcher, Timer, Transport};
use passrelay_load_balancing::*;

mod common;
use common::{entry, settings};

/// Sends each request to upstream 1, and to upstream 2 when that attempt ends.
struct RetryOnce;

impl Decider for RetryOnce {
    fn handle(&mut self, _now: f64, event: Event, actions: &mut Vec<Action>) {
        let (id, upstream) = match event {
            Event::Request { id, .. } => (id, 1),
            Event::Outcome(Outcome { id, attempt: 0, .. }) => (id, 2),
            _ => return,
        };
        actions.push(Action::Send { id, upstream: UpstreamId(upstream), timeout: None });
    }
}

/// The idempotency of a class whose repeats are dropped within this window, in seconds.
fn keyed(window: f64) -> Idempotency {
    Idempotency::Keyed { scope: DedupScope::All, window }
}

/// A transport that does nothing.
struct NullTransport;

impl Transport for NullTransport {
    fn send(&mut self, _: RequestId, _: u32, _: UpstreamId) {}
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn answer(&mut self, _: RequestId, _: Answer) {}
    fn health_check(&mut self, _: UpstreamId) {}
    fn subscribe(&mut self) {}
    fn set_timer(&mut self, _: f64, _: Timer) {}
}

/// Returns a dispatcher with one request of a class with this idempotency, whose first attempt ended this way at
/// 0.1 s, and the id of the request.
fn retried(idempotency: Idempotency, ending: Ending) -> (Dispatcher<RetryOnce>, RequestId) {
    let mut dispatcher = Dispatcher::with_decider(RetryOnce, &settings(idempotency));
    dispatcher.update_endpoints(0.0, true, vec![entry(1), entry(2)], &mut NullTransport);
    let id = dispatcher.assign_id();
    let arrival =
        Arrival { class: ClassId(0), tenant: None, client_timeout: 2.0, work_hint: None, repeat: false };
    dispatcher.request_arrived(0.0, id, arrival, &mut NullTransport);
    assert!(dispatcher.may_send(0.0, id, 0).is_some());
    dispatcher.attempt_ended(0.1, id, 0, ending, None, &mut NullTransport);
    (dispatcher, id)
}

// Guards against a repeat that is sent after its window, since it was decided in time but its connection was
// established later. The window starts with the first attempt that may have run, and its length is that of the class.
#[test]
fn a_repeat_is_sent_only_within_the_window_of_its_class() {
    let cases = [
        (keyed(0.5), Ending::ConnectionLost, 0.4, true),
        (keyed(0.5), Ending::ConnectionLost, 0.5, false),
        (keyed(0.5), Ending::TimedOut, 0.6, false),
        // An attempt that follows one that never ran is not a repeat.
        (keyed(0.5), Ending::NotSent, 0.6, true),
        (Idempotency::Idempotent, Ending::ConnectionLost, 1.5, true),
        (Idempotency::NonIdempotent, Ending::ConnectionLost, 0.2, false),
        (Idempotency::NonIdempotent, Ending::ConnectFailed, 0.2, true),
    ];
    for (idempotency, ending, at, may_send) in cases {
        let (dispatcher, id) = retried(idempotency, ending);
        assert_eq!(dispatcher.may_send(at, id, 1).is_some(), may_send, "{idempotency:?}, {ending:?} at {at}");
    }
}

// Guards against applying the window of settings that became effective after the arrival of the request.
#[test]
fn a_request_keeps_the_window_of_its_arrival() {
    let (mut dispatcher, id) = retried(keyed(0.5), Ending::ConnectionLost);
    dispatcher.update_settings(&settings(keyed(5.0))).unwrap();
    assert!(dispatcher.may_send(0.4, id, 1).is_some());
    assert!(dispatcher.may_send(0.6, id, 1).is_none());
}

// Guards against an attempt that is sent although, while its connection was being established, the client has
// disconnected, the upstream has begun to drain, or the deadline has passed.
#[test]
fn no_attempt_is_sent_for_a_disconnected_client_or_to_a_draining_upstream() {
    let (mut dispatcher, id) = retried(Idempotency::Idempotent, Ending::NotSent);
    assert!(dispatcher.may_send(0.2, id, 1).is_some());
    assert!(dispatcher.may_send(2.0, id, 1).is_none());
    dispatcher.update_endpoints(0.2, true, vec![entry(1)], &mut NullTransport);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
    let (mut dispatcher, id) = retried(Idempotency::Idempotent, Ending::NotSent);
    dispatcher.client_disconnected(0.2, id, &mut NullTransport);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
}

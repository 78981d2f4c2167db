//! The dispatcher with a module whose actions the test writes: what it lets out and when.

use passrelay_load_balancing::dispatcher::{Answer, Arrival, Decider, Dispatcher, Timer, Transport};
use passrelay_load_balancing::*;

mod common;
use common::{entry, settings};

/// Sends each request to node 1, and again to node 2 when that ends.
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

/// A class that may be repeated within this time.
fn keyed(window: f64) -> Effect {
    Effect::Keyed { scope: DedupScope::All, window }
}

/// A transport that carries nothing out.
struct Idle;

impl Transport for Idle {
    fn send(&mut self, _: RequestId, _: u32, _: UpstreamId) {}
    fn withdraw(&mut self, _: RequestId, _: u32) {}
    fn answer(&mut self, _: RequestId, _: Answer) {}
    fn probe(&mut self, _: UpstreamId) {}
    fn watch(&mut self) {}
    fn set_timer(&mut self, _: f64, _: Timer) {}
}

/// A dispatcher with one request of a class of this effect, whose first attempt ended like this at 0.1 s.
fn repeated(effect: Effect, ending: Ending) -> (Dispatcher<Twice>, RequestId) {
    let mut dispatcher = Dispatcher::with_decider(Twice, &settings(effect));
    dispatcher.update_endpoints(0.0, true, vec![entry(1), entry(2)], &mut Idle);
    let id = dispatcher.next_id();
    let arrival = Arrival { class: ClassId(0), tenant: None, budget: 2.0, work: None, repeat: false };
    dispatcher.arrive(0.0, id, arrival, &mut Idle);
    assert!(dispatcher.may_send(0.0, id, 0).is_some());
    dispatcher.outcome(0.1, id, 0, ending, None, &mut Idle);
    (dispatcher, id)
}

// Guards against a repeat that goes out after its window: it was decided in time, but its connection came up later. The
// window counts from the first attempt that may have run, and each class's own effect says how long it is.
#[test]
fn a_repeat_goes_out_within_its_classs_window_only() {
    let cases = [
        (keyed(0.5), Ending::Dropped, 0.4, true),
        (keyed(0.5), Ending::Dropped, 0.5, false),
        (keyed(0.5), Ending::Expired, 0.6, false),
        // What never ran is no repeat.
        (keyed(0.5), Ending::Unused, 0.6, true),
        (Effect::Safe, Ending::Dropped, 1.5, true),
        (Effect::Unsafe, Ending::Dropped, 0.2, false),
        (Effect::Unsafe, Ending::DialFailed, 0.2, true),
    ];
    for (effect, ending, at, wanted) in cases {
        let (dispatcher, id) = repeated(effect, ending);
        assert_eq!(dispatcher.may_send(at, id, 1).is_some(), wanted, "{effect:?}, {ending:?} at {at}");
    }
}

// Guards against a repeat held to the window of a configuration that came after its request.
#[test]
fn a_request_keeps_the_window_of_its_arrival() {
    let (mut dispatcher, id) = repeated(keyed(0.5), Ending::Dropped);
    dispatcher.retune(&settings(keyed(5.0))).unwrap();
    assert!(dispatcher.may_send(0.4, id, 1).is_some());
    assert!(dispatcher.may_send(0.6, id, 1).is_none());
}

// Guards against an attempt sent for a client that left while its connection came up, to a node that is told to drain
// meanwhile, or past the request's time.
#[test]
fn nothing_goes_out_for_who_has_left_or_to_who_drains() {
    let (mut dispatcher, id) = repeated(Effect::Safe, Ending::Unused);
    assert!(dispatcher.may_send(0.2, id, 1).is_some());
    assert!(dispatcher.may_send(2.0, id, 1).is_none());
    dispatcher.update_endpoints(0.2, true, vec![entry(1)], &mut Idle);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
    let (mut dispatcher, id) = repeated(Effect::Safe, Ending::Unused);
    dispatcher.gone(0.2, id, &mut Idle);
    assert!(dispatcher.may_send(0.2, id, 1).is_none());
}

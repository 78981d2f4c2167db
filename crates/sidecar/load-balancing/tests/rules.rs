//! One short test for each rule and each exception, through the public API.

mod common;

use common::*;
use passrelay_load_balancing::*;
use std::collections::BTreeSet;

fn cpu(value: f64) -> Option<Report> {
    Some(Report { cpu: Some(value), ..Report::default() })
}

fn held(active: f64, waiting: f64) -> Option<Report> {
    Some(Report { active: Some(active), waiting: Some(waiting), ..Report::default() })
}

#[test]
fn equal_turns_before_a_report() {
    let mut rig = Rig::new(settings(Effect::Safe), (1..=4).map(entry).collect());
    let mut counts = [0; 5];
    for _ in 0..40 {
        let (id, actions) = rig.submit(0.1);
        let to = sent(&actions).unwrap();
        counts[to.0 as usize] += 1;
        rig.end(0.1, id, 0, to, Ending::Delivered);
    }
    assert!(counts[1..].iter().all(|c| (9..=11).contains(c)), "{counts:?}");
}

#[test]
fn reports_steer_the_turns() {
    let mut rig = Rig::new(settings(Effect::Safe), (1..=2).map(entry).collect());
    let mut counts = [0; 3];
    for n in 0..60 {
        let now = 0.1 + f64::from(n) * 0.2;
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        counts[to.0 as usize] += 1;
        rig.end_with(now + 0.1, id, 0, to, Ending::Delivered, cpu(if to.0 == 1 { 0.9 } else { 0.1 }));
    }
    assert!(counts[2] > counts[1] * 3 / 2, "{counts:?}");
}

#[test]
fn what_may_follow_an_outcome() {
    use Ending::*;
    let all = Effect::Keyed { scope: DedupScope::All, window: 5.0 };
    let cell = Effect::Keyed { scope: DedupScope::Cell, window: 5.0 };
    let short = Effect::Keyed { scope: DedupScope::All, window: 0.01 };
    // (effect, outcome, may be sent again, final answer otherwise is a refusal)
    let table = [
        (Effect::Safe, AppError, true),
        (Effect::Safe, Dropped, true),
        (Effect::Safe, Shed, true),
        (all, Dropped, true),
        (all, Shed, true),
        (cell, Dropped, true),
        (short, Dropped, false),
        (Effect::Unsafe, Shed, true),
        (Effect::Unsafe, DialFailed, true),
        (Effect::Unsafe, Unused, true),
        (Effect::Unsafe, AppError, false),
        (Effect::Unsafe, Dropped, false),
        (Effect::Unsafe, Expired, false),
        (Effect::Unsafe, Revoked, false),
    ];
    for (effect, ending, again) in table {
        let mut rig = Rig::new(settings(effect), (1..=3).map(entry).collect());
        let (id, actions) = rig.submit(0.1);
        let to = sent(&actions).unwrap();
        let actions = rig.end(0.2, id, 0, to, ending);
        assert_eq!(sent(&actions).is_some(), again, "{effect:?} {ending:?}");
        if effect == Effect::Unsafe && !again {
            assert_eq!(actions, [Action::Fail { id }], "{ending:?}");
        }
    }
}

#[test]
fn keyed_stays_in_its_cell_and_is_failed_not_refused() {
    let effect = Effect::Keyed { scope: DedupScope::Cell, window: 5.0 };
    let cells = (1..=4).map(|n| Entry { cell: n % 2, ..entry(n) }).collect();
    let mut rig = Rig::new(settings(effect), cells);
    let (id, actions) = rig.submit(0.1);
    let first = sent(&actions).unwrap();
    let actions = rig.end(0.2, id, 0, first, Ending::Dropped);
    let second = sent(&actions).unwrap();
    assert_eq!(first.0 % 2, second.0 % 2);
    assert_ne!(first, second);
    let actions = rig.end(0.3, id, 1, second, Ending::Dropped);
    let late = rig.at(2.05, Event::Wake(0));
    assert!(!actions.iter().chain(&late).any(|a| matches!(a, Action::Reject { .. })));
    assert_eq!(finals(&actions) + finals(&late), 1);
}

#[test]
fn attempts_stop_at_the_cap() {
    let set = Settings { max_attempts: 2, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=5).map(entry).collect());
    let (id, actions) = rig.submit(0.1);
    let actions = rig.end(0.2, id, 0, sent(&actions).unwrap(), Ending::Shed);
    let actions = rig.end(0.3, id, 1, sent(&actions).unwrap(), Ending::Shed);
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

#[test]
fn an_expiry_at_the_deadline_is_answered_in_the_same_reply() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let mut rig = Rig::new(settings(effect), vec![entry(1)]);
        let (id, actions) = rig.submit(0.0);
        let actions = rig.end(2.0, id, 0, sent(&actions).unwrap(), Ending::Expired);
        assert_eq!(finals(&actions), 1, "{effect:?}");
        assert!(rig.at(2.1, Event::Gone(id)).is_empty());
    }
}

#[test]
fn gone_ends_everything() {
    let mut rig = Rig::new(settings(Effect::Safe), vec![entry(1), entry(2)]);
    let (id, actions) = rig.submit(0.0);
    rig.at(0.5, Event::Gone(id));
    assert!(rig.end(0.6, id, 0, sent(&actions).unwrap(), Ending::Dropped).is_empty());
}

#[test]
fn empty_list_holds_then_refuses_in_time() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![]);
    let (id, actions) = rig.submit(0.0);
    let wake = actions.iter().find_map(|a| match a {
        Action::Wake { after, .. } => Some(*after),
        _ => None,
    });
    assert!(wake.is_some_and(|w| w > 0.0 && w <= 2.0) && finals(&actions) == 0);
    assert!(matches!(rig.at(1.0, Event::Wake(0))[..], [Action::Reject { id: i, .. }] if i == id));
}

#[test]
fn a_held_request_goes_out_when_a_server_appears() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![]);
    rig.submit(0.0);
    let actions = rig.at(0.3, Event::ListChanges(vec![entry(9)]));
    assert_eq!(sent(&actions), Some(UpstreamId(9)));
}

#[test]
fn draining_and_absent_upstreams_get_nothing_new() {
    let mut rig = Rig::new(settings(Effect::Safe), (1..=3).map(entry).collect());
    rig.at(0.1, Event::ListChanges(vec![Entry { condition: Condition::Draining, ..entry(1) }]));
    rig.at(0.1, Event::FullList(vec![Entry { condition: Condition::Draining, ..entry(1) }, entry(2)]));
    for _ in 0..10 {
        assert_eq!(sent(&rig.submit(0.2).1), Some(UpstreamId(2)));
    }
}

#[test]
fn a_cold_upstream_gets_few_calls_in_a_window() {
    let mut rig = Rig::new(settings(Effect::Safe), (1..=4).map(entry).collect());
    let mut cold = 0;
    for n in 0..400 {
        let now = f64::from(n) * 0.02;
        if n == 200 {
            rig.at(now, Event::ListChanges(vec![Entry { started: Some(now), ..entry(4) }]));
        }
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        cold += usize::from((200..300).contains(&n) && to.0 == 4);
        rig.end(now + 0.01, id, 0, to, Ending::Delivered);
    }
    // A warm one gets 33 of these 100; the cold one starts at a fifth of its capacity.
    assert!((1..=14).contains(&cold), "{cold}");
}

#[test]
fn a_failing_upstream_stands_aside_and_comes_back() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let mut now = 0.1;
    let mut to_bad = [0, 0];
    for n in 0..200 {
        now += 0.05;
        let (id, actions) = rig.submit(now);
        let Some(to) = sent(&actions) else { continue };
        let down = n < 100;
        to_bad[usize::from(!down)] += usize::from(to.0 == 1);
        if to.0 == 1 && down {
            let actions = rig.end(now, id, 0, to, Ending::DialFailed);
            let other = sent(&actions).unwrap();
            rig.end(now + 0.01, id, 1, other, Ending::Delivered);
        } else {
            rig.end(now + 0.01, id, 0, to, Ending::Delivered);
        }
    }
    assert!(to_bad[0] <= 6 && to_bad[1] >= 10, "{to_bad:?}");
}

#[test]
fn a_queue_is_held_here_and_not_at_the_server() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1)]);
    let (id, actions) = rig.submit(0.0);
    let to = sent(&actions).unwrap();
    // Two held, one of them waiting: the server has one worker.
    rig.end_with(0.1, id, 0, to, Ending::Delivered, held(2.0, 1.0));
    let (id, actions) = rig.submit(0.2);
    assert_eq!(sent(&actions), Some(to));
    assert_eq!(sent(&rig.submit(0.21).1), None);
    assert_eq!(sent(&rig.end_with(0.3, id, 0, to, Ending::Delivered, held(0.0, 0.0))), Some(to));
}

#[test]
fn a_pick_is_checked_by_a_cheap_probe() {
    let set = Settings {
        probes: true,
        reports_concurrency: true,
        reports_queue: true,
        instances: 3,
        ..settings(Effect::Unsafe)
    };
    let mut rig = Rig::new(set, vec![entry(1), entry(2)]);
    // From the first request on, before anything is known of the workers.
    let (_, actions) = rig.submit(5.0);
    let [Action::Probe(asked), ..] = actions[..] else { panic!("{actions:?}") };
    let busy =
        Event::Probed { upstream: asked, ending: Ending::Delivered, elapsed: 0.001, report: held(1.0, 0.0) };
    let actions = rig.at(5.001, busy);
    let [Action::Probe(other), ..] = actions[..] else { panic!("{actions:?}") };
    assert_ne!(asked, other);
    let idle =
        Event::Probed { upstream: other, ending: Ending::Delivered, elapsed: 0.001, report: held(0.0, 0.0) };
    assert_eq!(sent(&rig.at(5.002, idle)), Some(other));
}

/// Guards against calls that wait for a spare worker which the reports cannot show: they tell how many
/// calls a node holds, but not how many of these wait, and one held call is no sign of a full node.
#[test]
fn no_pick_is_checked_where_reports_cannot_show_a_spare_worker() {
    let set = Settings { probes: true, reports_concurrency: true, instances: 3, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=4).map(entry).collect());
    let in_flight = |n| Some(Report { active: Some(n), cpu: Some(0.4), ..Report::default() });
    let (id, actions) = rig.submit(0.0);
    let to = sent(&actions).expect("the first call waits for no probe");
    rig.end_with(0.1, id, 0, to, Ending::Delivered, in_flight(5.0));
    for n in 0..8 {
        let (_, actions) = rig.submit(0.2 + f64::from(n) * 0.01);
        assert!(sent(&actions).is_some(), "call {n}: {actions:?}");
        assert!(!actions.iter().any(|a| matches!(a, Action::Probe(_))), "call {n}: {actions:?}");
    }
}

#[test]
fn probes_stop_at_their_part_of_the_price() {
    let set = Settings {
        probes: true,
        reports_concurrency: true,
        reports_queue: true,
        price_probe: 0.005,
        instances: 3,
        ..settings(Effect::Unsafe)
    };
    let mut rig = Rig::new(set, (1..=40).map(entry).collect());
    let mut probes = 0;
    let mut actions = rig.submit(0.0).1;
    for n in 1..=40 {
        let Some(Action::Probe(upstream)) = actions.iter().find(|a| matches!(a, Action::Probe(_))).copied()
        else {
            break;
        };
        probes += 1;
        let busy =
            Event::Probed { upstream, ending: Ending::Delivered, elapsed: 0.001, report: held(3.0, 0.0) };
        actions = rig.at(f64::from(n) * 0.001, busy);
    }
    // Two points in 100 a request buy four of these; then the request goes unasked.
    assert_eq!(probes, 4);
    assert!(sent(&actions).is_some());
}

#[test]
fn a_failed_list_call_is_renewed_with_growing_waits() {
    let set = Settings { ask_for_list: true, ..settings(Effect::Safe) };
    let mut balancer = Balancer::new(set, 5, 0.0).unwrap();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::FullList(vec![entry(1)]), &mut actions);
    assert!(actions.contains(&Action::Watch));
    let mut total = 0.0;
    for _ in 0..3 {
        actions.clear();
        balancer.handle(total, Event::ListFailed, &mut actions);
        let [Action::Wake { after, token }] = actions[..] else { panic!("{actions:?}") };
        total += after;
        actions.clear();
        balancer.handle(total, Event::Wake(token), &mut actions);
        assert_eq!(actions, [Action::Watch]);
    }
    assert!(total < 10.0, "{total}");
}

#[test]
fn equal_events_give_equal_actions_and_seeds_differ() {
    let run = |seed| {
        let mut balancer = Balancer::new(settings(Effect::Safe), seed, 0.0).unwrap();
        let mut actions = Vec::new();
        balancer.handle(0.0, Event::FullList((1..=8).map(entry).collect()), &mut actions);
        for n in 0..8 {
            let event = Event::Request {
                id: RequestId(n),
                class: ClassId(0),
                tenant: None,
                ttl: 1.0,
                work_hint: None,
                repeat: false,
            };
            balancer.handle(0.1, event, &mut actions);
        }
        actions
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn odd_but_legal_input_is_ignored_safely() {
    let mut rig = Rig::new(settings(Effect::Safe), vec![entry(1), entry(1)]);
    let nan = Some(Report {
        active: Some(f64::NAN),
        waiting: Some(f64::INFINITY),
        cpu: Some(f64::NAN),
        ..Report::default()
    });
    rig.end_with(0.1, RequestId(99), 7, UpstreamId(55), Ending::Delivered, nan);
    rig.at(f64::NAN, Event::Gone(RequestId(98)));
    rig.at(0.1, Event::StreamBegan { id: RequestId(97), attempt: 3 });
    rig.at(
        0.1,
        Event::Probed { upstream: UpstreamId(5), ending: Ending::Expired, elapsed: -1.0, report: None },
    );
    let (id, actions) = rig.submit(-3.0);
    let to = sent(&actions).unwrap();
    assert!(rig.end_with(0.1, id, 0, to, Ending::Delivered, nan).is_empty());
    assert!(sent(&rig.submit(0.1).1).is_some());
}

#[test]
fn senseless_settings_are_refused() {
    let base = settings(Effect::Safe);
    let cases = [
        Settings { instances: 0, ..base.clone() },
        Settings { classes: vec![], ..base.clone() },
        Settings { overload_window: -1.0, ..base.clone() },
        Settings { slow_start_duration: f64::NAN, ..base.clone() },
        Settings { slow_start_capacity: 1.5, ..base.clone() },
        Settings { tenants: vec![Tenant { quota_per_s: -1.0 }], ..base.clone() },
    ];
    for set in cases {
        let error = Balancer::new(set, 1, 0.0).err().expect("must be refused");
        assert!(error.to_string().contains(error.name));
    }
    assert!(Balancer::new(base, 1, 0.0).is_ok());
}

#[test]
fn a_held_request_is_answered_even_when_a_server_appears_too_late() {
    // The client's time ends before the aim, nothing is known of answer times yet.
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![]);
    let id = RequestId(1);
    let event =
        Event::Request { id, class: ClassId(0), tenant: None, ttl: 0.5, work_hint: None, repeat: false };
    rig.at(0.0, event);
    let actions = rig.at(0.5, Event::ListChanges(vec![entry(1)]));
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

#[test]
fn a_silent_upstream_stands_aside_while_peers_answer() {
    let mut rig = Rig::new(settings(Effect::Unsafe), (1..=3).map(entry).collect());
    let mut paused_sends = 0;
    for n in 0..60 {
        let now = f64::from(n) * 0.1;
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        // Upstream 1 stops answering at 2 s.
        if to.0 == 1 && now > 2.0 {
            paused_sends += 1;
        } else {
            rig.end(now + 0.01, id, 0, to, Ending::Delivered);
        }
    }
    assert!((1..=3).contains(&paused_sends), "{paused_sends}");
}

#[test]
fn wake_ups_do_not_multiply() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![]);
    let mut due: Vec<f64> = Vec::new();
    for n in 0..20 {
        let now = f64::from(n) * 0.001;
        let (_, actions) = rig.submit(now);
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(now + after),
            _ => None,
        }));
    }
    let mut rings = 0;
    while let Some(at) = due.iter().copied().min_by(f64::total_cmp) {
        due.retain(|t| *t != at);
        rings += 1;
        assert!(rings < 2000, "wake-ups multiply");
        let actions = rig.at(at, Event::Wake(0));
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(at + after),
            _ => None,
        }));
    }
    assert!(rings >= 1);
}

#[test]
fn noise_in_reports_does_not_invent_a_worker() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1)]);
    for n in 0..40 {
        let now = f64::from(n);
        let (id, actions) = rig.submit(now);
        let noisy = held(4.0 + f64::from(n % 3) * 0.2, 3.0);
        rig.end_with(now + 0.1, id, 0, sent(&actions).unwrap(), Ending::Delivered, noisy);
    }
    assert!(sent(&rig.submit(50.0).1).is_some());
    assert_eq!(sent(&rig.submit(50.01).1), None);
}

#[test]
fn an_upstream_that_just_answered_with_a_spare_worker_is_taken_first() {
    let set = Settings { reports_concurrency: true, instances: 8, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=20).map(entry).collect());
    let (id, actions) = rig.submit(0.0);
    rig.end_with(0.1, id, 0, sent(&actions).unwrap(), Ending::Delivered, held(2.0, 1.0));
    for n in 1..6 {
        let (id, actions) = rig.submit(f64::from(n));
        let to = sent(&actions).unwrap();
        rig.end_with(f64::from(n) + 0.1, id, 0, to, Ending::Delivered, held(1.0, 0.0));
        // One that told of a queue is not taken again at once, one without is.
        let (id, actions) = rig.submit(f64::from(n) + 0.11);
        assert_eq!(sent(&actions), Some(to));
        rig.end_with(f64::from(n) + 0.2, id, 0, to, Ending::Delivered, held(3.0, 2.0));
        let (id, actions) = rig.submit(f64::from(n) + 0.21);
        assert_ne!(sent(&actions), Some(to));
        rig.end_with(f64::from(n) + 0.3, id, 0, sent(&actions).unwrap(), Ending::Delivered, held(3.0, 2.0));
    }
}

#[test]
fn slow_spells_do_not_refuse_at_once() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1)]);
    // Answers take longer than the aim of one second.
    for n in 0..200 {
        let now = f64::from(n) * 3.0;
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        let outcome = Outcome {
            id,
            attempt: 0,
            upstream: to,
            ending: Ending::Delivered,
            elapsed: 1.5,
            last: true,
            report: held(2.0, 1.0),
        };
        rig.at(now + 1.5, Event::Outcome(outcome));
    }
    rig.submit(700.0);
    let (_, actions) = rig.submit(700.1);
    assert_eq!(finals(&actions), 0, "held, not refused: {actions:?}");
}

/// Two zones of four; returns a rig that has served a while at 0.1 s a call.
fn two_zones(effect: Effect) -> Rig {
    let zones = (1..=8).map(|n| Entry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut rig = Rig::new(Settings { cancel: true, ..settings(effect) }, zones);
    for n in 0..80 {
        let now = f64::from(n) * 0.1;
        let (id, actions) = rig.submit(now);
        rig.end(now + 0.1, id, 0, sent(&actions).unwrap(), Ending::Delivered);
    }
    rig
}

#[test]
fn a_cut_zone_stands_aside_as_a_whole() {
    let mut rig = two_zones(Effect::Unsafe);
    let (mut lost, mut seen) = (Vec::new(), 0);
    for n in 0..200 {
        let now = 10.0 + f64::from(n) * 0.02;
        let (id, actions) = rig.submit(now);
        let Some(to) = sent(&actions) else { continue };
        if to.0 % 2 == 1 {
            lost.push(now);
        } else {
            seen += 1;
            rig.end(now + 0.01, id, 0, to, Ending::Delivered);
        }
    }
    assert!(seen > 150 && lost.iter().all(|at| *at < 10.5), "{seen} {lost:?}");
}

#[test]
fn a_safe_call_on_a_silent_upstream_is_withdrawn_and_an_unsafe_one_never() {
    for (effect, withdrawn) in [(Effect::Safe, true), (Effect::Unsafe, false)] {
        let mut rig = two_zones(effect);
        let (id, actions) = rig.submit(10.0);
        let silent = sent(&actions).unwrap();
        let mut cancels = 0;
        for n in 1..100 {
            let now = 10.0 + f64::from(n) * 0.01;
            let (other, mut actions) = rig.submit(now);
            if let Some(to) = sent(&actions).filter(|to| *to != silent) {
                actions.extend(rig.end(now, other, 0, to, Ending::Delivered));
            }
            cancels += actions.iter().filter(|a| **a == Action::Cancel { id, attempt: 0 }).count();
        }
        assert_eq!(cancels, usize::from(withdrawn), "{effect:?}");
        // Still inside the aim: past it, nothing is sent again.
        let actions = rig.end(10.995, id, 0, silent, Ending::Revoked);
        assert_eq!(sent(&actions).is_some(), withdrawn);
        assert_eq!(finals(&actions), usize::from(!withdrawn));
    }
}

#[test]
fn many_copies_share_the_room_and_list_changes_do_not_widen_it() {
    let set = Settings { instances: 10, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=10).map(entry).collect());
    let in_flight = (0..40).filter(|_| sent(&rig.submit(0.1).1).is_some()).count();
    assert!((2..=20).contains(&in_flight), "{in_flight}");
    let actions = rig.at(0.2, Event::ListChanges(vec![entry(1)]));
    assert_eq!(sent(&actions), None);
}

#[test]
fn many_copies_together_do_not_push_a_cold_upstream_over() {
    // Twenty copies learn of the same start; each alone would send only a little.
    let set =
        Settings { instances: 20, overload_factor: 3.0, overload_window: 1.0, ..settings(Effect::Safe) };
    let mut to_cold = Vec::new();
    for seed in 0..20 {
        let set = Settings { rank: seed as usize, ..set.clone() };
        let mut balancer = Balancer::new(set, seed, 0.0).unwrap();
        let mut actions = Vec::new();
        balancer.handle(0.0, Event::FullList((1..=4).map(entry).collect()), &mut actions);
        for n in 0..60 {
            let now = f64::from(n) * 0.1;
            if n == 30 {
                let cold = Entry { started: Some(now), ..entry(4) };
                balancer.handle(now, Event::ListChanges(vec![cold]), &mut actions);
            }
            actions.clear();
            let id = RequestId(n as u64);
            let ttl = 2.0;
            let event =
                Event::Request { id, class: ClassId(0), tenant: None, ttl, work_hint: None, repeat: false };
            balancer.handle(now, event, &mut actions);
            let Some(to) = sent(&actions) else { continue };
            to_cold.extend((n >= 30 && to.0 == 4).then_some(now));
            let done = Outcome {
                id,
                attempt: 0,
                upstream: to,
                ending: Ending::Delivered,
                elapsed: 0.05,
                last: true,
                report: None,
            };
            balancer.handle(now + 0.05, Event::Outcome(done), &mut actions);
        }
    }
    // Warm ones get about 50 calls a second here; the cold one has a fifth of that to start with, and falls over
    // at three times as much. With under a fifth of that the warm ones carry all.
    let first_second = to_cold.iter().filter(|t| **t < 4.0).count();
    assert!((6..=24).contains(&first_second), "{first_second}");
}

#[test]
fn a_large_lost_zone_is_seen_by_a_copy_with_few_calls_out() {
    let zones = (1..=60).map(|n| Entry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut rig = Rig::new(settings(Effect::Unsafe), zones);
    let mut lost = Vec::new();
    for n in 0..300 {
        let now = f64::from(n) * 0.02;
        let (id, actions) = rig.submit(now);
        let Some(to) = sent(&actions) else { continue };
        if now > 2.0 && to.0 % 2 == 1 {
            lost.push(now);
        } else {
            rig.end(now + 0.01, id, 0, to, Ending::Delivered);
        }
    }
    // Judged upstream by upstream it would take a call at nearly each of the thirty.
    assert!((1..=15).contains(&lost.len()), "{lost:?}");
}

#[test]
fn a_begun_stream_is_left_to_the_client() {
    let mut rig = Rig::new(settings(Effect::Safe), (1..=3).map(entry).collect());
    let (id, actions) = rig.submit(0.0);
    let to = sent(&actions).unwrap();
    assert!(rig.at(0.2, Event::StreamBegan { id, attempt: 0 }).is_empty());
    assert!(rig.end(0.4, id, 0, to, Ending::Dropped).is_empty());
}

/// Which upstreams a copy uses for calls that are answered at once, one each half second.
fn used(rig: &mut Rig, calls: usize) -> Vec<u64> {
    let ends = (0..calls).map(|_| {
        let now = rig.now + 0.5;
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        rig.end_with(now, id, 0, to, Ending::Delivered, cpu(0.5));
        to.0
    });
    ends.collect()
}

#[test]
fn many_copies_keep_to_their_shares_and_together_use_all_alike() {
    // A hundred copies that each use all of 60 upstreams open 6,000 connections and meet every bad one.
    let mut counts = [0; 60];
    for rank in 0..100 {
        let set = Settings { instances: 100, rank, ..settings(Effect::Unsafe) };
        let mut rig = Rig::new(set, (0..60).map(entry).collect());
        let mut own = used(&mut rig, 12);
        own.iter().for_each(|u| counts[*u as usize] += 1);
        own.sort_unstable();
        own.dedup();
        assert!((2..=3).contains(&own.len()), "{own:?}");
        // With its own ones full of calls it goes to others.
        let far: Vec<_> = (0..9).filter_map(|_| sent(&rig.submit(rig.now).1)).collect();
        assert!(far.iter().any(|u| !own.contains(&u.0)), "{far:?}");
    }
    assert!(counts.iter().all(|c| (10..=30).contains(c)), "{counts:?}");
}

#[test]
fn a_lone_copy_uses_all_upstreams() {
    let mut rig = Rig::new(settings(Effect::Unsafe), (0..9).map(entry).collect());
    let own: std::collections::BTreeSet<_> = used(&mut rig, 18).into_iter().collect();
    assert_eq!(own.len(), 9);
}

/// One copy of ten for each upstream, whose answers take twice the aim; sends of each tenth of 400 s.
fn crowded(classes: Vec<Class>, reports: Option<Report>) -> (Vec<usize>, Vec<usize>) {
    let count = classes.len();
    let set = Settings { instances: 20, classes, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, vec![entry(1), entry(2)]);
    let (mut out, mut by_tenth, mut by_class) = (Vec::new(), vec![0; 10], vec![0; count]);
    for n in 0..4000u64 {
        let now = n as f64 * 0.1;
        let (id, class) = (RequestId(n), ClassId(n as usize % count));
        let event = Event::Request { id, class, tenant: None, ttl: 4.0, work_hint: None, repeat: false };
        let mut actions = rig.at(now, event);
        for (id, upstream, at) in std::mem::take(&mut out) {
            if now - at < 2.0 {
                out.push((id, upstream, at));
                continue;
            }
            let (ending, elapsed) = (Ending::Delivered, 2.0);
            let outcome = Outcome { id, attempt: 0, upstream, ending, elapsed, last: true, report: reports };
            actions.extend(rig.at(now, Event::Outcome(outcome)));
        }
        for a in actions {
            if let Action::Send { id, upstream, .. } = a {
                out.push((id, upstream, now));
                by_tenth[n as usize / 400] += 1;
                by_class[id.0 as usize % count] += 1;
            }
        }
    }
    (by_tenth, by_class)
}

#[test]
fn a_copys_limit_may_lie_under_one_call() {
    let (tenths, _) = crowded(vec![Class { effect: Effect::Unsafe, ..Class::default() }], cpu(0.9));
    // Answers take 2 s: one call at all times would be 20 in each tenth of 40 s.
    assert!((1..=15).contains(&tenths[9]), "{tenths:?}");
}

#[test]
fn room_is_kept_for_the_most_worth() {
    let dear = Class { effect: Effect::Unsafe, value: 10.0, ..Class::default() };
    let (_, sent) = crowded(vec![Class { value: 1.0, ..dear.clone() }, dear], cpu(0.9));
    assert!(sent[1] > 3 * sent[0], "{sent:?}");
}

#[test]
fn a_cut_zone_is_tried_again_only_through_those_that_failed() {
    let zones = (1..=60).map(|n| Entry { zone: ZoneId((n % 2) as usize), ..entry(n) }).collect();
    let mut rig = Rig::new(settings(Effect::Unsafe), zones);
    let mut failed = std::collections::BTreeSet::new();
    for n in 0..1500 {
        let now = f64::from(n) * 0.02;
        let (id, actions) = rig.submit(now);
        let Some(mut to) = sent(&actions) else { continue };
        for attempt in 0..3 {
            if now < 2.0 || to.0 % 2 == 0 {
                rig.end(now + 0.01, id, attempt, to, Ending::Delivered);
                break;
            }
            failed.insert(to);
            let Some(next) = sent(&rig.end(now + 0.01, id, attempt, to, Ending::DialFailed)) else { break };
            to = next;
        }
    }
    assert!((1..=6).contains(&failed.len()), "{failed:?}");
}

#[test]
fn a_draining_upstream_is_nobodys_share() {
    let set = Settings { instances: 12, rank: 11, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=12).map(entry).collect());
    assert!(used(&mut rig, 9).contains(&12));
    let gone = Entry { condition: Condition::Draining, ..entry(12) };
    rig.at(rig.now, Event::ListChanges(vec![gone]));
    // The share moves on to those that are left.
    let own: std::collections::BTreeSet<_> = used(&mut rig, 9).into_iter().collect();
    assert!(own.len() == 3 && !own.contains(&12), "{own:?}");
}

#[test]
fn an_idle_copy_makes_room_for_a_burst() {
    let set = Settings { instances: 20, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, (1..=5).map(entry).collect());
    for n in 0..100 {
        let now = f64::from(n);
        let (id, actions) = rig.submit(now);
        rig.end(now + 0.1, id, 0, sent(&actions).unwrap(), Ending::Delivered);
    }
    let burst = (0..10).filter(|_| sent(&rig.submit(200.0).1).is_some()).count();
    assert_eq!(burst, 10);
}

#[test]
fn a_refused_client_is_told_to_stay_away_as_long_as_it_may_honour() {
    let set = Settings { retry_after: true, max_retry_after: 2.0, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, vec![]);
    let (id, _) = rig.submit(0.0);
    assert_eq!(rig.at(1.0, Event::Wake(0)), [Action::Reject { id, retry_after: Some(2.0) }]);
}

/// Sends one request of a class, ends it, and says where it went.
fn one(rig: &mut Rig, class: usize, ending: impl Fn(UpstreamId) -> Ending) -> UpstreamId {
    rig.next += 1;
    let (id, now) = (RequestId(rig.next), rig.now + 0.01);
    let (class, tenant, ttl, work_hint) = (ClassId(class), None, 2.0, None);
    let actions = rig.at(now, Event::Request { id, class, tenant, ttl, work_hint, repeat: false });
    let to = sent(&actions).expect("a node");
    rig.end(now + 0.01, id, 0, to, ending(to));
    to
}

#[test]
fn an_upstream_that_fails_one_class_is_spared_that_class_alone() {
    let class = Class { effect: Effect::Unsafe, ..Class::default() };
    let set = Settings { classes: vec![class.clone(), class], ..Settings::default() };
    let mut rig = Rig::new(set, vec![entry(1), entry(2)]);
    let ending =
        |class, to| if (class, to) == (1, UpstreamId(1)) { Ending::AppError } else { Ending::Delivered };
    let mut got = [0, 0];
    for n in 0..120 {
        let class = usize::from(n % 3 == 0);
        got[class] += usize::from(one(&mut rig, class, |to| ending(class, to)) == UpstreamId(1));
    }
    // Equal turns would be 7 of 15; a failing class must not cost it the class that it serves.
    assert!(got[1] <= 4 && got[0] >= 10, "{got:?}");
}

#[test]
fn a_broken_connection_is_no_broken_upstream_but_two_without_an_answer_are() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let breaks = |to| if to == UpstreamId(1) { Ending::Dropped } else { Ending::Delivered };
    while one(&mut rig, 0, breaks) != UpstreamId(1) {}
    // Still sent to, though less often; the second break takes it out.
    assert!((0..20).any(|_| one(&mut rig, 0, breaks) == UpstreamId(1)));
    assert!((0..20).all(|_| one(&mut rig, 0, breaks) == UpstreamId(2)));
}

#[test]
fn who_holds_more_calls_than_the_least_busy_stands_aside_whatever_is_reported() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    for (node, cpu) in [(1, 0.05), (2, 0.95)] {
        let report = Some(Report { cpu: Some(cpu), ..Report::default() });
        rig.at(
            0.1,
            Event::Probed { upstream: UpstreamId(node), ending: Ending::Delivered, elapsed: 0.01, report },
        );
    }
    let mut out = [0, 0];
    for _ in 0..8 {
        let (_, actions) = rig.submit(0.1);
        out[usize::from(sent(&actions) == Some(UpstreamId(2)))] += 1;
    }
    // In turns alone it would be 8 to 0.
    assert_eq!(out, [4, 4]);
}

#[test]
fn a_safe_call_is_left_alone_until_half_of_the_aim_has_passed() {
    let set = Settings { cancel: true, duplicates: true, probes: false, ..settings(Effect::Safe) };
    let mut rig = Rig::new(set, vec![entry(1), entry(2)]);
    (0..20).for_each(|_| _ = one(&mut rig, 0, |_| Ending::Delivered));
    let began = rig.now;
    rig.submit(began);
    let cancelled = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    // Its node is long silent by the typical time of 0.1 s; the aim is 1 s.
    let actions = rig.at(began + 0.45, Event::Wake(9));
    assert!(!cancelled(&actions));
    // A peer that answers meanwhile shows that the fault lies with this one.
    while one(&mut rig, 0, |_| Ending::Delivered) == UpstreamId(0) {}
    let actions = rig.at(began + 0.6, Event::Wake(9));
    assert!(cancelled(&actions));
}

#[test]
fn half_of_the_upstreams_are_not_sent_what_all_could_carry() {
    let mut rig = Rig::new(settings(Effect::Unsafe), (1..=4).map(entry).collect());
    rig.at(0.1, Event::FullList((1..=2).map(entry).collect()));
    let sends = (0..60).filter(|_| sent(&rig.submit(0.2).1).is_some()).count();
    // Twelve for each at the start.
    assert!((20..=26).contains(&sends), "{sends}");
}

#[test]
fn an_upstream_that_turns_all_away_draws_few_calls() {
    // It drains before the list says so, or is full; either way it is idle and looks free.
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let ending = |to| if to == UpstreamId(1) { Ending::Shed } else { Ending::Delivered };
    let turned = (0..60).filter(|_| one(&mut rig, 0, ending) == UpstreamId(1)).count();
    assert!((1..=10).contains(&turned), "{turned}");
}

#[test]
fn an_upstream_that_is_usually_busy_gets_fewer_calls_also_when_its_report_is_old() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let mut got = [0, 0];
    for n in 0..200 {
        // Typical times of 0.1 s, a call each two seconds: no report is ever fresh.
        let now = 2.0 * f64::from(n);
        let (id, actions) = rig.submit(now);
        let to = sent(&actions).unwrap();
        got[to.0 as usize - 1] += 1;
        rig.end_with(now + 0.1, id, 0, to, Ending::Delivered, cpu(if to.0 == 1 { 0.9 } else { 0.2 }));
    }
    assert!(got[1] > 3 * got[0] && got[0] > 5, "{got:?}");
}

#[test]
fn calls_that_come_by_threes_at_one_of_many_copies_are_inside_a_tenants_share() {
    // 12 calls a second over 20 copies are 0.6 at each: two of these three counted as too much.
    let tenants = vec![Tenant { quota_per_s: 12.0 }];
    let set = Settings { instances: 20, tenants, over_quota_value: 0.2, ..settings(Effect::Unsafe) };
    let mut rig = Rig::new(set, vec![]);
    let (class, tenant, ttl, work_hint) = (ClassId(0), Some(TenantId(0)), 2.0, None);
    for n in 1..=9 {
        let id = RequestId(n);
        rig.at(n as f64 * 0.01, Event::Request { id, class, tenant, ttl, work_hint, repeat: false });
    }
    let actions = rig.at(0.1, Event::FullList((1..=60).map(entry).collect()));
    let order =
        actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(id.0) } else { None });
    // Of equal worth the newest first; what is past the share comes last.
    assert_eq!(order.collect::<Vec<_>>()[..7], [6, 5, 4, 3, 2, 1, 9]);
}

#[test]
fn a_hundred_copies_do_not_storm_a_discovery_that_fails() {
    // They all fail at the same moment and again at each call; each waits by a chance of its own.
    let set = Settings { ask_for_list: true, ..settings(Effect::Safe) };
    let mut calls = [0; 20];
    for seed in 0..100 {
        let mut balancer = Balancer::new(set.clone(), seed, 0.0).unwrap();
        let mut now = 0.0;
        balancer.handle(now, Event::FullList(vec![entry(1)]), &mut Vec::new());
        while now < 20.0 {
            let mut actions = Vec::new();
            balancer.handle(now, Event::ListFailed, &mut actions);
            let [Action::Wake { after, token: 1 }] = actions[..] else { panic!("{actions:?}") };
            now += after;
            calls.get_mut(now as usize).into_iter().for_each(|c| *c += 1);
        }
    }
    // From the fifth second on a copy asks every four seconds, in no step with others.
    assert!(calls[5..].iter().all(|c| (5..=60).contains(c)), "{calls:?}");
}

// Guards against a class added by a later generation that the turns do not know (an index out of bounds
// in the module), and against settings that would take a class from under requests already taken.
#[test]
fn a_later_generation_adds_a_class_that_is_sent_at_once() {
    let mut rig = Rig::new(settings(Effect::Safe), vec![entry(1), entry(2)]);
    let (_, first) = rig.submit(0.1);
    assert!(matches!(first[..], [Action::Send { .. }, ..]));
    let unsafe_class = Class { effect: Effect::Unsafe, ..Class::default() };
    let mut later = settings(Effect::Safe);
    later.classes.push(unsafe_class);
    rig.balancer.retune(later.clone()).unwrap();
    let id = RequestId(99);
    let event =
        Event::Request { id, class: ClassId(1), tenant: None, ttl: 2.0, work_hint: None, repeat: false };
    assert!(matches!(rig.at(0.2, event)[..], [Action::Send { id: RequestId(99), .. }, ..]));
    assert!(rig.balancer.retune(settings(Effect::Safe)).is_err(), "classes may not be taken away");
}

/// A request of class 0 with this work as its caller sees it.
fn hinted(rig: &mut Rig, now: f64, work: f64) -> (RequestId, Vec<Action>) {
    rig.next += 1;
    let (id, class, ttl) = (RequestId(rig.next), ClassId(0), 4.0);
    let event = Event::Request { id, class, tenant: None, ttl, work_hint: Some(work), repeat: false };
    (id, rig.at(now, event))
}

/// The first attempt of a request is served at `now`, this long after it was sent.
fn served_after(rig: &mut Rig, now: f64, id: RequestId, upstream: UpstreamId, elapsed: f64) {
    let (ending, last, report) = (Ending::Delivered, true, None);
    rig.at(now, Event::Outcome(Outcome { id, attempt: 0, upstream, ending, elapsed, last, report }));
}

/// 200 calls, each answered after twice its work at upstream 1 and `slower` times that elsewhere; the time
/// when the last one is over.
fn practised(rig: &mut Rig, works: &[f64], slower: f64) -> f64 {
    let mut now = 0.0;
    for work in works.iter().copied().cycle().take(200) {
        let (id, actions) = hinted(rig, now, work);
        let to = sent(&actions).expect("a node");
        let elapsed = 2.0 * work * if to == UpstreamId(1) { 1.0 } else { slower };
        now += elapsed;
        served_after(rig, now, id, to, elapsed);
    }
    now
}

/// Guards against spreading by number: a light call behind a heavy one waits for it.
#[test]
fn calls_are_spread_by_their_work() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let heavy = sent(&hinted(&mut rig, 0.0, 2.0).1).unwrap();
    for n in 0..6 {
        let to = sent(&hinted(&mut rig, 0.01 * f64::from(n), 0.02).1).unwrap();
        assert_ne!(to, heavy, "light call {n}");
    }
}

/// Guards against heavy calls at a slow upstream: there they take longest past the aim.
#[test]
fn heavy_calls_go_to_the_upstream_that_is_quick() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let now = practised(&mut rig, &[0.05, 0.1, 0.15, 0.2], 3.0);
    let (id, actions) = hinted(&mut rig, now, 0.2);
    assert_eq!(sent(&actions), Some(UpstreamId(1)));
    rig.end(now, id, 0, UpstreamId(1), Ending::Delivered);
}

/// Guards against a core kept busy for seconds by a call that nobody can answer in time, and against the
/// opposite: an upstream that was slow for a while must not have usual calls refused for ever.
#[test]
fn what_cannot_be_done_in_time_is_refused_at_once_and_usual_calls_always_go() {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1), entry(2)]);
    let now = practised(&mut rig, &[0.05, 0.1, 0.15, 0.2], 1.0);
    let (_, actions) = hinted(&mut rig, now, 5.0);
    assert!(sent(&actions).is_none() && finals(&actions) == 1, "{actions:?}");
    // Half a second of work takes one second, which is the aim: hints are rough, so it is tried.
    assert!(sent(&hinted(&mut rig, now, 0.5).1).is_some());
    let mut slow = Rig::new(settings(Effect::Unsafe), vec![entry(2), entry(3)]);
    let now = practised(&mut slow, &[0.1], 20.0);
    for n in 0..20 {
        let (id, actions) = hinted(&mut slow, now + f64::from(n), 0.08);
        let to = sent(&actions).expect("a usual call goes");
        slow.end(now + f64::from(n), id, 0, to, Ending::Delivered);
    }
}

/// Guards against work for nobody: after the aim no answer is worth anything, and a retry takes a core.
#[test]
fn a_call_that_fails_past_its_aim_is_not_sent_again() {
    for (failed_at, again) in [(0.5, true), (1.1, false)] {
        let mut rig = Rig::new(settings(Effect::Safe), vec![entry(1), entry(2)]);
        let (id, actions) = rig.submit(0.0);
        let to = sent(&actions).unwrap();
        let actions = rig.end(failed_at, id, 0, to, Ending::AppError);
        assert_eq!((sent(&actions).is_some(), finals(&actions) == 0), (again, again), "at {failed_at}");
    }
}

/// Guards against an upstream that stands aside because its one call is heavy: it is busy, not silent.
#[test]
fn who_is_busy_with_a_heavy_call_is_not_silent() {
    let set =
        Settings { classes: vec![Class { latency_target: 9.0, ..Class::default() }], ..Settings::default() };
    let mut rig = Rig::new(set, vec![entry(1), entry(2)]);
    let now = practised(&mut rig, &[0.05, 0.1, 0.15, 0.2], 1.0);
    // Usual answers take a quarter of a second, this one three.
    let busy = sent(&hinted(&mut rig, now, 1.5).1).unwrap();
    let (id, actions) = hinted(&mut rig, now + 1.4, 0.1);
    let other = sent(&actions).unwrap();
    assert_ne!(other, busy);
    rig.end(now + 1.5, id, 0, other, Ending::Delivered);
    assert_eq!(sent(&hinted(&mut rig, now + 1.5, 2.0).1), Some(other));
    assert_eq!(sent(&hinted(&mut rig, now + 1.5, 0.1).1), Some(busy), "it holds less than the other");
}

/// Guards against crossings that are paid for without need; where calls wait, any upstream is taken.
#[test]
fn upstreams_of_the_own_zone_come_first_where_crossings_have_a_price() {
    for (price, own) in [(0.01, 12), (0.0, 8)] {
        let set = Settings { price_cross_zone: price, ..settings(Effect::Unsafe) };
        let far = |id| Entry { zone: ZoneId(1), ..entry(id) };
        let mut rig = Rig::new(set, vec![entry(1), far(2), entry(3), far(4)]);
        let got = (0..16).filter(|_| one(&mut rig, 0, |_| Ending::Delivered).0 % 2 == 1).count();
        assert!(if price > 0.0 { got >= own } else { got <= own }, "{got} at price {price}");
        // Busy ones of the own zone are no place to wait.
        let used: BTreeSet<_> = (0..8).filter_map(|_| sent(&rig.submit(rig.now).1)).collect();
        assert_eq!(used.len(), 4);
    }
}

/// Calls that go out at once after 100 answers one by one after each of these times.
fn room_after(times: &[f64]) -> usize {
    let mut rig = Rig::new(settings(Effect::Unsafe), vec![entry(1)]);
    for elapsed in times.iter().flat_map(|t| std::iter::repeat_n(*t, 100)) {
        let (id, actions) = rig.submit(rig.now);
        let (to, now) = (sent(&actions).expect("idle"), rig.now + elapsed);
        served_after(&mut rig, now, id, to, elapsed);
    }
    (0..40).filter(|_| sent(&rig.submit(rig.now).1).is_some()).count()
}

/// Guards against a limit that a class shrinks which takes over half of its aim by nature, without a queue
/// anywhere, and against one that stays wide while a queue grows.
#[test]
fn the_limit_shrinks_for_queues_and_not_for_work_that_takes_long() {
    assert!(room_after(&[0.6]) >= 12, "the median is half of the aim and more, and always was");
    assert!(room_after(&[0.2, 0.6]) <= 4, "it has tripled");
    assert!(room_after(&[0.8]) <= 4, "too near to the aim, whatever it was");
}

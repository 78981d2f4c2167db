//! Tests of the simulator's parts: event queue, random streams and distributions, discovery, statistics and theory.

use passrelay_load_balancing::EndpointState;
use passrelay_load_simulator::experiment::Discovery as DiscoveryConfig;
use passrelay_load_simulator::model::discovery::{CallTurn, Discovery, ListEntry};
use passrelay_load_simulator::queue::Queue;
use passrelay_load_simulator::random::{Form, Streams, UnitMean};
use passrelay_load_simulator::stats::{Mean, Verdict};
use passrelay_load_simulator::theory::{erlang_c, mg1, mm1, mmc, supermarket};
use rand::Rng;

fn line(node: u32, condition: EndpointState) -> ListEntry {
    ListEntry { node, zone: 0, condition, started_at: None }
}

#[test]
fn client_behind_the_history_gets_the_full_list() {
    let config = DiscoveryConfig { history: 2, ..DiscoveryConfig::default() };
    let mut list = Discovery::new(&config, (0..3).map(|n| line(n, EndpointState::Running)));
    for node in 0..3 {
        list.publish(line(node, EndpointState::Removed));
    }
    let behind = list.update_since(Some(1));
    assert!(behind.is_full && behind.entries.is_empty() && behind.seq == 4);
    let near = list.update_since(Some(2));
    assert!(!near.is_full && near.entries.len() == 2);
}

#[test]
fn discovery_calls_queue_and_fail_after_the_timeout() {
    let config = DiscoveryConfig { call_ms: 400.0, timeout_ms: 1000.0, ..DiscoveryConfig::default() };
    let mut list = Discovery::new(&config, std::iter::empty());
    let turns: Vec<CallTurn> = (0..4).map(|_| list.schedule_call(0)).collect();
    let ms = |n: u64| n * 1_000_000;
    assert_eq!(
        turns,
        [
            CallTurn::AnsweredAt(ms(400)),
            CallTurn::AnsweredAt(ms(800)),
            CallTurn::AnsweredAt(ms(1200)),
            CallTurn::FailsAt(ms(1000))
        ]
    );
    list.down = true;
    assert_eq!(list.schedule_call(ms(5)), CallTurn::FailsAt(ms(5)));
}

#[test]
fn intervals_follow_students_t() {
    // For four values the quantile is 3.182; the standard error of 1, 2, 3, 4 is 0.6455.
    let m = Mean::of(&[1.0, 2.0, 3.0, 4.0]);
    assert!((m.mean - 2.5).abs() < 1e-12 && (m.half - 3.182 * 0.6455).abs() < 1e-3, "{m:?}");
    assert_eq!(Verdict::of(Mean::of(&[0.1])), Verdict::NoDifference);
    assert_eq!(Verdict::of(Mean::of(&[0.1, 0.11, 0.09])), Verdict::Better);
    assert_eq!(Verdict::of(Mean::of(&[-0.1, -0.11, -0.09])), Verdict::Worse);
    assert_eq!(Verdict::of(Mean::of(&[0.1, -0.11, 0.02])), Verdict::NoDifference);
}

#[test]
fn closed_forms_agree_in_their_common_cases() {
    assert!((mmc(1, 0.7) - mm1(0.7)).abs() < 1e-12);
    assert!((mg1(0.7, 1.0) - mm1(0.7)).abs() < 1e-12);
    assert!((supermarket(2, 0.0) - 1.0).abs() < 1e-12);
    // Erlang C for 2 servers is 2 r^2 / (1 + r) with r the load of each.
    assert!((erlang_c(2, 0.5) - 2.0 * 0.25 / 1.5).abs() < 1e-12);
}

/// Guards against returning simultaneous events in heap order, which would make runs depend on the heap's layout.
#[test]
fn simultaneous_events_keep_their_insertion_order() {
    let mut queue = Queue::default();
    for n in 0..100 {
        queue.put(if n % 2 == 0 { 7 } else { 5 }, n);
    }
    let order: Vec<i32> = std::iter::from_fn(|| queue.take()).collect();
    let expected: Vec<i32> = (0..100).filter(|n| n % 2 == 1).chain((0..100).filter(|n| n % 2 == 0)).collect();
    assert_eq!(order, expected);
    queue.put(0, 1);
    assert_eq!((queue.take(), queue.now()), (Some(1), 7), "the clock must not go back");
}

#[test]
fn distributions_have_mean_one_and_the_given_variation() {
    for (form, cv) in
        [(Form::Fixed, 0.0), (Form::Exponential, 1.0), (Form::Lognormal, 1.5), (Form::Pareto, 0.5)]
    {
        let mut rng = Streams::new(5).of("test", 0);
        let distribution = UnitMean::new(form, cv);
        let values: Vec<f64> = (0..400_000).map(|_| distribution.draw(&mut rng)).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / values.len() as f64;
        assert!((mean - 1.0).abs() < 0.02, "{form:?}: mean {mean}");
        assert!((variance.sqrt() - cv).abs() < 0.12, "{form:?}: variation {}", variance.sqrt());
    }
}

#[test]
fn streams_of_different_parts_and_numbers_differ_and_repeat() {
    let streams = Streams::new(1);
    let first = |part: &str, n| streams.of(part, n).random::<u64>();
    assert_eq!(first("node", 3), first("node", 3));
    assert_ne!(first("node", 3), first("node", 4));
    assert_ne!(first("node", 3), first("caller", 3));
    assert_ne!(first("node", 3), Streams::new(2).of("node", 3).random::<u64>());
}

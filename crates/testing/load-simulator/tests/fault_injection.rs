//! Tests of leases under faults in simulated time, and of the history checker.

use passrelay_lease_consensus::mutant::Mutant;
use passrelay_load_simulator::fault_injection::history::{check, AcknowledgedEffect, Act, Belief, History};
use passrelay_load_simulator::fault_injection::timed::{plan_for_seed, play, play_many, DEFAULT_CLIENTS};
use std::collections::BTreeMap;

fn belief(process: &str, token: u64, from: f64, to: f64) -> Belief {
    Belief { process: process.to_owned(), lease: "l".to_owned(), token, from, to }
}

fn act(token: u64, checked: f64, arrived: f64, accepted: bool) -> Act {
    Act { process: "p".to_owned(), lease: "l".to_owned(), token, checked, arrived, accepted }
}

fn acknowledged(token: u64, requested: f64, answered: f64) -> AcknowledgedEffect {
    AcknowledgedEffect { process: "p".to_owned(), lease: "l".to_owned(), token, requested, answered }
}

fn rules(history: &History) -> Vec<&'static str> {
    check(history).iter().map(|v| v.rule).collect()
}

// Guards against a checker that misses violations: a valid history passes, and breaking each rule once is reported.
#[test]
fn checker_reports_each_broken_rule() {
    let last_effects = BTreeMap::from([("l".to_owned(), 2)]);
    let valid = History {
        beliefs: vec![belief("a", 1, 0.0, 1.0), belief("b", 2, 1.0, 2.0), belief("b", 2, 1.5, 3.0)],
        acts: vec![act(1, 0.5, 0.6, true), act(2, 1.1, 1.2, true), act(1, 0.9, 5.0, false)],
        acknowledged: vec![acknowledged(1, 0.1, 0.2), acknowledged(2, 1.1, 1.2), acknowledged(1, 0.9, 1.3)],
        last_effects,
        starved: Vec::new(),
        grace: 0.3,
    };
    assert_eq!(check(&valid), []);
    let with = |change: fn(&mut History)| {
        let mut history = valid.clone();
        change(&mut history);
        rules(&history)
    };
    assert_eq!(with(|h| h.beliefs[0].to = 1.1), ["two processes held one lease at once"]);
    assert_eq!(with(|h| h.beliefs[0].to = 9.0), ["two processes held one lease at once"; 2]);
    assert_eq!(with(|h| h.beliefs[0].token = 5)[0], "a later grant does not have a higher token");
    assert_eq!(with(|h| h.beliefs[0].token = 2)[0], "a later grant does not have a higher token");
    assert_eq!(
        with(|h| h.acts[2].accepted = true),
        ["an act with an older token was accepted after a newer one"]
    );
    assert_eq!(
        with(|h| h.acts[2].checked = 4.9),
        ["an act within the grace period arrived when a newer holder already believed"]
    );
    assert_eq!(
        with(|h| h.acknowledged[2].requested = 1.25),
        ["an older effect was acknowledged after a newer one"]
    );
    assert_eq!(with(|h| h.acknowledged[1].token = 3), ["an acknowledged effect was lost"]);
    assert_eq!(with(|h| h.starved.push("c".to_owned())), ["a waiting process never got a lease"]);
}

// Guards the lease guarantees: at most one holder, no effect of an older holder after a newer one, no acknowledged
// effect lost, no process starved.
#[test]
fn random_histories_have_no_violation() {
    let summary = play_many(0..300, DEFAULT_CLIENTS, None);
    if let Some((seed, outcome)) = summary.first_violation {
        let wrong: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        panic!("seed {seed}: {}\n{}", wrong.join("\n"), outcome.faults.join("\n"));
    }
    assert!(summary.grants > 10_000, "too few grants to be meaningful: {:?}", summary);
}

// Guards against a checker or injected faults too weak to expose a broken guarantee. Each seed is the lowest of the
// first thousand that exposes its mutant.
#[test]
fn every_mutant_is_detected() {
    let seeds = [0, 24, 0, 5, 0, 28, 15, 0, 111, 15, 166];
    let detected =
        |mutant, seed| !play(plan_for_seed(seed, DEFAULT_CLIENTS, Some(mutant))).violations.is_empty();
    let missed: Vec<_> =
        Mutant::ALL.into_iter().zip(seeds).filter(|(m, seed)| !detected(*m, *seed)).collect();
    assert_eq!(missed, []);
}

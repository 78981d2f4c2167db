//! Histories of leases under faults in simulated time, and their checker.

use passrelay_lease_consensus::mutant::Mutant;
use passrelay_load_simulator::fault_injection::history::{check, Act, Belief, History, Noted};
use passrelay_load_simulator::fault_injection::timed::{drawn, play, play_many, CLIENTS};
use std::collections::BTreeMap;

fn belief(process: &str, token: u64, from: f64, to: f64) -> Belief {
    Belief { process: process.to_owned(), lease: "l".to_owned(), token, from, to }
}

fn act(token: u64, checked: f64, arrived: f64, accepted: bool) -> Act {
    Act { process: "p".to_owned(), lease: "l".to_owned(), token, checked, arrived, accepted }
}

fn noted(token: u64, asked: f64, answered: f64) -> Noted {
    Noted { process: "p".to_owned(), lease: "l".to_owned(), token, asked, answered }
}

fn rules(history: &History) -> Vec<&'static str> {
    check(history).iter().map(|v| v.rule).collect()
}

// Guards against a checker that lets things pass: each rule broken once, and a sound history beside it.
#[test]
fn each_rule_is_seen_when_it_is_broken() {
    let remembered = BTreeMap::from([("l".to_owned(), 2)]);
    let sound = History {
        beliefs: vec![belief("a", 1, 0.0, 1.0), belief("b", 2, 1.0, 2.0), belief("b", 2, 1.5, 3.0)],
        acts: vec![act(1, 0.5, 0.6, true), act(2, 1.1, 1.2, true), act(1, 0.9, 5.0, false)],
        noted: vec![noted(1, 0.1, 0.2), noted(2, 1.1, 1.2), noted(1, 0.9, 1.3)],
        remembered,
        stuck: Vec::new(),
        grace: 0.3,
    };
    assert_eq!(check(&sound), []);
    let with = |change: fn(&mut History)| {
        let mut history = sound.clone();
        change(&mut history);
        rules(&history)
    };
    assert_eq!(with(|h| h.beliefs[0].to = 1.1), ["two processes held one lease at once"]);
    assert_eq!(with(|h| h.beliefs[0].to = 9.0), ["two processes held one lease at once"; 2]);
    assert_eq!(with(|h| h.beliefs[0].token = 5)[0], "a later grant has no higher token");
    assert_eq!(with(|h| h.beliefs[0].token = 2)[0], "a later grant has no higher token");
    assert_eq!(with(|h| h.acts[2].accepted = true), ["an older effect was taken after a newer one"]);
    assert_eq!(
        with(|h| h.acts[2].checked = 4.9),
        ["a prompt act arrived when a newer holder already believed"]
    );
    assert_eq!(with(|h| h.noted[2].asked = 1.25), ["an older effect was noted after a newer one"]);
    assert_eq!(with(|h| h.noted[1].token = 3), ["an acknowledged effect was forgotten"]);
    assert_eq!(with(|h| h.stuck.push("c".to_owned())), ["a waiting process was never served"]);
}

// Guards the promises themselves: no two holders, no older effect, nothing acknowledged lost, nobody stuck.
#[test]
fn many_histories_hold() {
    let many = play_many(0..300, CLIENTS, None);
    if let Some((seed, outcome)) = many.first {
        let wrong: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        panic!("seed {seed}: {}\n{}", wrong.join("\n"), outcome.faults.join("\n"));
    }
    assert!(many.counts.1 > 10_000, "too little happened: {:?}", many.counts);
}

// Guards against a checker, or faults, too weak to see a promise broken.
// The seeds are the lowest of the first thousand that show each one.
#[test]
fn each_mutant_is_caught() {
    let first = [0, 24, 0, 5, 0, 28, 15, 0, 111, 15, 166];
    let caught = |mutant, seed| !play(drawn(seed, CLIENTS, Some(mutant))).violations.is_empty();
    let missed: Vec<_> = Mutant::ALL.into_iter().zip(first).filter(|(m, seed)| !caught(*m, *seed)).collect();
    assert_eq!(missed, []);
}

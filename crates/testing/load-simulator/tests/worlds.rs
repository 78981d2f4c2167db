//! Tests of small simulated worlds. The rules hold in random ones and the same seed gives the same bytes, and the
//! observer detects deliberate errors.

use passrelay_load_simulator::experiment::{
    Callers, ClassSpec, Discovery, Experiment, Jam, Kind, Limits, Load, Network, Shape, Tier, Trouble,
    TroubleKind, Wait,
};
use passrelay_load_simulator::observer::Rule;
use passrelay_load_simulator::random::Form;
use passrelay_load_simulator::results::{series, Job, Keep};
use passrelay_load_simulator::rivals::Policy;
use passrelay_load_simulator::world::{play, Mutant, RunError, RunOptions};
use proptest::prelude::*;

const STRICT: RunOptions = RunOptions { nodes: false, strict: true, mutant: Mutant::None };

fn class(name: &str, safe: bool, work_ms: f64) -> ClassSpec {
    let (work, cv) = (Form::Lognormal, 1.5);
    ClassSpec { name: name.to_owned(), work_ms, work, cv, attempt_noise: 0.2, safe, ..ClassSpec::default() }
}

fn kind(count: usize, speed: f64, slots: usize) -> Kind {
    Kind {
        count,
        speed,
        speed_spread: 0.2,
        slots,
        jam: Some(Jam::default()),
        cold_from: 0.4,
        cold_s: 5.0,
        handshake_ms: 1.0,
        error_rate: 0.002,
        ..Kind::default()
    }
}

fn tier(name: &str, kinds: Vec<Kind>, sidecars: usize, calls: [f64; 2]) -> Tier {
    Tier { name: name.to_owned(), sidecars, work: 0.5, calls, kind: kinds, ..Tier::default() }
}

fn trouble(kind: TroubleKind, from_s: f64, for_s: f64, part: f64) -> Trouble {
    let (tier, size, class) = (None, None, None);
    Trouble { kind, from_s, for_s, tier, part, size, class, zone: 0, new_ids: false }
}

fn world(nodes: usize, rate: f64, troubles: Vec<Trouble>) -> Experiment {
    Experiment {
        name: "world".to_owned(),
        length_s: 12.0,
        scale: 1.0,
        load: Load { rate, shape: Shape::Bursts, swing: 0.5, period_s: 4.0, captured: None },
        callers: Callers { retries: 2, wait: Wait::None, patience: [0.4, 1.0], ..Callers::default() },
        network: Network { one_way_ms: 1.0, ..Network::default() },
        discovery: Discovery {
            notice_s: [0.5, 3.0],
            call_ms: 20.0,
            watch_s: 3.0,
            history: 2,
            ..Discovery::default()
        },
        tier: vec![
            tier("front", vec![kind(nodes, 1.0, 10)], 2, [1.0, 1.0]),
            tier("back", vec![kind(nodes + 1, 0.8, 4)], 1, [1.0, 2.0]),
        ],
        class: vec![class("look", true, 90.0), class("pay", false, 150.0)],
        trouble: troubles,
        ..Experiment::default()
    }
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    let kinds = prop_oneof![
        Just(TroubleKind::Slow),
        Just(TroubleKind::FailFast),
        Just(TroubleKind::Gray),
        Just(TroubleKind::Jam),
        Just(TroubleKind::Crash),
        Just(TroubleKind::Cut),
        Just(TroubleKind::ZoneCut),
        Just(TroubleKind::StaleReports),
        Just(TroubleKind::FalseReports),
        Just(TroubleKind::RollingRelease),
        Just(TroubleKind::SidecarRestart),
        Just(TroubleKind::DiscoveryDown),
        Just(TroubleKind::HeavyTail),
        Just(TroubleKind::Storm),
    ];
    (kinds, 0.5..9.0, 1.0..8.0, 0.1..1.0, any::<bool>(), any::<bool>()).prop_map(
        |(kind, from, long, part, back, new_ids)| {
            let tier = back.then(|| "back".to_owned());
            Trouble { tier, new_ids, ..trouble(kind, from, long, part) }
        },
    )
}

fn any_world() -> impl Strategy<Value = Experiment> {
    let troubles = prop::collection::vec(any_trouble(), 0..4);
    (1usize..6, 2.0..40.0, troubles, 1usize..3, any::<bool>(), any::<bool>()).prop_map(
        |(nodes, rate, troubles, zones, probes, pass_budget)| {
            let mut e = world(nodes, rate, troubles);
            e.network.zones = zones;
            e.limits.probes = probes;
            e.callers.pass_budget = pass_budget;
            e
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("LAB_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(32),
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(std::env::var("LAB_SEED").ok().and_then(|c| c.parse().ok()).unwrap_or(7)),
        ..ProptestConfig::default()
    })]

    /// Guards against violations of rules in situations that no hand-written test covers.
    #[test]
    fn rules_hold_in_random_worlds_and_runs_are_reproducible(e in any_world(), seed in 0u64..1000) {
        let first = play(&e, Policy::Passrelay, seed, STRICT);
        let first = first.map_err(|broken| TestCaseError::fail(format!("{broken}\n{}", toml::to_string(&e).unwrap())))?;
        let again = play(&e, Policy::Passrelay, seed, STRICT).expect("the same run succeeded before");
        prop_assert_eq!(serde_json::to_string(&first).unwrap(), serde_json::to_string(&again).unwrap());
    }

    /// Alternative policies have no knowledge of cold nodes; the dispatcher keeps all other rules for them.
    #[test]
    fn alternative_policies_keep_all_rules_but_cold(e in any_world(), seed in 0u64..1000, which in 1usize..9) {
        let outcome = play(&e, Policy::ALL[which], seed, RunOptions::default()).expect("the run succeeds");
        let others: Vec<_> = outcome.broken.keys().filter(|rule| *rule != "Cold").collect();
        prop_assert!(others.is_empty(), "{} broke {others:?}", outcome.policy);
    }
}

fn broken(e: &Experiment, mutant: Mutant) -> Option<(Rule, String)> {
    (0..6).find_map(|seed| match play(e, Policy::Passrelay, seed, RunOptions { mutant, ..STRICT }) {
        Err(RunError::RuleViolated(b)) => Some((b.rule, b.to_string())),
        Err(other) => panic!("{other}"),
        Ok(_) => None,
    })
}

/// Guards against an observer that misses violations: each deliberate error must be reported as its rule's violation.
#[test]
fn observer_detects_deliberate_errors() {
    let mut release = world(4, 20.0, vec![trouble(TroubleKind::RollingRelease, 1.0, 40.0, 1.0)]);
    release.length_s = 30.0;
    let failing = world(4, 20.0, vec![trouble(TroubleKind::FailFast, 1.0, 8.0, 1.0)]);
    let crowded = world(1, 40.0, Vec::new());
    let cases = [
        (&release, Mutant::Drain, Rule::Drain),
        (&failing, Mutant::Retry, Rule::RunOnce),
        (&crowded, Mutant::Late, Rule::OneAnswer),
    ];
    for (e, mutant, rule) in cases {
        assert_eq!(broken(e, Mutant::None), None, "a rule is violated without {mutant:?}");
        let (seen, text) = broken(e, mutant).unwrap_or_else(|| panic!("{mutant:?} was not detected"));
        assert_eq!(seen, rule, "{text}");
        assert!(text.contains("seed") && text.contains(" s "), "the message must name seed and time: {text}");
        assert!(
            rule != Rule::RunOnce || text.contains("Begun"),
            "the message must list the request's events: {text}"
        );
    }
}

/// Guards against results that depend on the order in which threads finish.
#[test]
fn one_thread_or_many_give_the_same_bytes() {
    let e = world(3, 20.0, vec![trouble(TroubleKind::Crash, 2.0, 4.0, 0.5)]);
    let jobs: Vec<Job> = [Policy::Passrelay, Policy::Prequal, Policy::PeakEwma]
        .into_iter()
        .flat_map(|policy| (0..4).map(move |seed| (policy, seed)))
        .map(|(policy, seed)| Job { experiment: e.clone(), set: Vec::new(), policy, seed })
        .collect();
    let on = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        let rows = pool.install(|| series(&jobs, None, Keep { seconds: true, quiet: true })).unwrap();
        serde_json::to_string(&rows).unwrap()
    };
    assert_eq!(on(1), on(4));
}

/// Guards against paired comparisons under different loads: the arrivals must not depend on the policy.
#[test]
fn arrivals_do_not_depend_on_the_policy() {
    let e = world(3, 20.0, Vec::new());
    let asked = |policy| {
        let o = play(&e, policy, 3, RunOptions::default()).unwrap();
        o.classes.values().map(|(w, _)| (w.calls, w.asked)).collect::<Vec<_>>()
    };
    let first = asked(Policy::Passrelay);
    assert!(Policy::ALL.into_iter().all(|p| asked(p) == first));
}

/// A sidecar restarts with the list from the start of the run, while every node listens on its old address under a new
/// id.
#[test]
fn sidecar_with_an_old_list_reaches_new_nodes_at_old_addresses() {
    let release = Trouble { new_ids: true, ..trouble(TroubleKind::RollingRelease, 1.0, 8.0, 1.0) };
    let restart = trouble(TroubleKind::SidecarRestart, 14.0, 2.0, 1.0);
    let mut e = world(4, 10.0, vec![release, restart]);
    e.length_s = 30.0;
    e.discovery.notice_s = [0.2, 0.5];
    let o = play(&e, Policy::Passrelay, 1, STRICT).unwrap();
    let late: Vec<_> = o.seconds[22..].iter().map(|s| s.worth).collect();
    let share = late.iter().map(|w| w.earned).sum::<f64>() / late.iter().map(|w| w.asked).sum::<f64>();
    assert!(share > 0.9, "earned only {share} of the worth after the restart");
    assert!(
        o.seconds[14..16].iter().all(|s| s.worth.earned < s.worth.asked),
        "the restart must cost some worth"
    );
}

/// Guards against an event queue that collects obsolete events: its length must be bounded by rate times deadline.
#[test]
fn event_queue_stays_bounded_at_100_000_calls_per_second() {
    let mut e = world(1, 100_000.0, Vec::new());
    e.tier = vec![tier(
        "front",
        vec![Kind { slots: 100_000, connections: 100_000, ..kind(50, 400.0, 1) }],
        4,
        [1.0, 1.0],
    )];
    e.class = vec![ClassSpec { aim_s: 0.2, deadline_s: 0.5, work_ms: 20.0, ..class("look", true, 20.0) }];
    e.load.shape = Shape::Steady;
    let longest = |length_s: f64| {
        let e = Experiment { length_s, ..e.clone() };
        play(&e, Policy::TwoChoices, 1, RunOptions::default()).unwrap().longest_queue
    };
    let (short, long) = (longest(1.0), longest(3.0));
    assert!(short > 50_000, "{short}: the queue must hold the deadline events of half a second");
    assert!(long < short * 5 / 4, "the queue grew from {short} to {long} with the length of the run");
}

#[test]
fn connection_limit_of_a_node_is_enforced() {
    // Connections beyond the node's limit are refused before they are established, and the sidecar rejects those
    // requests.
    let mut e = world(1, 30.0, Vec::new());
    e.tier.truncate(1);
    e.tier[0].kind[0].connections = 1;
    e.limits = Limits { attempts: 1, ..Limits::default() };
    let o = play(&e, Policy::Random, 1, RunOptions::default()).unwrap();
    assert!(o.requests.refused > 0 && o.requests.sent < o.requests.taken, "{:?}", o.requests);
}

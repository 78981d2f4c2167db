//! A soak of whole fleets of real processes under seeded faults.
//!
//! Processes are killed, terminated, paused, reloaded with other seeds and started again on empty disks, in series that overlap,
//! while an operator changes the configuration and clients keep their connections until a process closes them or is gone. At
//! the end every process is killed at once, right after one more acknowledgement, and some members lose their disks.
//!
//! `SOAK_SEEDS=FROM..TO SOAK_MACHINES=N cargo test --release -p passrelay --test soak` plays other seeds and sizes.

mod bounds;
mod checks;
mod clients;
mod control_calls;
mod endpoints;
mod faults;
mod http;
mod operator;
mod orders;
mod records;
mod rollout_order;
mod scenario;
mod second_versions;
mod seed_islands;
mod stale_denial;
mod unordered_version;

use scenario::Scenario;

/// Seeds that every run of the tests plays.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..2;
const DEFAULT_MACHINES: u8 = 12;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS=FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

fn machines() -> u8 {
    std::env::var("SOAK_MACHINES")
        .map_or(DEFAULT_MACHINES, |text| text.parse().expect("a number of machines"))
}

#[test]
fn a_fleet_keeps_every_acknowledged_change_in_force_through_seeded_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let report = Scenario::new(seed, machines()).play();
        println!("seed {seed}: {report}");
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} broke a rule");
}

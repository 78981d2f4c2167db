//! After all machines lost power, most of them had no configuration: reading it back and every request got 503 there, for good.
//!
//! Order of events: the settings of the machines without a vote name other such machines as seeds, those of the voters only voters; all know
//! each other. All machines lose power at one moment, those that don't count too, and start again: two groups, in which nobody knows anybody
//! of the other.
//!
//! Cause: who is there was known in memory only, which all can lose at once; a disk kept endpoints and members, and no other process.
//! Evidence: the machines without a vote stay at `generation` 0 with `members` empty, while the voters serve (soak, seed 444 of 12 machines).

use crate::endpoints::Endpoint;
use crate::scenario::SoakFleet;
use passrelay_test_support::fleet::Sidecar;
use passrelay_test_support::wait_until;
use std::thread;
use std::time::Duration;

const MACHINES: u8 = 6;
/// Whatever a disk keeps is kept by then.
const SETTLED: Duration = Duration::from_secs(8);

#[test]
fn machines_whose_seeds_name_no_voter_find_the_core_after_a_loss_of_all() {
    let soak = SoakFleet::start(12, MACHINES);
    let SoakFleet { fleet, mut processes, in_service, .. } = soak;
    let without_vote: Vec<u8> = (fleet.voters + 1..=MACHINES).collect();
    for machine in &without_vote {
        fleet.write_settings(*machine, false, &without_vote);
        processes[usize::from(*machine) - 1].signal("HUP");
    }
    thread::sleep(SETTLED);
    processes.iter().for_each(|process| process.signal("KILL"));
    processes.iter_mut().for_each(|process| assert!(!process.wait_for_success()));
    let processes: Vec<Sidecar> = (1..=MACHINES).map(|machine| fleet.spawn(machine)).collect();
    wait_until("all have the configuration", || {
        processes.iter().all(|process| process.status()["generation"] == 1)
    });
    wait_until("all are ready", || processes.iter().all(Sidecar::is_ready));
    in_service.iter().for_each(Endpoint::end);
}

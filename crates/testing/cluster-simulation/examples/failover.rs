//! Measures the time from the loss of the primary to the next acknowledgement, by kind of loss, cluster size and message
//! loss.
//!
//! `cargo run --release -p passrelay-cluster-simulation --example failover -- [HISTORIES]`

use passrelay_cluster_simulation::cluster::ClusterSettings;
use passrelay_cluster_simulation::failover::{time_to_acknowledge, PrimaryLoss};
use std::time::Duration;

/// Number of voters and of all machines.
const SIZES: [(usize, usize); 3] = [(3, 12), (5, 12), (8, 90)];
const LOSSES: [PrimaryLoss; 6] = [
    PrimaryLoss::Crash,
    PrimaryLoss::Wipe,
    PrimaryLoss::Partition,
    PrimaryLoss::Pause,
    PrimaryLoss::DiskStall,
    PrimaryLoss::CrashOfAll,
];

/// Returns the table's label of a loss, unchanged from the tables published so far.
fn label(loss: PrimaryLoss) -> &'static str {
    match loss {
        PrimaryLoss::Crash => "Crash",
        PrimaryLoss::Wipe => "Wipe",
        PrimaryLoss::Partition => "Cut",
        PrimaryLoss::Pause => "Freeze",
        PrimaryLoss::DiskStall => "DiskStall",
        PrimaryLoss::CrashOfAll => "CrashOfAll",
    }
}

fn main() {
    let histories = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(500);
    println!("| counted of machines | messages lost | loss of the primary | p50 | p99 | worst | never |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (voters, machines) in SIZES {
        for message_loss in [0.0, 0.05] {
            for loss in LOSSES {
                let settings = |seed| ClusterSettings {
                    loss: message_loss,
                    ..ClusterSettings::new(voters, machines, seed)
                };
                let all: Vec<_> =
                    (0..histories).map(|seed| time_to_acknowledge(&settings(seed), loss)).collect();
                let mut times: Vec<Duration> = all.iter().flatten().copied().collect();
                times.sort_unstable();
                let at = |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len() - 1));
                println!(
                    "| {voters} of {machines} | {message_loss} | {} | {:.2?} | {:.2?} | {:.2?} | {} |",
                    label(loss),
                    at(0.5).copied().unwrap_or_default(),
                    at(0.99).copied().unwrap_or_default(),
                    at(1.0).copied().unwrap_or_default(),
                    all.len() - times.len()
                );
            }
        }
    }
}

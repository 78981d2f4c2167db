//! Measures the time until all sidecars know a change, and the cost of dissemination and replication, by size and loss.
//!
//! `cargo run --release -p passrelay-cluster-simulation --example dissemination`

use passrelay_cluster_simulation::cluster::{Cluster, ClusterSettings, HEARTBEAT_INTERVAL};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat};
use serde_json::json;
use std::time::Duration;

/// Endpoints per sidecar, as in the largest deployment planned (920 behind 330).
const ENDPOINTS_PER_SIDECAR: f64 = 2.8;
/// Changes and drained endpoints per cluster.
const CHANGES: u64 = 10;
/// A machine that doesn't know a change by then counts with this time.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without changes in which messages and bytes are counted.
const IDLE_DURATION: Duration = Duration::from_secs(10);

fn heartbeat_of(number: usize, state: EndpointState, sequence: u64) -> Heartbeat {
    let record = EndpointRecord {
        id: format!("i-{number:08x}"),
        service: "model".to_owned(),
        address: format!("10.9.{}.{}:8000", number / 250, number % 250 + 1).parse().expect("an address"),
        zone: "zone-1".to_owned(),
        capacity: 64,
        state,
        sequence,
        version: String::new(),
    };
    Heartbeat { record }
}

/// Sends the heartbeats of all endpoints, spread over the machines.
struct HeartbeatSender {
    endpoints: usize,
    /// The endpoints with numbers from 1 up to this one are draining.
    draining: usize,
    sequence: u64,
    next: Duration,
}

impl HeartbeatSender {
    /// Sends all heartbeats once per interval.
    fn send_due(&mut self, cluster: &mut Cluster) {
        if cluster.now() < self.next {
            return;
        }
        self.next = cluster.now() + HEARTBEAT_INTERVAL;
        self.sequence += 1;
        for number in 0..self.endpoints {
            let drains = (1..=self.draining).contains(&number);
            let state = if drains { EndpointState::Draining } else { EndpointState::Ready };
            let machine = number % cluster.len();
            cluster.heartbeat(machine, &heartbeat_of(number, state, self.sequence));
        }
    }
}

/// The generation in force at a machine; 0 for none.
fn generation_at(cluster: &Cluster, machine: usize) -> u64 {
    cluster.process(machine).and_then(|p| p.gossip().configuration()).map_or(0, |c| c.generation)
}

fn knows_draining(cluster: &Cluster, machine: usize, id: &str) -> bool {
    cluster.process(machine).is_some_and(|p| {
        p.gossip().registry().records().any(|r| r.id == id && r.state == EndpointState::Draining)
    })
}

/// Runs until a condition holds on all machines, for `PROPAGATION_TIMEOUT` at most; the time that each took.
fn until_all(
    cluster: &mut Cluster,
    heartbeats: &mut HeartbeatSender,
    holds: impl Fn(&Cluster, usize) -> bool,
) -> Vec<Duration> {
    let began = cluster.now();
    let mut times = vec![None; cluster.len()];
    while times.iter().any(Option::is_none) && cluster.now() < began + PROPAGATION_TIMEOUT {
        let next = cluster.now() + Duration::from_millis(5);
        cluster.run_until(next);
        heartbeats.send_due(cluster);
        for (machine, time) in times.iter_mut().enumerate().filter(|(_, t)| t.is_none()) {
            if holds(cluster, machine) {
                *time = Some(cluster.now() - began);
            }
        }
    }
    times.into_iter().map(|time| time.unwrap_or(PROPAGATION_TIMEOUT)).collect()
}

/// In milliseconds; `part` from 0 to 1.
fn quantile(times: &mut [Duration], part: f64) -> u128 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * part) as usize].as_millis()
}

/// A cluster with heartbeats of all its endpoints.
struct Measured {
    cluster: Cluster,
    heartbeats: HeartbeatSender,
}

/// Messages or bytes per second of each machine; voters come first.
struct SendRates {
    messages: Vec<f64>,
    bytes: Vec<f64>,
}

impl Measured {
    fn start(voters: usize, machines: usize, loss: f64) -> Self {
        let mut cluster = Cluster::new(ClusterSettings { loss, ..ClusterSettings::new(voters, machines, 1) });
        let endpoints = (machines as f64 * ENDPOINTS_PER_SIDECAR) as usize;
        cluster.run_until(Duration::from_secs(5));
        let mut heartbeats = HeartbeatSender { endpoints, draining: 0, sequence: 0, next: Duration::ZERO };
        heartbeats.send_due(&mut cluster);
        Measured { cluster, heartbeats }
    }

    /// Proposes a change at the primary until any machine has it; the times until each machine has it.
    fn change(&mut self, generation: u64) -> Vec<Duration> {
        let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "model" }] });
        let change = ConfigurationChange {
            kind: ChangeKind::Replace,
            base: generation - 1,
            body: document.to_string().into(),
        };
        while !(0..self.cluster.len()).any(|machine| generation_at(&self.cluster, machine) == generation) {
            let primary = self.cluster.primary().unwrap_or(0);
            self.cluster.call(primary, OperatorRequest::Change(change.clone()));
            let next = self.cluster.now() + Duration::from_millis(5);
            self.cluster.run_until(next);
        }
        until_all(&mut self.cluster, &mut self.heartbeats, |cluster, machine| {
            generation_at(cluster, machine) >= generation
        })
    }

    /// Drains one more endpoint; the times until each machine knows.
    fn drain(&mut self) -> Vec<Duration> {
        self.heartbeats.sequence += 1;
        self.heartbeats.draining += 1;
        let number = self.heartbeats.draining;
        let machine = number % self.cluster.len();
        let heartbeat = heartbeat_of(number, EndpointState::Draining, self.heartbeats.sequence);
        self.cluster.heartbeat(machine, &heartbeat);
        let id = format!("i-{number:08x}");
        until_all(&mut self.cluster, &mut self.heartbeats, |cluster, machine| {
            knows_draining(cluster, machine, &id)
        })
    }

    /// What the machines send while nothing changes.
    fn idle_rates(&mut self) -> SendRates {
        let before = self.cluster.messages_sent.clone();
        let began = self.cluster.now();
        self.cluster.counts_bytes = true;
        while self.cluster.now() < began + IDLE_DURATION {
            let next = self.cluster.now() + Duration::from_millis(50);
            self.cluster.run_until(next);
            self.heartbeats.send_due(&mut self.cluster);
        }
        let seconds = (self.cluster.now() - began).as_secs_f64();
        let messages = self.cluster.messages_sent.iter().zip(&before);
        SendRates {
            messages: messages.map(|(after, before)| (after - before) as f64 / seconds).collect(),
            bytes: self.cluster.bytes_sent.iter().map(|bytes| *bytes as f64 / seconds).collect(),
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Prints a row of the table.
fn measure(machines: usize, loss: f64) {
    let voters = if machines < 30 { 3 } else { 8 };
    let mut measured = Measured::start(voters, machines, loss);
    let mut configured = Vec::new();
    let mut drained = Vec::new();
    for generation in 1..=CHANGES {
        configured.extend(measured.change(generation));
        drained.extend(measured.drain());
    }
    let SendRates { messages, bytes } = measured.idle_rates();
    println!(
        "| {machines} | {:.0}% | {} / {} / {} | {} / {} / {} | {:.1} | {:.1} | {:.2} | {:.2} |",
        loss * 100.0,
        quantile(&mut configured, 0.5),
        quantile(&mut configured, 0.99),
        quantile(&mut configured, 1.0),
        quantile(&mut drained, 0.5),
        quantile(&mut drained, 0.99),
        quantile(&mut drained, 1.0),
        mean(&messages[voters..]),
        max(&messages[..voters]),
        mean(&bytes[voters..]) / 1_000.0,
        max(&bytes[..voters]) / 1_000.0,
    );
}

fn main() {
    println!("| sidecars | loss | configuration known, ms p50 / p99 / worst | draining known | messages/s, sidecar | core, most | KB/s, sidecar | core, most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (machines, losses) in
        [(12, &[0.0, 0.05, 0.2][..]), (90, &[0.0, 0.05, 0.2]), (330, &[0.0, 0.05]), (1_000, &[0.0])]
    {
        for loss in losses.iter().copied() {
            measure(machines, loss);
        }
    }
}

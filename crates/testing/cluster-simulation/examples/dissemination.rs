//! Measures the time until all sidecars know of a change, and the cost of dissemination and replication, by cluster size and
//! message loss.
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
/// Number of configuration changes, and of drained endpoints, per cluster.
const CHANGES: u64 = 10;
/// Time recorded for a machine that does not know of a change by then.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of the phase without changes during which messages and bytes are counted.
const IDLE_DURATION: Duration = Duration::from_secs(10);

fn heartbeat_of(number: usize, state: EndpointState, sequence: u64) -> Heartbeat {
    let record = EndpointRecord {
        id: format!("i-{number:08x}"),
        service: "model".to_owned(),
        address: format!("10.9.{}.{}:8000", number / 250, number % 250 + 1)
            .parse()
            .expect("invalid endpoint address"),
        zone: "zone-1".to_owned(),
        capacity: 64,
        state,
        sequence,
        version: String::new(),
    };
    Heartbeat { record }
}

/// Sends the heartbeats of all endpoints, distributed over the machines.
struct HeartbeatSender {
    endpoints: usize,
    /// The endpoints numbered from 1 to this one, inclusive, are draining.
    draining: usize,
    sequence: u64,
    next: Duration,
}

impl HeartbeatSender {
    /// Sends the heartbeats of all endpoints if an interval has passed since the last ones.
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

/// Returns the generation in force at a machine, or 0 if there is none.
fn generation_at(cluster: &Cluster, machine: usize) -> u64 {
    cluster.process(machine).and_then(|p| p.gossip().configuration()).map_or(0, |c| c.generation)
}

fn knows_draining(cluster: &Cluster, machine: usize, id: &str) -> bool {
    cluster.process(machine).is_some_and(|p| {
        p.gossip().registry().records().any(|r| r.id == id && r.state == EndpointState::Draining)
    })
}

/// Runs until a condition holds on all machines, for at most `PROPAGATION_TIMEOUT`. Returns the time that each machine took.
fn times_until_all(
    cluster: &mut Cluster,
    heartbeats: &mut HeartbeatSender,
    holds: impl Fn(&Cluster, usize) -> bool,
) -> Vec<Duration> {
    let started_at = cluster.now();
    let mut times = vec![None; cluster.len()];
    while times.iter().any(Option::is_none) && cluster.now() < started_at + PROPAGATION_TIMEOUT {
        let next = cluster.now() + Duration::from_millis(5);
        cluster.run_until(next);
        heartbeats.send_due(cluster);
        for (machine, time) in times.iter_mut().enumerate().filter(|(_, t)| t.is_none()) {
            if holds(cluster, machine) {
                *time = Some(cluster.now() - started_at);
            }
        }
    }
    times.into_iter().map(|time| time.unwrap_or(PROPAGATION_TIMEOUT)).collect()
}

/// Returns the quantile `part`, from 0 to 1, in milliseconds.
fn quantile(times: &mut [Duration], part: f64) -> u128 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * part) as usize].as_millis()
}

/// A cluster under measurement and the sender of its endpoints' heartbeats.
struct MeasuredCluster {
    cluster: Cluster,
    heartbeats: HeartbeatSender,
}

/// Messages and bytes sent per second by each machine, voters first.
struct SendRates {
    messages: Vec<f64>,
    bytes: Vec<f64>,
}

impl MeasuredCluster {
    fn start(voters: usize, machines: usize, loss: f64) -> Self {
        let mut cluster = Cluster::new(ClusterSettings { loss, ..ClusterSettings::new(voters, machines, 1) });
        let endpoints = (machines as f64 * ENDPOINTS_PER_SIDECAR) as usize;
        cluster.run_until(Duration::from_secs(5));
        let mut heartbeats = HeartbeatSender { endpoints, draining: 0, sequence: 0, next: Duration::ZERO };
        heartbeats.send_due(&mut cluster);
        MeasuredCluster { cluster, heartbeats }
    }

    /// Proposes a change to the primary until a machine has applied it. Returns the time from then until each machine has
    /// applied it.
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
        times_until_all(&mut self.cluster, &mut self.heartbeats, |cluster, machine| {
            generation_at(cluster, machine) >= generation
        })
    }

    /// Drains one more endpoint. Returns the time until each machine knows.
    fn drain(&mut self) -> Vec<Duration> {
        self.heartbeats.sequence += 1;
        self.heartbeats.draining += 1;
        let number = self.heartbeats.draining;
        let machine = number % self.cluster.len();
        let heartbeat = heartbeat_of(number, EndpointState::Draining, self.heartbeats.sequence);
        self.cluster.heartbeat(machine, &heartbeat);
        let id = format!("i-{number:08x}");
        times_until_all(&mut self.cluster, &mut self.heartbeats, |cluster, machine| {
            knows_draining(cluster, machine, &id)
        })
    }

    /// Measures the send rates of all machines while nothing changes.
    fn idle_rates(&mut self) -> SendRates {
        let before = self.cluster.messages_sent.clone();
        let started_at = self.cluster.now();
        self.cluster.counts_bytes = true;
        while self.cluster.now() < started_at + IDLE_DURATION {
            let next = self.cluster.now() + Duration::from_millis(50);
            self.cluster.run_until(next);
            self.heartbeats.send_due(&mut self.cluster);
        }
        let seconds = (self.cluster.now() - started_at).as_secs_f64();
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

/// Measures one cluster size and loss, and prints its row of the table.
fn measure(machines: usize, loss: f64) {
    let voters = if machines < 30 { 3 } else { 8 };
    let mut measured = MeasuredCluster::start(voters, machines, loss);
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

//! Clients: one for each process. It keeps its connection until the process closes it or is gone.

use crate::http::Connection;
use crate::records::{Demand, Exchange, Records};
use passrelay_test_support::Message;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longer than any request's deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const RECONNECT_PAUSE: Duration = Duration::from_millis(40);
const DEADLINE_MS: u32 = 2_000;
/// Share of the requests that test what changes have brought about.
const PROBE_RATIO: f64 = 0.5;
/// Of the things that are no longer there only the last ones are asked for.
const MAX_PROBES: usize = 24;

/// The client of one process.
pub struct Client {
    pub machine: u8,
    pub address: SocketAddr,
    pub records: Arc<Records>,
    pub stable_paths: Vec<String>,
    pub stable_key: String,
    pub pause: Duration,
    pub seed: u64,
}

impl Client {
    /// Sends requests until it is told to stop.
    pub fn run(&self, stop: &AtomicBool) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut connection = None;
        let mut number = 0_u64;
        while !stop.load(Ordering::SeqCst) {
            if connection.is_none() {
                connection = Connection::open(self.address, READ_TIMEOUT);
            }
            let Some(open) = &mut connection else {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            number += 1;
            let (path, key) = self.choose(&mut rng);
            if !self.exchange(open, number, path, key) {
                connection = None;
            }
            thread::sleep(self.pause.mul_f64(rng.random_range(0.5..1.5)));
        }
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> (String, String) {
        if rng.random_bool(PROBE_RATIO) {
            let expectations = self.records.expectations.lock().unwrap();
            let in_force = expectations.iter().rev().filter(|expectation| expectation.until.is_none());
            let probes: Vec<_> = in_force.take(MAX_PROBES).collect();
            if let Some(probe) = probes.choose(rng) {
                return (probe.path.clone(), probe.key.clone());
            }
        }
        (self.stable_paths.choose(rng).expect("a route").clone(), self.stable_key.clone())
    }

    /// Sends one request and records what comes; returns whether the connection can be used again.
    fn exchange(&self, connection: &mut Connection, number: u64, path: String, key: String) -> bool {
        let (machine, sent_at) = (self.machine, self.records.now());
        let request = format!(
            "GET {path}x HTTP/1.1\r\nHost: soak.example\r\nX-Passrelay-Request-Id: {machine:04x}{number:012x}\r\n\
             X-Passrelay-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
        );
        let answer = connection.exchange(&request);
        let is_in_chunks = |answer: &Message| answer.header("transfer-encoding").is_some();
        // A client that left at the head would have abandoned the response, which says nothing about its endpoint.
        if answer.as_ref().is_some_and(is_in_chunks) {
            connection.read_chunks();
        }
        let ran_by = answer.as_ref().and_then(|answer| answer.header("x-ran-by")).unwrap_or_default();
        let service = ran_by.split_once(' ').map(|(service, _)| service.to_owned());
        let exchange = Exchange {
            machine,
            sent_at,
            path,
            key,
            status: answer.as_ref().map_or(0, |answer| answer.status()),
            service,
        };
        self.records.exchanges.lock().unwrap().push(exchange);
        let can_reuse =
            |answer: Message| answer.header("connection") != Some("close") && !is_in_chunks(&answer);
        answer.is_some_and(can_reuse)
    }
}

/// Whether a demand is about a route that was added.
pub fn is_added_route(demand: &Demand) -> bool {
    matches!(demand, Demand::RunBy(_))
}

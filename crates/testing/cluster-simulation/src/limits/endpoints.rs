//! Endpoints, which send heartbeats to random machines and drain until that is acknowledged.

use super::{LimitHistory, LimitMutation, CLIENTS_START_AT, SERVICE};
use crate::cluster::HEARTBEAT_INTERVAL;
use passrelay_dissemination::{AnnouncementId, EndpointRecord, EndpointState, Heartbeat};
use rand::Rng;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Upper bound of the delay before an endpoint's first heartbeat, in milliseconds: one heartbeat interval.
const MAX_FIRST_HEARTBEAT_DELAY_MS: u64 = 1_200;
/// Probability, per step, that an endpoint starts to drain.
const DRAIN_PROBABILITY: f64 = 0.002;
/// Time after the acknowledgement of its draining after which an endpoint is replaced.
const REMOVE_DRAINED_AFTER: Duration = Duration::from_secs(5);

/// An endpoint, ready or draining.
pub(super) struct Endpoint {
    id: String,
    index: usize,
    state: EndpointState,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    next_heartbeat: Duration,
    /// When the draining was first acknowledged; `None` before.
    drained_at: Option<Duration>,
}

/// Uniquely identifies an announcement in a history; announcement ids alone are unique only within one incarnation of a
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnnouncementKey {
    pub(super) machine: usize,
    pub(super) incarnation: u64,
    pub(super) announcement: AnnouncementId,
}

impl LimitHistory {
    pub(super) fn start_endpoint(&mut self) {
        let index = self.next_endpoint;
        self.next_endpoint += 1;
        let delay = self.cluster.rng.random_range(0..MAX_FIRST_HEARTBEAT_DELAY_MS);
        self.endpoints.push(Endpoint {
            id: format!("i-{index}"),
            index,
            state: EndpointState::Ready,
            sequence: 0,
            next_heartbeat: self.cluster.now() + Duration::from_millis(delay),
            drained_at: None,
        });
    }

    /// Sends the heartbeats that are due, at times starts to drain an endpoint, and replaces drained ones.
    pub(super) fn drive_endpoints(&mut self) {
        let now = self.cluster.now();
        if now > CLIENTS_START_AT && self.cluster.rng.random_bool(DRAIN_PROBABILITY) {
            let index = self.cluster.rng.random_range(0..self.endpoints.len());
            self.endpoints[index].state = EndpointState::Draining;
            self.endpoints[index].next_heartbeat = now;
        }
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].next_heartbeat <= now {
                self.send_heartbeat(index);
            }
        }
        let before = self.endpoints.len();
        self.endpoints
            .retain(|endpoint| endpoint.drained_at.is_none_or(|at| now <= at + REMOVE_DRAINED_AFTER));
        (self.endpoints.len()..before).for_each(|_| self.start_endpoint());
    }

    /// Sends an endpoint's heartbeat to a random machine. If the endpoint is draining and that is not acknowledged yet, also
    /// makes the machine announce it.
    fn send_heartbeat(&mut self, index: usize) {
        let now = self.cluster.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.next_heartbeat = now + HEARTBEAT_INTERVAL;
        endpoint.sequence += 1;
        let record = EndpointRecord {
            id: endpoint.id.clone(),
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new([10, 9, 0, 1].into(), 1_000 + endpoint.index as u16),
            zone: "here".to_owned(),
            capacity: 8,
            state: endpoint.state,
            sequence: endpoint.sequence,
            version: String::new(),
        };
        let Some(machine) = self.random_responsive_machine() else { return };
        let Some(observations) = self.cluster.heartbeat(machine, &Heartbeat { record }) else { return };
        self.observe(observations);
        let endpoint = &self.endpoints[index];
        if endpoint.state != EndpointState::Draining || endpoint.drained_at.is_some() {
            return;
        }
        let id = endpoint.id.clone();
        if self.settings.mutation == Some(LimitMutation::AcknowledgesDrainingWithoutQuorum) {
            return self.acknowledge_draining(&id);
        }
        let incarnation = self.cluster.incarnation(machine);
        let Some((announcement, observations)) = self.cluster.announce(machine, &id) else { return };
        self.announced.insert(AnnouncementKey { machine, incarnation, announcement }, id);
        self.observe(observations);
    }

    /// Handles the confirmation of an announcement by a quorum: the machine acknowledges that the endpoint is draining.
    pub(super) fn handle_confirmation(&mut self, announcement: AnnouncementKey) {
        if let Some(id) = self.announced.remove(&announcement) {
            self.acknowledge_draining(&id);
        }
    }

    fn acknowledge_draining(&mut self, id: &str) {
        let now = self.cluster.now();
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.id == id) else { return };
        if endpoint.drained_at.is_none() {
            endpoint.drained_at = Some(now);
            self.outcome.drained += 1;
            self.checker.draining_acknowledged(now, id);
        }
    }
}

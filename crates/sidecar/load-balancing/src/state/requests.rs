//! The requests that are owed a final answer or still have an attempt in flight.

use crate::api::{ClassId, EndpointEntry, RequestId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt of a request.
pub struct Attempt {
    /// The upstream's entry at the time of sending; a later change does not move the attempt's zone or cell.
    pub entry: EndpointEntry,
    pub sent_at: f64,
    /// Until its outcome arrives.
    pub in_flight: bool,
    /// Unless the outcome proved otherwise.
    pub may_have_run: bool,
    /// Cancelled by a hedge; its outcome is still due.
    pub cancelled: bool,
}

/// A request from its arrival until its final answer and the outcome of its last attempt.
pub struct Request {
    pub class: ClassId,
    pub arrived_at: f64,
    /// The latency target as a time: an answer after it earns nothing, unless late answers have a value.
    /// Never after `deadline`.
    pub answer_by: f64,
    /// When the client gives up.
    pub deadline: f64,
    /// Value of an answer in time, of which the highest is dispatched first.
    pub priority: f64,
    /// Expected work in seconds, from the caller's hint; positive and finite.
    pub cost: Option<f64>,
    /// Expected response time in seconds; infinite when it can't be answered in time by any upstream.
    pub expected_time: f64,
    /// Its class may run again.
    pub idempotent: bool,
    pub attempts: Vec<Attempt>,
    /// Waits to be dispatched.
    pub pending: bool,
    /// Nothing more is owed to the client.
    pub completed: bool,
}

impl Request {
    /// What it adds to the load of an upstream: its cost, or 1 where there is no hint.
    pub fn load(&self) -> f64 {
        self.cost.unwrap_or(1.0)
    }

    fn as_pending(&self, id: RequestId) -> PendingRequest {
        let Request { class, arrived_at, answer_by, deadline, priority, expected_time, .. } = *self;
        PendingRequest { id, class, arrived_at, answer_by, deadline, priority, expected_time }
    }
}

/// Queue entry of a request that waits to be dispatched. Ordered by priority (highest first), then by arrival
/// (newest first: under overload the oldest would all be answered too late), then by id.
#[derive(Clone, Copy)]
pub struct PendingRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub arrived_at: f64,
    pub answer_by: f64,
    pub deadline: f64,
    pub priority: f64,
    pub expected_time: f64,
}

impl Ord for PendingRequest {
    fn cmp(&self, other: &Self) -> Ordering {
        let priority = other.priority.total_cmp(&self.priority);
        let arrival = other.arrived_at.total_cmp(&self.arrived_at);
        priority.then(arrival).then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for PendingRequest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PendingRequest {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PendingRequest {}

/// Requests by id, with the dispatch queue kept sorted, so that no event scans or sorts all requests.
#[derive(Default)]
pub struct Requests {
    all: BTreeMap<RequestId, Request>,
    /// Exactly the requests that are pending and not completed.
    queue: BTreeSet<PendingRequest>,
    /// Requests that are idempotent and not completed.
    open_idempotent: usize,
}

impl Requests {
    /// Adds a new request to the dispatch queue.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.open_idempotent += usize::from(request.idempotent);
        self.queue.insert(request.as_pending(id));
        self.all.insert(id, request);
    }

    pub fn get(&self, id: &RequestId) -> Option<&Request> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.all.get_mut(id)
    }

    /// The dispatch queue in its order.
    pub fn pending(&self) -> &BTreeSet<PendingRequest> {
        &self.queue
    }

    /// Whether an open request might be hedged.
    pub fn has_open_idempotent(&self) -> bool {
        self.open_idempotent > 0
    }

    /// Puts a request into the dispatch queue or takes it out.
    pub fn set_pending(&mut self, id: RequestId, pending: bool) {
        let Some(request) = self.all.get_mut(&id) else { return };
        request.pending = pending;
        if pending && !request.completed {
            self.queue.insert(request.as_pending(id));
        } else {
            self.queue.remove(&request.as_pending(id));
        }
    }

    /// Marks a request as completed: nothing more is owed.
    pub fn complete(&mut self, id: RequestId) {
        let Some(request) = self.all.get_mut(&id) else { return };
        self.open_idempotent -= usize::from(request.idempotent && !request.completed);
        request.completed = true;
        self.set_pending(id, false);
    }

    /// Completes a request; removes it once none of its attempts is in flight.
    pub fn finish(&mut self, id: RequestId) {
        self.complete(id);
        let Some(request) = self.all.get(&id) else { return };
        if request.attempts.iter().all(|attempt| !attempt.in_flight) {
            self.all.remove(&id);
        }
    }
}

impl std::ops::Index<&RequestId> for Requests {
    type Output = Request;

    fn index(&self, id: &RequestId) -> &Request {
        &self.all[id]
    }
}

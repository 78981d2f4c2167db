//! The requests that have no final answer yet or still have an attempt in flight.

use crate::api::{ClassId, EndpointEntry, RequestId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt of a request.
pub struct Attempt {
    /// The upstream's entry at the time of the send, so that a later change does not affect the zone or cell of the
    /// attempt.
    pub entry: EndpointEntry,
    pub sent_at: f64,
    /// Whether the attempt has no outcome yet.
    pub in_flight: bool,
    /// Whether the upstream may have run the request; `false` only if the outcome proves that it has not.
    pub may_have_run: bool,
    /// Whether the attempt was cancelled for a hedge. Its outcome still has to arrive.
    pub cancelled: bool,
}

/// A request, from its arrival to its final answer and the outcome of its last attempt.
pub struct Request {
    pub class: ClassId,
    pub arrived_at: f64,
    /// When the latency target is reached; an answer after this earns nothing. Equal to `deadline` for a class whose
    /// late answers have a value, and never after it.
    pub answer_by: f64,
    /// When the client gives up.
    pub deadline: f64,
    /// Value of an answer in time; the request with the highest value is dispatched first.
    pub priority: f64,
    /// Expected work in seconds, by the caller's hint; positive and finite. `None` without a valid hint.
    pub cost: Option<f64>,
    /// Expected response time in seconds; infinite if no upstream can answer in time.
    pub expected_time: f64,
    /// Whether the class was idempotent when the request arrived.
    pub idempotent: bool,
    pub attempts: Vec<Attempt>,
    /// Whether the request waits to be dispatched.
    pub pending: bool,
    /// Whether the client needs no further answer.
    pub completed: bool,
}

impl Request {
    /// Returns what the request adds to the load of an upstream: its cost, or 1 without a hint.
    pub fn load(&self) -> f64 {
        self.cost.unwrap_or(1.0)
    }

    fn as_pending(&self, id: RequestId) -> PendingRequest {
        let Request { class, arrived_at, answer_by, deadline, priority, expected_time, .. } = *self;
        PendingRequest { id, class, arrived_at, answer_by, deadline, priority, expected_time }
    }
}

/// The dispatch queue's entry for a request. Entries are ordered by priority (highest first), then by arrival, then by
/// id. The newest arrival comes first: under overload, with the oldest first, all would be answered too late.
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

/// Requests by id, and the dispatch queue, which is kept sorted so that no event has to scan or sort all requests.
#[derive(Default)]
pub struct Requests {
    by_id: BTreeMap<RequestId, Request>,
    /// Contains exactly the requests that are pending and not completed.
    queue: BTreeSet<PendingRequest>,
    /// Number of requests that are idempotent and not completed.
    open_idempotent: usize,
}

impl Requests {
    /// Adds a new request to the dispatch queue.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.open_idempotent += usize::from(request.idempotent);
        self.queue.insert(request.as_pending(id));
        self.by_id.insert(id, request);
    }

    pub fn get(&self, id: &RequestId) -> Option<&Request> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(id)
    }

    /// Returns the dispatch queue, in the order in which requests are to be sent.
    pub fn pending(&self) -> &BTreeSet<PendingRequest> {
        &self.queue
    }

    /// Returns whether any request could be hedged: an idempotent one that is not completed.
    pub fn has_open_idempotent(&self) -> bool {
        self.open_idempotent > 0
    }

    /// Adds a request to the dispatch queue or removes it. A completed request is not added.
    pub fn set_pending(&mut self, id: RequestId, pending: bool) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.pending = pending;
        if pending && !request.completed {
            self.queue.insert(request.as_pending(id));
        } else {
            self.queue.remove(&request.as_pending(id));
        }
    }

    /// Marks a request as completed, so that it gets no further answer or attempt.
    pub fn complete(&mut self, id: RequestId) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        self.open_idempotent -= usize::from(request.idempotent && !request.completed);
        request.completed = true;
        self.set_pending(id, false);
    }

    /// Completes a request, and removes it if none of its attempts is in flight.
    pub fn finish(&mut self, id: RequestId) {
        self.complete(id);
        let Some(request) = self.by_id.get(&id) else { return };
        if request.attempts.iter().all(|attempt| !attempt.in_flight) {
            self.by_id.remove(&id);
        }
    }
}

impl std::ops::Index<&RequestId> for Requests {
    type Output = Request;

    fn index(&self, id: &RequestId) -> &Request {
        &self.by_id[id]
    }
}

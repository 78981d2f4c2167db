//! What the caller reports to a balancer and what a balancer asks of it.

use super::{ClassId, RequestId, TenantId, UpstreamId, ZoneId};

/// A load report; a field that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the upstream, in work and queued.
    pub in_flight: Option<f64>,
    /// Requests in its queue.
    pub queued: Option<f64>,
    /// Part of the CPU in use, 0 to 1.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub err_rps: Option<f64>,
}

/// State of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Running.
    Running,
    /// Completes its requests; no new ones may be sent.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell; upstreams of a cell share their deduplication keys.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started, if that was not long ago.
    pub started: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Served,
    /// An error from the upstream; it may have run.
    UpstreamError,
    /// Rejected by the upstream before it ran.
    Shed,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent; it never ran.
    NotSent,
}

impl Ending {
    /// True when the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Shed | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The upstream it was sent to.
    pub upstream: UpstreamId,
    /// How it ended.
    pub ending: Ending,
    /// Seconds since it was sent.
    pub elapsed: f64,
    /// The request has its final answer and nothing more is owed.
    pub last: bool,
    /// The load report of the answer.
    pub report: Option<LoadReport>,
}

/// An event that the caller reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The full endpoint list; an absent upstream has been removed.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the endpoint list.
    EndpointChanges(Vec<EndpointEntry>),
    /// A call for the endpoint list failed or the subscription broke.
    EndpointListFailed,
    /// A request arrived and is owed one final answer.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// Seconds until the client gives up.
        client_timeout: f64,
        /// Its expected work in seconds, if known.
        work_hint: Option<f64>,
        /// The client marked it as a repeat.
        repeat: bool,
    },
    /// The response stream to the client has begun: the request can't be retried any more.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended; one for each [`Action::Send`].
    Outcome(Outcome),
    /// The client disconnected; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A wake-up asked for with [`Action::Wake`].
    Wake(u64),
    /// The result of [`Action::HealthCheck`].
    HealthCheckEnded {
        /// The upstream.
        upstream: UpstreamId,
        /// How the health check ended.
        ending: Ending,
        /// Seconds since it was sent.
        elapsed: f64,
        /// The load report of its answer.
        report: Option<LoadReport>,
    },
}

/// What the caller must do, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The upstream to send to.
        upstream: UpstreamId,
        /// Time-out in seconds; `None` until the client gives up.
        timeout: Option<f64>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Seconds after which the client may retry, if that is to be sent.
        retry_after: Option<f64>,
    },
    /// Final answer: failed; a retry by the client may run the request again.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Wake`] with this token.
    Wake {
        /// Seconds from now.
        after: f64,
        /// Handed back unchanged.
        token: u64,
    },
    /// Send a health check to an upstream.
    HealthCheck(UpstreamId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

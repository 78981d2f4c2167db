//! Events that the caller passes to a balancer, and actions that the balancer returns.

use super::{ClassId, RequestId, TenantId, UpstreamId, ZoneId};

/// A load report of an upstream. A field is `None` if it was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the upstream, both running and queued.
    pub in_flight: Option<f64>,
    /// Requests queued at the upstream.
    pub queued: Option<f64>,
    /// Fraction of the CPU in use, 0 to 1.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests served per second.
    pub rps: Option<f64>,
    /// Errors per second.
    pub err_rps: Option<f64>,
}

/// State of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Running,
    /// Completes the requests it has; no new ones may be sent to it.
    Draining,
    /// Is no longer in the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The upstream that the entry describes.
    pub upstream: UpstreamId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Cell in which it runs; the upstreams of a cell share their deduplication keys.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// When it last started, in seconds on the caller's clock; `None` if that was long ago.
    pub started: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream served the request.
    Served,
    /// The upstream answered with an error; the request may have run.
    UpstreamError,
    /// The upstream rejected the request before it ran.
    Shed,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection was lost before the answer; the request may have run.
    ConnectionLost,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent; the request did not run.
    NotSent,
}

impl Ending {
    /// Returns whether the request is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Shed | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Request of the attempt.
    pub id: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// Upstream to which the attempt was sent.
    pub upstream: UpstreamId,
    /// How the attempt ended.
    pub ending: Ending,
    /// Seconds from the send to the end of the attempt.
    pub elapsed: f64,
    /// Whether the client needs no further answer, so that the request must not be retried.
    pub last: bool,
    /// Load report that came with the answer, if any.
    pub report: Option<LoadReport>,
}

/// An event that the caller passes to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The full endpoint list; upstreams that it does not contain have been removed.
    EndpointList(Vec<EndpointEntry>),
    /// The entries of the endpoint list that have changed.
    EndpointChanges(Vec<EndpointEntry>),
    /// A call for the endpoint list failed, or the subscription was lost.
    EndpointListFailed,
    /// A request arrived, which must get exactly one final answer.
    Request {
        /// Id of the request, never used before.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant whose quota the request uses; `None` without one.
        tenant: Option<TenantId>,
        /// Seconds until the client gives up.
        client_timeout: f64,
        /// Expected work in seconds, if the caller has a hint.
        work_hint: Option<f64>,
        /// Whether the client marked the request as a repeat of an earlier one.
        repeat: bool,
    },
    /// The response to the client has started, so the request can't be retried any more.
    ResponseStarted {
        /// Request whose response has started.
        id: RequestId,
        /// Number of the attempt that supplies the response.
        attempt: u32,
    },
    /// An attempt ended. One such event follows each [`Action::Send`].
    Outcome(Outcome),
    /// The client disconnected and needs no answer any more.
    ClientDisconnected(RequestId),
    /// A wake-up requested with [`Action::Wake`], with its token.
    Wake(u64),
    /// A health check sent by [`Action::HealthCheck`] ended.
    HealthCheckEnded {
        /// Upstream that was checked.
        upstream: UpstreamId,
        /// How the health check ended.
        ending: Ending,
        /// Seconds from the send to the end of the health check.
        elapsed: f64,
        /// Load report that came with the answer, if any.
        report: Option<LoadReport>,
    },
}

/// An action that the caller must carry out. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0.
    Send {
        /// Request to send.
        id: RequestId,
        /// Upstream to which it is sent.
        upstream: UpstreamId,
        /// Time-out of the attempt in seconds; with `None` it lasts until the client gives up.
        timeout: Option<f64>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
    },
    /// Give the final answer that the request was rejected; a retry by the client is harmless.
    Reject {
        /// Request to answer.
        id: RequestId,
        /// Seconds after which the client may retry; `None` if the answer carries no such time.
        retry_after: Option<f64>,
    },
    /// Give the final answer that the request failed; a retry by the client may run it a second time.
    Fail {
        /// Request to answer.
        id: RequestId,
    },
    /// Deliver [`Event::Wake`] with this token.
    Wake {
        /// Seconds from now.
        after: f64,
        /// Token to pass back unchanged.
        token: u64,
    },
    /// Send a health check to an upstream.
    HealthCheck(UpstreamId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

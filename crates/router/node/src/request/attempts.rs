//! The attempts of a request: select an endpoint, connect, check that the request may still be sent, send it, and
//! classify the response.
//!
//! `retry_policy` decides whether there is a next attempt and which failure the client receives otherwise.

use super::admission::{self, Admission};
use super::endpoint_call::EndpointCall;
use super::endpoint_selection::{EndpointSelection, SelectedEndpoint, VersionChoice};
use super::headers::{INSTANCE_LOAD, NOT_EXECUTED, REQUEST_ID};
use super::inbound::InboundRequest;
use super::outbound::{self, AttemptFields};
use super::quota::{self, QuotaReservation};
use super::retry_policy::{AttemptConditions, AttemptHistory};
use crate::memory::MemoryCharge;
use crate::request_context::RequestContext;
use crate::responses::Failure;
use crate::upstream::{Connection, SendError};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use passrelay_data_plane::balancer::{LoadReport, Pick, RequestOutcome};
use passrelay_data_plane::execution_limits::ExecutionLimits;
use passrelay_data_plane::memory_budget::{MemoryUse, UPSTREAM_CALL_BYTES};
use passrelay_data_plane::rollout_shares::RequestFeatures;
use passrelay_data_plane::stream_origin::StreamOrigin;
use smol::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for reading the remaining response of a rejected attempt, so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// An endpoint's response to an executed request, with its connection and call.
pub struct EndpointResponse {
    /// Response head, with the body still to be read.
    pub response: Response<Incoming>,
    /// Connection that the response arrives on.
    pub connection: Connection,
    /// Accounting of the call at the balancer.
    pub call: EndpointCall,
    /// The conditions under which the response began.
    pub origin: StreamOrigin,
}

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The endpoint has executed the request and responds.
    Executed(Box<EndpointResponse>),
    /// The endpoint has not executed the request and will not; another endpoint may be attempted.
    NotExecuted,
    /// The endpoint may have executed the request.
    Unknown,
    /// The deadline, or the time of the last responses before this process ends, has passed. The endpoint may have
    /// executed the request.
    TimedOut,
}

/// The attempts of one request.
pub struct Attempts {
    context: Rc<RequestContext>,
    inbound: Rc<InboundRequest>,
    deadline: Duration,
    /// Ids of the endpoints that are not selected again.
    attempted: Vec<Arc<str>>,
    /// Service of the previous attempt; `None` before the first one.
    service: Option<String>,
    history: AttemptHistory,
    /// What all configurations allow under which the request was admitted.
    limits: ExecutionLimits,
    /// Tokens charged to the request's tenant.
    reservation: Option<QuotaReservation>,
    /// Memory for the response that is being relayed.
    memory: MemoryCharge,
    /// Origin of the response that is being relayed and has broken off; `None` before the first response.
    resumed: Option<StreamOrigin>,
}

impl Attempts {
    /// Creates the state before the first attempt. `limits` are those of the routes that have admitted the request, and
    /// `reservation` holds the tokens charged to its tenant.
    pub fn new(
        context: Rc<RequestContext>,
        inbound: Rc<InboundRequest>,
        deadline: Duration,
        limits: ExecutionLimits,
        reservation: Option<QuotaReservation>,
    ) -> Self {
        let memory = context.resources.memory.charge(MemoryUse::UpstreamCalls);
        Attempts {
            context,
            memory,
            inbound,
            deadline,
            attempted: Vec::new(),
            service: None,
            history: AttemptHistory::default(),
            limits,
            reservation,
            resumed: None,
        }
    }

    /// Returns the deadline of the request, on the clock of the process.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Returns the context that the request is served in.
    pub fn context(&self) -> &Rc<RequestContext> {
        &self.context
    }

    /// Returns the reserved tokens, unless an endpoint may have executed the request.
    pub fn refund(&mut self) {
        if !self.history.may_have_executed() {
            if let Some(reservation) = self.reservation.take() {
                reservation.refund(&self.context);
            }
        }
    }

    /// Releases the body, because the request is not sent again.
    pub fn release_body(&self) {
        self.inbound.body.take();
    }

    /// Records that the relayed response broke off. The request counts as possibly executed, and only an endpoint that may
    /// continue a response of this origin is attempted from now on.
    pub fn record_broken_response(&mut self, origin: StreamOrigin) {
        self.history.possibly_executed += 1;
        self.resumed = Some(origin);
    }

    /// Attempts endpoints until one has executed the request and responds. When a stream is resumed,
    /// `last_event_id` identifies the last event that the client has received.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the client.
    pub async fn next(&mut self, last_event_id: Option<&HeaderValue>) -> Result<EndpointResponse, Failure> {
        loop {
            let now = self.context.now();
            if now >= self.deadline {
                return Err(self.history.deadline_failure());
            }
            let admission = admission::admit(&self.context, &self.inbound)
                .map_err(|denied| self.history.admission_failure(denied))?;
            self.check_next(&admission)?;
            if !QuotaReservation::covers(self.reservation.as_ref(), &admission) {
                self.charge(&admission).await?;
                // Waiting for tokens may have taken long, so the request is admitted again.
                continue;
            }
            let service = self.assign_service(&admission);
            match self.attempt(&admission, &service, last_event_id).await? {
                AttemptOutcome::Executed(response) => return Ok(*response),
                AttemptOutcome::NotExecuted => {}
                AttemptOutcome::Unknown => self.history.possibly_executed += 1,
                AttemptOutcome::TimedOut => {
                    self.history.possibly_executed += 1;
                    return Err(Failure::TimedOut);
                }
            }
        }
    }

    /// Checks whether the request may be sent under `admission` after the attempts so far.
    fn check_next(&mut self, admission: &Admission) -> Result<(), Failure> {
        self.limits = self.limits.restricted_by(&admission.route);
        let checked = self.check_limits(self.limits).and_then(|()| self.check_origin(admission));
        if checked.is_err() && self.check_limits(ExecutionLimits::of(&admission.route)).is_ok() {
            self.context.data_plane.repeats.record_withheld();
        }
        checked
    }

    fn check_limits(&self, limits: ExecutionLimits) -> Result<(), Failure> {
        let accepted_by_shutdown = self.context.shutdown.accepts(self.deadline);
        self.history.check_next(&AttemptConditions { limits, accepted_by_shutdown })
    }

    /// Checks whether a response that has broken off may continue under `admission`.
    fn check_origin(&self, admission: &Admission) -> Result<(), Failure> {
        let may_continue =
            |origin: &StreamOrigin| origin.may_continue(&admission.route, admission.tenant.as_ref());
        let continues = self.resumed.as_ref().is_none_or(may_continue);
        continues.then_some(()).ok_or(Failure::NoResponse)
    }

    /// Charges the request to the tenant that it has under `admission`, to which it was not charged before.
    async fn charge(&mut self, admission: &Admission) -> Result<(), Failure> {
        self.refund();
        let reserved = quota::reserve(&self.context, &self.inbound, admission).await;
        self.reservation = reserved.map_err(|failure| self.history.admission_failure(failure))?;
        Ok(())
    }

    /// Returns the service of the next attempt. A request stays with its service as long as its route has that
    /// service as a backend, so that retries do not skew the traffic split.
    fn assign_service(&mut self, admission: &Admission) -> String {
        let assigned = self.service.take().filter(|service| admission.route.sends_to(service));
        let service = assigned.unwrap_or_else(|| admission.choose_service(&self.context));
        self.service = Some(service.clone());
        if self.history.attempts == 0 {
            self.context.data_plane.retry_budget.borrow_mut().deposit(&service);
        }
        service
    }

    /// Attempts one more endpoint.
    async fn attempt(
        &mut self,
        admission: &Admission,
        service: &str,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<AttemptOutcome, Failure> {
        let context = self.context.clone();
        let SelectedEndpoint { pick, version, choice } =
            self.select_endpoint(admission, service).ok_or(self.history.exhausted_failure())?;
        self.ensure_capacity(&pick)?;
        self.history.attempts += 1;
        let Some(mut connection) = connect(&context, &pick).await else {
            context.data_plane.balancer.borrow_mut().connect_failed(context.now(), &pick.id);
            self.attempted.push(pick.id);
            return Ok(AttemptOutcome::NotExecuted);
        };
        // Opening the connection may have taken some time, so all preconditions are checked again.
        let may_send = admission.is_valid(&context)
            && context.data_plane.balancer.borrow().may_send(&pick.id)
            && (choice == VersionChoice::InService
                || context.data_plane.rollout_shares.borrow().may_send(context.now(), service));
        if !may_send {
            context.resources.upstream.put(context.now(), connection);
            return Ok(AttemptOutcome::NotExecuted);
        }
        // Every request sent to an endpoint after the first one is charged to the budget that all sidecars share.
        let is_retry = self.history.next_is_retry();
        if is_retry && !context.data_plane.retry_budget.borrow_mut().withdraw(service) {
            context.resources.upstream.put(context.now(), connection);
            return Err(self.history.exhausted_failure());
        }
        if self.history.may_have_executed() {
            context.data_plane.repeats.record_sent();
        }
        let fields = AttemptFields {
            endpoint: &pick.id,
            time_remaining: self.deadline.saturating_sub(context.now()),
            last_event_id,
        };
        let request = outbound::compose(&self.inbound, admission, &fields);
        let prompt = Some(self.inbound.prompt).filter(|_| admission.route.session_affinity);
        let observed = context.data_plane.rollout_shares.borrow().observe(
            service,
            &version,
            RequestFeatures {
                route: &admission.route.name,
                prefill_tokens: pick.prefill_tokens,
                is_load_test: choice == VersionChoice::LoadTest,
            },
        );
        let call = EndpointCall::begin(&context, pick.clone(), prompt.as_ref(), observed);
        let timeout = async {
            context.shutdown.response_due(self.deadline).await;
            None
        };
        let result = smol::future::or(async { Some(connection.send(request).await) }, timeout).await;
        self.attempted.push(pick.id);
        let origin = StreamOrigin::new(&admission.route, admission.tenant.as_ref(), service);
        Ok(self.classify_result(result, connection, call, origin))
    }

    /// Charges the memory for a response, and checks that a connection to the endpoint can be had.
    fn ensure_capacity(&mut self, pick: &Pick) -> Result<(), Failure> {
        let is_charged = self.memory.bytes() > 0 || self.memory.grow(UPSTREAM_CALL_BYTES).is_ok();
        let has_capacity = is_charged && self.context.resources.upstream.has_capacity_for(pick.address);
        has_capacity.then_some(()).ok_or_else(|| self.history.admission_failure(Failure::MemoryExhausted))
    }

    fn select_endpoint(&self, admission: &Admission, service: &str) -> Option<SelectedEndpoint> {
        let selection = EndpointSelection {
            context: &self.context,
            admission,
            service,
            prompt: self.inbound.prompt,
            attempted: &self.attempted,
        };
        if self.history.attempts == 0 {
            selection.select_first()
        } else {
            selection.select_in_service()
        }
    }

    /// Classifies the result of sending a request; `None` stands for a timeout.
    fn classify_result(
        &mut self,
        result: Option<Result<Response<Incoming>, SendError>>,
        connection: Connection,
        call: EndpointCall,
        origin: StreamOrigin,
    ) -> AttemptOutcome {
        match result {
            None => AttemptOutcome::TimedOut,
            Some(Err(SendError::NotSent)) => {
                // The endpoint may just have closed a reused connection, which does not indicate a failure.
                call.end(if connection.is_reused {
                    RequestOutcome::Rejected
                } else {
                    RequestOutcome::Failed
                });
                if connection.is_reused {
                    self.attempted.pop();
                }
                AttemptOutcome::NotExecuted
            }
            Some(Err(SendError::ConnectionBroken)) => {
                call.end(RequestOutcome::Failed);
                AttemptOutcome::Unknown
            }
            Some(Err(SendError::MalformedHead(fault))) => {
                self.context.data_plane.malformed_responses.record(call.endpoint(), fault);
                call.end(RequestOutcome::Failed);
                AttemptOutcome::Unknown
            }
            Some(Ok(response)) => {
                self.classify_response(EndpointResponse { response, connection, call, origin })
            }
        }
    }

    fn classify_response(&mut self, received: EndpointResponse) -> AttemptOutcome {
        let EndpointResponse { response, call, .. } = &received;
        if response.headers().get(&REQUEST_ID) != self.inbound.headers.get(&REQUEST_ID) {
            // The response belongs to another request.
            call.end(RequestOutcome::Failed);
            return AttemptOutcome::Unknown;
        }
        let load = response.headers().get(&INSTANCE_LOAD).and_then(|value| value.to_str().ok());
        let report = load.and_then(LoadReport::parse);
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let executed = !misdirected && !response.headers().contains_key(&NOT_EXECUTED);
        call.record_response(report, executed && response.status().is_server_error());
        if executed {
            return AttemptOutcome::Executed(Box::new(received));
        }
        call.end(if misdirected { RequestOutcome::Failed } else { RequestOutcome::Rejected });
        self.history.rejected += 1;
        let EndpointResponse { response, connection, .. } = received;
        let context = self.context.clone();
        self.context.spawner.spawn_bounded(drain(context, response, connection));
        AttemptOutcome::NotExecuted
    }
}

/// Returns an idle connection to the picked endpoint, or opens one. `None` if it cannot be opened.
async fn connect(context: &RequestContext, pick: &Pick) -> Option<Connection> {
    match context.resources.upstream.take(context.now(), pick.address) {
        Some(connection) => Some(connection),
        None => context.resources.upstream.connect(context.spawner, pick.address).await.ok(),
    }
}

/// Reads the remaining body of a response that is not relayed, so that its connection can be reused.
async fn drain(context: Rc<RequestContext>, response: Response<Incoming>, connection: Connection) {
    let read = async { response.into_body().collect().await.is_ok() };
    let timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
        false
    };
    if smol::future::or(read, timeout).await {
        context.resources.upstream.put(context.now(), connection);
    }
}

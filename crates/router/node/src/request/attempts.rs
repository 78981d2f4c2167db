//! The attempts of one request: select an endpoint, connect, check that all still holds, send, and judge the
//! response.
//!
//! Whether there is a next attempt, and which failure the client gets otherwise, is decided in
//! `retry_policy`.

use super::admission::{self, Admission};
use super::endpoint_call::EndpointCall;
use super::headers::{INSTANCE_LOAD, NOT_EXECUTED, REQUEST_ID};
use super::inbound::InboundRequest;
use super::outbound::{self, AttemptFields};
use super::retry_policy::{AttemptConditions, AttemptHistory};
use crate::request_context::RequestContext;
use crate::responses::Failure;
use crate::upstream::{Connection, SendError};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use passrelay_data_plane::balancer::{LoadReport, Pick, PickRequest, RequestOutcome};
use passrelay_data_plane::rollout_shares::{CanaryChoice, RequestFeatures};
use smol::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for reading the rest of a rejected attempt's response, so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// The head of an endpoint's response, and what belongs to the call.
pub struct Answered {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The call in the balancer's accounts.
    pub call: EndpointCall,
}

/// How one attempt ended.
enum Outcome {
    /// The endpoint has executed the request.
    Answered(Box<Answered>),
    /// The endpoint has not executed it and never will; another one may.
    NotExecuted,
    /// The endpoint may have executed it.
    Unknown,
    /// The deadline, or the last moment of this process, has come; the endpoint may have executed it.
    TimedOut,
}

/// An endpoint that was selected, and why.
struct Selected {
    pick: Pick,
    /// The version that was asked for; empty where any was.
    version: String,
    choice: VersionChoice,
}

/// Why a request goes to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionChoice {
    /// It is the one in service.
    InService,
    /// It is rolled out, and this router has a share.
    Canary,
    /// It is rolled out, and one of its endpoints is tested under load.
    LoadTest,
}

/// The attempts of one request.
pub struct Attempts {
    context: Rc<RequestContext>,
    inbound: Rc<InboundRequest>,
    deadline: Duration,
    /// Endpoints that are not selected again.
    attempted: Vec<Arc<str>>,
    /// The service of the first attempt.
    service: Option<String>,
    history: AttemptHistory,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(context: Rc<RequestContext>, inbound: Rc<InboundRequest>, deadline: Duration) -> Self {
        let history = AttemptHistory::default();
        Attempts { context, inbound, deadline, attempted: Vec::new(), service: None, history }
    }

    /// When the request has to be over, on the process's clock.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// The context that the request is served in.
    pub fn context(&self) -> &Rc<RequestContext> {
        &self.context
    }

    /// Whether any endpoint may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.history.may_have_executed()
    }

    /// The endpoint that answered has broken off; its execution counts.
    pub fn record_broken_response(&mut self) {
        self.history.possibly_executed += 1;
    }

    /// Attempts endpoints until one answers. `last_event_id` is that of the last event that the client has,
    /// where a stream is resumed.
    ///
    /// # Errors
    ///
    /// Returns the failure that the client gets.
    pub async fn next(&mut self, last_event_id: Option<&str>) -> Result<Answered, Failure> {
        loop {
            let now = self.context.now();
            if now >= self.deadline {
                return Err(self.history.deadline_failure());
            }
            let admission = admission::admit(&self.context, &self.inbound)
                .map_err(|denied| self.history.admission_failure(denied))?;
            self.history.check_next(&self.conditions(&admission))?;
            let service = self.assign_service(&admission);
            match self.attempt(&admission, &service, last_event_id).await? {
                Outcome::Answered(answered) => return Ok(*answered),
                Outcome::NotExecuted => {}
                Outcome::Unknown => self.history.possibly_executed += 1,
                Outcome::TimedOut => {
                    self.history.possibly_executed += 1;
                    return Err(Failure::TimedOut);
                }
            }
        }
    }

    fn conditions(&self, admission: &Admission) -> AttemptConditions {
        AttemptConditions {
            idempotent: admission.route.is_idempotent(),
            max_executions: admission.route.max_attempts,
            accepted_by_shutdown: self.context.shutdown.accepts(self.deadline),
        }
    }

    /// The service of the next attempt. A request stays with its service as long as its route leads there, so
    /// that a retry does not change the traffic split.
    fn assign_service(&mut self, admission: &Admission) -> String {
        let assigned = self.service.take().filter(|service| admission.has_service(service));
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
        last_event_id: Option<&str>,
    ) -> Result<Outcome, Failure> {
        let context = self.context.clone();
        let Selected { pick, version, choice } =
            self.select_endpoint(admission, service).ok_or(self.history.exhausted_failure())?;
        self.history.attempts += 1;
        let Some(mut connection) = connect(&context, &pick).await else {
            context.data_plane.balancer.borrow_mut().connect_failed(context.now(), &pick.id);
            self.attempted.push(pick.id);
            return Ok(Outcome::NotExecuted);
        };
        // All that the forwarding rests on has to hold now, after the wait for the connection.
        let may_send = admission.is_valid(&context)
            && context.data_plane.balancer.borrow().may_send(&pick.id)
            && (choice == VersionChoice::InService
                || context.data_plane.rollout_shares.borrow().may_send(context.now(), service));
        if !may_send {
            context.upstream.put(context.now(), connection);
            return Ok(Outcome::NotExecuted);
        }
        // Every arrival at an endpoint beyond the first draws on the budget that all sidecars share.
        let is_retry = self.history.next_is_retry();
        if is_retry && !context.data_plane.retry_budget.borrow_mut().withdraw(service) {
            context.upstream.put(context.now(), connection);
            return Err(self.history.exhausted_failure());
        }
        let fields = AttemptFields {
            endpoint: &pick.id,
            time_left: self.deadline.saturating_sub(context.now()),
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
        Ok(self.judge_result(result, connection, call))
    }

    /// Selects an endpoint: of a version that is rolled out where the share says so, else of that in service. Further attempts go to
    /// the version in service: one that is rolled out may be what failed.
    fn select_endpoint(&self, admission: &Admission, service: &str) -> Option<Selected> {
        if self.history.attempts == 0 {
            let now = self.context.now();
            let choice = self.context.data_plane.rollout_shares.borrow_mut().choose(now, service);
            if let Some(CanaryChoice { version, endpoint_share, is_load_test }) = choice {
                let choice = if is_load_test { VersionChoice::LoadTest } else { VersionChoice::Canary };
                if let Some(pick) = self.pick(admission, service, Some(&version), Some(endpoint_share)) {
                    return Some(Selected { pick, version, choice });
                }
            }
        }
        // An endpoint registers by itself, so its version counts only if it is the one in service.
        let version = admission.snapshot.service_versions.get(service);
        let pick = self.pick(admission, service, version, None)?;
        let version = version.unwrap_or_default().to_owned();
        Some(Selected { pick, version, choice: VersionChoice::InService })
    }

    fn pick(
        &self,
        admission: &Admission,
        service: &str,
        version: Option<&str>,
        endpoint_share: Option<f64>,
    ) -> Option<Pick> {
        let prompt = Some(self.inbound.prompt).filter(|_| admission.route.session_affinity);
        let latency_target = Duration::from_millis(admission.route.target_latency_ms);
        let attempted = &self.attempted;
        let request = PickRequest { service, version, endpoint_share, prompt, latency_target, attempted };
        self.context.data_plane.balancer.borrow_mut().pick(self.context.now(), &request)
    }

    /// `result` is `None` after the timeout.
    fn judge_result(
        &mut self,
        result: Option<Result<Response<Incoming>, SendError>>,
        connection: Connection,
        call: EndpointCall,
    ) -> Outcome {
        match result {
            None => Outcome::TimedOut,
            Some(Err(SendError::NotSent)) => {
                // A reused connection may just have been closed by the endpoint, which says nothing about its
                // health.
                call.end(if connection.is_reused {
                    RequestOutcome::Rejected
                } else {
                    RequestOutcome::Failed
                });
                if connection.is_reused {
                    self.attempted.pop();
                }
                Outcome::NotExecuted
            }
            Some(Err(SendError::Broken)) => {
                call.end(RequestOutcome::Failed);
                Outcome::Unknown
            }
            Some(Ok(response)) => self.judge_response(response, connection, call),
        }
    }

    fn judge_response(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        call: EndpointCall,
    ) -> Outcome {
        if response.headers().get(&REQUEST_ID) != self.inbound.headers.get(&REQUEST_ID) {
            // The response to another request.
            call.end(RequestOutcome::Failed);
            return Outcome::Unknown;
        }
        let load = response.headers().get(&INSTANCE_LOAD).and_then(|value| value.to_str().ok());
        let report = load.and_then(LoadReport::parse);
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let executed = !misdirected && !response.headers().contains_key(&NOT_EXECUTED);
        call.record_response(report, executed && response.status().is_server_error());
        if executed {
            return Outcome::Answered(Box::new(Answered { response, connection, call }));
        }
        call.end(if misdirected { RequestOutcome::Failed } else { RequestOutcome::Rejected });
        self.history.rejected += 1;
        let context = self.context.clone();
        self.context.spawner.spawn_bounded(drain(context, response, connection));
        Outcome::NotExecuted
    }
}

/// An idle connection, or a new one.
async fn connect(context: &RequestContext, pick: &Pick) -> Option<Connection> {
    match context.upstream.take(context.now(), pick.address) {
        Some(connection) => Some(connection),
        None => context.upstream.connect(context.spawner, pick.address).await.ok(),
    }
}

/// Reads the rest of a response that is not relayed, so that its connection can be reused.
async fn drain(context: Rc<RequestContext>, response: Response<Incoming>, connection: Connection) {
    let read = async { response.into_body().collect().await.is_ok() };
    let timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
        false
    };
    if smol::future::or(read, timeout).await {
        context.upstream.put(context.now(), connection);
    }
}

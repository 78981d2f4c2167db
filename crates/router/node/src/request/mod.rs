//! A client's request on its way to an endpoint: admission, attempts, the answer.

use crate::process::{Node, Snapshot};
use crate::responses::{Body, Failure};
mod relay_body;
use crate::upstream::{Connection, SendError, UpstreamRequest};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{
    HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use passrelay_configuration::{Route, RouteType, Tenant, TokenUnit};
use passrelay_control_plane::quota::TenantKey;
use passrelay_data_plane::balancer::{CallEnd, LoadReport, Pick, PickRequest};
use passrelay_data_plane::prompt::Prompt;
use passrelay_data_plane::routing::Denial;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-passrelay-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-passrelay-deadline-ms");
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-passrelay-target-instance");
const TENANT: HeaderName = HeaderName::from_static("x-passrelay-tenant");
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-passrelay-token-usage");
const PREFIX_HASH: HeaderName = HeaderName::from_static("x-passrelay-prefix-hash");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-passrelay-not-executed");
const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-passrelay-instance-load");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const PRIORITY: HeaderName = HeaderName::from_static("priority");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Names of the fields of this protocol begin with this.
const OWN_FIELDS: &str = "x-passrelay-";
/// Time a client waits where it tells none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// A process counts as just started for this long.
const START_LASTS: Duration = Duration::from_secs(5);
/// Part of its time that a request waits for a process that has just started.
const START_PATIENCE: f64 = 0.35;
const START_LOOK_EVERY: Duration = Duration::from_millis(15);
/// Endpoints that a request which ran nowhere is offered to, at most.
const MOST_OFFERS: usize = 4;
/// Part of a route's target within which a request waits for quota.
const QUOTA_PATIENCE: f64 = 0.2;
/// A request that waits for quota asks again after this.
const QUOTA_LOOK_EVERY: Duration = Duration::from_millis(20);

/// A client's request, read whole.
pub struct Inbound {
    method: Method,
    uri: Uri,
    host: String,
    headers: HeaderMap,
    key: Option<String>,
    prompt: Prompt,
    body: Bytes,
    arrived: Duration,
    /// Time that the client waits.
    patience: Duration,
}

/// On what terms a request is taken, by one configuration.
pub struct Terms {
    snapshot: Rc<Snapshot>,
    route: Route,
    tenant: Option<Tenant>,
    priority: u64,
}

/// The head of an endpoint's answer, and what belongs to the call.
pub struct Answered {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The call in the balancer's books.
    pub call: Call,
}

/// Serves one request.
pub async fn relay(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    wait_for_start(node, &request).await;
    match try_relay(node, request, arrived).await {
        Ok(response) => response,
        Err(failure) => failure.response(),
    }
}

/// A process that has just started gets what it needs within moments: a request waits for that, for a part of its time.
async fn wait_for_start(node: &Rc<Node>, request: &Request<Incoming>) {
    let told =
        request.headers().get(&DEADLINE).and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<u64>().ok());
    let patience = told.map_or(DEFAULT_DEADLINE, Duration::from_millis).mul_f64(START_PATIENCE);
    let until = node.now() + patience;
    while node.now() < until.min(START_LASTS) && !node.can_serve() {
        Timer::after(START_LOOK_EVERY).await;
    }
}

async fn try_relay(
    node: &Rc<Node>,
    request: Request<Incoming>,
    arrived: Duration,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    let mut inbound = Inbound::read(parts, arrived)?;
    let terms = admit(node, &inbound)?;
    if !node.may_begin(inbound.deadline(&terms)) {
        return Err(Failure::Ending);
    }
    inbound.body = read_body(&terms, body).await?;
    let inbound = Rc::new(inbound);
    let terms = admit(node, &inbound)?;
    let tokens = take_quota(node, &inbound, &terms).await?;
    let deadline = inbound.deadline(&terms);
    let mut attempts = Attempts::new(node.clone(), inbound.clone(), deadline);
    let resumable = terms.route.route_type == RouteType::Streaming && terms.route.resumable;
    drop(terms);
    match attempts.next(None).await {
        Ok(answered) => Ok(relay_body::respond(answered, attempts, resumable)),
        Err(failure) => {
            if let Some((tenant, tokens)) = tokens.filter(|_| attempts.runs == 0) {
                node.quota.borrow_mut().give_back(node.now(), tenant.0, tokens);
            }
            Err(failure)
        }
    }
}

impl Inbound {
    fn read(parts: Parts, arrived: Duration) -> Result<Self, Failure> {
        let text = |name: &HeaderName| parts.headers.get(name).and_then(|v| v.to_str().ok());
        let host = parts.uri.host().or_else(|| text(&HOST)).ok_or(Failure::BadRequest)?.to_owned();
        let key = text(&AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer ")).map(|k| k.trim().to_owned());
        let patience = match text(&DEADLINE) {
            Some(told) => {
                let ms: f64 = told.trim().parse().map_err(|_| Failure::BadRequest)?;
                if !ms.is_finite() || ms < 0.0 {
                    return Err(Failure::BadRequest);
                }
                Duration::from_secs_f64((ms / 1_000.0).min(3_600.0))
            }
            None => DEFAULT_DEADLINE,
        };
        let path_and_query = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        Ok(Inbound {
            uri: path_and_query.parse().map_err(|_| Failure::BadRequest)?,
            host,
            key,
            prompt: Prompt::read(text(&TOKEN_USAGE), text(&PREFIX_HASH)),
            method: parts.method,
            headers: parts.headers,
            body: Bytes::new(),
            arrived,
            patience,
        })
    }

    fn deadline(&self, terms: &Terms) -> Duration {
        self.arrived + self.patience.min(Duration::from_millis(terms.route.timeout_ms))
    }
}

/// Finds the terms of a request by the configuration of this moment.
fn admit(node: &Node, inbound: &Inbound) -> Result<Terms, Failure> {
    let snapshot = node.snapshot().ok_or(Failure::NotConfigured)?;
    let found = snapshot.table.find(&inbound.host, inbound.uri.path(), inbound.key.as_deref());
    let found = found.map_err(|denial| match denial {
        Denial::NoRoute => Failure::NoRoute,
        Denial::UnknownKey => Failure::UnknownKey,
    })?;
    if found.tenant.is_some() && !node.is_fresh() {
        return Err(Failure::NotFresh);
    }
    let (route, tenant, priority) = (found.route.clone(), found.tenant.cloned(), found.priority());
    Ok(Terms { snapshot, route, tenant, priority })
}

impl Terms {
    /// Whether nothing has changed that a sending rests on.
    fn hold(&self, node: &Node) -> bool {
        let current = node.snapshot().is_some_and(|s| s.index == self.snapshot.index);
        current && (self.tenant.is_none() || node.is_fresh())
    }

    /// The service that this request's turn falls on.
    fn service(&self, node: &Node) -> String {
        node.splits.borrow_mut().choose(&self.route).to_owned()
    }
}

async fn read_body(terms: &Terms, body: Incoming) -> Result<Bytes, Failure> {
    let limits = terms.snapshot.table.limits();
    let most = limits.max_body_bytes;
    let wait = Duration::from_millis(limits.header_timeout_ms.max(1));
    if body.size_hint().lower() > most as u64 {
        return Err(Failure::BodyTooLong);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut body = body;
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut length = 0;
    loop {
        let late = async {
            Timer::after(wait).await;
            Err(Failure::TooSlow)
        };
        let frame = smol::future::or(async { Ok(body.frame().await) }, late).await?;
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Failure::BadRequest)?.into_data() else { continue };
        length += data.len();
        if length > most {
            return Err(Failure::BodyTooLong);
        }
        pieces.push(data);
    }
    Ok(if pieces.len() == 1 { pieces.remove(0) } else { pieces.concat().into() })
}

/// A request that waits for tokens, in the quota's books as long as it lives.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    tenant: TenantKey,
    tokens: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.quota.borrow_mut().stop_waiting(self.tenant.0, self.tokens);
    }
}

/// Takes the tokens that a request counts out of its tenant's quota; waits a little where none are held here.
async fn take_quota(
    node: &Rc<Node>,
    inbound: &Inbound,
    terms: &Terms,
) -> Result<Option<(TenantKey, u64)>, Failure> {
    let Some(tenant) = terms.tenant.as_ref().filter(|t| t.is_limited()) else { return Ok(None) };
    let key = TenantKey::of(&tenant.name);
    let tokens = match tenant.unit {
        TokenUnit::Requests => 1,
        TokenUnit::TokenUsage => inbound.prompt.total_tokens().unwrap_or(tenant.uncached_tokens),
    };
    let began = node.now();
    node.quota.borrow_mut().want(key.0, tokens);
    let waiting = Waiting { node, tenant: key, tokens };
    node.ask_for_quota();
    let patience = Duration::from_millis(terms.route.target_latency_ms).mul_f64(QUOTA_PATIENCE);
    loop {
        let granted = node.quota_granted.listen();
        if node.quota.borrow_mut().spend(node.now(), key.0, tokens) {
            drop(waiting);
            return Ok(Some((key, tokens)));
        }
        if node.quota.borrow().is_short(key.0, began) {
            return Err(Failure::OverQuota);
        }
        let now = node.now();
        if now >= began + patience || node.quota.borrow().is_deserted(key.0, now) {
            return Err(Failure::NoGrantor);
        }
        node.ask_for_quota();
        let look = async {
            Timer::after(QUOTA_LOOK_EVERY).await;
        };
        smol::future::or(granted, look).await;
    }
}

/// A call in the balancer's books; one that is dropped without an end was abandoned.
pub struct Call {
    node: Rc<Node>,
    pick: Pick,
    answered: Cell<bool>,
    open: Cell<bool>,
}

impl Call {
    fn begin(node: &Rc<Node>, pick: Pick, prompt: Option<&Prompt>) -> Self {
        node.balancer.borrow_mut().sent(node.now(), &pick, prompt);
        Call { node: node.clone(), pick, answered: Cell::new(false), open: Cell::new(true) }
    }

    fn answered(&self, report: Option<LoadReport>, failed: bool) {
        self.answered.set(true);
        self.node.balancer.borrow_mut().answered(self.node.now(), &self.pick, report, failed);
    }

    /// A piece of the answer came.
    pub fn heard(&self) {
        self.node.balancer.borrow_mut().heard(self.node.now(), &self.pick.id);
    }

    /// The call is over.
    pub fn end(&self, end: CallEnd) {
        if self.open.replace(false) {
            let now = self.node.now();
            self.node.balancer.borrow_mut().ended(now, &self.pick, self.answered.get(), end);
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.end(CallEnd::Abandoned);
    }
}

enum Outcome {
    Answered(Box<Answered>),
    /// It has not run and never will; another endpoint may get it.
    NotRun,
    /// It may have run.
    Unknown,
    /// The time is over.
    Late,
}

/// The attempts of one request.
pub struct Attempts {
    node: Rc<Node>,
    inbound: Rc<Inbound>,
    deadline: Duration,
    tried: Vec<Arc<str>>,
    /// The service that the request was sent to first.
    service: Option<String>,
    offers: usize,
    /// Attempts that may have run.
    runs: u64,
    /// Attempts that endpoints turned away.
    rejected: u64,
}

impl Attempts {
    fn new(node: Rc<Node>, inbound: Rc<Inbound>, deadline: Duration) -> Self {
        Attempts {
            node,
            inbound,
            deadline,
            tried: Vec::new(),
            service: None,
            offers: 0,
            runs: 0,
            rejected: 0,
        }
    }

    /// When the request's time is over.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// The process that serves the request.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// The endpoint that answered has broken off; its run counts.
    pub fn broke_off(&mut self) {
        self.runs += 1;
    }

    /// Finds an endpoint that answers. `after` is the id of the last event that the client has, when a stream is taken
    /// up again.
    pub async fn next(&mut self, after: Option<&str>) -> Result<Answered, Failure> {
        loop {
            let now = self.node.now();
            if now >= self.deadline {
                return Err(if self.runs > 0 { Failure::TimedOut } else { Failure::NoEndpoint });
            }
            let terms = match admit(&self.node, &self.inbound) {
                Ok(terms) => terms,
                // What may have run is not to be denied or refused.
                Err(_) if self.runs > 0 => return Err(Failure::NoAnswer),
                Err(failure) => return Err(failure),
            };
            if self.runs > 0 && (!terms.route.is_idempotent() || self.runs >= terms.route.max_attempts) {
                return Err(Failure::NoAnswer);
            }
            if self.runs == 0 && !self.node.may_begin(self.deadline) {
                return Err(Failure::Ending);
            }
            if self.offers >= MOST_OFFERS {
                return Err(self.exhausted());
            }
            // A request keeps its service as long as its route still leads there.
            let kept = self.service.take().filter(|s| terms.route.backends.iter().any(|b| b.service == *s));
            let service = kept.unwrap_or_else(|| terms.service(&self.node));
            self.service = Some(service.clone());
            if self.offers == 0 {
                self.node.budget.borrow_mut().request(&service);
            }
            match self.attempt(&terms, &service, after).await? {
                Outcome::Answered(answered) => return Ok(*answered),
                Outcome::NotRun => {}
                Outcome::Unknown => self.runs += 1,
                Outcome::Late => {
                    self.runs += 1;
                    return Err(Failure::TimedOut);
                }
            }
        }
    }

    fn exhausted(&self) -> Failure {
        if self.runs > 0 {
            Failure::NoAnswer
        } else {
            Failure::NoEndpoint
        }
    }

    /// Offers the request to one more endpoint.
    async fn attempt(
        &mut self,
        terms: &Terms,
        service: &str,
        after: Option<&str>,
    ) -> Result<Outcome, Failure> {
        let node = self.node.clone();
        let prompt = Some(self.inbound.prompt).filter(|_| terms.route.session_affinity);
        let target = Duration::from_millis(terms.route.target_latency_ms);
        let request = PickRequest { service, prompt, target, tried: &self.tried };
        let pick = node.balancer.borrow_mut().pick(node.now(), &request);
        let Some(pick) = pick else { return Err(self.exhausted()) };
        self.offers += 1;
        let reused = node.pool.take(node.now(), pick.address);
        let connection = match reused {
            Some(connection) => Ok(connection),
            None => node.pool.connect(node.executor, pick.address).await,
        };
        let Ok(mut connection) = connection else {
            node.balancer.borrow_mut().unreachable(node.now(), &pick.id);
            self.tried.push(pick.id);
            return Ok(Outcome::NotRun);
        };
        // All that a sending rests on has to hold now, after the wait for the connection.
        if !terms.hold(&node) || !node.balancer.borrow().may_send(&pick.id) {
            node.pool.put(node.now(), connection);
            return Ok(Outcome::NotRun);
        }
        // Every arrival beyond the first draws on the budget that all sidecars share.
        if self.runs + self.rejected > 0 && !node.budget.borrow_mut().spend(service) {
            node.pool.put(node.now(), connection);
            return Err(self.exhausted());
        }
        let request = self.outbound(terms, &pick.id, after);
        let call = Call::begin(&node, pick.clone(), prompt.as_ref());
        let late = async {
            node.until_answer_due(self.deadline).await;
            None
        };
        let answer = smol::future::or(async { Some(connection.send(request).await) }, late).await;
        self.tried.push(pick.id);
        match answer {
            None => Ok(Outcome::Late),
            Some(Err(SendError::NotSent)) => {
                call.end(if connection.is_reused { CallEnd::Rejected } else { CallEnd::Failed });
                if connection.is_reused {
                    self.tried.pop();
                }
                Ok(Outcome::NotRun)
            }
            Some(Err(SendError::Broken)) => {
                call.end(CallEnd::Failed);
                Ok(Outcome::Unknown)
            }
            Some(Ok(response)) => Ok(self.judge(response, connection, call)),
        }
    }

    fn judge(&mut self, response: Response<Incoming>, connection: Connection, call: Call) -> Outcome {
        if response.headers().get(&REQUEST_ID) != self.inbound.headers.get(&REQUEST_ID) {
            // An answer to something else.
            call.end(CallEnd::Failed);
            return Outcome::Unknown;
        }
        let report =
            response.headers().get(&INSTANCE_LOAD).and_then(|v| v.to_str().ok()).and_then(LoadReport::read);
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let ran = !misdirected && !response.headers().contains_key(&NOT_EXECUTED);
        call.answered(report, ran && response.status().is_server_error());
        if ran {
            return Outcome::Answered(Box::new(Answered { response, connection, call }));
        }
        call.end(if misdirected { CallEnd::Failed } else { CallEnd::Rejected });
        self.rejected += 1;
        let node = self.node.clone();
        self.node.executor.spawn(drain(node, response, connection)).detach();
        Outcome::NotRun
    }

    fn outbound(&self, terms: &Terms, endpoint: &str, after: Option<&str>) -> UpstreamRequest {
        let mut request = Request::new(Full::new(self.inbound.body.clone()));
        *request.method_mut() = self.inbound.method.clone();
        *request.uri_mut() = self.inbound.uri.clone();
        let headers = request.headers_mut();
        *headers = end_to_end(&self.inbound.headers);
        for name in [CONTENT_LENGTH, TENANT, TARGET_INSTANCE, PRIORITY] {
            headers.remove(name);
        }
        if terms.tenant.is_some() || !terms.snapshot.table.tenants().is_empty() {
            headers.remove(AUTHORIZATION);
        }
        let left = self.deadline.saturating_sub(self.node.now()).as_millis();
        headers.insert(DEADLINE, HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
        headers.insert(PRIORITY, HeaderValue::from(terms.priority));
        let tenant = terms.tenant.as_ref().map(|t| t.name.as_str());
        for (name, value) in [(TARGET_INSTANCE, Some(endpoint)), (TENANT, tenant), (LAST_EVENT_ID, after)] {
            if let Some(value) = value.and_then(|v| HeaderValue::from_str(v).ok()) {
                headers.insert(name, value);
            }
        }
        request
    }
}

/// Reads the rest of an answer that is not passed on, so that its connection can be kept.
async fn drain(node: Rc<Node>, response: Response<Incoming>, connection: Connection) {
    let read = async { response.into_body().collect().await.is_ok() };
    let late = async {
        Timer::after(Duration::from_millis(200)).await;
        false
    };
    if smol::future::or(read, late).await {
        node.pool.put(node.now(), connection);
    }
}

/// Headers without those that concern only one connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // A client can't have what an endpoint relies on taken away by naming it there.
    let named = named.into_iter().filter(|name| !name.as_str().starts_with(OWN_FIELDS));
    let always = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in always.into_iter().chain(named) {
        kept.remove(name);
    }
    kept
}

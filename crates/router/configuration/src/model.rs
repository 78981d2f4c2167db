//! The validated configuration, as used by the control plane and the data plane. Field names follow the
//! operators' API.

/// Whether the requests of a route are idempotent, and the form of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// Requests are idempotent and may be executed more than once.
    Safe,
    /// Requests are not idempotent and may be executed at most once for each attempt of the client.
    Unsafe,
    /// Responses are event streams. Treated like [`RouteType::Unsafe`] unless the route is `resumable`.
    Streaming,
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other backends of the route; 0 for a backend that receives no requests.
    pub weight: f64,
}

/// A route: the requests that it matches, the services that receive them, and the policy for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, unique among the routes.
    pub name: String,
    /// `Host` header that the route matches, case-insensitive.
    pub hostname: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub route_type: RouteType,
    /// Timeout of a request, in ms; at least 1.
    pub timeout_ms: u64,
    /// Latency target, in ms. A response within the target has the full value.
    pub target_latency_ms: u64,
    /// Priority class; 0 is the highest.
    pub priority: u64,
    /// Services that receive the requests. The weights sum to more than 0.
    pub backends: Vec<Backend>,
    /// Maximum number of endpoints to which one attempt of the client may be sent; at least 1.
    pub max_attempts: u64,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests that share a prompt prefix should go to the same endpoints.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::Unsafe => false,
            RouteType::Streaming => self.resumable,
        }
    }

    /// Returns whether requests of the route may go to `service`. A backend of weight 0 receives none.
    pub fn sends_to(&self, service: &str) -> bool {
        self.backends.iter().any(|backend| backend.service == service && backend.weight > 0.0)
    }
}

/// A service and the common properties of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, unique among the services.
    pub name: String,
    /// The only version whose endpoints receive requests. `None` keeps the version recorded by the control
    /// plane.
    pub version: Option<String>,
    /// Maximum number of connections that one endpoint accepts from all routers together; 0 for no limit.
    pub max_connections: u64,
    /// Batch size of the model's inference engine, in requests; 0 for services without an engine.
    pub engine_capacity: u64,
    /// Size of the KV cache of the model's inference engine, in tokens; 0 for services without an engine.
    pub kv_capacity_tokens: u64,
}

/// Limits on the size and duration of clients' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, and for each further chunk of a body, in ms.
    pub header_timeout_ms: u64,
    /// Idle timeout between two requests on a connection, in ms.
    pub idle_timeout_ms: u64,
}

/// The unit of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUnit {
    /// Each request counts as 1.
    Requests,
    /// Each request counts as its number of tokens.
    TokenUsage,
}

/// A tenant with its API keys and its quota, which is shared by all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, unique among the tenants.
    pub name: String,
    /// API keys of the tenant; not shared with any other tenant.
    pub api_keys: Vec<String>,
    /// Priority class; 0 is the highest. Takes precedence over the priority of the route.
    pub priority: u64,
    /// Unit in which the quota is measured.
    pub unit: TokenUnit,
    /// Number of tokens charged for a request without `X-Passrelay-Token-Usage`.
    pub uncached_tokens: u64,
    /// Refill rate of the quota, in units per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst capacity above the rate, in units; 0 for no limit.
    pub burst: f64,
}

impl Tenant {
    /// Returns whether the tenant has a quota.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// A complete, valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number assigned by the operators. Increases with each change, but not necessarily by one.
    pub generation: u64,
    /// Routes, in document order. No two match the same host and path prefix.
    pub routes: Vec<Route>,
    /// Services, in document order.
    pub services: Vec<Service>,
    /// Limits on clients' requests.
    pub limits: Limits,
    /// Tenants, in document order. `None` if the document has no `tenants`: requests then need no API key. An empty list
    /// is not the same: requests need a key, and no key is valid.
    pub tenants: Option<Vec<Tenant>>,
}

impl Configuration {
    /// Returns the tenants, none if the document has no `tenants`.
    pub fn tenants(&self) -> &[Tenant] {
        self.tenants.as_deref().unwrap_or_default()
    }
}

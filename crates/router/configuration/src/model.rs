//! The configuration as the planes use it. Field names follow the operators' API.

/// Whether the requests of a route are idempotent, and the form of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// Idempotent: may run more than once.
    Safe,
    /// Not idempotent: may run at most once for each attempt of the client.
    Unsafe,
    /// Responds with a stream of events; unless `resumable`, treated as [`RouteType::Unsafe`].
    Streaming,
}

/// One service that a route sends traffic to.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other backends of the route.
    pub weight: f64,
}

/// A route: the requests that it matches, the services that they go to, and the policy for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, unique among the routes.
    pub name: String,
    /// The `Host` that it matches, case-insensitive.
    pub hostname: String,
    /// Prefix of the paths that it matches.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub route_type: RouteType,
    /// Timeout of a request, in ms; at least 1.
    pub timeout_ms: u64,
    /// Latency target, in ms: a response within it earns the request's full value.
    pub target_latency_ms: u64,
    /// Priority class; 0 is the highest.
    pub priority: u64,
    /// The backends; their weights sum to more than 0.
    pub backends: Vec<Backend>,
    /// Maximum number of endpoints on which one attempt of the client may run; at least 1.
    pub max_attempts: u64,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests that share a prompt prefix should go to the same endpoints.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::Unsafe => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// A service and what its endpoints have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, unique among the services.
    pub name: String,
    /// The only version whose endpoints get requests; `None` leaves it at the one that the core has recorded.
    pub version: Option<String>,
    /// Connections that one endpoint accepts from all sidecars together; 0 for no bound.
    pub max_connections: u64,
    /// Batch size of a model's engine, in requests; 0 for services without an engine.
    pub engine_capacity: u64,
    /// KV cache of a model's engine, in tokens; 0 for services without an engine.
    pub kv_capacity_tokens: u64,
}

/// Bounds on the size and duration of clients' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for a request head, and for each further chunk of a body, in ms.
    pub header_timeout_ms: u64,
    /// Idle timeout between the requests of a connection, in ms.
    pub idle_timeout_ms: u64,
}

/// The unit of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its tokens.
    TokenUsage,
}

/// A tenant: its API keys and its quota over all sidecars together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, unique among the tenants.
    pub name: String,
    /// Its API keys; no other tenant has any of them.
    pub api_keys: Vec<String>,
    /// Priority class; takes precedence over that of the route.
    pub priority: u64,
    /// Unit of the quota.
    pub unit: TokenUnit,
    /// Tokens that a request without `X-Passrelay-Token-Usage` counts.
    pub uncached_tokens: u64,
    /// Refill rate of the quota, in units a second; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst capacity above the rate, in units; 0 for no limit.
    pub burst: f64,
}

impl Tenant {
    /// Whether the tenant's use is rate-limited.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// A complete, valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The operators' version number; increases with each change, not always by one.
    pub generation: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on clients' requests.
    pub limits: Limits,
    /// All tenants; without any, no request needs an API key.
    pub tenants: Vec<Tenant>,
}

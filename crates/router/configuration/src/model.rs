//! The configuration as the planes use it. Field names follow the operators' API.

/// How a route's requests behave and may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// May run more than once.
    Safe,
    /// May run at most once for each try of the client.
    Unsafe,
    /// Answers with a series of events; unless `resumable`, treated as [`RouteType::Unsafe`].
    Streaming,
}

/// One service of a route and its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Its weight against the other backends of the route.
    pub weight: f64,
}

/// A route: which requests go to which services, and on what terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, unique among the routes.
    pub name: String,
    /// The `Host` it serves.
    pub hostname: String,
    /// The beginning of the paths it serves.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// Longest time a request may be held, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in ms.
    pub target_latency_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u64,
    /// Services with their weights.
    pub backends: Vec<Backend>,
    /// Most endpoints on which one try may run.
    pub max_attempts: u64,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests with shared prompt parts should keep to the same endpoints.
    pub session_affinity: bool,
    /// Whether a stream may be taken up at another endpoint.
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
    /// Its name.
    pub name: String,
    /// Connections that one endpoint takes from all callers together; 0 for no bound.
    pub max_connections: u64,
    /// Requests that an endpoint of a model batches; 0 for services without an engine.
    pub engine_capacity: u64,
    /// Tokens that an endpoint's memory holds; 0 for services without an engine.
    pub kv_capacity_tokens: u64,
}

/// Bounds on what a client may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a head, or the next piece of a body, has to come, in ms.
    pub header_timeout_ms: u64,
    /// Longest rest between requests on a connection, in ms.
    pub idle_timeout_ms: u64,
}

/// What a tenant's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its tokens.
    TokenUsage,
}

/// A tenant: its keys and its quota over all sidecars together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// The keys that its requests carry.
    pub api_keys: Vec<String>,
    /// Rank; goes before that of the route.
    pub priority: u64,
    /// What the quota counts.
    pub unit: TokenUnit,
    /// What a request without `X-Passrelay-Token-Usage` counts.
    pub uncached_tokens: u64,
    /// Quota a second; 0 for no limit.
    pub rate_per_s: f64,
    /// What may be saved up above the rate; 0 for no limit.
    pub burst: f64,
}

impl Tenant {
    /// Whether the tenant's use is limited.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// A whole configuration, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The operators' version number; goes up with each change, not always by one.
    pub generation: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on clients.
    pub limits: Limits,
    /// All tenants; without any, no request needs a key.
    pub tenants: Vec<Tenant>,
}

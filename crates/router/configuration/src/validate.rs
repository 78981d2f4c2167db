//! Reads a configuration from its JSON document and reports every error in it.
//!
//! Fields that are unknown to the model are ignored. The defaults of optional fields are defined in this
//! module, either as constants or where the field is read.

use crate::errors::{ValidationError, ValidationErrorKind, ValidationErrors};
use crate::model::{Backend, Configuration, Limits, Route, RouteType, Service, Tenant, TokenUnit};
use crate::reader::{ErrorCollector, PathReader};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
const DEFAULT_TARGET_LATENCY_MS: u64 = 1_000;
const DEFAULT_PRIORITY: u64 = 5;

/// Key of the list of tenants, the only list whose absence differs from an empty one.
pub(crate) const TENANTS: &str = "tenants";

/// Returns whether the text of a valid document has `tenants`, if only an empty list.
pub fn document_has_tenants(document: &str) -> bool {
    // Most documents without tenants do not contain the word, and need not be parsed.
    document.contains(TENANTS)
        && serde_json::from_str::<TenantsField>(document).is_ok_and(|document| document.tenants.is_some())
}

/// The list of tenants of a document, of which only the presence is read.
#[derive(Deserialize)]
struct TenantsField {
    tenants: Option<IgnoredAny>,
}

/// Returns whether a document has `tenants`, if only an empty list.
pub(crate) fn has_tenants(document: &Value) -> bool {
    document.get(TENANTS).is_some_and(|tenants| !tenants.is_null())
}

/// Parses the bytes of a document as JSON.
///
/// # Errors
///
/// Returns an error at the path `document` if the bytes are not valid JSON (truncated, nested too deeply, not
/// UTF-8).
pub fn parse_document(bytes: &[u8]) -> Result<Value, ValidationErrors> {
    serde_json::from_slice(bytes)
        .map_err(|error| ValidationErrors::of_document(ValidationErrorKind::Unreadable(error.to_string())))
}

impl Configuration {
    /// Reads and validates a complete document.
    ///
    /// # Errors
    ///
    /// Returns all errors in the document, with their paths.
    pub fn read(document: &Value) -> Result<Self, ValidationErrors> {
        let errors = ErrorCollector::default();
        let configuration = read_configuration(&PathReader::root(document, &errors));
        errors.into_result(configuration)
    }

    /// Checks that this configuration may replace a configuration of generation `current`.
    ///
    /// # Errors
    ///
    /// Returns an error at the path `generation` if the generation is not above `current`.
    pub fn check_generation_above(&self, current: u64) -> Result<(), ValidationErrors> {
        if self.generation > current {
            return Ok(());
        }
        let kind = ValidationErrorKind::StaleGeneration(current);
        Err(ValidationErrors(vec![ValidationError { path: "generation".to_owned(), kind }]))
    }
}

fn read_configuration(root: &PathReader) -> Configuration {
    root.expect_object();
    // Services are read first, since the backends of routes are checked against their names.
    let services = read_services(&root.field("services"));
    let service_names: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let routes = read_routes(&root.field("routes"), &service_names);
    Configuration {
        generation: root.field("generation").unsigned(),
        routes,
        limits: read_limits(&root.field("limits")),
        tenants: read_tenants(&root.field(TENANTS)),
        services,
    }
}

/// Reports an error if an earlier item has the same name. An empty name is skipped, since it was already
/// reported.
fn check_unique_name(item: &PathReader, name: &str, earlier_names: &mut HashSet<String>) {
    if !name.is_empty() && !earlier_names.insert(name.to_owned()) {
        item.report(ValidationErrorKind::DuplicateName(name.to_owned()));
    }
}

fn read_services(list: &PathReader) -> Vec<Service> {
    let mut names = HashSet::new();
    let read = |item: &PathReader| {
        let name = item.field("name").text();
        check_unique_name(item, &name, &mut names);
        let engine = item.field("engine");
        Service {
            name,
            version: item.field("version").text_if_present(),
            max_connections: item.field("max-connections").unsigned_or(0),
            engine_capacity: engine.field("capacity").unsigned_or(0),
            kv_capacity_tokens: engine.field("kv-capacity-tokens").unsigned_or(0),
        }
    };
    list.items().iter().map(read).collect()
}

/// The host and path prefix that a route matches; unique among the routes.
#[derive(PartialEq, Eq, Hash)]
struct RouteMatch {
    /// In lower case, since host names are case-insensitive.
    hostname: String,
    path_prefix: String,
}

impl RouteMatch {
    fn from_route(route: &Route) -> Self {
        RouteMatch { hostname: route.hostname.to_ascii_lowercase(), path_prefix: route.path_prefix.clone() }
    }
}

fn read_routes(list: &PathReader, service_names: &HashSet<&str>) -> Vec<Route> {
    let mut names = HashSet::new();
    let mut name_by_match: HashMap<RouteMatch, String> = HashMap::new();
    let mut routes = Vec::new();
    for item in list.items() {
        let route = read_route(&item, service_names);
        check_unique_name(&item, &route.name, &mut names);
        let route_match = RouteMatch::from_route(&route);
        if let Some(earlier_route) = name_by_match.insert(route_match, route.name.clone()) {
            item.report(ValidationErrorKind::DuplicateMatch(earlier_route));
        }
        routes.push(route);
    }
    routes
}

fn read_route(item: &PathReader, service_names: &HashSet<&str>) -> Route {
    // The order in which fields are read determines the order in which their errors are reported.
    let path_prefix = read_path_prefix(&item.field("path-prefix"));
    let timeout_ms = read_timeout(&item.field("timeout-ms"));
    Route {
        name: item.field("name").text(),
        hostname: item.field("hostname").text(),
        path_prefix,
        route_type: read_route_type(&item.field("route-type")),
        timeout_ms,
        target_latency_ms: item.field("target-latency-ms").unsigned_or(DEFAULT_TARGET_LATENCY_MS),
        priority: item.field("priority").unsigned_or(DEFAULT_PRIORITY),
        backends: read_backends(item, service_names),
        max_attempts: item.field("max-attempts").unsigned_or(1).max(1),
        public: item.field("public").bool_or(false),
        session_affinity: item.field("session-affinity").bool_or(false),
        resumable: item.field("resumable").bool_or(false),
    }
}

fn read_path_prefix(reader: &PathReader) -> String {
    let path_prefix = reader.text();
    if !path_prefix.is_empty() && !path_prefix.starts_with('/') {
        reader.report(ValidationErrorKind::WrongType("a path that begins with a slash"));
    }
    path_prefix
}

fn read_timeout(reader: &PathReader) -> u64 {
    let timeout_ms = reader.unsigned();
    if timeout_ms == 0 && reader.is_present() {
        reader.report(ValidationErrorKind::OutOfRange("from 1 up"));
    }
    timeout_ms
}

fn read_route_type(reader: &PathReader) -> RouteType {
    match reader.text_or("unsafe").as_str() {
        "safe" => RouteType::Safe,
        "unsafe" => RouteType::Unsafe,
        "streaming" => RouteType::Streaming,
        _ => {
            reader.report(ValidationErrorKind::WrongType("'safe', 'unsafe' or 'streaming'"));
            RouteType::Unsafe
        }
    }
}

/// Reads the weighted backends of `traffic-split` if it is present, and the single `backend` otherwise.
fn read_backends(route: &PathReader, service_names: &HashSet<&str>) -> Vec<Backend> {
    let split = route.field("traffic-split");
    if !split.is_present() {
        let service = read_service_name(&route.field("backend"), service_names);
        return vec![Backend { service, weight: 1.0 }];
    }
    let read = |item: &PathReader| Backend {
        service: read_service_name(&item.field("backend"), service_names),
        weight: item.field("weight").non_negative_or(1.0),
    };
    let backends: Vec<Backend> = split.items().iter().map(read).collect();
    if backends.iter().map(|backend| backend.weight).sum::<f64>() <= 0.0 {
        split.report(ValidationErrorKind::ZeroTotalWeight);
    }
    backends
}

fn read_service_name(reader: &PathReader, service_names: &HashSet<&str>) -> String {
    let name = reader.text();
    if !name.is_empty() && !service_names.contains(name.as_str()) {
        reader.report(ValidationErrorKind::UnknownService(name.clone()));
    }
    name
}

fn read_limits(limits: &PathReader) -> Limits {
    let bytes = |name, default| {
        let bytes = limits.field(name).unsigned_or(default);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    };
    Limits {
        max_header_bytes: bytes("max-header-bytes", DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes: bytes("max-body-bytes", DEFAULT_MAX_BODY_BYTES),
        header_timeout_ms: limits.field("header-timeout-ms").unsigned_or(DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout_ms: limits.field("idle-timeout-ms").unsigned_or(DEFAULT_IDLE_TIMEOUT_MS),
    }
}

/// Reads the list of tenants, or returns `None` if it is absent.
fn read_tenants(list: &PathReader) -> Option<Vec<Tenant>> {
    if !list.is_present() {
        return None;
    }
    let mut names = HashSet::new();
    let mut key_owners = HashMap::new();
    let read = |item: &PathReader| {
        let name = item.field("name").text();
        check_unique_name(item, &name, &mut names);
        let api_keys = read_api_keys(&item.field("api-keys"), &name, &mut key_owners);
        let unit = read_token_unit(&item.field("unit"));
        Tenant {
            name,
            api_keys,
            priority: item.field("priority").unsigned_or(DEFAULT_PRIORITY),
            unit,
            uncached_tokens: item.field("uncached-tokens").unsigned_or(0),
            rate_per_s: item.field("rate-per-s").non_negative_or(0.0),
            burst: item.field("burst").non_negative_or(0.0),
        }
    };
    Some(list.items().iter().map(read).collect())
}

/// Returns the API keys of a tenant. Keys that another tenant has as well are reported and left out. `owners`
/// maps each key read so far to its tenant.
fn read_api_keys(list: &PathReader, tenant: &str, owners: &mut HashMap<String, String>) -> Vec<String> {
    let mut api_keys = Vec::new();
    for item in list.items() {
        let api_key = item.text();
        match owners.insert(api_key.clone(), tenant.to_owned()) {
            Some(owner) if owner != tenant => item.report(ValidationErrorKind::DuplicateApiKey(owner)),
            _ => api_keys.push(api_key),
        }
    }
    api_keys
}

/// Reads the unit of a quota. Any string other than `token_usage` selects [`TokenUnit::Requests`].
fn read_token_unit(reader: &PathReader) -> TokenUnit {
    match reader.text_or("requests").as_str() {
        "token_usage" => TokenUnit::TokenUsage,
        _ => TokenUnit::Requests,
    }
}

//! Reads a whole configuration and finds every fault in it.

use crate::model::{Backend, Configuration, Limits, Route, RouteType, Service, Tenant, TokenUnit};
use crate::reader::{Reader, ValidationError, ValidationErrorKind, ValidationErrors};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
const DEFAULT_TARGET_LATENCY_MS: u64 = 1_000;
const DEFAULT_PRIORITY: u64 = 5;

/// Reads the bytes of a document as JSON.
///
/// # Errors
///
/// Returns a fault of the whole document when they are no JSON (cut short, nested too deeply, not UTF-8).
pub fn parse_document(bytes: &[u8]) -> Result<Value, ValidationErrors> {
    serde_json::from_slice(bytes)
        .map_err(|e| ValidationErrors::of_document(ValidationErrorKind::Unreadable(e.to_string())))
}

impl Configuration {
    /// Reads and checks a whole document.
    ///
    /// # Errors
    ///
    /// Returns all faults with their places.
    pub fn read(document: &Value) -> Result<Self, ValidationErrors> {
        let faults = RefCell::new(Vec::new());
        let configuration = read_all(&Reader::root(document, &faults));
        let faults: Vec<ValidationError> = faults.into_inner();
        if faults.is_empty() {
            Ok(configuration)
        } else {
            Err(ValidationErrors(faults))
        }
    }

    /// Checks that this configuration may follow one of generation `current`.
    ///
    /// # Errors
    ///
    /// Returns a fault at `generation` when it isn't above `current`.
    pub fn follows(&self, current: u64) -> Result<(), ValidationErrors> {
        if self.generation > current {
            return Ok(());
        }
        let kind = ValidationErrorKind::OldGeneration(current);
        Err(ValidationErrors(vec![ValidationError { path: "generation".to_owned(), kind }]))
    }
}

fn read_all(root: &Reader) -> Configuration {
    root.expect_object();
    let services = read_services(&root.field("services"));
    let names: HashSet<&str> = services.iter().map(|s| s.name.as_str()).collect();
    let routes = read_routes(&root.field("routes"), &names);
    Configuration {
        generation: root.field("generation").whole(),
        routes,
        limits: read_limits(&root.field("limits")),
        tenants: read_tenants(&root.field("tenants")),
        services,
    }
}

/// Notes a fault where a name stood before.
fn check_name(reader: &Reader, name: &str, seen: &mut HashSet<String>) {
    if !name.is_empty() && !seen.insert(name.to_owned()) {
        reader.fault(ValidationErrorKind::DuplicateName(name.to_owned()));
    }
}

fn read_services(list: &Reader) -> Vec<Service> {
    let mut seen = HashSet::new();
    let read = |item: &Reader| {
        let name = item.field("name").text();
        check_name(item, &name, &mut seen);
        let engine = item.field("engine");
        Service {
            name,
            max_connections: item.field("max-connections").whole_or(0),
            engine_capacity: engine.field("capacity").whole_or(0),
            kv_capacity_tokens: engine.field("kv-capacity-tokens").whole_or(0),
        }
    };
    list.items().iter().map(read).collect()
}

fn read_routes(list: &Reader, services: &HashSet<&str>) -> Vec<Route> {
    let mut seen = HashSet::new();
    let mut places: HashMap<(String, String), String> = HashMap::new();
    let mut routes = Vec::new();
    for item in list.items() {
        let route = read_route(&item, services);
        check_name(&item, &route.name, &mut seen);
        let place = (route.hostname.to_ascii_lowercase(), route.path_prefix.clone());
        if let Some(earlier) = places.insert(place, route.name.clone()) {
            item.fault(ValidationErrorKind::DuplicatePlace(earlier));
        }
        routes.push(route);
    }
    routes
}

fn read_route(item: &Reader, services: &HashSet<&str>) -> Route {
    let path_prefix = item.field("path-prefix");
    let prefix = path_prefix.text();
    if !prefix.is_empty() && !prefix.starts_with('/') {
        path_prefix.fault(ValidationErrorKind::WrongType("a path that begins with a slash"));
    }
    let timeout = item.field("timeout-ms");
    let timeout_ms = timeout.whole();
    if timeout_ms == 0 && timeout.is_present() {
        timeout.fault(ValidationErrorKind::OutOfRange("from 1 up"));
    }
    Route {
        name: item.field("name").text(),
        hostname: item.field("hostname").text(),
        path_prefix: prefix,
        route_type: read_route_type(&item.field("route-type")),
        timeout_ms,
        target_latency_ms: item.field("target-latency-ms").whole_or(DEFAULT_TARGET_LATENCY_MS),
        priority: item.field("priority").whole_or(DEFAULT_PRIORITY),
        backends: read_backends(item, services),
        max_attempts: item.field("max-attempts").whole_or(1).max(1),
        public: item.field("public").flag_or(false),
        session_affinity: item.field("session-affinity").flag_or(false),
        resumable: item.field("resumable").flag_or(false),
    }
}

fn read_route_type(reader: &Reader) -> RouteType {
    match reader.text_or("unsafe").as_str() {
        "safe" => RouteType::Safe,
        "unsafe" => RouteType::Unsafe,
        "streaming" => RouteType::Streaming,
        _ => {
            reader.fault(ValidationErrorKind::WrongType("'safe', 'unsafe' or 'streaming'"));
            RouteType::Unsafe
        }
    }
}

fn read_backends(item: &Reader, services: &HashSet<&str>) -> Vec<Backend> {
    let split = item.field("traffic-split");
    if !split.is_present() {
        let service = read_service_name(&item.field("backend"), services);
        return vec![Backend { service, weight: 1.0 }];
    }
    let read = |part: &Reader| Backend {
        service: read_service_name(&part.field("backend"), services),
        weight: part.field("weight").number_or(1.0),
    };
    let backends: Vec<Backend> = split.items().iter().map(read).collect();
    if backends.iter().map(|b| b.weight).sum::<f64>() <= 0.0 {
        split.fault(ValidationErrorKind::NoWeight);
    }
    backends
}

fn read_service_name(reader: &Reader, services: &HashSet<&str>) -> String {
    let name = reader.text();
    if !name.is_empty() && !services.contains(name.as_str()) {
        reader.fault(ValidationErrorKind::UnknownService(name.clone()));
    }
    name
}

fn read_limits(limits: &Reader) -> Limits {
    let size = |name, default| usize::try_from(limits.field(name).whole_or(default)).unwrap_or(usize::MAX);
    Limits {
        max_header_bytes: size("max-header-bytes", DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes: size("max-body-bytes", DEFAULT_MAX_BODY_BYTES),
        header_timeout_ms: limits.field("header-timeout-ms").whole_or(DEFAULT_HEADER_TIMEOUT_MS),
        idle_timeout_ms: limits.field("idle-timeout-ms").whole_or(DEFAULT_IDLE_TIMEOUT_MS),
    }
}

fn read_tenants(list: &Reader) -> Vec<Tenant> {
    let mut seen = HashSet::new();
    let mut holders: HashMap<String, String> = HashMap::new();
    let mut tenants = Vec::new();
    for item in list.items() {
        let name = item.field("name").text();
        check_name(&item, &name, &mut seen);
        let mut api_keys = Vec::new();
        for key in item.field("api-keys").items() {
            let text = key.text();
            match holders.insert(text.clone(), name.clone()) {
                Some(holder) if holder != name => key.fault(ValidationErrorKind::SharedKey(holder)),
                _ => api_keys.push(text),
            }
        }
        let unit = match item.field("unit").text_or("requests").as_str() {
            "token_usage" => TokenUnit::TokenUsage,
            _ => TokenUnit::Requests,
        };
        tenants.push(Tenant {
            name,
            api_keys,
            priority: item.field("priority").whole_or(DEFAULT_PRIORITY),
            unit,
            uncached_tokens: item.field("uncached-tokens").whole_or(0),
            rate_per_s: item.field("rate-per-s").number_or(0.0),
            burst: item.field("burst").number_or(0.0),
        });
    }
    tenants
}

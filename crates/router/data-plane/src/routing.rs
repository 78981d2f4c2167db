//! Finds the route and the tenant of a request: an immutable index over one configuration, replaced as a whole by that of
//! the next one, so that a request never sees parts of two.
//!
//! Which service of a route gets the request is decided in `traffic_split`, which endpoint in `balancer`, and whether the
//! tenant's quota allows it in `quota`.

use passrelay_configuration::{Configuration, Limits, Route, Tenant};
use std::cmp::Reverse;
use std::collections::HashMap;
use thiserror::Error;

/// Highest value of the `Priority` header, which means the lowest priority; 0 is the highest one.
const LOWEST_PRIORITY: u64 = 9;
/// Values of the `Priority` header within one priority of tenants: a route's priority takes one of them, and all beyond the
/// last one share it.
const ROUTE_PRIORITIES: u64 = 3;

/// Why a request has no route or is not admitted to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RoutingError {
    /// No route has the request's host and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    #[error("the request has no known key")]
    UnknownKey,
}

/// The route of a request and the tenant that it is charged to.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The tenant; `None` where the route is public or the configuration has no tenants.
    pub tenant: Option<&'a Tenant>,
}

impl RouteMatch<'_> {
    /// The value of the `Priority` header, 0 (highest) to 9: by the tenant's priority first and the route's second.
    pub fn priority(&self) -> u64 {
        let tenant = self.tenant.map_or(0, |tenant| tenant.priority);
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        (tenant * ROUTE_PRIORITIES + route).min(LOWEST_PRIORITY)
    }
}

/// All routes and tenants of one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    configuration: Configuration,
    /// Indices into the configuration's routes by host in lower case, longest path prefix first; equal ones in the
    /// configuration's order.
    routes: HashMap<String, Vec<usize>>,
    /// Indices into the configuration's tenants by API key.
    tenants: HashMap<String, usize>,
}

impl RoutingTable {
    /// The table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            routes.entry(route.hostname.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in routes.values_mut() {
            indices.sort_by_key(|index| Reverse(configuration.routes[*index].path_prefix.len()));
        }
        let mut tenants = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                tenants.insert(key.clone(), index);
            }
        }
        RoutingTable { configuration, routes, tenants }
    }

    /// Limits of client connections.
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// All tenants, in the configuration's order.
    pub fn tenants(&self) -> &[Tenant] {
        &self.configuration.tenants
    }

    /// Finds the route of a request by host and longest path prefix, and its tenant by API key. `host` may carry a port;
    /// its case doesn't matter.
    ///
    /// # Errors
    ///
    /// [`RoutingError::NoRoute`] where no route matches, [`RoutingError::UnknownKey`] where the route is not public, the
    /// configuration has tenants and `key` is none of theirs.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch<'_>, RoutingError> {
        let hostname = without_port(host).to_ascii_lowercase();
        let indices = self.routes.get(&hostname).ok_or(RoutingError::NoRoute)?;
        let route = indices
            .iter()
            .map(|index| &self.configuration.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(RoutingError::NoRoute)?;
        if route.public || self.configuration.tenants.is_empty() {
            return Ok(RouteMatch { route, tenant: None });
        }
        let tenant = key.and_then(|key| self.tenants.get(key)).ok_or(RoutingError::UnknownKey)?;
        Ok(RouteMatch { route, tenant: Some(&self.configuration.tenants[*tenant]) })
    }
}

/// The name in a `Host` header. Only digits after the last colon are a port, so that an IPv6 address in brackets stays
/// complete.
fn without_port(host: &str) -> &str {
    let is_port = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    host.rsplit_once(':').filter(|(_, port)| is_port(port)).map_or(host, |(name, _)| name)
}

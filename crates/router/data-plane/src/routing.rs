//! The routing table: an immutable snapshot of one configuration, swapped whole.

use passrelay_configuration::{Configuration, Limits, Route, Tenant};
use std::collections::HashMap;

/// Highest value of the `Priority` header.
const LOWEST_PRIORITY: u64 = 9;
/// Ranks of routes that each rank of tenants spans in the `Priority` header.
const ROUTE_RANKS: u64 = 3;

/// Why a request isn't taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route has its host and path.
    NoRoute,
    /// The route wants a key and the request has none that is known.
    UnknownKey,
}

/// Where a request goes and on whose account.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Its tenant, unless the route is public or there are no tenants.
    pub tenant: Option<&'a Tenant>,
}

impl Match<'_> {
    /// The value of the `Priority` header: the tenant's rank goes before the route's.
    pub fn priority(&self) -> u64 {
        let tenant = self.tenant.map_or(0, |t| t.priority);
        (tenant * ROUTE_RANKS + self.route.priority.min(ROUTE_RANKS - 1)).min(LOWEST_PRIORITY)
    }
}

/// All routes, services and keys of one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    configuration: Configuration,
    /// Indices of routes by host, longest prefix first.
    routes: HashMap<String, Vec<usize>>,
    /// Indices of tenants by key.
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
            indices.sort_by_key(|i| std::cmp::Reverse(configuration.routes[*i].path_prefix.len()));
        }
        let mut tenants = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                tenants.insert(key.clone(), index);
            }
        }
        RoutingTable { configuration, routes, tenants }
    }

    /// Bounds on clients.
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// All tenants.
    pub fn tenants(&self) -> &[Tenant] {
        &self.configuration.tenants
    }

    /// Finds the route and the tenant of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request isn't taken.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Denial> {
        let is_port = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let host = host.rsplit_once(':').filter(|(_, port)| is_port(port)).map_or(host, |(name, _)| name);
        let lower = host.to_ascii_lowercase();
        let indices = self.routes.get(&lower).ok_or(Denial::NoRoute)?;
        let route = indices
            .iter()
            .map(|i| &self.configuration.routes[*i])
            .find(|r| path.starts_with(&r.path_prefix))
            .ok_or(Denial::NoRoute)?;
        if route.public || self.configuration.tenants.is_empty() {
            return Ok(Match { route, tenant: None });
        }
        let tenant = key.and_then(|k| self.tenants.get(k)).ok_or(Denial::UnknownKey)?;
        Ok(Match { route, tenant: Some(&self.configuration.tenants[*tenant]) })
    }
}

//! Admission: route and tenant of a request by the configuration of one moment.
//!
//! An admission is repeated before each attempt, and checked once more when the connection is there, so that
//! nothing is forwarded by a configuration that is no longer in force.

use super::inbound::InboundRequest;
use crate::configuration_snapshot::ConfigurationSnapshot;
use crate::request_context::RequestContext;
use crate::responses::Failure;
use passrelay_configuration::{Route, Tenant};
use passrelay_data_plane::routing::RoutingError;
use std::rc::Rc;

/// A request's route and tenant by one configuration.
pub struct Admission {
    /// The configuration.
    pub snapshot: Rc<ConfigurationSnapshot>,
    /// The route that matches.
    pub route: Route,
    /// The tenant that the key belongs to, on routes that require one.
    pub tenant: Option<Tenant>,
    /// Priority at the endpoint.
    pub priority: u64,
}

/// Admits a request by the configuration in force.
///
/// # Errors
///
/// Returns the failure that the client gets; none of them is final for the next configuration.
pub fn admit(context: &RequestContext, inbound: &InboundRequest) -> Result<Admission, Failure> {
    let snapshot = context.data_plane.configuration.snapshot().ok_or(Failure::NotConfigured)?;
    let matched = snapshot.table.find(&inbound.host, inbound.uri.path(), inbound.key.as_deref());
    let matched = matched.map_err(|denial| deny(context, denial))?;
    if matched.tenant.is_some() && !context.freshness.is_fresh() {
        return Err(Failure::NotFresh);
    }
    let route = matched.route.clone();
    let tenant = matched.tenant.cloned();
    let priority = matched.priority();
    Ok(Admission { snapshot, route, tenant, priority })
}

/// The failure of a request that the configuration doesn't allow. Clients don't retry a denial, so it is given only while the
/// configuration is known to be current: a process that stood still, or is cut off, may not have what was added meanwhile.
fn deny(context: &RequestContext, denial: RoutingError) -> Failure {
    let is_current = context.freshness.is_current();
    context.data_plane.denials.record(is_current);
    if !is_current {
        return Failure::NotFresh;
    }
    match denial {
        RoutingError::NoRoute => Failure::NoRoute,
        RoutingError::UnknownKey => Failure::UnknownKey,
    }
}

impl Admission {
    /// Whether the admission still holds: the same configuration is in force and, with a key, known to be
    /// current.
    pub fn is_valid(&self, context: &RequestContext) -> bool {
        let current = context.data_plane.configuration.snapshot();
        let unchanged = current.is_some_and(|current| current.index == self.snapshot.index);
        unchanged && (self.tenant.is_none() || context.freshness.is_fresh())
    }

    /// Chooses a service by the weights of the route's traffic split.
    pub fn choose_service(&self, context: &RequestContext) -> String {
        context.data_plane.traffic_splits.borrow_mut().choose(&self.route).to_owned()
    }

    /// Whether the route leads to a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.route.backends.iter().any(|backend| backend.service == service)
    }
}

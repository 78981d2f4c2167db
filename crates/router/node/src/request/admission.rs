//! Admission: determines a request's route and tenant from the configuration in force.
//!
//! Admission is repeated before each attempt and validated again once the connection is open, so that no request
//! is forwarded under a configuration that is no longer in force.

use super::inbound::InboundRequest;
use crate::configuration_snapshot::ConfigurationSnapshot;
use crate::request_context::RequestContext;
use crate::responses::Failure;
use passrelay_configuration::{Route, Tenant};
use passrelay_data_plane::routing::RoutingError;
use std::rc::Rc;

/// A request's route and tenant under one configuration.
pub struct Admission {
    /// The configuration that admitted the request.
    pub snapshot: Rc<ConfigurationSnapshot>,
    /// The route that matches.
    pub route: Route,
    /// The tenant that the key belongs to, on routes that require a key.
    pub tenant: Option<Tenant>,
    /// Priority of the request at the endpoint.
    pub priority: u64,
}

/// Admits a request under the configuration in force.
///
/// # Errors
///
/// Returns the failure to report to the client. The next configuration may admit the same request.
pub fn admit(context: &RequestContext, inbound: &InboundRequest) -> Result<Admission, Failure> {
    let snapshot = context.data_plane.configuration.snapshot().ok_or(Failure::NotConfigured)?;
    let matched = snapshot.table.find(&inbound.host, inbound.uri.path(), inbound.key.as_deref());
    let matched = matched.map_err(|denial| denial_failure(context, denial))?;
    if matched.tenant.is_some() && !context.freshness.is_fresh() {
        return Err(Failure::NotFresh);
    }
    let route = matched.route.clone();
    let tenant = matched.tenant.cloned();
    let priority = matched.priority();
    Ok(Admission { snapshot, route, tenant, priority })
}

/// Counts a denial and returns the failure to report. Clients do not retry a denial, so it is reported only while the
/// configuration is known to be current: a process that was suspended or is partitioned may lack recent additions.
fn denial_failure(context: &RequestContext, denial: RoutingError) -> Failure {
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
    /// Returns whether the admission still holds: the same configuration is in force and, for a request with a
    /// key, known to be current.
    pub fn is_valid(&self, context: &RequestContext) -> bool {
        let current = context.data_plane.configuration.snapshot();
        let unchanged = current.is_some_and(|current| current.index == self.snapshot.index);
        unchanged && (self.tenant.is_none() || context.freshness.is_fresh())
    }

    /// Selects a service according to the weights of the route's traffic split.
    pub fn choose_service(&self, context: &RequestContext) -> String {
        context.data_plane.traffic_splits.borrow_mut().choose(&self.route).to_owned()
    }
}

//! Decides whether a stream that broke off may be continued within the same response.
//!
//! The parts of a response must come from one kind of answer: a stream continues only on a route that allows it, at the
//! service and for the tenant that it began with. Otherwise the response breaks off, and the client may resume the stream
//! itself, with a new request that the configuration in force admits.

use passrelay_configuration::{Route, RouteType, Tenant};

/// The conditions under which a response began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    service: String,
    /// Name of the tenant; `None` on a route that requires no key.
    tenant: Option<String>,
    resumable: bool,
}

impl StreamOrigin {
    /// Returns the origin of a response to a request that is sent to `service`.
    pub fn new(route: &Route, tenant: Option<&Tenant>, service: &str) -> Self {
        StreamOrigin {
            service: service.to_owned(),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            resumable: is_resumable(route),
        }
    }

    /// Returns whether the response began as a stream that may be resumed.
    pub fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Returns whether the stream may continue on `route` for `tenant`, which are those of the configuration in force.
    pub fn may_continue(&self, route: &Route, tenant: Option<&Tenant>) -> bool {
        let same_tenant = self.tenant.as_deref() == tenant.map(|tenant| tenant.name.as_str());
        self.resumable && is_resumable(route) && route.sends_to(&self.service) && same_tenant
    }
}

fn is_resumable(route: &Route) -> bool {
    route.route_type == RouteType::Streaming && route.resumable
}

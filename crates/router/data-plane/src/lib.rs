//! The data plane's decisions: which route and tenant a request has, which endpoint gets it, whether it may be
//! sent again, whether the tenant's quota allows it. No I/O and no clock: `now` is the time since the process
//! started.

pub mod balancer;
pub mod prompt;
pub mod quota;
pub mod retry_budget;
pub mod routing;
pub mod traffic_split;

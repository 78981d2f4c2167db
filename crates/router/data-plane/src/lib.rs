//! The decisions that a router takes for each request, in the order in which a request meets them:
//!
//! 1. [`routing`]: its route and tenant;
//! 2. [`quota`]: whether the tenant's quota, which binds over all routers, allows it;
//! 3. [`traffic_split`]: the service, where the route has several;
//! 4. [`rollout_shares`]: the version, while one is rolled out;
//! 5. [`balancer`]: the endpoint, by load, health, zone and the [`prompt`];
//! 6. [`retry_budget`]: whether it may be sent again after a failed attempt.
//!
//! No I/O, no clock and no concurrency: the caller passes events in, with `now` as the time since the process started, and
//! carries the decisions out. Sockets, deadlines and retries are in `passrelay-node`; what other routers know arrives
//! through `passrelay-dissemination` and `passrelay-control-plane`.

pub mod balancer;
pub mod prompt;
pub mod quota;
pub mod retry_budget;
pub mod rollout_shares;
pub mod routing;
pub mod traffic_split;

//! Per-request decisions of a router, in the order in which they are made:
//!
//! 1. [`routing`] finds the route and the tenant.
//! 2. [`quota`] checks the tenant's quota, which is shared by all routers.
//! 3. [`traffic_split`] selects the service if the route has several backends.
//! 4. [`rollout_shares`] selects the version while a new one is being rolled out.
//! 5. [`balancer`] selects the endpoint by load, health, zone and the [`prompt`].
//! 6. [`execution_limits`] and [`retry_budget`] limit how often a request is sent again after a failed attempt, and
//!    [`stream_origin`] and [`event_stream`] decide whether, and after which event, a stream that broke off continues.
//! 7. [`memory_budget`] and [`socket_limits`] limit what clients and peers can make the process hold.
//!
//! This crate does no I/O, reads no clock and is single-threaded: the caller passes events in, with `now` as
//! the time since the process started, and carries out the decisions. Sockets, deadlines and retries are
//! handled by `passrelay-node`; state of other routers arrives through `passrelay-dissemination` and
//! `passrelay-control-plane`.

pub mod balancer;
pub mod event_stream;
pub mod execution_limits;
pub mod memory_budget;
pub mod prompt;
pub mod quota;
pub mod retry_budget;
pub mod rollout_shares;
pub mod routing;
pub mod socket_limits;
pub mod stream_origin;
pub mod traffic_split;

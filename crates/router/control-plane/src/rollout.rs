//! Roll-outs: moving a service's requests to another version, and back if that one is bad.
//!
//! The established primary is the controller of every roll-out: a singleton role that is elected when vacant and fenced by the term.
//! A record of each roll-out is replicated, and announced only once it is on a majority of the members' disks. Sidecars report the
//! outcomes of their requests at both versions, and get a share of requests for the new one as a lease in return. A sidecar
//! without a lease sends nothing there.
//!
//! | module | decision |
//! | --- | --- |
//! | `order` | whether an order is accepted, is one of before, or is rejected |
//! | `evidence` | outcomes of all sidecars, and how old a roll-out is |
//! | `judge` | whether the new version is bad, or known well enough |
//! | `schedule` | which share it gets, and when it moves on |
//! | `controller` | the next record of each roll-out |
//! | `messages` | reports and grants |

mod controller;
mod evidence;
mod judge;
mod messages;
mod order;
mod schedule;

pub use controller::Controller;
pub use evidence::Evidence;
pub use judge::{judge, Judgement};
pub use messages::RolloutMessage;
pub use order::{evaluate_order, OrderRejection, OrderVerdict};
pub use schedule::ExposureBound;

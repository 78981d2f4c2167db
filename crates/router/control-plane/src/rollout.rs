//! Rollouts: shifting a service's requests to another version, and back if that version is bad.
//!
//! The established primary is the controller of every rollout: a singleton role that is filled by election and fenced
//! by the term. A record of each rollout is replicated, and acknowledged or shown to operators only once it is on a
//! majority of the members' disks. Sidecars report the outcomes of their requests at both versions, and receive in
//! response a lease on a share of requests for the new version. A sidecar without a lease sends no requests to it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `order` | whether an order is accepted, repeats an accepted one, or is rejected |
//! | `evidence` | outcomes reported by all sidecars, and the age of a rollout |
//! | `judge` | whether the new version is bad, or has served enough requests to be called good |
//! | `schedule` | shares of the new version, and the times of phase changes |
//! | `controller` | the next record of each rollout |
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

//! The control plane: the configuration replicated from a primary to backups under epochs that witnesses decide,
//! the operators' orders, and the grants of tenants' quotas. No I/O and no clock: `now` is the time since the
//! process started; what is to be sent and written comes back as actions.

pub mod configuration_change;
mod coordinator;
pub mod load;
mod messages;
pub mod quota;
pub mod replication;

pub use coordinator::{Coordinator, CoordinatorSettings, Status};
pub use messages::{Action, CallId, Envelope, Message, OperatorAnswer, OperatorMessage, OperatorRequest};

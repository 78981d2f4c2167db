//! The control plane of the router fleet: replicates the operators' configuration, elects the primary that changes it,
//! and grants the tenants' quotas.
//!
//! No I/O and no clock. The driver (the router's node, or the cluster simulation) calls the [`Coordinator`] with the
//! time since the process started and with what has arrived; the coordinator returns [`Action`]s: messages to send,
//! records to write, answers to give. The same calls give the same actions. Sockets, disks and timers are the
//! driver's; requests of clients are the data plane's.
//!
//! | module | state that it owns |
//! | --- | --- |
//! | [`replication`] | epoch record, promised term and replicated state of a voter: elections, commit, membership |
//! | [`configuration_change`] | none: verdict on a change, given a replicated state |
//! | [`quota`] | token buckets of the current grantor |
//! | [`rollout`] | outcomes by version, phases of roll-outs; current on the primary only |
//! | [`load`] | last load report of each sidecar, totals over all |
//! | `coordinator` | composition of these with dissemination; pending operator calls, life cycle of the grantor |
//! | `messages` | none: messages between processes, actions |
//!
//! How messages flow, through [`Coordinator::receive`] and its siblings:
//!
//! ```text
//!  operator call ----> operator_calls --adjudicate--> configuration_change
//!        (forwarded        |    ^                          |
//!        to the primary)   |    | committed, confirmed     | propose
//!                          v    |                          v
//!  replication messages <----> replica  ----> Action::Write, then Coordinator::write_completed
//!                               |
//!                               | publish: committed state, location of the core
//!                               v
//!  gossip messages <------> dissemination ----> Action::Configured (on every process)
//!                               |
//!                               | address of the primary
//!                               v
//!  token requests, load reports: sent to the primary --> grantor, load totals --> grants and totals back
//! ```

pub mod configuration_change;
mod coordinator;
pub mod load;
mod messages;
pub mod quota;
pub mod replication;
pub mod rollout;

pub use coordinator::{Coordinator, CoordinatorSettings, Status};
pub use messages::{Action, CallId, Envelope, Message, OperatorAnswer, OperatorMessage, OperatorRequest};

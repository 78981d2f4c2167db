//! The control plane of the router fleet: replicates the operators' configuration, elects the primary that changes it,
//! grants the tenants' quotas and controls rollouts of service versions.
//!
//! The crate does no I/O and reads no clock. The driver (the router's node, or the cluster simulation) calls the
//! [`Coordinator`] with the time since the process started and with each event; the coordinator returns [`Action`]s:
//! messages to send, records to write, answers to operators. It is deterministic: the same calls result in the same
//! actions. The driver owns sockets, disks and timers; the data plane handles client requests.
//!
//! | module | state that it owns |
//! | --- | --- |
//! | [`replication`] | epoch record, promised term and replicated state of a voter: elections, commitment, membership |
//! | [`configuration_change`] | none: evaluates a change against a replicated state |
//! | [`quota`] | token buckets of the current grantor |
//! | [`rollout`] | outcomes by version and phases of rollouts; current on the primary only |
//! | [`load`] | last load report of each sidecar, and totals over all sidecars |
//! | `coordinator` | the state machines above and dissemination; pending operator calls, life cycle of the grantor |
//! | `messages` | none: messages between processes, actions |
//!
//! Message flow through [`Coordinator::receive`] and the other entry points:
//!
//! ```text
//!  operator call ----> operator_calls --evaluate----> configuration_change
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
//!  token requests, load and rollout reports: sent to the primary --> grantor, load totals, rollout controller
//!                               |
//!                               v
//!  grants of tokens and shares, totals: returned to the sidecar
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

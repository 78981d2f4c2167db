//! Epidemic dissemination between the sidecars of a fleet, without I/O and without a clock.
//!
//! Several hundred sidecars have to converge quickly on the set of endpoints and on the operators' configuration, over a
//! network that loses messages and without a central server that each of them must reach. A sidecar also has to know how old
//! its configuration is, because an outdated one may no longer be served.
//!
//! # Modules
//!
//! | module | responsibility | state owned |
//! |---|---|---|
//! | `gossip` | the protocol state machine: broadcasts, anti-entropy, fetching the configuration, its freshness, polling the core | location of the core, configuration, freshness, pending requests and announcements, timers |
//! | `partial_view` | peer sampling: selects the sidecars to exchange with | peers with the time of the last contact |
//! | `registry` | the known endpoints and their states | endpoint records, locally received heartbeats, digest |
//! | `messages` | messages between sidecars | none |
//! | `load` | types for load reports and decaying outcome counters, used by the control plane and the data plane | none |
//! | `rollout` | types for the reports and traffic shares of a rollout, used by the control plane and the data plane | none |
//! | `peer` | identity of a process instance | none |
//! | `mutation` | fault injection for the cluster simulation | none; zero-sized without the feature |
//!
//! # Message flow
//!
//! - Endpoint change: the sidecar that learns of it merges it and sends `Records` to a few random peers. Every receiver whose
//!   registry changes does the same.
//! - Configuration change: a sidecar sends `Announce` to a few random peers; each that lacks the index sends `Fetch` back,
//!   receives `Configuration` or `ConfigurationDeltas`, and announces the index in turn.
//! - Anti-entropy, periodically with a random peer and with members of the core: `DigestRequest`, then `Records` of the
//!   differing buckets and `DigestResponse`, then `Records` in the opposite direction. A newer index in either digest leads to a
//!   `Fetch`.
//! - Freshness: the `DigestResponse` carries the age of the responder's confirmation; see `gossip::freshness`.
//!
//! The control plane decides which configuration is committed; members of the core pass it in with
//! [`Gossip::observe_committed`]. In all methods, `now` is the time since the process started.

mod gossip;
mod load;
mod messages;
mod mutation;
mod partial_view;
mod peer;
mod registry;
mod rollout;

pub use gossip::{AnnouncementId, Gossip, GossipAction, GossipSettings};
pub use load::{DecayingOutcomes, EndpointLoad, OutcomeCounts};
pub use messages::{CommittedConfiguration, ConfigurationDelta, CoreHint, Digest, GossipMessage};
pub use mutation::ActiveMutation;
#[cfg(feature = "mutations")]
pub use mutation::GossipMutation;
pub use partial_view::{PartialView, PeerDescriptor};
pub use peer::{Incarnation, Peer};
pub use registry::{EndpointRecord, EndpointState, Heartbeat, Registry, RegistryDigest};
pub use rollout::{
    ClassOutcomes, LatencyMeasure, RequestClass, RequestTally, RolloutReport, ShareGrant,
    LOAD_TEST_SIZE_CLASS,
};

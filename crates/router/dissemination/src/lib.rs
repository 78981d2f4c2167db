//! Epidemic dissemination between the sidecars of a fleet, without I/O and without a clock.
//!
//! The problem: some hundred sidecars have to agree soon on which endpoints exist and on the operators' configuration, on a
//! network that loses messages, with no central point that all of them have to reach. A sidecar that serves a configuration has
//! to know how old its knowledge is as well, since an outdated one may no longer be served.
//!
//! # Modules, and the state that each owns
//!
//! | module | problem | state |
//! |---|---|---|
//! | `gossip` | the decider: broadcasts, anti-entropy, fetching the configuration, its freshness, polls of the core | location of the core, configuration, freshness, pending requests and announcements, timers |
//! | `partial_view` | peer sampling: which sidecars to exchange with | peers with the time of the last contact |
//! | `registry` | which endpoints exist and in what state | endpoint records, heartbeats received here, digest |
//! | `messages` | what sidecars send each other | none |
//! | `load` | load reports and decaying outcome counters, for the planes | none of the decider's |
//! | `peer` | identity of a process | none |
//! | `mutation` | broken versions for the cluster simulation | none; size zero in the program |
//!
//! # Message flow
//!
//! - A change of an endpoint: the sidecar that learns of it merges it and sends `Records` to a few random peers; each for which
//!   it is a change does the same.
//! - A change of the configuration: `Announce` to a few random peers, `Fetch` back to the announcer, `Configuration`, and on.
//! - Anti-entropy, at intervals with a random peer and with members of the core: `DigestRequest`, then `Records` for buckets that
//!   differ and `DigestResponse`, then `Records` back; a newer index in either digest leads to a `Fetch`.
//! - Freshness: the `DigestResponse` carries the age of the responder's confirmation; see `gossip::freshness`.
//!
//! Deciding what is committed is the control plane's business; members of the core feed it in by
//! [`Gossip::observe_committed`]. `now` is the time since the process started.

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

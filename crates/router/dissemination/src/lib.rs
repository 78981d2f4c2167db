//! Epidemic dissemination between the sidecars of a fleet: which sidecars exist (peer sampling over partial
//! views), which endpoints exist (a registry reconciled by digests), the committed configuration and how long
//! ago it was known to be the newest. No I/O and no clock: `now` is the time since the process started.

mod gossip;
mod load;
mod partial_view;
mod peer;
mod registry;

pub use gossip::{
    Announcement, CommittedConfiguration, CoreHint, Digest, Gossip, GossipAction, GossipMessage,
    GossipMutation, GossipSettings,
};
pub use load::{EndpointLoad, Outcomes};
pub use partial_view::{PartialView, PeerDescriptor};
pub use peer::{Incarnation, Peer};
pub use registry::{EndpointRecord, EndpointState, Heartbeat, Registry, RegistryDigest};

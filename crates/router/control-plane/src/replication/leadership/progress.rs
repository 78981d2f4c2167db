//! Progress of each member as known to the primary: last contact, synced version, state in transfer.

use crate::replication::identity::MemberId;
use crate::replication::state::StateVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// The last state sent to a member.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    version: StateVersion,
    sent_at: Duration,
}

/// Progress of one member. The primary also tracks itself, since its own disk counts like that of any other member.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Time of the member's last reply in this term.
    last_contact: Option<Duration>,
    /// The highest version that the member has reported as durable. Invariant: never decreases within a term.
    synced: StateVersion,
    transfer: Option<Transfer>,
    /// Whether the member accepts states as deltas, according to its last pong.
    accepts_deltas: bool,
    /// Whether the member has rejected deltas. It then receives complete states until it has synced a newer one.
    needs_full_state: bool,
}

/// Progress of all members in one term.
#[derive(Debug)]
pub(super) struct ProgressTracker {
    term_started_at: Duration,
    members: BTreeMap<MemberId, Progress>,
}

impl ProgressTracker {
    pub(super) fn new(term_started_at: Duration) -> Self {
        ProgressTracker { term_started_at, members: BTreeMap::new() }
    }

    /// Records that a member has replied and that `version` is durable there.
    pub(super) fn record_synced(&mut self, now: Duration, id: MemberId, version: StateVersion) {
        let progress = self.members.entry(id).or_default();
        progress.last_contact = Some(now);
        if version > progress.synced {
            progress.synced = version;
            progress.needs_full_state = false;
        }
    }

    /// Records whether a member accepts states as deltas.
    pub(super) fn record_accepts_deltas(&mut self, id: MemberId, accepts_deltas: bool) {
        self.members.entry(id).or_default().accepts_deltas = accepts_deltas;
    }

    /// Records that a member could not apply deltas. The transfer that they belonged to is no longer in flight.
    pub(super) fn record_rejected_deltas(&mut self, id: MemberId) {
        let progress = self.members.entry(id).or_default();
        progress.needs_full_state = true;
        progress.transfer = None;
    }

    /// Returns the version that deltas for a member have to start from, or `None` if the member needs a complete state.
    pub(super) fn delta_base(&self, id: MemberId) -> Option<StateVersion> {
        let progress = self.members.get(&id)?;
        (progress.accepts_deltas && !progress.needs_full_state).then_some(progress.synced)
    }

    /// Records that a state was sent to a member.
    pub(super) fn record_sent(&mut self, now: Duration, id: MemberId, version: StateVersion) {
        let progress = self.members.entry(id).or_default();
        progress.transfer = Some(Transfer { version, sent_at: now });
    }

    /// Returns the highest version known to be durable at a member.
    pub(super) fn synced(&self, id: MemberId) -> StateVersion {
        self.members.get(&id).map(|progress| progress.synced).unwrap_or_default()
    }

    /// Returns the time of a member's last reply in this term, if any.
    pub(super) fn last_contact(&self, id: MemberId) -> Option<Duration> {
        self.members.get(&id).and_then(|progress| progress.last_contact)
    }

    /// Returns the time of a member's last reply, or the start of the term if it has not replied yet.
    pub(super) fn silent_since(&self, id: MemberId) -> Duration {
        self.last_contact(id).unwrap_or(self.term_started_at)
    }

    /// Returns whether a member has been silent for less than `timeout`.
    pub(super) fn is_active_within(&self, now: Duration, id: MemberId, timeout: Duration) -> bool {
        now.saturating_sub(self.silent_since(id)) < timeout
    }

    /// Returns whether a state, the newest or an earlier one, is in flight to a member. The newest state is sent only
    /// after that one is synced, so that states do not queue up on a slow link.
    pub(super) fn is_transfer_in_flight(&self, now: Duration, id: MemberId, timeout: Duration) -> bool {
        let Some(progress) = self.members.get(&id) else { return false };
        progress.transfer.is_some_and(|transfer| {
            transfer.version > progress.synced && now.saturating_sub(transfer.sent_at) < timeout
        })
    }
}

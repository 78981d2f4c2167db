//! Progress of each member, as the primary knows it: last contact, synced version, state in transfer.

use crate::replication::identity::MemberId;
use crate::replication::state::StateVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// The state that was sent to a member last.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    version: StateVersion,
    sent_at: Duration,
}

/// Progress of one member. The primary tracks itself too: its own disk counts like that of any other.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Time of its last reply in this term.
    last_contact: Option<Duration>,
    /// The highest version that it has reported as durable. Invariant: never decreases within a term.
    synced: StateVersion,
    transfer: Option<Transfer>,
    /// Whether it understands states as differences, as its last reply says.
    accepts_deltas: bool,
    /// Whether it has rejected differences; it gets the whole state until it has synced one.
    needs_whole_state: bool,
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

    /// A member has replied; the version is durable there.
    pub(super) fn record_synced(&mut self, now: Duration, id: MemberId, version: StateVersion) {
        let progress = self.members.entry(id).or_default();
        progress.last_contact = Some(now);
        if version > progress.synced {
            progress.synced = version;
            progress.needs_whole_state = false;
        }
    }

    /// A member has said whether it understands states as differences.
    pub(super) fn record_accepts_deltas(&mut self, id: MemberId, accepts_deltas: bool) {
        self.members.entry(id).or_default().accepts_deltas = accepts_deltas;
    }

    /// A member could not apply differences: what was sent to it is lost.
    pub(super) fn record_rejected_deltas(&mut self, id: MemberId) {
        let progress = self.members.entry(id).or_default();
        progress.needs_whole_state = true;
        progress.transfer = None;
    }

    /// The state that differences for a member have to begin from; `None` where it has to get the whole state.
    pub(super) fn delta_base(&self, id: MemberId) -> Option<StateVersion> {
        let progress = self.members.get(&id)?;
        (progress.accepts_deltas && !progress.needs_whole_state).then_some(progress.synced)
    }

    /// A state was sent to a member.
    pub(super) fn record_sent(&mut self, now: Duration, id: MemberId, version: StateVersion) {
        let progress = self.members.entry(id).or_default();
        progress.transfer = Some(Transfer { version, sent_at: now });
    }

    /// The highest version known to be durable at a member.
    pub(super) fn synced(&self, id: MemberId) -> StateVersion {
        self.members.get(&id).map(|progress| progress.synced).unwrap_or_default()
    }

    /// Time of the last contact in this term, if any.
    pub(super) fn last_contact(&self, id: MemberId) -> Option<Duration> {
        self.members.get(&id).and_then(|progress| progress.last_contact)
    }

    /// Time of the last contact; before the first one, the start of the term.
    pub(super) fn silent_since(&self, id: MemberId) -> Duration {
        self.last_contact(id).unwrap_or(self.term_started_at)
    }

    /// Whether a member has been silent for less than this.
    pub(super) fn is_active_within(&self, now: Duration, id: MemberId, timeout: Duration) -> bool {
        now.saturating_sub(self.silent_since(id)) < timeout
    }

    /// Whether a state, the newest or an earlier one, is in flight to a member. The newest follows once that is synced,
    /// so that states don't pile up on a slow link.
    pub(super) fn is_transfer_in_flight(&self, now: Duration, id: MemberId, timeout: Duration) -> bool {
        let Some(progress) = self.members.get(&id) else { return false };
        progress.transfer.is_some_and(|transfer| {
            transfer.version > progress.synced && now.saturating_sub(transfer.sent_at) < timeout
        })
    }
}

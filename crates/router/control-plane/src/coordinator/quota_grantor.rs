//! Life cycle of the quota grantor: it starts when this process becomes the established primary of a term, reports its
//! bucket levels to the members while it grants, and ends with the term.
//!
//! The next grantor resumes from the last reported levels, so that a change of primary neither refills spent buckets
//! nor drops debts. Levels are reported as best effort and not replicated: a grantor without them starts with nearly
//! empty buckets. The bucket arithmetic and the fencing between grantors are in [`quota`](crate::quota).

use super::context::Context;
use super::Coordinator;
use crate::messages::{Action, Message};
use crate::quota::{BucketLevels, Grantor, QuotaBounds, QuotaMessage, ReportedLevels, TenantTokens};
use passrelay_configuration::Configuration;
use passrelay_dissemination::{CoreHint, Peer};
use std::time::Duration;

/// Interval between reports of the bucket levels to the other members. At a failover, the reported levels are older
/// than the last grants by up to about this interval.
const LEVELS_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The grantor of this process while it is the established primary, and the data for resuming from a predecessor.
pub(super) struct GrantorLifecycle {
    bounds: QuotaBounds,
    /// Present only while this process is the established primary; its term is that of the published state.
    grantor: Option<Grantor>,
    /// The last levels reported by another grantor, or the final levels of this process's own; kept on voters. A report
    /// never replaces levels of a later term.
    reported_levels: Option<ReportedLevels>,
    next_levels_report: Duration,
}

impl GrantorLifecycle {
    pub(super) fn new(bounds: QuotaBounds) -> Self {
        GrantorLifecycle { bounds, grantor: None, reported_levels: None, next_levels_report: Duration::ZERO }
    }

    /// Stops granting. Keeps the final levels, unless those of a successor have already been received: if this process
    /// is also the next grantor, it resumes from them.
    pub(super) fn stop(&mut self, now: Duration) {
        let Some(mut grantor) = self.grantor.take() else { return };
        let levels = grantor.levels(now);
        self.observe_levels(now, levels);
    }

    /// Starts a grantor unless there already is one of this term, and returns whether it did. `primary_since` is the
    /// time after which no earlier primary is confirmed.
    pub(super) fn start_term(&mut self, now: Duration, term: u64, primary_since: Option<Duration>) -> bool {
        if self.grantor.as_ref().is_some_and(|grantor| grantor.term() == term) {
            return false;
        }
        self.stop(now);
        let started_at = primary_since.unwrap_or(now);
        self.grantor = Some(Grantor::new(started_at, term, self.bounds, self.reported_levels.as_ref()));
        true
    }

    /// Applies the tenants' quotas of the committed configuration.
    pub(super) fn configure(&mut self, now: Duration, configuration: &Configuration) {
        if let Some(grantor) = &mut self.grantor {
            grantor.configure(now, configuration);
        }
    }

    /// Reports the bucket levels to the other members, any of which may be the next grantor.
    pub(super) fn report_levels(&mut self, core: Option<&CoreHint>, context: &mut Context<'_>) {
        let now = context.now();
        if now < self.next_levels_report {
            return;
        }
        let Some(grantor) = &mut self.grantor else { return };
        self.next_levels_report = now + LEVELS_REPORT_INTERVAL;
        let levels = grantor.levels(now);
        let own = context.own().address;
        let members = core.map(|core| core.members.as_slice()).unwrap_or_default();
        for member in members.iter().filter(|member| **member != own) {
            context.send(*member, Message::Quota(QuotaMessage::Levels(levels.clone())));
        }
    }

    /// Keeps the levels of a grantor, this process's own or another, unless levels of a later term are known.
    fn observe_levels(&mut self, now: Duration, levels: BucketLevels) {
        let known = self.reported_levels.as_ref();
        if known.is_none_or(|known| known.levels.term <= levels.term) {
            self.reported_levels = Some(ReportedLevels { levels, received_at: now });
        }
    }
}

/// A token request of a sidecar.
struct TokenRequest {
    requester: Peer,
    request_id: u64,
    wanted: Vec<TenantTokens>,
    overdrawn: Vec<TenantTokens>,
}

impl Coordinator {
    /// Handles a token request if this process is the grantor, a grant for this sidecar, or levels reported by the
    /// grantor.
    pub(super) fn receive_quota(&mut self, from: Peer, message: QuotaMessage, context: &mut Context<'_>) {
        match message {
            QuotaMessage::Request { request_id, wanted, overdrawn } => {
                let request = TokenRequest { requester: from, request_id, wanted, overdrawn };
                self.grant_tokens(&request, context);
            }
            QuotaMessage::Grant { .. } => context.push(Action::QuotaGranted(message)),
            QuotaMessage::Levels(levels) => {
                if self.replica.is_some() {
                    self.quota.observe_levels(context.now(), levels);
                }
            }
        }
    }

    /// Responds to a token request. A grantor that no quorum has confirmed recently does not respond, so that the
    /// sidecar uses its reserve.
    fn grant_tokens(&mut self, request: &TokenRequest, context: &mut Context<'_>) {
        let now = context.now();
        let confirmed_at = self
            .replica
            .as_ref()
            .and_then(|replica| replica.mutation().grant_confirmation_time(now, replica.confirmed_at()));
        let Some(grantor) = &mut self.quota.grantor else { return };
        // Sidecars that have not requested tokens yet are known from load reports, or from the gossip view, which does
        // not include this process.
        grantor.set_sidecar_count(self.load_totals.reporter_count().max(self.gossip.view().len() + 1));
        let TokenRequest { requester, request_id, wanted, overdrawn } = request;
        let Some(granted) = grantor.grant(now, confirmed_at, requester.address, wanted, overdrawn) else {
            return;
        };
        let grant = QuotaMessage::Grant { request_id: *request_id, term: grantor.term(), granted };
        if requester.address == self.own.address {
            context.push(Action::QuotaGranted(grant));
        } else {
            context.respond(*requester, Message::Quota(grant));
        }
    }
}

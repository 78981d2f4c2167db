//! Anti-entropy: digest requests and responses, which repair what broadcasts missed.
//!
//! The requester sends its digest. The responder sends the records of differing buckets, followed by its own digest. The
//! requester then sends the records of buckets that still differ. Both sides merge the records they receive, so one exchange
//! reconciles both registries. The side with the older configuration fetches the newer one.

use super::actions::Context;
use super::freshness::FreshnessReport;
use super::Gossip;
use crate::messages::{Digest, GossipMessage};
use crate::peer::Peer;
use crate::registry::RegistryDigest;
use std::net::SocketAddrV4;

/// Maximum number of peer descriptors in a digest.
const PEER_SAMPLE_SIZE: usize = 6;
/// While the view holds fewer peers than this, exchanges also go to the seeds and the members of the core.
const MIN_KNOWN_PEERS: usize = 3;

impl Gossip {
    /// Sends digest requests to a random peer, to restored peers and, while few peers are known, to the seeds and the core.
    pub(super) fn start_exchange(&mut self, context: &mut Context) {
        let mut peers = self.view.select(context.now, 1, &mut self.rng);
        if self.view.len() < MIN_KNOWN_PEERS {
            let members = self.core.iter().flat_map(|core| core.members.iter());
            peers.extend(self.seeds.iter().chain(members).copied());
            peers.sort_unstable();
            peers.dedup();
        }
        peers.extend(self.restored_peers.next(context.now));
        for peer in peers {
            self.send_digest_request(context, peer);
        }
    }

    /// Sends a digest request, unless `to` is this sidecar itself.
    pub(super) fn send_digest_request(&mut self, context: &mut Context, to: SocketAddrV4) {
        if to == self.own_address {
            return;
        }
        let request_id = self.requests.register(context.now);
        let digest = self.digest(context, request_id);
        context.send(to, GossipMessage::DigestRequest(digest));
    }

    /// Merges the digest of a request and responds with the differing records and the local digest.
    pub(super) fn respond_to_digest(&mut self, context: &mut Context, requester: Peer, request: &Digest) {
        self.merge_digest(context, requester.address, request);
        let digest = self.digest(context, request.request_id);
        let fresh_age_ms = self.freshness.reported_age_ms(context.now);
        self.send_differing_records(context, requester.address, &request.registry);
        context.respond(requester, GossipMessage::DigestResponse { digest, fresh_age_ms });
    }

    /// Processes the response to a pending request; any other response is ignored.
    pub(super) fn handle_digest_response(
        &mut self,
        context: &mut Context,
        responder: SocketAddrV4,
        digest: &Digest,
        fresh_age_ms: Option<u32>,
    ) {
        let Some(sent_at) = self.requests.complete(digest.request_id) else { return };
        if let Some(age_ms) = fresh_age_ms {
            let report = self.freshness.read_report(sent_at, age_ms);
            if digest.index <= self.configuration.index() {
                self.freshness.advance_by_report(&report);
            }
            if self.core.as_ref().is_some_and(|core| core.members.contains(&responder)) {
                self.confirm_by_member(context, &report, &digest.registry);
            }
        }
        self.merge_digest(context, responder, digest);
        self.send_differing_records(context, responder, &digest.registry);
    }

    /// Confirms the announcements known to a member of the core: the member was in contact with a majority after the
    /// announcement, and its registry agrees with the local one in the endpoint's bucket.
    fn confirm_by_member(
        &mut self,
        context: &mut Context,
        report: &FreshnessReport,
        member_digest: &RegistryDigest,
    ) {
        let local_digest = self.registry.digest();
        self.announcements.confirm(context, |pending| {
            report.sent_at >= pending.announced_at + report.age
                && local_digest[pending.bucket] == member_digest[pending.bucket]
        });
    }

    fn merge_digest(&mut self, context: &mut Context, sender: SocketAddrV4, digest: &Digest) {
        self.view.merge(context.now, &digest.sample, &mut self.rng);
        if let Some(hint) = &digest.core {
            self.observe_core(hint.clone());
        }
        self.configuration.fetch_if_newer(context, sender, digest.index);
    }

    fn digest(&mut self, context: &Context, request_id: u64) -> Digest {
        Digest {
            request_id,
            index: self.configuration.index(),
            registry: self.registry.digest(),
            core: self.core.clone(),
            sample: self.view.sample(context.now, PEER_SAMPLE_SIZE, &mut self.rng),
        }
    }

    fn send_differing_records(
        &mut self,
        context: &mut Context,
        to: SocketAddrV4,
        remote_digest: &RegistryDigest,
    ) {
        let records = self.registry.differing_records(remote_digest);
        if !records.is_empty() {
            context.send(to, GossipMessage::Records(records));
        }
    }
}

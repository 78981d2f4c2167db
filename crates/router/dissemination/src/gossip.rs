//! The decider of dissemination: rumours for news, digests for whatever a rumour missed.

use crate::partial_view::{PartialView, PeerDescriptor};
use crate::peer::{Incarnation, Peer};
use crate::registry::{bucket_of, EndpointRecord, Heartbeat, Registry, RegistryDigest};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Peers that a piece of news is told to by each sidecar that learns it.
const FANOUT: usize = 4;
/// Descriptors of other sidecars in a digest.
const SAMPLE: usize = 6;
/// Pause between exchanges with random peers.
const EXCHANGE_EVERY: Duration = Duration::from_millis(400);
/// Pause between questions to the core for how fresh the configuration is.
const CORE_EVERY: Duration = Duration::from_millis(600);
/// Pause between questions to the core while the configuration isn't known to be fresh.
const CORE_RETRY_EVERY: Duration = Duration::from_millis(200);
/// Freshness under which there is no hurry.
const FRESH: Duration = Duration::from_millis(1_500);
/// ... and while the core is to confirm that it knows of an endpoint's end.
const CORE_CONFIRM_EVERY: Duration = Duration::from_millis(60);
/// A confirmation that hasn't come after this doesn't come.
const CONFIRM_WITHIN: Duration = Duration::from_secs(1);
/// Pause between looks for endpoints that have fallen silent.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// Questions whose answers are still waited for, at most.
const OPEN_QUESTIONS: usize = 32;
/// With fewer known peers than this, seeds are asked too.
const FEW_PEERS: usize = 3;
/// How long an asked sidecar has for handing over a small configuration before another is asked ...
const FETCH_PATIENCE: Duration = Duration::from_millis(120);
/// ... and for each kilobyte more, on a slow link.
const FETCH_PATIENCE_PER_KILOBYTE: Duration = Duration::from_micros(1_000);

/// A configuration that the core has committed. The same index always holds the same document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Position in the sequence of committed changes; goes up by one with each.
    pub index: u64,
    /// The operators' version number.
    pub generation: u64,
    /// The document, as JSON.
    pub document: Arc<str>,
}

/// Where the core is, as told on between sidecars.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreHint {
    /// Term of the epoch record; later terms go first.
    #[serde(rename = "t")]
    pub term: u64,
    /// Position of the record within its term.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// The primary.
    #[serde(rename = "p")]
    pub primary: SocketAddrV4,
    /// All members.
    #[serde(rename = "m")]
    pub members: Vec<SocketAddrV4>,
}

/// What one sidecar knows, in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Names the question.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// Index of the configuration in force; 0 for none.
    #[serde(rename = "i")]
    pub index: u64,
    /// The registry's hashes.
    #[serde(rename = "r")]
    pub registry: RegistryDigest,
    /// Where the core is.
    #[serde(rename = "c")]
    pub core: Option<CoreHint>,
    /// Some other sidecars.
    #[serde(rename = "s")]
    pub sample: Vec<PeerDescriptor>,
}

/// Messages of dissemination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// A question for what the other knows.
    #[serde(rename = "Ask")]
    DigestRequest(Digest),
    /// The answer.
    #[serde(rename = "Answer")]
    DigestResponse {
        /// What the answering sidecar knows; `request_id` is that of the question.
        digest: Digest,
        /// How long ago its configuration was known to be the newest, in ms.
        fresh_age_ms: Option<u32>,
    },
    /// There is a configuration of this index here.
    Announce {
        /// Its index.
        index: u64,
    },
    /// A request for the configuration, if it is newer than this index.
    Fetch {
        /// Index that the asking sidecar has.
        have: u64,
    },
    /// The configuration.
    Configuration(CommittedConfiguration),
    /// Records of endpoints.
    Records(Vec<EndpointRecord>),
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// For an answer: the process that asked.
        addressee: Option<Incarnation>,
        /// The message.
        message: GossipMessage,
    },
    /// A newer configuration is in force from now on.
    Configured(CommittedConfiguration),
    /// The core knows what was announced.
    AnnouncementConfirmed(Announcement),
}

/// Names something about an endpoint that the core is to know before it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Announcement(pub u64);

#[derive(Debug)]
struct Unconfirmed {
    announcement: Announcement,
    bucket: usize,
    since: Duration,
}

/// A way in which dissemination is made to break its rules, so that the checkers of simulated histories can
/// themselves be checked. The program never sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipMutation {
    /// What is known of the configuration counts as current when it arrives, however old it was at the sender.
    AgeFromArrival,
}

/// What the decider has to know from the start.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Address of this sidecar for internal messages.
    pub own: SocketAddrV4,
    /// Addresses of the seeds for internal messages.
    pub seeds: Vec<SocketAddrV4>,
    /// Time between heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Sets this sidecar's random choices apart from those of others.
    pub random_seed: u64,
    /// A broken rule, in simulations only.
    pub fault: Option<GossipMutation>,
}

/// The decider.
pub struct Gossip {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    fault: Option<GossipMutation>,
    rng: ChaCha8Rng,
    view: PartialView,
    registry: Registry,
    core: Option<CoreHint>,
    configuration: Option<CommittedConfiguration>,
    /// The configuration in force holds everything acknowledged before this time.
    fresh_at: Option<Duration>,
    /// When each open question was sent.
    questions: BTreeMap<u64, Duration>,
    next_nonce: u64,
    next_exchange: Duration,
    next_core: Duration,
    next_sweep: Duration,
    fetched_at: Option<Duration>,
    unconfirmed: Vec<Unconfirmed>,
    last_announcement: u64,
}

impl Gossip {
    /// A sidecar that knows nothing but its seeds.
    pub fn new(settings: GossipSettings) -> Self {
        Gossip {
            own: settings.own,
            view: PartialView::new(settings.own),
            seeds: settings.seeds,
            fault: settings.fault,
            rng: ChaCha8Rng::seed_from_u64(settings.random_seed),
            registry: Registry::new(settings.heartbeat),
            core: None,
            configuration: None,
            fresh_at: None,
            questions: BTreeMap::new(),
            next_nonce: 0,
            next_exchange: Duration::ZERO,
            next_core: Duration::ZERO,
            next_sweep: Duration::ZERO,
            fetched_at: None,
            unconfirmed: Vec::new(),
            last_announcement: 0,
        }
    }

    /// The endpoint registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The sidecars known.
    pub fn view(&self) -> &PartialView {
        &self.view
    }

    /// Where the core is, as far as known.
    pub fn core(&self) -> Option<&CoreHint> {
        self.core.as_ref()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&CommittedConfiguration> {
        self.configuration.as_ref()
    }

    /// The configuration in force holds everything that was acknowledged before this time.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.fresh_at
    }

    /// Takes in the endpoints that were known before a restart.
    pub fn restore_endpoints(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        self.registry.restore(now, records);
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes in where the core is; older news than what is known changes nothing.
    pub fn observe_core(&mut self, hint: CoreHint) {
        let newer = |known: &CoreHint| (hint.term, hint.sequence) > (known.term, known.sequence);
        if self.core.as_ref().is_none_or(newer) {
            self.core = Some(hint);
        }
    }

    /// The core itself says what is committed, and since when that is known to be the newest.
    pub fn committed(
        &mut self,
        now: Duration,
        configuration: Option<&CommittedConfiguration>,
        fresh_at: Option<Duration>,
        actions: &mut Vec<GossipAction>,
    ) {
        if let Some(configuration) = configuration {
            self.configure(now, configuration.clone(), actions);
        }
        let index = configuration.map_or(0, |c| c.index);
        if index <= self.index() {
            self.fresh_at = self.fresh_at.max(fresh_at);
        }
        // The primary is who all others ask.
        let confirmed = |u: &Unconfirmed| fresh_at >= Some(u.since);
        self.confirm(confirmed, actions);
    }

    /// From now on the core is asked until a member of it, in contact with a majority since now, knows what is known here
    /// of an endpoint. [`GossipAction::AnnouncementConfirmed`] tells when; it may never come.
    pub fn announce(&mut self, now: Duration, endpoint: &str) -> Announcement {
        self.last_announcement += 1;
        let announcement = Announcement(self.last_announcement);
        self.unconfirmed.push(Unconfirmed { announcement, bucket: bucket_of(endpoint), since: now });
        self.next_core = self.next_core.min(now);
        announcement
    }

    fn confirm(&mut self, confirmed: impl Fn(&Unconfirmed) -> bool, actions: &mut Vec<GossipAction>) {
        let (done, open): (Vec<Unconfirmed>, Vec<Unconfirmed>) =
            std::mem::take(&mut self.unconfirmed).into_iter().partition(|u| confirmed(u));
        self.unconfirmed = open;
        actions.extend(done.into_iter().map(|u| GossipAction::AnnouncementConfirmed(u.announcement)));
    }

    /// A heartbeat of an endpoint.
    pub fn heartbeat(&mut self, now: Duration, beat: &Heartbeat, actions: &mut Vec<GossipAction>) {
        let news = self.registry.heartbeat(now, beat);
        self.tell_records(now, news, actions);
    }

    /// An endpoint has ended as planned.
    pub fn leave(&mut self, now: Duration, id: &str, actions: &mut Vec<GossipAction>) {
        let news = self.registry.leave(now, id);
        self.tell_records(now, news, actions);
    }

    /// Does what is due. Returns when to call again.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<GossipAction>) -> Duration {
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_EVERY;
            self.view.expire(now);
            self.exchange(now, actions);
        }
        if now >= self.next_core {
            let fresh = self.fresh_at.is_some_and(|at| now.saturating_sub(at) < FRESH);
            self.unconfirmed.retain(|u| now.saturating_sub(u.since) < CONFIRM_WITHIN);
            self.next_core = now
                + match (self.unconfirmed.is_empty(), fresh) {
                    (false, _) => CORE_CONFIRM_EVERY,
                    (true, true) => CORE_EVERY,
                    (true, false) => CORE_RETRY_EVERY,
                };
            self.ask_core(now, actions);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_EVERY;
            let news = self.registry.sweep(now);
            self.tell_records(now, news, actions);
        }
        self.next_exchange.min(self.next_core).min(self.next_sweep)
    }

    /// Takes in a message from another sidecar.
    pub fn receive(
        &mut self,
        now: Duration,
        peer: Peer,
        message: GossipMessage,
        actions: &mut Vec<GossipAction>,
    ) {
        let from = peer.address;
        self.view.heard(now, from, &mut self.rng);
        match message {
            GossipMessage::DigestRequest(digest) => self.answer(now, peer, digest, actions),
            GossipMessage::DigestResponse { digest, fresh_age_ms } => {
                self.learn_answer(now, from, digest, fresh_age_ms, actions);
            }
            GossipMessage::Announce { index } => self.fetch_if_newer(now, from, index, actions),
            GossipMessage::Fetch { have } => self.hand_over(from, have, actions),
            GossipMessage::Configuration(configuration) => self.configure(now, configuration, actions),
            GossipMessage::Records(records) => {
                let news = self.registry.merge(now, records);
                self.tell_records(now, news, actions);
            }
        }
    }

    fn index(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.index)
    }

    fn digest(&mut self, now: Duration, request_id: u64) -> Digest {
        Digest {
            request_id,
            index: self.index(),
            registry: self.registry.digest(),
            core: self.core.clone(),
            sample: self.view.sample(now, SAMPLE, &mut self.rng),
        }
    }

    fn ask(&mut self, now: Duration, to: SocketAddrV4, actions: &mut Vec<GossipAction>) {
        if to == self.own {
            return;
        }
        self.next_nonce += 1;
        let request_id = self.next_nonce;
        self.questions.insert(request_id, now);
        while self.questions.len() > OPEN_QUESTIONS {
            self.questions.pop_first();
        }
        let message = GossipMessage::DigestRequest(self.digest(now, request_id));
        actions.push(GossipAction::Send { to, addressee: None, message });
    }

    fn exchange(&mut self, now: Duration, actions: &mut Vec<GossipAction>) {
        let mut peers = self.view.choose(now, 1, &mut self.rng);
        if self.view.len() < FEW_PEERS {
            let known: Vec<SocketAddrV4> = self.core.iter().flat_map(|c| c.members.clone()).collect();
            peers.extend(self.seeds.iter().copied().chain(known));
            peers.sort_unstable();
            peers.dedup();
        }
        for peer in peers {
            self.ask(now, peer, actions);
        }
    }

    fn ask_core(&mut self, now: Duration, actions: &mut Vec<GossipAction>) {
        let Some(core) = &self.core else { return };
        let fresh = self.fresh_at.is_some_and(|at| now.saturating_sub(at) < FRESH);
        let chosen = if core.members.contains(&self.own) || !fresh || !self.unconfirmed.is_empty() {
            // The primary knows best; while that doesn't help, any other member may.
            let other = core.members.choose(&mut self.rng).copied();
            [Some(core.primary), other.filter(|m| !fresh && *m != core.primary)]
        } else {
            [core.members.choose(&mut self.rng).copied(), None]
        };
        for member in chosen.into_iter().flatten() {
            self.ask(now, member, actions);
        }
    }

    fn answer(&mut self, now: Duration, peer: Peer, asked: Digest, actions: &mut Vec<GossipAction>) {
        let from = peer.address;
        self.learn_digest(now, from, &asked, actions);
        let digest = self.digest(now, asked.request_id);
        let age = self.fresh_at.map(|at| now.saturating_sub(at));
        let fresh_age_ms =
            age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX).saturating_add(1));
        self.send_differing(from, &asked.registry, actions);
        let message = GossipMessage::DigestResponse { digest, fresh_age_ms };
        actions.push(GossipAction::Send { to: from, addressee: Some(peer.incarnation), message });
    }

    fn learn_answer(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        digest: Digest,
        fresh_age_ms: Option<u32>,
        actions: &mut Vec<GossipAction>,
    ) {
        // Age is counted from the sending of the own question: an answer may have been under way for long.
        let Some(asked_at) = self.questions.remove(&digest.request_id) else { return };
        if let Some(age_ms) = fresh_age_ms {
            let age = match self.fault {
                Some(GossipMutation::AgeFromArrival) => Duration::ZERO,
                None => Duration::from_millis(u64::from(age_ms)),
            };
            if digest.index <= self.index() && asked_at >= age {
                self.fresh_at = self.fresh_at.max(Some(asked_at - age));
            }
            if self.core.as_ref().is_some_and(|core| core.members.contains(&from)) {
                let own = self.registry.digest();
                let knows = |u: &Unconfirmed| own[u.bucket] == digest.registry[u.bucket];
                self.confirm(|u| asked_at >= u.since + age && knows(u), actions);
            }
        }
        self.learn_digest(now, from, &digest, actions);
        self.send_differing(from, &digest.registry, actions);
    }

    fn learn_digest(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        digest: &Digest,
        actions: &mut Vec<GossipAction>,
    ) {
        self.view.merge(now, &digest.sample, &mut self.rng);
        if let Some(hint) = &digest.core {
            self.observe_core(hint.clone());
        }
        self.fetch_if_newer(now, from, digest.index, actions);
    }

    fn send_differing(&mut self, to: SocketAddrV4, other: &RegistryDigest, actions: &mut Vec<GossipAction>) {
        let records = self.registry.differing(other);
        if !records.is_empty() {
            actions.push(GossipAction::Send {
                to,
                addressee: None,
                message: GossipMessage::Records(records),
            });
        }
    }

    fn fetch_if_newer(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        index: u64,
        actions: &mut Vec<GossipAction>,
    ) {
        let have = self.index();
        let kilobytes = self.configuration.as_ref().map_or(0, |c| c.document.len() / 1_024);
        let patience =
            FETCH_PATIENCE + FETCH_PATIENCE_PER_KILOBYTE * u32::try_from(kilobytes).unwrap_or(u32::MAX);
        let asked = self.fetched_at.is_some_and(|at| now.saturating_sub(at) < patience);
        if index > have && !asked {
            self.fetched_at = Some(now);
            actions.push(GossipAction::Send {
                to: from,
                addressee: None,
                message: GossipMessage::Fetch { have },
            });
        }
    }

    fn hand_over(&mut self, to: SocketAddrV4, have: u64, actions: &mut Vec<GossipAction>) {
        if let Some(configuration) = self.configuration.as_ref().filter(|c| c.index > have) {
            let message = GossipMessage::Configuration(configuration.clone());
            actions.push(GossipAction::Send { to, addressee: None, message });
        }
    }

    fn configure(
        &mut self,
        now: Duration,
        configuration: CommittedConfiguration,
        actions: &mut Vec<GossipAction>,
    ) {
        if configuration.index <= self.index() {
            return;
        }
        self.fetched_at = None;
        let index = configuration.index;
        self.configuration = Some(configuration.clone());
        actions.push(GossipAction::Configured(configuration));
        for to in self.view.choose(now, FANOUT, &mut self.rng) {
            actions.push(GossipAction::Send {
                to,
                addressee: None,
                message: GossipMessage::Announce { index },
            });
        }
        self.next_core = self.next_core.min(now);
    }

    fn tell_records(&mut self, now: Duration, news: Vec<EndpointRecord>, actions: &mut Vec<GossipAction>) {
        if news.is_empty() {
            return;
        }
        for to in self.view.choose(now, FANOUT, &mut self.rng) {
            actions.push(GossipAction::Send {
                to,
                addressee: None,
                message: GossipMessage::Records(news.clone()),
            });
        }
    }
}

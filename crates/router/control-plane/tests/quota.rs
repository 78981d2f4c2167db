//! Quota grants: the fleet-wide bound, changes of grantor, reserves, and the serialised form of the messages.

use passrelay_configuration::Configuration;
use passrelay_control_plane::quota::{
    BucketLevels, Grantor, QuotaBounds, QuotaMessage, ReportedLevels, TenantGrant, TenantKey, TenantLevel,
    TenantTokens,
};
use rstest::rstest;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Quota of the tenant, in tokens per second. Its burst is the quota of one second.
const RATE: f64 = 100_000.0;
/// More tokens than any bucket can contain.
const MORE_THAN_ANY_BUCKET: u64 = 10_000_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sidecar(number: u8) -> SocketAddrV4 {
    format!("10.0.0.{number}:1").parse().unwrap()
}

/// Returns a configuration with one limited tenant.
fn configuration(generation: u64, rate: f64) -> Configuration {
    let document = json!({ "generation": generation, "routes": [], "services": [], "tenants": [
        { "name": "t", "api-keys": ["k"], "unit": "token_usage", "rate-per-s": rate, "burst": rate }] });
    Configuration::read(&document).unwrap()
}

fn bounds() -> QuotaBounds {
    QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 140_000.0 }
}

/// Returns a grantor that does not know the levels of its predecessor.
fn grantor(started_at: Duration, term: u64) -> Grantor {
    let mut grantor = Grantor::new(started_at, term, bounds(), None);
    grantor.configure(started_at, &configuration(1, RATE));
    grantor
}

/// Returns a number of tokens of the tenant, as in a token request.
fn tokens(tokens: u64) -> [TenantTokens; 1] {
    [TenantTokens { tenant: TenantKey::of("t"), tokens }]
}

/// Sends a token request to a grantor confirmed at `now`. Returns the number of tokens granted.
fn request_tokens(grantor: &mut Grantor, now: Duration, from: SocketAddrV4, wanted: u64) -> Option<u64> {
    grantor.grant(now, Some(now), from, &tokens(wanted), &[]).map(|granted| granted[0].tokens)
}

#[test]
fn grants_to_all_sidecars_stay_within_the_bound_in_any_window() {
    let mut grantor = grantor(ms(0), 1);
    let mut grants = Vec::new();
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        grants.push(request_tokens(&mut grantor, now, sidecar((step % 12) as u8), 50_000).unwrap());
    }
    let bound = (RATE * 8.0 + RATE) * 1.1 + 140_000.0;
    for window in grants.windows(800) {
        assert!((window.iter().sum::<u64>() as f64) <= bound);
    }
    // Requests within the quota are granted.
    assert!(grants.iter().sum::<u64>() as f64 >= RATE * 19.0);
}

#[rstest]
#[case::confirmed_too_long_ago(Some(ms(1_000)), false)]
#[case::never_confirmed(None, false)]
#[case::confirmed_recently(Some(ms(1_900)), true)]
fn a_grantor_grants_only_while_recently_confirmed(
    #[case] confirmed_at: Option<Duration>,
    #[case] grants: bool,
) {
    let mut grantor = grantor(ms(0), 1);
    let granted = grantor.grant(ms(2_000), confirmed_at, sidecar(1), &tokens(10), &[]);
    assert_eq!(granted.is_some(), grants);
}

#[test]
fn a_new_grantor_waits_until_its_predecessor_can_no_longer_grant() {
    let mut successor = grantor(ms(5_000), 2);
    assert_eq!(request_tokens(&mut successor, ms(5_100), sidecar(1), 10), None);
    assert_eq!(request_tokens(&mut successor, ms(5_500), sidecar(1), 10), Some(10));
}

#[test]
fn reserves_are_shared_by_the_requesting_sidecars_and_charged_afterwards() {
    let mut grantor = grantor(ms(0), 1);
    for number in 1..=10 {
        grantor.grant(ms(0), Some(ms(0)), sidecar(number), &tokens(10), &[]);
    }
    let grant = grantor.grant(ms(1), Some(ms(1)), sidecar(1), &tokens(10), &[]).unwrap()[0];
    assert!(grant.reserve as f64 <= RATE * 2.0 / 10.0, "{}", grant.reserve);
    // The bucket is emptied, and then a sidecar reports tokens spent from its reserve.
    request_tokens(&mut grantor, ms(2), sidecar(1), MORE_THAN_ANY_BUCKET);
    grantor.grant(ms(3), Some(ms(3)), sidecar(2), &tokens(10), &tokens(50_000));
    assert_eq!(request_tokens(&mut grantor, ms(300), sidecar(3), 10), Some(0));
}

#[test]
fn the_first_requester_after_an_idle_period_gets_no_more_than_its_share_of_the_reserve() {
    let mut grantor = grantor(ms(0), 1);
    grantor.set_sidecar_count(12);
    let first = grantor.grant(ms(0), Some(ms(0)), sidecar(1), &tokens(10), &[]).unwrap()[0];
    assert!(first.reserve as f64 <= RATE * 2.0 / 12.0, "{}", first.reserve);
}

#[test]
fn a_successor_without_levels_gives_a_smaller_reserve_and_accumulates_nothing_while_it_waits() {
    let drain = |grantor: &mut Grantor, now: Duration| {
        let grant = grantor.grant(now, Some(now), sidecar(1), &tokens(MORE_THAN_ANY_BUCKET), &[]).unwrap()[0];
        (grant.tokens as f64, grant.reserve as f64)
    };
    let mut first = grantor(ms(0), 1);
    let mut successor = grantor(ms(5_000), 2);
    let (_, reserve) = drain(&mut first, ms(5_400));
    let (tokens, reserve_after_change) = drain(&mut successor, ms(5_400));
    assert!(
        tokens <= RATE * 0.65 && reserve_after_change < reserve / 3.0,
        "{tokens} {reserve_after_change} {reserve}"
    );
    assert_eq!(drain(&mut successor, ms(14_000)).1, reserve);
}

#[test]
fn a_successor_resumes_from_the_levels_of_its_predecessor() {
    let capacity = RATE + 0.3 * (0.1 * RATE * 9.0 + 140_000.0);
    let mut first = grantor(ms(0), 1);
    // The bucket has been filled, and all but 1,000 tokens are spent.
    request_tokens(&mut first, ms(9_000), sidecar(1), (capacity - 1_000.0) as u64).unwrap();
    let report = |first: &mut Grantor, now| ReportedLevels { levels: first.levels(now), received_at: now };
    let emptied = report(&mut first, ms(9_000));
    assert_eq!(emptied.levels.tokens.len(), 1);
    let filled = report(&mut first, ms(19_000));
    assert_eq!(filled.levels.tokens, [], "buckets that are nearly full are left out");
    let granted_by_successor = |reported: &ReportedLevels, started_at: Duration| {
        let mut successor = Grantor::new(started_at, 2, bounds(), Some(reported));
        successor.configure(started_at, &configuration(1, RATE));
        request_tokens(&mut successor, started_at + ms(400), sidecar(1), MORE_THAN_ANY_BUCKET).unwrap() as f64
    };
    assert!(granted_by_successor(&emptied, ms(9_500)) <= 1_000.0);
    assert!(granted_by_successor(&filled, ms(19_500)) >= 0.9 * capacity - 1.0);
    // The levels were reported too long ago.
    assert!(granted_by_successor(&filled, ms(25_000)) <= RATE * 0.65);
}

#[test]
fn a_lower_limit_applies_at_once_and_a_removed_tenant_gets_nothing() {
    let mut grantor = grantor(ms(0), 1);
    grantor.configure(ms(10), &configuration(2, 1_000.0));
    let capacity = 0.3 * (0.1 * 9_000.0 + 140_000.0) + 1_000.0;
    assert!(
        request_tokens(&mut grantor, ms(20), sidecar(1), MORE_THAN_ANY_BUCKET).unwrap() as f64
            <= capacity + 1.0
    );
    let without_tenants = json!({ "generation": 3, "routes": [], "services": [] });
    grantor.configure(ms(30), &Configuration::read(&without_tenants).unwrap());
    assert_eq!(grantor.grant(ms(40), Some(ms(40)), sidecar(1), &tokens(10), &[]), Some(Vec::new()));
}

#[rstest]
#[case::request(
    QuotaMessage::Request {
        request_id: 5,
        wanted: vec![TenantTokens { tenant: TenantKey(1), tokens: 10 }],
        overdrawn: vec![TenantTokens { tenant: TenantKey(2), tokens: 20 }],
    },
    json!({ "Want": { "nonce": 5, "wanted": [[1, 10]], "overdrawn": [[2, 20]] } })
)]
#[case::grant(
    QuotaMessage::Grant {
        request_id: 5,
        term: 2,
        granted: vec![TenantGrant { tenant: TenantKey(1), tokens: 10, reserve: 3 }],
    },
    json!({ "Grant": { "nonce": 5, "term": 2, "granted": [{ "tenant": 1, "tokens": 10, "reserve": 3 }] } })
)]
#[case::levels(
    QuotaMessage::Levels(BucketLevels {
        term: 2,
        tokens: vec![TenantLevel { tenant: TenantKey(1), tokens: -10 }],
    }),
    json!({ "Levels": { "term": 2, "tokens": [[1, -10]] } })
)]
fn messages_serialise_to_their_fixed_form(#[case] message: QuotaMessage, #[case] serialised: Value) {
    assert_eq!(serde_json::to_value(&message).unwrap(), serialised);
    assert_eq!(serde_json::from_value::<QuotaMessage>(serialised).unwrap(), message);
}

// Guards against builds that compute different keys for the same tenant. The expected values are those sent by builds
// from before the algorithm was implemented explicitly.
#[rstest]
#[case::empty("", 0x3040_6ea5_23c5_3def)]
#[case::short("t", 0x9263_1c27_0dc5_2d3c)]
#[case::name("kaje80", 0xddec_b3d6_a417_3bfe)]
fn tenant_keys_are_fixed(#[case] name: &str, #[case] key: u64) {
    assert_eq!(TenantKey::of(name), TenantKey(key), "{:#018x}", TenantKey::of(name).0);
}

// Guards against a tenant that has its whole burst again because it was removed and put back (the cause of review/1: absence is
// read as a bucket that is full), also at the next grantor.
#[rstest]
#[case::same_grantor(false)]
#[case::next_grantor(true)]
fn a_tenant_that_was_removed_and_comes_back_has_spent_what_it_had_spent(#[case] fails_over: bool) {
    let levels = ReportedLevels { levels: BucketLevels { term: 1, tokens: Vec::new() }, received_at: ms(0) };
    let mut grantor = Grantor::new(ms(0), 2, bounds(), Some(&levels));
    grantor.configure(ms(0), &configuration(1, RATE));
    let spent = request_tokens(&mut grantor, ms(1_000), sidecar(1), MORE_THAN_ANY_BUCKET).unwrap();
    assert!(spent as f64 > RATE, "the bucket was nearly full: {spent}");
    let empty = json!({ "generation": 2, "routes": [], "services": [], "tenants": [] });
    grantor.configure(ms(1_010), &Configuration::read(&empty).unwrap());
    if fails_over {
        let levels = ReportedLevels { levels: grantor.levels(ms(1_020)), received_at: ms(1_020) };
        grantor = Grantor::new(ms(1_030), 3, bounds(), Some(&levels));
        grantor.configure(ms(1_030), &Configuration::read(&empty).unwrap());
    }
    grantor.configure(ms(1_500), &configuration(3, RATE));
    let again = request_tokens(&mut grantor, ms(1_500), sidecar(1), MORE_THAN_ANY_BUCKET).unwrap();
    assert!(again as f64 <= RATE * 0.5, "{again} tokens 500 ms after {spent}");
}

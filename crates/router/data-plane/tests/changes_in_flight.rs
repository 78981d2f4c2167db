//! Configuration changes while a request is in flight: how often it may be executed, and where its stream may continue.

use passrelay_configuration::{Backend, Route, RouteType, Tenant, TokenUnit};
use passrelay_data_plane::execution_limits::ExecutionLimits;
use passrelay_data_plane::stream_origin::StreamOrigin;
use rstest::rstest;

fn route(route_type: RouteType, resumable: bool, backends: &[(&str, f64)]) -> Route {
    let backend =
        |(service, weight): &(&str, f64)| Backend { service: (*service).to_owned(), weight: *weight };
    Route {
        name: "ask".to_owned(),
        hostname: "lot.example".to_owned(),
        path_prefix: "/ask/".to_owned(),
        route_type,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 1,
        backends: backends.iter().map(backend).collect(),
        max_attempts: 2,
        public: false,
        session_affinity: false,
        resumable,
    }
}

fn stream(backends: &[(&str, f64)]) -> Route {
    route(RouteType::Streaming, true, backends)
}

// Guards against review/2: a request that was sent as unsafe runs twice because the route that matches it now is safe.
#[rstest]
#[case::unsafe_then_safe(&[(RouteType::Unsafe, 1), (RouteType::Safe, 2)], false)]
#[case::safe_then_unsafe(&[(RouteType::Safe, 2), (RouteType::Unsafe, 2)], false)]
#[case::safe_unsafe_safe(&[(RouteType::Safe, 2), (RouteType::Unsafe, 2), (RouteType::Safe, 2)], false)]
#[case::stream_then_safe(&[(RouteType::Streaming, 2), (RouteType::Safe, 2)], false)]
#[case::fewer_attempts_first(&[(RouteType::Safe, 1), (RouteType::Safe, 4)], false)]
#[case::fewer_attempts_later(&[(RouteType::Safe, 4), (RouteType::Safe, 1)], false)]
#[case::safe_all_along(&[(RouteType::Safe, 2), (RouteType::Safe, 3)], true)]
fn a_request_is_repeated_only_if_all_its_routes_allow_it(
    #[case] admitted_under: &[(RouteType, u64)],
    #[case] expected: bool,
) {
    let routes: Vec<Route> = admitted_under
        .iter()
        .map(|(route_type, max_attempts)| Route {
            max_attempts: *max_attempts,
            ..route(*route_type, false, &[])
        })
        .collect();
    let limits = routes.iter().fold(ExecutionLimits::of(&routes[0]), ExecutionLimits::restricted_by);
    assert_eq!(limits.allow_repeat(1), expected);
}

// Guards against a stream continued by another kind of answer, another service or for another tenant (review/2, same cause).
#[rstest]
#[case::unchanged(stream(&[("bays", 1.0)]), Some("family"), true)]
#[case::in_a_split(stream(&[("decks", 9.0), ("bays", 1.0)]), Some("family"), true)]
#[case::at_weight_0(stream(&[("decks", 9.0), ("bays", 0.0)]), Some("family"), false)]
#[case::other_service(stream(&[("decks", 1.0)]), Some("family"), false)]
#[case::not_resumable(route(RouteType::Streaming, false, &[("bays", 1.0)]), Some("family"), false)]
#[case::safe_but_no_stream(route(RouteType::Safe, true, &[("bays", 1.0)]), Some("family"), false)]
#[case::other_tenant(stream(&[("bays", 1.0)]), Some("staff"), false)]
#[case::public_meanwhile(stream(&[("bays", 1.0)]), None, false)]
fn a_stream_continues_only_as_what_it_began(
    #[case] route: Route,
    #[case] tenant: Option<&str>,
    #[case] expected: bool,
) {
    let tenant = tenant.map(tenant_named);
    let origin = StreamOrigin::new(&stream(&[("bays", 1.0)]), Some(&tenant_named("family")), "bays");
    assert_eq!(origin.may_continue(&route, tenant.as_ref()), expected);
}

// Guards against the opposite change: permission that the route gains while the stream is under way.
#[rstest]
#[case(RouteType::Streaming, false)]
#[case(RouteType::Safe, true)]
fn what_did_not_begin_as_a_resumable_stream_never_continues(
    #[case] route_type: RouteType,
    #[case] resumable: bool,
) {
    let origin = StreamOrigin::new(&route(route_type, resumable, &[("bays", 1.0)]), None, "bays");
    assert!(!origin.is_resumable());
    assert!(!origin.may_continue(&stream(&[("bays", 1.0)]), None));
}

fn tenant_named(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        api_keys: Vec::new(),
        priority: 1,
        unit: TokenUnit::Requests,
        uncached_tokens: 0,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

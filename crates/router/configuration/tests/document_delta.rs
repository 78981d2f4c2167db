//! Deltas between the texts of two documents.

use passrelay_configuration::{DeltaError, DocumentDelta};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

/// A digest that does not match any document in these tests.
const NO_DIGEST: [u8; 32] = [0; 32];

/// Returns a document with `routes` routes, of which the one with index `changed` has this timeout.
fn document(generation: u64, routes: usize, changed: usize, timeout_ms: u64) -> String {
    let route = |number: usize| {
        let timeout = if number == changed { timeout_ms } else { 3_000 };
        json!({ "name": format!("r-{number}"), "hostname": "ficu95.example", "timeout-ms": timeout,
            "path-prefix": format!("/p{number}/"), "traffic-split": [{ "backend": "huvo11a", "weight": 90 }] })
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    json!({ "generation": generation, "routes": routes, "services": [{ "name": "huvo11a" }] }).to_string()
}

#[test]
fn a_delta_for_one_changed_route_of_1600_is_shorter_than_600_bytes() {
    let base = document(7, 1_600, 0, 3_000);
    let target = document(9, 1_600, 800, 500);
    let delta = DocumentDelta::between(&base, &target);
    assert_eq!(delta.apply(&base).as_deref(), Ok(target.as_str()));
    assert!(base.len() > 150_000 && delta.encoded_size() < 600, "{} of {}", delta.encoded_size(), base.len());
}

#[rstest]
#[case::equal("{}", "{}")]
#[case::from_nothing("", r#"{"a":{}}"#)]
#[case::to_nothing(r#"{"a":{}}"#, "")]
#[case::repeated_items(r#"[{"a":1},{"a":1},{"a":1}]"#, r#"[{"a":1},{"a":1},{"a":1},{"a":1}]"#)]
#[case::other_order(r#"[{"a":1},{"b":1},{"c":1}]"#, r#"[{"c":1},{"a":1},{"b":1}]"#)]
#[case::no_braces("abc", "abd")]
#[case::multibyte_characters(r#"{"ñ":"}é"}"#, r#"{"ñ":"}éé"}"#)]
fn a_delta_results_in_its_target(#[case] base: &str, #[case] target: &str) {
    let delta = DocumentDelta::between(base, target);
    assert_eq!(delta.apply(base).as_deref(), Ok(target));
}

#[test]
fn a_delta_on_another_base_is_rejected() {
    let delta = DocumentDelta::between(&document(1, 20, 3, 100), &document(2, 20, 4, 100));
    assert_eq!(delta.apply(&document(1, 20, 5, 200)), Err(DeltaError::DigestMismatch));
    assert_eq!(delta.apply("{}"), Err(DeltaError::RangeOutsideBase));
}

// Guards against panics and excessive memory use caused by invalid deltas from other processes.
#[rstest]
#[case::range_overflows(json!([{ "C": { "o": u64::MAX, "l": 5 } }]), DeltaError::RangeOutsideBase)]
#[case::range_beyond_the_end(json!([{ "C": { "o": 1, "l": 8 } }]), DeltaError::RangeOutsideBase)]
#[case::range_within_a_character(json!([{ "C": { "o": 3, "l": 1 } }]), DeltaError::RangeOutsideBase)]
#[case::other_text(json!([{ "I": "x" }]), DeltaError::DigestMismatch)]
fn a_corrupt_delta_is_rejected(#[case] hunks: serde_json::Value, #[case] error: DeltaError) {
    let delta: DocumentDelta = serde_json::from_value(json!({ "h": hunks, "d": NO_DIGEST })).unwrap();
    assert_eq!(delta.apply(r#"{"ñ":1}"#), Err(error));
}

#[test]
fn a_delta_that_results_in_too_long_a_document_is_rejected() {
    let base = " ".repeat(1 << 20);
    let copy = json!({ "C": { "o": 0, "l": base.len() } });
    let delta: DocumentDelta =
        serde_json::from_value(json!({ "h": vec![copy; 40], "d": NO_DIGEST })).unwrap();
    assert_eq!(delta.apply(&base), Err(DeltaError::TooLong));
}

proptest! {
    #[test]
    fn any_two_texts_have_a_delta(base in "[{}a-cñ]{0,60}", target in "[{}a-cñ]{0,60}") {
        let delta = DocumentDelta::between(&base, &target);
        prop_assert_eq!(delta.apply(&base), Ok(target));
    }
}

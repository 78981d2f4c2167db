//! Patches that add, replace and remove items by name.

mod common;

use common::valid_document;
use passrelay_configuration::{apply_patch, document_has_tenants, Configuration, ValidationErrorKind};
use rstest::rstest;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn a_patch_adds_replaces_and_removes_by_name() {
    let patch = json!({
        "generation": 6,
        "upsert": { "routes": [
            { "name": "a", "hostname": "h.example", "path-prefix": "/new/", "timeout-ms": 1, "backend": "t" },
            { "name": "c", "hostname": "h.example", "path-prefix": "/c/", "timeout-ms": 1, "backend": "s" },
        ] },
        "remove": { "routes": ["b"], "tenants": ["x"] },
    });
    let next = Configuration::read(&apply_patch(&valid_document(), &patch).unwrap()).unwrap();
    let names: Vec<&str> = next.routes.iter().map(|r| r.name.as_str()).collect();
    assert_eq!((next.generation, names, next.tenants().len()), (6, vec!["a", "c"], 1));
    assert_eq!(next.routes[0].path_prefix, "/new/");
}

// Guards against review/1: a document whose last tenant was removed looks like one that never had tenants, or the reverse.
#[rstest]
#[case::last_one_removed(json!([{ "name": "a" }]), json!({ "remove": { "tenants": ["a"] } }), json!([]))]
#[case::already_empty(json!([]), json!({ "remove": { "tenants": ["a"] } }), json!([]))]
#[case::untouched_empty(json!([]), json!({ "remove": { "routes": ["a"] } }), json!([]))]
#[case::nobody_removed(Value::Null, json!({ "remove": { "tenants": ["a"] } }), Value::Null)]
#[case::nobody_added(Value::Null, json!({ "upsert": { "tenants": [] } }), Value::Null)]
#[case::first_one_added(Value::Null, json!({ "upsert": { "tenants": [{ "name": "a" }] } }), json!([{ "name": "a" }]))]
fn an_empty_list_of_tenants_and_no_list_stay_different(
    #[case] before: Value,
    #[case] patch: Value,
    #[case] expected: Value,
) {
    let mut document = json!({ "generation": 1 });
    if !before.is_null() {
        document["tenants"] = before;
    }
    let mut patch = patch;
    patch["generation"] = json!(2);
    let after = apply_patch(&document, &patch).unwrap();
    assert_eq!(after.get("tenants").cloned().unwrap_or_default(), expected);
    assert_eq!(document_has_tenants(&after.to_string()), !expected.is_null());
}

#[test]
fn a_contradictory_patch_is_rejected() {
    let patch = json!({ "generation": 6, "upsert": { "services": [{ "name": "s" }] }, "remove": { "services": ["s"] } });
    let errors = apply_patch(&valid_document(), &patch).unwrap_err();
    assert_eq!(errors.0[0].kind, ValidationErrorKind::UpsertedAndRemoved("s".into()));
}

#[test]
fn a_patch_takes_time_linear_in_its_items() {
    let route = |number: usize, prefix: &str| {
        json!({ "name": format!("r{number}"), "hostname": "h.example", "path-prefix": format!("/{prefix}{number}/"),
            "timeout-ms": 1, "backend": "s" })
    };
    let time = |count: usize| {
        let mut document = valid_document();
        document["routes"] = (0..count).map(|n| route(n, "a")).collect();
        let upserts: Vec<Value> = (0..count).map(|n| route(n + count / 2, "b")).collect();
        let patch = json!({ "generation": 6, "upsert": { "routes": upserts } });
        let started_at = Instant::now();
        let next = apply_patch(&document, &patch).unwrap();
        assert_eq!(next["routes"].as_array().unwrap().len(), count + count / 2);
        started_at.elapsed()
    };
    let small = time(1_000).max(Duration::from_millis(1));
    // With 8 times as many items, quadratic time would be 64 times as long.
    assert!(time(8_000) < small * 30);
}

//! Differences between documents, and the patches created from them.

use passrelay_configuration::{apply_patch, Difference};
use rstest::rstest;
use serde_json::{json, Value};

fn before() -> Value {
    json!({
        "generation": 3,
        "services": [{ "name": "lm", "capacity": 4 }, { "name": "gates" }],
        "routes": [{ "name": "a", "timeout-ms": 10 }, { "name": "b", "timeout-ms": 10 }],
        "limits": { "max-body-bytes": 100 },
    })
}

#[rstest]
#[case::identical(before(), &[])]
#[case::an_item_added(json!({ "services": [{ "name": "lm", "capacity": 4 }, { "name": "gates" }],
    "routes": [{ "name": "c" }, { "name": "a", "timeout-ms": 10 }, { "name": "b", "timeout-ms": 10 }],
    "limits": { "max-body-bytes": 100 } }), &["+ routes c"])]
#[case::fields_changed(json!({ "services": [{ "name": "lm", "weight": 1 }, { "name": "gates" }],
    "routes": [{ "name": "a", "timeout-ms": 10 }, { "name": "b", "timeout-ms": 10 }],
    "limits": { "max-body-bytes": 100 } }), &["~ services lm: capacity, weight"])]
#[case::removed_and_limits(json!({ "services": [{ "name": "lm", "capacity": 4 }],
    "routes": [{ "name": "a", "timeout-ms": 10 }, { "name": "b", "timeout-ms": 10 }] }),
    &["- services gates", "~ limits: max-body-bytes"])]
fn each_item_that_differs_is_listed_once(#[case] after: Value, #[case] expected: &[&str]) {
    let difference = Difference::between(&before(), &after);
    let items: Vec<String> = difference.items.iter().map(ToString::to_string).collect();
    assert_eq!(items, expected);
}

#[test]
fn applying_the_patch_of_a_difference_results_in_the_new_document() {
    let after = json!({
        "generation": 9,
        "services": [{ "name": "lm", "capacity": 8 }],
        "routes": [{ "name": "b", "timeout-ms": 10 }, { "name": "c" }],
        "tenants": [{ "name": "t" }],
        "limits": { "max-body-bytes": 200 },
    });
    let patch = Difference::between(&before(), &after).patch(9);
    assert_eq!(apply_patch(&before(), &patch).unwrap(), after);
}

// Guards against a difference that hides, or a patch that fails to make, the step from no tenants to an empty list.
#[rstest]
#[case::list_added(json!({}), json!({ "tenants": [] }), &["+ tenants"], false)]
#[case::list_removed(json!({ "tenants": [] }), json!({}), &["- tenants"], false)]
#[case::list_and_tenant_removed(json!({ "tenants": [{ "name": "a" }] }), json!({}), &["- tenants a", "- tenants"], false)]
#[case::first_tenant(json!({}), json!({ "tenants": [{ "name": "a" }] }), &["+ tenants a", "+ tenants"], true)]
#[case::last_tenant(json!({ "tenants": [{ "name": "a" }] }), json!({ "tenants": [] }), &["- tenants a"], true)]
fn the_list_of_tenants_itself_is_part_of_a_difference(
    #[case] from: Value,
    #[case] to: Value,
    #[case] expected: &[&str],
    #[case] is_patchable: bool,
) {
    let difference = Difference::between(&from, &to);
    let items: Vec<String> = difference.items.iter().map(ToString::to_string).collect();
    assert_eq!(
        (items, difference.is_patchable()),
        (expected.iter().map(ToString::to_string).collect(), is_patchable)
    );
    if is_patchable {
        let patched = apply_patch(&from, &difference.patch(2)).unwrap();
        assert_eq!(patched.get("tenants"), to.get("tenants"));
    }
}

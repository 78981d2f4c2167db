//! Faulty configurations are told with their place; changes by name do what they say.

use passrelay_configuration::{apply_patch, parse_document, Configuration, ValidationErrorKind};
use rstest::rstest;
use serde_json::{json, Value};

fn sound() -> Value {
    json!({
        "generation": 4,
        "routes": [
            { "name": "a", "hostname": "h.example", "path-prefix": "/a/", "route-type": "safe", "timeout-ms": 500, "backend": "s" },
            { "name": "b", "hostname": "h.example", "path-prefix": "/b/", "route-type": "unsafe", "timeout-ms": 500,
              "traffic-split": [{ "backend": "s", "weight": 90 }, { "backend": "t", "weight": 10 }] },
        ],
        "services": [{ "name": "s" }, { "name": "t" }],
        "tenants": [{ "name": "x", "api-keys": ["k1", "k2"] }, { "name": "y", "api-keys": ["k3"] }],
    })
}

#[test]
fn a_sound_configuration_is_read() {
    let read = Configuration::read(&sound()).unwrap();
    assert_eq!((read.generation, read.routes.len(), read.services.len(), read.tenants.len()), (4, 2, 2, 2));
    assert_eq!(read.routes[1].backends.len(), 2);
    assert!(read.follows(3).is_ok());
    assert_eq!(read.follows(4).unwrap_err().0[0].kind, ValidationErrorKind::OldGeneration(4));
}

#[rstest]
#[case::unknown_service("/routes/0/backend", json!("u"), "routes[0].backend", ValidationErrorKind::UnknownService("u".into()))]
#[case::unknown_split("/routes/1/traffic-split/1/backend", json!("u"), "routes[1].traffic-split[1].backend", ValidationErrorKind::UnknownService("u".into()))]
#[case::no_weight("/routes/1/traffic-split", json!([{ "backend": "s", "weight": 0 }]), "routes[1].traffic-split", ValidationErrorKind::NoWeight)]
#[case::no_timeout("/routes/0/timeout-ms", json!(0), "routes[0].timeout-ms", ValidationErrorKind::OutOfRange("from 1 up"))]
#[case::same_place("/routes/1/path-prefix", json!("/a/"), "routes[1]", ValidationErrorKind::DuplicateMatch("a".into()))]
#[case::same_name("/routes/1/name", json!("a"), "routes[1]", ValidationErrorKind::DuplicateName("a".into()))]
#[case::shared_key("/tenants/1/api-keys", json!(["k2"]), "tenants[1].api-keys[0]", ValidationErrorKind::SharedKey("x".into()))]
#[case::no_list("/routes", json!({}), "routes", ValidationErrorKind::WrongType("a list"))]
#[case::no_number("/generation", json!("four"), "generation", ValidationErrorKind::WrongType("a whole number from 0 up"))]
#[case::past_range("/generation", json!(1e30), "generation", ValidationErrorKind::WrongType("a whole number from 0 up"))]
#[case::no_host("/routes/0/hostname", json!(""), "routes[0].hostname", ValidationErrorKind::WrongType("a text that is not empty"))]
#[case::negative_weight("/routes/1/traffic-split/0/weight", json!(-1), "routes[1].traffic-split[0].weight", ValidationErrorKind::OutOfRange("from 0 up"))]
fn a_fault_is_told_with_its_place(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] place: &str,
    #[case] kind: ValidationErrorKind,
) {
    let mut document = sound();
    *document.pointer_mut(pointer).unwrap() = value;
    let faults = Configuration::read(&document).unwrap_err();
    assert!(faults.0.iter().any(|f| f.path == place && f.kind == kind), "{faults}");
}

#[test]
fn all_faults_are_told_at_once() {
    let mut document = sound();
    document["routes"][0]["timeout-ms"] = json!(0);
    document["routes"][1]["hostname"] = json!(7);
    document["tenants"][0].as_object_mut().unwrap().remove("name");
    assert_eq!(Configuration::read(&document).unwrap_err().0.len(), 3);
}

#[rstest]
#[case::cut_short(b"{\"generation\": 4, \"routes\": [" as &[u8])]
#[case::nothing(b"")]
#[case::no_text(b"\xff\xfe{}")]
#[case::two_documents(b"{} {}")]
fn what_is_no_document_is_told(#[case] bytes: &[u8]) {
    assert!(matches!(parse_document(bytes).unwrap_err().0[0].kind, ValidationErrorKind::Unreadable(_)));
}

#[test]
fn deep_nesting_is_refused_and_not_followed() {
    let deep = "[".repeat(100_000);
    assert!(parse_document(deep.as_bytes()).is_err());
}

#[test]
fn a_change_adds_replaces_and_removes_by_name() {
    let change = json!({
        "generation": 6,
        "upsert": { "routes": [
            { "name": "a", "hostname": "h.example", "path-prefix": "/new/", "timeout-ms": 1, "backend": "t" },
            { "name": "c", "hostname": "h.example", "path-prefix": "/c/", "timeout-ms": 1, "backend": "s" },
        ] },
        "remove": { "routes": ["b"], "tenants": ["x"] },
    });
    let next = Configuration::read(&apply_patch(&sound(), &change).unwrap()).unwrap();
    let names: Vec<&str> = next.routes.iter().map(|r| r.name.as_str()).collect();
    assert_eq!((next.generation, names, next.tenants.len()), (6, vec!["a", "c"], 1));
    assert_eq!(next.routes[0].path_prefix, "/new/");
}

#[test]
fn a_change_that_contradicts_itself_is_refused() {
    let change = json!({ "generation": 6, "upsert": { "services": [{ "name": "s" }] }, "remove": { "services": ["s"] } });
    let faults = apply_patch(&sound(), &change).unwrap_err();
    assert_eq!(faults.0[0].kind, ValidationErrorKind::ChangedAndRemoved("s".into()));
}

#[test]
fn a_change_of_many_items_takes_time_in_proportion() {
    let route = |n: usize, prefix: &str| {
        json!({ "name": format!("r{n}"), "hostname": "h.example", "path-prefix": format!("/{prefix}{n}/"),
            "timeout-ms": 1, "backend": "s" })
    };
    let time = |count: usize| {
        let mut document = sound();
        document["routes"] = (0..count).map(|n| route(n, "a")).collect();
        let upserts: Vec<Value> = (0..count).map(|n| route(n + count / 2, "b")).collect();
        let change = json!({ "generation": 6, "upsert": { "routes": upserts } });
        let began = std::time::Instant::now();
        let next = apply_patch(&document, &change).unwrap();
        assert_eq!(next["routes"].as_array().unwrap().len(), count + count / 2);
        began.elapsed()
    };
    let small = time(1_000).max(std::time::Duration::from_millis(1));
    // Eight times the items; sixty-four times the time would be the square.
    assert!(time(8_000) < small * 30);
}

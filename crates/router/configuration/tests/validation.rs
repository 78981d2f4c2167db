//! Validation: an invalid document is rejected with all errors and their paths.

mod common;

use common::valid_document;
use passrelay_configuration::{parse_document, Configuration, ValidationErrorKind};
use rstest::rstest;
use serde_json::{json, Value};

#[test]
fn a_valid_configuration_is_read() {
    let read = Configuration::read(&valid_document()).unwrap();
    assert_eq!((read.generation, read.routes.len(), read.services.len(), read.tenants().len()), (4, 2, 2, 2));
    assert_eq!(read.routes[1].backends.len(), 2);
    assert!(read.check_generation_above(3).is_ok());
    assert_eq!(
        read.check_generation_above(4).unwrap_err().0[0].kind,
        ValidationErrorKind::StaleGeneration(4)
    );
}

#[rstest]
#[case::unknown_service("/routes/0/backend", json!("u"), "routes[0].backend", ValidationErrorKind::UnknownService("u".into()))]
#[case::unknown_split("/routes/1/traffic-split/1/backend", json!("u"), "routes[1].traffic-split[1].backend", ValidationErrorKind::UnknownService("u".into()))]
#[case::zero_total_weight("/routes/1/traffic-split", json!([{ "backend": "s", "weight": 0 }]), "routes[1].traffic-split", ValidationErrorKind::ZeroTotalWeight)]
#[case::zero_timeout("/routes/0/timeout-ms", json!(0), "routes[0].timeout-ms", ValidationErrorKind::OutOfRange("from 1 up"))]
#[case::duplicate_match("/routes/1/path-prefix", json!("/a/"), "routes[1]", ValidationErrorKind::DuplicateMatch("a".into()))]
#[case::duplicate_name("/routes/1/name", json!("a"), "routes[1]", ValidationErrorKind::DuplicateName("a".into()))]
#[case::duplicate_api_key("/tenants/1/api-keys", json!(["k2"]), "tenants[1].api-keys[0]", ValidationErrorKind::DuplicateApiKey("x".into()))]
#[case::not_a_list("/routes", json!({}), "routes", ValidationErrorKind::WrongType("a list"))]
#[case::not_a_number("/generation", json!("four"), "generation", ValidationErrorKind::WrongType("a whole number from 0 up"))]
#[case::out_of_range("/generation", json!(1e30), "generation", ValidationErrorKind::WrongType("a whole number from 0 up"))]
#[case::empty_host("/routes/0/hostname", json!(""), "routes[0].hostname", ValidationErrorKind::WrongType("a text that is not empty"))]
#[case::negative_weight("/routes/1/traffic-split/0/weight", json!(-1), "routes[1].traffic-split[0].weight", ValidationErrorKind::OutOfRange("from 0 up"))]
fn an_error_is_reported_with_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] kind: ValidationErrorKind,
) {
    let mut document = valid_document();
    *document.pointer_mut(pointer).unwrap() = value;
    let errors = Configuration::read(&document).unwrap_err();
    assert!(errors.0.iter().any(|error| error.path == path && error.kind == kind), "{errors}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut document = valid_document();
    document["routes"][0]["timeout-ms"] = json!(0);
    document["routes"][1]["hostname"] = json!(7);
    document["tenants"][0].as_object_mut().unwrap().remove("name");
    assert_eq!(Configuration::read(&document).unwrap_err().0.len(), 3);
}

#[rstest]
#[case::truncated(b"{\"generation\": 4, \"routes\": [" as &[u8])]
#[case::empty(b"")]
#[case::not_utf8(b"\xff\xfe{}")]
#[case::two_documents(b"{} {}")]
fn bytes_that_are_not_a_json_document_are_rejected(#[case] bytes: &[u8]) {
    assert!(matches!(parse_document(bytes).unwrap_err().0[0].kind, ValidationErrorKind::Unreadable(_)));
}

#[test]
fn deep_nesting_is_rejected() {
    let deep = "[".repeat(100_000);
    assert!(parse_document(deep.as_bytes()).is_err());
}

#[rstest]
#[case(Some(json!([])), Some(0))]
#[case(Some(json!([{ "name": "a", "api-keys": [] }])), Some(1))]
#[case(Some(Value::Null), None)]
#[case(None, None)]
fn a_configuration_with_an_empty_list_of_tenants_has_tenants(
    #[case] tenants: Option<Value>,
    #[case] expected: Option<usize>,
) {
    let mut document = valid_document();
    document.as_object_mut().unwrap().remove("tenants");
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    let read = Configuration::read(&document).unwrap();
    assert_eq!(read.tenants.map(|tenants| tenants.len()), expected);
}

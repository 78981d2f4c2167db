//! Numbers of a document stay what the operator sent, wherever the document is parsed and written anew.

use passrelay_configuration::{
    apply_patch, parse_document, Configuration, Difference, RolloutOrder, ValidationErrorKind,
};
use rstest::rstest;
use serde_json::Value;

/// Numbers in all forms that JSON allows, as they are written after parsing.
const NUMBERS: [&str; 13] = [
    "91.66666666666667",
    "8.333333333333334",
    "0.1000000000000000055511151231257827",
    "0.50",
    "-0",
    "-0.0",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "123456789012345678901234567890",
    "4.9406564584124654e-324",
    "1e+400",
    "-1e-400",
];

fn parse(text: &str) -> Value {
    parse_document(text.as_bytes()).unwrap_or_else(|errors| panic!("{text}: {errors}"))
}

/// Returns a valid document that has `number` in a field of each object which this version does not know.
fn document_with(number: &str) -> String {
    format!(
        r#"{{"generation":1,"limits":{{"unknown":{number}}},"routes":[{{"backend":"s","hostname":"h","name":"a","path-prefix":"/","timeout-ms":1,"unknown":[{number}]}}],"services":[{{"engine":{{"unknown":{number}}},"name":"s"}}],"tenants":[{{"name":"t","unknown":{number}}}],"unknown":{{"deep":{number}}}}}"#
    )
}

fn all_documents() -> impl Iterator<Item = (&'static str, String)> {
    NUMBERS.into_iter().map(|number| (number, document_with(number)))
}

// Guards against review/8: a number of 16 digits reads back as another one.
#[test]
fn a_replaced_document_keeps_its_numbers() {
    for (_, text) in all_documents() {
        let document = parse(&text);
        Configuration::read(&document).unwrap();
        assert_eq!(document.to_string(), text);
    }
}

#[test]
fn a_patch_keeps_the_numbers_of_the_patched_item_and_of_all_others() {
    for (number, text) in all_documents() {
        let item = format!(r#"{{"name":"added","unknown":{number}}}"#);
        let patch = format!(r#"{{"generation":2,"upsert":{{"services":[{item}]}}}}"#);
        let patched = apply_patch(&parse(&text), &parse(&patch)).unwrap().to_string();
        let added = text.replace(r#""name":"s"}"#, &format!(r#""name":"s"}},{item}"#));
        assert_eq!(patched, added.replace(r#""generation":1"#, r#""generation":2"#));
    }
}

#[test]
fn the_patch_that_makes_a_difference_keeps_its_numbers() {
    for (number, text) in all_documents() {
        let difference = Difference::between(&Value::Null, &parse(&text));
        let patch = difference.patch(1).to_string();
        assert_eq!(patch.matches(&format!(":{number}}}")).count(), 3, "{number}: {patch}");
        assert!(patch.contains(&format!(r#""unknown":[{number}]"#)), "{number}: {patch}");
        assert!(Difference::between(&parse(&text), &parse(&text)).items.is_empty());
    }
}

#[test]
fn an_order_may_have_any_number_in_a_field_that_is_not_known() {
    for number in NUMBERS {
        let body = format!(r#"{{"backend":"s","target-version":"v","deadline-s":1.5,"unknown":{number}}}"#);
        assert_eq!(RolloutOrder::read(body.as_bytes()).unwrap().deadline_ms, 1_500, "{number}");
    }
}

// Numbers are equal if their values are, however they are written: earlier versions stored some of them in another form.
#[rstest]
#[case::trailing_zero("0.50", "0.5", true)]
#[case::exponent("5e1", "50", true)]
#[case::large_exponent("1e400", "10e399", true)]
#[case::negative_exponent("0.00025", "2.5E-4", true)]
#[case::zero("0", "-0.0", true)]
#[case::neighbours("91.66666666666667", "91.66666666666669", false)]
#[case::more_digits_than_a_double("0.1", "0.1000000000000000055511151231257827", false)]
#[case::beyond_a_double("1e400", "1e401", false)]
#[case::sign("1", "-1", false)]
fn numbers_are_compared_by_value(#[case] one: &str, #[case] other: &str, #[case] equal: bool) {
    let difference = Difference::between(&parse(&document_with(one)), &parse(&document_with(other)));
    assert_eq!(difference.items.is_empty(), equal, "{:?}", difference.items);
}

#[rstest]
#[case::too_large("1e400", ValidationErrorKind::OutOfRange("at most 1.7e308"))]
#[case::too_small("-1e400", ValidationErrorKind::OutOfRange("from 0 up"))]
#[case::negative("-0.5", ValidationErrorKind::OutOfRange("from 0 up"))]
#[case::text("\"1\"", ValidationErrorKind::WrongType("a number"))]
fn a_rate_that_is_no_double_is_reported_with_its_path(#[case] rate: &str, #[case] kind: ValidationErrorKind) {
    let text = document_with("1").replace(r#""name":"t""#, &format!(r#""name":"t","rate-per-s":{rate}"#));
    let errors = Configuration::read(&parse(&text)).unwrap_err();
    assert_eq!((errors.0[0].path.as_str(), &errors.0[0].kind), ("tenants[0].rate-per-s", &kind));
}

#[rstest]
#[case("1e400")]
#[case("18446744073709551616")]
#[case("1.5")]
#[case("-1")]
fn a_time_that_is_no_whole_number_is_reported_with_its_path(#[case] time: &str) {
    let text = document_with("1").replace(r#""timeout-ms":1"#, &format!(r#""timeout-ms":{time}"#));
    let errors = Configuration::read(&parse(&text)).unwrap_err();
    assert_eq!(errors.0[0].path, "routes[0].timeout-ms");
}

//! Exact status codes and bodies of answers to operators, which are part of the operators' API.

use super::{OperatorError, OperatorOutcome, OperatorReply};
use crate::configuration_change::Rejection;
use crate::messages::OperatorAnswer;
use passrelay_configuration::parse_document;
use rstest::rstest;

#[rstest]
#[case::read(Ok(OperatorReply::Document("{}".into())), 200, "{}")]
#[case::acknowledged(Ok(OperatorReply::Acknowledged { generation: 7 }), 200, r#"{"generation":7}"#)]
#[case::not_configured(
    Err(OperatorError::NotConfigured),
    404,
    r#"{"error":"there is no configuration yet"}"#
)]
#[case::generation_mismatch(
    Err(OperatorError::Rejected(Rejection::GenerationMismatch { current: 4, base: 3 })),
    412,
    r#"{"error":"the current generation is 4, the order builds on 3"}"#
)]
#[case::timeout(Err(OperatorError::Timeout), 503, r#"{"error":"no primary answered in time, ask again"}"#)]
#[case::primary_changed(
    Err(OperatorError::PrimaryChanged),
    503,
    r#"{"error":"the primary changed, ask again"}"#
)]
#[case::history_truncated(
    Err(OperatorError::HistoryTruncated),
    503,
    r#"{"error":"the order is too old to tell whether it was taken, read first"}"#
)]
fn an_outcome_maps_to_its_status_and_body(
    #[case] outcome: OperatorOutcome,
    #[case] status: u16,
    #[case] body: &str,
) {
    assert_eq!(OperatorAnswer::from(outcome), OperatorAnswer { status, body: body.into() });
}

#[test]
fn an_invalid_change_is_answered_as_a_bad_request_with_its_validation_errors() {
    let errors = parse_document(b"{\"generation\": 4").unwrap_err();
    let body = serde_json::json!({ "error": errors.to_string() }).to_string();
    let rejected = Err(OperatorError::Rejected(Rejection::Invalid(errors)));
    assert_eq!(OperatorAnswer::from(rejected), OperatorAnswer { status: 400, body: body.into() });
}

//! Parsing of the request headers that declare a prompt.

use passrelay_data_plane::prompt::{Prompt, PromptError, MAX_DECLARED_TOKENS};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::shared_segments("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 1_460, Some(0x91bd_3f06), 1_210)]
#[case::own_segment_only("10,5", "aa:10", 10, None, 0)]
#[case::malformed_segments("7,0", "zz:1,:,", 7, None, 0)]
#[case::spaces(" 10 , 5 ", "", 10, None, 0)]
fn prompt_headers_are_parsed(
    #[case] token_usage: &str,
    #[case] prefix_hash: &str,
    #[case] input_tokens: u64,
    #[case] shared_prefix: Option<u64>,
    #[case] shared_prefix_tokens: u64,
) {
    let prompt = Prompt::from_headers(Some(token_usage.as_bytes()), Some(prefix_hash)).unwrap();
    assert_eq!(
        (prompt.input_tokens, prompt.shared_prefix, prompt.shared_prefix_tokens),
        (input_tokens, shared_prefix, shared_prefix_tokens)
    );
}

#[test]
fn absent_headers_declare_nothing() {
    let prompt = Prompt::from_headers(None, None).unwrap();
    assert_eq!((prompt, prompt.total_tokens()), (Prompt::default(), None));
}

// Guards against malformed sizes that count as undeclared, which let a tenant exceed its quota.
#[rstest]
#[case::no_number("many")]
#[case::one_number("1460")]
#[case::three_numbers("1460,80,5")]
#[case::empty("")]
#[case::no_output("1460,")]
#[case::negative("-1,80")]
#[case::signed("+1,80")]
#[case::fraction("1460.5,80")]
#[case::exponent("1e3,80")]
#[case::not_ascii("\u{663}\u{664},80")]
fn malformed_sizes_are_rejected(#[case] token_usage: &str) {
    let error = Prompt::from_headers(Some(token_usage.as_bytes()), None).unwrap_err();
    assert_eq!(error, PromptError::MalformedTokenUsage);
}

#[test]
fn sizes_that_are_not_utf8_are_rejected() {
    assert_eq!(Prompt::from_headers(Some(b"1\xff,2"), None), Err(PromptError::MalformedTokenUsage));
}

// Guards against integer overflow: `u64::MAX` plus 1 wrapped around to 0 tokens, which counted as undeclared.
#[rstest]
#[case::sum_beyond_the_range("18446744073709551615,1")]
#[case::both_beyond_the_range("18446744073709551616,18446744073709551616")]
#[case::many_digits("99999999999999999999999999999999999999999999,0")]
#[case::output_alone("0,99999999999999999999")]
fn huge_sizes_count_as_the_maximum(#[case] token_usage: &str) {
    let prompt = Prompt::from_headers(Some(token_usage.as_bytes()), None).unwrap();
    assert!(prompt.total_tokens().unwrap() >= MAX_DECLARED_TOKENS);
}

#[test]
fn huge_prefixes_do_not_wrap_around() {
    let segments = "1:18446744073709551615,2:18446744073709551615,3:1";
    let prompt = Prompt::from_headers(None, Some(segments)).unwrap();
    assert_eq!(prompt.shared_prefix_tokens, 2 * MAX_DECLARED_TOKENS);
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_or_rejected(token_usage: Vec<u8>, prefix_hash: String) {
        if let Ok(prompt) = Prompt::from_headers(Some(&token_usage), Some(&prefix_hash)) {
            prop_assert!(prompt.input_tokens <= MAX_DECLARED_TOKENS);
            prop_assert!(prompt.output_tokens <= MAX_DECLARED_TOKENS);
        }
    }

    // Sizes up to the maximum count exactly; larger ones, of any length, count as the maximum.
    #[test]
    fn sizes_count_as_declared_up_to_the_maximum(input: u128, output: u128) {
        let maximum = u128::from(MAX_DECLARED_TOKENS);
        let prompt = Prompt::from_headers(Some(format!("{input},{output}").as_bytes()), None).unwrap();
        let expected = input.min(maximum) + output.min(maximum);
        prop_assert_eq!(prompt.total_tokens().map_or(0, u128::from), expected);
    }

    // The sum over all requests that have tokens at the same time never overflows.
    #[test]
    fn sums_of_sizes_do_not_wrap_around(sizes in prop::collection::vec((any::<u64>(), any::<u64>()), 0..400)) {
        let mut sum = 0_u64;
        for (input, output) in sizes {
            let prompt = Prompt::from_headers(Some(format!("{input},{output}").as_bytes()), None).unwrap();
            sum = sum.checked_add(prompt.total_tokens().unwrap_or(0)).unwrap();
        }
        prop_assert!(sum <= 800 * MAX_DECLARED_TOKENS);
    }
}

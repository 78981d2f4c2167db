//! Prompts as request headers declare them.

use passrelay_data_plane::prompt::Prompt;
use rstest::rstest;

#[rstest]
#[case::shared_segments("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 1_460, Some(0x91bd_3f06), 1_210)]
#[case::own_segment_only("10,5", "aa:10", 10, None, 0)]
#[case::malformed("many", "zz:1,:,", 0, None, 0)]
#[case::empty("", "", 0, None, 0)]
fn prompt_headers_are_read_as_far_as_they_can_be_parsed(
    #[case] token_usage: &str,
    #[case] prefix_hash: &str,
    #[case] input_tokens: u64,
    #[case] shared_prefix: Option<u64>,
    #[case] shared_prefix_tokens: u64,
) {
    let prompt = Prompt::read(Some(token_usage), Some(prefix_hash));
    assert_eq!(
        (prompt.input_tokens, prompt.shared_prefix, prompt.shared_prefix_tokens),
        (input_tokens, shared_prefix, shared_prefix_tokens)
    );
}

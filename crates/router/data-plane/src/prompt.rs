//! Size and shared prefixes of a request's prompt, as its headers declare them.
//!
//! The client declares them and nothing checks them: they serve the selection of an endpoint and, where a quota counts
//! tokens, the quota.

/// Tokens and shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Bound on the tokens of the response.
    pub output_tokens: u64,
    /// The longest prefix that the prompt shares with other requests, by the hash of its last segment; `None` where it
    /// shares none.
    pub shared_prefix: Option<u64>,
    /// Tokens of that prefix; 0 where there is none.
    pub shared_prefix_tokens: u64,
}

impl Prompt {
    /// Reads `X-Passrelay-Token-Usage` (`IN,OUT`) and `X-Passrelay-Prefix-Hash` (`ID:TOKENS,...`, ids in hexadecimal, the
    /// segments of the prompt from its beginning). What can't be parsed counts as absent: a request isn't rejected for it.
    pub fn read(token_usage: Option<&str>, prefix_hash: Option<&str>) -> Self {
        let mut prompt = Prompt::default();
        if let Some((input, output)) = token_usage.and_then(|usage| usage.split_once(',')) {
            prompt.input_tokens = input.trim().parse().unwrap_or(0);
            prompt.output_tokens = output.trim().parse().unwrap_or(0);
        }
        let segments = prefix_hash.map(parse_segments).unwrap_or_default();
        // The last segment belongs to the request itself or to its session, so no other request shares it.
        if let Some((_, shared)) = segments.split_last() {
            prompt.shared_prefix = shared.last().map(|segment| segment.hash);
            prompt.shared_prefix_tokens = shared.iter().map(|segment| segment.tokens).sum();
        }
        prompt
    }

    /// Tokens that count against a quota, those of the response included; `None` where the headers declare none.
    pub fn total_tokens(&self) -> Option<u64> {
        let total = self.input_tokens + self.output_tokens;
        (total > 0).then_some(total)
    }
}

/// A segment of a prompt.
#[derive(Clone, Copy)]
struct PromptSegment {
    /// Identifies the segment.
    hash: u64,
    /// Tokens of this segment alone.
    tokens: u64,
}

/// Parses `ID:TOKENS,...` and leaves out segments that are malformed.
fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |segment: &str| {
        let (hash, tokens) = segment.trim().split_once(':')?;
        Some(PromptSegment { hash: u64::from_str_radix(hash, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    text.split(',').filter_map(segment).collect()
}

//! Size and shared prefixes of a request's prompt, as its headers declare them.
//!
//! The client declares them and nothing checks them against the body. The size is what a tenant's quota counts, so one that
//! can't be read is an error and one that is too large saturates; it never counts as less than it says. The prefixes only
//! help to select an endpoint, so those that can't be read are left out.

use thiserror::Error;

/// Bound on each number of tokens that a request declares. Larger ones count as this: no quota contains it, and sums over all
/// requests that a process can hold stay far below the range of `u64`.
pub const MAX_DECLARED_TOKENS: u64 = 1 << 40;

/// Why the headers of a prompt are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The size of the prompt is not given as two numbers.
    #[error("X-Passrelay-Token-Usage: should be two whole numbers, parted by a comma")]
    MalformedTokenUsage,
}

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
    /// Reads `X-Passrelay-Token-Usage` (`IN,OUT`, in decimal digits) and `X-Passrelay-Prefix-Hash` (`ID:TOKENS,...`, ids in
    /// hexadecimal, the segments of the prompt from its beginning). An absent header declares nothing; malformed segments
    /// are left out.
    ///
    /// # Errors
    ///
    /// Returns [`PromptError::MalformedTokenUsage`] where the size is there and can't be read.
    pub fn from_headers(token_usage: Option<&[u8]>, prefix_hash: Option<&str>) -> Result<Self, PromptError> {
        let (input_tokens, output_tokens) = token_usage.map_or(Ok((0, 0)), parse_token_usage)?;
        let mut prompt = Prompt { input_tokens, output_tokens, ..Prompt::default() };
        let segments = prefix_hash.map(parse_segments).unwrap_or_default();
        // The last segment belongs to the request itself or to its session, so no other request shares it.
        if let Some((_, shared)) = segments.split_last() {
            prompt.shared_prefix = shared.last().map(|segment| segment.hash);
            prompt.shared_prefix_tokens =
                shared.iter().fold(0, |tokens, segment| tokens.saturating_add(segment.tokens));
        }
        Ok(prompt)
    }

    /// Tokens that count against a quota, those of the response included; `None` where the headers declare none.
    pub fn total_tokens(&self) -> Option<u64> {
        let total = self.input_tokens.saturating_add(self.output_tokens);
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

/// Parses `IN,OUT`.
fn parse_token_usage(text: &[u8]) -> Result<(u64, u64), PromptError> {
    let numbers = std::str::from_utf8(text).ok().and_then(|text| text.split_once(','));
    let (input, output) = numbers.ok_or(PromptError::MalformedTokenUsage)?;
    Ok((parse_tokens(input)?, parse_tokens(output)?))
}

/// Parses a number of tokens; one beyond [`MAX_DECLARED_TOKENS`], however long, is that bound.
fn parse_tokens(text: &str) -> Result<u64, PromptError> {
    let digits = text.trim_matches([' ', '\t']);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(PromptError::MalformedTokenUsage);
    }
    // Digits alone can only fail to parse because there are too many of them.
    Ok(digits.parse().unwrap_or(MAX_DECLARED_TOKENS).min(MAX_DECLARED_TOKENS))
}

/// Parses `ID:TOKENS,...` and leaves out segments that are malformed.
fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |segment: &str| {
        let (hash, tokens) = segment.trim().split_once(':')?;
        let tokens: u64 = tokens.parse().ok()?;
        let hash = u64::from_str_radix(hash, 16).ok()?;
        Some(PromptSegment { hash, tokens: tokens.min(MAX_DECLARED_TOKENS) })
    };
    text.split(',').filter_map(segment).collect()
}

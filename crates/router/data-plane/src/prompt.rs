//! Size and shared prefixes of a request's prompt, as declared in its headers.
//!
//! The client declares them; they are not checked against the body. The tenant's quota is charged for the
//! declared size, so a malformed size is an error, a size above [`MAX_DECLARED_TOKENS`] counts as this
//! maximum, and no size counts as less than declared up to the maximum. The prefixes only help to select an
//! endpoint, so malformed ones are skipped.

use thiserror::Error;

/// Maximum for each number of tokens that a request declares; larger numbers count as this one. It exceeds
/// any quota, and sums over all requests that a process can hold stay far below the limit of `u64`.
pub const MAX_DECLARED_TOKENS: u64 = 1 << 40;

/// Reason for rejecting the prompt headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The size of the prompt is not two numbers.
    #[error("X-Passrelay-Token-Usage: should be two whole numbers, parted by a comma")]
    MalformedTokenUsage,
}

/// Size and shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens in the prompt; 0 if not declared.
    pub input_tokens: u64,
    /// Maximum number of tokens in the response; 0 if not declared.
    pub output_tokens: u64,
    /// Hash of the last segment of the longest prefix that the prompt shares with other requests; `None` if
    /// it shares none.
    pub shared_prefix: Option<u64>,
    /// Number of tokens in the shared prefix; 0 if there is none.
    pub shared_prefix_tokens: u64,
}

impl Prompt {
    /// Parses `X-Passrelay-Token-Usage` (`IN,OUT` in decimal digits) and `X-Passrelay-Prefix-Hash`
    /// (`ID:TOKENS,...`, the segments of the prompt from its beginning, with hexadecimal ids). An absent
    /// header declares nothing; malformed segments are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`PromptError::MalformedTokenUsage`] if the size is present but malformed.
    pub fn from_headers(token_usage: Option<&[u8]>, prefix_hash: Option<&str>) -> Result<Self, PromptError> {
        let (input_tokens, output_tokens) = token_usage.map_or(Ok((0, 0)), parse_token_usage)?;
        let mut prompt = Prompt { input_tokens, output_tokens, ..Prompt::default() };
        let segments = prefix_hash.map(parse_segments).unwrap_or_default();
        // The last segment is specific to the request or its session, so it is not shared with other
        // requests.
        if let Some((_, shared)) = segments.split_last() {
            prompt.shared_prefix = shared.last().map(|segment| segment.hash);
            prompt.shared_prefix_tokens =
                shared.iter().fold(0, |tokens, segment| tokens.saturating_add(segment.tokens));
        }
        Ok(prompt)
    }

    /// Returns the number of tokens charged to the quota, including those of the response, or `None` if the
    /// headers declare no tokens.
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
    /// Number of tokens in this segment, without the preceding ones.
    tokens: u64,
}

/// Parses `IN,OUT`.
fn parse_token_usage(text: &[u8]) -> Result<(u64, u64), PromptError> {
    let numbers = std::str::from_utf8(text).ok().and_then(|text| text.split_once(','));
    let (input, output) = numbers.ok_or(PromptError::MalformedTokenUsage)?;
    Ok((parse_tokens(input)?, parse_tokens(output)?))
}

/// Parses a number of tokens of any length, clamped to [`MAX_DECLARED_TOKENS`].
fn parse_tokens(text: &str) -> Result<u64, PromptError> {
    let digits = text.trim_matches([' ', '\t']);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(PromptError::MalformedTokenUsage);
    }
    // A string of digits can only fail to parse because it overflows.
    Ok(digits.parse().unwrap_or(MAX_DECLARED_TOKENS).min(MAX_DECLARED_TOKENS))
}

/// Parses `ID:TOKENS,...` and skips malformed segments.
fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |segment: &str| {
        let (hash, tokens) = segment.trim().split_once(':')?;
        let tokens: u64 = tokens.parse().ok()?;
        let hash = u64::from_str_radix(hash, 16).ok()?;
        Some(PromptSegment { hash, tokens: tokens.min(MAX_DECLARED_TOKENS) })
    };
    text.split(',').filter_map(segment).collect()
}

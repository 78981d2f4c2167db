//! What a request's headers tell of its prompt.

/// Tokens and shared parts of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_tokens: u64,
    /// The deepest part that the prompt shares with others, if there is one.
    pub shared_prefix: Option<u64>,
    /// Tokens of all shared parts together.
    pub shared_prefix_tokens: u64,
}

impl Prompt {
    /// Reads `X-Passrelay-Token-Usage` (`IN,OUT`) and `X-Passrelay-Prefix-Hash` (`ID:TOKENS,...`, ids in hex). What
    /// can't be read counts as not there: it only helps to place the request.
    pub fn read(token_usage: Option<&str>, prefix_hash: Option<&str>) -> Self {
        let mut prompt = Prompt::default();
        if let Some((input, output)) = token_usage.and_then(|t| t.split_once(',')) {
            prompt.input_tokens = input.trim().parse().unwrap_or(0);
            prompt.output_tokens = output.trim().parse().unwrap_or(0);
        }
        let parts: Vec<(u64, u64)> = prefix_hash.map(read_parts).unwrap_or_default();
        // The last part belongs to the request itself or to its session.
        if let Some((_, shared)) = parts.split_last() {
            prompt.shared_prefix = shared.last().map(|(id, _)| *id);
            prompt.shared_prefix_tokens = shared.iter().map(|(_, tokens)| tokens).sum();
        }
        prompt
    }

    /// Tokens that count against a quota; `None` where none were told.
    pub fn total_tokens(&self) -> Option<u64> {
        let total = self.input_tokens + self.output_tokens;
        (total > 0).then_some(total)
    }
}

fn read_parts(text: &str) -> Vec<(u64, u64)> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    text.split(',').filter_map(part).collect()
}

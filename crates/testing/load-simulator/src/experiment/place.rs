//! Positions of errors in experiment files, and suggestions for misspelled names.

/// Returns line and column, both from 1, of a key in a file. The path has the form `tier[0].kind[1].speed`. If the
/// key is not in the file, returns the position of its closest parent.
pub(super) fn locate(text: &str, path: &str) -> Option<(usize, usize)> {
    let document = toml_edit::ImDocument::parse(text).ok()?;
    let mut item = document.as_item();
    let mut span = None;
    for step in path.split(['.', '[']) {
        let step = step.trim_end_matches(']');
        let next = match step.parse::<usize>() {
            Ok(at) => item.get(at),
            Err(_) => {
                if let Some(key) = item.as_table_like().and_then(|t| t.key(step)).and_then(|k| k.span()) {
                    span = Some(key);
                }
                item.get(step)
            }
        };
        let Some(next) = next else { break };
        item = next;
        if let Some(found) = item.as_table().and_then(|t| t.span()) {
            span = Some(found);
        }
    }
    Some(line_and_column(text, span?.start))
}

pub(super) fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    (line, before.chars().rev().take_while(|c| *c != '\n').count() + 1)
}

/// Adds the most similar expected name to a message that lists the expected names.
pub(super) fn with_nearest(message: &str) -> String {
    let mut names = message.split('`').skip(1).step_by(2);
    let Some(wrong) = names.next() else { return message.to_owned() };
    let nearest = names.map(|n| (strsim::jaro_winkler(wrong, n), n)).max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((likeness, name)) if likeness > 0.75 && message.starts_with("unknown") => {
            format!("{message}; did you mean `{name}`?")
        }
        _ => message.to_owned(),
    }
}

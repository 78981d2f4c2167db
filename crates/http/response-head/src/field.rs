//! Field lines (RFC 9112, section 5).

use crate::error::MalformedHead;

/// A field: its name as it was sent, and its value without the blanks around it.
pub(crate) struct Field<'a> {
    pub name: &'a [u8],
    pub value: &'a [u8],
}

impl<'a> Field<'a> {
    /// Reads a field line, without its line end. A line that begins with a blank would continue the one before it, which is
    /// obsolete and not read.
    pub fn parse(line: &'a [u8]) -> Result<Field<'a>, MalformedHead> {
        if matches!(line.first(), Some(b' ' | b'\t')) {
            return Err(MalformedHead::FieldLine);
        }
        let colon = line.iter().position(|byte| *byte == b':').ok_or(MalformedHead::FieldLine)?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.is_empty() || !name.iter().all(|byte| is_token_byte(*byte)) {
            return Err(MalformedHead::FieldName);
        }
        if value.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
            return Err(MalformedHead::FieldValue);
        }
        Ok(Field { name, value: value.trim_ascii() })
    }

    /// Returns whether the field has this name, whatever its case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// Returns whether a token may contain this byte (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}

/// Checks a field line without its line end, such as that of a trailer.
///
/// # Errors
///
/// Returns the reason for which the line is no field.
pub fn check_field_line(line: &[u8]) -> Result<(), MalformedHead> {
    Field::parse(line).map(|_| ())
}

/// Returns the names and values of the fields of a well-formed head.
pub fn fields(head: &[u8]) -> impl Iterator<Item = (&str, &[u8])> {
    let lines = head.split(|byte| *byte == b'\n').skip(1);
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.filter_map(|line| {
        let field = Field::parse(line).ok()?;
        Some((std::str::from_utf8(field.name).ok()?, field.value))
    })
}

//! Differences between two versions of a document's text, for transfer to a process that already has the
//! first version.
//!
//! A change by the operators usually affects few of some thousand items, and the text of all others stays the
//! same. A delta copies ranges of the base and inserts the remaining text. Both texts are split after each
//! closing brace, so that an item is copied or inserted in one piece. Creating and applying a delta takes a
//! single pass over the text and requires no parsing. A digest of the result detects if the delta is applied
//! to a base other than the one it was created from.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use thiserror::Error;

/// Maximum length of a document that a delta results in, in bytes. It is longer than any document that
/// operators can submit.
const MAX_DOCUMENT_BYTES: usize = 24 << 20;
/// Deltas are only worth sending if their total size is less than this fraction of the document's length.
const MAX_SIZE_FRACTION: f64 = 0.5;
/// Approximate size of a serialized hunk without its text, in bytes.
const HUNK_OVERHEAD_BYTES: usize = 12;

/// Reason why a delta cannot be applied. The complete document has to be transferred instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta applies to a state other than the present one.
    #[error("the delta applies to another state")]
    BaseMismatch,
    /// A copied range extends beyond the base or splits one of its characters.
    #[error("a range copied by the delta is not within the base document")]
    RangeOutsideBase,
    /// The result would exceed the maximum length of a document.
    #[error("the document that results from the delta is too long")]
    TooLong,
    /// The result is not the document that the delta was created for, since the base is a different one.
    #[error("the document that results from the delta has an unexpected digest")]
    DigestMismatch,
}

/// A part of the target document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Hunk {
    /// A range of the base.
    #[serde(rename = "C")]
    Copy {
        /// Start of the range, in bytes.
        #[serde(rename = "o")]
        offset: usize,
        /// Length of the range, in bytes.
        #[serde(rename = "l")]
        length: usize,
    },
    /// Text that is not copied from the base.
    #[serde(rename = "I")]
    Insert(String),
}

/// The difference between a target document and a base document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// Parts of the target document, in order.
    #[serde(rename = "h")]
    hunks: Vec<Hunk>,
    /// SHA-256 digest of the target document.
    #[serde(rename = "d")]
    digest: [u8; 32],
}

impl DocumentDelta {
    /// Computes the difference between `target` and `base` in time linear in their lengths.
    pub fn between(base: &str, target: &str) -> Self {
        let offsets: HashMap<&str, usize> =
            segments(base).map(|segment| (segment.text, segment.offset)).collect();
        let mut hunks = Vec::new();
        for segment in segments(target) {
            // Many segments occur more than once in the base. Prefer the occurrence that continues the
            // previous range, since it does not need a hunk of its own.
            let next_offset = copied_end(&hunks).filter(|end| base[*end..].starts_with(segment.text));
            match next_offset.or_else(|| offsets.get(segment.text).copied()) {
                Some(offset) => append_copy(&mut hunks, offset, segment.text.len()),
                None => append_insertion(&mut hunks, segment.text),
            }
        }
        DocumentDelta { hunks, digest: Sha256::digest(target).into() }
    }

    /// Like [`Self::between`], but returns `None` if the delta is not short enough to be sent instead of the
    /// target.
    pub fn between_if_worth_sending(base: &str, target: &str) -> Option<Self> {
        let delta = Self::between(base, target);
        Self::are_worth_sending([&delta], target.len()).then_some(delta)
    }

    /// Returns whether deltas are short enough to be sent instead of a document of `document_length` bytes.
    pub fn are_worth_sending<'a>(deltas: impl IntoIterator<Item = &'a Self>, document_length: usize) -> bool {
        let size: usize = deltas.into_iter().map(Self::encoded_size).sum();
        (size as f64) < MAX_SIZE_FRACTION * document_length as f64
    }

    /// Returns the approximate size of the serialized delta, in bytes.
    pub fn encoded_size(&self) -> usize {
        let size = |hunk: &Hunk| match hunk {
            Hunk::Copy { .. } => HUNK_OVERHEAD_BYTES,
            Hunk::Insert(text) => HUNK_OVERHEAD_BYTES + text.len(),
        };
        self.digest.len() + self.hunks.iter().map(size).sum::<usize>()
    }

    /// Applies the delta to `base` and returns the target document.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaError`] if `base` is not the document that the delta was created from, or if the
    /// delta is corrupt.
    pub fn apply(&self, base: &str) -> Result<String, DeltaError> {
        let mut target = String::with_capacity(base.len());
        for hunk in &self.hunks {
            let text = match hunk {
                Hunk::Copy { offset, length } => {
                    let end = offset.checked_add(*length).ok_or(DeltaError::RangeOutsideBase)?;
                    base.get(*offset..end).ok_or(DeltaError::RangeOutsideBase)?
                }
                Hunk::Insert(text) => text,
            };
            if target.len() + text.len() > MAX_DOCUMENT_BYTES {
                return Err(DeltaError::TooLong);
            }
            target.push_str(text);
        }
        if self.digest != <[u8; 32]>::from(Sha256::digest(&target)) {
            return Err(DeltaError::DigestMismatch);
        }
        Ok(target)
    }
}

/// A piece of a document's text that ends with a closing brace or with the text.
struct Segment<'a> {
    text: &'a str,
    /// Start of the segment within the document, in bytes.
    offset: usize,
}

fn segments(text: &str) -> impl Iterator<Item = Segment<'_>> {
    text.split_inclusive('}').scan(0, |next_offset, text| {
        let offset = *next_offset;
        *next_offset += text.len();
        Some(Segment { text, offset })
    })
}

/// Returns the end of the range that the last hunk copies, or `None` if the last hunk is not a copy.
fn copied_end(hunks: &[Hunk]) -> Option<usize> {
    match hunks.last() {
        Some(Hunk::Copy { offset, length }) => Some(offset + length),
        _ => None,
    }
}

/// Appends a range of the base, or extends the last copied range if the new range directly follows it.
fn append_copy(hunks: &mut Vec<Hunk>, offset: usize, length: usize) {
    match hunks.last_mut() {
        Some(Hunk::Copy { offset: last, length: last_length }) if *last + *last_length == offset => {
            *last_length += length;
        }
        _ => hunks.push(Hunk::Copy { offset, length }),
    }
}

fn append_insertion(hunks: &mut Vec<Hunk>, text: &str) {
    match hunks.last_mut() {
        Some(Hunk::Insert(inserted)) => inserted.push_str(text),
        _ => hunks.push(Hunk::Insert(text.to_owned())),
    }
}

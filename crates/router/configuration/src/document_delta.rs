//! Differences between two versions of a document's text, for transfer to a process that holds the first one.
//!
//! A change of the operators touches few of some thousand items, and the text of all others stays the same. A delta copies
//! ranges of the base and inserts the rest; both texts are cut after each closing brace, so that an item is copied or inserted
//! as a whole. Making and applying one takes a single pass over the text and parses nothing. A digest of the result shows a
//! base that was another one than the delta was made from.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use thiserror::Error;

/// Bound on the length of a document that a delta results in, in bytes; more than any order may bring.
const MAX_DOCUMENT_BYTES: usize = 24 << 20;
/// Deltas are sent only while they have together less than this fraction of the document's length.
const MAX_SIZE_FRACTION: f64 = 0.5;
/// Size of a hunk's head when it is serialised, in bytes, about.
const HUNK_OVERHEAD_BYTES: usize = 12;

/// Why a delta can't be applied. The whole document has to be transferred then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// It applies to another state than the one held.
    #[error("the delta applies to another state")]
    BaseMismatch,
    /// A range lies beyond the base, or within one of its characters.
    #[error("a range of the delta is none of the base")]
    RangeOutsideBase,
    /// The result would be longer than any document.
    #[error("the result of the delta is too long")]
    TooLong,
    /// The result is not the document that the delta was made for: the base is another one.
    #[error("the result of the delta has another digest")]
    DigestMismatch,
}

/// A part of the target document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Hunk {
    /// Bytes of the base.
    #[serde(rename = "C")]
    Copy {
        /// Where they begin.
        #[serde(rename = "o")]
        offset: usize,
        /// How many there are.
        #[serde(rename = "l")]
        length: usize,
    },
    /// Text that the base does not hold.
    #[serde(rename = "I")]
    Insert(String),
}

/// The difference of a document from a base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// Parts of the target, in order.
    #[serde(rename = "h")]
    hunks: Vec<Hunk>,
    /// SHA-256 of the target.
    #[serde(rename = "d")]
    digest: [u8; 32],
}

impl DocumentDelta {
    /// The difference of `target` from `base`. Takes time in proportion to both lengths.
    pub fn between(base: &str, target: &str) -> Self {
        let offsets: HashMap<&str, usize> =
            segments(base).map(|segment| (segment.text, segment.offset)).collect();
        let mut hunks = Vec::new();
        for segment in segments(target) {
            // Many segments stand in several places; one that goes on with the range before it needs no hunk of its own.
            let next_offset = copied_end(&hunks).filter(|end| base[*end..].starts_with(segment.text));
            match next_offset.or_else(|| offsets.get(segment.text).copied()) {
                Some(offset) => append_copy(&mut hunks, offset, segment.text.len()),
                None => append_insertion(&mut hunks, segment.text),
            }
        }
        DocumentDelta { hunks, digest: Sha256::digest(target).into() }
    }

    /// As [`Self::between`]; `None` where it is not short enough to be sent in place of the target.
    pub fn between_if_worth_sending(base: &str, target: &str) -> Option<Self> {
        let delta = Self::between(base, target);
        Self::are_worth_sending([&delta], target.len()).then_some(delta)
    }

    /// Whether deltas are short enough to be sent in place of a document of this length, in bytes.
    pub fn are_worth_sending<'a>(deltas: impl IntoIterator<Item = &'a Self>, document_length: usize) -> bool {
        let size: usize = deltas.into_iter().map(Self::encoded_size).sum();
        (size as f64) < MAX_SIZE_FRACTION * document_length as f64
    }

    /// About how many bytes it has when it is serialised.
    pub fn encoded_size(&self) -> usize {
        let size = |hunk: &Hunk| match hunk {
            Hunk::Copy { .. } => HUNK_OVERHEAD_BYTES,
            Hunk::Insert(text) => HUNK_OVERHEAD_BYTES + text.len(),
        };
        self.digest.len() + self.hunks.iter().map(size).sum::<usize>()
    }

    /// The target document.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaError`] where `base` is not the document that the delta was made from, or the delta is damaged.
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

/// A piece of a text, up to a closing brace or the end.
struct Segment<'a> {
    text: &'a str,
    offset: usize,
}

fn segments(text: &str) -> impl Iterator<Item = Segment<'_>> {
    text.split_inclusive('}').scan(0, |next_offset, text| {
        let offset = *next_offset;
        *next_offset += text.len();
        Some(Segment { text, offset })
    })
}

/// Where the range ends that the last hunk copies; `None` where the last hunk copies nothing.
fn copied_end(hunks: &[Hunk]) -> Option<usize> {
    match hunks.last() {
        Some(Hunk::Copy { offset, length }) => Some(offset + length),
        _ => None,
    }
}

/// Appends a range of the base; one that follows the last range makes it longer.
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

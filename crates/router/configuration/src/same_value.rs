//! Comparison of JSON values in which numbers are equal if their values are, however they are written: `0.5`, `0.50` and `5e-1`.

use serde_json::{Number, Value};

/// Returns whether both values are absent or are the same.
pub(crate) fn are_same(one: Option<&Value>, other: Option<&Value>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => has_same_value(one, other),
        (one, other) => one.is_none() && other.is_none(),
    }
}

/// Returns whether two values are the same.
pub(crate) fn has_same_value(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(one), Value::Number(other)) => is_same_number(one, other),
        (Value::Array(ones), Value::Array(others)) => {
            ones.len() == others.len()
                && ones.iter().zip(others).all(|(one, other)| has_same_value(one, other))
        }
        (Value::Object(ones), Value::Object(others)) => {
            ones.len() == others.len() && ones.iter().all(|(key, one)| are_same(Some(one), others.get(key)))
        }
        (one, other) => one == other,
    }
}

fn is_same_number(one: &Number, other: &Number) -> bool {
    one == other || matches!((Decimal::of(one), Decimal::of(other)), (Some(one), Some(other)) if one == other)
}

/// A number as `0.DIGITS` times a power of ten, in the only form without zeros at either end.
#[derive(Debug, PartialEq, Eq)]
struct Decimal {
    is_negative: bool,
    digits: String,
    exponent: i64,
}

impl Decimal {
    /// Returns the decimal form of a number, or `None` if its exponent is out of the range of `i64`.
    fn of(number: &Number) -> Option<Self> {
        let text = number.as_str();
        let (mantissa, exponent) = text.split_once(['e', 'E']).unwrap_or((text, "0"));
        let (integer, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
        let magnitude = integer.trim_start_matches('-');
        let all_digits = [magnitude, fraction].concat();
        let significant = all_digits.trim_start_matches('0');
        let leading_zeros = all_digits.len() - significant.len();
        let digits = significant.trim_end_matches('0').to_owned();
        if digits.is_empty() {
            return Some(Decimal { is_negative: false, digits, exponent: 0 });
        }
        let point = i64::try_from(magnitude.len()).ok()?.checked_sub(i64::try_from(leading_zeros).ok()?)?;
        let exponent = exponent.parse::<i64>().ok()?.checked_add(point)?;
        Some(Decimal { is_negative: integer.starts_with('-'), digits, exponent })
    }
}

//! Smooth weighted round robin: selects one of several candidates, so that each is selected in proportion to its weight
//! and the selections of each are spread evenly over time. The caller keeps the state between selections.

/// One candidate of a selection.
pub struct Candidate<'a, T> {
    /// The item to return if this candidate is selected.
    pub item: T,
    /// Weight in this selection; at least 0.
    pub weight: f64,
    /// State between selections: grows by `weight` with each selection, and is reduced by the sum of all weights when
    /// this candidate is selected.
    pub current_weight: &'a mut f64,
}

/// Selects a candidate: adds each candidate's weight to its current weight, selects the highest current weight among
/// the candidates with a positive weight, and subtracts the sum of all weights from it. The first one is selected among
/// equals. Returns `None` if no candidate has a positive weight.
pub fn select<'a, T: Copy>(candidates: impl Iterator<Item = Candidate<'a, T>>) -> Option<T> {
    let mut sum = 0.0;
    let mut best: Option<Candidate<'a, T>> = None;
    for candidate in candidates {
        sum += candidate.weight;
        *candidate.current_weight += candidate.weight;
        let higher = best.as_ref().is_none_or(|best| *candidate.current_weight > *best.current_weight);
        if candidate.weight > 0.0 && higher {
            best = Some(candidate);
        }
    }
    let selected = best?;
    *selected.current_weight -= sum;
    Some(selected.item)
}

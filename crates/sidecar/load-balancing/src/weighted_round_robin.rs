//! Smooth weighted round robin: selects one of several weighted candidates, so that each is selected in proportion to
//! its weight and evenly over time. It knows nothing of what the candidates are and keeps no state of its own.

/// One candidate of a selection.
pub struct Candidate<'a, T> {
    /// What is selected.
    pub item: T,
    /// Its weight in this selection; at least 0.
    pub weight: f64,
    /// Its current weight: grows by `weight` with each selection, and drops when it is selected.
    pub current_weight: &'a mut f64,
}

/// Adds each candidate's weight to its current weight, selects the highest current weight among those of positive
/// weight, and subtracts the sum of all weights from it. `None` where no candidate has a positive weight.
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

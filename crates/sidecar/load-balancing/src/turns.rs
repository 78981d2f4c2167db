//! Smooth weighted round robin: the turns by which one of several weighted candidates is picked.

/// One candidate of a turn.
pub struct Candidate<'a, T> {
    /// What is picked.
    pub item: T,
    /// Its weight in this turn.
    pub factor: f64,
    /// What it has saved up from turns that others took.
    pub tally: &'a mut f64,
}

/// Takes a turn: each candidate's factor is added to its tally, the highest tally among those of positive factor
/// wins and pays the sum of all factors. `None` where no candidate has a positive factor.
pub fn take_turn<'a, T: Copy>(candidates: impl Iterator<Item = Candidate<'a, T>>) -> Option<T> {
    let mut sum = 0.0;
    let mut best: Option<Candidate<'a, T>> = None;
    for candidate in candidates {
        sum += candidate.factor;
        *candidate.tally += candidate.factor;
        let higher = best.as_ref().is_none_or(|b| *candidate.tally > *b.tally);
        if candidate.factor > 0.0 && higher {
            best = Some(candidate);
        }
    }
    let winner = best?;
    *winner.tally -= sum;
    Some(winner.item)
}

//! Deliberate defects in the code that the guarantees rest on. Fault injection activates one at a time to
//! verify that its checker detects it. They are compiled in only with the feature `mutants`.

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Effects are recorded under any token.
    TokenUnchecked,
    /// A holder counts the time to live from the response instead of from when it sent the renewal.
    CountedFromAnswer,
    /// A voter sends messages before its records are durable.
    SentUnsynced,
    /// Voters measure time on the adjustable wall clock.
    WallClock,
    /// A client stays connected to a voter that cannot serve it.
    NeverLeaves,
    /// A lease whose holder expired is granted again without the lock delay.
    NoLockDelay,
    /// A voter that lost its disk, or runs on an older copy of it, votes.
    LostDiskVotes,
    /// A session that expires does not give up its leases.
    ExpiryForgets,
    /// A delayed renewal response makes a released lease count as held again.
    BelievesReleased,
    /// A granted operation counts as confirmation without a renewal.
    GrantBelieved,
    /// A removed voter stops before the others know that its removal was committed.
    RemovedStops,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 11] = [
        Mutant::TokenUnchecked,
        Mutant::CountedFromAnswer,
        Mutant::SentUnsynced,
        Mutant::WallClock,
        Mutant::NeverLeaves,
        Mutant::NoLockDelay,
        Mutant::LostDiskVotes,
        Mutant::ExpiryForgets,
        Mutant::BelievesReleased,
        Mutant::GrantBelieved,
        Mutant::RemovedStops,
    ];
}

#[cfg(feature = "mutants")]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}

/// Activates one mutant for the current thread, or none.
#[cfg(feature = "mutants")]
pub fn set_active(mutant: Option<Mutant>) {
    ACTIVE.with(|active| active.set(mutant));
}

/// Whether the mutant is active on the current thread.
#[cfg(feature = "mutants")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.with(|active| active.get() == Some(mutant))
}

/// Always `false` without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}

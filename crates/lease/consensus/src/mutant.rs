//! Wrong versions of the parts that the promises rest on. The laboratory turns them on, one at a time, to
//! see that its checker catches them; without the feature `mutants` none of them is in the program.

/// One wrong version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// The check of an effect takes any token.
    TokenUnchecked,
    /// A holder counts its time from the answer, not from when its renewal left.
    CountedFromAnswer,
    /// A voter's messages leave before its records are lasting.
    SentUnsynced,
    /// Voters count time on a clock that is set by hand.
    WallClock,
    /// A client stays with a voter that cannot serve it.
    NeverLeaves,
    /// A lease whose holder vanished goes on at once.
    NoLockDelay,
    /// A voter that lost its disk, or has an older copy, votes.
    LostDiskVotes,
    /// A session that expires leaves its leases behind.
    ExpiryForgets,
    /// A released lease is believed in again when an older list arrives.
    BelievesReleased,
    /// A granted wish is believed in without a renewal.
    GrantBelieved,
    /// A voter that was removed falls silent before the others know that it was agreed on.
    RemovedStops,
}

impl Mutant {
    /// All of them.
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

/// Turns a mutant on for this thread, or all off.
#[cfg(feature = "mutants")]
pub fn set_active(mutant: Option<Mutant>) {
    ACTIVE.with(|active| active.set(mutant));
}

/// Whether a mutant is on.
#[cfg(feature = "mutants")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.with(|active| active.get() == Some(mutant))
}

/// Whether a mutant is on: none is.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}

//! The membership: who votes, as the voters themselves agreed on. One change at a time; a number is never given
//! twice, so that a voter which forgot what it promised comes back as somebody else.

use crate::VoterId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Most voters.
pub const MOST_VOTERS: usize = 7;

/// What is known of a voter that was added. Those of the fleet's beginning stand in its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Where it listens, for all who don't find it in their own file.
    pub address: String,
    /// Its disk's identity: under this number no other is ever heard.
    pub disk: u64,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A voter more.
    Add {
        /// Its number, higher than all before it.
        voter: VoterId,
        /// Where it listens, and its disk.
        place: Place,
    },
    /// A voter less.
    Remove {
        /// Its number.
        voter: VoterId,
    },
}

/// Why a change of the membership was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoChange {
    /// The number was given to another voter before.
    Used {
        /// The lowest that is free.
        free: VoterId,
    },
    /// There are as many voters as there can be.
    Full,
    /// Nobody has this number.
    Unknown,
    /// The last voter stays.
    Last,
    /// Not an address with a port.
    BadAddress,
}

impl fmt::Display for NoChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoChange::Used { free } => {
                write!(f, "the number was given to another voter before; take {free} or higher")
            }
            NoChange::Full => write!(f, "there are {MOST_VOTERS} voters already; remove one first"),
            NoChange::Unknown => write!(f, "no voter has this number"),
            NoChange::Last => write!(f, "it is the last voter"),
            NoChange::BadAddress => write!(f, "the address should be address:port"),
        }
    }
}

/// Who votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<VoterId, Option<Place>>,
    highest: VoterId,
}

impl Membership {
    /// The membership that a fleet begins with. An empty one is that of a voter which waits to be added.
    pub fn founded(voters: &[VoterId]) -> Membership {
        let highest = voters.iter().copied().max().unwrap_or(0);
        Membership { voters: voters.iter().map(|v| (*v, None)).collect(), highest }
    }

    /// The voters' numbers.
    pub fn voters(&self) -> Vec<VoterId> {
        self.voters.keys().copied().collect()
    }

    /// The voters, with the place of each that was added.
    pub fn places(&self) -> &BTreeMap<VoterId, Option<Place>> {
        &self.voters
    }

    /// Whether this is a voter.
    pub fn has(&self, voter: VoterId) -> bool {
        self.voters.contains_key(&voter)
    }

    /// Whether this was a voter and is none any more.
    pub fn removed(&self, voter: VoterId) -> bool {
        voter <= self.highest && !self.has(voter)
    }

    /// Takes in a change. `false` where everything is as the change wants it: it was asked for twice.
    ///
    /// # Errors
    ///
    /// Says why not; nothing has changed then.
    pub fn take(&mut self, change: &Change) -> Result<bool, NoChange> {
        match change {
            Change::Add { voter, place } => match self.voters.get(voter) {
                Some(Some(known)) if known == place => Ok(false),
                // Guards against a voter that lost its disk and comes back under the number that it voted with.
                _ if *voter <= self.highest => Err(NoChange::Used { free: self.highest + 1 }),
                _ if self.voters.len() >= MOST_VOTERS => Err(NoChange::Full),
                _ if place.address.parse::<SocketAddr>().is_err() => Err(NoChange::BadAddress),
                _ => {
                    self.voters.insert(*voter, Some(place.clone()));
                    self.highest = *voter;
                    Ok(true)
                }
            },
            Change::Remove { voter } if self.removed(*voter) => Ok(false),
            Change::Remove { voter } if !self.has(*voter) => Err(NoChange::Unknown),
            Change::Remove { .. } if self.voters.len() == 1 => Err(NoChange::Last),
            Change::Remove { voter } => {
                self.voters.remove(voter);
                Ok(true)
            }
        }
    }
}

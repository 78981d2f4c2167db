//! The membership: who votes, as the voters themselves agreed on. One change at a time; a number is never given
//! twice, so that a voter which forgot what it promised comes back as somebody else.

use crate::VoterId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Most voters.
pub const MAX_VOTERS: usize = 7;

/// What is known of a voter that was added. Those of the fleet's beginning stand in its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Where it listens, for all who don't find it in their own file.
    pub address: String,
    /// Its disk's identity: under this number no other is ever heard.
    pub disk_id: u64,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// A voter more.
    Add {
        /// Its number, higher than all before it.
        voter: VoterId,
        /// Where it listens, and its disk.
        info: VoterInfo,
    },
    /// A voter less.
    Remove {
        /// Its number.
        voter: VoterId,
    },
}

/// Why a change of the membership was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipError {
    /// The number was given to another voter before.
    IdUsed {
        /// The lowest that is free.
        next_free: VoterId,
    },
    /// There are as many voters as there can be.
    TooManyVoters,
    /// Nobody has this number.
    UnknownVoter,
    /// The last voter stays.
    LastVoter,
    /// Not an address with a port.
    InvalidAddress,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipError::IdUsed { next_free } => {
                write!(f, "the number was given to another voter before; take {next_free} or higher")
            }
            MembershipError::TooManyVoters => {
                write!(f, "there are {MAX_VOTERS} voters already; remove one first")
            }
            MembershipError::UnknownVoter => write!(f, "no voter has this number"),
            MembershipError::LastVoter => write!(f, "it is the last voter"),
            MembershipError::InvalidAddress => write!(f, "the address should be address:port"),
        }
    }
}

/// Who votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<VoterId, Option<VoterInfo>>,
    highest: VoterId,
}

impl Membership {
    /// The membership that a fleet begins with. An empty one is that of a voter which waits to be added.
    pub fn initial(voters: &[VoterId]) -> Membership {
        let highest = voters.iter().copied().max().unwrap_or(0);
        Membership { voters: voters.iter().map(|v| (*v, None)).collect(), highest }
    }

    /// The voters' numbers.
    pub fn voter_ids(&self) -> Vec<VoterId> {
        self.voters.keys().copied().collect()
    }

    /// The voters, with the place of each that was added.
    pub fn members(&self) -> &BTreeMap<VoterId, Option<VoterInfo>> {
        &self.voters
    }

    /// Whether this is a voter.
    pub fn contains(&self, voter: VoterId) -> bool {
        self.voters.contains_key(&voter)
    }

    /// Whether this was a voter and is none any more.
    pub fn was_removed(&self, voter: VoterId) -> bool {
        voter <= self.highest && !self.contains(voter)
    }

    /// Takes in a change. `false` where everything is as the change wants it: it was asked for twice.
    ///
    /// # Errors
    ///
    /// Says why not; nothing has changed then.
    pub fn apply(&mut self, change: &MembershipChange) -> Result<bool, MembershipError> {
        match change {
            MembershipChange::Add { voter, info } => match self.voters.get(voter) {
                Some(Some(known)) if known == info => Ok(false),
                // Guards against a voter that lost its disk and comes back under the number that it voted with.
                _ if *voter <= self.highest => Err(MembershipError::IdUsed { next_free: self.highest + 1 }),
                _ if self.voters.len() >= MAX_VOTERS => Err(MembershipError::TooManyVoters),
                _ if info.address.parse::<SocketAddr>().is_err() => Err(MembershipError::InvalidAddress),
                _ => {
                    self.voters.insert(*voter, Some(info.clone()));
                    self.highest = *voter;
                    Ok(true)
                }
            },
            MembershipChange::Remove { voter } if self.was_removed(*voter) => Ok(false),
            MembershipChange::Remove { voter } if !self.contains(*voter) => {
                Err(MembershipError::UnknownVoter)
            }
            MembershipChange::Remove { .. } if self.voters.len() == 1 => Err(MembershipError::LastVoter),
            MembershipChange::Remove { voter } => {
                self.voters.remove(voter);
                Ok(true)
            }
        }
    }
}

//! The replicated list of voters. It changes by one voter at a time, and a voter number is never reused: a
//! voter that lost its disk, and with it the votes it has cast, can only return under a new number.

use crate::VoterId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// Details of a voter that was added to a running fleet. Founding voters have none; their addresses are in
/// the configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Address on which the voter listens, for processes whose configuration file does not list it.
    pub address: String,
    /// Identity of the voter's disk. No other disk is accepted under this voter number.
    pub disk_id: u64,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a voter.
    Add {
        /// Number of the new voter; must be higher than all numbers used before.
        voter: VoterId,
        /// Address and disk of the new voter.
        info: VoterInfo,
    },
    /// Removes a voter.
    Remove {
        /// Number of the voter to remove.
        voter: VoterId,
    },
}

/// Why a membership change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipError {
    /// The number has already been used for another voter.
    IdUsed {
        /// The lowest number that is still available.
        next_free: VoterId,
    },
    /// The fleet already has [`MAX_VOTERS`] voters.
    TooManyVoters,
    /// No voter has this number.
    UnknownVoter,
    /// The last voter cannot be removed.
    LastVoter,
    /// The address is not of the form `address:port`.
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

/// The set of voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<VoterId, Option<VoterInfo>>,
    highest: VoterId,
}

impl Membership {
    /// Creates the membership of a new fleet. A voter that waits to be added starts with an empty one.
    pub fn initial(voters: &[VoterId]) -> Membership {
        let highest = voters.iter().copied().max().unwrap_or(0);
        Membership { voters: voters.iter().map(|v| (*v, None)).collect(), highest }
    }

    /// Returns the numbers of all voters.
    pub fn voter_ids(&self) -> Vec<VoterId> {
        self.voters.keys().copied().collect()
    }

    /// Returns the voters, with details for each one that was added to the running fleet.
    pub fn members(&self) -> &BTreeMap<VoterId, Option<VoterInfo>> {
        &self.voters
    }

    /// Whether the number belongs to a current voter.
    pub fn contains(&self, voter: VoterId) -> bool {
        self.voters.contains_key(&voter)
    }

    /// Whether the number belonged to a voter that has since been removed.
    pub fn was_removed(&self, voter: VoterId) -> bool {
        voter <= self.highest && !self.contains(voter)
    }

    /// Applies a change. Returns `false` if the membership already reflects it, as after a repeated request.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal. The membership is unchanged in that case.
    pub fn apply(&mut self, change: &MembershipChange) -> Result<bool, MembershipError> {
        match change {
            MembershipChange::Add { voter, info } => match self.voters.get(voter) {
                Some(Some(known)) if known == info => Ok(false),
                // A voter that lost its disk must not return under the number it voted with.
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

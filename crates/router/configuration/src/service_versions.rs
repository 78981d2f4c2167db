//! The version in service of each service, which is the version whose endpoints may receive requests.
//!
//! Endpoints of several versions of a service can be registered at the same time, and any of them may be
//! faulty. The version in service is part of the committed state, like the document. Every process, including
//! one that has just started, therefore knows it as soon as it knows any configuration.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The versions in service. Serialized as a map from service name to version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceVersions(BTreeMap<String, String>);

impl ServiceVersions {
    /// Returns whether no version of any service is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the version in service of a service, or `None` if it is not known, in which case endpoints of
    /// any version may receive requests.
    pub fn get(&self, service: &str) -> Option<&str> {
        self.0.get(service).map(String::as_str)
    }

    /// Sets the version in service of a service.
    pub fn set(&mut self, service: &str, version: &str) {
        self.0.insert(service.to_owned(), version.to_owned());
    }
}

impl FromIterator<(String, String)> for ServiceVersions {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(versions: I) -> Self {
        ServiceVersions(versions.into_iter().collect())
    }
}

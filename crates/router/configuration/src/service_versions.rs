//! Which version of each service may get requests.
//!
//! Endpoints of several versions of a service can be registered at the same time, and any of them may be faulty. The version in
//! service is part of the committed state, beside the document, so that every process, also one that has just started, knows it as
//! soon as it knows any configuration.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The versions in service, by the name of the service. Serialised as a map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceVersions(BTreeMap<String, String>);

impl ServiceVersions {
    /// Whether no version is known of any service.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The version of a service; `None` where none is known, and any may get requests.
    pub fn get(&self, service: &str) -> Option<&str> {
        self.0.get(service).map(String::as_str)
    }

    /// Sets the version of a service.
    pub fn set(&mut self, service: &str, version: &str) {
        self.0.insert(service.to_owned(), version.to_owned());
    }
}

impl FromIterator<(String, String)> for ServiceVersions {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(versions: I) -> Self {
        ServiceVersions(versions.into_iter().collect())
    }
}

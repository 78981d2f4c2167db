//! The operators' configuration of the fleet, a JSON document: validation, patches and differences. No I/O.
//!
//! Operators edit the document by hand and with programs. An invalid document must be rejected with all of
//! its errors and their locations.
//!
//! * [`Configuration::read`] walks a document with a path-tracking reader and reports all errors at once,
//!   with their paths.
//! * [`apply_patch`] creates a new document from an old one and a patch that refers to items by name.
//! * [`Difference`] compares two documents and creates the patch that transforms one into the other.
//! * [`DocumentDelta`] is the difference between the texts of two documents, for transfer between processes.
//! * [`ServiceVersions`] and [`Rollouts`] are replicated along with the document: the version of each service
//!   that is in service, and the rollouts of new versions.
//!
//! The control plane stores documents and replicates them; the data plane applies the configuration to
//! requests.

mod delta_chain;
mod difference;
mod document_delta;
mod errors;
mod model;
mod patch;
mod reader;
mod rollouts;
mod same_value;
mod service_versions;
mod validate;

pub use delta_chain::{Delta, DeltaChain};
pub use difference::{Difference, ItemChange, ItemDifference};
pub use document_delta::{DeltaError, DocumentDelta};
pub use errors::{ValidationError, ValidationErrorKind, ValidationErrors};
pub use model::{Backend, Configuration, Limits, Route, RouteType, Service, Tenant, TokenUnit};
pub use patch::apply_patch;
pub use rollouts::{OrderError, Rollout, RolloutOrder, RolloutPhase, Rollouts, ServiceRollouts};
pub use service_versions::ServiceVersions;
pub use validate::{document_has_tenants, parse_document};

//! The operators' configuration of the fleet, a JSON document: validation, patches and differences. No I/O.
//!
//! The problem: operators write and change the document by hand and by program, and a faulty one must be rejected with every
//! error in it and where each stands. [`Configuration::read`] walks a document with a path-tracking reader and reports all
//! errors at once, with their paths. [`apply_patch`] makes a new document from an old one and a patch by name. [`Difference`]
//! compares two documents and makes the patch that leads from one to the other. [`DocumentDelta`] is the difference of two
//! documents' texts, for transfer between processes.
//!
//! Storing a document and agreeing on it is for the control plane; what a configuration means for a request, for the data plane.

mod delta_chain;
mod difference;
mod document_delta;
mod errors;
mod model;
mod patch;
mod reader;
mod rollouts;
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
pub use validate::parse_document;

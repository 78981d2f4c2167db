//! The operators' configuration of the fleet: reading, checking and changing it. No I/O.
//!
//! A configuration is one JSON document. [`Configuration::read`] walks it with a small path reader and names
//! every fault with its place; [`apply_patch`] makes a new document from an old one and a change by name;
//! [`Difference`] tells two documents apart and makes the change that leads from one to the other.

mod difference;
mod model;
mod patch;
mod reader;
mod validate;

pub use difference::{Difference, ItemChange, ItemDifference};
pub use model::{Backend, Configuration, Limits, Route, RouteType, Service, Tenant, TokenUnit};
pub use patch::apply_patch;
pub use reader::{Reader, ValidationError, ValidationErrorKind, ValidationErrors};
pub use validate::parse_document;

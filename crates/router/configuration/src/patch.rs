//! Patches: `upsert` adds items or replaces those of the same name, `remove` removes items by name.
//!
//! A patch works on the JSON document, not on the model, so that fields which this version does not know survive it.

use crate::errors::{ValidationErrorKind, ValidationErrors};
use crate::reader::{ErrorCollector, PathReader};
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// The lists whose items a patch may name, in the order in which they are applied and compared.
pub(crate) const LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// The changes of one list.
struct ListPatch {
    removed: HashSet<String>,
    /// In the order of the patch, which is the order in which new items are appended.
    upserts: Vec<Upsert>,
}

/// An item to add or replace.
struct Upsert {
    name: String,
    item: Value,
}

/// Applies a patch to the document `current`. The result is not validated; see
/// [`Configuration::read`](crate::Configuration::read).
///
/// # Errors
///
/// Returns all errors in the patch itself.
pub fn apply_patch(current: &Value, patch: &Value) -> Result<Value, ValidationErrors> {
    let errors = ErrorCollector::default();
    let root = PathReader::root(patch, &errors);
    root.expect_object();
    let generation = root.field("generation").unsigned();
    let mut document = current.as_object().cloned().unwrap_or_default();
    document.insert("generation".to_owned(), Value::from(generation));
    for list in LISTS {
        let list_patch = read_list_patch(&root, patch, list);
        apply_list_patch(&mut document, list, list_patch);
    }
    if let Some(limits) = patched_limits(patch) {
        document.insert("limits".to_owned(), limits.clone());
    }
    errors.into_result(Value::Object(document))
}

/// Limits have no name; a patch replaces them, in `upsert` or at its root.
fn patched_limits(patch: &Value) -> Option<&Value> {
    let upserted = patch.get("upsert").and_then(|upsert| upsert.get("limits"));
    upserted.or_else(|| patch.get("limits"))
}

fn read_list_patch(root: &PathReader, patch: &Value, list: &str) -> ListPatch {
    let removed = read_removed(&root.field("remove").field(list));
    let items = patch.pointer(&format!("/upsert/{list}")).and_then(Value::as_array);
    let items = items.map(Vec::as_slice).unwrap_or_default();
    let upserts = read_upserts(&root.field("upsert").field(list), items, &removed);
    ListPatch { removed, upserts }
}

fn read_removed(list: &PathReader) -> HashSet<String> {
    list.items().iter().map(PathReader::text).collect()
}

/// Reads the names of the items to add or replace; `items` are the values that `list` reads.
fn read_upserts(list: &PathReader, items: &[Value], removed: &HashSet<String>) -> Vec<Upsert> {
    let mut names = HashSet::new();
    let mut upserts = Vec::new();
    for (reader, item) in list.items().iter().zip(items) {
        let name = reader.field("name").text();
        if !names.insert(name.clone()) {
            reader.report(ValidationErrorKind::DuplicateName(name.clone()));
        }
        if removed.contains(&name) {
            reader.report(ValidationErrorKind::UpsertedAndRemoved(name.clone()));
        }
        upserts.push(Upsert { name, item: item.clone() });
    }
    upserts
}

fn apply_list_patch(document: &mut Map<String, Value>, list: &str, patch: ListPatch) {
    if patch.removed.is_empty() && patch.upserts.is_empty() {
        return;
    }
    let mut items = match document.remove(list) {
        Some(Value::Array(items)) => items,
        _ => Vec::new(),
    };
    items.retain(|item| name_of(item).is_none_or(|name| !patch.removed.contains(name)));
    // Indexed once, so that a patch of many items takes time in proportion to their number.
    let index_by_name: HashMap<String, usize> = items
        .iter()
        .enumerate()
        .filter_map(|(index, item)| Some((name_of(item)?.to_owned(), index)))
        .collect();
    for upsert in patch.upserts {
        match index_by_name.get(&upsert.name) {
            Some(index) => items[*index] = upsert.item,
            None => items.push(upsert.item),
        }
    }
    document.insert(list.to_owned(), Value::Array(items));
}

/// The name of an item, which identifies it within its list.
pub(crate) fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

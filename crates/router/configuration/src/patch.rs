//! Patches of a document: `upsert` adds items or replaces items of the same name, and `remove` removes items
//! by name.
//!
//! A patch is applied to the JSON document rather than the model, so that fields unknown to this version are
//! preserved.

use crate::errors::{ValidationErrorKind, ValidationErrors};
use crate::reader::{ErrorCollector, PathReader};
use crate::validate::TENANTS;
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// Keys of the lists whose items a patch can change, in the order in which they are applied and compared.
pub(crate) const LISTS: [&str; 3] = ["routes", "services", TENANTS];

/// Changes to one list.
struct ListPatch {
    /// Names of the items to remove.
    removed: HashSet<String>,
    /// In the order of the patch, which is the order in which new items are appended.
    upserts: Vec<Upsert>,
}

/// An item to add, or to replace the item of the same name.
struct Upsert {
    name: String,
    item: Value,
}

/// Applies a patch to the document `current`. The result is not validated; use
/// [`Configuration::read`](crate::Configuration::read) for that.
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

/// Returns the limits in a patch. Limits have no name, so a patch replaces all of them, either in `upsert` or
/// at its root.
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

/// Reads the items to add or replace and checks their names. `items` are the JSON values that `list` reads.
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

/// Changes one list of the document. A list that becomes empty stays in the document, and one that is absent stays
/// absent unless items are added: `tenants` without items and no `tenants` at all mean different things.
fn apply_list_patch(document: &mut Map<String, Value>, list: &str, patch: ListPatch) {
    let is_absent = !matches!(document.get(list), Some(Value::Array(_)));
    if patch.upserts.is_empty() && (patch.removed.is_empty() || is_absent) {
        return;
    }
    let mut items = match document.remove(list) {
        Some(Value::Array(items)) => items,
        _ => Vec::new(),
    };
    items.retain(|item| name_of(item).is_none_or(|name| !patch.removed.contains(name)));
    // The index is built once, so that the time to apply a patch is linear in its number of items.
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

/// Returns the name of an item, which identifies it within its list.
pub(crate) fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

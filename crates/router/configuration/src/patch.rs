//! Changes by name: `upsert` adds items or replaces those of the same name, `remove` takes items away.

use crate::reader::{Reader, ValidationError, ValidationErrorKind, ValidationErrors};
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// The lists whose items a change may name.
pub(crate) const LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// Makes the document that follows `current` by a change. The result still has to be checked by
/// [`Configuration::read`](crate::Configuration::read).
///
/// # Errors
///
/// Returns all faults in the change itself.
pub fn apply_patch(current: &Value, change: &Value) -> Result<Value, ValidationErrors> {
    let faults = RefCell::new(Vec::new());
    let root = Reader::root(change, &faults);
    root.expect_object();
    let generation = root.field("generation").whole();
    let mut document = current.as_object().cloned().unwrap_or_default();
    document.insert("generation".to_owned(), Value::from(generation));
    for list in LISTS {
        let removed = read_removed(&root.field("remove").field(list));
        let upserts = read_upserts(&root.field("upsert").field(list), change, list, &removed);
        change_list(&mut document, list, &removed, upserts);
    }
    if let Some(limits) = change.get("upsert").and_then(|u| u.get("limits")).or_else(|| change.get("limits"))
    {
        document.insert("limits".to_owned(), limits.clone());
    }
    let faults: Vec<ValidationError> = faults.into_inner();
    if faults.is_empty() {
        Ok(Value::Object(document))
    } else {
        Err(ValidationErrors(faults))
    }
}

fn read_removed(list: &Reader) -> HashSet<String> {
    list.items().iter().map(Reader::text).collect()
}

/// The items to add or replace, by name and in their order.
fn read_upserts(
    list: &Reader,
    change: &Value,
    name: &str,
    removed: &HashSet<String>,
) -> Vec<(String, Value)> {
    let values = change.pointer(&format!("/upsert/{name}")).and_then(Value::as_array);
    let mut seen = HashSet::new();
    let mut upserts = Vec::new();
    for (item, value) in list.items().iter().zip(values.into_iter().flatten()) {
        let item_name = item.field("name").text();
        if !seen.insert(item_name.clone()) {
            item.fault(ValidationErrorKind::DuplicateName(item_name.clone()));
        }
        if removed.contains(&item_name) {
            item.fault(ValidationErrorKind::ChangedAndRemoved(item_name.clone()));
        }
        upserts.push((item_name, value.clone()));
    }
    upserts
}

fn change_list(
    document: &mut Map<String, Value>,
    list: &str,
    removed: &HashSet<String>,
    upserts: Vec<(String, Value)>,
) {
    if removed.is_empty() && upserts.is_empty() {
        return;
    }
    let mut items = match document.remove(list) {
        Some(Value::Array(items)) => items,
        _ => Vec::new(),
    };
    items.retain(|item| name_of(item).is_none_or(|name| !removed.contains(name)));
    let places: HashMap<String, usize> = items
        .iter()
        .enumerate()
        .filter_map(|(place, item)| Some((name_of(item)?.to_owned(), place)))
        .collect();
    for (name, value) in upserts {
        match places.get(&name) {
            Some(place) => items[*place] = value,
            None => items.push(value),
        }
    }
    document.insert(list.to_owned(), Value::Array(items));
}

pub(crate) fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

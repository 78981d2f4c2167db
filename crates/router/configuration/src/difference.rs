//! The difference between two documents, item by item, and the patch that transforms one into the other.

use crate::patch::{name_of, LISTS};
use crate::same_value::{are_same, has_same_value};
use crate::validate::{has_tenants, TENANTS};
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Kind of difference between two versions of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// The item is only in the new document.
    Added,
    /// The item is only in the old document.
    Removed,
    /// The item is in both documents and differs in the named fields.
    Changed(BTreeSet<String>),
}

/// One item that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemDifference {
    /// Key of the list in the document that contains the item, or `limits`.
    pub list: &'static str,
    /// Name that identifies the item within its list; empty for `limits`, and for the list of tenants itself.
    pub name: String,
    /// Whether the item was added, removed or changed.
    pub change: ItemChange,
}

impl fmt::Display for ItemDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = self.list;
        let name = &self.name;
        let separator = if name.is_empty() { "" } else { " " };
        match &self.change {
            ItemChange::Added => write!(f, "+ {list}{separator}{name}"),
            ItemChange::Removed => write!(f, "- {list}{separator}{name}"),
            ItemChange::Changed(fields) => {
                let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
                write!(f, "~ {list}{separator}{name}: {}", fields.join(", "))
            }
        }
    }
}

/// All items that differ between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The differing items, sorted by list and name, with `limits` last.
    pub items: Vec<ItemDifference>,
    /// Value of `upsert` in the patch: items by list, and `limits`.
    upserts: Map<String, Value>,
    /// Value of `remove` in the patch: item names by list.
    removed: Map<String, Value>,
    is_patchable: bool,
}

impl Difference {
    /// Computes the difference from one complete document to another. Items without a name are ignored.
    pub fn between(from: &Value, to: &Value) -> Self {
        let mut difference =
            Difference { items: Vec::new(), upserts: Map::new(), removed: Map::new(), is_patchable: true };
        for list in LISTS {
            difference.compare_list(list, &items_by_name(from, list), &items_by_name(to, list));
        }
        difference.compare_limits(from.get("limits"), to.get("limits"));
        difference.compare_presence_of_tenants(from, to);
        difference
    }

    /// Returns whether a patch can transform the old document into the new one. A patch can neither remove the list of
    /// tenants nor add an empty one.
    pub fn is_patchable(&self) -> bool {
        self.is_patchable
    }

    /// Returns the patch that transforms the old document into the new one, for
    /// [`apply_patch`](crate::apply_patch).
    pub fn patch(&self, generation: u64) -> Value {
        json!({ "generation": generation, "upsert": self.upserts, "remove": self.removed })
    }

    fn compare_list(
        &mut self,
        list: &'static str,
        from: &BTreeMap<&str, &Value>,
        to: &BTreeMap<&str, &Value>,
    ) {
        let mut upserts = Vec::new();
        let mut removed = Vec::new();
        let names: BTreeSet<&str> = from.keys().chain(to.keys()).copied().collect();
        for name in names {
            let change = match (from.get(name), to.get(name)) {
                (Some(before), Some(after)) if has_same_value(before, after) => continue,
                (Some(before), Some(after)) => ItemChange::Changed(changed_fields(before, after)),
                (Some(_), None) => ItemChange::Removed,
                _ => ItemChange::Added,
            };
            match to.get(name) {
                Some(item) => upserts.push((*item).clone()),
                None => removed.push(Value::from(name)),
            }
            self.items.push(ItemDifference { list, name: name.to_owned(), change });
        }
        if !upserts.is_empty() {
            self.upserts.insert(list.to_owned(), Value::Array(upserts));
        }
        if !removed.is_empty() {
            self.removed.insert(list.to_owned(), Value::Array(removed));
        }
    }

    /// Compares the limits. A patch can replace limits but not remove them, so if the new document has none,
    /// the patch contains an empty object, which means the defaults.
    fn compare_limits(&mut self, from: Option<&Value>, to: Option<&Value>) {
        if are_same(from, to) {
            return;
        }
        let empty = Value::Object(Map::new());
        let before = from.unwrap_or(&empty);
        let after = to.unwrap_or(&empty);
        let change = ItemChange::Changed(changed_fields(before, after));
        self.items.push(ItemDifference { list: "limits", name: String::new(), change });
        self.upserts.insert("limits".to_owned(), after.clone());
    }

    /// Reports a list of tenants that only one of the documents has, since requests need an API key only if there is one.
    fn compare_presence_of_tenants(&mut self, from: &Value, to: &Value) {
        let change = match (has_tenants(from), has_tenants(to)) {
            (false, true) => ItemChange::Added,
            (true, false) => ItemChange::Removed,
            _ => return,
        };
        // Upserted tenants bring their list with them.
        self.is_patchable = self.upserts.contains_key(TENANTS);
        self.items.push(ItemDifference { list: TENANTS, name: String::new(), change });
    }
}

fn items_by_name<'a>(document: &'a Value, list: &str) -> BTreeMap<&'a str, &'a Value> {
    let items = document.get(list).and_then(Value::as_array);
    items.into_iter().flatten().filter_map(|item| Some((name_of(item)?, item))).collect()
}

/// Returns the names of the fields whose values differ, including fields that only one of the two items has.
fn changed_fields(before: &Value, after: &Value) -> BTreeSet<String> {
    let fields = |item: &Value| -> BTreeSet<String> {
        item.as_object().into_iter().flat_map(|fields| fields.keys().cloned()).collect()
    };
    let all_fields = &fields(before) | &fields(after);
    all_fields.into_iter().filter(|field| !are_same(before.get(field), after.get(field))).collect()
}

//! The difference of two documents, item by item, and the patch that leads from one to the other.

use crate::patch::{name_of, LISTS};
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How one item differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// Only the later document has it.
    Added,
    /// Only the earlier document has it.
    Removed,
    /// Both have it, and these of its fields differ.
    Changed(BTreeSet<String>),
}

/// One item that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemDifference {
    /// The list that it belongs to, or `limits`.
    pub list: &'static str,
    /// Its name; empty for `limits`.
    pub name: String,
    /// How it differs.
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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// The items, by list and name; `limits` last.
    pub items: Vec<ItemDifference>,
    /// The `upsert` of the patch: items by list, and `limits`.
    upserts: Map<String, Value>,
    /// The `remove` of the patch: names by list.
    removed: Map<String, Value>,
}

impl Difference {
    /// The difference from one complete document to another. Items without a name are ignored.
    pub fn between(from: &Value, to: &Value) -> Self {
        let mut difference = Difference::default();
        for list in LISTS {
            difference.compare_list(list, &items_by_name(from, list), &items_by_name(to, list));
        }
        difference.compare_limits(from.get("limits"), to.get("limits"));
        difference
    }

    /// The patch that leads from the earlier document to the later, for [`apply_patch`](crate::apply_patch).
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
                (Some(before), Some(after)) if before == after => continue,
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

    /// A patch can replace limits, not remove them: where the later document has none, the patch has empty ones, which stand for
    /// the defaults.
    fn compare_limits(&mut self, from: Option<&Value>, to: Option<&Value>) {
        if from == to {
            return;
        }
        let empty = Value::Object(Map::new());
        let before = from.unwrap_or(&empty);
        let after = to.unwrap_or(&empty);
        let change = ItemChange::Changed(changed_fields(before, after));
        self.items.push(ItemDifference { list: "limits", name: String::new(), change });
        self.upserts.insert("limits".to_owned(), after.clone());
    }
}

fn items_by_name<'a>(document: &'a Value, list: &str) -> BTreeMap<&'a str, &'a Value> {
    let items = document.get(list).and_then(Value::as_array);
    items.into_iter().flatten().filter_map(|item| Some((name_of(item)?, item))).collect()
}

/// The fields of an item whose values differ, those that only one side has included.
fn changed_fields(before: &Value, after: &Value) -> BTreeSet<String> {
    let fields = |item: &Value| -> BTreeSet<String> {
        item.as_object().into_iter().flat_map(|fields| fields.keys().cloned()).collect()
    };
    let all = &fields(before) | &fields(after);
    all.into_iter().filter(|field| before.get(field) != after.get(field)).collect()
}

//! What would change from one document to another, item by item, and the change by name that brings it about.

use crate::patch::{name_of, LISTS};
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What becomes of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// It is new.
    Added,
    /// It goes away.
    Removed,
    /// These of its fields change.
    Changed(BTreeSet<String>),
}

/// One item that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemDifference {
    /// The list it stands in, or `limits`.
    pub list: &'static str,
    /// Its name; empty for `limits`.
    pub name: String,
    /// What becomes of it.
    pub change: ItemChange,
}

impl fmt::Display for ItemDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (list, name) = (self.list, &self.name);
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
    /// The items, list by list and by name.
    pub items: Vec<ItemDifference>,
    upserts: Map<String, Value>,
    removed: Map<String, Value>,
}

impl Difference {
    /// What differs from one whole document to another. Items without a name are passed over.
    pub fn between(from: &Value, to: &Value) -> Self {
        let mut difference = Difference::default();
        for list in LISTS {
            difference.compare_list(list, &by_name(from, list), &by_name(to, list));
        }
        difference.compare_limits(from.get("limits"), to.get("limits"));
        difference
    }

    /// The change that leads from the one document to the other, as [`apply_patch`](crate::apply_patch) takes it.
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

    /// Limits can be replaced by name, not taken away: where the later document has none, the defaults are written out.
    fn compare_limits(&mut self, from: Option<&Value>, to: Option<&Value>) {
        if from == to {
            return;
        }
        let none = Value::Object(Map::new());
        let (before, after) = (from.unwrap_or(&none), to.unwrap_or(&none));
        let change = ItemChange::Changed(changed_fields(before, after));
        self.items.push(ItemDifference { list: "limits", name: String::new(), change });
        self.upserts.insert("limits".to_owned(), after.clone());
    }
}

fn by_name<'a>(document: &'a Value, list: &str) -> BTreeMap<&'a str, &'a Value> {
    let items = document.get(list).and_then(Value::as_array);
    items.into_iter().flatten().filter_map(|item| Some((name_of(item)?, item))).collect()
}

fn changed_fields(before: &Value, after: &Value) -> BTreeSet<String> {
    let fields = |item: &Value| -> BTreeSet<String> {
        item.as_object().into_iter().flat_map(|fields| fields.keys().cloned()).collect()
    };
    let all = &fields(before) | &fields(after);
    all.into_iter().filter(|field| before.get(field) != after.get(field)).collect()
}

//! Differences between two bundles, for people.

use std::fmt;

use lacewingmoor_derive::raw;
use serde_json::Value;

use crate::{Map, RawBundle};

/// One difference between two bundles.
#[raw]
#[derive(Eq)]
pub struct Change {
    /// What differs, with list items by name, such as `services[lanes].slots`.
    pub path: String,
    /// Old value; `None` if it is new.
    pub old: Option<String>,
    /// New value; `None` if it is gone.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists what differs between two bundles.
///
/// # Panics
///
/// Never: raw bundles always encode as JSON.
pub fn diff(old: &RawBundle, new: &RawBundle) -> Vec<Change> {
    let mut changes = Vec::new();
    walk("", &tree(old), &tree(new), &mut changes);
    changes
}

fn tree(bundle: &RawBundle) -> Value {
    serde_json::to_value(bundle).expect("structs without maps always encode as JSON")
}

fn walk(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let added = b.keys().filter(|k| !a.contains_key(*k));
            for field in a.keys().chain(added) {
                let path = match path {
                    "" => field.clone(),
                    _ => format!("{path}.{field}"),
                };
                pair(&path, a.get(field), b.get(field), changes);
            }
        }
        (Value::Array(a), Value::Array(b)) => match (names(a), names(b)) {
            (Some(a), Some(b)) => lists(path, &a, &b, changes),
            _ => pair_shown(path, Some(old), Some(new), changes),
        },
        _ => pair_shown(path, Some(old), Some(new), changes),
    }
}

fn pair(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    match (old, new) {
        (Some(old), Some(new)) => walk(path, old, new, changes),
        _ => pair_shown(path, old, new, changes),
    }
}

fn pair_shown(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    changes.push(Change {
        path: path.to_owned(),
        old: old.map(show),
        new: new.map(show),
    });
}

type Named<'a> = Vec<(&'a str, &'a Value)>;

/// Returns list items with their names, or `None` if they have no names or one is used twice.
fn names(items: &[Value]) -> Option<Named<'_>> {
    let mut seen = crate::Set::default();
    let named = items.iter().map(|item| {
        let name = item.get("name")?.as_str()?;
        seen.insert(name).then_some((name, item))
    });
    named.collect()
}

fn lists(path: &str, old: &Named<'_>, new: &Named<'_>, changes: &mut Vec<Change>) {
    let before: Map<&str, &Value> = old.iter().copied().collect();
    let after: Map<&str, &Value> = new.iter().copied().collect();
    for (name, item) in old {
        let path = format!("{path}[{name}]");
        pair(&path, Some(item), after.get(name).copied(), changes);
    }
    for (name, item) in new.iter().filter(|(name, _)| !before.contains_key(name)) {
        pair_shown(&format!("{path}[{name}]"), None, Some(item), changes);
    }
    let kept_before = old.iter().filter(|(name, _)| after.contains_key(name));
    let kept_after = new.iter().filter(|(name, _)| before.contains_key(name));
    let order = |kept: Vec<&str>| Some(kept.join(" "));
    let old_order = order(kept_before.map(|(name, _)| *name).collect());
    let new_order = order(kept_after.map(|(name, _)| *name).collect());
    if old_order != new_order {
        changes.push(Change {
            path: format!("{path} (order)"),
            old: old_order,
            new: new_order,
        });
    }
}

/// Shows a value on one line, with a list of items by name only.
fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => match names(items) {
            Some(items) if !items.is_empty() => {
                let names: Vec<&str> = items.iter().map(|(name, _)| *name).collect();
                format!("[{}]", names.join(", "))
            }
            _ => format!(
                "[{}]",
                items.iter().map(show).collect::<Vec<_>>().join(", ")
            ),
        },
        Value::Object(fields) => {
            let fields = fields.iter().filter(|(field, _)| *field != "name");
            let fields: Vec<String> = fields
                .map(|(field, value)| match value {
                    Value::Object(_) => format!("{field}=({})", show(value)),
                    _ => format!("{field}={}", show(value)),
                })
                .collect();
            fields.join(" ")
        }
        _ => value.to_string(),
    }
}

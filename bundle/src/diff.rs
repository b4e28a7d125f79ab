//! Compares two bundles and lists the differences in readable form.

use std::fmt;

use lacewingmoor_derive::raw;
use serde_json::Value;

use crate::{KeyDigest, Map, RawBundle};

/// One difference between two bundles.
#[raw]
#[derive(Eq)]
pub struct Difference {
    /// Path of the value that differs, with list items identified by name, such as
    /// `services[lanes].connections_max`.
    pub path: String,
    /// Old value; `None` if the value was added.
    pub old: Option<String>,
    /// New value; `None` if the value was removed.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the differences between two bundles.
///
/// # Panics
///
/// Never: a raw bundle can always be serialized to JSON.
pub fn diff(old: &RawBundle, new: &RawBundle) -> Vec<Difference> {
    let mut changes = Vec::new();
    diff_values("", &to_json(old), &to_json(new), &mut changes);
    changes
}

fn to_json(bundle: &RawBundle) -> Value {
    serde_json::to_value(bundle).expect("structs without maps can always be serialized to JSON")
}

fn diff_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<Difference>) {
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
                diff_optional(&path, a.get(field), b.get(field), changes);
            }
        }
        (Value::Array(a), Value::Array(b)) => match (named_items(a), named_items(b)) {
            (Some(a), Some(b)) => diff_named_lists(path, &a, &b, changes),
            _ => push_change(path, Some(old), Some(new), changes),
        },
        _ => push_change(path, Some(old), Some(new), changes),
    }
}

fn diff_optional(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Difference>,
) {
    match (old, new) {
        (Some(old), Some(new)) => diff_values(path, old, new, changes),
        _ => push_change(path, old, new, changes),
    }
}

fn push_change(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Difference>,
) {
    changes.push(Difference {
        path: path.to_owned(),
        old: old.map(format_value),
        new: new.map(format_value),
    });
}

type NamedItems<'a> = Vec<(&'a str, &'a Value)>;

/// Returns list items with their names, or `None` if an item has no name or a name is used twice.
fn named_items(items: &[Value]) -> Option<NamedItems<'_>> {
    let mut seen = crate::Set::default();
    let named = items.iter().map(|item| {
        let name = item.get("name")?.as_str()?;
        seen.insert(name).then_some((name, item))
    });
    named.collect()
}

fn diff_named_lists(
    path: &str,
    old: &NamedItems<'_>,
    new: &NamedItems<'_>,
    changes: &mut Vec<Difference>,
) {
    let before: Map<&str, &Value> = old.iter().copied().collect();
    let after: Map<&str, &Value> = new.iter().copied().collect();
    for (name, item) in old {
        let path = format!("{path}[{name}]");
        diff_optional(&path, Some(item), after.get(name).copied(), changes);
    }
    for (name, item) in new.iter().filter(|(name, _)| !before.contains_key(name)) {
        push_change(&format!("{path}[{name}]"), None, Some(item), changes);
    }
    let kept_before = old.iter().filter(|(name, _)| after.contains_key(name));
    let kept_after = new.iter().filter(|(name, _)| before.contains_key(name));
    let order = |kept: Vec<&str>| Some(kept.join(" "));
    let old_order = order(kept_before.map(|(name, _)| *name).collect());
    let new_order = order(kept_after.map(|(name, _)| *name).collect());
    if old_order != new_order {
        changes.push(Difference {
            path: format!("{path} (order)"),
            old: old_order,
            new: new_order,
        });
    }
}

/// Formats a value on one line; lists of named items show only the names, digests of keys only their
/// fingerprints.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => match KeyDigest::try_from(text.as_str()) {
            Ok(digest) => format!("key {}", digest.fingerprint()),
            Err(_) => text.clone(),
        },
        Value::Array(items) => match named_items(items) {
            Some(items) if !items.is_empty() => {
                let names: Vec<&str> = items.iter().map(|(name, _)| *name).collect();
                format!("[{}]", names.join(", "))
            }
            _ => format!(
                "[{}]",
                items
                    .iter()
                    .map(format_value)
                    .collect::<Vec<_>>()
                    .join(", ")
            ),
        },
        Value::Object(fields) => {
            let fields = fields.iter().filter(|(field, _)| *field != "name");
            let fields: Vec<String> = fields
                .map(|(field, value)| match value {
                    Value::Object(_) => format!("{field}=({})", format_value(value)),
                    _ => format!("{field}={}", format_value(value)),
                })
                .collect();
            fields.join(" ")
        }
        _ => value.to_string(),
    }
}

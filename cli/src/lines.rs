//! Log lines of entries: key=value pairs.

use std::collections::BTreeMap;

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time of day in milliseconds.
    pub time_ms: u64,
    /// The line as it was written.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    /// Reads a line; `None` if it is not one of an entry. What stands before the time is left out.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let text = text[start..].trim_end();
        let fields = pairs(text);
        Some(Self {
            time_ms: fields.get("time_ms")?.parse().ok()?,
            text: text.to_owned(),
            fields,
        })
    }

    /// Returns the value of a key, empty if it is missing.
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns the numeric value of a key, 0 if it is missing or not a number.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }
}

fn pairs(text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
            None => match after.split_once(' ') {
                Some((value, after)) => (value.to_owned(), after),
                None => (after.to_owned(), ""),
            },
        };
        pairs.insert(key.trim().to_owned(), value);
        rest = after.trim_start();
    }
    pairs
}

/// Reads up to the closing quote and returns what follows it.
fn quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return (value, &text[i + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}

//! Parser for log lines of entries, which consist of `key=value` fields.

use std::collections::BTreeMap;

/// A log line of an entry.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// Text of the line, without a prefix before the time.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it has no valid `time_ms` field and so is not a log line of
    /// an entry. Text before that field is dropped.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let text = text[start..].trim_end();
        let fields = parse_fields(text);
        Some(Self {
            time_ms: fields.get("time_ms")?.parse().ok()?,
            text: text.to_owned(),
            fields,
        })
    }

    /// Returns the value of a field, or an empty string if it is missing.
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns the numeric value of a field, or 0 if it is missing or not an unsigned integer.
    pub fn get_u64(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }
}

fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, remainder)) = rest.split_once('=') {
        let (value, remainder) = match remainder.strip_prefix('"') {
            Some(quoted) => parse_quoted(quoted),
            None => match remainder.split_once(' ') {
                Some((value, remainder)) => (value.to_owned(), remainder),
                None => (remainder.to_owned(), ""),
            },
        };
        fields.insert(key.trim().to_owned(), value);
        rest = remainder.trim_start();
    }
    fields
}

/// Parses a value whose opening quote was removed. Returns the value and the text after the closing
/// quote. Only `\"` and `\\` are decoded; of other escapes the backslash is dropped.
fn parse_quoted(text: &str) -> (String, &str) {
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

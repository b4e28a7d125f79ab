//! Reads the YAML form and turns the parser's errors into faults.

use serde::de::DeserializeOwned;
use serde_yaml_ng::Value;

use crate::{Error, Fault, RawBundle, RawLimits, RawRoute, RawService};

/// Longest document that is parsed; bounds the parser's time and memory.
const DOCUMENT_BYTES_MAX: usize = 16 << 20;

/// Most brackets that may be open at a time. A bundle needs three; the time that the parser takes
/// grows with the square of the depth.
const OPEN_BRACKETS_MAX: usize = 500;

impl RawBundle {
    /// Reads a bundle document without checking it beyond its form.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the text is not YAML of a bundle's form.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        if text.len() > DOCUMENT_BYTES_MAX {
            let message = format!(
                "{} bytes are too many; a bundle document has at most {DOCUMENT_BYTES_MAX}",
                text.len()
            );
            return Err(Error::Invalid(vec![Fault::new("", message)]));
        }
        if open_brackets(text) > OPEN_BRACKETS_MAX {
            let message = format!("more than {OPEN_BRACKETS_MAX} brackets are open; close them");
            return Err(Error::Invalid(vec![Fault::new("", message)]));
        }
        serde_yaml_ng::from_str(text).map_err(|e| Error::Invalid(all(text, fault(&e))))
    }
}

/// Returns the largest number of brackets open at a time. Brackets in strings and comments count,
/// which only matters for documents with hundreds of them.
fn open_brackets(text: &str) -> usize {
    let (mut open, mut most) = (0_usize, 0);
    for byte in text.bytes() {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            _ => {}
        }
        most = most.max(open);
    }
    most
}

/// Takes path, line and column out of a parser's message, such as
/// ``routes[1]: unknown field `hege` at line 9 column 5``.
fn fault(error: &serde_yaml_ng::Error) -> Fault {
    let text = error.to_string();
    let location = error.location();
    let text = match &location {
        Some(at) => {
            let suffix = format!(" at line {} column {}", at.line(), at.column());
            text.strip_suffix(&suffix).unwrap_or(&text).to_owned()
        }
        None => text,
    };
    let (path, message) = match text.split_once(": ") {
        Some((path, message)) if is_path(path) => (path, message),
        _ => ("", text.as_str()),
    };
    Fault {
        path: path.to_owned(),
        message: message.to_owned(),
        line: location.as_ref().map(serde_yaml_ng::Location::line),
        column: location.as_ref().map(serde_yaml_ng::Location::column),
    }
}

fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"_.[]".contains(&b))
}

/// Finds further faults of form, because the parser stops at the first one. These have no line.
fn all(text: &str, first: Fault) -> Vec<Fault> {
    let mut faults = vec![first];
    let Ok(Value::Mapping(document)) = serde_yaml_ng::from_str(text) else {
        return faults;
    };
    let mut more = Vec::new();
    items::<RawService>(&document, "services", &mut more);
    items::<RawRoute>(&document, "routes", &mut more);
    if let Some(limits) = document.get("limits") {
        item::<RawLimits>(limits, "limits".into(), &mut more);
    }
    let known =
        |f: &Fault| f.message == faults[0].message && faults[0].path.starts_with(f.path.as_str());
    if let Some(i) = more.iter().position(known) {
        more.remove(i);
    }
    faults.extend(more);
    faults
}

fn items<T: DeserializeOwned>(
    document: &serde_yaml_ng::Mapping,
    field: &str,
    faults: &mut Vec<Fault>,
) {
    if let Some(Value::Sequence(values)) = document.get(field) {
        for (i, value) in values.iter().enumerate() {
            item::<T>(value, format!("{field}[{i}]"), faults);
        }
    }
}

fn item<T: DeserializeOwned>(value: &Value, path: String, faults: &mut Vec<Fault>) {
    if let Err(e) = serde_yaml_ng::from_value::<T>(value.clone()) {
        let inner = fault(&e);
        let path = match inner.path.as_str() {
            "" => path,
            rest => format!("{path}.{rest}"),
        };
        faults.push(Fault::new(path, inner.message));
    }
}

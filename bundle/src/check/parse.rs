//! Parses YAML and converts the parser's errors to validation errors.

use std::borrow::Cow;

use serde::de::DeserializeOwned;
use serde_yaml_ng::Value;

use crate::{Error, RawBundle, RawLimits, RawRoute, RawService, RawWorkspace, ValidationError};

/// Maximum document size; bounds the time and memory that the parser takes.
const DOCUMENT_BYTES_MAX: usize = 16 << 20;

/// Maximum nesting depth of brackets. A bundle written wholly with brackets nests five deep; the
/// time that the parser takes grows with the square of the depth.
const NESTING_DEPTH_MAX: usize = 500;

/// Field of a bundle that has the keys.
const WORKSPACES_FIELD: &str = "workspaces";

impl RawBundle {
    /// Parses a bundle document. Checks field names and types, but not the values.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the text is not YAML or its fields do not match those of a bundle.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        if text.len() > DOCUMENT_BYTES_MAX {
            let message = format!(
                "document has {} bytes; the maximum is {DOCUMENT_BYTES_MAX}",
                text.len()
            );
            return Err(Error::Invalid(vec![ValidationError::new("", message)]));
        }
        if max_nesting_depth(text) > NESTING_DEPTH_MAX {
            let message = format!("brackets are nested more than {NESTING_DEPTH_MAX} deep");
            return Err(Error::Invalid(vec![ValidationError::new("", message)]));
        }
        serde_yaml_ng::from_str(text)
            .map_err(|e| Error::Invalid(collect_errors(text, to_validation_error(&e))))
    }
}

/// Returns the greatest nesting depth of brackets. Also counts brackets in strings and comments,
/// which only matters for documents with hundreds of them.
fn max_nesting_depth(text: &str) -> usize {
    let (mut depth, mut max) = (0_usize, 0);
    for byte in text.bytes() {
        match byte {
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max = max.max(depth);
    }
    max
}

/// Extracts path, line and column from a parser's message, such as
/// ``routes[1]: unknown field `prio` at line 9 column 5``.
fn to_validation_error(error: &serde_yaml_ng::Error) -> ValidationError {
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
    ValidationError {
        path: path.to_owned(),
        message: without_value(path, message).into_owned(),
        line: location.as_ref().map(serde_yaml_ng::Location::line),
        column: location.as_ref().map(serde_yaml_ng::Location::column),
    }
}

/// Removes the value that a message about a workspace, or about the whole document, quotes. It may be a
/// key that is written in the wrong place.
fn without_value<'a>(path: &str, message: &'a str) -> Cow<'a, str> {
    let may_quote = message.starts_with("invalid ") || message.starts_with("unknown ");
    if !may_quote || !(path.is_empty() || path.starts_with(WORKSPACES_FIELD)) {
        return message.into();
    }
    match message.rsplit_once(", expected ") {
        Some((_, expected)) => format!("wrong field or value, expected {expected}").into(),
        None => "wrong field or value".into(),
    }
}

fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"_.[]".contains(&b))
}

/// Returns `first` and further errors, found by parsing each item on its own, because the parser
/// stops at the first error. The further errors have no line.
fn collect_errors(text: &str, first: ValidationError) -> Vec<ValidationError> {
    let mut errors = vec![first];
    let Ok(Value::Mapping(document)) = serde_yaml_ng::from_str(text) else {
        return errors;
    };
    let mut more = Vec::new();
    check_items::<RawService>(&document, "services", &mut more);
    check_items::<RawRoute>(&document, "routes", &mut more);
    check_items::<RawWorkspace>(&document, WORKSPACES_FIELD, &mut more);
    if let Some(limits) = document.get("limits") {
        check_item::<RawLimits>(limits, "limits".into(), &mut more);
    }
    let duplicates_first = |error: &ValidationError| {
        error.message == errors[0].message && errors[0].path.starts_with(error.path.as_str())
    };
    if let Some(i) = more.iter().position(duplicates_first) {
        more.remove(i);
    }
    errors.extend(more);
    errors
}

fn check_items<T: DeserializeOwned>(
    document: &serde_yaml_ng::Mapping,
    field: &str,
    errors: &mut Vec<ValidationError>,
) {
    if let Some(Value::Sequence(values)) = document.get(field) {
        for (i, value) in values.iter().enumerate() {
            check_item::<T>(value, format!("{field}[{i}]"), errors);
        }
    }
}

fn check_item<T: DeserializeOwned>(value: &Value, path: String, errors: &mut Vec<ValidationError>) {
    if let Err(e) = serde_yaml_ng::from_value::<T>(value.clone()) {
        let inner = to_validation_error(&e);
        let path = match inner.path.as_str() {
            "" => path,
            rest => format!("{path}.{rest}"),
        };
        let message = without_value(&path, &inner.message).into_owned();
        errors.push(ValidationError::new(path, message));
    }
}

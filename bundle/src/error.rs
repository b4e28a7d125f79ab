//! Errors of parsing and validating bundles.

use std::fmt;

use lacewingmoor_derive::value;
use quick_error::quick_error;

/// One error in a bundle document.
#[value]
#[derive(Eq)]
pub struct ValidationError {
    /// Path of the invalid field, such as `routes[2].destinations[0].service`; empty for the whole
    /// document.
    pub path: String,
    /// What is invalid and how to correct it.
    pub message: String,
    /// Line, counted from 1; `None` if the parser does not report one.
    pub line: Option<usize>,
    /// Column, counted from 1; `None` if the parser does not report one.
    pub column: Option<usize>,
}

impl ValidationError {
    /// Returns an error without line and column.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            line: None,
            column: None,
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "line {line} column {column}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// Formats one error per line.
fn join_lines(errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ValidationError::to_string).collect();
    lines.join("\n")
}

quick_error! {
    /// Reason why a bundle was rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The document is not a valid bundle; all errors found.
        Invalid(errors: Vec<ValidationError>) {
            display("{}", join_lines(errors))
        }
    }
}

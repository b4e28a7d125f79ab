//! Errors of reading and checking bundles.

use std::fmt;

use lacewingmoor_derive::value;
use quick_error::quick_error;

/// One thing wrong with a bundle document.
#[value]
#[derive(Eq)]
pub struct Fault {
    /// Where in the document, such as `routes[2].destinations[0].service`; empty for the whole
    /// document.
    pub path: String,
    /// What is wrong and what to do about it.
    pub message: String,
    /// Line from 1, if the parser knows it.
    pub line: Option<usize>,
    /// Column from 1, if the parser knows it.
    pub column: Option<usize>,
}

impl fmt::Display for Fault {
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

/// Writes one fault a line.
fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

quick_error! {
    /// Why a bundle was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The document is not a valid bundle; all faults found.
        Invalid(faults: Vec<Fault>) {
            display("{}", lines(faults))
        }
    }
}

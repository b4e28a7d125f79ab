//! Errors of reading, checking, signing and assembling bundles.

use std::fmt;

use lacewingmoor_derive::value;
use quick_error::quick_error;

/// One thing wrong with a bundle document.
#[value]
#[derive(Eq)]
pub struct Fault {
    /// Where in the document, such as `services[2].targets[0].addr`; empty for the whole document.
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
    /// Why a bundle, manifest, part or key was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The document is not a valid bundle; all faults found.
        Invalid(faults: Vec<Fault>) {
            display("{}", lines(faults))
        }
        /// A manifest cannot be decoded.
        Manifest(why: String) {
            display("manifest: {why}")
        }
        /// No operator key has the id that the manifest was signed with.
        UnknownKey(key_id: String) {
            display("manifest signature: key {key_id} is not an operator key; sign with a key \
                     whose public half is in operator_keys")
        }
        /// The signature does not fit manifest and key.
        BadSignature(key_id: String) {
            display("manifest signature: not made by key {key_id}, or the manifest was changed \
                     after signing; sign the bundle again")
        }
        /// A key cannot be read.
        Key(why: String) {
            display("key: {why}")
        }
        /// A part named by the manifest is not there.
        PartMissing(name: String) {
            display("part {name}: missing")
        }
        /// The bytes of a part do not have the digest that the manifest names.
        PartDigest(expected: String, found: String) {
            display("part {expected}: its content has digest {found}")
        }
        /// A part has the right digest but cannot be decoded.
        PartContent(name: String, why: String) {
            display("part {name}: {why}")
        }
    }
}

//! The error of every command and the exit codes.

use std::io;
use std::path::{Path, PathBuf};

use lacewingmoor_bundle::{Change, Error as BundleError, Version};
use lacewingmoor_derive::{raw, tag};
use quick_error::quick_error;
use serde_json::{Value, json};

/// Exit codes, documented in the usage text.
#[tag]
pub enum Exit {
    /// Everything asked for was done.
    Ok = 0,
    /// A check failed, or the version is not in force on every node.
    Failed = 1,
    /// The command line or a file on it cannot be used.
    Usage = 2,
    /// Another version was accepted instead.
    LostRace = 3,
    /// The version may have been accepted or not.
    Unknown = 4,
    /// The store did not answer; nothing was accepted.
    StoreUnreachable = 5,
}

/// The version that was accepted instead of the operator's.
#[raw]
pub struct Winner {
    /// Version in the store.
    pub version: Version,
    /// Digest of its manifest in hexadecimal.
    pub digest: String,
    /// Id of the key that signed it.
    pub key_id: String,
    /// What differs from the winner to the operator's bundle; `None` if the winner's parts could
    /// not be read.
    pub changes: Option<Vec<Change>>,
}

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// Arguments that cannot be used.
        Usage(why: String) {
            display("{why}")
        }
        /// A file that cannot be read or written.
        File(step: &'static str, path: PathBuf, cause: io::Error) {
            display("{step} {}: {cause}", path.display())
            source(cause)
            context(at: (&'static str, &'a Path), cause: io::Error)
                -> (at.0, at.1.to_owned(), cause)
        }
        /// A file whose content is not of the expected form.
        Format(step: &'static str, path: PathBuf, why: String) {
            display("{step} {}: {why}", path.display())
            context(at: (&'static str, &'a Path), cause: serde_json::Error)
                -> (at.0, at.1.to_owned(), cause.to_string())
            context(at: (&'static str, &'a Path), cause: serde_yaml_ng::Error)
                -> (at.0, at.1.to_owned(), cause.to_string())
        }
        /// A bundle, manifest, part or key that failed a check.
        Bundle(step: &'static str, peer: String, cause: BundleError) {
            display("{step} {peer}:\n{cause}")
            source(cause)
            context(at: (&'static str, &'a Path), cause: BundleError)
                -> (at.0, at.1.display().to_string(), cause)
            context(at: (&'static str, &'a str), cause: BundleError)
                -> (at.0, at.1.to_owned(), cause)
        }
        /// An entry that gave no usable answer.
        Node(step: &'static str, peer: String, why: String) {
            display("{step} from {peer}: {why}")
        }
        /// The store gave no usable answer. Whether a write took effect is told by `Unknown`.
        Store(step: &'static str, peer: String, why: String) {
            display("{step}, store {peer}: {why}")
        }
        /// Another version was accepted.
        LostRace(peer: String, ours: Version, winner: Box<Winner>) {
            display("{}", lost(peer, *ours, winner))
        }
        /// Another version was accepted, but it could not be read.
        LostUnread(peer: String, why: String) {
            display("write manifest, store {peer}: another version was accepted first and could \
                     not be read: {why}; run diff --store and sign a greater version")
        }
        /// The write's answer was lost and its outcome could not be found out.
        Unknown(peer: String, why: String) {
            display("write manifest, store {peer}: outcome unknown: {why}; run the same rollout \
                     again, which is safe: it finds out whether this version was accepted")
        }
    }
}

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File(..) | Self::Format(..) => Exit::Usage,
            Self::Bundle(..) | Self::Node(..) => Exit::Failed,
            Self::LostRace(..) | Self::LostUnread(..) => Exit::LostRace,
            Self::Unknown(..) => Exit::Unknown,
            Self::Store(..) => Exit::StoreUnreachable,
        }
    }

    /// Returns the JSON form: message, exit code and details.
    pub fn json(&self) -> Value {
        let mut value = json!({ "error": self.to_string(), "exit": self.exit() as u8 });
        match self {
            Self::LostRace(_, _, winner) => value["winner"] = json!(winner),
            Self::Bundle(_, _, BundleError::Invalid(faults)) => {
                let faults = faults.iter().map(|f| {
                    json!({
                        "path": f.path, "message": f.message, "line": f.line, "column": f.column,
                    })
                });
                value["faults"] = faults.collect();
            }
            _ => {}
        }
        value
    }
}

fn lost(peer: &str, ours: Version, winner: &Winner) -> String {
    let mut text = format!(
        "write manifest, store {peer}: version {} signed by key {} (digest {}) was accepted \
         instead of version {ours}",
        winner.version, winner.key_id, winner.digest
    );
    match &winner.changes {
        None => text.push_str("\nits parts could not be read, run diff --store to compare"),
        Some(changes) => {
            text.push_str("\nfrom the accepted version to yours:");
            for change in changes {
                text.push_str(&format!("\n  {change}"));
            }
        }
    }
    let next = winner.version.max(ours) + 1;
    text.push_str(&format!(
        "\nmerge the two, then sign version {next} or greater"
    ));
    text
}

//! The error of every command and the exit codes.

use std::io;
use std::path::{Path, PathBuf};

use lacewingmoor_bundle::Error as BundleError;
use lacewingmoor_derive::copy_value;
use quick_error::quick_error;
use serde_json::{Value, json};

/// Exit codes, documented in the usage text.
#[copy_value]
pub enum Exit {
    /// Everything asked for was done.
    Ok = 0,
    /// A check failed, entries differ, or the request was not found.
    Failed = 1,
    /// The command line or a file on it cannot be used.
    Usage = 2,
}

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// Arguments that cannot be used.
        Usage(why: String) {
            display("{why}")
        }
        /// A file that cannot be read.
        File(step: &'static str, path: PathBuf, cause: io::Error) {
            display("{step} {}: {cause}", path.display())
            source(cause)
            context(at: (&'static str, &'a Path), cause: io::Error)
                -> (at.0, at.1.to_owned(), cause)
        }
        /// A bundle that failed a check.
        Bundle(step: &'static str, path: PathBuf, cause: BundleError) {
            display("{step} {}:\n{cause}", path.display())
            source(cause)
            context(at: (&'static str, &'a Path), cause: BundleError)
                -> (at.0, at.1.to_owned(), cause)
        }
    }
}

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File(..) => Exit::Usage,
            Self::Bundle(..) => Exit::Failed,
        }
    }

    /// Returns the JSON form: message and exit code.
    pub fn json(&self) -> Value {
        json!({ "error": self.to_string(), "exit": self.exit() as u8 })
    }
}

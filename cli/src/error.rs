//! Error type and exit codes of the commands.

use std::io;
use std::path::{Path, PathBuf};

use lacewingmoor_bundle::Error as BundleError;
use lacewingmoor_derive::copy_value;
use quick_error::quick_error;
use serde_json::{Value, json};

/// Exit code of the process; the codes are part of the help text.
#[copy_value]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// A check failed, a bundle is invalid, entries differ or do not respond, or the request was not
    /// found.
    Failed = 1,
    /// The command line is invalid, a file cannot be read, or the command cannot be set up.
    Usage = 2,
}

quick_error! {
    /// Reason why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The arguments are invalid, or the command cannot be set up.
        Usage(why: String) {
            display("{why}")
        }
        /// A file could not be read.
        File(action: &'static str, path: PathBuf, cause: io::Error) {
            display("cannot {action} {}: {cause}", path.display())
            source(cause)
            context(at: (&'static str, &'a Path), cause: io::Error)
                -> (at.0, at.1.to_owned(), cause)
        }
        /// A bundle document is invalid.
        Bundle(action: &'static str, path: PathBuf, cause: BundleError) {
            display("cannot {action} {}:\n{cause}", path.display())
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

    /// Returns the error as JSON, with its message and exit code.
    pub fn json(&self) -> Value {
        json!({ "error": self.to_string(), "exit": self.exit() as u8 })
    }
}

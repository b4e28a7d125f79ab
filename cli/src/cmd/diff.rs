//! lacewingmoor diff OLD.yaml NEW.yaml [--json]
//!
//! Lists the differences between two bundle documents.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::{Difference, diff};
use lacewingmoor_derive::raw;

use crate::error::{Error, Exit};
use crate::util::{CommandOutput, read_bundle};

/// List the differences between two bundle documents.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} old.yaml new.yaml"
)]
pub struct Args {
    /// old bundle document
    #[argh(positional)]
    old: PathBuf,

    /// new bundle document
    #[argh(positional)]
    new: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`Error::File`] if a file cannot be read, and [`Error::Bundle`] if one is not a bundle
/// document.
pub fn run(args: &Args) -> Result<CommandOutput, Error> {
    let old = read_bundle("read old bundle", &args.old)?;
    let new = read_bundle("read new bundle", &args.new)?;
    let report = Report {
        changes: diff(&old, &new),
    };
    Ok(CommandOutput::new(&report, Exit::Ok))
}

#[raw]
struct Report {
    changes: Vec<Difference>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return writeln!(f, "no differences");
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

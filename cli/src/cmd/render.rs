//! lacewingmoor render BUNDLE.yaml
//!
//! Validates a bundle document and prints it as JSON in the configuration format of the platform's
//! store.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::Bundle;
use lacewingmoor_platform::config;
use quick_error::ResultExt as _;
use serde::Serialize;

use crate::error::{Error, Exit};
use crate::util::{CommandOutput, read_bundle};

/// Validate a bundle document and print it as JSON in the configuration format of the platform's
/// store.
#[derive(FromArgs)]
#[argh(subcommand, name = "render")]
pub struct Args {
    /// bundle document in YAML
    #[argh(positional)]
    bundle: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read, and [`Error::Bundle`] with all errors if the
/// bundle is invalid.
pub fn run(args: &Args) -> Result<CommandOutput, Error> {
    let raw = read_bundle("render", &args.bundle)?;
    Bundle::from_document(raw.clone()).context(("render", args.bundle.as_path()))?;
    let text = String::from_utf8_lossy(&config::encode(&raw)).into_owned();
    Ok(CommandOutput::new(&RenderedBundle(text), Exit::Ok))
}

#[derive(Serialize)]
struct RenderedBundle(String);

impl fmt::Display for RenderedBundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

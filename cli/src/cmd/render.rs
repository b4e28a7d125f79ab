//! lacewingmoor render BUNDLE.yaml
//!
//! Checks a bundle document and prints it as the configuration that the platform's store takes.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::Bundle;
use lacewingmoor_platform::config;
use quick_error::ResultExt as _;
use serde::Serialize;

use crate::error::{Error, Exit};
use crate::util::{Answer, read_bundle};

/// Check a bundle document and print it as the configuration that the platform's store takes.
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
/// [`Error::Bundle`] with all faults if the bundle is not valid.
pub fn run(args: &Args) -> Result<Answer, Error> {
    let raw = read_bundle("render", &args.bundle)?;
    Bundle::try_from(raw.clone()).context(("render", args.bundle.as_path()))?;
    let text = String::from_utf8_lossy(&config::encode(&raw)).into_owned();
    Ok(Answer::new(&Document(text), Exit::Ok))
}

#[derive(Serialize)]
struct Document(String);

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

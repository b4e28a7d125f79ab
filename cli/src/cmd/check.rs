//! lacewingmoor check BUNDLE.yaml [--json]
//!
//! Checks a bundle document and prints every fault with its place, or a summary and warnings.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::{Bundle, Version, hex};
use lacewingmoor_derive::raw;
use quick_error::ResultExt as _;

use crate::error::Error;
use crate::util::{Answer, read_bundle};

/// Check a bundle document and print every fault with its place, or a summary and warnings.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// bundle document in YAML
    #[argh(positional)]
    bundle: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Bundle`] with all faults if the bundle is not valid.
pub fn run(args: &Args) -> Result<Answer, Error> {
    let raw = read_bundle("check", &args.bundle)?;
    let bundle = Bundle::try_from(raw).context(("check", args.bundle.as_path()))?;
    Ok(Answer::ok(&Report::new(&bundle)))
}

#[raw]
struct Report {
    version: Version,
    digest: String,
    regions: usize,
    zones: usize,
    services: usize,
    targets: usize,
    routes: usize,
    tenants: usize,
    warnings: Vec<String>,
}

impl Report {
    fn new(bundle: &Bundle) -> Self {
        Self {
            version: bundle.version,
            digest: hex(&bundle.digest),
            regions: bundle.regions.len(),
            zones: bundle.zones.len(),
            services: bundle.services.len(),
            targets: bundle.services.iter().map(|s| s.targets.len()).sum(),
            routes: bundle.routes.len(),
            tenants: bundle.tenants.len(),
            warnings: bundle.warnings().iter().map(ToString::to_string).collect(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "valid: version {} digest {}", self.version, self.digest)?;
        writeln!(
            f,
            "{} regions, {} zones, {} services, {} targets, {} routes, {} tenants",
            self.regions, self.zones, self.services, self.targets, self.routes, self.tenants
        )?;
        for warning in &self.warnings {
            writeln!(f, "warning: {warning}")?;
        }
        Ok(())
    }
}

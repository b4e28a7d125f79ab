//! lacewingmoor check [--bundle FILE] [--settings FILE] [--template FILE] [--json]
//!
//! Checks bundle, settings and settings template, and prints every fault with file and line.

use std::fmt;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use lacewingmoor_bundle::{Bundle, Error as BundleError};
use lacewingmoor_derive::raw;
use lacewingmoor_platform::template;
use lacewingmoord::error::Error as SettingsError;
use lacewingmoord::settings::Settings;

use crate::error::{Error, Exit};
use crate::util::{Answer, read};

/// Check a bundle, settings and a settings template, and print every fault with file and line.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --bundle pool.bundle.yaml --template deploy/entry.yaml.in"
)]
pub struct Args {
    /// bundle document in YAML
    #[argh(option)]
    bundle: Option<PathBuf>,

    /// settings of an entry in YAML
    #[argh(option)]
    settings: Option<PathBuf>,

    /// template from which the platform makes the settings
    #[argh(option)]
    template: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Usage`] if no file is named, [`Error::File`] if one cannot be read.
pub fn run(args: &Args) -> Result<Answer, Error> {
    let mut report = Report {
        checked: 0,
        faults: Vec::new(),
    };
    if let Some(path) = &args.bundle {
        report.check(path, bundle_faults)?;
    }
    if let Some(path) = &args.settings {
        report.check(path, settings_faults)?;
    }
    if let Some(path) = &args.template {
        report.check(path, template_faults)?;
    }
    if report.checked == 0 {
        let why = "name a file with --bundle, --settings or --template";
        return Err(Error::Usage(why.into()));
    }
    let exit = match report.faults.is_empty() {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(Answer::new(&report, exit))
}

#[raw]
struct Report {
    checked: usize,
    faults: Vec<FileFault>,
}

#[raw]
struct FileFault {
    file: String,
    line: Option<usize>,
    message: String,
}

impl Report {
    fn check(
        &mut self,
        path: &Path,
        faults: impl Fn(&str) -> Vec<(Option<usize>, String)>,
    ) -> Result<(), Error> {
        let text = read("check", path)?;
        self.checked += 1;
        for (line, message) in faults(&text) {
            self.faults.push(FileFault {
                file: path.display().to_string(),
                line,
                message,
            });
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            write!(f, "{}:", fault.file)?;
            if let Some(line) = fault.line {
                write!(f, "{line}:")?;
            }
            writeln!(f, " {}", fault.message)?;
        }
        match self.faults.len() {
            0 => writeln!(f, "{} files checked, no faults", self.checked),
            count => writeln!(f, "{} files checked, {count} faults", self.checked),
        }
    }
}

fn bundle_faults(text: &str) -> Vec<(Option<usize>, String)> {
    match Bundle::from_yaml(text) {
        Ok(_) => Vec::new(),
        Err(BundleError::Invalid(faults)) => faults
            .iter()
            .map(|fault| (fault.line, format!("{}: {}", fault.path, fault.message)))
            .collect(),
    }
}

fn settings_faults(text: &str) -> Vec<(Option<usize>, String)> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Settings(errors)) => errors
            .into_iter()
            .map(|error| (line_of(text, &error), error))
            .collect(),
        Err(other) => vec![(None, other.to_string())],
    }
}

/// Fills the template with sample fields and checks the settings that result.
fn template_faults(text: &str) -> Vec<(Option<usize>, String)> {
    match template::render(text, &template::sample_fields()) {
        Ok(settings) => settings_faults(&settings),
        Err(error) => vec![(Some(error.line), error.message)],
    }
}

/// Finds the line of the setting that an error is about.
fn line_of(text: &str, error: &str) -> Option<usize> {
    let field = error.split([':', '[']).next()?.rsplit('.').next()?;
    let starts = |line: &str| {
        let rest = line.trim_start().strip_prefix(field);
        rest.is_some_and(|rest| rest.starts_with(':'))
    };
    text.lines().position(starts).map(|index| index + 1)
}

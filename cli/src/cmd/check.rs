//! lacewingmoor check [--bundle FILE] [--settings FILE] [--template FILE] [--json]
//!
//! Checks a bundle, settings and a settings template, and prints every error with its file and, if
//! known, its line. Only the first error is printed if a template cannot be rendered, settings do
//! not match the schema or a bundle is not YAML. The values of a bundle are checked only once its
//! fields are valid.

use std::fmt;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use lacewingmoor_bundle::{Bundle, Error as BundleError};
use lacewingmoor_derive::raw;
use lacewingmoor_platform::template;
use lacewingmoord::error::Error as SettingsError;
use lacewingmoord::settings::Settings;

use crate::error::{Error, Exit};
use crate::util::{CommandOutput, read};

/// Check a bundle, settings and a settings template, and print every error with its file and, if
/// known, its line. Only the first error is printed if a template cannot be rendered, settings do
/// not match the schema or a bundle is not YAML. The values of a bundle are checked only once its
/// fields are valid.
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

    /// settings file of an entry in YAML
    #[argh(option)]
    settings: Option<PathBuf>,

    /// template from which the platform renders the settings of entries
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
/// Returns [`Error::Usage`] if no file is given, and [`Error::File`] if one cannot be read.
pub fn run(args: &Args) -> Result<CommandOutput, Error> {
    let mut report = Report {
        checked: 0,
        errors: Vec::new(),
    };
    if let Some(path) = &args.bundle {
        report.check_file(path, bundle_errors)?;
    }
    if let Some(path) = &args.settings {
        report.check_file(path, settings_errors)?;
    }
    if let Some(path) = &args.template {
        report.check_file(path, template_errors)?;
    }
    if report.checked == 0 {
        let message = "no file given; use --bundle, --settings or --template";
        return Err(Error::Usage(message.into()));
    }
    let exit = match report.errors.is_empty() {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(CommandOutput::new(&report, exit))
}

#[raw]
struct Report {
    checked: usize,
    #[serde(rename = "faults")]
    errors: Vec<FileError>,
}

#[raw]
struct FileError {
    file: String,
    line: Option<usize>,
    message: String,
}

impl Report {
    fn check_file(
        &mut self,
        path: &Path,
        validate: impl Fn(&str) -> Vec<(Option<usize>, String)>,
    ) -> Result<(), Error> {
        let text = read("check", path)?;
        self.checked += 1;
        for (line, message) in validate(&text) {
            self.errors.push(FileError {
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
        for error in &self.errors {
            write!(f, "{}:", error.file)?;
            if let Some(line) = error.line {
                write!(f, "{line}:")?;
            }
            writeln!(f, " {}", error.message)?;
        }
        match self.errors.len() {
            0 => writeln!(f, "{} files checked, no errors", self.checked),
            count => writeln!(f, "{} files checked, {count} errors", self.checked),
        }
    }
}

fn bundle_errors(text: &str) -> Vec<(Option<usize>, String)> {
    match Bundle::from_yaml(text) {
        Ok(_) => Vec::new(),
        Err(BundleError::Invalid(errors)) => errors
            .iter()
            .map(|error| (error.line, format!("{}: {}", error.path, error.message)))
            .collect(),
    }
}

fn settings_errors(text: &str) -> Vec<(Option<usize>, String)> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Settings(errors)) => errors
            .into_iter()
            .map(|error| (find_line(text, &error), error))
            .collect(),
        Err(other) => vec![(None, other.to_string())],
    }
}

/// Renders the template with sample fields and checks the resulting settings.
fn template_errors(text: &str) -> Vec<(Option<usize>, String)> {
    match template::render(text, &template::sample_fields()) {
        Ok(settings) => settings_errors(&settings),
        Err(error) => vec![(Some(error.line), error.message)],
    }
}

/// Returns the line, counted from 1, of the first key with the name of the setting in `error`.
/// Sections are not compared, so a key of the same name in an earlier section is found instead.
fn find_line(text: &str, error: &str) -> Option<usize> {
    let field = error.split([':', '[']).next()?.rsplit('.').next()?;
    let starts = |line: &str| {
        let rest = line.trim_start().strip_prefix(field);
        rest.is_some_and(|rest| rest.starts_with(':'))
    };
    text.lines().position(starts).map(|index| index + 1)
}

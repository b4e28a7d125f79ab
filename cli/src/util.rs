//! Functions that read input files and print the result of a command.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write as _};
use std::path::Path;
use std::process::ExitCode;

use lacewingmoor_bundle::RawBundle;
use quick_error::ResultExt as _;
use serde::Serialize;
use serde_json::Value;

use crate::error::{Error, Exit};

/// Output of a command as text and as JSON, with the exit code.
pub struct CommandOutput {
    text: String,
    json: Value,
    exit: Exit,
}

impl CommandOutput {
    /// Formats a report as text and as JSON.
    pub fn new(report: &(impl Serialize + Display), exit: Exit) -> Self {
        Self {
            text: report.to_string(),
            json: serde_json::to_value(report).unwrap_or_default(),
            exit,
        }
    }
}

/// Prints the result of a command and returns the exit code. With `json` output and errors both go
/// to standard output as JSON; otherwise errors go to standard error as text.
pub fn print_result(json: bool, result: Result<CommandOutput, Error>) -> ExitCode {
    let exit = match (result, json) {
        (Ok(output), true) => {
            print_line(&format!("{:#}", output.json));
            output.exit
        }
        (Ok(output), false) => {
            print_line(output.text.trim_end());
            output.exit
        }
        (Err(error), true) => {
            print_line(&format!("{:#}", error.json()));
            error.exit()
        }
        (Err(error), false) => {
            eprintln!("error: {error}");
            error.exit()
        }
    };
    ExitCode::from(exit as u8)
}

/// Writes a line to standard output. Write errors are ignored, since a reader such as `head` may
/// close the pipe early; the exit code still reports the outcome.
pub fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Reads a text file.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read.
pub fn read(action: &'static str, path: &Path) -> Result<String, Error> {
    Ok(fs::read_to_string(path).context((action, path))?)
}

/// Parses a bundle document. Checks field names and types, but not the values.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read, and [`Error::Bundle`] if it is not a bundle
/// document.
pub fn read_bundle(action: &'static str, path: &Path) -> Result<RawBundle, Error> {
    let text = read(action, path)?;
    Ok(RawBundle::from_yaml(&text).context((action, path))?)
}

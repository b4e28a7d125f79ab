//! Reading files and printing results.

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

/// What a command prints, in both forms.
pub struct Answer {
    text: String,
    json: Value,
    exit: Exit,
}

impl Answer {
    /// Makes an answer with an exit code.
    pub fn new(report: &(impl Serialize + Display), exit: Exit) -> Self {
        Self {
            text: report.to_string(),
            json: serde_json::to_value(report).unwrap_or_default(),
            exit,
        }
    }
}

/// Prints the result of a command and returns the exit code. With `json` everything goes to
/// standard output; otherwise errors go to standard error.
pub fn finish(json: bool, result: Result<Answer, Error>) -> ExitCode {
    let exit = match (result, json) {
        (Ok(answer), true) => {
            print_line(&format!("{:#}", answer.json));
            answer.exit
        }
        (Ok(answer), false) => {
            print_line(answer.text.trim_end());
            answer.exit
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

/// Writes a line to standard output. A reader that has gone, such as `head`, is not an error; the
/// exit code still tells the outcome.
pub fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Reads a text file.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read.
pub fn read(step: &'static str, path: &Path) -> Result<String, Error> {
    Ok(fs::read_to_string(path).context((step, path))?)
}

/// Reads a bundle document without checking it beyond its form.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read, [`Error::Bundle`] if it is not a bundle document.
pub fn read_bundle(step: &'static str, path: &Path) -> Result<RawBundle, Error> {
    let text = read(step, path)?;
    Ok(RawBundle::from_yaml(&text).context((step, path))?)
}

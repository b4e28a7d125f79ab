//! Reading files and printing results.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write as _};
use std::path::Path;
use std::process::ExitCode;

use lacewingmoor_bundle::{Error as BundleError, RawBundle};
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
    /// Makes the answer of a command that did everything asked for.
    pub fn ok(report: &(impl Serialize + Display)) -> Self {
        Self::new(report, Exit::Ok)
    }

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
    let raw: Result<RawBundle, BundleError> = RawBundle::from_yaml(&text);
    Ok(raw.context((step, path))?)
}

/// Writes an error with its causes, because HTTP errors hide the useful part in a cause.
pub fn causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let more = cause.to_string();
        if !text.contains(&more) {
            text = format!("{text}: {more}");
        }
        source = cause.source();
    }
    text
}

/// Aligns rows in columns.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        let cells = rows.iter().filter_map(|row| row.get(c));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells.map(|(cell, w)| format!("{cell:<w$}")).collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

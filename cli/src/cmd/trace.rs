//! lacewingmoor trace ID FILE... [--json]
//!
//! Collects what entries logged about a request and around it, and says what decided its end.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_derive::raw;

use crate::error::{Error, Exit};
use crate::lines::Line;
use crate::util::{Answer, read};

/// Time around a request in which changes of what its entry believed are shown, in milliseconds.
const AROUND_MS: u64 = 3000;

/// Events that change what an entry believes or does.
const CONTEXT_EVENTS: [&str; 9] = [
    "bundle_in_force",
    "knowledge_regained",
    "log_lines_left_out",
    "reload",
    "source",
    "source_lost",
    "stopping",
    "target",
    "zone",
];

/// Collect what entries logged about a request and around it, and say what decided its end.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} 9c41d07be2a35f68 entry-*.log"
)]
pub struct Args {
    /// id of the request
    #[argh(positional)]
    id: String,

    /// log files of entries
    #[argh(positional)]
    files: Vec<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Usage`] without files, [`Error::File`] if one cannot be read.
pub fn run(args: &Args) -> Result<Answer, Error> {
    if args.files.is_empty() {
        return Err(Error::Usage("name the log files of the entries".into()));
    }
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(read("read log", path)?.lines().filter_map(Line::parse));
    }
    lines.sort_by_key(|line| line.time_ms);
    let report = Report::new(&args.id, &lines);
    let exit = match report.about.is_empty() {
        true => Exit::Failed,
        false => Exit::Ok,
    };
    Ok(Answer::new(&report, exit))
}

#[raw]
struct Report {
    request: String,
    conclusions: Vec<String>,
    about: Vec<String>,
    around: Vec<String>,
}

impl Report {
    fn new(id: &str, lines: &[Line]) -> Self {
        let about: Vec<&Line> = lines.iter().filter(|l| l.get("request") == id).collect();
        let nodes: BTreeSet<&str> = about.iter().map(|line| line.get("node")).collect();
        let targets: BTreeSet<&str> = about.iter().map(|line| line.get("target")).collect();
        let ends = about.iter().filter(|line| line.get("event") == "request");
        let conclusions = ends.map(|end| conclude(end, &about)).collect();
        let from = about.first().map_or(0, |line| {
            line.time_ms
                .saturating_sub(line.number("ms"))
                .saturating_sub(AROUND_MS)
        });
        let to = about.last().map_or(0, |line| line.time_ms + AROUND_MS);
        let around = lines.iter().filter(|line| {
            let event = line.get("event");
            (from..=to).contains(&line.time_ms)
                && nodes.contains(line.get("node"))
                && CONTEXT_EVENTS.contains(&event)
                && (event != "target" || targets.contains(line.get("target")))
        });
        Self {
            request: id.to_owned(),
            conclusions,
            about: about.iter().map(|line| line.text.clone()).collect(),
            around: around.map(|line| line.text.clone()).collect(),
        }
    }
}

/// Says in a sentence what decided the end of a request.
fn conclude(end: &Line, about: &[&Line]) -> String {
    let node = end.get("node");
    let waited = match end.get("target") {
        "-" => format!("after {} ms, never sent to a target", end.number("ms")),
        _ => format!(
            "after {} ms, {} ms of these before the last send",
            end.number("ms"),
            end.number("sent_ms")
        ),
    };
    let failures: Vec<String> = about
        .iter()
        .filter(|line| line.get("event") == "attempt_failed" && line.get("node") == node)
        .map(|line| {
            format!(
                "{} ({}: {})",
                line.get("target"),
                line.get("outcome"),
                line.get("why")
            )
        })
        .collect();
    let failures = match failures.is_empty() {
        true => "no attempt failed".to_owned(),
        false => format!("failed attempts: {}", failures.join(", ")),
    };
    let decided = match end.get("reason") {
        "answered" => format!("target {} answered", end.get("target")),
        "no target in time" => {
            "no target had room in time, so it was refused as not run".to_owned()
        }
        "rejected by targets" => {
            "targets declared that they did not run it, and no repeat was left".to_owned()
        }
        "outcome unknown" | "failed, no other target" => format!(
            "target {} may have run it, so it was neither repeated nor refused",
            end.get("target")
        ),
        "no bundle yet" => "the entry had no bundle yet".to_owned(),
        "no route" => format!("version {} has no route for it", end.get("version")),
        other => other.to_owned(),
    };
    format!(
        "{node}: status {} {waited}: {decided}; {failures}",
        end.get("status")
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.about.is_empty() {
            return writeln!(
                f,
                "no line about request {}; look for log_lines_left_out in the logs",
                self.request
            );
        }
        for conclusion in &self.conclusions {
            writeln!(f, "{conclusion}")?;
        }
        writeln!(f, "\nabout the request:")?;
        for line in &self.about {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "\naround it, on the same entries:")?;
        for line in &self.around {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}

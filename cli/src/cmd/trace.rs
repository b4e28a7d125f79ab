//! lacewingmoor trace ID FILE... [--json]
//!
//! Shows the log lines of a request and related log lines of the same entries, and explains the
//! result of the request.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_derive::raw;

use crate::error::{Error, Exit};
use crate::log_line::LogLine;
use crate::util::{CommandOutput, read};

/// Time before and after a request for which [`CONTEXT_EVENTS`] are shown, in milliseconds.
const CONTEXT_MS: u64 = 3000;

/// Events that report a change in the view or the behaviour of an entry. `log_lines_left_out` is
/// listed but not shown as long as its lines have no `node` field to match an entry by.
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

/// Show the log lines of a request and related log lines of the same entries, and explain the
/// result of the request.
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
/// Returns [`Error::Usage`] if no file is given, and [`Error::File`] if one cannot be read.
pub fn run(args: &Args) -> Result<CommandOutput, Error> {
    if args.files.is_empty() {
        return Err(Error::Usage(
            "no log file given; pass the log files of the entries".into(),
        ));
    }
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(read("read log", path)?.lines().filter_map(LogLine::parse));
    }
    lines.sort_by_key(|line| line.time_ms);
    let report = Report::new(&args.id, &lines);
    let exit = match report.about.is_empty() {
        true => Exit::Failed,
        false => Exit::Ok,
    };
    Ok(CommandOutput::new(&report, exit))
}

#[raw]
struct Report {
    request: String,
    /// One sentence for each `request` event, which an entry logs when a request ends.
    conclusions: Vec<String>,
    /// Log lines of the request.
    about: Vec<String>,
    /// Log lines of [`CONTEXT_EVENTS`] on the same entries; of `target` events only those about the
    /// request's targets.
    around: Vec<String>,
}

impl Report {
    fn new(id: &str, lines: &[LogLine]) -> Self {
        let about: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.get("request") == id)
            .collect();
        let nodes: BTreeSet<&str> = about.iter().map(|line| line.get("node")).collect();
        let targets: BTreeSet<&str> = about.iter().map(|line| line.get("target")).collect();
        let summaries = about.iter().filter(|line| line.get("event") == "request");
        let conclusions = summaries
            .map(|summary| explain_result(summary, &about))
            .collect();
        let from = about.first().map_or(0, |line| {
            line.time_ms
                .saturating_sub(line.get_u64("ms"))
                .saturating_sub(CONTEXT_MS)
        });
        let to = about.last().map_or(0, |line| line.time_ms + CONTEXT_MS);
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

/// Explains in one sentence how an entry handled a request and why.
///
/// `summary` is the log line that the entry writes when a request ends (`event=request`); `about`
/// holds all log lines of the request, also those of other entries.
fn explain_result(summary: &LogLine, about: &[&LogLine]) -> String {
    let node = summary.get("node");
    let timing = match summary.get("target") {
        "-" => format!("after {} ms, never sent to a target", summary.get_u64("ms")),
        _ => format!(
            "after {} ms, last sent to a target after {} ms",
            summary.get_u64("ms"),
            summary.get_u64("sent_ms")
        ),
    };
    let failed_attempts: Vec<String> = about
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
    let failed_attempts = match failed_attempts.is_empty() {
        true => "no attempt failed".to_owned(),
        false => format!("failed attempts: {}", failed_attempts.join(", ")),
    };
    let cause = match summary.get("reason") {
        "answered" => format!("target {} responded", summary.get("target")),
        "no target in time" => {
            "no target had capacity in time, so the entry refused it as not run".to_owned()
        }
        "rejected by targets" => {
            "no target ran it, and no further attempt was allowed or in time".to_owned()
        }
        "outcome unknown" | "failed, no other target" => format!(
            "target {} may have run it and no further attempt was possible, so the entry \
             responded that the outcome is unknown",
            summary.get("target")
        ),
        "rate limit" => {
            "its workspace was above its rate limit, so the entry refused it as not run".to_owned()
        }
        "no bundle yet" => "the entry had no bundle yet".to_owned(),
        "no route" => format!(
            "bundle version {} has no route for it",
            summary.get("version")
        ),
        other => other.to_owned(),
    };
    format!(
        "{node}: status {} {timing}: {cause}; {failed_attempts}",
        summary.get("status")
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.about.is_empty() {
            return writeln!(
                f,
                "no log line about request {}; it may have been left out, see log_lines_left_out \
                 events in the logs",
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
        writeln!(f, "\nrelated log lines of the same entries:")?;
        for line in &self.around {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}

//! lacewingmoor status ADDR... [--json]
//!
//! Shows what entries have in force, how old their knowledge is and from whom it comes. Fails if an
//! entry does not answer or the versions differ.

use std::fmt;
use std::time::Duration;

use argh::FromArgs;
use lacewingmoor_derive::raw;
use serde_json::Value;

use crate::error::{Error, Exit};
use crate::util::Answer;

/// Time for an entry's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Show what entries have in force, how old their knowledge is and from whom it comes. Fails if an
/// entry does not answer or the versions differ.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 10.0.0.1:9100 10.0.0.2:9100"
)]
pub struct Args {
    /// metrics addresses of entries
    #[argh(positional)]
    entries: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Usage`] without addresses.
pub async fn run(args: &Args) -> Result<Answer, Error> {
    if args.entries.is_empty() {
        return Err(Error::Usage("name the metrics address of an entry".into()));
    }
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .map_err(|e| Error::Usage(format!("HTTP client: {e}")))?;
    let mut entries = Vec::with_capacity(args.entries.len());
    for addr in &args.entries {
        entries.push(ask(&client, addr).await);
    }
    let report = Report { entries };
    let exit = match report.agree() {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(Answer::new(&report, exit))
}

async fn ask(client: &reqwest::Client, addr: &str) -> Entry {
    let fetch = async {
        let answer = client.get(format!("http://{addr}/status")).send().await?;
        answer.error_for_status()?.text().await
    };
    let (status, error) = match fetch.await {
        Ok(text) => match serde_json::from_str(&text) {
            Ok(status) => (Some(status), None),
            Err(e) => (None, Some(e.to_string())),
        },
        Err(e) => (None, Some(e.to_string())),
    };
    Entry {
        addr: addr.to_owned(),
        status,
        error,
    }
}

#[raw]
struct Report {
    entries: Vec<Entry>,
}

#[raw]
struct Entry {
    addr: String,
    status: Option<Value>,
    error: Option<String>,
}

impl Report {
    /// Returns true if every entry answered and all have the same version in force.
    fn agree(&self) -> bool {
        let version = |e: &Entry| e.status.as_ref().map(|s| s["bundle_version"].clone());
        let mut versions = self.entries.iter().map(version);
        let first = versions.next().flatten();
        first.is_some() && versions.all(|v| v == first)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            let Some(status) = &entry.status else {
                let error = entry.error.as_deref().unwrap_or("no answer");
                writeln!(f, "{}: {error}", entry.addr)?;
                continue;
            };
            writeln!(
                f,
                "{} {} version={} ready={} phase={} known_through={} age_ms={} in_flight={}",
                entry.addr,
                status["node"].as_str().unwrap_or("-"),
                status["bundle_version"],
                status["ready"],
                status["phase"].as_str().unwrap_or("-"),
                status["knowledge_through"],
                status["knowledge_age_ms"],
                status["requests_in_flight"],
            )?;
            for service in status["services"].as_array().into_iter().flatten() {
                writeln!(
                    f,
                    "  {} targets={} draining={} in_zones_out={} cold={} avoided={} waiting={}",
                    service["name"].as_str().unwrap_or("-"),
                    service["targets"],
                    service["draining"],
                    service["in_zones_out"],
                    service["cold"],
                    service["avoided"],
                    service["waiting_requests"],
                )?;
            }
        }
        if !self.agree() {
            writeln!(f, "entries differ or do not answer")?;
        }
        Ok(())
    }
}

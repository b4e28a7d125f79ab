//! lacewingmoor status ADDR... [--json]
//!
//! Shows the active bundle version and the state of entries, and the age and source of their view.
//! Fails if an entry does not respond or the versions differ.

use std::fmt;
use std::time::Duration;

use argh::FromArgs;
use lacewingmoor_derive::raw;
use serde_json::Value;

use crate::error::{Error, Exit};
use crate::util::CommandOutput;

/// Timeout for the response of an entry.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Show the active bundle version and the state of entries, and the age and source of their view.
/// Fails if an entry does not respond or the versions differ.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 10.0.0.1:9100 10.0.0.2:9100"
)]
pub struct Args {
    /// metrics addresses of entries, as HOST:PORT
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
/// Returns [`Error::Usage`] if no address is given or the HTTP client cannot be set up.
pub async fn run(args: &Args) -> Result<CommandOutput, Error> {
    if args.entries.is_empty() {
        return Err(Error::Usage(
            "no entry given; pass the metrics address of one or more".into(),
        ));
    }
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .map_err(|e| Error::Usage(format!("cannot set up HTTP client: {e}")))?;
    let mut entries = Vec::with_capacity(args.entries.len());
    for addr in &args.entries {
        entries.push(fetch_status(&client, addr).await);
    }
    let report = Report { entries };
    let exit = match report.is_consistent() {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(CommandOutput::new(&report, exit))
}

async fn fetch_status(client: &reqwest::Client, addr: &str) -> EntryStatus {
    let fetch = async {
        let response = client.get(format!("http://{addr}/status")).send().await?;
        response.error_for_status()?.text().await
    };
    let (status, error) = match fetch.await {
        Ok(text) => match serde_json::from_str(&text) {
            Ok(status) => (Some(status), None),
            Err(e) => (None, Some(e.to_string())),
        },
        Err(e) => (None, Some(e.to_string())),
    };
    EntryStatus {
        addr: addr.to_owned(),
        status,
        error,
    }
}

#[raw]
struct Report {
    entries: Vec<EntryStatus>,
}

#[raw]
struct EntryStatus {
    addr: String,
    status: Option<Value>,
    error: Option<String>,
}

impl Report {
    /// Returns true if every entry responded and all have the same active bundle version.
    fn is_consistent(&self) -> bool {
        let version = |e: &EntryStatus| e.status.as_ref().map(|s| s["bundle_version"].clone());
        let mut versions = self.entries.iter().map(version);
        let first = versions.next().flatten();
        first.is_some() && versions.all(|v| v == first)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            let Some(status) = &entry.status else {
                let error = entry.error.as_deref().unwrap_or("no response");
                writeln!(f, "{}: {error}", entry.addr)?;
                continue;
            };
            // `known_through`: path from the store to the entry; `age_ms`: time since the store
            // confirmed the view.
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
                // `in_zones_out`: targets in zones out of service; `cold`: targets that are warming
                // up; `avoided`: ejected targets; `limited`: targets that name a limit;
                // `leaving`, `declining`: targets that said so in a response.
                writeln!(
                    f,
                    "  {} targets={} draining={} in_zones_out={} cold={} avoided={} limited={} leaving={} declining={} waiting={}",
                    service["name"].as_str().unwrap_or("-"),
                    service["targets"],
                    service["draining"],
                    service["in_zones_out"],
                    service["cold"],
                    service["avoided"],
                    service["limited"],
                    service["leaving"],
                    service["declining"],
                    service["waiting_requests"],
                )?;
            }
        }
        if !self.is_consistent() {
            writeln!(f, "entries differ or do not answer")?;
        }
        Ok(())
    }
}

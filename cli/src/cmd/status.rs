//! lacewingmoor status [--nodes IP:PORT,...] [--config FILE] [--json]
//!
//! Shows the nodes with their versions, and the targets with their states. Fails if a node does not
//! answer or the nodes have different versions in force.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_derive::raw;
use serde_json::Value;

use crate::config::Config;
use crate::error::{Error, Exit};
use crate::http;
use crate::node::{self, NODE_TIMEOUT, NodeReport};
use crate::util::{Answer, table};

/// Digits of a digest that are shown.
const DIGEST_SHOWN: usize = 12;

/// Show the nodes with their versions, and the targets with their states. Fails if a node does not
/// answer or the nodes have different versions in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// admin addresses of the nodes, separated by commas
    #[argh(option)]
    nodes: Option<String>,

    /// configuration file with defaults for options
    #[argh(option)]
    config: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Usage`] without nodes.
pub async fn run(args: &Args) -> Result<Answer, Error> {
    let config = Config::load(args.config.as_deref())?;
    let nodes = config.nodes(args.nodes.as_deref())?;
    if nodes.is_empty() {
        let why = "no nodes; give --nodes IP:PORT,... or nodes in the configuration file";
        return Err(Error::Usage(why.into()));
    }
    let nodes = node::statuses(&http::client(NODE_TIMEOUT), &nodes).await;
    let report = Report { nodes };
    let exit = if report.agreed() {
        Exit::Ok
    } else {
        Exit::Failed
    };
    Ok(Answer::new(&report, exit))
}

#[raw]
struct Report {
    nodes: Vec<NodeReport>,
}

impl Report {
    /// True if every node answered and all have the same version in force.
    fn agreed(&self) -> bool {
        let mut versions = self.nodes.iter().map(|n| {
            let status = n.status.as_ref();
            status.map(|s| (s.version, s.digest.to_ascii_lowercase()))
        });
        let first = versions.next().flatten();
        first.is_some() && versions.all(|v| v == first)
    }

    /// Returns the nodes' answers by target, then by zone and state.
    fn targets(&self) -> BTreeMap<String, BTreeMap<(String, String), Seen<'_>>> {
        let mut targets: BTreeMap<String, BTreeMap<_, Seen<'_>>> = BTreeMap::new();
        for status in self.nodes.iter().filter_map(|n| n.status.as_ref()) {
            for target in &status.targets {
                let text = |field: &str| match target.get(field) {
                    Some(Value::String(text)) => text.clone(),
                    Some(other) => other.to_string(),
                    None => String::new(),
                };
                let states = targets.entry(text("target")).or_default();
                let seen = states.entry((text("zone"), text("state"))).or_default();
                seen.by.push(&status.node);
                if target.get("owned") == Some(&Value::Bool(true)) {
                    seen.owners.push(&status.node);
                }
            }
        }
        targets
    }
}

/// Nodes that see a target in the same state.
#[derive(Default)]
struct Seen<'a> {
    by: Vec<&'a str>,
    owners: Vec<&'a str>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = [
            "NODE", "REGION", "ZONE", "VERSION", "DIGEST", "FRESH", "READY",
        ];
        let mut rows = vec![head.map(String::from).to_vec()];
        let flag = |value: Option<bool>| value.map_or("-", |v| if v { "yes" } else { "no" });
        for status in self.nodes.iter().filter_map(|n| n.status.as_ref()) {
            rows.push(vec![
                status.node.clone(),
                status.region.clone(),
                status.zone.clone(),
                status.version.to_string(),
                status.digest.chars().take(DIGEST_SHOWN).collect(),
                flag(status.fresh).into(),
                flag(status.ready).into(),
            ]);
        }
        f.write_str(&table(&rows))?;
        for node in self.nodes.iter().filter(|n| n.status.is_none()) {
            writeln!(f, "no status from {}", node.line())?;
        }
        if !self.agreed() {
            writeln!(f, "the nodes do not all have the same version in force")?;
        }
        let targets = self.targets();
        if targets.is_empty() {
            return Ok(());
        }
        let mut rows = vec![
            ["TARGET", "ZONE", "STATE", "OWNER", "SEEN BY"]
                .map(String::from)
                .to_vec(),
        ];
        for (name, seen) in targets {
            for ((zone, state), seen) in seen {
                let by = match seen.by.len() {
                    n if n == self.nodes.len() => "all".into(),
                    _ => seen.by.join(" "),
                };
                rows.push(vec![name.clone(), zone, state, seen.owners.join(" "), by]);
            }
        }
        write!(f, "\n{}", table(&rows))
    }
}

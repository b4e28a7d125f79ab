//! lacewingmoor rollout SIGNED.json --store IP:PORT [--nodes IP:PORT,...] [--timeout-ms 8000]
//!     [--store-timeout-ms 2000] [--config FILE] [--json]
//!
//! Writes the missing parts of a signed bundle to the store, has its version accepted with one
//! compare-and-swap, and waits until the nodes report it in force.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use lacewingmoor_bundle::{Digest, Set, Version, diff, hex};
use lacewingmoor_derive::raw;

use crate::accept::{self, How, Refused};
use crate::config::Config;
use crate::error::{Error, Exit, Winner};
use crate::node::{self, NodeReport};
use crate::signed::Signed;
use crate::store::{Accepted, Store};
use crate::util::Answer;

/// Have a signed bundle accepted by the store and wait until the nodes report it in force.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "rollout",
    example = "{command_name} v7.json --store 10.0.0.1:7000 --nodes 10.0.1.1:9000,10.0.1.2:9000",
    note = "After exit code 4 or 5 the same command can be run again: a version that was accepted \
            is found and not written twice."
)]
pub struct Args {
    /// signed bundle, written by sign
    #[argh(positional)]
    signed: PathBuf,

    /// address of the store
    #[argh(option)]
    store: Option<String>,

    /// admin addresses of the nodes to wait for, separated by commas
    #[argh(option)]
    nodes: Option<String>,

    /// time to wait for the nodes in milliseconds
    #[argh(option, default = "8000")]
    timeout_ms: u64,

    /// time that one store call may take in milliseconds
    #[argh(option, default = "2000")]
    store_timeout_ms: u64,

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
/// [`Error::LostRace`], [`Error::Unknown`] or [`Error::Store`] if the version is not known to be
/// accepted, and errors of the files and arguments.
pub async fn run(args: &Args) -> Result<Answer, Error> {
    let config = Config::load(args.config.as_deref())?;
    let nodes = config.nodes(args.nodes.as_deref())?;
    let timeout = Duration::from_millis(args.store_timeout_ms);
    let store = Store::new(config.store(args.store.as_deref())?, timeout);
    let ours = Signed::read(&args.signed)?;
    config.verify(&args.signed.display().to_string(), &ours.signed)?;

    let (how, parts_written) = accept(&store, &ours).await?;
    let version = ours.manifest.version;
    let digest = hex(&ours.digest);
    let timeout = Duration::from_millis(args.timeout_ms);
    let nodes = node::wait_in_force(&nodes, version, &digest, timeout).await;
    let in_force = nodes.iter().all(|n| n.has(version, &digest));
    let exit = if in_force { Exit::Ok } else { Exit::Failed };
    let report = Report {
        version,
        digest,
        accepted: how,
        parts_written,
        nodes,
        timeout_ms: args.timeout_ms,
    };
    Ok(Answer::new(&report, exit))
}

/// Has the version accepted; returns how that is known and the number of parts written.
async fn accept(store: &Store, ours: &Signed) -> Result<(How, usize), Error> {
    let stored = store.manifest().await?;
    let mut held: Set<Digest> = Set::default();
    if let Some(accepted) = stored.accepted {
        if accepted.digest == ours.digest {
            return Ok((How::Already, 0));
        }
        if accepted.version() >= ours.manifest.version {
            return Err(lost(store, ours, accepted).await);
        }
        held.extend(accepted.manifest.parts.iter().map(|p| p.digest));
    }
    let missing = ours.manifest.missing(|digest| held.contains(digest));
    for part in &missing {
        let bytes = ours.parts.get(&part.digest).map_or(&[][..], Vec::as_slice);
        store.put_part(&part.digest, bytes).await?;
    }
    match accept::accept(store, ours, stored.revision).await {
        Ok(how) => Ok((how, missing.len())),
        Err(Refused::Another(winner)) => Err(lost(store, ours, winner).await),
        Err(Refused::Error(error)) => Err(error),
    }
}

/// Describes the version that was accepted instead.
async fn lost(store: &Store, ours: &Signed, winner: Accepted) -> Error {
    let theirs = store.bundle(&winner.manifest, &ours.parts).await;
    let winner = Winner {
        version: winner.version(),
        digest: hex(&winner.digest),
        key_id: winner.signed.key_id,
        changes: theirs.ok().map(|theirs| diff(&theirs, &ours.bundle)),
    };
    Error::LostRace(store.peer(), ours.manifest.version, Box::new(winner))
}

#[raw]
struct Report {
    version: Version,
    digest: String,
    accepted: How,
    parts_written: usize,
    nodes: Vec<NodeReport>,
    timeout_ms: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let how = match self.accepted {
            How::Written => "accepted",
            How::ReadBack => "accepted; the store's answer was lost, reading back found it",
            How::Already => "was accepted before",
        };
        let Self {
            version, digest, ..
        } = self;
        writeln!(f, "version {version} {how}")?;
        writeln!(f, "digest {digest}, parts written: {}", self.parts_written)?;
        let total = self.nodes.len();
        if total == 0 {
            return writeln!(
                f,
                "no nodes given, not waiting until the version is in force"
            );
        }
        let lacking = self.nodes.iter().filter(|n| !n.has(*version, digest));
        let lacking: Vec<String> = lacking.map(NodeReport::line).collect();
        writeln!(f, "in force on {} of {total} nodes", total - lacking.len())?;
        if !lacking.is_empty() {
            writeln!(f, "not in force after {} ms:", self.timeout_ms)?;
        }
        for line in &lacking {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}

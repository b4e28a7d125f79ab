//! lacewingmoor diff OLD.yaml NEW.yaml [--json]
//! lacewingmoor diff --store IP:PORT NEW.yaml [--config FILE] [--json]
//!
//! Shows what differs between two bundle documents, or from the accepted version to a document.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::{Change, Map, RawBundle, diff};
use lacewingmoor_derive::raw;

use crate::config::Config;
use crate::error::Error;
use crate::store::{STORE_TIMEOUT, Store};
use crate::util::{Answer, read_bundle};

/// Show what differs between two bundle documents, or from the accepted version to a document.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} old.yaml new.yaml",
    example = "{command_name} --store 10.0.0.1:7000 new.yaml"
)]
pub struct Args {
    /// bundle documents: old and new, or only the new one to compare it with the store
    #[argh(positional)]
    bundles: Vec<PathBuf>,

    /// address of the store
    #[argh(option)]
    store: Option<String>,

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
/// [`Error::Usage`] without one or two documents, and errors of reading them or the store.
pub async fn run(args: &Args) -> Result<Answer, Error> {
    let (old, new) = match args.bundles.as_slice() {
        [old, new] => (
            read_bundle("read old bundle", old)?,
            read_bundle("read new bundle", new)?,
        ),
        [new] => (accepted(args).await?, read_bundle("read new bundle", new)?),
        _ => return Err(Error::Usage("give one or two bundle documents".into())),
    };
    let changes = diff(&old, &new);
    Ok(Answer::ok(&Report { changes }))
}

async fn accepted(args: &Args) -> Result<RawBundle, Error> {
    let config = Config::load(args.config.as_deref())?;
    let store = Store::new(config.store(args.store.as_deref())?, STORE_TIMEOUT);
    let Some(accepted) = store.manifest().await?.accepted else {
        let why = format!("store {}: no version was accepted yet", store.peer());
        return Err(Error::Usage(why));
    };
    config.verify(
        &format!("manifest in store {}", store.peer()),
        &accepted.signed,
    )?;
    store.bundle(&accepted.manifest, &Map::default()).await
}

#[raw]
struct Report {
    changes: Vec<Change>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no differences");
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

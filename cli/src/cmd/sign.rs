//! lacewingmoor sign BUNDLE.yaml --key KEY --out SIGNED.json [--json]
//!
//! Checks and signs a bundle document. The signed bundle can be rolled out without the key.

use std::fmt;
use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::{Bundle, SecretKey, SignedManifest, Version, hex};
use lacewingmoor_derive::raw;
use quick_error::ResultExt as _;

use crate::error::Error;
use crate::signed::SignedFile;
use crate::util::{Answer, read, read_bundle};

/// Check and sign a bundle document. The signed bundle can be rolled out without the key.
#[derive(FromArgs)]
#[argh(subcommand, name = "sign")]
pub struct Args {
    /// bundle document in YAML
    #[argh(positional)]
    bundle: PathBuf,

    /// file with the secret key
    #[argh(option)]
    key: PathBuf,

    /// file to write the signed bundle to
    #[argh(option)]
    out: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Bundle`] if bundle or key is not valid, [`Error::File`] if a file cannot be used.
pub fn run(args: &Args) -> Result<Answer, Error> {
    let raw = read_bundle("check", &args.bundle)?;
    let bundle = Bundle::try_from(raw.clone()).context(("check", args.bundle.as_path()))?;
    let key = read("read key", &args.key)?;
    let key = SecretKey::from_base64(&key).context(("read key", args.key.as_path()))?;
    let (manifest, parts) = raw.split();
    let report = Report {
        version: bundle.version,
        digest: hex(&bundle.digest),
        key_id: key.public().id(),
        parts: parts.len(),
        out: args.out.clone(),
    };
    let file = SignedFile::new(SignedManifest::sign(&manifest, &key), parts);
    let at = ("write signed bundle", args.out.as_path());
    let json = serde_json::to_vec(&file).context(at)?;
    fs::write(&args.out, json).context(at)?;
    Ok(Answer::ok(&report))
}

#[raw]
struct Report {
    version: Version,
    digest: String,
    key_id: String,
    parts: usize,
    out: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            digest,
            key_id,
            parts,
            out,
        } = self;
        let out = out.display();
        write!(
            f,
            "signed version {version} digest {digest} with key {key_id}: {parts} parts in {out}"
        )
    }
}

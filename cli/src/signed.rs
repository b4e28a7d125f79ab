//! The file that `sign` writes and `rollout` reads: a signed manifest with all parts.

use std::path::Path;

use lacewingmoor_bundle::{
    Digest, Manifest, Map, Part, RawBundle, SignedManifest, assemble, digest_of,
};
use lacewingmoor_derive::raw;
use quick_error::ResultExt as _;

use crate::error::Error;
use crate::util;

/// The file's JSON.
#[raw]
#[serde(deny_unknown_fields)]
pub struct SignedFile {
    manifest: SignedManifest,
    parts: Vec<String>,
}

/// A signed bundle whose parts fit its manifest. The signature itself is not verified.
pub struct Signed {
    /// The signed manifest.
    pub signed: SignedManifest,
    /// The manifest.
    pub manifest: Manifest,
    /// Its digest.
    pub digest: Digest,
    /// Content of the parts.
    pub parts: Map<Digest, Vec<u8>>,
    /// The bundle.
    pub bundle: RawBundle,
}

impl SignedFile {
    /// Puts a signed manifest and its parts together.
    pub fn new(manifest: SignedManifest, parts: Vec<Part>) -> Self {
        let text = |part: Part| String::from_utf8_lossy(&part.bytes).into_owned();
        Self {
            manifest,
            parts: parts.into_iter().map(text).collect(),
        }
    }
}

impl Signed {
    /// Reads the file and checks everything but the signature.
    ///
    /// # Errors
    ///
    /// [`Error::File`], [`Error::Format`] or [`Error::Bundle`] if the file cannot be used.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let at = ("read signed bundle", path);
        let text = util::read(at.0, path)?;
        let file: SignedFile = serde_json::from_str(&text).context(at)?;
        let manifest = file.manifest.peek().context(at)?;
        let parts = file.parts.into_iter().map(String::into_bytes);
        let parts: Map<Digest, Vec<u8>> = parts.map(|bytes| (digest_of(&bytes), bytes)).collect();
        let bundle = assemble(&manifest, &parts).context(at)?;
        Ok(Self {
            signed: file.manifest,
            digest: bundle.digest,
            bundle: RawBundle::join(&manifest, &parts).context(at)?,
            manifest,
            parts,
        })
    }
}

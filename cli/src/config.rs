//! The operator's configuration file, which gives defaults for options.
//!
//! ```yaml
//! store: 10.0.0.1:7000
//! nodes: [10.0.1.1:9000, 10.0.1.2:9000]
//! operator_keys: [base64 of an ed25519 public key]
//! ```

use std::net::SocketAddr;
use std::path::Path;

use lacewingmoor_bundle::{Error as BundleError, PublicKey, SignedManifest};
use lacewingmoor_derive::raw;
use quick_error::ResultExt as _;

use crate::error::Error;
use crate::util;

/// The file as written. Fields left out have to be given as options where they are needed.
#[raw]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    store: Option<String>,
    nodes: Vec<String>,
    operator_keys: Vec<String>,
}

impl Config {
    /// Reads the file, or returns an empty configuration without one.
    ///
    /// # Errors
    ///
    /// [`Error::File`] or [`Error::Format`] if the file cannot be used.
    pub fn load(path: Option<&Path>) -> Result<Self, Error> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let text = util::read("read configuration", path)?;
        Ok(serde_yaml_ng::from_str(&text).context(("read configuration", path))?)
    }

    /// Returns the store's address from the option or the file.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if there is none or it is malformed.
    pub fn store(&self, option: Option<&str>) -> Result<SocketAddr, Error> {
        match option.or(self.store.as_deref()) {
            Some(text) => addr("--store", text),
            None => Err(Error::Usage(
                "no store address; give --store IP:PORT or store in the configuration file".into(),
            )),
        }
    }

    /// Returns the admin addresses of the nodes from the option (comma-separated) or the file.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if one is malformed.
    pub fn nodes(&self, option: Option<&str>) -> Result<Vec<SocketAddr>, Error> {
        match option {
            Some(list) => {
                let items = list.split(',').filter(|item| !item.is_empty());
                items.map(|item| addr("--nodes", item)).collect()
            }
            None => self.nodes.iter().map(|item| addr("nodes", item)).collect(),
        }
    }

    /// Verifies a signed manifest if the file names operator keys.
    ///
    /// # Errors
    ///
    /// [`Error::Bundle`] if a key is malformed or none of them made the signature.
    pub fn verify(&self, peer: &str, signed: &SignedManifest) -> Result<(), Error> {
        if self.operator_keys.is_empty() {
            return Ok(());
        }
        let keys: Result<Vec<PublicKey>, BundleError> = self
            .operator_keys
            .iter()
            .map(|key| PublicKey::from_base64(key))
            .collect();
        let keys = keys.context(("read operator_keys", "configuration file"))?;
        signed.verify(&keys).context(("verify", peer))?;
        Ok(())
    }
}

/// Reads an address.
///
/// # Errors
///
/// [`Error::Usage`] if it is malformed.
pub fn addr(option: &str, text: &str) -> Result<SocketAddr, Error> {
    let trimmed = text.trim();
    trimmed
        .parse()
        .map_err(|_| Error::Usage(format!("{option}: {trimmed:?} is not IP:PORT")))
}

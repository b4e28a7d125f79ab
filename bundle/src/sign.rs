//! Operator keys and signed manifests.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use lacewingmoor_derive::raw;
use rand::TryRng as _;
use rand::rngs::SysRng;

use crate::{Digest, Error, Manifest, digest_of, hex};

/// Separates signatures of manifests from signatures for any other purpose.
const CONTEXT: &[u8] = b"lacewingmoor manifest\0";
const KEY_ID_BYTES: usize = 8;

/// An operator's public key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

/// An operator's secret key. `Debug` shows only its id.
#[derive(Clone)]
pub struct SecretKey(SigningKey);

impl PublicKey {
    /// Reads a public key from base64.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] if the text is not a usable ed25519 public key.
    pub fn from_base64(text: &str) -> Result<Self, Error> {
        let key = VerifyingKey::from_bytes(&key_bytes(text)?)
            .map_err(|_| Error::Key("not an ed25519 public key".into()))?;
        if key.is_weak() {
            return Err(Error::Key("a weak ed25519 public key".into()));
        }
        Ok(Self(key))
    }

    /// Writes the key in base64.
    pub fn to_base64(&self) -> String {
        BASE64.encode(self.0.as_bytes())
    }

    /// Returns the id that names the key in signed manifests.
    pub fn id(&self) -> String {
        hex(&digest_of(self.0.as_bytes())[..KEY_ID_BYTES])
    }
}

impl SecretKey {
    /// Draws a new key from the operating system's random numbers.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] if the operating system gives none.
    pub fn generate() -> Result<Self, Error> {
        let mut seed = [0; 32];
        SysRng
            .try_fill_bytes(&mut seed)
            .map_err(|e| Error::Key(format!("no random numbers: {e}")))?;
        Ok(Self::from_seed(&seed))
    }

    /// Derives a key from a seed.
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Reads a secret key from base64.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] if the text is not base64 of 32 bytes.
    pub fn from_base64(text: &str) -> Result<Self, Error> {
        Ok(Self::from_seed(&key_bytes(text)?))
    }

    /// Writes the key in base64.
    pub fn to_base64(&self) -> String {
        BASE64.encode(self.0.as_bytes())
    }

    /// Returns the public half.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey({})", self.public().id())
    }
}

fn key_bytes(text: &str) -> Result<[u8; 32], Error> {
    let bytes = BASE64
        .decode(text.trim())
        .map_err(|e| Error::Key(format!("not base64: {e}")))?;
    let count = bytes.len();
    bytes
        .try_into()
        .map_err(|_| Error::Key(format!("{count} bytes instead of 32")))
}

/// A manifest with its signature, as stored (JSON) and as sent between peers.
#[raw]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct SignedManifest {
    /// Id of the key that signed.
    pub key_id: String,
    /// Signature in base64.
    pub signature: String,
    /// Encoded manifest in base64.
    pub manifest: String,
}

/// A manifest whose signature was verified, with the digest of its bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// Digest of the signed bytes, equal to [`Manifest::digest`].
    pub digest: Digest,
}

impl SignedManifest {
    /// Signs a manifest.
    pub fn sign(manifest: &Manifest, key: &SecretKey) -> Self {
        let bytes = manifest.encode();
        let signature = key.0.sign(&signed_message(&bytes));
        Self {
            key_id: key.public().id(),
            signature: BASE64.encode(signature.to_bytes()),
            manifest: BASE64.encode(&bytes),
        }
    }

    /// Reads a signed manifest from JSON, without verifying it.
    ///
    /// # Errors
    ///
    /// [`Error::Manifest`] if the bytes are not the JSON of a signed manifest.
    pub fn from_json(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::Manifest(format!("not a signed manifest: {e}")))
    }

    /// Writes the signed manifest as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings always encode as JSON")
    }

    /// Verifies the signature against the operators' keys and decodes the manifest.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownKey`] or [`Error::BadSignature`] if no operator signed these bytes;
    /// [`Error::Manifest`] if they are not a manifest.
    pub fn verify(&self, operators: &[PublicKey]) -> Result<VerifiedManifest, Error> {
        let key = operators
            .iter()
            .find(|k| k.id() == self.key_id)
            .ok_or_else(|| Error::UnknownKey(self.key_id.clone()))?;
        let bad = || Error::BadSignature(self.key_id.clone());
        let signature = BASE64.decode(&self.signature).map_err(|_| bad())?;
        let signature = Signature::from_slice(&signature).map_err(|_| bad())?;
        let bytes = self.bytes()?;
        key.0
            .verify_strict(&signed_message(&bytes), &signature)
            .map_err(|_| bad())?;
        let manifest = Manifest::decode(&bytes)?;
        if manifest.encode() != bytes {
            return Err(Error::Manifest("is not in canonical form".into()));
        }
        Ok(VerifiedManifest {
            digest: digest_of(&bytes),
            manifest,
        })
    }

    /// Decodes the manifest without verifying the signature, to show it to an operator.
    ///
    /// # Errors
    ///
    /// [`Error::Manifest`] if the bytes are not a manifest.
    pub fn peek(&self) -> Result<Manifest, Error> {
        Manifest::decode(&self.bytes()?)
    }

    /// Returns the length in base64 of some bytes.
    pub(crate) const fn base64_len(bytes: usize) -> usize {
        bytes.div_ceil(3) * 4
    }

    fn bytes(&self) -> Result<Vec<u8>, Error> {
        BASE64
            .decode(&self.manifest)
            .map_err(|e| Error::Manifest(format!("not base64: {e}")))
    }
}

fn signed_message(manifest: &[u8]) -> Vec<u8> {
    [CONTEXT, manifest].concat()
}
